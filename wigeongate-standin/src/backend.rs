//! Stand-in for a backend server that runs short requests in a fixed number of slots.
//!
//! The response echoes the request body. If the body starts with `wait MS`, the response is delayed
//! by that many milliseconds. A run continues after its sender disconnects.

mod fault;
mod http;
mod run;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use eyre::Result;
use wigeongate_api::backend::{BackendStatus, RunningRequest};
use wigeongate_core::ids::{BackendId, Epoch, RequestId, TeamId};

pub use self::fault::BackendFault;
pub use self::run::{Run, RunState};
use crate::serve::{ServerHandle, serve};

/// Reason why a request is refused without being run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Refusal {
    /// The backend server has seen a newer epoch than the request's.
    StaleEpoch,
    /// No slot is free.
    Full,
}

/// Response to a request, before a fault is applied to its body.
#[derive(Debug, Clone)]
struct RunResponse {
    id: String,
    body: Bytes,
}

/// Mutable state of a backend server.
#[derive(Debug, Default)]
struct State {
    /// Newest epoch seen.
    epoch: u64,
    running: BTreeMap<RequestId, TeamId>,
    /// Highest number of requests that ran concurrently.
    max_running: usize,
    runs: Vec<Run>,
    fault: BackendFault,
    /// Response to the request that finished last; `cross_every` sends it to another request.
    last_response: Option<RunResponse>,
    /// Number of requests accepted so far, which gives each one its index.
    accepted: u64,
}

/// In-memory backend server.
#[derive(Debug)]
pub struct Backend {
    name: BackendId,
    slots: u32,
    leaving: AtomicBool,
    /// Number of requests that have finished.
    served: AtomicU64,
    state: Mutex<State>,
}

impl Backend {
    /// Creates a backend server that runs up to `slots` requests concurrently.
    pub fn new(name: BackendId, slots: u32) -> Arc<Self> {
        Arc::new(Self {
            name,
            slots,
            leaving: AtomicBool::default(),
            served: AtomicU64::default(),
            state: Mutex::default(),
        })
    }

    /// Starts serving HTTP on `address`; fails if the address cannot be bound.
    pub async fn spawn(self: &Arc<Self>, address: SocketAddr) -> Result<ServerHandle> {
        serve(address, http::routes(self.clone())).await
    }

    /// Returns the number of requests that have finished.
    pub fn served(&self) -> u64 {
        self.served.load(Ordering::SeqCst)
    }

    /// Sets whether the status reports the server as leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::SeqCst);
    }

    /// Replaces the injected faults.
    pub fn set_fault(&self, fault: BackendFault) {
        self.lock().fault = fault;
    }

    /// Returns all runs so far, in the order in which they started.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Returns the highest number of requests that ran concurrently.
    pub fn max_running(&self) -> usize {
        self.lock().max_running
    }

    /// Returns the number of requests that are running.
    pub fn running(&self) -> usize {
        self.lock().running.len()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an epoch; returns `false` if a newer one has been seen.
    fn observe_epoch(&self, epoch: u64) -> bool {
        let mut state = self.lock();
        state.epoch = state.epoch.max(epoch);
        state.epoch == epoch
    }

    fn status(&self) -> BackendStatus {
        let state = self.lock();
        let running = state.running.iter();
        let running: Vec<_> = running
            .map(|(id, team)| RunningRequest {
                id: *id,
                team: team.clone(),
            })
            .collect();
        BackendStatus {
            server: self.name.clone(),
            leaving: self.leaving.load(Ordering::SeqCst),
            epoch: Epoch(state.epoch),
            slots: self.slots,
            busy: u32::try_from(running.len()).unwrap_or(u32::MAX),
            running,
        }
    }
}
