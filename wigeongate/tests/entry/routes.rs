//! Tests of jobs whose route is removed.

use serde::Serialize;
use serde_json::json;
use wigeongate_core::ids::{QueueId, TeamId};
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{StepSpec, WorkflowId, WorkflowSpec};

use crate::{KEY, start_deployment, wait_for_owner, wait_until};

/// A job, and how many starts it takes to its end.
struct Case {
    name: &'static str,
    id: &'static str,
    command: &'static str,
    /// The number of steps, each of one task and after the one before.
    steps: u64,
    starts: usize,
}

/// Guards against review/3: after a planned restart of the owner, jobs of a removed route stood still,
/// or were given up after one failed run of three.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_of_a_removed_route_run_on_under_the_next_owner() {
    let (platform, gates) = start_deployment(2, 2).await;
    let cases = [
        Case {
            name: "a job whose second step has not started",
            id: "0000000000006001",
            command: "2000",
            steps: 2,
            starts: 2,
        },
        Case {
            name: "a job whose first run fails",
            id: "0000000000006002",
            command: "2000 fail",
            steps: 1,
            starts: 2,
        },
    ];
    for case in &cases {
        let step = |at: u64| {
            let after: Vec<u64> = (0..at).collect();
            json!({ "count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": 2_000, "after": after })
        };
        let steps: Vec<_> = (0..case.steps).map(step).collect();
        let job = json!({ "spec": case.command, "steps": steps });
        let path = format!("/q/{}", case.id);
        let answer = gates[1].call("POST", &path, KEY, &job).await;
        assert_eq!(answer.status, 200, "{}", case.name);
        wait_until(case.name, async || {
            (platform.starts(case.id).len() == 1).then_some(())
        })
        .await;
    }
    platform.configure_routes(2, &[KEY], &["other"]);
    wait_until("the route is removed", async || {
        let answer = gates[0].call("GET", "/q/", KEY, &json!(null)).await;
        (answer.status == 404).then_some(())
    })
    .await;
    let owner = wait_for_owner(&platform, gates.len()).await;
    gates[owner].signal(nix::sys::signal::Signal::SIGTERM);
    for case in &cases {
        wait_until(case.name, async || {
            (platform.starts(case.id).len() == case.starts).then_some(())
        })
        .await;
    }
    platform.configure_routes(3, &[KEY], &["other", "q"]);
    for case in &cases {
        gates[1 - owner].wait_state(case.id, "completed").await;
        let starts = platform.starts(case.id).len();
        assert_eq!(starts, case.starts, "{}", case.name);
    }
}

/// A job in the form in which versions before 2026-12-05 stored it, without the rules of its queue.
#[derive(Serialize)]
struct EarlierJob {
    id: WorkflowId,
    queue: QueueId,
    team: Option<TeamId>,
    accepted: u64,
    spec: WorkflowSpec,
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_an_earlier_version_stored_runs() {
    let (platform, gates) = start_deployment(1, 1).await;
    let id = "0000000000006003";
    let step = StepSpec {
        count: 2,
        requested: Resources {
            cpu: 500,
            memory: 64,
            accelerators: 0,
        },
        estimate: Millis(100),
        ..StepSpec::default()
    };
    let job = EarlierJob {
        id: WorkflowId(0x6003),
        queue: QueueId::from("q"),
        team: Some(TeamId::from("branch")),
        accepted: 1,
        spec: WorkflowSpec {
            command: "100".to_owned(),
            steps: vec![step],
            repeat: None,
        },
    };
    let bytes = postcard::to_stdvec(&job).expect("the job is encoded");
    platform
        .store
        .put_bytes(&format!("wigeongate/job/{id}"), bytes);
    gates[0].wait_state(id, "completed").await;
    assert_eq!(platform.starts(id).len(), 2);
}
