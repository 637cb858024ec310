//! The gate's side: decides on each job that arrives.

use std::sync::Arc;

use super::{LaneOutlook, OUTLOOK_VALID_MS, OfferedLoad, Outlook, QueueOutlook, fraction, whole};
use crate::collections::HashMap;
use crate::ids::{QueueId, TeamId};
use crate::resources::Resources;
use crate::time::Millis;
use crate::workflow::{
    HORIZONS_MS, WHOLE, WORTHLESS_FACTOR, Workflow, WorkflowId, WorkflowSpec, capacity_share,
    job_work,
};

/// How far the forecast has to exceed the end of a job's value before the jobs of a queue are
/// refused; once they are, any excess counts. The difference keeps refusals from alternating with
/// acceptance from one outlook to the next.
const BEGIN_FACTOR: f64 = 1.15;

/// The part of its budget within which a job has to end by the forecast to count as in time. Under
/// lasting overload the wait settles where jobs only just become late, and a forecast on that edge
/// says nothing.
const IN_TIME_PART: f64 = 0.8;

/// A gate's portion of the demand may grow by this factor between two outlooks without a refusal on a
/// fleet on which nothing waits.
const UNSUPPORTED_DIVISOR: u64 = 4;

/// How long after its last refusal a queue counts as refusing, in milliseconds.
const REFUSING_MS: u64 = 2_000;

/// The longest wait that a `Retry-After` is derived from, in milliseconds: with jitter on top it stays
/// within [`MAX_RETRY_S`], so that callers do not come back at the same time.
const MAX_BASE_MS: u64 = 20_000;

/// The longest `Retry-After`, in seconds.
const MAX_RETRY_S: u64 = 30;

/// The most teams whose offered jobs are counted between two calls.
const MAX_TEAMS: usize = 1_000;

/// Why a job is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The job's team submits more than its share.
    OverShare,
    /// The fleet has more work than it can complete in time.
    Overload,
}

/// A refusal of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// How long the job would wait.
    pub wait: Millis,
}

impl Refusal {
    /// Returns when the caller should come back, in whole seconds; `jitter` is from 0 to 1.
    pub fn retry_after(&self, jitter: f64) -> u64 {
        let least = match self.reason {
            RefusalReason::OverShare => 1.0,
            RefusalReason::Overload => 0.5,
        };
        let factor = least + jitter.clamp(0.0, 1.0) * (1.5 - least);
        let delay_ms = fraction(self.wait.0.min(MAX_BASE_MS)) * factor;
        whole((delay_ms / 1_000.0).ceil()).clamp(1, MAX_RETRY_S)
    }
}

/// What to do with a job that arrived.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Decision {
    /// Whether the job counts as submitted in excess of its team's share.
    pub over_share: bool,
    /// Set if the job should be refused.
    pub refusal: Option<Refusal>,
}

/// A job that this gate has accepted, or is about to.
#[derive(Debug)]
struct Admitted {
    queue: QueueId,
    spec: Arc<WorkflowSpec>,
    budget: Millis,
    over_share: bool,
    /// Work and first demand by the totals of the outlook in use.
    cost: JobCost,
    /// When the owner was told of it, or the attempt failed; `None` while that is under way.
    settled: Option<Millis>,
}

/// What a job asks of its service.
#[derive(Debug, Clone, Copy, Default)]
struct JobCost {
    /// Work of all steps.
    work: u64,
    /// The share of the service that the tasks need which can start at once, in millionths.
    demand: u64,
}

/// An outlook in use.
#[derive(Debug)]
struct Current {
    outlook: Outlook,
    /// When the call for it was sent.
    sent: Millis,
}

impl Current {
    /// Returns when the state was taken that the outlook describes, at the earliest.
    const fn taken(&self) -> Millis {
        self.sent.since(self.outlook.age)
    }

