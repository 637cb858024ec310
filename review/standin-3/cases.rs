//! The scripts.

use std::path::{Path, PathBuf};

use crate::site::{Kind, Site, URGENT, job};

/// The most that a play may take, in seconds.
const END_S: f64 = 105.0;

/// Plays a case; returns 1 if its rule was broken, 0 if it held, 2 if it could not run.
pub fn play(case: &str, root: PathBuf, folder: PathBuf, trouble: bool) -> i32 {
    let record = folder.join("record.txt");
    let _ = std::fs::remove_file(&record);
    // A step of a play that cannot be carried out unwinds, and all processes are ended.
    let play = || play_at(case, root, &record, trouble);
    std::panic::catch_unwind(std::panic::AssertUnwindSafe(play)).unwrap_or(2)
}

fn play_at(case: &str, root: PathBuf, record: &Path, trouble: bool) -> i32 {
    let mut site = Site::start(root, record.to_owned(), 3, case == "wide-step");
    site.record
        .add(&format!("case {case}, with the disruption: {trouble}"));
    let broken = match case {
        "large-jobs" => large_jobs(&mut site, trouble),
        "flap" => flap(&mut site, trouble),
        "no-vacant" => no_vacant(&mut site, trouble),
        "wide-step" => wide_step(&mut site, trouble),
        "cancelled" => cancelled(&mut site, trouble),
        "backlog" => backlog(&mut site, trouble),
        "repeats" => repeats(&mut site, trouble),
        _ => return 2,
    };
    if std::env::var("KEEP_LOGS").is_ok() {
        site.keep_logs();
    }
    match broken {
        Some(what) => {
            site.record
                .add(&format!("verdict: the rule was broken: {what}"));
            1
        }
        None => {
            site.record.add("verdict: the rule held");
            0
        }
    }
}

fn kind(rack: usize, label: &str) -> Kind {
    Kind {
        zone: "a",
        labels: vec![label.to_owned(), format!("r1-{rack}")],
        cpu: 32_000,
    }
}

fn start_executors(site: &mut Site, count: usize) {
    for at in 0..count {
        site.start_executor(
            &format!("i-{at:02}"),
            &kind(at / 6, if at == 0 { "b" } else { "a" }),
        );
    }
    site.wait_ready();
}

/// Repeated jobs whose occurrences do not fit together into the memory of a gate.
fn large_jobs(site: &mut Site, trouble: bool) -> Option<String> {
    start_executors(site, 8);
    site.watch_memory(260);
    // Twelve jobs run each minute, from a minute on: for a week, or for an hour.
    let first = crate::record::unix_ms() + 60_000;
    let count = if trouble { 10_000 } else { 60 };
    for at in 0..12 {
        let body = format!(
            "{{\"spec\":\"work 500\",\"steps\":[{{\"count\":20,\"cpu\":100,\"mem_mb\":10,\
             \"estimate_ms\":500}}],\"repeat_count\":{count},\"first_run_ms\":{first},\
             \"interval_ms\":60000}}"
        );
        site.submit(&format!("00000000000000a{at:x}"), &body);
    }
    let small = job(
        "work 500",
        "{\"count\":2,\"cpu\":500,\"mem_mb\":100,\"estimate_ms\":500}",
    );
    let accepted = site.submit("00000000000000bb", &small);
    let at = site.seconds();
    let mut state = String::new();
    while site.seconds() < at + 45.0 {
        state = site.state("00000000000000bb");
        if state == "completed" && site.seconds() > at + 10.0 {
            break;
        }
        std::thread::sleep(std::time::Duration::from_secs(2));
    }
    let gates = site.gates.lock().unwrap();
    let ends: Vec<u32> = gates.iter().map(|gate| gate.ends).collect();
    let is_fault = ends.iter().filter(|ends| **ends >= 3).count() >= 2;
    let is_lost = accepted && state != "completed";
    site.record.add(&format!(
        "gates ended by themselves {ends:?} times; the last job was accepted: {accepted}, its state: {state:?}"
    ));
    (is_fault || is_lost).then(|| format!("FAULT: {is_fault}, LOST: {is_lost}"))
}

