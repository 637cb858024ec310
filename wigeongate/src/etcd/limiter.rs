//! The rate limit and the circuit breaker for calls of the store.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::RngExt;
use tokio::time::{Instant, sleep_until};

use crate::store::Circuit;

/// The delay that doubles with each failure in a row.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// The limit of the delay after a failure.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// The number of failures in a row after which the circuit opens.
const OPEN_AFTER_FAILURES: u32 = 3;

/// The number of calls that may be made at once after an idle time, in seconds of the rate.
const BURST_SECS: f64 = 1.0;

#[derive(Debug)]
struct State {
    /// The number of calls that may be made now; urgent calls can make it negative.
    tokens: f64,
    refilled: Instant,
    failures: u32,
    /// The time of the first failure since the last answered call.
    failing_since: Option<Instant>,
    /// The time until which an open circuit lets only urgent calls pass.
    open_until: Option<Instant>,
}

/// Limits the rate of calls and, while the store does not answer, lets only urgent calls and
/// occasional others pass.
#[derive(Debug)]
pub struct CallLimiter {
    /// Calls per second.
    rate: f64,
    state: Mutex<State>,
}

impl CallLimiter {
    /// Creates a limiter of `rate` calls per second, at least one.
    pub fn new(rate: u32) -> Self {
        let rate = f64::from(rate.max(1));
        let state = State {
            tokens: rate * BURST_SECS,
            refilled: Instant::now(),
            failures: 0,
            failing_since: None,
            open_until: None,
        };
        Self {
            rate,
            state: Mutex::new(state),
        }
    }

    /// Waits until a call may be made; an urgent call does not wait.
    ///
    /// Fails while the circuit is open, with the time since the first unanswered call.
    pub async fn acquire(&self, urgent: bool) -> Result<(), Duration> {
        loop {
            let Some(wait) = self.try_acquire(urgent)? else {
                return Ok(());
            };
            sleep_until(Instant::now() + wait).await;
        }
    }

    /// Takes a token, or returns the time until one is available.
    fn try_acquire(&self, urgent: bool) -> Result<Option<Duration>, Duration> {
        let now = Instant::now();
        let mut state = self.lock();
        let gained = now.duration_since(state.refilled).as_secs_f64() * self.rate;
        state.tokens = (state.tokens + gained).min(self.rate * BURST_SECS);
        state.refilled = now;
        if urgent {
            state.tokens -= 1.0;
            return Ok(None);
        }
        if state.failures >= OPEN_AFTER_FAILURES
            && state.open_until.is_some_and(|until| now < until)
        {
            let since = state.failing_since.unwrap_or(now);
            return Err(now.duration_since(since));
        }
        if state.tokens >= 1.0 {
            state.tokens -= 1.0;
            return Ok(None);
        }
        let missing = (1.0 - state.tokens) / self.rate;
        Ok(Some(Duration::from_secs_f64(missing)))
    }

    /// Records whether a call was answered.
    pub fn record_result(&self, answered: bool) {
        let now = Instant::now();
        let mut state = self.lock();
        if answered {
            state.failures = 0;
            state.failing_since = None;
            state.open_until = None;
            return;
        }
        state.failures = state.failures.saturating_add(1);
        state.failing_since.get_or_insert(now);
        state.open_until = Some(now + backoff(state.failures));
    }

    /// Returns the state of the circuit breaker.
    pub fn circuit(&self) -> Circuit {
        let state = self.lock();
        if state.failures < OPEN_AFTER_FAILURES {
            return Circuit::Closed;
        }
        let since = state.failing_since.unwrap_or_else(Instant::now);
        Circuit::Open {
            silent: since.elapsed().into(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the delay after so many failures in a row: exponential, with jitter in the upper half
/// of the interval.
pub fn backoff(failures: u32) -> Duration {
    let doubled = INITIAL_BACKOFF.saturating_mul(1 << failures.min(10));
    let jitter = rand::rng().random_range(0.5..1.0);
    doubled.min(MAX_BACKOFF).mul_f64(jitter)
}
