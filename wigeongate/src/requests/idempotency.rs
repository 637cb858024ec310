//! Runs requests with an idempotency key at most once, and replays the first response.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, timeout};
use wigeongate_core::journal::{Fingerprint, Key, State, StoredAnswer, Verdict};
use wigeongate_core::retry::backoff;
use wigeongate_core::time::Millis;

use super::Requests;
use super::journal::{BeginResult, RunPermit};
use super::request::{Completion, Outcome, QueueRequest};
use crate::backend::BackendResponse;
use crate::message::requests::{ErrorKind, IdempotentRequest, RequestCall, RequestError};

/// The largest length of an idempotency key, in bytes.
pub const KEY_LIMIT_BYTES: usize = 255;

impl Requests {
    /// Has the owner of the idempotency key run a request at most once.
    ///
    /// The call is idempotent: the owner answers each call for the same key alike, so a failed
    /// call is retried.
    pub(super) async fn run_keyed(
        self: &Arc<Self>,
        request: QueueRequest,
        idempotency: String,
    ) -> Outcome {
        let live = self.settings.configurations.live();
        let partitions = live.configuration.rules.placement.journals;
        let key = journal_key(&request, &idempotency);
        let partition = key.partition(partitions);
        let mut attempts = 0;
        loop {
            let outcome = match self.journal_owner(partition) {
                Some(gate) if gate == self.settings.gate => {
                    self.run_at_most_once(request.clone(), idempotency.clone())
                        .await
                }
                Some(gate) => {
                    let now = self.lanes.now();
                    let call = RequestCall::Once(IdempotentRequest {
                        request: request.to_forwarded(now, true),
                        idempotency: idempotency.clone(),
                    });
                    self.call(&gate, call, request.deadline.since(now)).await
                }
                None => Err(ErrorKind::Elsewhere
                    .with_detail("the journal partition of the key has no owner")),
            };
            let Err(error) = &outcome else {
                return outcome;
            };
            if error.is_final {
                return outcome;
            }
            let retry = matches!(error.kind, ErrorKind::Elsewhere | ErrorKind::Unknown);
            attempts += 1;
            let delay = backoff(attempts, rand::random());
            if !retry || self.lanes.now() + delay >= request.deadline {
                // Only the owner knows whether an earlier request with this key has run.
                let detail = format!("the owner of the key did not decide: {}", error.detail);
                return Err(ErrorKind::Unknown.with_detail(detail));
            }
            sleep(delay.into()).await;
        }
    }

    /// Runs a request at most once for its key, which this gate must own.
    pub(super) async fn run_at_most_once(
        self: &Arc<Self>,
        request: QueueRequest,
        idempotency: String,
    ) -> Outcome {
        let live = self.settings.configurations.live();
        let key = journal_key(&request, &idempotency);
        let partition = key.partition(live.configuration.rules.placement.journals);
        let left = request.deadline.since(self.lanes.now());
        match self.journals.begin(partition, &key, fingerprint(&request)) {
            BeginResult::NotOwner => {
                Err(ErrorKind::Elsewhere.with_detail("this gate does not own the key"))
            }
            BeginResult::Join(end) => await_outcome(end, left).await,
            BeginResult::Run(permit) => self.run_detached(request, key, permit).await,
            BeginResult::Decided(verdict) => verdict_outcome(verdict),
        }
    }

    /// Runs a request to its end in a task of its own, even if its caller disconnects.
    async fn run_detached(
        self: &Arc<Self>,
        request: QueueRequest,
        key: Key,
        permit: RunPermit,
    ) -> Outcome {
        let requests = self.clone();
        let running = tokio::spawn(async move {
            let outcome = requests.record_and_run(&request, permit.recorded).await;
            let state = journal_state(&outcome);
            let journals = &requests.journals;
            journals.finish(permit.number, permit.epoch, &key, &outcome, state);
            outcome
        });
        match running.await {
            Ok(outcome) => outcome,
            Err(error) => Err(ErrorKind::Unknown
                .with_detail(error.to_string())
                .as_decided()),
        }
    }

    async fn record_and_run(
        self: &Arc<Self>,
        request: &QueueRequest,
        recorded: Option<oneshot::Receiver<()>>,
    ) -> Outcome {
        if let Some(recorded) = recorded {
            let left = request.deadline.since(self.lanes.now());
            match timeout(left.into(), recorded).await {
                Ok(Ok(())) => {}
                // Another gate owns the key now, and may know more about it.
                Ok(Err(_)) => {
                    let detail = "this gate no longer owns the key";
                    return Err(ErrorKind::Elsewhere.with_detail(detail));
                }
                Err(_) => {
                    let detail = "the intent was not stored before the deadline";
                    return Err(ErrorKind::Record.with_detail(detail).as_decided());
                }
            }
        }
        let outcome = self.dispatch(request).await;
        outcome.map_err(RequestError::as_decided)
    }
}

fn journal_key(request: &QueueRequest, idempotency: &str) -> Key {
    Key {
        team: request.team.clone(),
        text: idempotency.to_owned(),
    }
}

/// Returns the hash of the queue, path and body of a request.
pub fn fingerprint(request: &QueueRequest) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    for text in [request.queue.as_str(), &request.path] {
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    }
    hasher.update(&request.body);
    Fingerprint(*hasher.finalize().as_bytes())
}

fn journal_state(outcome: &Outcome) -> State {
    match outcome {
        Ok(Completion { response, .. }) => State::Answered(StoredAnswer {
            status: response.status,
            media: response.media.clone(),
            body: response.body.to_vec(),
        }),
        Err(error) if error.kind.not_run() => State::NotRun,
        Err(_) => State::Unknown,
    }
}

async fn await_outcome(mut end: watch::Receiver<Option<Outcome>>, left: Millis) -> Outcome {
    let ended = timeout(Duration::from(left), end.wait_for(Option::is_some)).await;
    let outcome = match ended {
        Ok(Ok(outcome)) => outcome.clone(),
        Ok(Err(_)) | Err(_) => None,
    };
    let unknown = || {
        let detail = "a request with this key is in flight and did not end before the deadline";
        Err(ErrorKind::Unknown.with_detail(detail).as_decided())
    };
    let outcome = outcome.unwrap_or_else(unknown);
    outcome.map(|completion| Completion {
        replayed: true,
        ..completion
    })
}

fn verdict_outcome(verdict: Verdict) -> Outcome {
    let (kind, detail) = match verdict {
        Verdict::Replay(kept) => {
            let response = BackendResponse {
                status: kept.status,
                media: kept.media,
                body: Bytes::from(kept.body),
            };
            return Ok(Completion {
                response,
                replayed: true,
            });
        }
        Verdict::Ran => (
            ErrorKind::Ran,
            "a request with this key ran; its response is not kept",
        ),
        Verdict::Mismatch => (
            ErrorKind::Mismatch,
            "the key was used for a different request before",
        ),
        Verdict::Unavailable => (ErrorKind::Record, "the intent cannot be recorded now"),
        Verdict::Expired => (
            ErrorKind::Unknown,
            "the key is older than the retention time of the journal",
        ),
        Verdict::Unknown | Verdict::Record | Verdict::Run | Verdict::Join => (
            ErrorKind::Unknown,
            "an earlier request with this key may have run",
        ),
    };
    Err(kind.with_detail(detail).as_decided())
}