    fn total(&self, service: &str) -> Option<&Resources> {
        let mut services = self.outlook.services.iter();
        let found = services.find(|(name, _)| name == service);
        found.map(|(_, total)| total)
    }
}

/// Decides which jobs a gate refuses.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    current: Option<Current>,
    /// Jobs that the outlook may not include yet.
    admitted: HashMap<WorkflowId, Admitted>,
    /// For each team over its share, the part of a job that it may still submit within it.
    credits: HashMap<TeamId, f64>,
    offered: HashMap<TeamId, u32>,
    offered_core_ms: u64,
    /// When a job of each refusing queue was last refused.
    refusing: HashMap<QueueId, Millis>,
}

impl AdmissionControl {
    /// Returns what was offered since the last call of this function.
    pub fn take_offered(&mut self) -> OfferedLoad {
        OfferedLoad {
            jobs: self.offered.drain().collect(),
            core_ms: std::mem::take(&mut self.offered_core_ms),
        }
    }

    /// Replaces the outlook by one whose call was sent at `sent`, unless a newer one is in use.
    pub fn install(&mut self, outlook: Outlook, sent: Millis) {
        if self.current.as_ref().is_some_and(|it| it.sent > sent) {
            return;
        }
        let current = Current { outlook, sent };
        let taken = current.taken();
        self.admitted
            .retain(|_, job| job.settled.is_none_or(|settled| settled >= taken));
        for job in self.admitted.values_mut() {
            job.cost = cost(&current, &job.queue, &job.spec);
        }
        let is_over = |team: &TeamId| current.outlook.teams.iter().any(|it| it.team == *team);
        self.credits.retain(|team, _| is_over(team));
        self.current = Some(current);
    }

    /// Returns the age of the newest outlook, counted from its call; `None` before the first.
    pub fn outlook_age(&self, now: Millis) -> Option<Millis> {
        self.current.as_ref().map(|it| now.since(it.sent))
    }

    /// Decides on a job that arrived. A job that is refused must not be stored; any other is to be
    /// passed to [`AdmissionControl::begin`].
    pub fn decide(&mut self, flow: &Workflow, now: Millis) -> Decision {
        self.count_offered(flow);
        if self.admitted.contains_key(&flow.id) {
            // A write of this job may be under way, so a refusal could be wrong.
            return Decision::default();
        }
        let over_share = self.takes_excess(flow, now);
        let refusal = self.refusal(flow, over_share, now);
        Decision {
            over_share,
            refusal,
        }
    }

    /// Counts a job that is about to be stored.
    pub fn begin(&mut self, flow: &Workflow, over_share: bool, now: Millis) {
        let is_recent = |settled: Millis| now.since(settled).0 <= OUTLOOK_VALID_MS;
        self.admitted
            .retain(|_, job| job.settled.is_none_or(is_recent));
        let cost = self
            .current
            .as_ref()
            .map(|current| cost(current, &flow.queue, &flow.spec));
        self.admitted.insert(
            flow.id,
            Admitted {
                queue: flow.queue.clone(),
                spec: Arc::clone(&flow.spec),
                budget: flow.rules.time_budget(flow.spec.critical_path()),
                over_share,
                cost: cost.unwrap_or_default(),
                settled: None,
            },
        );
    }

    /// Records that the owner was told of a job; the next outlook includes it.
    pub fn settle(&mut self, id: WorkflowId, now: Millis) {
        if let Some(job) = self.admitted.get_mut(&id) {
            job.settled = Some(now);
        }
    }

    /// Forgets a job that was not stored.
    pub fn discard(&mut self, id: WorkflowId) {
        self.admitted.remove(&id);
    }

    /// Records a refusal; returns whether refusals of the queue begin with it.
    pub fn record_refusal(&mut self, queue: &QueueId, now: Millis) -> bool {
        self.refusing.insert(queue.clone(), now).is_none()
    }

