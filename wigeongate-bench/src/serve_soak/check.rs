//! What the lines of the executors show.

use std::collections::{BTreeMap, HashMap};

use super::lines::{Line, What};

/// One run of a task.
#[derive(Debug, Clone)]
pub struct Run {
    /// The task.
    pub task: String,
    /// Its number.
    pub number: u64,
    /// The executor.
    pub host: String,
    /// The process of the executor.
    pub process: u32,
    /// When it started, on the steady clock and by the time of day, in milliseconds.
    pub start: u64,
    /// The time of day of its start, in milliseconds since 1970.
    pub unix: u64,
    /// When it ended; `None` while it runs.
    pub end: Option<u64>,
    /// How it ended.
    pub how: String,
    /// Whether its end was taken note of with no lapse of the lease between.
    pub noted: bool,
    /// The last poll that extended its lease, and the lease's end on the executor's clock.
    pub polled: (u64, u64),
}

/// Two runs that break the rule.
#[derive(Debug, Clone)]
pub struct Break {
    /// Whether the second run started after the first had ended as done.
    pub after_done: bool,
    /// The run that started first.
    pub first: Run,
    /// The other.
    pub second: Run,
}

/// Returns the runs of all executors, in the order of their starts.
pub fn runs(lines: &[Line]) -> Vec<Run> {
    let mut lines: Vec<&Line> = lines.iter().collect();
    lines.sort_by_key(|line| line.at);
    let mut runs: Vec<Run> = Vec::new();
    let mut known: HashMap<(u32, &str, u64), usize> = HashMap::new();
    // Runs are entered first: a line about their end may carry an earlier time.
    for line in lines.iter().filter(|line| line.what == What::Start) {
        known.insert((line.process, &line.task, line.run), runs.len());
        runs.push(Run {
            task: line.task.clone(),
            number: line.run,
            host: line.host.clone(),
            process: line.process,
            start: line.at,
            unix: line.unix,
            end: None,
            how: String::new(),
            noted: false,
            polled: (0, 0),
        });
    }
    for line in lines {
        let run = known.get(&(line.process, line.task.as_str(), line.run));
        let run = run.map(|at| &mut runs[*at]);
        match (line.what, run) {
            (What::End, Some(run)) => {
                run.end = Some(line.at);
                run.how.clone_from(&line.how);
            }
            (What::Noted, Some(run)) => run.noted |= !line.lapsed,
            (What::Poll, _) => {
                let of_process = runs.iter_mut().filter(|it| it.process == line.process);
                for run in of_process.filter(|it| it.end.is_none() && it.start <= line.at) {
                    run.polled = (line.at, line.deadline);
                }
            }
            (What::Exit, _) => {
                let of_process = runs.iter_mut().filter(|it| it.process == line.process);
                for run in of_process.filter(|it| it.end.is_none()) {
                    run.end = Some(line.at);
                    "lost".clone_into(&mut run.how);
                }
            }
            _ => {}
        }
    }
    runs
}

/// Returns what breaks the rule that a task runs once at a time and not again after its end.
pub fn breaks(runs: &[Run]) -> Vec<Break> {
    let mut by_task: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in runs {
        by_task.entry(&run.task).or_default().push(run);
    }
    let mut breaks = Vec::new();
    for runs in by_task.values() {
        for (at, second) in runs.iter().enumerate() {
            for first in &runs[..at] {
                let is_over = first.end.is_some_and(|end| end <= second.start);
                let after_done = is_over && first.how == "done" && first.noted;
                if !is_over || after_done {
                    breaks.push(Break {
                        after_done,
                        first: (*first).clone(),
                        second: (*second).clone(),
                    });
                }
            }
        }
    }
    breaks
}
