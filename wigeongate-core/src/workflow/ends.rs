//! What executors say: looks, and the ends of runs.

use std::sync::Arc;

use super::director::{Director, Forgotten};
use super::host::{Claim, RunKey, Stage};
use super::job::{Phase, Shown};
use super::message::{Action, Ended, How, Look, Running};
use super::restore::Record;
use super::spec::{StepId, TaskName};
use crate::ids::HostId;
use crate::time::Millis;

impl Director {
    /// Takes in an answer to a look.
    pub fn look(&mut self, id: &HostId, look: &Look, now: Millis, out: &mut Vec<Action>) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        if host.known && host.born != look.born {
            // Another boot runs nothing of the earlier one, but an order without an answer may
            // still reach it.
            self.clear_boot(id, now, out);
        }
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        if host.born != look.born {
            host.seen = 0;
        }
        host.born = look.born;
        let took = host.takes_work(now);
        host.lease = host.lease.max(look.lease);
        let first = !host.known;
        host.known = true;
        self.dirty |= first || took != host.takes_work(now);
        for ended in &look.ended {
            self.take_end(id, ended, now, out);
        }
        for running in &look.running {
            self.take_running(id, running, now, out);
        }
        if first {
            self.settle_earlier(id, look, now, out);
        }
        self.miss(id, look, now, out);
    }

    /// Ends the runs of an earlier boot and keeps those whose orders may still be carried out.
    fn clear_boot(&mut self, id: &HostId, now: Millis, out: &mut Vec<Action>) {
        let Some(host) = self.hosts.get(id) else {
            return;
        };
        let runs: Vec<RunKey> = host
            .claims
            .iter()
            .filter(|(_, claim)| claim.stage != Stage::Doubt && claim.stage != Stage::Ordered)
            .map(|(run, _)| *run)
            .collect();
        for run in runs {
            self.finish(id, run, How::Lapsed, "", now, out);
        }
    }

    fn take_end(&mut self, id: &HostId, ended: &Ended, now: Millis, out: &mut Vec<Action>) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        if ended.number <= host.seen {
            return;
        }
        host.seen = ended.number;
        self.finish(
            id,
            (ended.task, ended.run),
            ended.how,
            &ended.saved,
            now,
            out,
        );
        let records = self.records;
        let born = self.hosts.get(id).map_or(0, |host| host.born);
        let forget = Forgotten {
            record: records,
            host: id.clone(),
            born,
            number: ended.number,
        };
        match self.forgets.iter_mut().find(|forget| forget.host == *id) {
            Some(earlier) => *earlier = forget,
            None => self.forgets.push(forget),
        }
    }

    fn take_running(&mut self, id: &HostId, running: &Running, now: Millis, out: &mut Vec<Action>) {
        let key = (running.task, running.run);
        let (size, wanted) = match self.jobs.get(&running.task.step.job) {
            Some(job) => {
                let step = job.step(running.task.step);
                let size = step.map(|step| step.spec.size).unwrap_or_default();
                (size, job.end.is_none())
            }
            None => (crate::resources::Resources::ZERO, false),
        };
        let known = self
            .hosts
            .get(id)
            .is_some_and(|host| host.claims.contains_key(&key));
        if !known {
            self.adopt(id, key, size, now);
        }
        if let Some(task) = self.task(running.task)
            && task.run == running.run
            && !running.saved.is_empty()
        {
            task.saved = Arc::from(running.saved.as_str());
        }
        let done = self
            .task(running.task)
            .is_none_or(|task| task.phase == Phase::Done);
        if let Some(claim) = self.claim(id, key)
            && claim.stage == Stage::Ordered
        {
            claim.stage = Stage::Running;
        }
        if !wanted || done {
            self.stop(id, key, now, out);
        }
    }

    /// Takes up a run that an earlier owner started.
    pub(super) fn adopt(
        &mut self,
        id: &HostId,
        key: RunKey,
        size: crate::resources::Resources,
        now: Millis,
    ) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.claim(
                key,
                Claim {
                    size,
                    stage: Stage::Running,
                    ordered: now,
                    stopped: None,
                    since: now,
                },
            );
        }
        self.attach(id, key);
    }

    /// Gives a run that takes room on a host to its task.
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
            // An owner that did not know yet that it was replaced may have started it.
            let strays = self.strays.entry(name.step.job).or_default();
            strays.push((id.clone(), key));
            return;
        };
        job.started = true;
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
        task.places.push((id.clone(), run));
        if task.phase == Phase::Waiting {
            task.phase = Phase::Placed;
            step.waiting -= 1;
        }
    }

    /// Ends runs of earlier owners that the first answer under this epoch does not list: their
    /// orders are refused from now on.
    fn settle_earlier(&mut self, id: &HostId, look: &Look, now: Millis, out: &mut Vec<Action>) {
        let Some(host) = self.hosts.get(id) else {
            return;
        };
        let gone: Vec<RunKey> = host
            .claims
            .iter()
            .filter(|(_, claim)| claim.stage == Stage::Running)
            .map(|(key, _)| *key)
            .filter(|key| {
                !look
                    .running
                    .iter()
                    .any(|running| (running.task, running.run) == *key)
            })
            .collect();
        for key in gone {
            self.finish(id, key, How::Lapsed, "", now, out);
        }
    }

    /// Settles runs that a look sent after their last order does not list.
    fn miss(&mut self, id: &HostId, look: &Look, now: Millis, out: &mut Vec<Action>) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        let mut gone = Vec::new();
        for (key, claim) in &mut host.claims {
            let listed = look
                .running
                .iter()
                .any(|running| (running.task, running.run) == *key);
            if listed {
                continue;
            }
            match claim.stage {
                Stage::Doubt | Stage::Stopping => {
                    if claim.stopped.is_some_and(|stopped| stopped < look.sent) {
                        gone.push(*key);
                    }
                }
                // Answers may overtake each other: a run that was there and is not listed is
                // settled by a stop.
                Stage::Running if claim.since < look.sent => {
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
            self.finish(id, key, How::Stopped, "", now, out);
        }
    }

    /// Ends a run: gives its room back and decides what becomes of its task.
    pub(super) fn finish(
        &mut self,
        id: &HostId,
        key: RunKey,
        how: How,
        saved: &str,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        self.dirty = true;
        let (name, run) = key;
        if let Some(host) = self.hosts.get_mut(id) {
            match how {
                How::Done => host.succeeded(),
                How::Failed => host.failed(Some(name), now),
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
            }
        }
        let Some(job) = self.jobs.get_mut(&name.step.job) else {
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
        task.places.retain(|place| *place != (id.clone(), run));
        task.run = task.run.max(run);
        if !saved.is_empty() {
            task.saved = Arc::from(saved);
        }
        if task.phase == Phase::Done || ended {
            return;
        }
        if how == How::Failed {
            task.failed_on = Some(id.clone());
        }
        if gang {
            self.finish_gang((name.step, run), how, saved, now, out);
        } else {
            self.finish_task((name, run), how, now, out);
        }
    }

    fn finish_task(&mut self, key: RunKey, how: How, now: Millis, out: &mut Vec<Action>) {
        let (name, run) = key;
        let attempts = self.attempts(name.step);
        let Some(step) = self.step(name.step) else {
            return;
        };
        let lasts = step.spec.long_running;
        if how == How::Done && !lasts {
            self.task_done(name, now, out);
            return;
        }
        let Some(task) = self.task(name) else { return };
        if how == How::Failed && !lasts && task.fail(run) {
            self.record(Record::Failed(name, run), out);
            if self
                .step(name.step)
                .is_some_and(|step| step.has_failed(attempts))
            {
                self.end(name.step.job, Shown::Failed, now, out);
                return;
            }
        }
        self.wait_again(name);
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
        let copies = task.places.clone();
        if waited {
            step.waiting -= 1;
        }
        step.left -= 1;
        let left = step.left;
        self.record(Record::Done(name), out);
        for (host, run) in copies {
            self.stop(&host, (name, run), now, out);
        }
        if left == 0 {
            self.ready.remove(&name.step);
            self.advance(name.step.job, now, out);
        }
    }

    fn finish_gang(
        &mut self,
        (at, run): (StepId, u32),
        how: How,
        saved: &str,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let attempts = self.attempts(at);
        let Some(step) = self.step(at) else { return };
        if !saved.is_empty() {
            for task in &mut step.tasks {
                task.saved = Arc::from(saved);
            }
        }
        if how == How::Done && !step.spec.long_running {
            for task in &mut step.tasks {
                task.phase = Phase::Done;
            }
            step.left = 0;
            step.waiting = 0;
            self.record(Record::GangDone(at), out);
            self.ready.remove(&at);
            self.advance(at.job, now, out);
            return;
        }
        if how == How::Failed && !step.spec.long_running && step.fail(run) {
            let exhausted = step.has_failed(attempts);
            self.record(Record::GangFailed(at, run), out);
            if exhausted {
                self.end(at.job, Shown::Failed, now, out);
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

    /// Stops what is left of a gang that is not whole.
    pub(super) fn break_gang(&mut self, at: StepId, now: Millis, out: &mut Vec<Action>) {
        let Some(step) = self.step(at) else { return };
        step.breaking = true;
        let members = step.runs(at);
        for (host, run) in &members {
            self.stop(host, *run, now, out);
        }
        if members.is_empty() {
            self.gang_again(at, now);
        }
    }

    /// Lets a gang of which nothing is left on any host start again.
    fn gang_again(&mut self, at: StepId, now: Millis) {
        let Some(step) = self.step(at) else { return };
        step.breaking = false;
        let run = step.run();
        let mut waiting = 0;
        for task in &mut step.tasks {
            task.run = run;
            if task.phase != Phase::Done {
                task.phase = Phase::Waiting;
                waiting += 1;
            }
        }
        step.waiting = waiting;
        step.ready.get_or_insert(now);
        self.ready.insert(at);
        self.dirty = true;
    }

    fn attempts(&self, at: StepId) -> u32 {
        self.jobs
            .get(&at.job)
            .and_then(|job| self.queues.get(&job.flow.queue))
            .map_or(1, |rules| rules.attempts.max(1))
    }
}
