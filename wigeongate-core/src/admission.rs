//! Admission queue of requests that wait for a backend slot: bounds, load shedding and fair order.
//!
//! Stride scheduling divides the slots among the classes by weight, and within a class among the
//! teams by share: the class or team that has received the least work for its weight is served
//! next. A request that can no longer meet its deadline is shed before it is sent.

use std::collections::{BTreeMap, VecDeque};

use derive_more::Display;

use crate::class::Class;
use crate::collections::HashMap;
use crate::ids::{QueueId, RequestId, TeamId};
use crate::time::Millis;

/// Numerator of a stride; large enough that the division by a weight loses little precision.
const STRIDE_SCALE: u64 = 1 << 20;

/// Weight of a new sample in the moving average of the run time: one part in this many.
const EWMA_DIVISOR: u64 = 8;

/// Microseconds in a millisecond; mean run times are kept in microseconds.
const MICROS_PER_MILLI: u64 = 1_000;

/// Request that waits for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Identifier of the request.
    pub id: RequestId,
    /// Team that submitted the request.
    pub team: TeamId,
    /// Queue of the request.
    pub queue: QueueId,
    /// Latency class of the request.
    pub class: Class,
    /// Time by which the answer is due.
    pub deadline: Millis,
}

/// Limits that apply to one request, from the configuration and the backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Weight of the team; at least one.
    pub share: u32,
    /// Maximum number of the team's requests that wait in the queue.
    pub bound: u32,
    /// Number of slots that serve the queue.
    pub slots: u32,
}

/// Reason why a request was not admitted; the request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, derive_more::Error)]
pub enum Refusal {
    /// The team has reached its bound of waiting requests.
    #[display("the team has as many requests waiting in the queue as may wait")]
    Full,
    /// The request would end after its deadline.
    #[display("the deadline cannot be met")]
    Late,
}

/// Key of a flow.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct FlowKey {
    class: Class,
    team: TeamId,
    queue: QueueId,
}

impl FlowKey {
    fn of(request: &QueuedRequest) -> Self {
        Self {
            class: request.class,
            team: request.team.clone(),
            queue: request.queue.clone(),
        }
    }
}

/// Waiting requests of one class and team in one queue, oldest first.
#[derive(Debug, Default)]
struct Flow {
    share: u32,
    requests: VecDeque<QueuedRequest>,
}

/// Result of the selection of the next request.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Selection {
    /// Request to start, if there is one.
    pub start: Option<QueuedRequest>,
    /// Requests that the selection shed; they did not run.
    pub shed: Vec<QueuedRequest>,
}

/// Queue of requests that wait for a slot.
#[derive(Debug, Default)]
pub struct Admission {
    /// Invariant: no flow is empty.
    flows: BTreeMap<FlowKey, Flow>,
    /// Stride pass of each class: the work that it has received, divided by its weight.
    class_passes: HashMap<Class, u64>,
    /// Stride pass of each team in a class: the work that it has received, divided by its share.
    team_passes: HashMap<(Class, TeamId), u64>,
    /// Moving average of the run time of each queue, in microseconds.
    mean_micros: HashMap<QueueId, u64>,
    /// Invariant: the sum of the lengths of the flows.
    len: usize,
}

impl Admission {
    /// Returns the number of waiting requests.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request waits.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds the run time of a request, in microseconds, to the moving average of its queue.
    pub fn record_run_time(&mut self, queue: &QueueId, micros: u64) {
        let mean = self.mean_micros.entry(queue.clone()).or_insert(micros);
        *mean = (*mean * (EWMA_DIVISOR - 1) + micros) / EWMA_DIVISOR;
    }

    /// Returns the expected run time of a request of a queue, rounded up; zero before the first
    /// sample.
    pub fn expected_run_time(&self, queue: &QueueId) -> Millis {
        Millis(self.run_micros(queue).div_ceil(MICROS_PER_MILLI))
    }

    fn run_micros(&self, queue: &QueueId) -> u64 {
        self.mean_micros.get(queue).copied().unwrap_or_default()
    }

    /// Adds a request to its flow, or returns [`Refusal::Full`] when the team's bound is reached
    /// and [`Refusal::Late`] when the estimated end of the request is after its deadline.
    pub fn admit(
        &mut self,
        now: Millis,
        request: QueuedRequest,
        limits: AdmissionLimits,
    ) -> Result<(), Refusal> {
        let key = FlowKey::of(&request);
        let length = self.flows.get(&key).map_or(0, |flow| flow.requests.len());
        if length >= limits.bound as usize {
            return Err(Refusal::Full);
        }
        let run = self.expected_run_time(&request.queue);
        let wait = self.estimate_wait(&key, length, limits);
        if now.0.saturating_add(wait.0).saturating_add(run.0) > request.deadline.0 {
            return Err(Refusal::Late);
        }
        self.catch_up_passes(&key);
        let flow = self.flows.entry(key).or_default();
        flow.share = limits.share.max(1);
        flow.requests.push_back(request);
        self.len += 1;
        Ok(())
    }

