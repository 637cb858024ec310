//! A backend server: it runs short requests in a fixed number of slots.
//!
//! The body is echoed. A body that starts with `wait MS` is answered after that many
//! milliseconds. A run goes on when its sender goes away.

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

/// The status that refuses an older epoch or a request without a free slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Refusal {
    StaleEpoch,
    Full,
}

/// An answer as it was given.
#[derive(Debug, Clone)]
struct RunResponse {
    id: String,
    body: Bytes,
}

/// What changes while requests come and go.
#[derive(Debug, Default)]
struct State {
    epoch: u64,
    running: BTreeMap<RequestId, TeamId>,
    /// The most requests that ever ran at a time.
    max_running: usize,
    runs: Vec<Run>,
    fault: BackendFault,
    /// The last answer, to be given to another request by a crossing fault.
    last_response: Option<RunResponse>,
    accepted: u64,
}

/// A backend server in memory.
#[derive(Debug)]
pub struct Backend {
    name: BackendId,
    slots: u32,
    leaving: AtomicBool,
    served: AtomicU64,
    state: Mutex<State>,
}

impl Backend {
    /// Makes a backend server with `slots` slots.
    pub fn new(name: BackendId, slots: u32) -> Arc<Self> {
        Arc::new(Self {
            name,
            slots,
            leaving: AtomicBool::default(),
            served: AtomicU64::default(),
            state: Mutex::default(),
        })
    }

    /// Serves the backend server on `address`.
    pub async fn spawn(self: &Arc<Self>, address: SocketAddr) -> Result<ServerHandle> {
        serve(address, http::routes(self.clone())).await
    }

    /// Returns how many requests it has run.
    pub fn served(&self) -> u64 {
        self.served.load(Ordering::SeqCst)
    }

    /// Says that it is leaving, or that it stays.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::SeqCst);
    }

    /// Sets what goes wrong from now on.
    pub fn set_fault(&self, fault: BackendFault) {
        self.lock().fault = fault;
    }

    /// Returns every run so far, in the order in which they started.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Returns the most requests that ever ran at a time.
    pub fn max_running(&self) -> usize {
        self.lock().max_running
    }

    /// Returns how many requests it runs.
    pub fn running(&self) -> usize {
        self.lock().running.len()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an epoch as seen; returns whether it is not older than another.
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