    /// Returns the queues whose refusals have ended since the last call.
    pub fn ended_refusals(&mut self, now: Millis) -> Vec<QueueId> {
        let has_ended = |_: &QueueId, last: &mut Millis| now.since(*last).0 > REFUSING_MS;
        let ended = self.refusing.extract_if(has_ended);
        let mut ended: Vec<QueueId> = ended.map(|(queue, _)| queue).collect();
        ended.sort_unstable();
        ended
    }

    fn count_offered(&mut self, flow: &Workflow) {
        let core_ms = flow.spec.steps.iter().map(|step| {
            let cores = step.requested.cpu.div_ceil(1_000);
            cores
                .saturating_mul(u64::from(step.count))
                .saturating_mul(step.estimate.0)
        });
        self.offered_core_ms = core_ms.fold(self.offered_core_ms, u64::saturating_add);
        if let Some(team) = &flow.team
            && (self.offered.len() < MAX_TEAMS || self.offered.contains_key(team))
        {
            *self.offered.entry(team.clone()).or_default() += 1;
        }
    }

    /// Returns the outlook if it is recent enough.
    fn recent(&self, now: Millis) -> Option<&Current> {
        let current = self.current.as_ref()?;
        (now.since(current.sent).0 <= OUTLOOK_VALID_MS).then_some(current)
    }

    /// Counts a job of a team over its share and returns whether it is in excess of the share.
    fn takes_excess(&mut self, flow: &Workflow, now: Millis) -> bool {
        let Some(team) = &flow.team else { return false };
        let within = self.recent(now).and_then(|current| {
            let mut teams = current.outlook.teams.iter();
            teams.find(|it| it.team == *team).map(|it| it.within)
        });
        let Some(within) = within else { return false };
        let credit = self.credits.entry(team.clone()).or_insert(0.5);
        *credit += fraction(within) / fraction(WHOLE);
        if *credit >= 1.0 {
            *credit -= 1.0;
            return false;
        }
        true
    }

    fn refusal(&self, flow: &Workflow, over_share: bool, now: Millis) -> Option<Refusal> {
        let current = self.recent(now)?;
        let mut queues = current.outlook.queues.iter();
        let queue = queues.find(|it| it.queue == flow.queue)?;
        let total = current.total(&queue.service)?;
        if !is_predictable(flow) || self.has_room(flow, queue, total, current.outlook.portion) {
            return None;
        }
        let run = flow.spec.critical_path();
        let budget = flow.rules.time_budget(run);
        let wait = self.wait(queue, budget, run, over_share, now.since(current.taken()));
        let begins = !self.refusing.contains_key(&flow.queue);
        let factor = if begins { BEGIN_FACTOR } else { 1.0 };
        let is_worthless =
            fraction((wait + run).0) > fraction(budget.0) * WORTHLESS_FACTOR * factor;
        let reason = if over_share {
            RefusalReason::OverShare
        } else {
            RefusalReason::Overload
        };
        is_worthless.then_some(Refusal { reason, wait })
    }

    /// Returns the forecast of how long a job waits whose steps need `run` in all.
    fn wait(
        &self,
        queue: &QueueOutlook,
        budget: Millis,
        run: Millis,
        over_share: bool,
        elapsed: Millis,
    ) -> Millis {
        let near = HORIZONS_MS.partition_point(|bound| *bound <= budget.0);
        let is_ahead = |job: &Admitted, other: &QueueOutlook| {
            other.priority < queue.priority
                || (other.priority == queue.priority && job.budget <= budget)
        };
        let ahead = self.admitted_work(queue, |job, other| !job.over_share && is_ahead(job, other));
        let in_time = grow(&queue.in_time, near, ahead, elapsed);
        if !over_share && fraction((in_time + run).0) <= fraction(budget.0) * IN_TIME_PART {
            return in_time;
        }
        let ahead = self.admitted_work(queue, |job, _| !job.over_share);
        let late = in_time.max(grow(&queue.late, 0, ahead, elapsed));
        if !over_share {
            return late;
        }
        let ahead = self.admitted_work(queue, |_, _| true);
        late.max(grow(&queue.over_share, 0, ahead, elapsed))
    }

