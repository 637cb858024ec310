//! The cases.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{CannotRun, Deployment, Plan, job, manifest, wait_until};
use crate::executor::Link;
use crate::record::Record;
use crate::store::{LateWrite, Mode};

/// What breaks the rule; empty if it held.
type Broken = Vec<String>;

/// The time after which jobs are asked for (`finish_s`).
const FINISH: Duration = Duration::from_secs(14);

/// How often the store is down at most in one case.
const ROUNDS: usize = 8;

/// Runs a case.
pub fn run(case: &str, trouble: bool, record: &Arc<Record>) -> Result<Broken, CannotRun> {
    match case {
        "expired" => expired(trouble, record),
        "route" => route(trouble, record),
        "returned" => returned(trouble, record),
        "clock" => clock(trouble, record),
        "repeated-cancel" => repeated_cancel(trouble, record),
        "cancel-gone" => cancel_gone(trouble, record),
        "left" => left(trouble, record),
        _ => Err(format!("no such case: {case}")),
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// The store is busy for 4.5 s while ended jobs expire; clients then ask for them.
fn expired(trouble: bool, record: &Arc<Record>) -> Result<Broken, CannotRun> {
    let plan = Plan {
        status_s: 60,
        ..Plan::small(6)
    };
    let deployment = Deployment::start(&plan, record)?;
    let ids: Vec<String> = (0..8).map(|at| format!("00000000000000e{at}")).collect();
    for id in &ids {
        deployment
            .submit("one", id, &job("ms=500", &[(2, 2_000, &[])]))
            .ok_or("a job is not accepted")?;
        if !deployment.wait_for_state("one", id, "completed", seconds(10.0)) {
            return Err("a job does not end".to_owned());
        }
    }
    let first = deployment
        .runs_of(&ids[0])
        .iter()
        .filter_map(|run| run.ended)
        .map(|(at, _)| at)
        .max();
    let first = first.ok_or("the first job has no run")?;
    // A gate forgets an ended job 30 s after the time for which it has to show it.
    let expires = first + Duration::from_secs(plan.status_s + 30);
    let from = expires + seconds(0.5);
    thread::sleep(from.saturating_duration_since(Instant::now()));
    if trouble {
        deployment.store.set_mode(Mode::Busy);
    }
    thread::sleep(seconds(4.5));
    if trouble {
        deployment.store.set_mode(Mode::Up);
    }
    // The callers ask for their jobs once more.
    thread::sleep(seconds(3.0));
    for id in &ids {
        deployment.state("one", id);
    }
    thread::sleep(seconds(4.0));
    Ok(ids.iter().flat_map(|id| deployment.run_twice(id)).collect())
}

/// A route is removed while its jobs run, then the owner is restarted as planned; the route comes back
/// later.
fn route(trouble: bool, record: &Arc<Record>) -> Result<Broken, CannotRun> {
    let mut deployment = Deployment::start(&Plan::small(6), record)?;
    let (stays, waits, fails) = ("00000000000000b0", "00000000000000b1", "00000000000000b2");
    let steps = job("ms=6000", &[(4, 2_000, &[]), (4, 2_000, &[0])]);
    // The first run of each task of this job fails by its own fault, and a queue allows three.
    let failing = job("ms=6000 fail=1", &[(1, 2_000, &[])]);
    for (route, id, body) in [
        ("two", stays, &steps),
        ("one", waits, &steps),
        ("one", fails, &failing),
    ] {
        deployment
            .submit(route, id, body)
            .ok_or("a job is not accepted")?;
    }
    thread::sleep(seconds(1.0));
    record.add("operator", "puts version 2, without the route `one`");
    deployment.store.put("op/config", &manifest(2, &["two"]), 0);
    thread::sleep(seconds(2.5));
    if trouble {
        // Planned work: the gates are stopped and started in turn; the owner is the first.
        let owner = deployment.wait_for_owner(None)?;
        deployment.terminate(owner);
        deployment.restart(owner)?;
    }
    let started_all = |id: &str| deployment.runs_of(id).len() >= 8;
    if !wait_until(seconds(25.0), || started_all(stays)) {
        return Err("the job of the route that stays does not go on".to_owned());
    }
    // By now the second step of the other job has had its turn for as long.
    let goes_on = wait_until(FINISH, || started_all(waits));
    let mut broken = Vec::new();
    if !goes_on {
        let runs = deployment.runs_of(waits);
        let done = runs
            .iter()
            .filter(|run| matches!(run.ended, Some((_, "done"))))
            .count();
        broken.push(format!(
            "job {waits} was accepted, has {done} of 8 tasks done and has had nothing running for {} s, \
             with six executors free",
            FINISH.as_secs()
        ));
    }
    record.add("operator", "puts version 3, with the route `one` again");
    deployment
        .store
        .put("op/config", &manifest(3, &["one", "two"]), 0);
    thread::sleep(seconds(4.0));
    let state = deployment.state("one", fails);
    let runs = deployment.runs_of(fails).len();
    if state.as_deref() == Some("failed") && runs < 3 {
        broken.push(format!(
            "job {fails} is shown as failed after {runs} run of 3"
        ));
    }
    Ok(broken)
}

/// The store is down for two seconds; jobs are accepted as it returns. Nothing else goes on meanwhile.
fn returned(trouble: bool, record: &Arc<Record>) -> Result<Broken, CannotRun> {
    let deployment = Deployment::start(&Plan::small(6), record)?;
    for round in 0..ROUNDS {
        // What ran before has ended, and its ends are written.
        thread::sleep(seconds(5.0));
        if trouble {
            deployment.store.set_mode(Mode::Silent);
            thread::sleep(seconds(2.15));
            deployment.store.set_mode(Mode::Up);
        }
        let mut ids = Vec::new();
        for at in 0..deployment.gates() {
            let id = format!("00000000c0{round:02}000{at}");
            let path = format!("/one/{id}");
            let body = job("ms=300", &[(1, 1_000, &[])]);
            if matches!(
                deployment.call_gate(at, "POST", &path, &body),
                Some((200, _))
            ) {
                ids.push(id);
            }
        }
        let waits = |id: &&String| deployment.runs_of(id).is_empty();
        if wait_until(FINISH, || ids.iter().filter(waits).count() == 0) {
            continue;
        }
        // No client has asked for the jobs so far.
        let lost: Vec<&String> = ids.iter().filter(waits).collect();
        let states = lost.iter().map(|id| deployment.state("one", id));
        record.add(
            "client",
            &format!(
                "asks for the jobs that have not started: {:?}",
                states.collect::<Vec<_>>()
            ),
        );
        let broken = lost.iter().map(|id| {
            format!(
                "job {id} was accepted and had not started {} s later, with six executors free",
                FINISH.as_secs()
            )
        });
        return Ok(broken.collect());
    }
    Ok(Vec::new())
}

/// An executor starts again under its id, and is lost for good a while later.
fn clock(trouble: bool, record: &Arc<Record>) -> Result<Broken, CannotRun> {
    let deployment = Deployment::start(&Plan::small(8), record)?;
    let executor = &deployment.executors[2];
    if trouble {
        executor.crash();
        thread::sleep(seconds(1.0));
        executor.restart();
    }
    thread::sleep(seconds(6.0));
    let id = "00000000000000d1";
    // Eight tasks of nine cores: one on each executor of 16 cores.
    let body = job("ms=8000", &[(8, 9_000, &[])]);
    deployment
        .submit("one", id, &body)
        .ok_or("the job is not accepted")?;
    if !wait_until(seconds(8.0), || deployment.runs_of(id).len() == 8) {
        return Err("the tasks do not start on all executors".to_owned());
    }
    thread::sleep(seconds(2.0));
    if trouble {
        record.add("case", "the executor is lost for good");
        executor.crash();
    }
    // The other executors are free 8 s after the start, and leases last 6 s.
    thread::sleep(seconds(8.0));
    let again = || deployment.runs_of(id).len() >= if trouble { 9 } else { 8 };
    let goes_on = wait_until(FINISH, again);
    let state = deployment.state("one", id);
    if goes_on {
        return Ok(Vec::new());
    }
    Ok(vec![format!(
        "the task of the lost executor has not started again {} s after the loss, with seven executors \
         free; the job is shown as {state:?}",
        FINISH.as_secs() + 8
    )])
}

/// The answer to a cancel is lost, and the client cancels again.
fn repeated_cancel(trouble: bool, record: &Arc<Record>) -> Result<Broken, CannotRun> {
    let deployment = Deployment::start(&Plan::small(6), record)?;
    let mut broken = Vec::new();
    for at in 0..3 {
        let id = format!("00000000000000f{at}");
        let path = format!("/one/{id}");
        deployment
            .submit("one", &id, &job("ms=20000", &[(1, 1_000, &[])]))
            .ok_or("the job is not accepted")?;
        thread::sleep(seconds(1.0));
        let first = deployment.call("DELETE", &path, "");
        if !matches!(first, Some((200..=299 | 410, _))) {
            return Err("the first cancel is not answered".to_owned());
        }
        if trouble {
            thread::sleep(seconds(2.0));
            record.add("client", "takes the answer for lost and cancels again");
            let answered = wait_until(seconds(14.0), || {
                matches!(
                    deployment.call("DELETE", &path, ""),
                    Some((200..=299 | 410, _))
                )
            });
            if !answered {
                broken.push(format!(
                    "no cancel of job {id} was answered with 2xx or 410 in 14 s"
                ));
            }
        }
    }
    Ok(broken)
}

/// The write of a job is carried out late; the client withdraws the job meanwhile.
fn cancel_gone(trouble: bool, record: &Arc<Record>) -> Result<Broken, CannotRun> {
    let deployment = Deployment::start(&Plan::small(6), record)?;
    let id = "00000000000000c9";
    let path = format!("/one/{id}");
    if trouble {
        deployment.store.delay_write(LateWrite {
            key: format!("wigeongate/job/{id}"),
            delay: seconds(4.5),
        });
    }
    let body = job("ms=3000", &[(1, 1_000, &[])]);
    let first = deployment.call("POST", &path, &body);
    record.add(
        "client",
        &format!("gives the job up after {first:?} and cancels it"),
    );
    let acknowledged = wait_until(seconds(3.0), || {
        matches!(
            deployment.call("DELETE", &path, ""),
            Some((200..=299 | 410, _))
        )
    });
    if !acknowledged {
        return Err("the cancel is not acknowledged".to_owned());
    }
    let cancelled = Instant::now();
    thread::sleep(seconds(12.0));
    let late = deployment.runs_of(id);
    let late = late
        .iter()
        .filter(|run| run.started > cancelled + seconds(3.0));
    Ok(late
        .map(|run| {
            let after = run.started.duration_since(cancelled).as_millis();
            format!(
                "{} starts on {} {after} ms after its job's cancelling was acknowledged",
                run.task, run.executor
            )
        })
        .collect())
}

/// A draining executor is cut off, with refused connections, and runs on.
fn left(trouble: bool, record: &Arc<Record>) -> Result<Broken, CannotRun> {
    let deployment = Deployment::start(&Plan::small(8), record)?;
    let id = "00000000000000a9";
    // One task on each of six executors; two are free.
    let body =
        job("ms=16000", &[(6, 4_000, &[])]).replace("\"cpu\"", "\"max_per_server\":1,\"cpu\"");
    deployment
        .submit("one", id, &body)
        .ok_or("the job is not accepted")?;
    if !wait_until(seconds(8.0), || deployment.runs_of(id).len() == 6) {
        return Err("the tasks do not start on six executors".to_owned());
    }
    let used = deployment.runs_of(id).remove(0).executor;
    let executor = deployment
        .executors
        .iter()
        .find(|executor| executor.id() == used);
    let executor = executor.ok_or("no executor runs the first task")?;
    executor.drain();
    thread::sleep(seconds(2.0));
    if trouble {
        executor.set_link(Link::Refused, false);
    }
    thread::sleep(seconds(5.5));
    if trouble {
        executor.set_link(Link::Up, true);
    }
    thread::sleep(seconds(14.0));
    Ok(deployment.run_twice(id))
}
