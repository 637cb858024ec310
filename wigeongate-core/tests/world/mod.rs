//! A simulated cluster around the scheduler: workers, orders in transit, and reports that arrive
//! late, twice or out of order.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use uuid::Uuid;
use wigeongate_core::collections::{HashMap, HashSet};
use wigeongate_core::ids::{Attempt, HostId, JobId, TaskId, TeamId, ZoneId};
use wigeongate_core::job::{Job, JobSpec, JobState, Kind};
use wigeongate_core::policy::{Policy, Queue, Team, Worker};
use wigeongate_core::resources::Resources;
use wigeongate_core::scheduler::{
    Action, Event, Phase, Report, Scheduler, SchedulerSettings, TaskControl, TaskReport,
};
use wigeongate_core::time::Millis;

/// The state of a task on its worker.
#[derive(Debug, Clone)]
struct WorkerTask {
    attempt: Attempt,
    size: Resources,
    phase: Phase,
    seq: u64,
}

/// The actual state of a worker, which the scheduler learns only from reports.
#[derive(Debug, Default)]
struct SimWorker {
    tasks: BTreeMap<TaskId, WorkerTask>,
    seq: u64,
    reported_seq: u64,
    incarnation: u64,
    /// The newest start order received.
    last_order: u64,
    orders: VecDeque<Action>,
    reports: Vec<Report>,
}

impl SimWorker {
    fn running(&self) -> impl Iterator<Item = (&TaskId, &WorkerTask)> {
        self.tasks
            .iter()
            .filter(|(_, task)| task.phase == Phase::Running)
    }

    fn set(&mut self, task: TaskId, phase: Phase) {
        self.seq += 1;
        if let Some(worker_task) = self.tasks.get_mut(&task) {
            worker_task.phase = phase;
            worker_task.seq = self.seq;
        }
    }

    fn apply_order(&mut self, order: Action) {
        match order {
            Action::Start(start) => {
                self.last_order = self.last_order.max(start.order);
                let seen = self.tasks.get(&start.task);
                if seen.is_some_and(|seen| seen.attempt >= start.attempt) {
                    return;
                }
                self.seq += 1;
                let worker_task = WorkerTask {
                    attempt: start.attempt,
                    size: start.size,
                    phase: Phase::Running,
                    seq: self.seq,
                };
                self.tasks.insert(start.task, worker_task);
            }
            Action::Control {
                task,
                attempt,
                control,
                ..
            } => {
                let runs = self
                    .tasks
                    .get(&task)
                    .is_some_and(|seen| seen.attempt == attempt && seen.phase == Phase::Running);
                if runs && control != TaskControl::Throttle {
                    self.set(task, Phase::Stopped);
                }
            }
            Action::Ended { .. } => {}
        }
    }

    fn write_report(&mut self, host: &HostId, full: bool, usage: u64) -> Report {
        let full = full || self.reported_seq == 0;
        let reported_seq = self.reported_seq;
        let named = self
            .tasks
            .iter()
            .filter(|(_, task)| full || task.seq > reported_seq);
        let tasks = named
            .map(|(id, task)| TaskReport {
                task: *id,
                attempt: task.attempt,
                size: task.size,
                usage: Resources {
                    memory: task.size.memory * usage / 100,
                    ..task.size
                },
                phase: task.phase.clone(),
            })
            .collect();
        self.reported_seq = self.seq.max(1);
        Report {
            host: host.clone(),
            full,
            last_order: self.last_order,
            incarnation: self.incarnation,
            seq: self.seq.max(1),
            tasks,
        }
    }
}

/// A simulated cluster with the scheduler under test.
pub struct SimCluster {
    pub scheduler: Scheduler,
    pub policy: Policy,
    pub slices: HashMap<TeamId, Resources>,
    pub now: Millis,
    hosts: BTreeMap<HostId, SimWorker>,
    jobs: BTreeMap<JobId, (Job, u32)>,
    accepted: u64,
    owners: u64,
}

fn host(index: usize) -> HostId {
    HostId::from(format!("worker-{index}"))
}

fn team(index: usize) -> TeamId {
    TeamId::from(format!("team-{index}"))
}

pub fn zone(index: usize) -> ZoneId {
    ZoneId::from(format!("zone-{index}"))
}

const TEAMS: usize = 3;
pub const ZONES: usize = 3;