    /// Returns the work of this gate's own jobs on a queue's service that the outlook may not include.
    fn admitted_work(
        &self,
        queue: &QueueOutlook,
        is_ahead: impl Fn(&Admitted, &QueueOutlook) -> bool,
    ) -> u64 {
        let Some(current) = &self.current else {
            return 0;
        };
        let outlook_of = |job: &Admitted| {
            let mut queues = current.outlook.queues.iter();
            queues.find(|it| it.queue == job.queue && it.service == queue.service)
        };
        let jobs = self.admitted.values();
        jobs.filter(|job| outlook_of(job).is_some_and(|other| is_ahead(job, other)))
            .fold(0, |sum: u64, job| sum.saturating_add(job.cost.work))
    }

    /// Returns whether hosts have room for the tasks of a job that can start at once, beside those
    /// that wait already and those that all gates are taken to have admitted.
    fn has_room(
        &self,
        flow: &Workflow,
        queue: &QueueOutlook,
        total: &Resources,
        portion: u64,
    ) -> bool {
        let own = self.admitted.values().filter(|job| job.queue == flow.queue);
        let own: u64 = own.map(|job| job.cost.demand).fold(0, u64::saturating_add);
        let by_all = whole(fraction(own) * fraction(WHOLE) / fraction(portion));
        let taken = queue.wanted.saturating_add(by_all);
        let first = flow.spec.steps.iter().filter(|step| step.after.is_empty());
        let mut needed = taken;
        for step in first {
            let size = step.demand();
            let share = capacity_share(&size, total);
            let slots = queue.free.iter().fold(0, |sum: u64, group| {
                let slots = group.size.count(&size);
                sum.saturating_add(slots.saturating_mul(u64::from(group.hosts)))
            });
            needed = needed.saturating_add(share.saturating_mul(u64::from(step.count)));
            let is_taken = share > 0 && share.saturating_mul(slots) < needed;
            if is_taken || slots < u64::from(step.count) {
                return false;
            }
        }
        true
    }
}

/// Returns whether the forecast applies to a job: it runs once, at once, to an end, on any host.
fn is_predictable(flow: &Workflow) -> bool {
    let mut steps = flow.spec.steps.iter();
    flow.spec.repeat.is_none() && steps.all(|step| !step.long_running && step.requires.is_none())
}

/// Returns the cost of a job by the totals of an outlook; nothing for an unknown queue.
fn cost(current: &Current, queue: &QueueId, spec: &WorkflowSpec) -> JobCost {
    let mut queues = current.outlook.queues.iter();
    let queue = queues.find(|it| it.queue == *queue);
    let Some(total) = queue.and_then(|queue| current.total(&queue.service)) else {
        return JobCost::default();
    };
    let first = spec.steps.iter().filter(|step| step.after.is_empty());
    JobCost {
        work: job_work(spec, total),
        demand: first.fold(0, |sum: u64, step| {
            let share = capacity_share(&step.demand(), total);
            sum.saturating_add(share.saturating_mul(u64::from(step.count)))
        }),
    }
}

/// Returns the wait in a lane, behind the work of the outlook and that which was admitted since, after
/// some time has passed. Where observation does not support a long wait, the gate's own jobs count for
/// less, since its portion of the demand may have just grown.
fn grow(lane: &LaneOutlook, near: usize, admitted: u64, elapsed: Millis) -> Millis {
    let last = lane.waits.len().saturating_sub(1);
    let wait = lane.waits.get(near.min(last)).copied().unwrap_or_default();
    let added = Millis(admitted / lane.rate.max(1));
    let supported = lane.ceiling + Millis(added.0 / UNSUPPORTED_DIVISOR);
    (wait + added).since(elapsed).min(supported)
}
