//! The backend servers of the lanes that this gate owns, and the requests that wait for a slot.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;
use wigeongate_core::admission::{Admission, AdmissionLimits, QueuedRequest, Refusal};
use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::{BackendId, QueueId, RequestId, TeamId};
use wigeongate_core::retry::RetryTokens;
use wigeongate_core::routing::{Assignment, Ending, Routing};
use wigeongate_core::time::Millis;

use crate::clock::Clock;
use crate::message::requests::LaneDigest;

/// What a waiting request receives: a slot, or a refusal.
type SlotResult = Result<SlotGuard, Refusal>;

/// Admission, routing and retry budgets, and the waiting requests.
pub struct LaneState {
    /// The order in which waiting requests start.
    pub admission: Admission,
    /// The backend servers and their slots.
    pub routing: Routing,
    /// The retries that each team may still make.
    pub budget: RetryTokens,
    waiters: HashMap<RequestId, oneshot::Sender<SlotResult>>,
}

/// The backend servers of the owned lanes, and the requests that wait for a slot.
pub struct Lanes {
    state: Mutex<LaneState>,
    clock: Clock,
}

/// A slot on a backend server, released on drop.
pub struct SlotGuard {
    lanes: Arc<Lanes>,
    /// The request, the server of the slot, its lane and the epoch of the lane.
    pub chosen: Assignment,
    ending: Ending,
}

impl SlotGuard {
    /// Sets how the request ended; without it the release says nothing about the server.
    pub const fn set_ending(&mut self, ending: Ending) {
        self.ending = ending;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.lanes.release(&self.chosen, self.ending);
    }
}

/// A waiting request, removed from the queue on drop.
struct WaitGuard {
    lanes: Arc<Lanes>,
    waiting: QueuedRequest,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let mut state = self.lanes.lock();
        if state.waiters.remove(&self.waiting.id).is_some() {
            state.admission.remove(&self.waiting);
        }
    }
}

impl Lanes {
    /// Creates lanes without waiting requests.
    pub fn new(routing: Routing) -> Arc<Self> {
        let state = LaneState {
            admission: Admission::default(),
            routing,
            budget: RetryTokens::default(),
            waiters: HashMap::default(),
        };
        Arc::new(Self {
            state: Mutex::new(state),
            clock: Clock::default(),
        })
    }

    /// Returns the time of the monotonic clock that deadlines refer to, in milliseconds.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    fn lock(&self) -> MutexGuard<'_, LaneState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls `inspect` with the locked state.
    pub fn read<T>(&self, inspect: impl FnOnce(&LaneState) -> T) -> T {
        inspect(&self.lock())
    }

    /// Changes the state, then starts the waiting requests for which a slot is free.
    pub fn update<T>(self: &Arc<Self>, update: impl FnOnce(&mut LaneState) -> T) -> T {
        let mut state = self.lock();
        let result = update(&mut state);
        let results = self.start_waiting(&mut state);
        drop(state);
        // If the receiver is gone, the slot is dropped here, outside the lock, and released.
        for (waiter, outcome) in results {
            drop(waiter.send(outcome));
        }
        result
    }

    /// Waits for a slot until the deadline of the request.
    ///
    /// A request that is refused has not run.
    pub async fn acquire_slot(
        self: &Arc<Self>,
        waiting: QueuedRequest,
        limits: impl FnOnce(&LaneState) -> AdmissionLimits,
    ) -> Result<SlotGuard, Refusal> {
        if let Some(slot) = self.try_acquire(&waiting)? {
            return Ok(slot);
        }
        let (sender, receiver) = oneshot::channel();
        let left = waiting.deadline.since(self.now());
        let guard = WaitGuard {
            lanes: self.clone(),
            waiting: waiting.clone(),
        };
        self.update(|state| {
            let limits = limits(state);
            let id = waiting.id;
            state.admission.admit(self.now(), waiting, limits)?;
            state.waiters.insert(id, sender);
            Ok(())
        })?;
        let outcome = tokio::time::timeout(left.into(), receiver).await;
        drop(guard);
        match outcome {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(Refusal::Late),
        }
    }

