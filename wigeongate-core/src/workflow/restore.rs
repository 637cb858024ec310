//! Records in the log, and how a new owner restores its state from them.

use serde::{Deserialize, Serialize};

use super::crash::Crash;
use super::crash_proofs::{CrashProof, HostBoot};
use super::evidence::Evidence;
use super::host::{Host, HostEntry};
use super::job::{Job, Phase, WorkflowStatus};
use super::job_budget::job_bytes;
use super::job_counts::JobCounts;
use super::message::Action;
use super::scheduler::WorkflowScheduler;
use super::spec::{RunKey, StepId, TaskName, Workflow, WorkflowId};
use crate::collections::HashMap;
use crate::ids::HostId;
use crate::time::Millis;

/// A crash of a host under a run that may have caused it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The task.
    pub task: TaskName,
    /// The crash.
    pub crash: Crash,
    /// Address of the host, `IP:PORT`.
    pub machine: String,
}

/// A run as the log of earlier owners shows it.
#[derive(Debug)]
pub(super) struct LoggedRun {
    host: HostId,
    boot_ms: u64,
    batch: u32,
}

/// What is left of a restore after the replay.
#[derive(Debug)]
pub struct RestoreRest {
    /// The runs that earlier owners ordered, in the order of their tasks.
    runs: std::vec::IntoIter<(RunKey, LoggedRun)>,
    /// The newest batch that names a run on a host.
    newest: HashMap<HostId, u32>,
    /// The jobs; `None` while there are runs.
    jobs: Option<std::vec::IntoIter<WorkflowId>>,
}

/// A change that a new owner has to know. Stored logs name the variants by their position, so that
/// new ones go to the end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A run of a task was ordered on a host; written by versions that did not record the boot.
    Started(TaskName, u32, HostId),
    /// A task succeeded.
    Done(TaskName),
    /// Every task of a gang succeeded.
    GangDone(StepId),
    /// The run of a task with this number failed.
    Failed(TaskName, u32),
    /// The run of a gang with this number failed.
    GangFailed(StepId, u32),
    /// A job ended.
    Ended(WorkflowId, WorkflowStatus),
    /// A run of a task was ordered on a boot of a host, in milliseconds since 1970.
    StartedOn(TaskName, u32, HostId, u64),
    /// A host seems to have crashed under a run; written by versions that did not record the boot.
    Crashed(CrashRecord),
    /// A run was lost with the process of its host.
    Lost(TaskName, u32),
    /// The host of a run did not crash under it after all.
    Acquitted(TaskName, u32),
    /// What a crash under a task rests on.
    Weighed(TaskName, Evidence),
    /// A run ended without a report: it can neither run nor start later.
    Released(TaskName, u32),
    /// A task of a job has started, as an answer or a report proved.
    Begun(WorkflowId),
    /// A boot of a host, in milliseconds since 1970, seems to have crashed under a run.
    CrashedOn(CrashRecord, HostId, u64),
    /// The host of a run has crashed, by this proof.
    CrashProved(TaskName, u32, CrashProof),
    /// No run of a cancelled or failed job is left.
    RunsEnded(WorkflowId),
    /// No member of the run of a gang with this number is left, nor of those before.
    GangEnded(StepId, u32),
    /// Every task of the occurrences of a job from the first to the last of these succeeded, and none of
    /// their runs is left.
    OccurrencesDone(WorkflowId, u32, u32),
}

impl Record {
    /// Returns the job that the record is about, and the occurrence unless it is about the job as a whole
    /// or several of them.
    const fn subject(&self) -> (WorkflowId, Option<u32>) {
        let step = match self {
            Self::Done(task)
            | Self::Failed(task, _)
            | Self::Started(task, ..)
            | Self::StartedOn(task, ..)
            | Self::Lost(task, _)
            | Self::Acquitted(task, _)
            | Self::Weighed(task, _)
            | Self::Released(task, _)
            | Self::CrashProved(task, ..) => &task.step,
            Self::Crashed(record) | Self::CrashedOn(record, ..) => &record.task.step,
            Self::GangDone(step) | Self::GangFailed(step, _) | Self::GangEnded(step, _) => step,
            Self::Ended(job, _)
            | Self::Begun(job)
            | Self::RunsEnded(job)
            | Self::OccurrencesDone(job, ..) => return (*job, None),
        };
        (step.job, Some(step.occurrence))
    }

