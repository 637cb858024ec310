//! The requests that wait here and the backend servers of the lanes that this gate owns.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;
use wigeongate_core::admission::{Admission, Refusal, Terms, Waiting};
use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::{BackendId, QueueId, RequestId, TeamId};
use wigeongate_core::retry::Budget;
use wigeongate_core::routing::{Chosen, Ending, Routing};
use wigeongate_core::time::Millis;

use crate::clock::Clock;
use crate::message::requests::LaneDigest;

/// What a waiting request is told.
type SlotResult = Result<SlotGuard, Refusal>;

/// The decisions, and who waits for them.
pub struct LaneState {
    /// The requests that wait.
    pub admission: Admission,
    /// The backend servers.
    pub routing: Routing,
    /// The retries that teams may still make.
    pub budget: Budget,
    waiters: HashMap<RequestId, oneshot::Sender<SlotResult>>,
}

/// The requests that wait here and the backend servers of owned lanes.
pub struct Lanes {
    state: Mutex<LaneState>,
    clock: Clock,
}

/// A slot on a backend server, given back when it is dropped.
pub struct SlotGuard {
    lanes: Arc<Lanes>,
    /// The slot.
    pub chosen: Chosen,
    ending: Ending,
}

impl SlotGuard {
    /// Says how the request ended.
    pub const fn set_ending(&mut self, ending: Ending) {
        self.ending = ending;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.lanes.release(&self.chosen, self.ending);
    }
}

/// A place in the queue, given up when it is dropped.
struct WaitGuard {
    lanes: Arc<Lanes>,
    waiting: Waiting,
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
    /// Starts without servers.
    pub fn new(routing: Routing) -> Arc<Self> {
        let state = LaneState {
            admission: Admission::default(),
            routing,
            budget: Budget::default(),
            waiters: HashMap::default(),
        };
        Arc::new(Self {
            state: Mutex::new(state),
            clock: Clock::default(),
        })
    }

    /// Reads the clock that deadlines are counted on.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    fn lock(&self) -> MutexGuard<'_, LaneState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Looks at the state.
    pub fn read<T>(&self, inspect: impl FnOnce(&LaneState) -> T) -> T {
        inspect(&self.lock())
    }

    /// Changes the state, then starts what fits.
    pub fn update<T>(self: &Arc<Self>, update: impl FnOnce(&mut LaneState) -> T) -> T {
        let mut state = self.lock();
        let result = update(&mut state);
        let results = self.start_waiting(&mut state);
        drop(state);
        // A grant whose receiver is gone is dropped here, outside the lock, and given back.
        for (waiter, outcome) in results {
            drop(waiter.send(outcome));
        }
        result
    }

    /// Waits for a slot; a request that gets none did not run.
    pub async fn acquire_slot(
        self: &Arc<Self>,
        waiting: Waiting,
        terms: impl FnOnce(&LaneState) -> Terms,
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
            let terms = terms(state);
            let id = waiting.id;
            state.admission.offer(self.now(), waiting, terms)?;
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

    /// Takes a slot without waiting when nobody else waits.
    fn try_acquire(self: &Arc<Self>, waiting: &Waiting) -> Result<Option<SlotGuard>, Refusal> {
        let mut state = self.lock();
        if !state.admission.is_empty() {
            return Ok(None);
        }
        let now = self.now();
        if now + state.admission.expected(&waiting.queue) > waiting.deadline {
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
            let next = admission.next(now, |w| routing.fits(now, &w.team, &w.queue));
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

    fn release(self: &Arc<Self>, chosen: &Chosen, ending: Ending) {
        let now = self.now();
        self.update(|state| state.routing.release(now, chosen, ending));
    }

    /// Counts a first send of a team, which earns it a part of a retry.
    pub fn sent(&self, team: &TeamId) {
        self.lock().budget.sent(team);
    }

    /// Learns how long a request of a queue ran.
    pub fn ran(&self, queue: &QueueId, micros: u64) {
        self.lock().admission.ran(queue, micros);
    }

    /// Returns whether a request could start here at once.
    pub fn fits(&self, team: &TeamId, queue: &QueueId) -> bool {
        let state = self.lock();
        let now = self.now();
        state.admission.is_empty() && state.routing.fits(now, team, queue)
    }

    /// Returns the servers to ask for their status, and whether soon.
    pub fn unsettled(&self, name: &BackendId) -> bool {
        self.lock().routing.unsettled(name)
    }

    /// Returns what the lanes have to tell the other gates.
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
            full: lane.full,
        });
        digest.collect()
    }
}