    /// Takes a free slot at once if no other request waits.
    fn try_acquire(
        self: &Arc<Self>,
        waiting: &QueuedRequest,
    ) -> Result<Option<SlotGuard>, Refusal> {
        let mut state = self.lock();
        if !state.admission.is_empty() {
            return Ok(None);
        }
        let now = self.now();
        if now + state.admission.expected_run_time(&waiting.queue) > waiting.deadline {
            return Err(Refusal::Late);
        }
        let chosen = state
            .routing
            .choose(now, waiting.id, &waiting.team, &waiting.queue);
        drop(state);
        Ok(chosen.map(|chosen| SlotGuard {
            lanes: self.clone(),
            chosen,
            ending: Ending::Neutral,
        }))
    }

    fn start_waiting(
        self: &Arc<Self>,
        state: &mut LaneState,
    ) -> Vec<(oneshot::Sender<SlotResult>, SlotResult)> {
        let now = self.now();
        let mut results = Vec::new();
        while !state.admission.is_empty() {
            let LaneState {
                admission, routing, ..
            } = state;
            let next = admission.select_next(now, |w| routing.can_start(now, &w.team, &w.queue));
            for shed in next.shed {
                let waiter = state.waiters.remove(&shed.id);
                results.extend(waiter.map(|waiter| (waiter, Err(Refusal::Late))));
            }
            let Some(start) = next.start else {
                break;
            };
            let waiter = state.waiters.remove(&start.id);
            let chosen = state
                .routing
                .choose(now, start.id, &start.team, &start.queue);
            match (waiter, chosen) {
                (Some(waiter), Some(chosen)) => {
                    let slot = SlotGuard {
                        lanes: self.clone(),
                        chosen,
                        ending: Ending::Neutral,
                    };
                    results.push((waiter, Ok(slot)));
                }
                (None, Some(chosen)) => state.routing.release(now, &chosen, Ending::Neutral),
                (_, None) => {}
            }
        }
        results
    }

    fn release(self: &Arc<Self>, chosen: &Assignment, ending: Ending) {
        let now = self.now();
        self.update(|state| state.routing.release(now, chosen, ending));
    }

    /// Counts a first send of a team, which adds a fraction of a retry to its budget.
    pub fn sent(&self, team: &TeamId) {
        self.lock().budget.record_send(team);
    }

    /// Records how long a request of a queue ran, in microseconds.
    pub fn ran(&self, queue: &QueueId, micros: u64) {
        self.lock().admission.record_run_time(queue, micros);
    }

    /// Returns whether a request could start at once on a backend server of an owned lane.
    pub fn fits(&self, team: &TeamId, queue: &QueueId) -> bool {
        let state = self.lock();
        let now = self.now();
        state.admission.is_empty() && state.routing.can_start(now, team, queue)
    }

    /// Returns whether the status of a server is polled at the shorter interval.
    pub fn unsettled(&self, name: &BackendId) -> bool {
        self.lock().routing.needs_report(name)
    }

    /// Returns the capacity and load of each owned lane, as published to the other gates.
    pub fn digest(&self) -> Vec<LaneDigest> {
        let state = self.lock();
        let lanes = state.routing.lanes(self.now());
        let slots: u32 = lanes.values().map(|lane| lane.slots).sum();
        let waiting = u32::try_from(state.admission.len()).unwrap_or(u32::MAX);
        let digest = lanes.into_iter().map(|(number, lane)| LaneDigest {
            lane: number,
            free: lane.free,
            slots: lane.slots,
            waiting: waiting.saturating_mul(lane.slots) / slots.max(1),
            full_teams: lane.full,
        });
        digest.collect()
    }
}
