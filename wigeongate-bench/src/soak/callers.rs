//! Callers that keep a history of what they were told.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, RngExt};
use reqwest::Client;
use uuid::Uuid;
use wigeongate::client::client;
use wigeongate_api::caller::{DEADLINE_HEADER, IDEMPOTENCY_HEADER};
use wigeongate_api::problem::{Execution, Problem};

use super::check::{Asked, History, Told};

/// How often a caller sends a request with the same key.
const TRIES: u32 = 5;

/// How long a caller waits before it sends again.
const RETRY_WAIT: Duration = Duration::from_millis(400);

/// How long a caller waits for an answer; far more than any deadline.
const ANSWER_WAIT: Duration = Duration::from_secs(15);

/// The longest run of a request, in milliseconds.
const RUN_MOST_MS: u64 = 30;

/// One body in so many is large.
const LARGE_EVERY: u32 = 10;

/// The size of a large body, in bytes.
const LARGE_BYTES: usize = 200_000;

/// Where the gates listen now.
#[derive(Clone)]
pub struct Gates(Arc<Mutex<Vec<SocketAddr>>>);

impl Gates {
    /// Takes the addresses.
    pub fn new(gates: Vec<SocketAddr>) -> Self {
        Self(Arc::new(Mutex::new(gates)))
    }

    /// Changes one address.
    pub fn set(&self, place: usize, address: SocketAddr) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)[place] = address;
    }

    fn any(&self, rng: &mut SmallRng) -> SocketAddr {
        let gates = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        gates[rng.random_range(0..gates.len())]
    }
}

/// Sends requests one after the other.
pub async fn call(gates: Gates, history: Arc<History>, mut rng: SmallRng, until: Instant) {
    let client = client();
    while Instant::now() < until {
        let asked = ask(&gates, &client, &mut rng).await;
        history.note(asked);
    }
}

async fn ask(gates: &Gates, client: &Client, rng: &mut SmallRng) -> Asked {
    let team = rng.random_range(1..=3);
    let idempotent = rng.random_bool(0.3);
    let keyed = !idempotent && rng.random_bool(0.7);
    let wait = rng.random_range(0..=RUN_MOST_MS);
    let tag = format!("wait {wait} tag-{:032x}", rng.next_u64());
    let mut body = tag.clone();
    if rng.random_ratio(1, LARGE_EVERY) {
        body.push(' ');
        body.extend(std::iter::repeat_n('x', LARGE_BYTES));
    }
    let key = keyed.then(|| key(rng));
    let tries = if keyed { TRIES } else { 1 };
    let mut told = Vec::new();
    for number in 0..tries {
        if number > 0 {
            tokio::time::sleep(RETRY_WAIT).await;
        }
        let queue = if idempotent { "checks" } else { "filings" };
        let url = format!("http://{}/v1/queues/{queue}/requests/run", gates.any(rng));
        let mut request = client
            .post(url)
            .bearer_auth(format!("team-{team}"))
            .header(DEADLINE_HEADER, rng.random_range(50..4_000_u32))
            .timeout(ANSWER_WAIT)
            .body(body.clone());
        if let Some(key) = &key {
            request = request.header(IDEMPOTENCY_HEADER, key);
        }
        let last = send(request, &body).await;
        let done = matches!(last, Told::Answer { .. });
        told.push(last);
        // Some callers ask once more though they have the answer.
        if done && !rng.random_bool(0.1) {
            break;
        }
    }
    Asked {
        tag,
        idempotent,
        told,
    }
}

/// Half of the keys carry their time of issue.
fn key(rng: &mut SmallRng) -> String {
    if rng.random_bool(0.5) {
        Uuid::now_v7().to_string()
    } else {
        format!("order-{:016x}", rng.next_u64())
    }
}

async fn send(request: reqwest::RequestBuilder, body: &str) -> Told {
    let response = match request.send().await {
        Ok(response) => response,
        Err(error) if error.is_timeout() => return Told::Nothing,
        Err(error) if error.is_connect() => return Told::NotSent,
        Err(_) => return Told::Cut,
    };
    let success = response.status().is_success();
    let Ok(answer) = response.bytes().await else {
        return Told::Cut;
    };
    if success {
        let own = answer == body.as_bytes();
        return Told::Answer { own };
    }
    match serde_json::from_slice::<Problem>(&answer) {
        Ok(problem) if problem.execution == Execution::NotRun => Told::NotRun,
        Ok(_) => Told::Unknown,
        Err(_) => Told::Cut,
    }
}
