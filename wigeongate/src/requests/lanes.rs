//! The requests that wait here and the backend servers of the lanes that this gate owns.

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

/// What a waiting request is told.
type Told = Result<Grant, Refusal>;

/// The decisions, and who waits for them.
pub struct State {
    /// The requests that wait.
    pub admission: Admission,
    /// The backend servers.
    pub routing: Routing,
    /// The retries that teams may still make.
    pub budget: RetryTokens,
    waiters: HashMap<RequestId, oneshot::Sender<Told>>,
}

/// The requests that wait here and the backend servers of owned lanes.
pub struct Lanes {
    state: Mutex<State>,
    clock: Clock,
}

/// A slot on a backend server, given back when it is dropped.
pub struct Grant {
    lanes: Arc<Lanes>,
    /// The slot.
    pub chosen: Assignment,
    ending: Ending,
}

impl Grant {
    /// Says how the request ended.
    pub const fn end(&mut self, ending: Ending) {
        self.ending = ending;
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        self.lanes.release(&self.chosen, self.ending);
    }
}

/// A place in the queue, given up when it is dropped.
struct Place {
    lanes: Arc<Lanes>,
    waiting: QueuedRequest,
}

impl Drop for Place {
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
        let state = State {
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

    /// Reads the clock that deadlines are counted on.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Looks at the state.
    pub fn read<T>(&self, look: impl FnOnce(&State) -> T) -> T {
        look(&self.lock())
    }

    /// Changes the state, then starts what fits.
    pub fn change<T>(self: &Arc<Self>, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.lock();
        let result = change(&mut state);
        let told = self.pump(&mut state);
        drop(state);
        // A grant whose receiver is gone is dropped here, outside the lock, and given back.
        for (waiter, told) in told {
            drop(waiter.send(told));
        }
        result
    }

    /// Waits for a slot; a request that gets none did not run.
    pub async fn slot(
        self: &Arc<Self>,
        waiting: QueuedRequest,
        terms: impl FnOnce(&State) -> AdmissionLimits,
    ) -> Result<Grant, Refusal> {
        if let Some(grant) = self.at_once(&waiting)? {
            return Ok(grant);
        }
        let (sender, receiver) = oneshot::channel();
        let left = waiting.deadline.since(self.now());
        let place = Place {
            lanes: self.clone(),
            waiting: waiting.clone(),
        };
        self.change(|state| {
            let terms = terms(state);
            let id = waiting.id;
            state.admission.admit(self.now(), waiting, terms)?;
            state.waiters.insert(id, sender);
            Ok(())
        })?;
        let told = tokio::time::timeout(left.into(), receiver).await;
        drop(place);
        match told {
            Ok(Ok(told)) => told,
            Ok(Err(_)) | Err(_) => Err(Refusal::Late),
        }
    }

    /// Takes a slot without waiting when nobody else waits.
    fn at_once(self: &Arc<Self>, waiting: &QueuedRequest) -> Result<Option<Grant>, Refusal> {
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
        Ok(chosen.map(|chosen| Grant {
            lanes: self.clone(),
            chosen,
            ending: Ending::Neutral,
        }))
    }

    fn pump(self: &Arc<Self>, state: &mut State) -> Vec<(oneshot::Sender<Told>, Told)> {
        let now = self.now();
        let mut told = Vec::new();
        while !state.admission.is_empty() {
            let State {
                admission, routing, ..
            } = state;
            let next = admission.select_next(now, |w| routing.can_start(now, &w.team, &w.queue));
            for shed in next.shed {
                let waiter = state.waiters.remove(&shed.id);
                told.extend(waiter.map(|waiter| (waiter, Err(Refusal::Late))));
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
                    let grant = Grant {
                        lanes: self.clone(),
                        chosen,
                        ending: Ending::Neutral,
                    };
                    told.push((waiter, Ok(grant)));
                }
                (None, Some(chosen)) => state.routing.release(now, &chosen, Ending::Neutral),
                (_, None) => {}
            }
        }
        told
    }

    fn release(self: &Arc<Self>, chosen: &Assignment, ending: Ending) {
        let now = self.now();
        self.change(|state| state.routing.release(now, chosen, ending));
    }

    /// Counts a first send of a team, which earns it a part of a retry.
    pub fn sent(&self, team: &TeamId) {
        self.lock().budget.record_send(team);
    }

    /// Learns how long a request of a queue ran.
    pub fn ran(&self, queue: &QueueId, micros: u64) {
        self.lock().admission.record_run_time(queue, micros);
    }

    /// Returns whether a request could start here at once.
    pub fn fits(&self, team: &TeamId, queue: &QueueId) -> bool {
        let state = self.lock();
        let now = self.now();
        state.admission.is_empty() && state.routing.can_start(now, team, queue)
    }

    /// Returns the servers to ask for their status, and whether soon.
    pub fn unsettled(&self, name: &BackendId) -> bool {
        self.lock().routing.needs_report(name)
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
            full_teams: lane.full,
        });
        digest.collect()
    }
}
