//! Calls to the JSON gateway, with failover between its endpoints.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use reqwest::{Client, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use wigeongate_config::settings::StoreSettings;

use super::limiter::CallLimiter;
use crate::client::client_trusting_system;
use crate::store::{Circuit, StoreError};

/// The endpoints of the store; one is used until it fails.
#[derive(Debug)]
pub struct Endpoints {
    client: Client,
    urls: Vec<String>,
    current: AtomicUsize,
    timeout: Duration,
    limiter: CallLimiter,
}

/// A call to the gateway.
#[derive(Debug, Clone, Copy)]
pub struct Call<'a, Q> {
    /// The step that is named in errors.
    pub step: &'static str,
    /// The path at the gateway.
    pub path: &'static str,
    /// The body, sent as JSON.
    pub body: &'a Q,
    /// Whether the call precedes others and is made even while the circuit is open.
    pub urgent: bool,
    /// Whether the call changes nothing, so that it can be retried at another endpoint after any
    /// failure.
    pub read_only: bool,
}

impl Endpoints {
    /// Creates the endpoints from the settings; connects on the first call.
    pub fn new(settings: &StoreSettings) -> Self {
        Self {
            client: client_trusting_system(),
            urls: settings.endpoints.clone(),
            current: AtomicUsize::new(0),
            timeout: Duration::from_millis(settings.timeout_ms),
            limiter: CallLimiter::new(settings.calls_per_second),
        }
    }

    /// Returns the timeout of one call.
    pub const fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Returns the state of the circuit breaker.
    pub fn circuit(&self) -> Circuit {
        self.limiter.circuit()
    }

    /// Returns an error for a call that may have taken effect.
    pub fn unknown(&self, step: &'static str, reason: &impl ToString) -> StoreError {
        StoreError::Unknown {
            step,
            peer: self.peer().to_owned(),
            reason: reason.to_string(),
        }
    }

    fn peer(&self) -> &str {
        let current = self.current.load(Ordering::Relaxed);
        let count = self.urls.len().max(1);
        self.urls.get(current % count).map_or("", String::as_str)
    }

    /// Makes a call with at most one attempt per endpoint, and retries only while that is safe.
    ///
    /// Returns the error of the last attempt.
    pub async fn call<Q: Serialize + Sync, A: DeserializeOwned>(
        &self,
        call: &Call<'_, Q>,
    ) -> Result<A, StoreError> {
        let mut last = None;
        for _ in 0..self.urls.len().max(1) {
            match self.call_one(call).await {
                Ok(answer) => return Ok(answer),
                Err(error) => {
                    let may_retry = call.read_only || matches!(error, StoreError::NoEffect { .. });
                    last = Some(error);
                    if !may_retry {
                        break;
                    }
                }
            }
        }
        Err(last.unwrap_or_else(|| self.unknown(call.step, &"no endpoint is configured")))
    }

    async fn call_one<Q: Serialize + Sync, A: DeserializeOwned>(
        &self,
        call: &Call<'_, Q>,
    ) -> Result<A, StoreError> {
        let step = call.step;
        let response = self.send(step, call.path, call.body, call.urgent, Some(self.timeout));
        let decoded = match response.await {
            Ok(response) => response.json().await.map_err(|e| self.unknown(step, &e)),
            Err(error) => Err(error),
        };
        if !matches!(decoded, Err(StoreError::NoEffect { .. })) || call.urgent {
            self.limiter.record_result(decoded.is_ok());
        }
        decoded
    }

    /// Sends a request and returns its response as soon as the headers are received.
    ///
    /// Without a `timeout`, the body may be read for an unlimited time. The error is
    /// [`StoreError::NoEffect`] while the circuit is open, if the connection could not be made, or
    /// if the endpoint answered 400.
    pub async fn send(
        &self,
        step: &'static str,
        path: &str,
        body: &(impl Serialize + Sync),
        urgent: bool,
        timeout: Option<Duration>,
    ) -> Result<Response, StoreError> {
        self.limiter.acquire(urgent).await.map_err(|silent| {
            let reason = format!("the circuit is open: no answer for {silent:?}");
            self.no_effect(step, reason)
        })?;
        let current = self.current.load(Ordering::Relaxed);
        let url = format!("{}{path}", self.peer());
        let mut request = self.client.post(url).json(body);
        if let Some(timeout) = timeout {
            request = request.timeout(timeout);
        }
        let sent = request.send().await;
        let checked = sent.and_then(Response::error_for_status);
        checked.map_err(|error| {
            let next = current.wrapping_add(1);
            // Only the first of several concurrent failures switches to the next endpoint.
            let _ =
                self.current
                    .compare_exchange(current, next, Ordering::Relaxed, Ordering::Relaxed);
            if error.is_connect() || error.status() == Some(StatusCode::BAD_REQUEST) {
                return self.no_effect(step, error.to_string());
            }
            self.unknown(step, &error)
        })
    }

    fn no_effect(&self, step: &'static str, reason: String) -> StoreError {
        let peer = self.peer().to_owned();
        StoreError::NoEffect { step, peer, reason }
    }
}