impl SimCluster {
    /// Creates a cluster of `workers` workers, in which every team may use `limit` millicores.
    pub fn new(workers: usize, limit: u64) -> Self {
        let worker = |index| Worker {
            host: host(index),
            pool: "pool".into(),
            rack: format!("rack-{}", index / 2).into(),
            zone: zone(index % ZONES),
            region: "region".into(),
            capacity: Resources {
                cpu: 4_000,
                memory: 4_096,
                accelerators: if index % 4 == 0 { 2 } else { 0 },
            },
        };
        let limit = Resources {
            cpu: limit,
            memory: 1 << 20,
            accelerators: 100,
        };
        let default_team = Team {
            share: 1,
            limit,
            slots: 1,
        };
        let queue = |kind| Queue {
            kind,
            team: None,
            bound: 1_000,
            attempts: 3,
        };
        let kinds = [Kind::Service, Kind::Batch, Kind::Gang];
        let policy = Policy {
            workers: (0..workers)
                .map(|index| (host(index), Arc::new(worker(index))))
                .collect(),
            teams: (0..TEAMS)
                .map(|at| (team(at), default_team.clone()))
                .collect(),
            queues: kinds
                .map(|kind| (kind.to_string().into(), queue(kind)))
                .into_iter()
                .collect(),
            ..Policy::default()
        };
        let mut cluster = Self {
            scheduler: Scheduler::default(),
            policy,
            slices: (0..TEAMS).map(|at| (team(at), limit)).collect(),
            now: Millis(1),
            hosts: (0..workers)
                .map(|at| (host(at), SimWorker::default()))
                .collect(),
            jobs: BTreeMap::new(),
            accepted: 0,
            owners: 0,
        };
        cluster.replace_owner();
        cluster
    }

    /// Replaces the pool's owner by a new scheduler; orders and reports in transit are lost.
    pub fn replace_owner(&mut self) {
        self.owners += 1;
        self.scheduler = Scheduler::new(SchedulerSettings {
            seed: self.owners,
            awaits_restore: true,
            ..SchedulerSettings::default()
        });
        for host in self.hosts.values_mut() {
            host.orders.clear();
            host.reports.clear();
            host.reported_seq = 0;
            host.last_order = 0;
        }
        self.configure();
        self.event(Event::Slices(Arc::new(self.slices.clone())));
        let open: Vec<Job> = self
            .jobs
            .values()
            .filter(|(_, ends)| *ends == 0)
            .map(|(job, _)| job.clone())
            .collect();
        for job in open {
            self.event(Event::Restore(job));
        }
        self.event(Event::Restored);
    }

    /// Sends the policy to the scheduler.
    pub fn configure(&mut self) {
        self.event(Event::Policy(Arc::new(self.policy.clone())));
    }

    /// Changes the CPU of one team's slice.
    pub fn set_slice(&mut self, at: usize, cpu: u64) {
        if let Some(slice) = self.slices.get_mut(&team(at % TEAMS)) {
            slice.cpu = cpu;
        }
        self.event(Event::Slices(Arc::new(self.slices.clone())));
    }

    pub fn submit(&mut self, at: usize, kind: Kind, spec: JobSpec) {
        self.accepted += 1;
        let job = Job {
            id: JobId(Uuid::from_u128(u128::from(self.accepted))),
            team: team(at % TEAMS),
            kind,
            spec: JobSpec {
                queue: kind.to_string().into(),
                ..spec
            },
            accepted: 0,
        };
        self.jobs.insert(job.id, (job.clone(), 0));
        self.event(Event::Submit(job));
    }

    pub fn cancel(&mut self, at: usize) {
        let id = self.jobs.keys().nth(at % self.jobs.len().max(1)).copied();
        if let Some(id) = id {
            self.event(Event::Cancel(id));
        }
    }

    pub fn cancel_services(&mut self) {
        let services: Vec<JobId> = self
            .jobs
            .values()
            .filter(|(job, _)| job.kind == Kind::Service)
            .map(|(job, _)| job.id)
            .collect();
        for id in services {
            self.event(Event::Cancel(id));
        }
    }

    pub fn tick(&mut self, millis: u64) {
        self.now = Millis(self.now.0 + millis);
        self.event(Event::Tick);
    }

