//! A summary of the work that waits for each service, and of the capacity that is free for it.

use super::host::Host;
use super::job::{Job, Rank, Step};
use super::rules::QueueRules;
use super::scheduler::WorkflowScheduler;
use super::spec::{StepId, StepSpec, Workflow, WorkflowId, WorkflowSpec};
use crate::collections::HashMap;
use crate::ids::QueueId;
use crate::resources::Resources;
use crate::time::Millis;

/// The whole of a service's capacity, in the unit of [`capacity_share`].
pub const WHOLE: u64 = 1_000_000;

/// Bounds of the classes of work in time, by the time left until its objective, in milliseconds.
///
/// Each is about 1.4 times the one before, so that rounding hides at most a third of the work that
/// comes before a job.
pub const HORIZONS_MS: [u64; 18] = [
    250, 350, 500, 700, 1_000, 1_400, 2_000, 2_800, 4_000, 5_600, 8_000, 11_000, 16_000, 22_000,
    32_000, 45_000, 64_000, 90_000,
];

/// The number of hosts with the most free capacity that are listed one by one.
const LISTED_HOSTS: usize = 16;

/// The order in which waiting work of different value gets capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lane {
    /// Work that can meet its objective.
    InTime,
    /// Work that is late and has part of its value left.
    Late,
    /// Work of teams that submitted more than their share.
    OverShare,
}

impl Lane {
    /// All lanes, the first served first.
    pub const ALL: [Self; 3] = [Self::InTime, Self::Late, Self::OverShare];
}

/// Hosts that each have at least this much free capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct FreeHosts {
    /// Free capacity of each.
    pub size: Resources,
    /// Number of hosts.
    pub hosts: u32,
}

/// The work of one queue that waits for hosts; work is in the unit of [`step_work`].
#[derive(Debug, Clone, Default, PartialEq)]
pub struct QueueLoad {
    /// The queue.
    pub queue: QueueId,
    /// Priority; zero is the most urgent.
    pub priority: u32,
    /// Work in time, by the classes of [`HORIZONS_MS`] and one for all beyond.
    pub in_time: [u64; HORIZONS_MS.len() + 1],
    /// Late work.
    pub late: u64,
    /// Work of teams over their share.
    pub over_share: u64,
    /// How long the oldest step of each lane has waited.
    pub oldest: [Millis; Lane::ALL.len()],
    /// The share of the service that the waiting tasks would use.
    pub wanted: u64,
    /// Hosts with free capacity that the queue may use.
    pub free: Vec<FreeHosts>,
}

/// The work that waits for the hosts of one service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceLoad {
    /// The service.
    pub service: String,
    /// Capacity of the hosts that accept work, less what lasting runs use.
    pub total: Resources,
    /// The queues.
    pub queues: Vec<QueueLoad>,
}

/// A step that is about to start tasks, or a job that arrived.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkOrigin {
    /// The queue.
    pub queue: QueueId,
    /// The service.
    pub service: String,
    /// Whether the job's team was over its share when it submitted the job.
    pub over_share: bool,
}

/// Returns the part of a service's capacity that `size` uses, of the resource that it uses most, in
/// millionths.
pub fn capacity_share(size: &Resources, total: &Resources) -> u64 {
    let share = |size: u64, total: u64| {
        let share = u128::from(size) * u128::from(WHOLE) / u128::from(total.max(1));
        u64::try_from(share).unwrap_or(u64::MAX)
    };
    let shares = [
        (size.cpu, total.cpu),
        (size.memory, total.memory),
        (size.accelerators, total.accelerators),
    ];
    // A resource that the service does not have says nothing about the use of the others.
    let known = shares.into_iter().filter(|(_, total)| *total > 0);
    known
        .map(|(size, total)| share(size, total))
        .max()
        .unwrap_or(0)
}

/// Returns the expected run time of a task of a step: the caller's estimate.
pub const fn step_time(spec: &StepSpec) -> Millis {
    spec.estimate
}

/// Returns the work of a number of tasks of a step: their share of the service times their run time
/// in milliseconds.
pub fn step_work(spec: &StepSpec, tasks: u32, total: &Resources) -> u64 {
    let share = capacity_share(&spec.demand(), total).saturating_mul(u64::from(tasks));
    share.saturating_mul(step_time(spec).0)
}

/// Returns the work of all steps of one occurrence of a job.
pub fn job_work(spec: &WorkflowSpec, total: &Resources) -> u64 {
    spec.steps.iter().fold(0, |sum: u64, step| {
        sum.saturating_add(step_work(step, step.count, total))
    })
}

impl WorkflowScheduler {
    /// Returns the work that waits for each service, by the queues that have jobs, and the free capacity
    /// that the last placement pass left.
    pub fn service_loads(&self, now: Millis) -> Vec<ServiceLoad> {
        let mut services: HashMap<&str, ServiceLoad> = HashMap::default();
        for host in self.usable_hosts(now) {
            let service = services.entry(&host.entry.service).or_default();
            service.total += host.spare();
        }
        for (name, service) in &mut services {
            (*name).clone_into(&mut service.service);
        }
        let mut queues: HashMap<&QueueId, (&str, QueueLoad)> = HashMap::default();
        // A configuration may name thousands of queues that get no jobs.
        for job in self.jobs.values() {
            let (queue, rules) = (&job.flow.queue, self.rules_of(&job.flow));
            let load = || (rules.service.as_str(), empty_load(queue, rules));
            queues.entry(queue).or_insert_with(load);
        }
        for at in &self.ready {
            self.add_waiting(*at, &services, &mut queues, now);
        }
        for (service, load) in queues.into_values() {
            if let Some(service) = services.get_mut(service) {
                service.queues.push(load);
            }
        }
        let mut loads: Vec<ServiceLoad> = services.into_values().collect();
        loads.sort_unstable_by(|one, other| one.service.cmp(&other.service));
        for load in &mut loads {
            self.add_free_hosts(load, now);
        }
        loads
    }

