//! Handles hosts that are lost: judges whether a run crashed them, and gives up the tasks that did.

use std::collections::VecDeque;

use super::crash::{Accusation, Blame, Crash, LostRun, OLD_MS, Scene, YOUNG_MS};
use super::crash_proofs::{CrashProof, Fate, HostBoot, Registration, Settled};
use super::evidence::{is_dated, is_ground};
use super::host::{Claim, Host, Stage};
use super::isolation::Caution;
use super::job::{Job, Phase, WorkflowStatus};
use super::message::{Action, HostReport, PollFailure, Proof};
use super::restore::{CrashRecord, Record};
use super::scheduler::WorkflowScheduler;
use super::spec::{RunKey, StepId, TaskName, WorkflowId};
use crate::ids::HostId;
use crate::time::Millis;

/// The delay from the end of a host's process until the loss is judged, in milliseconds: by then it
/// is known which other hosts were lost at the same moment.
const SETTLE_MS: u64 = 100;

/// How long a task waits for the proof of a crash that would give it up, in milliseconds. It starts
/// again after that, since the proof may never come.
const PROOF_WAIT_MS: u64 = 1_500;

/// The fewest hosts that count as a loss of a rack or an availability zone.
const MIN_GROUP: usize = 3;

/// One host in this many, lost at the same moment, is a loss of a part of the fleet.
const FLEET_DIVISOR: usize = 10;

/// The fewest hosts that count as a loss of a part of the fleet.
const MIN_FLEET_GROUP: usize = 5;

/// The most crashes whose suspects are not cleared that are remembered.
const MAX_ACCUSATIONS: usize = 64;

/// A failure of the polls of a host.
#[derive(Debug, Clone, Copy)]
pub struct Failing {
    /// When the first poll failed.
    pub since: Millis,
    /// When its address first refused a connection or answered for another executor, which suggests that
    /// the process has ended.
    pub ended: Option<Millis>,
    /// Whether a poll that the host may have held got no answer. A process that gives up its address
    /// goes on with its open connections and answers what it holds.
    pub unanswered: bool,
}

impl WorkflowScheduler {
    /// Handles that a poll got no report. Until the next report the host gets no new work; a silent
    /// host keeps its runs, since it may only be cut off.
    pub fn poll_failed(
        &mut self,
        id: &HostId,
        failure: PollFailure,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        // What the host has proved, it may be unable to tell the next owner.
        self.record_begun(out);
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        let failing = host.failing.get_or_insert(Failing {
            since: now,
            ended: None,
            unanswered: false,
        });
        match failure {
            PollFailure::NoAnswer => failing.unanswered = true,
            PollFailure::Refused | PollFailure::Replaced => {
                failing.ended.get_or_insert(now);
            }
            PollFailure::Closed => {}
        }
        // A refused connection is no proof of the end: a cut refuses connections as well.
        if failure != PollFailure::Replaced {
            return;
        }
        let is_unanswered = failing.unanswered;
        let settled = self.crash_proofs.replace(id);
        self.apply_fates(settled, now, out);
        let Some(host) = self.hosts.get_mut(id).filter(|_| is_unanswered) else {
            return;
        };
        // Orders name the executor, so that its successor refuses those still under way.
        host.forget_report();
        let runs = host.claims.keys().copied().collect();
        self.lose_runs(id, runs, Proof::Replaced, now, out);
    }

    /// Judges the losses of hosts whose processes seem to have ended a moment ago.
    pub(super) fn judge_losses(&mut self, now: Millis, out: &mut Vec<Action>) {
        let ended = |host: &&Host| {
            host.blame.is_none()
                && host.failing.is_some_and(|failing| {
                    failing.ended.is_some() && now.since(failing.since).0 >= SETTLE_MS
                })
        };
        let ids: Vec<HostId> = self
            .hosts
            .values()
            .filter(ended)
            .map(|host| host.entry.id.clone())
            .collect();
        for id in ids {
            self.judge_loss(&id, now, out);
        }
    }

