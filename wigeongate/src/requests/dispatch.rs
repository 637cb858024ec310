//! Sending a request to a backend server, here or through another gate.

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

use super::lanes::{Grant, State};
use super::peers::Target;
use super::work::{Answered, Outcome, Work};
use super::{Requests, work};
use crate::backend::{BackendError, Fault, Forward};
use crate::live::Live;
use crate::message::requests::{ErrorKind, Forwarded, RequestCall, RequestError};
use crate::metrics::Counter;

/// How often a request is tried at most, sends that certainly did not run included.
const TRIES_MOST: u32 = 5;

/// Time kept back for the way of an answer between two gates.
const HOP: Millis = Millis(5);

/// What became of one try.
struct Tried {
    outcome: Outcome,
    /// The gate that was asked; `None` for this one.
    gate: Option<GateId>,
}

impl Requests {
    /// Takes a request of another gate, checked against the configuration in force here.
    pub(super) fn admit(&self, forwarded: Forwarded) -> Result<Work, RequestError> {
        let live = self.settings.configurations.live();
        let Some(queue) = live.queue(&forwarded.queue) else {
            let detail = format!("queue {} is not known here", forwarded.queue);
            return Err(ErrorKind::Elsewhere.because(detail));
        };
        if !live.stands_for(&forwarded.key, &forwarded.team) {
            return Err(ErrorKind::Withdrawn.because("the key is not known here"));
        }
        Ok(Work {
            id: forwarded.id,
            team: forwarded.team,
            key: forwarded.key,
            queue: forwarded.queue,
            class: queue.class,
            idempotent: queue.idempotent,
            path: forwarded.path.into(),
            body: forwarded.body.into(),
            deadline: self.lanes.now() + forwarded.left,
        })
    }

    /// Runs a request of another gate, if there is room for it or it may wait.
    pub(super) async fn run(self: &Arc<Self>, forwarded: Forwarded) -> Outcome {
        let waits = forwarded.waits;
        let work = self.admit(forwarded)?;
        if !waits && !self.lanes.fits(&work.team, &work.queue) {
            return Err(ErrorKind::Elsewhere.because("no slot is free"));
        }
        self.here(&work).await
    }

    /// Sends a request where there is room, and again where that is safe and within the budget.
    pub(super) async fn dispatch(self: &Arc<Self>, work: &Work) -> Outcome {
        let mut work = work.clone();
        self.lanes.sent(&work.team);
        let mut avoid = Vec::new();
        let mut unknown: Option<RequestError> = None;
        let mut tries = 0;
        loop {
            let result = self.attempt(&work, &avoid).await;
            let error = match result.outcome {
                Ok(answered) => return Ok(answered),
                Err(error) => error,
            };
            tries += 1;
            let refused = error.kind == ErrorKind::Elsewhere && result.gate.is_some();
            // A gate without a free slot says so at once; nothing is gained by waiting then.
            let delay = if refused {
                Millis::ZERO
            } else {
                backoff(tries, rand::random())
            };
            let again = tries < TRIES_MOST
                && self.makes_deadline(&work, delay)
                && self.may_retry(&work, &error, result.gate.is_some());
            avoid.extend(result.gate);
            if !error.kind.not_run() {
                unknown = Some(error.clone());
            }
            if !again {
                // An earlier send may have run, so a later refusal does not count.
                return Err(unknown.unwrap_or(error));
            }
            self.settings.metrics.count(Counter::RequestsRetried);
            // Each send has an identifier of its own: a late answer to one fits no other.
            work.id = RequestId(Uuid::now_v7());
            sleep(delay.into()).await;
        }
    }

    fn makes_deadline(&self, work: &Work, delay: Millis) -> bool {
        let run = self
            .lanes
            .read(|state| state.admission.expected_run_time(&work.queue));
        meets_deadline(self.lanes.now(), delay, run, work.deadline)
    }

    /// Returns whether a failed request may be tried again; a send costs the team's budget.
    fn may_retry(&self, work: &Work, error: &RequestError, remote: bool) -> bool {
        match error.kind {
            ErrorKind::Unreachable | ErrorKind::Elsewhere => true,
            ErrorKind::Full => remote,
            ErrorKind::Unknown => work.idempotent && self.take_retry(work),
            _ => false,
        }
    }

    fn take_retry(&self, work: &Work) -> bool {
        self.lanes
            .change(|state| state.budget.try_spend(&work.team))
    }

    async fn attempt(self: &Arc<Self>, work: &Work, avoid: &[GateId]) -> Tried {
        let target = self.target(work, avoid);
        let outcome = match &target {
            None => self.here(work).await,
            Some(target) => self.there(target, work).await,
        };
        Tried {
            outcome,
            gate: target.map(|target| target.gate),
        }
    }

