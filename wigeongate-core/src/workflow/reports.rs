//! Handles the reports of executors: running tasks and the ends of runs.

use std::sync::Arc;

use super::host::{Claim, Host, HostContact, Stage};
use super::job::{Phase, StepAdvice, Task, WorkflowStatus};
use super::message::{Action, Ended, HostReport, Proof, RunOutcome, Running};
use super::restore::Record;
use super::scheduler::{PendingForget, WorkflowScheduler};
use super::spec::{RunKey, StepId, TaskName};
use crate::ids::HostId;
use crate::resources::Resources;
use crate::run_times::Forecast;
use crate::time::Millis;

impl WorkflowScheduler {
    /// Applies the answer of a host to a poll.
    pub fn apply_report(
        &mut self,
        id: &HostId,
        report: &HostReport,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        let rebooted = host.boot_ms != 0 && host.boot_ms != report.boot_ms;
        if rebooted && report.sent <= host.reported {
            // An answer of the earlier boot was overtaken by one of the current boot.
            return;
        }
        let contact = host.contact();
        let is_newest = report.sent > host.reported;
        self.end_boot_runs(id, report, now, out);
        let is_judged = self.hosts.get(id).is_some_and(|host| host.blame.is_some());
        if rebooted {
            self.isolate_successor(id, now);
        } else if is_judged {
            self.forget_loss(id);
        }
        self.settle_answered(id, report, now, out);
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        host.reported = host.reported.max(report.sent);
        if host.boot_ms != report.boot_ms {
            host.last_end = 0;
            host.trial = None;
            // A new boot knows none of the stops that the earlier one answered.
            for claim in host.claims.values_mut() {
                claim.stop_answered = None;
            }
        }
        if rebooted {
            host.restarted = now;
        }
        host.boot_ms = report.boot_ms;
        host.was_silent = host.failing.is_some();
        host.failing = None;
        host.blame = None;
        let took = host.accepts_work(now);
        host.lease = host.lease.max(report.lease);
        host.runs_until = host.runs_until.max(report.lease);
        let first = !host.answered;
        host.answered = true;
        self.dirty |= first || took != host.accepts_work(now);
        for ended in &report.ended {
            self.record_end(id, ended, now, out);
        }
        for running in &report.running {
            if is_newest {
                self.check_return(id, running, contact, out);
            }
            self.track_running(id, running, now, out);
        }
        // The ends of runs that are not listed may follow.
        if report.has_more_ends {
            return;
        }
        let host = self.hosts.get_mut(id);
        if host.is_some_and(|host| !std::mem::replace(&mut host.settled, true)) {
            self.end_unlisted_inherited(id, report, now, out);
        }
        self.resolve_unlisted(id, report, now, out);
    }

    /// Ends the runs of an earlier boot. An unanswered order may still reach the new one, so its run
    /// is kept. An order that was planned for the earlier boot may have reached the new one: a report
    /// that lists all ends lists its run if it was sent for after the order was answered.
    fn end_boot_runs(
        &mut self,
        id: &HostId,
        report: &HostReport,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        let running = report.running.iter().map(|it| (it.task, it.run));
        let ended = report.ended.iter().map(|it| (it.task, it.run));
        for run in running.chain(ended) {
            if let Some(claim) = host.claims.get_mut(&run) {
                claim.boot_ms = report.boot_ms;
            }
        }
        if report.has_more_ends {
            return;
        }
        let settled_boot = std::mem::replace(&mut host.settled_boot, report.boot_ms);
        let is_lost = |claim: &Claim| {
            let is_answered = claim.answered.is_some_and(|at| at < report.sent);
            let is_settled = is_answered || claim.stage == Stage::Planned;
            is_settled && claim.boot_ms != 0 && claim.boot_ms != report.boot_ms
        };
        let runs: Vec<RunKey> = host
            .claims
            .iter()
            .filter(|(_, claim)| is_lost(claim))
            .map(|(run, _)| *run)
            .collect();
        if settled_boot == report.boot_ms {
            // The restart has been judged; the runs of this boot had no part in it.
            self.end_lost(id, runs, Proof::NewBoot, now, out);
            return;
        }
        if runs.is_empty() && settled_boot != 0 {
            self.note_loss(id, now);
        }
        self.lose_runs(id, runs, Proof::NewBoot, now, out);
    }

