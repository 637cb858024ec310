//! Starts and ends of runs at the executors, and the check of each.

use wigeongate_core::ids::HostId;
use wigeongate_core::workflow::{Proof, StartOrder, TaskName};

use super::executor::RunKey;
use super::network::Reply;
use super::world::{Event, World};

/// A start that came too early.
#[derive(Debug)]
#[expect(dead_code, reason = "a failing test prints all fields")]
pub struct Violation {
    pub at: u64,
    pub rule: &'static str,
    pub task: TaskName,
    pub first: HostId,
    pub second: HostId,
    /// The proof by which one of the runs was counted as ended.
    pub proof: Option<Proof>,
}

impl World {
    /// Extends the lease of a process.
    pub fn extend(&mut self, at: usize, deadline: Option<u64>) {
        let now = self.now;
        self.processes[at].settle(now);
        if let Some(deadline) = deadline {
            let (host, clock) = (self.processes[at].id.clone(), self.processes[at].clock(now));
            self.note(|| format!("{host} extends to {deadline} at {clock}"));
            self.processes[at].extend(deadline, now);
            let delay = self.processes[at].lapse().saturating_sub(now);
            self.after(delay, Event::Settle(at));
        }
    }

    /// Carries out a start at a process.
    pub fn start(&mut self, at: usize, order: &StartOrder, deadline: u64) -> Reply {
        self.extend(at, Some(deadline));
        let now = self.now;
        let key = (order.task, order.run);
        if self.processes[at].run_of(order.task) == Some(key) {
            return Reply::Done;
        }
        if let Some(refusal) = self.processes[at].refusal(key, deadline, now) {
            return Reply::Refused(refusal);
        }
        self.check_start(at, key);
        let is_long = self.long.contains(&order.task.step.job.0);
        let runs_ms = if is_long {
            self.rng.between(12_500, 16_000)
        } else {
            self.rng.between(300, 3_000)
        };
        self.starts += 1;
        let host = self.processes[at].id.clone();
        self.note(|| format!("{host} starts {} {} for {runs_ms}", key.0, key.1));
        self.started.entry(key.0).or_default().push((now, host));
        self.processes[at].start(key, now + runs_ms);
        self.after(runs_ms, Event::Settle(at));
        Reply::Done
    }

    fn check_start(&mut self, at: usize, key: RunKey) {
        let now = self.now;
        for other in 0..self.processes.len() {
            let process = &mut self.processes[other];
            process.settle(now);
            if process.up
                && let Some(run) = process.run_of(key.0)
            {
                let first = process.id.clone();
                self.violate("two runs at once", run, key, first, at);
            }
        }
        if let Some((run, first)) = self.noted.get(&key.0).cloned() {
            self.violate("started after a noted end", run, key, first, at);
        }
    }

    fn violate(
        &mut self,
        rule: &'static str,
        run: RunKey,
        later: RunKey,
        first: HostId,
        at: usize,
    ) {
        // A start may take effect after its run was counted as ended.
        let released = &self.owner.released;
        let proof = released.get(&run).or_else(|| released.get(&later)).copied();
        let violation = Violation {
            at: self.now,
            rule,
            task: run.0,
            first,
            second: self.processes[at].id.clone(),
            proof,
        };
        self.violation.get_or_insert(violation);
    }

    /// Lets a process forget ends; those as done count as noted unless a lease has lapsed since.
    pub fn acknowledged(&mut self, at: usize, number: u64) {
        let host = self.processes[at].id.clone();
        for end in self.processes[at].forget(number) {
            let task = end.run.0;
            let mut starts = self.started.get(&task).into_iter().flatten();
            if let Some((_, second)) = starts.rfind(|(start, _)| *start > end.at) {
                let second = second.clone();
                let later = self.processes.iter().position(|it| it.id == second);
                let rule = "an end was noted after a later start";
                self.violate(rule, end.run, end.run, host.clone(), later.unwrap_or(at));
            }
            self.noted.insert(task, (end.run, host.clone()));
        }
    }
}