    fn host_at(&self, at: usize) -> HostId {
        host(at % self.hosts.len())
    }

    /// Delivers the oldest `count` orders to a worker.
    pub fn deliver_orders(&mut self, at: usize, count: usize) {
        let name = self.host_at(at);
        let Some(host) = self.hosts.get_mut(&name) else {
            return;
        };
        for _ in 0..count {
            let Some(order) = host.orders.pop_front() else {
                break;
            };
            host.apply_order(order);
        }
        self.check_workers();
    }

    /// Ends one running task.
    pub fn finish_task(&mut self, at: usize, which: usize, phase: Phase) {
        let name = self.host_at(at);
        let Some(host) = self.hosts.get_mut(&name) else {
            return;
        };
        let running: Vec<TaskId> = host.running().map(|(task, _)| *task).collect();
        if let Some(task) = running.get(which % running.len().max(1)) {
            host.set(*task, phase);
        }
    }

    /// Makes a worker write a report, which stays in transit.
    pub fn write_report(&mut self, at: usize, full: bool, usage: u64) {
        let name = self.host_at(at);
        if let Some(host) = self.hosts.get_mut(&name) {
            let report = host.write_report(&name, full, usage);
            host.reports.push(report);
        }
    }

    /// Delivers one of a worker's reports, whichever `which` selects, twice if `twice` is set.
    pub fn deliver_report(&mut self, at: usize, which: usize, twice: bool) {
        let name = self.host_at(at);
        let Some(host) = self.hosts.get_mut(&name) else {
            return;
        };
        if host.reports.is_empty() {
            return;
        }
        let place = which % host.reports.len();
        let report = host.reports.remove(place);
        if twice {
            self.event(Event::Report(report.clone()));
        }
        self.event(Event::Report(report));
    }

    /// Disconnects a worker until its task leases expire, which stops its tasks.
    pub fn lose_worker(&mut self, at: usize) {
        let name = self.host_at(at);
        let Some(host) = self.hosts.get_mut(&name) else {
            return;
        };
        let running: Vec<TaskId> = host.running().map(|(task, _)| *task).collect();
        for task in running {
            host.set(task, Phase::Stopped);
        }
        host.orders.clear();
        host.reports.clear();
        host.reported_seq = 0;
        self.event(Event::WorkerLost(name));
    }

    /// Restarts a worker's process, which loses its tasks.
    pub fn restart_worker(&mut self, at: usize) {
        let name = self.host_at(at);
        if let Some(host) = self.hosts.get_mut(&name) {
            host.tasks.clear();
            host.reports.clear();
            host.incarnation += 1;
            host.seq = 0;
            host.reported_seq = 0;
        }
    }

    /// Delivers everything in transit and lets every task succeed, until every job has ended or 400
    /// rounds have passed.
    pub fn run_to_end(&mut self) {
        for _ in 0..400 {
            for at in 0..self.hosts.len() {
                self.deliver_orders(at, usize::MAX);
                let name = self.host_at(at);
                let running: Vec<TaskId> = self.hosts[&name].running().map(|(id, _)| *id).collect();
                let host = self.hosts.get_mut(&name).expect("the worker exists");
                for task in running {
                    host.set(task, Phase::Succeeded);
                }
                self.write_report(at, true, 100);
                while !self.hosts[&name].reports.is_empty() {
                    self.deliver_report(at, 0, false);
                }
            }
            self.tick(1_000);
            if self.jobs.values().all(|(_, ends)| *ends == 1) {
                break;
            }
        }
    }

    /// Checks that every job has ended and nothing is reserved.
    pub fn check_ended(&mut self) {
        for (job, ends) in self.jobs.values() {
            let explanation = self.scheduler.explain(job.id);
            assert_eq!(*ends, 1, "{job:?} has not ended: {explanation:?}");
        }
        for at in 0..self.hosts.len() {
            self.deliver_orders(at, usize::MAX);
            self.write_report(at, true, 100);
            while !self.hosts[&host(at)].reports.is_empty() {
                self.deliver_report(at, 0, false);
            }
        }
        for at in 0..TEAMS {
            assert_eq!(self.scheduler.running(&team(at)), Resources::ZERO);
        }
    }

    fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, event, &mut actions);
        self.check_gangs(&actions);
        for action in actions {
            self.apply_action(action);
        }
        self.check_conservation();
    }

    fn apply_action(&mut self, action: Action) {
        match &action {
            Action::Start(start) => {
                let worker = self.policy.workers[&start.host].clone();
                let out = self.policy.zones_out.contains(&worker.zone);
                assert!(!out, "{start:?} starts in a zone that was taken out");
                let name = start.host.clone();
                let id = start.task.job;
                self.send(&name, action);
                self.check_limit(id);
            }
            Action::Control {
                host,
                task,
                control,
                ..
            } => {
                let host = host.clone();
                if self.policy.paused {
                    let ended = self.ended(task.job);
                    let gang = self.jobs[&task.job].0.kind == Kind::Gang;
                    let duplicate = *control == TaskControl::Stop && self.has_successes(*task);
                    assert!(
                        ended || gang || duplicate,
                        "{action:?} is not allowed during a pause"
                    );
                }
                self.send(&host, action);
            }
            Action::Ended { job, .. } => {
                let entry = self.jobs.get_mut(job).expect("the job was accepted");
                entry.1 += 1;
                assert_eq!(entry.1, 1, "job {job} ended twice");
            }
        }
    }

    fn send(&mut self, host: &HostId, action: Action) {
        let host = self.hosts.get_mut(host).expect("the worker exists");
        host.orders.push_back(action);
    }

    fn ended(&self, job: JobId) -> bool {
        let status = self.scheduler.status(job);
        status.is_none_or(|status| matches!(status.state, JobState::Ended(_)))
    }

    /// Returns whether a task of the same job has succeeded, so that a running copy may be a
    /// duplicate.
    fn has_successes(&self, task: TaskId) -> bool {
        let status = self.scheduler.status(task.job);
        status.is_some_and(|status| status.succeeded > 0)
    }

    /// Returns the tasks that run, or whose start is in transit, with their hosts and sizes.
    fn committed(&self) -> Vec<(&HostId, TaskId, Resources)> {
        let mut all = Vec::new();
        for (name, host) in &self.hosts {
            all.extend(host.running().map(|(id, task)| (name, *id, task.size)));
            for order in &host.orders {
                if let Action::Start(start) = order {
                    all.push((name, start.task, start.size));
                }
            }
        }
        all
    }

    fn check_limit(&self, job: JobId) {
        let team = &self.jobs[&job].0.team;
        let sum: Resources = self
            .committed()
            .into_iter()
            .filter(|(_, task, _)| self.jobs[&task.job].0.team == *team)
            .map(|(_, _, size)| size)
            .sum();
        let limit = &self.slices[team];
        assert!(
            sum.fits_in(limit),
            "team {team} runs {sum}, more than its limit {limit}"
        );
    }

    fn check_workers(&self) {
        let mut places: HashSet<TaskId> = HashSet::default();
        for (name, host) in &self.hosts {
            let sum: Resources = host.running().map(|(_, task)| task.size).sum();
            let capacity = &self.policy.workers[name].capacity;
            assert!(
                sum.fits_in(capacity),
                "{name} runs {sum}, more than its capacity {capacity}"
            );
            for (task, _) in host.running() {
                assert!(places.insert(*task), "task {task} runs on two workers");
            }
        }
    }

    /// Checks that a gang starts, in one step, all its tasks that have not succeeded.
    fn check_gangs(&self, actions: &[Action]) {
        let mut starts: BTreeMap<JobId, u32> = BTreeMap::new();
        for action in actions {
            if let Action::Start(start) = action {
                *starts.entry(start.task.job).or_default() += 1;
            }
        }
        for (id, count) in starts {
            let job = &self.jobs[&id].0;
            let Some(status) = self.scheduler.status(id) else {
                continue;
            };
            if job.kind == Kind::Gang && !matches!(status.state, JobState::Ended(_)) {
                let wanted = job.spec.tasks - status.succeeded;
                assert_eq!(count, wanted, "gang {id} started only part of its tasks");
            }
        }
    }

    fn check_conservation(&self) {
        for status in self.scheduler.jobs() {
            let ended = matches!(status.state, JobState::Ended(_));
            assert_eq!(ended, self.jobs[&status.job.id].1 == 1);
            let sum = status.queued + status.running + status.succeeded;
            if !ended {
                assert_eq!(sum, status.job.spec.tasks, "{status:?}");
            }
        }
    }
}
