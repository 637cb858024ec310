//! Checks a history against the rules that every run has to follow.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::Display;
use wigeongate_api::worker::TaskState;
use wigeongate_core::ids::{Attempt, HostId, JobId, TaskId, TeamId, ZoneId};
use wigeongate_core::job::Outcome;
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_standin::history::{HistoryEvent, TaskStart, TimedEvent};

/// How long tasks may still start in a zone after operators got the reply that it is out.
const ZONE_GRACE: Millis = Millis::from_secs(3);

/// The properties of a host that the checks use.
#[derive(Debug, Clone)]
pub struct Host {
    /// Zone of the host.
    pub zone: ZoneId,
    /// Capacity for tasks.
    pub capacity: Resources,
}

/// The hosts and limits that a history is checked against.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// Known hosts.
    pub hosts: BTreeMap<HostId, Host>,
    /// Limits of the teams.
    pub limits: BTreeMap<TeamId, Resources>,
}

/// A violated rule.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Violation {
    /// The running tasks of a host exceeded its capacity, or the host is unknown.
    #[display("host {_0} was overcommitted")]
    Overcommitted(HostId),
    /// A task had two runs at the same time.
    #[display("task {_0} had two runs at the same time")]
    ConcurrentRuns(TaskId),
    /// A task started again after it had succeeded.
    #[display("task {_0} started again after it had succeeded")]
    RanAgain(TaskId),
    /// The running tasks of a team exceeded its limit.
    #[display("team {_0} was above its limit")]
    AboveLimit(TeamId),
    /// A task started in a zone after it was out for longer than the grace period.
    #[display("task {_0} started in a zone that was out")]
    ZoneOut(TaskId),
    /// A task of no accepted job started, or a run ended without a start.
    #[display("task {_0} started without an accepted job or ended without a start")]
    UnexpectedEvent(TaskId),
    /// The end of an accepted job was not reported to its caller.
    #[display("the end of job {_0} was not reported")]
    NoEnd(JobId),
    /// Two different ends of a job were reported.
    #[display("two different ends of job {_0} were reported")]
    ConflictingEnds(JobId),
    /// A job was reported as succeeded although not all of its tasks had succeeded.
    #[display("job {_0} was reported as succeeded without all of its tasks")]
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

/// Returns all violations in a history; the jobs in `services` need not end.
pub fn check(fleet: &Fleet, events: &[TimedEvent], services: &[JobId]) -> Vec<Violation> {
    let mut check = Check {
        fleet: Some(fleet),
        ..Check::default()
    };
    // A task may start before the caller gets the reply that its job is accepted.
    for event in events {
        if let HistoryEvent::Accepted { job, team, tasks } = &event.event {
            check.jobs.insert(*job, (team.clone(), *tasks));
        }
    }
    for event in events {
        check.apply(event);
    }
    check.finish(services);
    check.violations
}

impl Check<'_> {
    fn apply(&mut self, event: &TimedEvent) {
        match &event.event {
            HistoryEvent::Started(start) => self.start(event.at, start),
            HistoryEvent::Ended {
                host,
                task,
                attempt,
                state,
            } => self.end(host, *task, *attempt, state),
            HistoryEvent::Accepted { .. } => {}
            HistoryEvent::EndReported { job, outcome } => self.report_end(*job, outcome),
            HistoryEvent::ZoneOut(zone) => {
                self.zones_out.insert(zone.clone(), event.at);
            }
            HistoryEvent::ZoneIn(zone) => {
                self.zones_out.remove(zone);
            }
        }
    }

    fn start(&mut self, at: Millis, start: &TaskStart) {
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

    fn check_zone(&mut self, at: Millis, start: &TaskStart) {
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
