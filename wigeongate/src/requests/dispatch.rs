//! Sends requests to backend servers of this gate or through another gate, with retries.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use tokio::runtime::Handle;
use tokio::time::sleep;
use uuid::Uuid;
use wigeongate_core::admission::AdmissionLimits;
use wigeongate_core::ids::{GateId, RequestId, Unit};
use wigeongate_core::retry::{backoff, meets_deadline};
use wigeongate_core::routing::Ending;
use wigeongate_core::time::Millis;

use super::lanes::{LaneState, SlotGuard};
use super::peers::Target;
use super::request::{Completion, Outcome, QueueRequest};
use super::{Requests, request};
use crate::backend::{BackendError, BackendRequest, Fault};
use crate::live::LiveConfiguration;
use crate::message::requests::{ErrorKind, ForwardedRequest, RequestCall, RequestError};
use crate::metrics::Counter;

/// The largest number of attempts for one request, including attempts that did not run.
const MAX_ATTEMPTS: u32 = 5;

/// The time reserved for the transfer of a response between two gates.
const RETURN_MARGIN: Millis = Millis(5);

/// The result of one attempt.
struct AttemptResult {
    outcome: Outcome,
    /// The gate that the request was forwarded to; `None` if this gate handled it.
    gate: Option<GateId>,
}

impl Requests {
    /// Checks a request from another gate against the configuration in force here.
    ///
    /// Fails if this gate does not know the queue or the key.
    pub(super) fn admit_forwarded(
        &self,
        forwarded: ForwardedRequest,
    ) -> Result<QueueRequest, RequestError> {
        let live = self.settings.configurations.live();
        let Some(queue) = live.queue(&forwarded.queue) else {
            let detail = format!(
                "queue {} is not in the configuration of this gate",
                forwarded.queue
            );
            return Err(ErrorKind::Elsewhere.with_detail(detail));
        };
        if !live.is_team_key(&forwarded.key, &forwarded.team) {
            return Err(ErrorKind::Withdrawn
                .with_detail("the key is not in the configuration of this gate"));
        }
        Ok(QueueRequest {
            id: forwarded.id,
            team: forwarded.team,
            key: forwarded.key,
            queue: forwarded.queue,
            class: queue.class,
            idempotent: queue.idempotent,
            path: forwarded.path.into(),
            body: forwarded.body.into(),
            deadline: self.lanes.now() + forwarded.time_left,
        })
    }

    /// Runs a request from another gate if a slot is free or the request may wait for one.
    pub(super) async fn run_forwarded(self: &Arc<Self>, forwarded: ForwardedRequest) -> Outcome {
        let may_wait = forwarded.may_wait;
        let request = self.admit_forwarded(forwarded)?;
        if !may_wait && !self.lanes.fits(&request.team, &request.queue) {
            return Err(ErrorKind::Elsewhere.with_detail("no slot is free"));
        }
        self.run_local(&request).await
    }

    /// Runs a request on this gate or on another one with a free slot, and retries failures while
    /// that is safe and within the retry budget of the team.
    pub(super) async fn dispatch(self: &Arc<Self>, request: &QueueRequest) -> Outcome {
        let mut request = request.clone();
        self.lanes.sent(&request.team);
        let mut avoid = Vec::new();
        let mut unknown: Option<RequestError> = None;
        let mut attempts = 0;
        loop {
            let result = self.attempt(&request, &avoid).await;
            let error = match result.outcome {
                Ok(completion) => return Ok(completion),
                Err(error) => error,
            };
            attempts += 1;
            let refused = error.kind == ErrorKind::Elsewhere && result.gate.is_some();
            // A gate without a free slot refuses at once; a delay before the next attempt would gain
            // nothing.
            let delay = if refused {
                Millis::ZERO
            } else {
                backoff(attempts, rand::random())
            };
            let retry = attempts < MAX_ATTEMPTS
                && self.meets_deadline(&request, delay)
                && self.may_retry(&request, &error, result.gate.is_some());
            avoid.extend(result.gate);
            if !error.kind.not_run() {
                unknown = Some(error.clone());
            }
            if !retry {
                // An earlier attempt may have run, so a later error must not report `NotRun`.
                return Err(unknown.unwrap_or(error));
            }
            self.settings.metrics.count(Counter::RequestsRetried);
            // Each attempt has its own identifier, so that a late response to an earlier attempt
            // is not accepted.
            request.id = RequestId(Uuid::now_v7());
            sleep(delay.into()).await;
        }
    }

    fn meets_deadline(&self, request: &QueueRequest, delay: Millis) -> bool {
        let run = self
            .lanes
            .read(|state| state.admission.expected_run_time(&request.queue));
        meets_deadline(self.lanes.now(), delay, run, request.deadline)
    }

    /// Returns whether a failed request may be retried.
    ///
    /// Retrying a request that may have run takes one retry from the budget of the team.
    fn may_retry(&self, request: &QueueRequest, error: &RequestError, remote: bool) -> bool {
        match error.kind {
            ErrorKind::Unreachable | ErrorKind::Elsewhere => true,
            ErrorKind::Full => remote,
            ErrorKind::Unknown => request.idempotent && self.spend_retry(request),
            _ => false,
        }
    }

    fn spend_retry(&self, request: &QueueRequest) -> bool {
        self.lanes
            .update(|state| state.budget.try_spend(&request.team))
    }

    async fn attempt(self: &Arc<Self>, request: &QueueRequest, avoid: &[GateId]) -> AttemptResult {
        let target = self.choose_target(request, avoid);
        let outcome = match &target {
            None => self.run_local(request).await,
            Some(target) => self.run_remote(target, request).await,
        };
        AttemptResult {
            outcome,
            gate: target.map(|target| target.gate),
        }
    }