    /// Returns the job that the record is about.
    pub const fn job(&self) -> WorkflowId {
        self.subject().0
    }

    /// Returns the occurrence that the record is about; `None` if it is about the job as a whole, or
    /// about several.
    pub const fn occurrence(&self) -> Option<u32> {
        self.subject().1
    }
}

impl WorkflowScheduler {
    /// Adds a job that was accepted before this owner took over; `age` is the time since its
    /// acceptance. Its steps are ready once the restore is finished, if its end is not in the log.
    pub fn restore(&mut self, flow: Workflow, now: Millis, age: Millis) {
        let id = flow.id;
        self.insert_job(flow, now, age);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.inherited = true;
        }
    }

    /// Begins the replay of the next batch of the log. The order of the batches shows which runs an
    /// earlier owner started last.
    pub const fn begin_batch(&mut self) {
        self.batch += 1;
    }

    /// Applies a record of an earlier owner. Its job has to be restored first: records of unknown
    /// jobs only tell which run of a host started last.
    pub fn replay(&mut self, record: &Record, now: Millis) {
        let id = record.job();
        let Some(job) = self.jobs.get_mut(&id) else {
            self.replay_unknown(record);
            return;
        };
        match record {
            Record::Ended(_, status) => {
                if job.end.is_none() {
                    self.held_bytes = self.held_bytes.saturating_sub(job_bytes(&job.flow));
                }
                job.end = Some(*status);
                job.end_record = 0;
                job.ended = now;
                self.recent_ends.push((now, id));
            }
            Record::Begun(_) => job.started = true,
            Record::RunsEnded(_) => job.runs_ended = true,
            Record::Started(task, run, host) => self.log_run((*task, *run), host, 0),
            Record::StartedOn(task, run, host, boot_ms) => {
                self.log_run((*task, *run), host, *boot_ms);
            }
            Record::Lost(task, run) => {
                job.lost_runs = true;
                self.log_loss((*task, *run));
            }
            Record::Released(task, run) => {
                self.logged_runs.remove(&(*task, *run));
            }
            Record::Acquitted(..)
            | Record::Weighed(..)
            | Record::Crashed(_)
            | Record::CrashedOn(..)
            | Record::CrashProved(..) => self.replay_crash(record, now),
            Record::Done(task) => {
                job.started = true;
                if let Some(step) = Self::step_of(job, task.step)
                    && let Some(state) = step.task(task.index)
                    && state.phase != Phase::Done
                {
                    state.phase = Phase::Done;
                    step.remaining -= 1;
                    step.waiting = step.waiting.saturating_sub(1);
                    step.tasks.settle(task.index);
                }
                job.occurrences.settle(task.step.occurrence);
            }
            Record::GangDone(at) => {
                job.started = true;
                if let Some(step) = Self::step_of(job, *at) {
                    step.tasks.finish_all();
                    step.remaining = 0;
                    step.waiting = 0;
                }
                job.occurrences.settle(at.occurrence);
            }
            Record::OccurrencesDone(_, first, last) => {
                job.started = true;
                job.occurrences.replay_done(*first..=*last);
            }
            Record::Failed(task, run) => {
                job.started = true;
                if let Some(step) = Self::step_of(job, task.step)
                    && let Some(state) = step.task(task.index)
                {
                    state.record_failure(*run);
                }
            }
            Record::GangFailed(at, run) => {
                job.started = true;
                if let Some(step) = Self::step_of(job, *at) {
                    step.record_failure(*run);
                }
            }
            Record::GangEnded(at, run) => {
                if let Some(step) = Self::step_of(job, *at) {
                    step.ended_run = step.ended_run.max(*run);
                }
            }
        }
    }

    /// Applies a record on the crashes under a task.
    fn replay_crash(&mut self, record: &Record, now: Millis) {
        match record {
            Record::Acquitted(task, run) => {
                if let Some(state) = self.task(*task) {
                    state.acquit(*run);
                }
            }
            Record::Weighed(task, evidence) => self.log_evidence(*task, evidence, now),
            Record::Crashed(record) => {
                let logged = self.logged_runs.get(&(record.task, record.crash.run));
                let boot = logged.map(|logged| HostBoot {
                    host: logged.host.clone(),
                    boot_ms: logged.boot_ms,
                });
                self.log_crash(record, boot);
            }
            Record::CrashedOn(record, host, boot_ms) => {
                let boot = HostBoot {
                    host: host.clone(),
                    boot_ms: *boot_ms,
                };
                self.log_crash(record, Some(boot));
            }
            Record::CrashProved(task, run, proof) => {
                if let Some(state) = self.task(*task) {
                    state.prove_crash(*run, *proof);
                }
                self.crash_proofs.presume((*task, *run));
            }
            _ => {}
        }
    }

    /// Applies a record of a job that the store no longer holds.
    fn replay_unknown(&mut self, record: &Record) {
        match record {
            Record::Started(task, run, host) | Record::StartedOn(task, run, host, _) => {
                self.log_run((*task, *run), host, 0);
            }
            Record::Lost(task, run) | Record::Released(task, run) => {
                self.logged_runs.remove(&(*task, *run));
            }
            _ => {}
        }
    }

    fn log_run(&mut self, key: RunKey, host: &HostId, boot_ms: u64) {
        let run = LoggedRun {
            host: host.clone(),
            boot_ms,
            batch: self.batch,
        };
        self.logged_runs.insert(key, run);
    }

    /// Adds a crash of the log. Without the boot of the host, nothing that the host says later tells
    /// whether it was one.
    fn log_crash(&mut self, record: &CrashRecord, boot: Option<HostBoot>) {
        let CrashRecord {
            task,
            crash,
            machine,
        } = record;
        if self.add_crash(*task, *crash, machine)
            && let Some(boot) = boot
        {
            let run = (*task, crash.run);
            self.crash_proofs.add(&boot, Millis::ZERO, run);
        }
    }

    fn log_evidence(&mut self, task: TaskName, evidence: &Evidence, now: Millis) {
        let is_new = self.add_evidence(task, evidence);
        let mut crashes = self.crashes(task).iter();
        let crash = crashes.find(|crash| crash.run == evidence.run);
        let is_first_suspect = crash.is_some_and(|crash| crash.sole && crash.young);
        if is_new && is_first_suspect && evidence.counts_against_queue() {
            self.count_against_queue(task.step.job, Millis::ZERO, now);
        }
    }

    fn log_loss(&mut self, key: RunKey) {
        let job = self.jobs.get(&key.0.step.job);
        let service = job.map(|job| self.rules_of(&job.flow).service.clone());
        if let Some(logged) = self.logged_runs.remove(&key) {
            let service = service.unwrap_or_default();
            self.logged_losses.insert(logged.host, service);
        }
    }

    /// Returns the tasks of an open job under which hosts may have crashed.
    fn crashed_tasks(&self, id: WorkflowId) -> Vec<TaskName> {
        let job = self.jobs.get(&id).filter(|job| job.end.is_none());
        let tasks = job.into_iter().flat_map(Job::held_tasks);
        let crashed = tasks.filter(|(_, task)| !task.crashes.is_empty());
        crashed.map(|(name, _)| name).collect()
    }

    /// Returns whether a task or gang of an open job has failed too often.
    fn is_exhausted(&self, id: WorkflowId) -> bool {
        let Some(job) = self.jobs.get(&id).filter(|job| job.end.is_none()) else {
            return false;
        };
        let attempts = self.rules_of(&job.flow).attempts.max(1);
        job.steps()
            .map(|(_, step)| step)
            .filter(|step| step.remaining > 0 && !step.spec.long_running)
            .any(|step| step.failure_limit_reached(attempts))
    }

    /// Adopts a run that an earlier owner ordered if it may still exist. It holds its claim until its
    /// host reports or its lease expires.
    fn adopt_logged(
        &mut self,
        (task, run): RunKey,
        logged: LoggedRun,
        newest_batch: u32,
        now: Millis,
    ) {
        let id = logged.host;
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let may_run = job.may_have_runs();
        let Some(step) = Self::step_of(job, task.step) else {
            return;
        };
        let state = step.tasks.get(task.index);
        let over = state.is_none_or(|state| {
            let failed = state.failed.contains(&run);
            state.phase == Phase::Done || failed || state.run > run
        });
        if !may_run || over || run <= step.ended_run {
            return;
        }
        if !self.hosts.contains_key(&id) {
            let entry = HostEntry {
                id: id.clone(),
                ..HostEntry::default()
            };
            let mut host = Host::new(entry, now);
            host.listed = false;
            self.hosts.insert(id.clone(), host);
        }
        self.adopt(&id, (task, run), now);
        if let Some(host) = self.hosts.get_mut(&id) {
            // A run that needs no adoption may have been the last to start.
            host.newest_batch = newest_batch;
        }
        if let Some(claim) = self.claim(&id, (task, run)) {
            claim.boot_ms = logged.boot_ms;
            claim.batch = logged.batch;
        }
    }

    /// Ends a job whose tasks have all ended or failed too often, or marks its steps that can start as
    /// ready.
    fn finish_job(&mut self, id: WorkflowId, now: Millis, actions: &mut Vec<Action>) {
        let crashed = self.crashed_tasks(id);
        let job = self.jobs.get(&id);
        let is_guilty = |task: &&TaskName| job.is_some_and(|job| job.is_guilty(**task));
        let guilty = crashed.iter().find(is_guilty);
        if let Some(task) = guilty {
            self.report_verdict(*task, actions);
        } else {
            for task in &crashed {
                self.await_proof(*task, now);
            }
        }
        if guilty.is_some() || self.is_exhausted(id) {
            self.end_job(id, WorkflowStatus::Failed, now, actions);
        } else {
            self.record_done(id, actions);
            self.advance(id, now, actions);
        }
    }

    /// Begins to complete the restore, which [`Self::finish_portion`] goes on with. Nothing may be
    /// placed and no event applied until that has ended.
    pub fn begin_finish(&mut self) -> RestoreRest {
        self.counts = JobCounts::of(self.jobs.values());
        let logged_runs = std::mem::take(&mut self.logged_runs);
        let mut newest: HashMap<HostId, u32> = HashMap::default();
        for run in logged_runs.values() {
            let batch = newest.entry(run.host.clone()).or_default();
            *batch = run.batch.max(*batch);
        }
        // What the owner does must not depend on how many runs of ended jobs the log names.
        let mut runs: Vec<_> = logged_runs.into_iter().collect();
        runs.sort_unstable_by_key(|(key, _)| *key);
        RestoreRest {
            runs: runs.into_iter(),
            newest,
            jobs: None,
        }
    }

    /// Goes on to complete the restore by this many runs and jobs: adopts the inherited runs first, then
    /// ends the jobs whose tasks have all ended or failed too often, and marks the steps that can start
    /// as ready. Returns whether anything is left.
    pub fn finish_portion(
        &mut self,
        rest: &mut RestoreRest,
        count: usize,
        now: Millis,
        actions: &mut Vec<Action>,
    ) -> bool {
        for _ in 0..count {
            if let Some((key, logged)) = rest.runs.next() {
                let newest = rest.newest.get(&logged.host).copied();
                self.adopt_logged(key, logged, newest.unwrap_or_default(), now);
                continue;
            }
            if rest.jobs.is_none() {
                self.restore_losses(now);
                self.drop_settled_crashes();
            }
            let jobs = rest.jobs.get_or_insert_with(|| {
                let ids: Vec<WorkflowId> = self.jobs.keys().copied().collect();
                ids.into_iter()
            });
            let Some(id) = jobs.next() else {
                return false;
            };
            self.finish_job(id, now, actions);
        }
        true
    }

    /// Completes the restore at once.
    pub fn finish_restore(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let mut rest = self.begin_finish();
        while self.finish_portion(&mut rest, usize::MAX, now, actions) {}
    }
}
