//! Callers of a deployment, which submit jobs and forward requests.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::StatusCode;
use wigeongate::client::client;
use wigeongate_api::caller::Accepted;
use wigeongate_api::problem::{Execution, Problem};
use wigeongate_core::ids::JobId;
use wigeongate_core::job::{JobSpec, JobState, JobStatus, Outcome};
use wigeongate_core::resources::Resources;
use wigeongate_standin::history::HistoryEvent;

use super::{Deployment, wait_until};

/// Timeout of a call to a gate.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of a forwarded request; longer than the deadline of its queue.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(45);

/// Returns a job of `tasks` tasks that each sleep for `ms` milliseconds.
pub fn sleep_job(queue: &str, tasks: u32, ms: u64) -> JobSpec {
    JobSpec {
        queue: queue.into(),
        tasks,
        size: Resources {
            cpu: 2_000,
            memory: 4_096,
            accelerators: 0,
        },
        command: vec!["sleep".to_owned(), ms.to_string()],
        ..JobSpec::default()
    }
}

impl Deployment {
    /// Submits a job to the gates in turn, under one idempotency key, until one accepts it; records
    /// the job in the history.
    pub async fn submit(&self, spec: &JobSpec) -> JobId {
        let key = uuid::Uuid::now_v7().to_string();
        let mut accepted = None;
        let mut gates = self.gates.values().cycle();
        wait_until("the job is accepted", async || {
            let gate = gates.next().expect("there is a gate");
            accepted = self.submit_once(gate.address, spec, &key).await;
            accepted.is_some()
        })
        .await;
        accepted.expect("the job is accepted")
    }

    /// Submits a job to one gate and records it in the history if the gate accepts it.
    ///
    /// Returns `None` if the job was refused or the outcome is unknown.
    pub async fn submit_once(&self, gate: SocketAddr, spec: &JobSpec, key: &str) -> Option<JobId> {
        let request = client()
            .post(format!("http://{gate}/v1/jobs"))
            .bearer_auth(self.example.key)
            .header("idempotency-key", key)
            .json(spec)
            .timeout(CALL_TIMEOUT);
        let response = request.send().await.ok()?;
        if response.status() != StatusCode::ACCEPTED {
            let problem: Problem = response.json().await.ok()?;
            assert!(
                problem.execution != Execution::Unknown || problem.job.is_some(),
                "a problem with an unknown outcome names the job"
            );
            return None;
        }
        let Accepted { job } = response.json().await.ok()?;
        self.history.add(HistoryEvent::Accepted {
            job,
            team: self.team(),
            tasks: spec.tasks,
        });
        Some(job)
    }

    /// Returns the team of the API key that callers use.
    pub fn team(&self) -> wigeongate_core::ids::TeamId {
        let name = self.example.key.trim_start_matches("example-key-");
        name.into()
    }

    /// Returns the status of a job from the first gate that responds; `None` if no gate does.
    pub async fn status(&self, job: JobId) -> Option<JobStatus> {
        for gate in self.gates.values() {
            let request = client()
                .get(format!("http://{}/v1/jobs/{job}", gate.address))
                .bearer_auth(self.example.key)
                .timeout(CALL_TIMEOUT);
            let Ok(response) = request.send().await else {
                continue;
            };
            if let Ok(status) = response.json().await {
                return Some(status);
            }
        }
        None
    }

    /// Waits until a job has ended and records its outcome in the history.
    pub async fn wait_for_end(&self, job: JobId) -> Outcome {
        let mut outcome = None;
        wait_until("the job ends", async || {
            let status = self.status(job).await;
            if let Some(JobState::Ended(end)) = status.map(|status| status.state) {
                outcome = Some(end);
            }
            outcome.is_some()
        })
        .await;
        let outcome = outcome.expect("the job ends");
        self.history.add(HistoryEvent::EndReported {
            job,
            outcome: outcome.clone(),
        });
        outcome
    }

    /// Waits until exactly `tasks` tasks of a job are running.
    pub async fn wait_for_running(&self, job: JobId, tasks: u32) {
        wait_until("the tasks run", async || {
            let status = self.status(job).await;
            status.is_some_and(|status| status.running == tasks)
        })
        .await;
    }
}

/// Forwards requests one after the other to one gate; returns how many got their complete response.
///
/// Repeats a request for as long as the gate reports that it did not run.
pub async fn forward_requests(gate: SocketAddr, key: &str, queue: &str, count: usize) -> usize {
    let url = format!("http://{gate}/v1/queues/{queue}/requests/check");
    let mut answered = 0;
    for number in 0..count {
        let body = format!("packet {number}");
        let mut outcome = RequestOutcome::NotRun;
        wait_until("a request is answered", async || {
            outcome = forward_request(&url, key, &body).await;
            outcome != RequestOutcome::NotRun
        })
        .await;
        answered += usize::from(outcome == RequestOutcome::Answered);
    }
    answered
}

/// The outcome of a request as its caller knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The complete response of the backend server arrived.
    Answered,
    /// The gate reported that the request did not run.
    NotRun,
    /// No connection was accepted, so the request did not run.
    Refused,
    /// Another response, or an error after the connection was opened.
    Other,
}

/// Forwards one request, whose response has to echo its body.
pub async fn forward_request(url: &str, key: &str, body: &str) -> RequestOutcome {
    let request = client()
        .post(url)
        .bearer_auth(key)
        .body(body.to_owned())
        .timeout(REQUEST_TIMEOUT);
    let response = match request.send().await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return RequestOutcome::Refused,
        Err(error) => {
            println!("a request to {url} failed: {error:?}");
            return RequestOutcome::Other;
        }
    };
    if response.status().is_success() {
        let whole = response.text().await.is_ok_and(|text| text == body);
        return if whole {
            RequestOutcome::Answered
        } else {
            RequestOutcome::Other
        };
    }
    match response.json::<Problem>().await {
        Ok(problem) if problem.execution == Execution::NotRun => {
            println!("a request to {url} did not run: {}", problem.detail);
            RequestOutcome::NotRun
        }
        other => {
            println!("a request to {url} got another response: {other:?}");
            RequestOutcome::Other
        }
    }
}