    async fn run_remote(&self, target: &Target, request: &QueueRequest) -> Outcome {
        let forwarded = request.to_forwarded(self.lanes.now() + RETURN_MARGIN, target.may_wait);
        if forwarded.time_left == Millis::ZERO {
            return Err(ErrorKind::Late
                .with_detail("too little time is left to forward the request to another gate"));
        }
        self.sent_counts.add(&target.gate);
        let call = RequestCall::Run(forwarded);
        let within = request.deadline.since(self.lanes.now());
        self.call(&target.gate, call, within).await
    }

    /// Runs a request on a backend server of a lane that this gate owns.
    pub(super) async fn run_local(self: &Arc<Self>, request: &QueueRequest) -> Outcome {
        let started = Instant::now();
        let live = self.settings.configurations.live();
        let slot = self
            .lanes
            .acquire_slot(request.to_waiting(), |state| {
                self.limits(&live, state, request)
            })
            .await?;
        self.settings
            .metrics
            .record_wait(&request.team, request.class, started.elapsed());
        self.recheck_key(&live, request)?;
        DetachOnDrop(Some(send(self.clone(), slot, request.clone()).boxed())).await
    }

    fn limits(
        &self,
        live: &LiveConfiguration,
        state: &LaneState,
        request: &QueueRequest,
    ) -> AdmissionLimits {
        let team = live.policy.teams.get(&request.team);
        let queue = live.queue(&request.queue);
        AdmissionLimits {
            share: team.map_or(1, |team| team.share),
            bound: queue.map_or(0, |queue| queue.bound),
            slots: state.routing.slots(self.lanes.now(), &request.queue),
        }
    }

    /// Checks the key again if the configuration has changed since the request was admitted.
    fn recheck_key(
        &self,
        before: &LiveConfiguration,
        request: &QueueRequest,
    ) -> Result<(), RequestError> {
        let live = self.settings.configurations.live();
        let same = live.configuration.revision == before.configuration.revision;
        if same || live.is_team_key(&request.key, &request.team) {
            return Ok(());
        }
        Err(ErrorKind::Withdrawn.with_detail("the key was withdrawn while the request waited"))
    }
}

/// A send that moves to a task of its own when its caller is dropped, so that its result is
/// still recorded.
struct DetachOnDrop(Option<BoxFuture<'static, Outcome>>);

impl Future for DetachOnDrop {
    type Output = Outcome;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Outcome> {
        let Some(send) = &mut self.0 else {
            return Poll::Pending;
        };
        let outcome = ready!(send.as_mut().poll(context));
        self.0 = None;
        Poll::Ready(outcome)
    }
}

impl Drop for DetachOnDrop {
    fn drop(&mut self) {
        if let (Some(send), Ok(runtime)) = (self.0.take(), Handle::try_current()) {
            runtime.spawn(send);
        }
    }
}

/// Sends a request once on a slot; the error says whether the request may have run.
async fn send(requests: Arc<Requests>, mut slot: SlotGuard, request: QueueRequest) -> Outcome {
    let chosen = &slot.chosen;
    let unit = Unit::Lane(chosen.lane);
    let Some(client) = requests.clients.load().get(&chosen.server).cloned() else {
        return Err(ErrorKind::Elsewhere
            .with_detail("the backend server is no longer in the configuration"));
    };
    let left = request.deadline.since(requests.lanes.now());
    if left == Millis::ZERO {
        return Err(ErrorKind::Late.with_detail("the deadline has passed"));
    }
    if requests.settings.cluster.may_act(&unit) != Some(chosen.epoch) {
        return Err(ErrorKind::Elsewhere.with_detail(format!("{unit} belongs to another gate")));
    }
    let backend_request = BackendRequest {
        id: request.id,
        epoch: chosen.epoch,
        team: request.team.clone(),
        path: request.path.clone(),
        body: request.body.clone(),
        timeout: left,
    };
    let started = Instant::now();
    let result = client.run(backend_request).await;
    requests.record_result(&unit, &mut slot, &request, &result, started.elapsed());
    drop(slot);
    result
        .map(|response| Completion {
            response,
            replayed: false,
        })
        .map_err(|error| request::from_backend(&error))
}

impl Requests {
    fn record_result(
        &self,
        unit: &Unit,
        slot: &mut SlotGuard,
        request: &QueueRequest,
        result: &Result<crate::backend::BackendResponse, BackendError>,
        took: Duration,
    ) {
        slot.set_ending(ending(result));
        match result {
            Ok(_) => {
                let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
                self.lanes.ran(&request.queue, micros);
            }
            Err(error) => {
                tracing::debug!("requests: {error}.");
                self.settings.metrics.count(match error {
                    BackendError::Unknown {
                        fault: Fault::MismatchedId,
                        ..
                    } => Counter::LateAnswers,
                    BackendError::Unknown { .. } => Counter::RequestsUnknown,
                    BackendError::NotRun { .. } => Counter::RequestsNotRun,
                });
                if error.fault() == Fault::StaleEpoch {
                    self.settings.cluster.renew_epoch(unit);
                }
                self.poll_status.notify_one();
            }
        }
    }
}

/// Returns what a result shows about the backend server and its slot.
const fn ending(result: &Result<crate::backend::BackendResponse, BackendError>) -> Ending {
    match result {
        Ok(_) => Ending::Answered,
        Err(BackendError::NotRun { fault, .. }) => match fault {
            Fault::Server | Fault::MismatchedId | Fault::Full => Ending::Failed,
            Fault::StaleEpoch | Fault::Deadline => Ending::Neutral,
        },
        Err(BackendError::Unknown { fault, .. }) => match fault {
            Fault::Deadline => Ending::TimedOut,
            _ => Ending::Unknown,
        },
    }
}