    /// Estimates the wait behind `ahead` requests of the same flow.
    fn estimate_wait(&self, key: &FlowKey, ahead: usize, limits: AdmissionLimits) -> Millis {
        if ahead == 0 {
            return Millis::ZERO;
        }
        let mut classes: u64 = 0;
        let mut shares: u64 = 0;
        let mut last = None;
        for (other, flow) in &self.flows {
            if last != Some(other.class) {
                classes += other.class.weight();
                last = Some(other.class);
            }
            if other.class == key.class {
                shares += u64::from(flow.share);
            }
        }
        let share = u64::from(limits.share.max(1));
        let ours = key.class.weight() * share;
        let all = classes.max(key.class.weight()) * shares.max(share);
        let slots = u64::from(limits.slots.max(1));
        let work = self.run_micros(&key.queue).saturating_mul(ahead as u64);
        Millis(work.saturating_mul(all) / (ours * slots * MICROS_PER_MILLI))
    }

    /// Raises the passes of a class and a team that had no waiting requests to the lowest pass of
    /// those that have some, so that idle time earns no credit.
    fn catch_up_passes(&mut self, key: &FlowKey) {
        let class_waits = self.flows.keys().any(|flow| flow.class == key.class);
        if !class_waits {
            let active = self.flows.keys().map(|flow| flow.class);
            let floor = active
                .filter_map(|c| self.class_passes.get(&c))
                .min()
                .copied();
            let own = self.class_passes.entry(key.class).or_default();
            *own = (*own).max(floor.unwrap_or_default());
        }
        let of_class = |flow: &&FlowKey| flow.class == key.class;
        let team_waits = self
            .flows
            .keys()
            .any(|l| of_class(&l) && l.team == key.team);
        if !team_waits {
            let active = self.flows.keys().filter(of_class);
            let passes = active.filter_map(|l| self.team_passes.get(&(l.class, l.team.clone())));
            let floor = passes.min().copied().unwrap_or_default();
            let own = self
                .team_passes
                .entry((key.class, key.team.clone()))
                .or_default();
            *own = (*own).max(floor);
        }
    }

    /// Removes and returns the next request that `fits`, and sheds requests that can no longer meet
    /// their deadline.
    pub fn select_next(
        &mut self,
        now: Millis,
        mut fits: impl FnMut(&QueuedRequest) -> bool,
    ) -> Selection {
        let mut selection = Selection::default();
        for key in self.service_order() {
            self.shed_late(now, &key, &mut selection.shed);
            let Some(flow) = self.flows.get_mut(&key) else {
                continue;
            };
            let fitting = flow.requests.front().is_some_and(&mut fits);
            if fitting {
                selection.start = flow.requests.pop_front();
                self.len -= 1;
                self.charge(&key);
                self.drop_empty(&key);
                break;
            }
        }
        selection
    }

    /// Returns the flows in service order, the lowest passes first.
    fn service_order(&self) -> Vec<FlowKey> {
        let mut order: Vec<(u64, u64, &FlowKey)> = self
            .flows
            .keys()
            .map(|key| {
                let class = self
                    .class_passes
                    .get(&key.class)
                    .copied()
                    .unwrap_or_default();
                let team = self.team_passes.get(&(key.class, key.team.clone()));
                (class, team.copied().unwrap_or_default(), key)
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, _, key)| key.clone()).collect()
    }

    fn shed_late(&mut self, now: Millis, key: &FlowKey, shed: &mut Vec<QueuedRequest>) {
        let run = self.expected_run_time(&key.queue);
        let Some(flow) = self.flows.get_mut(key) else {
            return;
        };
        while let Some(first) = flow.requests.front() {
            if now.0.saturating_add(run.0) <= first.deadline.0 {
                break;
            }
            shed.extend(flow.requests.pop_front());
            self.len -= 1;
        }
        self.drop_empty(key);
    }

    fn charge(&mut self, key: &FlowKey) {
        let share = self.flows.get(key).map_or(1, |flow| flow.share.max(1));
        let cost = self
            .run_micros(&key.queue)
            .max(1)
            .saturating_mul(STRIDE_SCALE);
        let class = self.class_passes.entry(key.class).or_default();
        *class = class.saturating_add(cost / key.class.weight());
        let team = self
            .team_passes
            .entry((key.class, key.team.clone()))
            .or_default();
        *team = team.saturating_add(cost / u64::from(share));
    }

    fn drop_empty(&mut self, key: &FlowKey) {
        if self
            .flows
            .get(key)
            .is_some_and(|flow| flow.requests.is_empty())
        {
            self.flows.remove(key);
        }
        if self.len == 0 {
            self.class_passes.clear();
            self.team_passes.clear();
        }
    }

    /// Removes an abandoned request and returns whether it was still waiting.
    pub fn remove(&mut self, request: &QueuedRequest) -> bool {
        let key = FlowKey::of(request);
        let Some(flow) = self.flows.get_mut(&key) else {
            return false;
        };
        let Some(index) = flow.requests.iter().position(|r| r.id == request.id) else {
            return false;
        };
        flow.requests.remove(index);
        self.len -= 1;
        self.drop_empty(&key);
        true
    }
}