    fn usable_hosts(&self, now: Millis) -> impl Iterator<Item = &Host> {
        self.hosts
            .values()
            .filter(move |host| self.accepts_starts(host, now) && host.isolated <= now)
    }

    /// Adds the waiting tasks of a ready step, unless something other than capacity holds it back.
    fn add_waiting<'a>(
        &'a self,
        at: StepId,
        services: &HashMap<&str, ServiceLoad>,
        queues: &mut HashMap<&'a QueueId, (&'a str, QueueLoad)>,
        now: Millis,
    ) {
        let Some(job) = self.jobs.get(&at.job) else {
            return;
        };
        let Some(step) = self.waiting_step(job, at, now) else {
            return;
        };
        let rules = self.rules_of(&job.flow);
        let Some(service) = services.get(rules.service.as_str()) else {
            return;
        };
        let (_, load) = queues
            .entry(&job.flow.queue)
            .or_insert_with(|| (&rules.service, empty_load(&job.flow.queue, rules)));
        let work = step_work(&step.spec, step.waiting, &service.total);
        let lane = match job.rank(now, job.remaining(at, &step.spec)) {
            Rank::InTime => {
                load.in_time[horizon_class(job.objective.since(now))] += work;
                Lane::InTime
            }
            Rank::Late => {
                load.late += work;
                Lane::Late
            }
            Rank::OverShare => {
                load.over_share += work;
                Lane::OverShare
            }
            Rank::Worthless | Rank::Suspected => return,
        };
        let oldest = &mut load.oldest[lane as usize];
        *oldest = (*oldest).max(now.since(step.queued));
        let share = capacity_share(&step.spec.demand(), &service.total);
        load.wanted += share.saturating_mul(u64::from(step.waiting));
    }

    /// Returns the step if its tasks wait for nothing but capacity.
    fn waiting_step<'a>(&self, job: &'a Job, at: StepId, now: Millis) -> Option<&'a Step> {
        let step = job.step(at).filter(|_| job.end.is_none())?;
        let waits = step.waiting > 0 && step.not_before <= now && !step.gang_stopping;
        let fewest = if step.spec.gang { step.waiting } else { 1 };
        (waits && !self.is_sole_suspect(at.job) && self.within_limit(at, fewest)).then_some(step)
    }

    fn add_free_hosts(&self, load: &mut ServiceLoad, now: Millis) {
        load.queues.sort_unstable_by(|one, other| {
            (one.priority, &one.queue).cmp(&(other.priority, &other.queue))
        });
        let mut last: Option<(u32, Vec<FreeHosts>)> = None;
        for queue in &mut load.queues {
            let free = match last {
                Some((priority, free)) if priority == queue.priority => free,
                _ => self.free_hosts(&load.service, queue.priority, now),
            };
            queue.free.clone_from(&free);
            last = Some((queue.priority, free));
        }
    }

    /// Returns the hosts with free capacity for work of a priority. The first are listed one by one,
    /// the others in groups that double in size, each with what every host of the group has.
    fn free_hosts(&self, service: &str, priority: u32, now: Millis) -> Vec<FreeHosts> {
        let hosts = self
            .usable_hosts(now)
            .filter(|host| host.entry.service == service && host.trial.is_none());
        let mut sizes: Vec<Resources> = hosts
            .map(|host| host.free(StepId::default(), priority, now))
            .filter(|free| free.cpu > 0 && free.memory > 0)
            .collect();
        sizes.sort_unstable_by_key(|free| std::cmp::Reverse((free.cpu, free.memory)));
        let (listed, others) = sizes.split_at(sizes.len().min(LISTED_HOSTS));
        let mut groups: Vec<FreeHosts> = listed.iter().map(|size| group(&[*size])).collect();
        let (mut others, mut length) = (others, LISTED_HOSTS);
        while !others.is_empty() {
            let (next, rest) = others.split_at(others.len().min(length));
            groups.push(group(next));
            (others, length) = (rest, length * 2);
        }
        groups
    }

    /// Returns the origin of a step's work and how long its tasks have waited; `None` for an unknown
    /// step.
    pub fn started_step(&self, at: StepId, now: Millis) -> Option<(WorkOrigin, &StepSpec, Millis)> {
        let job = self.jobs.get(&at.job)?;
        let step = job.step(at)?;
        Some((self.origin(job), &step.spec, now.since(step.queued)))
    }

    /// Returns the origin of a job's work; `None` for an unknown job.
    pub fn submitted_job(&self, id: WorkflowId) -> Option<(WorkOrigin, &Workflow)> {
        let job = self.jobs.get(&id)?;
        Some((self.origin(job), &job.flow))
    }

    fn origin(&self, job: &Job) -> WorkOrigin {
        WorkOrigin {
            queue: job.flow.queue.clone(),
            service: self.rules_of(&job.flow).service.clone(),
            over_share: job.over_share,
        }
    }
}

fn empty_load(queue: &QueueId, rules: &QueueRules) -> QueueLoad {
    QueueLoad {
        queue: queue.clone(),
        priority: rules.priority,
        ..QueueLoad::default()
    }
}

/// Returns the class of work whose objective is this far away.
fn horizon_class(left: Millis) -> usize {
    HORIZONS_MS.partition_point(|bound| *bound < left.0)
}

fn group(sizes: &[Resources]) -> FreeHosts {
    let least = sizes
        .iter()
        .fold(Resources::UNBOUNDED, |least, size| least.min(size));
    FreeHosts {
        size: least,
        hosts: u32::try_from(sizes.len()).unwrap_or(u32::MAX),
    }
}
