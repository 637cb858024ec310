//! The cases.

use std::thread::sleep;
use std::time::Duration;

use crate::Outcome;
use crate::executor::{Event, Offer};
use crate::site::{Problem, SERVICE, Site, URGENT_PREFIX};

pub fn play(case: &str, record: &str, trouble: bool) -> Result<Outcome, Problem> {
    match case {
        "many-ends" => many_ends(record, trouble),
        "three-cuts" => three_cuts(record, trouble),
        "lone-suspect" => lone_suspect(record, trouble),
        "long-queue" => long_queue(record, trouble),
        "fillers" => fillers(record, trouble),
        "many-times" => many_times(record, trouble),
        _ => Err(format!("there is no case {case}")),
    }
}

fn offer() -> Offer {
    Offer {
        service: SERVICE.to_owned(),
        zone: String::new(),
        cpu: 32_000,
        mem_mb: 131_072,
        labels: vec!["a".to_owned(), "r1".to_owned()],
    }
}

/// How long a machine without power is dark.
const DARK_MS: u64 = 3_500;

/// The owner loses power while more runs end on one executor than one answer lists.
fn many_ends(record: &str, trouble: bool) -> Result<Outcome, Problem> {
    const TASKS: usize = 1_200;
    const EXECUTORS: usize = 6;
    const WORK_MS: u64 = 5_500;
    const ID: &str = "00000000000000a1";
    const OTHER: &str = "00000000000000b2";
    let mut site = Site::start(record, 3, EXECUTORS, &offer())?;
    // Other work leaves one core of each executor but one.
    let body = r#"{"spec":"ms=25000","steps":[{"count":155,"cpu":1000,"mem_mb":1024,"estimate_ms":25000,"max_per_server":31}]}"#;
    site.submit(OTHER, body)?;
    let running = |site: &Site| {
        site.executors()
            .iter()
            .map(|it| it.tasks().len())
            .sum::<usize>()
    };
    site.wait("the other work runs", 10, |site| running(site) == 155)?;
    let body = format!(
        r#"{{"spec":"ms={WORK_MS}","steps":[{{"count":{TASKS},"cpu":20,"mem_mb":64,"estimate_ms":{WORK_MS}}}]}}"#
    );
    site.submit(ID, &body)?;
    let starts = |site: &Site| {
        let entries = site.ledger.entries();
        let is_start =
            |event: &Event| matches!(event, Event::Start { task, .. } if task.starts_with(ID));
        let times = entries
            .iter()
            .filter(|it| is_start(&it.event))
            .map(|it| it.at_ms);
        times.collect::<Vec<u64>>()
    };
    site.wait("all tasks have started", 20, |site| {
        starts(site).len() >= TASKS
    })?;
    let first = starts(&site)[0];
    let dark_at = first + WORK_MS - 600;
    if trouble {
        let now = site.ledger.now_ms();
        if now > dark_at {
            return Err("the starts took too long".to_owned());
        }
        sleep(Duration::from_millis(dark_at - now));
        let owner = site.owner().ok_or("no owner")?;
        let name = site.gates[owner].name.clone();
        site.note(&format!("platform: {name} loses power"));
        site.gates[owner].go_dark();
        sleep(Duration::from_millis(DARK_MS));
        site.gates[owner].kill();
        site.gates[owner].start()?;
        site.note(&format!("platform: {name} starts again"));
    }
    let ended = site.wait("the job is shown as completed", 40, |site| {
        sleep(Duration::from_millis(500));
        site.state(ID)
            .is_some_and(|(_, state)| state == "completed")
    });
    sleep(Duration::from_secs(2));
    if let Ok(folder) = std::env::var("KEEP_LOGS") {
        site.keep_logs(&folder);
    }
    let broken = site.ledger.starts_after_done();
    if broken.is_empty() {
        ended?;
        return Ok(Outcome::Held);
    }
    Ok(Outcome::Broken(broken))
}

fn is_over(site: &Site, id: &str) -> bool {
    site.state(id)
        .is_some_and(|(_, state)| state != "queued" && state != "running")
}

