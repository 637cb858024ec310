//! Requests with an idempotency key: at most once, and the first answer given again.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, timeout};
use wigeongate_core::journal::{Fingerprint, Key, State, StoredAnswer, Verdict};
use wigeongate_core::retry::backoff;
use wigeongate_core::time::Millis;

use super::Requests;
use super::home::{Begun, Turn};
use super::work::{Answered, Outcome, Work};
use crate::backend::Answer;
use crate::message::requests::{ErrorKind, IdempotentRequest, RequestCall, RequestError};

/// The longest idempotency key, in bytes.
pub const KEY_BYTES: usize = 255;

impl Requests {
    /// Has a request run at most once by the home of its key.
    ///
    /// The home answers each call for the same key alike, so it may be asked again.
    pub(super) async fn keyed(self: &Arc<Self>, work: Work, idempotency: String) -> Outcome {
        let live = self.settings.configurations.live();
        let parts = live.configuration.rules.placement.journals;
        let key = key(&work, &idempotency);
        let part = key.partition(parts);
        let mut tries = 0;
        loop {
            let outcome = match self.home_of(part) {
                Some(gate) if gate == self.settings.gate => {
                    self.once(work.clone(), idempotency.clone()).await
                }
                Some(gate) => {
                    let now = self.lanes.now();
                    let call = RequestCall::Once(IdempotentRequest {
                        request: work.forwarded(now, true),
                        idempotency: idempotency.clone(),
                    });
                    self.call(&gate, call, work.deadline.since(now)).await
                }
                None => Err(ErrorKind::Elsewhere.because("the record has no home now")),
            };
            let Err(error) = &outcome else {
                return outcome;
            };
            if error.is_final {
                return outcome;
            }
            let again = matches!(error.kind, ErrorKind::Elsewhere | ErrorKind::Unknown);
            tries += 1;
            let delay = backoff(tries, rand::random());
            if !again || self.lanes.now() + delay >= work.deadline {
                // Only the home knows whether an earlier request with this key has run.
                let detail = format!("the home of the key did not decide: {}", error.detail);
                return Err(ErrorKind::Unknown.because(detail));
            }
            sleep(delay.into()).await;
        }
    }

    /// Runs a request at most once for its key; this gate is its home.
    pub(super) async fn once(self: &Arc<Self>, work: Work, idempotency: String) -> Outcome {
        let live = self.settings.configurations.live();
        let key = key(&work, &idempotency);
        let part = key.partition(live.configuration.rules.placement.journals);
        let left = work.deadline.since(self.lanes.now());
        match self.home.begin(part, &key, fingerprint(&work)) {
            Begun::NotHome => {
                Err(ErrorKind::Elsewhere.because("this gate is not home for the key"))
            }
            Begun::Join(end) => joined(end, left).await,
            Begun::Run(turn) => self.run_once(work, key, turn).await,
            Begun::Decided(verdict) => decided(verdict),
        }
    }

    /// Runs the request to its end, also when its caller goes away.
    async fn run_once(self: &Arc<Self>, work: Work, key: Key, turn: Turn) -> Outcome {
        let requests = self.clone();
        let running = tokio::spawn(async move {
            let outcome = requests.recorded_then_run(&work, turn.recorded).await;
            let state = state(&outcome);
            let home = &requests.home;
            home.end(turn.number, turn.epoch, &key, &outcome, state);
            outcome
        });
        match running.await {
            Ok(outcome) => outcome,
            Err(error) => Err(ErrorKind::Unknown.because(error.to_string()).finally()),
        }
    }

    async fn recorded_then_run(
        self: &Arc<Self>,
        work: &Work,
        recorded: Option<oneshot::Receiver<()>>,
    ) -> Outcome {
        if let Some(recorded) = recorded {
            let left = work.deadline.since(self.lanes.now());
            match timeout(left.into(), recorded).await {
                Ok(Ok(())) => {}
                // Another gate is home now, and may know more of the key.
                Ok(Err(_)) => {
                    let detail = "this gate is not home for the key any more";
                    return Err(ErrorKind::Elsewhere.because(detail));
                }
                Err(_) => {
                    let detail = "the store did not take the intent in time";
                    return Err(ErrorKind::Record.because(detail).finally());
                }
            }
        }
        let outcome = self.dispatch(work).await;
        outcome.map_err(RequestError::finally)
    }
}

fn key(work: &Work, idempotency: &str) -> Key {
    Key {
        team: work.team.clone(),
        text: idempotency.to_owned(),
    }
}

/// Returns the hash of what is asked.
pub fn fingerprint(work: &Work) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    for text in [work.queue.as_str(), &work.path] {
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    }
    hasher.update(&work.body);
    Fingerprint(*hasher.finalize().as_bytes())
}

fn state(outcome: &Outcome) -> State {
    match outcome {
        Ok(Answered { answer, .. }) => State::Answered(StoredAnswer {
            status: answer.status,
            media: answer.media.clone(),
            body: answer.body.to_vec(),
        }),
        Err(error) if error.kind.not_run() => State::NotRun,
        Err(_) => State::Unknown,
    }
}

async fn joined(mut end: watch::Receiver<Option<Outcome>>, left: Millis) -> Outcome {
    let ended = timeout(Duration::from(left), end.wait_for(Option::is_some)).await;
    let outcome = match ended {
        Ok(Ok(outcome)) => outcome.clone(),
        Ok(Err(_)) | Err(_) => None,
    };
    let unknown = || {
        let detail = "a request with this key was in flight and its end did not come in time";
        Err(ErrorKind::Unknown.because(detail).finally())
    };
    let outcome = outcome.unwrap_or_else(unknown);
    outcome.map(|answered| Answered {
        again: true,
        ..answered
    })
}

fn decided(verdict: Verdict) -> Outcome {
    let (kind, detail) = match verdict {
        Verdict::Replay(kept) => {
            let answer = Answer {
                status: kept.status,
                media: kept.media,
                body: Bytes::from(kept.body),
            };
            return Ok(Answered {
                answer,
                again: true,
            });
        }
        Verdict::Ran => (ErrorKind::Ran, "it ran; its answer is not kept"),
        Verdict::Mismatch => (
            ErrorKind::Mismatch,
            "the key came with another request before",
        ),
        Verdict::Unavailable => (ErrorKind::Record, "its intent cannot be recorded now"),
        Verdict::Expired => (ErrorKind::Unknown, "the key is older than the record"),
        Verdict::Unknown | Verdict::Record | Verdict::Run | Verdict::Join => (
            ErrorKind::Unknown,
            "an earlier request with this key may have run",
        ),
    };
    Err(kind.because(detail).finally())
}