    fn record_end(&mut self, id: &HostId, ended: &Ended, now: Millis, out: &mut Vec<Action>) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        if ended.number <= host.last_end {
            return;
        }
        host.last_end = ended.number;
        self.begin_job(ended.task.step.job);
        self.finish(
            id,
            (ended.task, ended.run),
            ended.outcome,
            &ended.checkpoint,
            now,
            out,
        );
        self.record_forgotten(ended.task.step.job, out);
        let records = self.last_record;
        let boot_ms = self.hosts.get(id).map_or(0, |host| host.boot_ms);
        let forget = PendingForget {
            record: records,
            host: id.clone(),
            boot_ms,
            number: ended.number,
        };
        match self
            .pending_forgets
            .iter_mut()
            .find(|forget| forget.host == *id)
        {
            Some(earlier) => *earlier = forget,
            None => self.pending_forgets.push(forget),
        }
    }

    /// Reports a run that lost its claim, so that its task may have started again, and goes on.
    fn check_return(
        &self,
        id: &HostId,
        running: &Running,
        contact: HostContact,
        out: &mut Vec<Action>,
    ) {
        let key = (running.task, running.run);
        let is_claimed = |host: &Host| host.claims.contains_key(&key);
        let job = self.jobs.get(&running.task.step.job);
        let task = job.and_then(|job| job.task(running.task));
        // A run with a higher number is one of an earlier owner. The newest run of a task that is done
        // may never have been claimed by this owner, and nothing starts after it.
        let is_harmless = |task: &&Task| task.phase == Phase::Done && task.run == running.run;
        let newest = task.filter(|task| !is_harmless(task)).map(|it| it.run);
        let newest = newest.filter(|newest| *newest >= running.run);
        if let Some(newest) = newest
            && !self.hosts.get(id).is_some_and(is_claimed)
        {
            out.push(Action::Returned {
                host: id.clone(),
                task: running.task,
                run: running.run,
                newest,
                contact,
            });
        }
    }

    fn track_running(
        &mut self,
        id: &HostId,
        running: &Running,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let key = (running.task, running.run);
        let job = self.jobs.get(&running.task.step.job);
        let wanted = job.is_some_and(|job| job.end.is_none());
        let claimed = self
            .hosts
            .get(id)
            .is_some_and(|host| host.claims.contains_key(&key));
        if !claimed {
            self.adopt(id, key, now);
        }
        if let Some(task) = self.task(running.task)
            && task.run == running.run
            && task.phase != Phase::Done
            && wanted
            && !running.checkpoint.is_empty()
        {
            task.checkpoint = Arc::from(running.checkpoint.as_str());
        }
        let done = self
            .task(running.task)
            .is_none_or(|task| task.phase == Phase::Done);
        self.begin_job(key.0.step.job);
        if let Some(claim) = self.claim(id, key) {
            claim.confirmed = true;
            claim.answered.get_or_insert(now);
            if claim.stage == Stage::Ordered {
                claim.stage = Stage::Running;
            }
        }
        if !wanted || done {
            self.stop_run(id, key, now, out);
        }
    }

    /// Registers a run that an earlier owner started.
    pub(super) fn adopt(&mut self, id: &HostId, key: RunKey, now: Millis) {
        let job = self.jobs.get(&key.0.step.job);
        let step = job.and_then(|job| job.step(key.0.step));
        let lasting = step.is_some_and(|step| step.spec.long_running);
        let demand = step.map(|step| step.spec.demand());
        let is_known = job.is_some();
        if let Some(host) = self.hosts.get_mut(id) {
            // A run of an unknown job may use all of its host.
            let unknown = if is_known {
                Resources::ZERO
            } else {
                host.entry.capacity
            };
            let size = demand.unwrap_or(unknown);
            let boot_ms = host.boot_ms;
            host.claim(
                key,
                Claim {
                    size,
                    stage: Stage::Running,
                    ordered: now,
                    stop_answered: None,
                    since: now,
                    confirmed: false,
                    answered: Some(Millis::ZERO),
                    lasting,
                    boot_ms,
                    batch: 0,
                    forecast: Forecast::default(),
                    resumed: false,
                    straggles: false,
                },
            );
        }
        self.attach(id, key);
    }

    /// Adds a run that holds a claim on a host to its task.
    pub(super) fn attach(&mut self, id: &HostId, key: RunKey) {
        let (name, run) = key;
        let Some(size) = self
            .hosts
            .get(id)
            .and_then(|host| host.claims.get(&key))
            .map(|claim| claim.size)
        else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&name.step.job) else {
            // The run may have been started by an owner that had not yet noticed its replacement.
            self.orphan_runs.add(id, key);
            return;
        };
        if let Some(team) = job.flow.team.clone() {
            *self.usage.entry(team).or_default() += size;
        }
        let Some(step) = Self::step_of(job, name.step) else {
            return;
        };
        let Some(task) = step.task(name.index) else {
            return;
        };
        task.run = task.run.max(run);
        task.placements.push((id.clone(), run));
        if task.phase == Phase::Waiting {
            task.phase = Phase::Placed;
            step.waiting -= 1;
        }
        job.claimed_runs += usize::from(job.end.is_some());
    }

    /// Ends the runs of earlier owners that the first report with all ends in this epoch does not list;
    /// the host refuses orders of earlier epochs from now on.
    fn end_unlisted_inherited(
        &mut self,
        id: &HostId,
        report: &HostReport,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let Some(host) = self.hosts.get(id) else {
            return;
        };
        let gone: Vec<RunKey> = host
            .claims
            .iter()
            .filter(|(_, claim)| claim.stage == Stage::Running && claim.since < report.sent)
            .map(|(key, _)| *key)
            .filter(|key| {
                !report
                    .running
                    .iter()
                    .any(|running| (running.task, running.run) == *key)
            })
            .collect();
        for key in gone {
            self.release(id, key, Proof::Fenced, now, out);
        }
    }

    /// Resolves runs that are missing from a report with all ends whose poll was sent after their last
    /// order.
    fn resolve_unlisted(
        &mut self,
        id: &HostId,
        report: &HostReport,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        let mut gone = Vec::new();
        for (key, claim) in &mut host.claims {
            let listed = report
                .running
                .iter()
                .any(|running| (running.task, running.run) == *key);
            if listed {
                continue;
            }
            match claim.stage {
                Stage::Uncertain | Stage::Stopping => {
                    if claim
                        .stop_answered
                        .is_some_and(|stop_answered| stop_answered < report.sent)
                    {
                        gone.push(*key);
                    }
                }
                // Reports may arrive out of order, so a run that was present and is no longer
                // listed is ended only after a stop.
                Stage::Running if claim.since < report.sent => {
                    claim.stage = Stage::Stopping;
                    claim.ordered = now;
                    out.push(Action::Stop(super::message::StopOrder {
                        host: id.clone(),
                        task: key.0,
                        run: key.1,
                    }));
                }
                Stage::Running | Stage::Ordered | Stage::Planned => {}
            }
        }
        for key in gone {
            self.release(id, key, Proof::Stopped, now, out);
        }
    }

    /// Ends a run whose end no report lists. The proof is what makes it safe to start the task
    /// again; a host that is only silent proves nothing.
    pub(super) fn release(
        &mut self,
        id: &HostId,
        key: RunKey,
        proof: Proof,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let contact = self.hosts.get(id).map(Host::contact);
        out.push(Action::Released {
            host: id.clone(),
            task: key.0,
            run: key.1,
            proof,
            contact: contact.unwrap_or_default(),
        });
        // A later owner must not take the run for one that may still exist. Runs that are lost with
        // their host have a record of their own.
        let is_lost = matches!(proof, Proof::Replaced | Proof::NewBoot);
        let job = self.jobs.get(&key.0.step.job);
        if !is_lost && job.is_some_and(|job| job.end.is_none()) {
            self.record(Record::Released(key.0, key.1), out);
        }
        self.finish(id, key, proof.outcome(), "", now, out);
    }

    /// Ends a run: releases its claim and updates its task.
    fn finish(
        &mut self,
        id: &HostId,
        key: RunKey,
        outcome: RunOutcome,
        checkpoint: &str,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        self.dirty = true;
        self.learn_run_time(id, key, outcome, now);
        let (name, run) = key;
        if let Some(host) = self.hosts.get_mut(id) {
            match outcome {
                RunOutcome::Done => host.record_success(),
                RunOutcome::Failed => host.record_failure(Some(name), now),
                _ => {}
            }
            if let Some(claim) = host.release(key)
                && let Some(team) = self
                    .jobs
                    .get(&name.step.job)
                    .and_then(|job| job.flow.team.as_ref())
                && let Some(usage) = self.usage.get_mut(team)
            {
                *usage = usage.saturating_sub(&claim.size);
                if usage.is_zero() {
                    self.usage.remove(team);
                }
            }
        }
        let Some(job) = self.jobs.get_mut(&name.step.job) else {
            self.orphan_runs.remove(id, key);
            return;
        };
        let ended = job.end.is_some();
        let Some(step) = Self::step_of(job, name.step) else {
            return;
        };
        let gang = step.spec.gang;
        let Some(task) = step.task(name.index) else {
            return;
        };
        let claims = task.placements.len();
        task.placements.retain(|place| *place != (id.clone(), run));
        let released = claims - task.placements.len();
        task.run = task.run.max(run);
        if ended {
            job.claimed_runs = job.claimed_runs.saturating_sub(released);
            if released > 0 {
                self.record_runs_ended(name.step.job, out);
            }
            return;
        }
        if task.phase == Phase::Done {
            self.settle_task(name, out);
            return;
        }
        task.is_rerun |= outcome != RunOutcome::Done;
        if !checkpoint.is_empty() {
            task.checkpoint = Arc::from(checkpoint);
        }
        if outcome == RunOutcome::Failed {
            task.last_failed_host = Some(id.clone());
        }
        if gang {
            self.finish_gang((name.step, run), outcome, checkpoint, now, out);
        } else {
            self.finish_task((name, run), outcome, now, out);
        }
        self.settle_task(name, out);
    }

    fn finish_task(
        &mut self,
        key: RunKey,
        outcome: RunOutcome,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let (name, run) = key;
        let attempts = self.attempts(name.step);
        let Some(step) = self.step(name.step) else {
            return;
        };
        let long_running = step.spec.long_running;
        if outcome == RunOutcome::Done && !long_running {
            self.task_done(name, now, out);
            return;
        }
        let Some(task) = self.task(name) else { return };
        if outcome == RunOutcome::Failed && !long_running && task.record_failure(run) {
            self.record(Record::Failed(name, run), out);
            if self
                .step(name.step)
                .is_some_and(|step| step.failure_limit_reached(attempts))
            {
                self.end_job(name.step.job, WorkflowStatus::Failed, now, out);
                return;
            }
        }
        self.requeue_task(name, now);
    }

    fn task_done(&mut self, name: TaskName, now: Millis, out: &mut Vec<Action>) {
        let Some(step) = self.step(name.step) else {
            return;
        };
        let Some(task) = step.task(name.index) else {
            return;
        };
        let waited = task.phase == Phase::Waiting;
        task.phase = Phase::Done;
        let copies = task.placements.clone();
        task.drop_checkpoint();
        if waited {
            step.waiting -= 1;
        }
        step.remaining -= 1;
        let left = step.remaining;
        if left == 0 {
            step.advice = StepAdvice::default();
        }
        self.record(Record::Done(name), out);
        for (host, run) in copies {
            self.stop_run(&host, (name, run), now, out);
        }
        if left == 0 {
            self.ready.remove(&name.step);
            self.advance_after(name.step, now, out);
        }
    }

    fn finish_gang(
        &mut self,
        (at, run): (StepId, u32),
        outcome: RunOutcome,
        checkpoint: &str,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let attempts = self.attempts(at);
        let Some(step) = self.step(at) else { return };
        if !checkpoint.is_empty() {
            let checkpoint: Arc<str> = Arc::from(checkpoint);
            for task in step.tasks.held_mut() {
                task.checkpoint = Arc::clone(&checkpoint);
            }
        }
        if outcome == RunOutcome::Done && !step.spec.long_running {
            step.tasks.finish_all();
            step.remaining = 0;
            step.waiting = 0;
            step.advice = StepAdvice::default();
            self.record(Record::GangDone(at), out);
            self.ready.remove(&at);
            self.advance_after(at, now, out);
            return;
        }
        if outcome == RunOutcome::Failed && !step.spec.long_running && step.record_failure(run) {
            let exhausted = step.failure_limit_reached(attempts);
            self.record(Record::GangFailed(at, run), out);
            if exhausted {
                self.end_job(at.job, WorkflowStatus::Failed, now, out);
                return;
            }
        }
        let is_newer = |(_, (_, other)): &(HostId, RunKey)| *other > run;
        if self
            .step(at)
            .is_none_or(|step| step.runs(at).iter().any(is_newer))
        {
            return;
        }
        self.break_gang(at, now, out);
    }

    /// Stops the remaining members of an incomplete gang.
    pub(super) fn break_gang(&mut self, at: StepId, now: Millis, out: &mut Vec<Action>) {
        let Some(step) = self.step(at) else { return };
        step.gang_stopping = true;
        let members = step.runs(at);
        for (host, run) in &members {
            self.stop_run(host, *run, now, out);
        }
        if members.is_empty() {
            self.requeue_gang(at, now, out);
        }
    }

    /// Puts a gang back in the waiting state once no member is left on any host.
    fn requeue_gang(&mut self, at: StepId, now: Millis, out: &mut Vec<Action>) {
        let Some(step) = self.step(at) else { return };
        step.gang_stopping = false;
        let run = step.last_run();
        if run > step.ended_run {
            step.ended_run = run;
            self.record(Record::GangEnded(at, run), out);
        }
        let Some(step) = self.step(at) else { return };
        for task in step.tasks.held_mut() {
            task.run = run;
            if task.phase != Phase::Done {
                task.phase = Phase::Waiting;
            }
        }
        step.waiting = step.remaining;
        step.ready.get_or_insert(now);
        step.queued = now;
        self.ready.insert(at);
        self.dirty = true;
    }

    fn attempts(&self, at: StepId) -> u32 {
        self.jobs
            .get(&at.job)
            .map_or(1, |job| self.rules_of(&job.flow).attempts.max(1))
    }
}
