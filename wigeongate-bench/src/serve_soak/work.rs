//! Jobs of callers, and what they were told.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use super::site::Site;

/// The number of the first short job.
const FIRST_SHORT: u64 = 0x1000_0000;

/// What is known of a job.
#[derive(Debug, Clone, Default)]
pub struct Job {
    /// Whether a gate accepted it.
    pub accepted: bool,
    /// Whether its caller asked to cancel it.
    pub cancelled: bool,
    /// The state that was shown last.
    pub state: String,
}

/// All jobs by their identifiers.
#[derive(Debug, Default)]
pub struct Jobs(Mutex<BTreeMap<String, Job>>);

impl Jobs {
    /// Changes what is known of a job.
    fn change(&self, id: &str, change: impl FnOnce(&mut Job)) {
        let mut jobs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        change(jobs.entry(id.to_owned()).or_default());
    }

    /// Returns all jobs.
    pub fn all(&self) -> BTreeMap<String, Job> {
        let jobs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        jobs.clone()
    }
}

/// Returns the identifier of a job.
pub fn job_id(seed: u64, number: u64) -> String {
    format!("{:08x}{number:08x}", seed & 0xffff_ffff)
}

/// Submits jobs until the given time.
pub async fn submit(site: Arc<Site>, jobs: Arc<Jobs>, seed: u64, cancels: u32, until: Instant) {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x9e37_79b9);
    let mut number = 0_u64;
    let mut callers = tokio::task::JoinSet::new();
    while Instant::now() < until {
        number += 1;
        let id = job_id(seed, number);
        let step = |rng: &mut SmallRng, after: &[u32]| {
            json!({
                "count": rng.random_range(1..5), "cpu": 1_000, "mem_mb": 64,
                "estimate_ms": 3_000, "after": after,
            })
        };
        let mut steps = vec![step(&mut rng, &[])];
        if rng.random_bool(0.3) {
            steps.push(step(&mut rng, &[0]));
        }
        let longest = if rng.random_bool(0.5) { 14_000 } else { 4_000 };
        let body = json!({ "spec": format!("500 {longest}"), "steps": steps });
        let cancel = rng.random_bool(f64::from(cancels) / 100.0);
        let cancel_ms = cancel.then(|| rng.random_range(500..8_000));
        let (site, jobs) = (Arc::clone(&site), Arc::clone(&jobs));
        callers.spawn(async move { call(&site, &jobs, &id, &body, cancel_ms, number).await });
        sleep(Duration::from_millis(rng.random_range(200..700))).await;
    }
    while callers.join_next().await.is_some() {}
}

/// Submits a number of short jobs a second until the given time.
pub async fn submit_short(site: Arc<Site>, jobs: Arc<Jobs>, seed: u64, rate: u32, until: Instant) {
    if rate == 0 {
        return;
    }
    let body = json!({
        "spec": "20 200",
        "steps": [{ "count": 1, "cpu": 100, "mem_mb": 16, "estimate_ms": 100 }],
    });
    let mut ticks = interval(Duration::from_secs(1) / rate);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut callers = tokio::task::JoinSet::new();
    for number in FIRST_SHORT.. {
        ticks.tick().await;
        if Instant::now() >= until {
            break;
        }
        let id = job_id(seed, number);
        let (site, jobs, body) = (Arc::clone(&site), Arc::clone(&jobs), body.clone());
        callers.spawn(async move { call(&site, &jobs, &id, &body, None, number).await });
        while callers.try_join_next().is_some() {}
    }
    while callers.join_next().await.is_some() {}
}

/// Submits a job and tries again for as long as no gate accepts it, and cancels it later if that is
/// asked for.
pub async fn call(
    site: &Site,
    jobs: &Jobs,
    id: &str,
    body: &Value,
    cancel_ms: Option<u64>,
    number: u64,
) {
    let path = format!("/q/{id}");
    for attempt in 0..10 {
        let answer = ask(site, number + attempt, "POST", &path, body).await;
        if answer.is_some_and(|(status, _)| (200..300).contains(&status)) {
            jobs.change(id, |job| job.accepted = true);
            break;
        }
        sleep(Duration::from_millis(300)).await;
    }
    if let Some(cancel_ms) = cancel_ms {
        sleep(Duration::from_millis(cancel_ms)).await;
        jobs.change(id, |job| job.cancelled = true);
        for attempt in 0..10 {
            let answer = ask(site, number + attempt, "DELETE", &path, &Value::Null).await;
            if answer.is_some_and(|(status, _)| status < 300 || status == 410) {
                return;
            }
            sleep(Duration::from_millis(300)).await;
        }
    }
}

/// Submits a job once; returns whether a gate accepted it.
pub async fn submit_once(site: &Site, jobs: &Jobs, id: &str, body: &Value, number: u64) -> bool {
    let answer = ask(site, number, "POST", &format!("/q/{id}"), body).await;
    let is_accepted = answer.is_some_and(|(status, _)| (200..300).contains(&status));
    jobs.change(id, |job| job.accepted |= is_accepted);
    is_accepted
}

async fn ask(
    site: &Site,
    number: u64,
    method: &str,
    path: &str,
    body: &Value,
) -> Option<(u16, Value)> {
    let number = usize::try_from(number).unwrap_or(0);
    let gate = &site.gates[number % site.gates.len()];
    gate.call(method, path, body).await
}

/// Asks for the jobs until each accepted one is in its last state, at most until the given time.
pub async fn settle(site: &Site, jobs: &Jobs, until: Instant) {
    let mut number = 0;
    loop {
        let mut open = 0;
        for (id, job) in jobs.all() {
            let has_ended = matches!(job.state.as_str(), "completed" | "cancelled" | "failed");
            if !job.accepted || has_ended {
                continue;
            }
            number += 1;
            let answer = ask(site, number, "GET", &format!("/q/{id}"), &Value::Null).await;
            let state = match answer {
                Some((200, body)) => body["state"].as_str().unwrap_or_default().to_owned(),
                Some((status, _)) => status.to_string(),
                None => "no answer".to_owned(),
            };
            if !matches!(state.as_str(), "completed" | "cancelled" | "failed") {
                open += 1;
            }
            jobs.change(&id, |job| job.state = state);
        }
        if open == 0 || Instant::now() > until {
            return;
        }
        sleep(Duration::from_millis(300)).await;
    }
}
