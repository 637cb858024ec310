//! The scripts.

use std::path::{Path, PathBuf};

use crate::site::{Kind, Site, URGENT, USUAL, job};

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
        "wide-step" => wide_step(&mut site, trouble),
        "cancelled" => cancelled(&mut site, trouble),
        "lasting" => lasting(&mut site, trouble),
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

/// Repeated jobs whose occurrences do not fit together into the memory of a gate, beside an ordinary job.
fn large_jobs(site: &mut Site, trouble: bool) -> Option<String> {
    start_executors(site, 8);
    site.watch_memory(260);
    let ordinary = "00000000000000bb";
    let body = job(
        "work 15000",
        "{\"count\":2,\"cpu\":500,\"mem_mb\":100,\"estimate_ms\":15000}",
    );
    let accepted = site.submit(ordinary, &body);
    // Twelve jobs run each minute, from a minute on: for a week, or for an hour.
    let first = crate::record::unix_ms() + 60_000;
    let count = if trouble { 10_000 } else { 60 };
    for at in 0..12 {
        let body = format!(
            "{{\"spec\":\"work 500\",\"steps\":[{{\"count\":20,\"cpu\":100,\"mem_mb\":10,\
             \"estimate_ms\":500}}],\"repeat_count\":{count},\"first_run_ms\":{first},\
             \"interval_ms\":60000}}"
        );
        // Each is submitted once, as by a client that doesn't try again.
        let path = format!("{USUAL}00000000000000a{at:x}");
        site.call(at % 3, "POST", &path, &body);
    }
    // That is the end of the traffic; the ordinary job is asked for from then on, past `finish_s`.
    let at = site.seconds();
    let mut state = String::new();
    let (mut asked, mut answered) = (0, 0);
    while site.seconds() < at + 40.0 {
        state = site.state(ordinary);
        asked += 1;
        answered += u32::from(!state.is_empty());
        if state == "completed" && site.seconds() > at + 25.0 {
            break;
        }
        std::thread::sleep(std::time::Duration::from_secs(1));
    }
    let gates = site.gates.lock().unwrap();
    let ends: Vec<u32> = gates.iter().map(|gate| gate.ends).collect();
    let is_fault = ends.iter().filter(|ends| **ends >= 3).count() >= 2;
    let is_lost = accepted && state != "completed";
    site.record.add(&format!(
        "gates ended by themselves {ends:?} times; the ordinary job was accepted: {accepted}; asked for at all \
         gates {asked} times, answered {answered} times, its last state: {state:?}"
    ));
    (is_fault || is_lost).then(|| format!("Fault: {is_fault}, LOST beside it: {is_lost}"))
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

/// A task that lasts runs on an executor that is taken away as planned, and the owner is restarted as planned.
fn lasting(site: &mut Site, trouble: bool) -> Option<String> {
    start_executors(site, 16);
    // Gates that have ended are started again; there is no limit on memory here.
    site.watch_memory(1_000_000);
    let id = "00000000000000aa";
    let task = format!("{id}.0.0.0");
    let step =
        "{\"count\":1,\"cpu\":2000,\"mem_mb\":1000,\"estimate_ms\":1000,\"long_running\":true}";
    site.submit(id, &job("work 100000000", step));
    site.wait_for("its start", || site.host_of(&task).is_some());
    std::thread::sleep(std::time::Duration::from_secs(8));
    let host = site.host_of(&task).expect("it runs");
    site.drain_executor(&host);
    let is_gone = || {
        site.lines()
            .iter()
            .any(|line| line.contains(" leaves; its "))
    };
    site.wait_for("the end of the executor", is_gone);
    let at = site.seconds();
    if trouble {
        site.wait_until(at + 0.5);
        site.stop_owner();
    }
    let starts = || {
        let wanted = format!(" start {task} run ");
        site.lines()
            .iter()
            .filter(|line| line.contains(&wanted))
            .count()
    };
    while starts() < 2 && site.seconds() < at + 30.0 {
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    let took = site.seconds() - at;
    site.record
        .add(&format!("the task has had no run for {took:.1} s"));
    // From 6 s after its last run it must not stand still for 3 s.
    (took > 9.0).then(|| format!("a task that lasts had no run for {took:.1} s"))
}