/// An executor goes down and up by turns under the only task that needs it.
fn flap(site: &mut Site, trouble: bool) -> Option<String> {
    start_executors(site, 10);
    let id = "00000000000000aa";
    let body = job(
        "work 8000",
        "{\"count\":1,\"cpu\":2000,\"mem_mb\":1000,\"estimate_ms\":8000,\"requires\":\"b\"}",
    );
    site.submit(id, &body);
    let task = format!("{id}.0.0.0");
    site.wait_for("its start", || site.host_of(&task).is_some());
    let at = site.seconds() + 1.0;
    if trouble {
        for turn in 0..3 {
            site.wait_until(at + 6.0 * f64::from(turn));
            site.kill_executor("i-00");
            site.wait_until(at + 6.0 * f64::from(turn) + 1.5);
            site.restart_executor("i-00");
        }
    }
    let mut state = String::new();
    while site.seconds() < at + 40.0 {
        state = site.state(id);
        if state == "completed" || state == "failed" {
            break;
        }
        std::thread::sleep(std::time::Duration::from_millis(500));
    }
    let failed = site
        .lines()
        .iter()
        .filter(|line| line.ends_with(" failed"))
        .count();
    (state == "failed" && failed == 0)
        .then(|| "the job is shown as failed, and no run of it has ended `failed`".to_owned())
}

/// An executor is lost for good under a short job, while each other one runs one long task.
fn no_vacant(site: &mut Site, trouble: bool) -> Option<String> {
    start_executors(site, 10);
    let long = job(
        "work 75000",
        "{\"count\":10,\"cpu\":2000,\"mem_mb\":1000,\"estimate_ms\":75000,\"max_per_server\":1}",
    );
    site.submit("00000000000000aa", &long);
    site.wait_for("all its starts", || {
        (0..10).all(|at| {
            site.host_of(&format!("00000000000000aa.0.0.{at}"))
                .is_some()
        })
    });
    let at = site.seconds() + 6.0;
    site.wait_until(at);
    let id = "00000000000000bb";
    let short = job(
        "work 4000",
        "{\"count\":1,\"cpu\":2000,\"mem_mb\":1000,\"estimate_ms\":4000}",
    );
    site.submit(id, &short);
    let task = format!("{id}.0.0.0");
    site.wait_for("its start", || site.host_of(&task).is_some());
    std::thread::sleep(std::time::Duration::from_millis(250));
    if trouble {
        let host = site.host_of(&task).expect("it runs");
        site.kill_executor(&host);
    }
    // The traffic ends here; `finish_s` later the job must not have stood still for 3 s.
    site.wait_until(at + 1.5 + 14.0 + 3.0);
    let state = site.state(id);
    let starts = site
        .lines()
        .iter()
        .filter(|line| line.contains(&format!(" start {task} ")))
        .count();
    let wanted = if trouble { 2 } else { 1 };
    (starts < wanted && state != "completed").then(|| {
        format!("17 s after the loss the job is {state:?} and nothing of it runs; starts: {starts}")
    })
}

/// A job of more than 10,000 occurrences.
fn repeats(site: &mut Site, trouble: bool) -> Option<String> {
    start_executors(site, 10);
    let count: usize = if trouble { 10_080 } else { 9_990 };
    let first = crate::record::unix_ms() + 1_000;
    let body = format!(
        "{{\"spec\":\"work 50\",\"steps\":[{{\"count\":1,\"cpu\":100,\"mem_mb\":10,\
         \"estimate_ms\":50}}],\"repeat_count\":{count},\"first_run_ms\":{first},\"interval_ms\":5}}"
    );
    let id = "00000000000000aa";
    let accepted = site.submit(id, &body);
    let mut state = String::new();
    while site.seconds() < END_S {
        state = site.state(id);
        if state == "completed" || state == "failed" {
            break;
        }
        std::thread::sleep(std::time::Duration::from_secs(1));
    }
    let prefix = format!(" end {id}.");
    let done = site
        .lines()
        .iter()
        .filter(|line| line.contains(&prefix) && line.ends_with(" done"))
        .count();
    (accepted && state == "completed" && done < count).then(|| {
        format!("the job is shown as completed; {done} of its {count} tasks have ended `done`")
    })
}