    /// Decides which runs may have crashed a host, and records the crash under each of them. The
    /// record is written before the loss is proved, since the owner may be lost meanwhile.
    fn judge_loss(&mut self, id: &HostId, now: Millis, out: &mut Vec<Action>) {
        let Some(host) = self.hosts.get(id) else {
            return;
        };
        let died = host.failing.map_or(now, |failing| failing.since);
        let lost = self.lost_runs(host, died);
        let blame = self
            .recorded_blame(host)
            .unwrap_or_else(|| self.blame(host, died, &lost));
        let scene = Scene {
            boot: host.lost_boot(),
            machine: host.entry.address.clone(),
            lost: died,
        };
        self.note_loss(id, now);
        let mut blame = blame;
        self.explain_repeats(id, &blame);
        let evidence = self.weigh(id, &blame.suspects, now);
        blame.evidence = evidence.into_iter().map(|(_, it)| it).collect();
        let is_ground = self.joint_chances(&blame).all(is_ground);
        blame.sole &= is_ground;
        let others = self.weigh(id, &blame.others(&lost), now);
        self.accusations.extend(blame.accusation(others, &scene));
        let excess = self.accusations.len().saturating_sub(MAX_ACCUSATIONS);
        self.accusations.drain(..excess);
        self.suspect_queue(id, &blame, now);
        for (task, run) in &blame.suspects {
            let crash = Crash {
                run: *run,
                sole: blame.sole,
                young: blame.young,
                proof: CrashProof::Open,
            };
            self.suspect(*task, crash, &scene, out);
        }
        self.record_all_evidence(&blame, out);
        if let Some(host) = self.hosts.get_mut(id) {
            host.blame = Some(blame);
        }
    }

    /// Records the crash of a host under a task, unless that was done before.
    fn suspect(&mut self, task: TaskName, crash: Crash, scene: &Scene, out: &mut Vec<Action>) {
        let Scene {
            boot,
            machine,
            lost,
        } = scene;
        if self.add_crash(task, crash, machine) {
            let record = CrashRecord {
                task,
                crash,
                machine: machine.clone(),
            };
            let record = Record::CrashedOn(record, boot.host.clone(), boot.boot_ms);
            self.record(record, out);
        }
        let known = self.task(task).and_then(|it| it.crash(crash.run));
        if known.is_some_and(|known| known.proof < CrashProof::Replaced) {
            self.crash_proofs.add(boot, *lost, (task, crash.run));
        }
    }