/// A job with many due times is handed in.
fn many_times(record: &str, trouble: bool) -> Result<Outcome, Problem> {
    const MEMORY_MB: u64 = 260;
    const RESTART_MS: u64 = 1_000;
    const WATCHED_MS: u64 = 45_000;
    const SMALL: &str = "00000000000000d4";
    const LARGE: &str = "00000000000000e5";
    let mut site = Site::start(record, 3, 2, &offer())?;
    site.submit(
        SMALL,
        r#"{"spec":"ms=12000","steps":[{"count":2,"cpu":1000,"mem_mb":512,"estimate_ms":12000}]}"#,
    )?;
    sleep(Duration::from_millis(500));
    if trouble {
        // Every ten minutes for ten weeks, beginning in an hour.
        let first = crate::executor::unix_ms() + 3_600_000;
        let body = format!(
            r#"{{"spec":"ms=1000","steps":[{{"count":300,"cpu":500,"mem_mb":256,"estimate_ms":1000}}],"repeat_count":10000,"first_run_ms":{first},"interval_ms":600000}}"#
        );
        let _ = site.submit(LARGE, &body);
    }
    // The platform kills a process over its memory and starts it again after a short delay.
    let (mut killed, mut peak) = (vec![0; site.gates.len()], 0);
    let mut starts_at = vec![None; site.gates.len()];
    let until = site.ledger.now_ms() + WATCHED_MS;
    while site.ledger.now_ms() < until {
        for at in 0..site.gates.len() {
            let used = site.gates[at].memory_mb();
            peak = used.max(peak);
            let name = site.gates[at].name.clone();
            if used > MEMORY_MB {
                site.note(&format!("platform: {name} uses {used} MB and is killed"));
                killed[at] += 1;
                site.gates[at].kill();
                starts_at[at] = Some(site.ledger.now_ms() + RESTART_MS);
            } else if starts_at[at].is_some_and(|due| due <= site.ledger.now_ms()) {
                starts_at[at] = None;
                site.gates[at].start()?;
                site.note(&format!("platform: {name} starts again"));
            }
        }
        sleep(Duration::from_millis(20));
    }
    site.note(&format!(
        "platform: the most that a process used is {peak} MB"
    ));
    let shown = site.state(SMALL);
    if let Ok(folder) = std::env::var("KEEP_LOGS") {
        site.keep_logs(&folder);
    }
    let completed = shown
        .as_ref()
        .is_some_and(|(_, state)| state == "completed");
    // Ends by themselves count from three times on two machines on.
    let often = killed.iter().filter(|times| **times >= 3).count();
    if completed && often < 2 {
        return Ok(Outcome::Held);
    }
    let mut lines = vec![format!("processes killed for their memory: {killed:?}")];
    if !completed {
        lines.push(format!(
            "the small job of 12 s, accepted before, is shown as {shown:?} after {} s",
            WATCHED_MS / 1_000
        ));
    }
    Ok(Outcome::Broken(lines))
}

