//! Tests of what the check of `serve-soak` finds in the lines of executors.

#[path = "../src/serve_soak/check.rs"]
#[expect(dead_code, reason = "the play prints more than the tests read")]
mod check;
#[path = "../src/serve_soak/lines.rs"]
#[expect(dead_code, reason = "the tests read no files")]
mod lines;

use lines::{Line, What};

fn line(at: u64, what: What, process: u32, run: u64, how: &str) -> Line {
    let task = if run > 0 { "t" } else { "" };
    Line {
        at,
        unix: at,
        what,
        host: format!("w-{process}"),
        process,
        task: task.to_owned(),
        run,
        how: how.to_owned(),
        lapsed: how == "lapsed",
        clock: 0,
        deadline: 0,
        fence: 1,
    }
}

struct Case {
    name: &'static str,
    lines: Vec<Line>,
    overlaps: usize,
    after_done: usize,
}

#[test]
fn a_task_that_runs_twice_is_found() {
    let first = |end: u64, how: &str| {
        vec![
            line(10, What::Start, 1, 1, ""),
            line(end, What::End, 1, 1, how),
        ]
    };
    let second = line(100, What::Start, 2, 2, "");
    let with = |mut lines: Vec<Line>, more: Line| {
        lines.extend([second.clone(), more]);
        lines
    };
    let killed = vec![
        line(10, What::Start, 1, 1, ""),
        line(90, What::Exit, 1, 0, "killed"),
    ];
    let end = line(200, What::End, 2, 2, "done");
    let cases = [
        Case {
            name: "a start while the first run goes on",
            lines: with(first(101, "done"), end.clone()),
            overlaps: 1,
            after_done: 0,
        },
        Case {
            name: "a start while a run without an end goes on",
            lines: with(vec![line(10, What::Start, 1, 1, "")], end.clone()),
            overlaps: 1,
            after_done: 0,
        },
        Case {
            name: "a start after a lapse",
            lines: with(first(100, "lapsed"), end.clone()),
            overlaps: 0,
            after_done: 0,
        },
        Case {
            name: "a start after a done end that is taken note of later",
            lines: with(first(50, "done"), line(150, What::Noted, 1, 1, "done")),
            overlaps: 0,
            after_done: 1,
        },
        Case {
            name: "a start after a done end that is taken note of after a lapse",
            lines: with(first(50, "done"), line(150, What::Noted, 1, 1, "lapsed")),
            overlaps: 0,
            after_done: 0,
        },
        Case {
            name: "a start after the executor was killed",
            lines: with(killed, end),
            overlaps: 0,
            after_done: 0,
        },
    ];
    for case in cases {
        let breaks = check::breaks(&check::runs(&case.lines));
        let after_done = breaks.iter().filter(|it| it.after_done).count();
        assert_eq!(after_done, case.after_done, "{}", case.name);
        assert_eq!(breaks.len() - after_done, case.overlaps, "{}", case.name);
    }
}