/// Urgent jobs wait for the two executors of their kind, and a usual job for any of eight idle ones.
fn backlog(site: &mut Site, trouble: bool) -> Option<String> {
    start_two_kinds(site);
    let count = if trouble { 300 } else { 200 };
    let body = job(
        "work 20000",
        "{\"count\":1,\"cpu\":16000,\"mem_mb\":1000,\"estimate_ms\":20000,\"requires\":\"b\"}",
    );
    let begun = site.seconds();
    for at in 0..count {
        site.wait_until(begun + 4.0 * f64::from(at) / f64::from(count));
        site.submit_to(URGENT, &format!("000000000001{at:04x}"), &body);
    }
    usual_job_stands_still(site)
}

/// Starts two executors of kind b and eight of kind a.
fn start_two_kinds(site: &mut Site) {
    for at in 0..10 {
        let label = if at < 2 { "b" } else { "a" };
        site.start_executor(&format!("i-{at:02}"), &kind(at / 6, label));
    }
    site.wait_ready();
}

/// Submits a small job of the other tenant that any idle executor may run, as the last of the traffic;
/// tells whether it has not begun when all have to.
fn usual_job_stands_still(site: &Site) -> Option<String> {
    let id = "00000000000000bb";
    let usual = job(
        "work 1000",
        "{\"count\":1,\"cpu\":1000,\"mem_mb\":100,\"estimate_ms\":1000}",
    );
    let accepted = site.submit(id, &usual);
    // The traffic ends here; `finish_s` later the job must not have stood still for 3 s.
    let at = site.seconds();
    site.wait_until(at + 14.0 + 3.0);
    let state = site.state(id);
    let begun = site.host_of(&format!("{id}.0.0.0")).is_some();
    site.record.add(&format!(
        "the job is accepted: {accepted}, {state:?}, has begun: {begun}"
    ));
    (accepted && !begun)
        .then(|| format!("17 s after the last submission the job is {state:?} and has not begun"))
}

/// One urgent step waits for the two executors of its kind, and a usual job for any of eight idle ones.
fn wide_step(site: &mut Site, trouble: bool) -> Option<String> {
    start_two_kinds(site);
    let count = if trouble { 48 } else { 4 };
    let step = format!(
        "{{\"count\":{count},\"cpu\":15000,\"mem_mb\":1000,\"estimate_ms\":12000,\"requires\":\"b\"}}"
    );
    site.submit_to(URGENT, "0000000000010000", &job("work 12000", &step));
    site.wait_for("its first start", || {
        site.host_of("0000000000010000.0.0.0").is_some()
    });
    usual_job_stands_still(site)
}

/// A job is cancelled while its starts wait for an executor that leaves some orders without an answer.
fn cancelled(site: &mut Site, trouble: bool) -> Option<String> {
    start_executors(site, 10);
    let id = "00000000000000aa";
    let body = job(
        "work 20000",
        "{\"count\":60,\"cpu\":500,\"mem_mb\":256,\"estimate_ms\":20000}",
    );
    if trouble {
        // The gates fill one executor after the other, in the order of their names.
        site.make_grey("i-00", 5_500);
    }
    site.submit(id, &body);
    site.wait_for("its first start", || {
        site.lines()
            .iter()
            .any(|line| line.contains(&format!(" start {id}.")))
    });
    std::thread::sleep(std::time::Duration::from_millis(500));
    let answer = site.call(0, "DELETE", &format!("/jobs/{id}"), "");
    let acknowledged = crate::record::unix_ms();
    if !answer.is_some_and(|(status, _)| (200..300).contains(&status)) {
        site.record.add("the cancelling was not acknowledged");
        std::panic::resume_unwind(Box::new(()));
    }
    std::thread::sleep(std::time::Duration::from_secs(12));
    let prefix = format!(" start {id}.");
    let after: Vec<u64> = site
        .lines()
        .iter()
        .filter(|line| line.contains(&prefix))
        .filter_map(|line| line.split(' ').next()?.parse::<u64>().ok())
        .map(|at| at.saturating_sub(acknowledged))
        .collect();
    let last = after.iter().copied().max().unwrap_or(0);
    let late = after.iter().filter(|after| **after > 3_000).count();
    site.record.add(&format!(
        "the last start came {last} ms after the acknowledgement of the cancelling"
    ));
    (late > 0)
        .then(|| format!("{late} tasks were started more than 3000 ms after the acknowledgement"))
}