/// The owner is killed while tasks that fill run; then a small job comes.
fn fillers(record: &str, trouble: bool) -> Result<Outcome, Problem> {
    const FILL: &str = "00000000000000f1";
    const SMALL: &str = "00000000000000f2";
    const EXECUTORS: usize = 4;
    let mut site = Site::start(record, 3, EXECUTORS, &offer())?;
    // Each may use what others leave of an executor; `cpu` is not counted against its capacity.
    site.submit(
        FILL,
        r#"{"spec":"ms=200000","steps":[{"count":8,"cpu":30000,"mem_mb":1024,"estimate_ms":1000,"long_running":true,"fills":true,"image":"sweep","max_per_server":2}]}"#,
    )?;
    let running = |site: &Site| {
        site.executors()
            .iter()
            .map(|it| it.tasks().len())
            .sum::<usize>()
    };
    site.wait("all tasks that fill run", 10, |site| running(site) == 8)?;
    sleep(Duration::from_secs(2));
    if trouble {
        let owner = site.owner().ok_or("no owner")?;
        let name = site.gates[owner].name.clone();
        site.note(&format!("platform: {name} is killed"));
        site.gates[owner].kill();
        sleep(Duration::from_secs(1));
        site.gates[owner].start()?;
        site.note(&format!("platform: {name} starts again"));
    }
    sleep(Duration::from_secs(6));
    site.submit(
        SMALL,
        r#"{"spec":"ms=1000","steps":[{"count":1,"cpu":2000,"mem_mb":1024,"estimate_ms":1000}]}"#,
    )?;
    // The users ask for jobs `finish_s` after the end of the traffic.
    let ended = site.wait("the small job is completed", 30, |site| {
        sleep(Duration::from_millis(1_000));
        site.state(SMALL)
            .is_some_and(|(_, state)| state == "completed")
    });
    if let Ok(folder) = std::env::var("KEEP_LOGS") {
        site.keep_logs(&folder);
    }
    let is_start =
        |event: &Event| matches!(event, Event::Start { task, .. } if task.starts_with(SMALL));
    let started = site.ledger.entries().iter().any(|it| is_start(&it.event));
    match (ended, started) {
        (Ok(()), _) => Ok(Outcome::Held),
        (Err(_), false) => Ok(Outcome::Broken(vec![format!(
            "for 30 s no task of the small job has started, on {EXECUTORS} executors of 32 cores of which no counted core is in use"
        )])),
        (Err(problem), true) => Err(problem),
    }
}

/// One executor is lost for good a second after the only task of a job has started there; long tasks
/// with little need for room run on all others.
fn lone_suspect(record: &str, trouble: bool) -> Result<Outcome, Problem> {
    const SMALL: &str = "00000000000000c5";
    const EXECUTORS: usize = 4;
    const WATCHED_S: u64 = 35;
    let site = Site::start(record, 3, EXECUTORS, &offer())?;
    for rack in 1..=EXECUTORS {
        let body = format!(
            r#"{{"spec":"ms=90000","steps":[{{"count":1,"cpu":2000,"mem_mb":2048,"estimate_ms":90000,"requires":"r{rack}"}}]}}"#
        );
        site.submit(&format!("00000000000000a{rack}"), &body)?;
    }
    let busy = |site: &Site| {
        site.executors()
            .iter()
            .filter(|it| !it.tasks().is_empty())
            .count()
    };
    site.wait("a long task runs on each executor", 10, |site| {
        busy(site) == EXECUTORS
    })?;
    sleep(Duration::from_secs(6));
    site.submit(
        SMALL,
        r#"{"spec":"ms=5000","steps":[{"count":1,"cpu":2000,"mem_mb":2048,"estimate_ms":5000}]}"#,
    )?;
    let on = |site: &Site| {
        site.executors()
            .into_iter()
            .find(|it| it.tasks().iter().any(|task| task.starts_with(SMALL)))
    };
    site.wait("the small task runs", 10, |site| on(site).is_some())?;
    sleep(Duration::from_millis(300));
    if trouble {
        on(&site).ok_or("the small task has ended")?.crash();
    }
    let ended = site.wait("the small job is completed", WATCHED_S, |site| {
        sleep(Duration::from_millis(1_000));
        site.state(SMALL)
            .is_some_and(|(_, state)| state == "completed")
    });
    if let Ok(folder) = std::env::var("KEEP_LOGS") {
        site.keep_logs(&folder);
    }
    let is_start =
        |event: &Event| matches!(event, Event::Start { task, .. } if task.starts_with(SMALL));
    let starts = site
        .ledger
        .entries()
        .iter()
        .filter(|it| is_start(&it.event))
        .count();
    match ended {
        Ok(()) => Ok(Outcome::Held),
        Err(_) if starts < 2 => Ok(Outcome::Broken(vec![format!(
            "{WATCHED_S} s after the loss of its executor no task of the small job runs, though 30 of 32 cores are free on each of the {} others",
            EXECUTORS - 1
        )])),
        Err(problem) => Err(problem),
    }
}