    async fn there(&self, target: &Target, work: &Work) -> Outcome {
        let forwarded = work.forwarded(self.lanes.now() + HOP, target.waits);
        if forwarded.left == Millis::ZERO {
            return Err(ErrorKind::Late.because("no time is left for another gate"));
        }
        self.peers.sent(&target.gate);
        let call = RequestCall::Run(forwarded);
        let within = work.deadline.since(self.lanes.now());
        self.call(&target.gate, call, within).await
    }

    /// Runs a request on a backend server of a lane that this gate owns.
    pub(super) async fn here(self: &Arc<Self>, work: &Work) -> Outcome {
        let since = Instant::now();
        let live = self.settings.configurations.live();
        let grant = self
            .lanes
            .slot(work.waiting(), |state| self.terms(&live, state, work))
            .await?;
        self.settings
            .metrics
            .record_wait(&work.team, work.class, since.elapsed());
        self.check(&live, work)?;
        Finish(Some(send(self.clone(), grant, work.clone()).boxed())).await
    }

    fn terms(&self, live: &Live, state: &State, work: &Work) -> AdmissionLimits {
        let team = live.policy.teams.get(&work.team);
        let queue = live.queue(&work.queue);
        AdmissionLimits {
            share: team.map_or(1, |team| team.share),
            bound: queue.map_or(0, |queue| queue.bound),
            slots: state.routing.slots(self.lanes.now(), &work.queue),
        }
    }

    /// Checks the key once more when the configuration has changed since the request came.
    fn check(&self, before: &Live, work: &Work) -> Result<(), RequestError> {
        let live = self.settings.configurations.live();
        let same = live.configuration.revision == before.configuration.revision;
        if same || live.stands_for(&work.key, &work.team) {
            return Ok(());
        }
        Err(ErrorKind::Withdrawn.because("the key was withdrawn"))
    }
}

/// A send that goes on by itself when its caller goes away, so that its end is known.
struct Finish(Option<BoxFuture<'static, Outcome>>);

impl Future for Finish {
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

impl Drop for Finish {
    fn drop(&mut self) {
        if let (Some(send), Ok(runtime)) = (self.0.take(), Handle::try_current()) {
            runtime.spawn(send);
        }
    }
}

/// Sends a request once and says what is certain about it.
async fn send(requests: Arc<Requests>, mut grant: Grant, work: Work) -> Outcome {
    let chosen = &grant.chosen;
    let unit = Unit::Lane(chosen.lane);
    let Some(port) = requests.ports.load().get(&chosen.server).cloned() else {
        return Err(ErrorKind::Elsewhere.because("the backend server is not listed any more"));
    };
    let left = work.deadline.since(requests.lanes.now());
    if left == Millis::ZERO {
        return Err(ErrorKind::Late.because("the deadline has passed"));
    }
    if requests.settings.cluster.may_act(&unit) != Some(chosen.epoch) {
        return Err(ErrorKind::Elsewhere.because(format!("{unit} belongs to another gate")));
    }
    let forward = Forward {
        id: work.id,
        epoch: chosen.epoch,
        team: work.team.clone(),
        path: work.path.clone(),
        body: work.body.clone(),
        timeout: left,
    };
    let since = Instant::now();
    let result = port.run(forward).await;
    requests.learn(&unit, &mut grant, &work, &result, since.elapsed());
    drop(grant);
    result
        .map(|answer| Answered {
            answer,
            again: false,
        })
        .map_err(|error| work::error(&error))
}

impl Requests {
    fn learn(
        &self,
        unit: &Unit,
        grant: &mut Grant,
        work: &Work,
        result: &Result<crate::backend::Answer, BackendError>,
        took: Duration,
    ) {
        grant.end(ending(result));
        match result {
            Ok(_) => {
                let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
                self.lanes.ran(&work.queue, micros);
            }
            Err(error) => {
                tracing::debug!("requests: {error}.");
                self.settings.metrics.count(match error {
                    BackendError::Unknown {
                        fault: Fault::Crossed,
                        ..
                    } => Counter::LateAnswers,
                    BackendError::Unknown { .. } => Counter::RequestsUnknown,
                    BackendError::NotRun { .. } => Counter::RequestsNotRun,
                });
                if error.fault() == Fault::Epoch {
                    self.settings.cluster.renew_epoch(unit);
                }
                self.ask.notify_one();
            }
        }
    }
}

/// Returns what a result says of the backend server and its slot.
const fn ending(result: &Result<crate::backend::Answer, BackendError>) -> Ending {
    match result {
        Ok(_) => Ending::Answered,
        Err(BackendError::NotRun { fault, .. }) => match fault {
            Fault::Server | Fault::Crossed | Fault::Full => Ending::Failed,
            Fault::Epoch | Fault::Deadline => Ending::Neutral,
        },
        Err(BackendError::Unknown { fault, .. }) => match fault {
            Fault::Deadline => Ending::TimedOut,
            _ => Ending::Unknown,
        },
    }
}
