//! Checks a history against what must always hold.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::Display;
use wigeongate_api::worker::TaskState;
use wigeongate_core::ids::{Attempt, HostId, JobId, TaskId, TeamId, ZoneId};
use wigeongate_core::job::Outcome;
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_standin::history::{Moment, Start, What};

/// How long after operators were told that a zone is out a task may still start there.
const ZONE_GRACE: Millis = Millis::from_secs(3);

/// A host as the checks see it.
#[derive(Debug, Clone)]
pub struct Host {
    /// Its zone.
    pub zone: ZoneId,
    /// What it can carry.
    pub capacity: Resources,
}

/// What the history is checked against.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// The hosts.
    pub hosts: BTreeMap<HostId, Host>,
    /// The teams' limits.
    pub limits: BTreeMap<TeamId, Resources>,
}

/// A rule that a history broke.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Violation {
    /// A host had more reserved than it can carry.
    #[display("host {_0} is overcommitted")]
    Overcommitted(HostId),
    /// A task ran in two places.
    #[display("task {_0} runs in two places")]
    ConcurrentRuns(TaskId),
    /// A task ran again after it had ended well.
    #[display("task {_0} ran again after it had ended well")]
    RanAgain(TaskId),
    /// A team had more running than its limit.
    #[display("team {_0} is above its limit")]
    AboveLimit(TeamId),
    /// A task started in a zone that was out.
    #[display("task {_0} started in a zone that was out")]
    ZoneOut(TaskId),
    /// A task started that belongs to no submitted job, or ended without a start.
    #[display("task {_0} came from nowhere")]
    UnexpectedEvent(TaskId),
    /// An accepted job was never told to have ended.
    #[display("job {_0} has no end")]
    NoEnd(JobId),
    /// A job was told to have ended in two ways.
    #[display("job {_0} ended in two ways")]
    ConflictingEnds(JobId),
    /// A job was told to have succeeded although a task had not ended well.
    #[display("job {_0} succeeded without all of its tasks")]
    FalseSuccess(JobId),
}

#[derive(Debug, Default)]
struct Check<'a> {
    fleet: Option<&'a Fleet>,
    jobs: BTreeMap<JobId, (TeamId, u32)>,
    running: BTreeMap<(TaskId, HostId, Attempt), Resources>,
    succeeded: BTreeSet<TaskId>,
    zones_out: BTreeMap<ZoneId, Millis>,
    reported: BTreeMap<JobId, Outcome>,
    violations: Vec<Violation>,
}

/// Returns every rule that a history broke; `services` are jobs that need not end.
pub fn check(fleet: &Fleet, moments: &[Moment], services: &[JobId]) -> Vec<Violation> {
    let mut check = Check {
        fleet: Some(fleet),
        ..Check::default()
    };
    // A task may start before the caller is told that its job is accepted.
    for moment in moments {
        if let What::Accepted { job, team, tasks } = &moment.what {
            check.jobs.insert(*job, (team.clone(), *tasks));
        }
    }
    for moment in moments {
        check.apply(moment);
    }
    check.finish(services);
    check.violations
}

impl Check<'_> {
    fn apply(&mut self, moment: &Moment) {
        match &moment.what {
            What::Started(start) => self.start(moment.at, start),
            What::Ended {
                host,
                task,
                attempt,
                state,
            } => self.end(host, *task, *attempt, state),
            What::Accepted { .. } => {}
            What::Told { job, outcome } => self.report_end(*job, outcome),
            What::ZoneOut(zone) => {
                self.zones_out.insert(zone.clone(), moment.at);
            }
            What::ZoneIn(zone) => {
                self.zones_out.remove(zone);
            }
        }
    }

    fn start(&mut self, at: Millis, start: &Start) {
        let task = start.task;
        if self.running.keys().any(|(running, _, _)| *running == task) {
            self.violations.push(Violation::ConcurrentRuns(task));
        }
        if self.succeeded.contains(&task) {
            self.violations.push(Violation::RanAgain(task));
        }
        if !self.jobs.contains_key(&task.job) {
            self.violations.push(Violation::UnexpectedEvent(task));
        }
        let key = (task, start.host.clone(), start.attempt);
        self.running.insert(key, start.size);
        self.check_host(&start.host);
        self.check_team(task.job);
        self.check_zone(at, start);
    }

    fn check_host(&mut self, host: &HostId) {
        let here = self.running.iter().filter(|((_, on, _), _)| on == host);
        let used: Resources = here.map(|(_, size)| *size).sum();
        let known = self.fleet.and_then(|fleet| fleet.hosts.get(host));
        if known.is_none_or(|known| !used.fits_in(&known.capacity)) {
            self.violations.push(Violation::Overcommitted(host.clone()));
        }
    }

    fn check_team(&mut self, job: JobId) {
        let Some((team, _)) = self.jobs.get(&job) else {
            return;
        };
        let same = |task: &TaskId| self.jobs.get(&task.job).is_some_and(|(of, _)| of == team);
        let theirs = self.running.iter().filter(|((task, _, _), _)| same(task));
        let used: Resources = theirs.map(|(_, size)| *size).sum();
        let limit = self.fleet.and_then(|fleet| fleet.limits.get(team));
        if limit.is_some_and(|limit| !used.fits_in(limit)) {
            self.violations.push(Violation::AboveLimit(team.clone()));
        }
    }

    fn check_zone(&mut self, at: Millis, start: &Start) {
        let host = self.fleet.and_then(|fleet| fleet.hosts.get(&start.host));
        let out = host.and_then(|host| self.zones_out.get(&host.zone));
        if out.is_some_and(|out| at.since(*out) > ZONE_GRACE) {
            self.violations.push(Violation::ZoneOut(start.task));
        }
    }

    fn end(&mut self, host: &HostId, task: TaskId, attempt: Attempt, state: &TaskState) {
        let key = (task, host.clone(), attempt);
        if self.running.remove(&key).is_none() {
            self.violations.push(Violation::UnexpectedEvent(task));
        }
        if *state == TaskState::Succeeded {
            self.succeeded.insert(task);
        }
    }

    fn report_end(&mut self, job: JobId, outcome: &Outcome) {
        let before = self.reported.insert(job, outcome.clone());
        if before.is_some_and(|before| before != *outcome) {
            self.violations.push(Violation::ConflictingEnds(job));
        }
        let tasks = self.jobs.get(&job).map_or(0, |(_, tasks)| *tasks);
        let done = self.succeeded.iter().filter(|task| task.job == job).count();
        if *outcome == Outcome::Succeeded && done != tasks as usize {
            self.violations.push(Violation::FalseSuccess(job));
        }
    }

    fn finish(&mut self, services: &[JobId]) {
        let open = |job: &&JobId| !self.reported.contains_key(job) && !services.contains(job);
        let lost: Vec<JobId> = self.jobs.keys().filter(open).copied().collect();
        self.violations
            .extend(lost.into_iter().map(Violation::NoEnd));
    }
}