/// The only executor of a kind is lost for good while many urgent jobs need that kind; then a job comes
/// that may run on any.
fn long_queue(record: &str, trouble: bool) -> Result<Outcome, Problem> {
    const JOBS: usize = 300;
    const SMALL: &str = "00000000000000c6";
    const EXECUTORS: usize = 8;
    let site = Site::start(record, 3, EXECUTORS, &offer())?;
    for at in 0..JOBS {
        let id = format!("{:016x}", 0x5000 + at);
        let body = r#"{"spec":"ms=90000","steps":[{"count":1,"cpu":100,"mem_mb":128,"estimate_ms":90000,"requires":"b"}]}"#;
        site.submit_to(URGENT_PREFIX, &id, body)?;
        // Less than the tenant's share of jobs a second.
        sleep(Duration::from_millis(20));
    }
    let running = |site: &Site| {
        site.executors()
            .iter()
            .map(|it| it.tasks().len())
            .sum::<usize>()
    };
    site.wait("the urgent jobs run", 20, |site| running(site) == JOBS)?;
    sleep(Duration::from_secs(6));
    if trouble {
        site.executors()[EXECUTORS - 1].crash();
        sleep(Duration::from_secs(10));
    }
    site.submit(
        SMALL,
        r#"{"spec":"ms=1000","steps":[{"count":1,"cpu":2000,"mem_mb":1024,"estimate_ms":1000}]}"#,
    )?;
    let ended = site.wait("the small job is completed", 30, |site| {
        sleep(Duration::from_millis(1_000));
        site.state(SMALL)
            .is_some_and(|(_, state)| state == "completed")
    });
    if let Ok(folder) = std::env::var("KEEP_LOGS") {
        site.keep_logs(&folder);
    }
    let is_start =
        |event: &Event| matches!(event, Event::Start { task, .. } if task.starts_with(SMALL));
    let started = site.ledger.entries().iter().any(|it| is_start(&it.event));
    match (ended, started) {
        (Ok(()), _) => Ok(Outcome::Held),
        (Err(_), false) => Ok(Outcome::Broken(vec![format!(
            "for 30 s no task of the small job has started, while {} executors of 32 cores run nothing",
            EXECUTORS - 1
        )])),
        (Err(problem), true) => Err(problem),
    }
}

/// Three executors are cut off one after the other while the only task of a job works on them.
fn three_cuts(record: &str, trouble: bool) -> Result<Outcome, Problem> {
    const ID: &str = "00000000000000c8";
    const CUT: Duration = Duration::from_millis(8_000);
    let site = Site::start(record, 3, 8, &offer())?;
    site.submit(
        ID,
        r#"{"spec":"ms=14000","steps":[{"count":1,"cpu":4000,"mem_mb":4096,"estimate_ms":14000}]}"#,
    )?;
    let mut cut: Vec<String> = Vec::new();
    for _ in 0..3 {
        if !trouble {
            break;
        }
        let on = |site: &Site| {
            site.executors()
                .into_iter()
                .find(|it| !it.tasks().is_empty() && !cut.contains(&it.id))
        };
        site.wait("the task runs in reach", 15, |site| {
            on(site).is_some() || is_over(site, ID)
        })?;
        sleep(Duration::from_millis(2_000));
        let Some(executor) = on(&site) else { break };
        executor.cut_off(CUT);
        cut.push(executor.id.clone());
    }
    let ended = site.wait("the job ends", 45, |site| {
        sleep(Duration::from_millis(500));
        is_over(site, ID)
    });
    let shown = site.state(ID);
    if let Ok(folder) = std::env::var("KEEP_LOGS") {
        site.keep_logs(&folder);
    }
    ended?;
    let entries = site.ledger.entries();
    let is_failed = |event: &Event| matches!(event, Event::End { how: "failed", .. });
    let failures = entries.iter().filter(|it| is_failed(&it.event)).count();
    match shown {
        Some((200, state)) if state == "completed" => Ok(Outcome::Held),
        Some((200, state)) if state == "failed" || state == "cancelled" => {
            Ok(Outcome::Broken(vec![format!(
                "the job is shown as {state}; no executor has crashed, {failures} runs have ended failed, and nobody has cancelled it"
            )]))
        }
        other => Err(format!("the job is shown as {other:?}")),
    }
}