    /// Suspects the other runs of each crash whose suspects have all been cleared.
    fn withdraw_accusations(&mut self, cleared: WorkflowId, out: &mut Vec<Action>) {
        for accusation in &mut self.accusations {
            accusation.accused.retain(|job| *job != cleared);
        }
        let (withdrawn, rest): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.accusations)
            .into_iter()
            .partition(|accusation| accusation.accused.is_empty());
        self.accusations = rest;
        for accusation in withdrawn {
            for (task, evidence) in accusation.others {
                let crash = Crash {
                    run: evidence.run,
                    sole: false,
                    young: false,
                    proof: CrashProof::Open,
                };
                self.suspect(task, crash, &accusation.scene, out);
                self.record_evidence(task, evidence, out);
            }
        }
    }

    fn record_all_evidence(&mut self, blame: &Blame, out: &mut Vec<Action>) {
        for ((task, _), evidence) in blame.suspects.iter().zip(&blame.evidence) {
            self.record_evidence(*task, evidence.clone(), out);
        }
    }

    fn blame(&self, host: &Host, died: Millis, lost: &[LostRun]) -> Blame {
        if host.entry.draining {
            return Blame::default();
        }
        let mut blame = Blame::of(lost);
        blame.is_own_loss = !self.is_group_loss(host, died, &blame);
        blame.sole &= blame.is_own_loss;
        blame
    }

    /// Returns what an earlier owner decided about the loss of a host.
    fn recorded_blame(&self, host: &Host) -> Option<Blame> {
        let recorded = host.claims.keys().filter_map(|key| {
            let mut crashes = self.crashes(key.0).iter();
            let crash = crashes.find(|crash| crash.run == key.1)?;
            Some((*key, *crash))
        });
        let recorded: Vec<(RunKey, Crash)> = recorded.collect();
        let (_, crash) = recorded.first()?;
        Some(Blame {
            sole: crash.sole,
            young: crash.young,
            age: Millis::ZERO,
            is_own_loss: crash.sole,
            suspects: recorded.iter().map(|(key, _)| *key).collect(),
            evidence: Vec::new(),
        })
    }

    /// Settles what a report says of the processes of its host that seemed to have crashed.
    pub(super) fn settle_answered(
        &mut self,
        id: &HostId,
        report: &HostReport,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let answered = HostBoot {
            host: id.clone(),
            boot_ms: report.boot_ms,
        };
        let settled = self.crash_proofs.answer(&answered, report.sent);
        self.apply_fates(settled, now, out);
    }

    /// Settles what the registry says of the processes that seemed to have crashed.
    pub(super) fn settle_registered(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.crash_proofs.is_empty() {
            return;
        }
        self.drop_settled_crashes();
        let hosts = &self.hosts;
        let registration = |id: &HostId| match hosts.get(id).filter(|host| host.listed) {
            Some(host) => Registration::Listed(host.entry.boot_ms),
            None => Registration::Missing,
        };
        let registration = (!self.is_stale).then_some(registration);
        let settled = self.crash_proofs.look_up(registration, now);
        self.apply_fates(settled, now, out);
    }

    /// Forgets the crashes on which nothing depends any more.
    pub(super) fn drop_settled_crashes(&mut self) {
        let jobs = &self.jobs;
        self.crash_proofs.retain(|(task, run), is_presumed| {
            let job = jobs.get(&task.step.job).filter(|job| job.end.is_none());
            let task = job.and_then(|job| job.task(*task));
            let crash = task.and_then(|task| task.crash(*run));
            crash.is_some_and(|crash| is_presumed || crash.proof < CrashProof::Replaced)
        });
    }

    /// Applies what became of processes that seemed to have crashed. Their runs may have been released
    /// long before, and other jobs given up for the same crash.
    fn apply_fates(&mut self, settled: Vec<Settled>, now: Millis, out: &mut Vec<Action>) {
        for Settled { boot, fate, runs } in settled {
            out.push(Action::LossSettled {
                boot: boot.clone(),
                fate,
                suspects: runs.clone(),
            });
            if fate == Fate::WentOn {
                self.acquit(&boot, &runs, out);
            } else {
                let convicted = self.prove_crashes(&runs, fate.proof(), out);
                self.give_up(convicted, now, out);
            }
        }
    }

    /// Takes back the judgement on a process that has gone on.
    fn acquit(&mut self, boot: &HostBoot, runs: &[RunKey], out: &mut Vec<Action>) {
        self.forget_loss(&boot.host);
        // Nobody else crashed the host either.
        self.accusations.retain(|it| it.scene.boot != *boot);
        for (task, run) in runs {
            if let Some(state) = self.task(*task) {
                state.acquit(*run);
                self.record(Record::Acquitted(*task, *run), out);
                out.push(Action::Acquitted { task: *task });
            }
            if let Some(step) = self.step(task.step) {
                // Nothing has to be awaited any more.
                step.not_before = Millis::ZERO;
                self.dirty = true;
            }
            self.acquit_queue(&boot.host, task.step.job);
        }
    }

    /// Records a proof of the crashes under runs; returns the jobs to give up for them.
    fn prove_crashes(
        &mut self,
        runs: &[RunKey],
        proof: CrashProof,
        out: &mut Vec<Action>,
    ) -> Vec<WorkflowId> {
        let mut convicted = Vec::new();
        for (task, run) in runs {
            if !self
                .task(*task)
                .is_some_and(|it| it.prove_crash(*run, proof))
            {
                continue;
            }
            self.record(Record::CrashProved(*task, *run, proof), out);
            let job = task.step.job;
            let is_open = self.jobs.get(&job).is_some_and(|job| job.end.is_none());
            if is_open && self.is_guilty(*task) && !convicted.contains(&job) {
                convicted.push(job);
                self.report_verdict(*task, out);
                self.explain_losses(*task);
            }
        }
        convicted
    }

    /// Delays the next start of a task if the proof of a crash under it would give it up.
    pub(super) fn await_proof(&mut self, name: TaskName, now: Millis) {
        let job = self.jobs.get(&name.step.job);
        if job.is_some_and(|job| job.awaits_proof(name))
            && let Some(step) = self.step(name.step)
        {
            step.not_before = step.not_before.max(now + Millis(PROOF_WAIT_MS));
        }
    }

    /// Ends jobs that crash their hosts.
    fn give_up(&mut self, convicted: Vec<WorkflowId>, now: Millis, out: &mut Vec<Action>) {
        for job in convicted {
            let explains = |accusation: &Accusation| accusation.accused.contains(&job);
            self.accusations.retain(|accusation| !explains(accusation));
            self.end_job(job, WorkflowStatus::Failed, now, out);
        }
    }

    /// Returns the runs that a host had when its process ended.
    fn lost_runs(&self, host: &Host, died: Millis) -> Vec<LostRun> {
        let trial = host.trial.filter(|trial| trial.until > died);
        let age = |job: WorkflowId, claim: &Claim| {
            if trial.is_some_and(|trial| trial.job != job) {
                // All other runs were there before, and nothing starts beside a trial.
                Millis(OLD_MS)
            } else if host.has_reported() {
                let age = died.since(claim.since);
                let is_earlier = claim.batch > 0 && claim.batch != host.newest_batch;
                if is_earlier {
                    age.max(Millis(YOUNG_MS))
                } else {
                    age
                }
            } else if claim.batch == host.newest_batch {
                // This owner knows only the order in which an earlier one started the runs.
                Millis::ZERO
            } else {
                Millis(YOUNG_MS)
            }
        };
        let is_dated = is_dated(host);
        let was_there = |claim: &Claim| {
            let ordered = claim.stage != Stage::Planned && claim.since <= died;
            ordered && (is_dated || claim.confirmed)
        };
        host.claims
            .iter()
            .filter(|(_, claim)| was_there(claim))
            .map(|(key, claim)| LostRun {
                key: *key,
                age: age(key.0.step.job, claim),
                crashes: self.crashes(key.0).len(),
            })
            .collect()
    }

    /// Returns whether a host was lost together with most of its rack or availability zone, or with
    /// a part of the fleet, so that its runs are not the only suspects. Hosts that had just started
    /// tasks of the same job, and those on trial, have an explanation of their own.
    fn is_group_loss(&self, host: &Host, died: Millis, blame: &Blame) -> bool {
        let job = blame.sole_job();
        // Of hosts that were down when this owner took over, the time of the loss is not known.
        let was_up = host.has_reported();
        let is_lost = |other: &Host| {
            other.failing.is_some_and(|failing| {
                other.has_reported() == was_up
                    && (!was_up || failing.since.0.abs_diff(died.0) <= SETTLE_MS)
                    && other.trial.is_none()
                    && !other
                        .claims
                        .keys()
                        .any(|(task, _)| Some(task.step.job) == job)
            })
        };
        let is_part_lost = |in_group: &dyn Fn(&Host) -> bool, divisor: usize, fewest: usize| {
            let group = || self.hosts.values().filter(|other| in_group(other));
            let lost = group().filter(|other| is_lost(other)).count() + 1;
            lost >= fewest && lost * divisor >= group().count()
        };
        let is_most_lost = |in_group: &dyn Fn(&Host) -> bool| is_part_lost(in_group, 2, MIN_GROUP);
        let entry = &host.entry;
        let in_service = |other: &Host| other.entry.service == entry.service;
        (was_up && is_part_lost(&in_service, FLEET_DIVISOR, MIN_FLEET_GROUP))
            || is_most_lost(&|other| other.entry.zone == entry.zone)
            || entry
                .labels
                .iter()
                .any(|label| is_most_lost(&|other| other.entry.has_label(label)))
    }

    /// Ends runs that were lost with a process of their host, and gives up the tasks that crash
    /// their hosts.
    pub(super) fn lose_runs(
        &mut self,
        id: &HostId,
        runs: Vec<RunKey>,
        proof: Proof,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        let convicted = self.settle_loss(id, &runs, proof, now, out);
        self.end_lost(id, runs, proof, now, out);
        self.give_up(convicted, now, out);
    }

    /// Ends runs that were lost with a process of their host whose loss is settled.
    pub(super) fn end_lost(
        &mut self,
        id: &HostId,
        runs: Vec<RunKey>,
        proof: Proof,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        for (task, run) in runs {
            let number = self.record(Record::Lost(task, run), out);
            if let Some(job) = self.jobs.get_mut(&task.step.job) {
                job.lost_runs = true;
                job.loss_record = number;
            }
            self.release(id, (task, run), proof, now, out);
        }
    }

    /// Settles the loss of runs with a host; returns the jobs to give up.
    fn settle_loss(
        &mut self,
        id: &HostId,
        lost: &[RunKey],
        proof: Proof,
        now: Millis,
        out: &mut Vec<Action>,
    ) -> Vec<WorkflowId> {
        if lost.is_empty() {
            return Vec::new();
        }
        if self.hosts.get(id).is_some_and(|host| host.blame.is_none()) {
            self.judge_loss(id, now, out);
        }
        let host = self.hosts.get_mut(id);
        let blame = host.and_then(|host| host.blame.take()).unwrap_or_default();
        for (task, evidence) in self.weigh(id, &blame.suspects, now) {
            self.record_evidence(task, evidence, out);
        }
        for (task, _) in &blame.suspects {
            if let Some(job) = self.jobs.get_mut(&task.step.job) {
                job.crashed = now;
            }
        }
        // The leases of a host that was only cut off expire as well.
        let convicted = if proof.is_of_crash() {
            self.prove_crashes(&blame.suspects, CrashProof::Replaced, out)
        } else {
            for (task, _) in &blame.suspects {
                self.await_proof(*task, now);
            }
            Vec::new()
        };
        out.push(Action::HostLost {
            host: id.clone(),
            runs: lost.len(),
            suspects: blame.suspects,
        });
        convicted
    }

    fn is_guilty(&self, name: TaskName) -> bool {
        let job = self.jobs.get(&name.step.job);
        job.is_some_and(|job| job.is_guilty(name))
    }

    /// Returns the crashes under a task.
    pub(super) fn crashes(&self, name: TaskName) -> &[Crash] {
        self.jobs
            .get(&name.step.job)
            .and_then(|job| job.task(name))
            .map_or(&[], |task| &task.crashes)
    }

    /// Adds a crash under a task; returns whether it is new and the job still open.
    pub(super) fn add_crash(&mut self, name: TaskName, crash: Crash, machine: &str) -> bool {
        let Some(job) = self.jobs.get_mut(&name.step.job) else {
            return false;
        };
        if job.end.is_some() {
            return false;
        }
        let Some(task) = Self::step_of(job, name.step).and_then(|step| step.task(name.index))
        else {
            return false;
        };
        if task.phase == Phase::Done || task.crashes.iter().any(|it| it.run == crash.run) {
            return false;
        }
        task.crashes.push(crash);
        task.cleared = false;
        task.run = task.run.max(crash.run);
        if !machine.is_empty() && !job.machines.iter().any(|it| it == machine) {
            job.machines.push(machine.to_owned());
        }
        self.suspects.insert(name.step.job);
        true
    }

    /// Clears the suspects that have run for longer than it takes to crash a host, or have ended.
    pub(super) fn clear_suspects(&mut self, now: Millis, out: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.suspects) {
            let Some(job) = self.jobs.get(&id).filter(|job| job.end.is_none()) else {
                self.withdraw_accusations(id, out);
                continue;
            };
            let outlived = self.outlived(job, now);
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let mut acquitted = Vec::new();
            for name in outlived {
                if let Some(task) =
                    Self::step_of(job, name.step).and_then(|step| step.task(name.index))
                {
                    acquitted.extend(task.clear().into_iter().map(|run| (name, run)));
                    out.push(Action::Acquitted { task: name });
                }
            }
            let is_suspected = job.held_tasks().any(|(_, task)| task.is_suspect());
            for (name, run) in acquitted {
                self.record(Record::Acquitted(name, run), out);
            }
            if is_suspected {
                self.suspects.insert(id);
            } else {
                self.withdraw_accusations(id, out);
            }
        }
    }

    /// Returns the suspected tasks of a job whose runs have lasted for long enough.
    fn outlived(&self, job: &Job, now: Millis) -> Vec<TaskName> {
        let mut outlived = Vec::new();
        for (name, task) in job.held_tasks().filter(|(_, task)| task.is_suspect()) {
            let trial = Millis(task.trial_ms());
            let lasted = |(host, run): &(HostId, u32)| {
                self.hosts.get(host).is_some_and(|host| {
                    let claim = host.claims.get(&(name, *run));
                    host.failing.is_none()
                        && claim.is_some_and(|claim| {
                            claim.stage == Stage::Running && now.since(claim.since) >= trial
                        })
                })
            };
            if task.placements.iter().any(lasted) {
                outlived.push(name);
            }
        }
        outlived
    }

    /// Returns whether a task of a job was the only suspect when its host crashed.
    pub(super) fn is_sole_suspect(&self, id: WorkflowId) -> bool {
        let job = self.jobs.get(&id).filter(|_| self.suspects.contains(&id));
        job.is_some_and(|job| job.held_tasks().any(|(_, task)| task.is_sole_suspect()))
    }

    /// Returns how carefully a step has to start, for its job's own crashes or for its queue's.
    pub(super) fn caution(&self, at: StepId) -> Caution {
        let Some(job) = self.jobs.get(&at.job) else {
            return Caution::None;
        };
        let is_gang = job.step(at).is_some_and(|step| step.spec.gang);
        let own = if self.suspects.contains(&at.job) {
            if self.is_sole_suspect(at.job) {
                Caution::Alone
            } else if job.held_tasks().any(|(_, task)| task.is_suspect()) {
                Caution::Apart
            } else {
                Caution::None
            }
        } else {
            Caution::None
        };
        let caution = if self.is_suspected_with_queue(&job.flow) {
            own.max(Caution::Isolated)
        } else {
            own
        };
        // A gang seldom finds vacant hosts for all its members.
        if is_gang {
            caution.min(Caution::Apart)
        } else {
            caution
        }
    }

    /// Returns how long the suspects among the tasks of a step are on trial.
    pub(super) fn trial(&self, at: StepId) -> Millis {
        let job = self.jobs.get(&at.job);
        let longest = job.and_then(|job| {
            let suspects = job.held_tasks().filter(|(_, task)| task.is_suspect());
            suspects.map(|(_, task)| task.trial_ms()).max()
        });
        let of_queue = job.and_then(|job| self.queue_trial_ms(&job.flow));
        Millis(longest.or(of_queue).unwrap_or(YOUNG_MS))
    }
}
