//! Keeps tasks that may crash their hosts on a few vacant hosts.
//!
//! Load pattern: a part of one queue's jobs crash the hosts that start them, for a while. Each such
//! job costs two hosts for seconds before it is given up, so that a stream of them takes the whole
//! fleet along. While several jobs of a queue keep hosts away, each of its jobs starts
//! in a bounded part of the fleet where no other queue's work is lost with it, one job a host at a
//! time, until enough of them have passed.

use super::crash::{Blame, YOUNG_MS};
use super::evidence::Evidence;
use super::host::{Draft, Host, Trial};
use super::host_choice::Need;
use super::job::Rank;
use super::message::Action;
use super::scheduler::WorkflowScheduler;
use super::spec::{StepId, Workflow, WorkflowId};
use crate::collections::HashMap;
use crate::ids::{HostId, QueueId};
use crate::time::Millis;

/// How long a host stays in isolation after the last suspect that needed one, in milliseconds.
const ISOLATION_MS: u64 = 2_000;

/// How long a crashed host counts among those in isolation, in milliseconds.
const RETURN_MS: u64 = 5_000;

/// The share of a service's hosts that may be in isolation or lost from it, in percent.
const QUEUE_PERCENT: usize = 25;

/// The same for jobs that have crashed a host, most of which crash the next one too.
const RETRIAL_PERCENT: usize = 12;

/// The same while only work that has missed its objective waits beside them.
const LATE_PERCENT: usize = 33;

/// The same while the service is idle.
const IDLE_PERCENT: usize = 66;

/// The number of jobs that have crashed a host, each as the only suspect, within [`AWAY_MS`] for
/// which their queue is suspected. With fewer, the isolation costs more than their neighbours do.
const QUEUE_CRASHES: usize = 3;

/// How long a crashed host is away, in milliseconds.
const AWAY_MS: u64 = 4_000;

/// How long a crash counts against its queue, in milliseconds.
const QUEUE_MEMORY_MS: u64 = 10_000;

/// The shortest trial of a job of a suspected queue, in milliseconds.
const MIN_TRIAL_MS: u64 = 100;

/// The trial of a job of a suspected queue, as a multiple of the time from the start of such a
/// job to the crash of its host.
const TRIAL_FACTOR: u64 = 4;

/// How long a job avoids the machines that crashed under it, in milliseconds; no other host may be
/// allowed to run it.
const AVOID_MS: u64 = 2_000;

/// The number of starts without a crash after which a queue is no longer suspected.
const QUEUE_PASSES: u32 = 30;

/// How carefully a step has to start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Caution {
    /// Like any other.
    #[default]
    None,
    /// Not beside another suspect that has just started.
    Apart,
    /// On a host in isolation, not beside a suspect that has just started.
    Isolated,
    /// On a host in isolation that is vacant.
    Alone,
}

/// A crashed host that has no successor yet.
#[derive(Debug)]
struct Lost {
    machine: String,
    service: String,
    at: Millis,
}

/// What speaks against the jobs of a queue.
#[derive(Debug, Default)]
struct QueueRecord {
    /// Jobs that crashed a host as the first suspects, with the times of the crashes.
    crashes: Vec<(WorkflowId, Millis)>,
    /// When the last of its jobs crashed a host.
    last: Millis,
    /// Starts on trial without a crash since then.
    passes: u32,
    /// Whether all its jobs are suspected.
    suspected: bool,
    /// The service whose hosts its jobs crash.
    service: String,
    /// The jobs accepted up to this time stay suspects when newer ones no longer are, in
    /// milliseconds since 1970; zero until the queue was suspected.
    suspect_until: u64,
    /// When the newest job was accepted that crashed a host, in milliseconds since 1970.
    newest: u64,
    /// Whether the log says that it is suspected.
    announced: bool,
    /// The longest time from a start to the crash.
    delay: Millis,
}

impl QueueRecord {
    fn add_crash(&mut self, job: &Workflow, delay: Millis, now: Millis) {
        self.last = now;
        self.delay = self.delay.max(delay);
        if job.accepted <= self.suspect_until {
            // Says nothing about newer jobs.
            return;
        }
        self.passes = 0;
        self.newest = self.newest.max(job.accepted);
        if !self.crashes.iter().any(|(known, _)| *known == job.id) {
            self.crashes.push((job.id, now));
        }
        let recent = |(_, at): &&(WorkflowId, Millis)| now.since(*at).0 < AWAY_MS;
        self.suspected |= self.crashes.iter().filter(recent).count() >= QUEUE_CRASHES;
    }

    /// Ends the suspicion of jobs that are newer than the last one that crashed a host.
    fn clear_newer(&mut self) {
        self.suspected = false;
        self.suspect_until = self.newest;
        self.crashes.clear();
    }
}

/// The queues under suspicion and the hosts that they have crashed.
#[derive(Debug, Default)]
pub(super) struct Isolation {
    queues: HashMap<QueueId, QueueRecord>,
    lost: Vec<Lost>,
}

impl Isolation {
    fn add_pass(&mut self, queue: &QueueId) {
        if let Some(record) = self.queues.get_mut(queue) {
            record.passes += 1;
        }
    }

    /// Forgets crashes that are long past, and clears queues whose newer jobs cause none.
    fn expire(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.queues.retain(|queue, record| {
            let is_kept = now.since(record.last).0 < QUEUE_MEMORY_MS;
            if !is_kept || record.passes >= QUEUE_PASSES {
                record.clear_newer();
            }
            if record.suspected != record.announced {
                record.announced = record.suspected;
                out.push(Action::QueueSuspected {
                    queue: queue.clone(),
                    suspected: record.suspected,
                });
            }
            is_kept
        });
        self.lost.retain(|lost| now.since(lost.at).0 < RETURN_MS);
    }
}

impl WorkflowScheduler {
    /// Returns whether a job is suspected to crash its hosts because others of its queue do.
    pub(super) fn is_suspected_with_queue(&self, job: &Workflow) -> bool {
        let record = self.isolation.queues.get(&job.queue);
        record.is_some_and(|record| record.suspected || job.accepted <= record.suspect_until)
    }

    /// Counts the loss of a host against the queue of the only suspected job.
    pub(super) fn suspect_queue(&mut self, id: &HostId, blame: &Blame, now: Millis) {
        let Some(host) = self.hosts.get(id).filter(|_| !blame.suspects.is_empty()) else {
            return;
        };
        self.isolation.lost.push(Lost {
            machine: host.entry.address.clone(),
            service: host.entry.service.clone(),
            at: now,
        });
        let queue = |job: WorkflowId| self.jobs.get(&job).map(|job| &job.flow.queue);
        let mut queues = blame.suspects.iter().map(|(task, _)| queue(task.step.job));
        let first = queues.next().flatten();
        let is_one_queue = first.is_some() && queues.all(|other| other == first);
        let counts = blame.evidence.iter().all(Evidence::counts_against_queue);
        if blame.young && blame.is_own_loss && is_one_queue && counts {
            let job = blame.suspects[0].0.step.job;
            self.count_against_queue(job, blame.age, now);
        }
    }

    /// Counts a crash by a job, this long after its start, against its queue.
    pub(super) fn count_against_queue(&mut self, job: WorkflowId, delay: Millis, now: Millis) {
        if let Some(job) = self.jobs.get(&job) {
            let service = self.rules_of(&job.flow).service.clone();
            let queue = job.flow.queue.clone();
            let record = self.isolation.queues.entry(queue).or_default();
            record.service = service;
            record.add_crash(&job.flow, delay, now);
        }
    }

    /// Takes back the crash of a host that has gone on, also for the queue of a suspected job.
    pub(super) fn acquit_queue(&mut self, id: &HostId, job: WorkflowId) {
        if let Some(host) = self.hosts.get(id) {
            let machine = &host.entry.address;
            self.isolation.lost.retain(|lost| lost.machine != *machine);
        }
        let Some(job) = self.jobs.get(&job) else {
            return;
        };
        if job.held_tasks().all(|(_, task)| task.crashes.is_empty())
            && let Some(record) = self.isolation.queues.get_mut(&job.flow.queue)
        {
            record.crashes.retain(|(known, _)| *known != job.flow.id);
            record.suspected &= !record.crashes.is_empty();
        }
    }

    /// Returns whether any job or queue may be suspected.
    pub(super) fn has_suspects(&self) -> bool {
        !self.suspects.is_empty() || !self.isolation.queues.is_empty()
    }

    /// Returns how long the jobs of a suspected queue are on trial.
    pub(super) fn queue_trial_ms(&self, job: &Workflow) -> Option<u64> {
        let record = self.isolation.queues.get(&job.queue)?;
        let delay_ms = record.delay.0 * TRIAL_FACTOR;
        self.is_suspected_with_queue(job)
            .then_some(delay_ms.clamp(MIN_TRIAL_MS, YOUNG_MS))
    }

    /// Ends expired trials, and keeps hosts in isolation while suspects need them.
    pub(super) fn update_isolation(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.isolation.expire(now, out);
        let mut passed = Vec::new();
        for host in self.hosts.values_mut() {
            if host.failing.is_none()
                && let Some(trial) = host.trial.take_if(|it| it.until <= now)
            {
                passed.push(trial.job);
            }
        }
        for job in passed {
            if let Some(job) = self.jobs.get(&job) {
                self.isolation.add_pass(&job.flow.queue);
            }
        }
        for service in self.suspected_services() {
            self.keep_isolated(&service, QUEUE_PERCENT, now);
        }
    }

    /// Returns whether work that has no value left may cost a service a host: hosts that are away
    /// are few, or nothing else waits for them.
    pub(super) fn may_lose_hosts(&self, service: &str) -> bool {
        let in_service = |host: &&Host| host.listed && host.entry.service == service;
        let total = self.hosts.values().filter(in_service).count();
        let lost = self.isolation.lost.iter();
        let lost = lost.filter(|lost| lost.service == service).count();
        lost * 100 < total * self.retrial_percent(service)
    }

    /// Keeps up to this share of a service's hosts in isolation, first those with the least work to
    /// lose; the others leave it in a while.
    /// Returns how many hosts may still be added.
    fn keep_isolated(&mut self, service: &str, percent: usize, now: Millis) -> usize {
        let in_service = |host: &&Host| host.listed && host.entry.service == service;
        let total = self.hosts.values().filter(in_service).count();
        let lost = self.isolation.lost.iter();
        let lost = lost.filter(|lost| lost.service == service).count();
        let most = (total * percent / 100).max(1).saturating_sub(lost);
        let mut kept: Vec<((usize, usize), HostId)> = self
            .hosts
            .values()
            .filter(in_service)
            .filter(|host| host.isolated > now && host.failing.is_none())
            .map(|host| (host.at_risk(), host.entry.id.clone()))
            .collect();
        kept.sort_unstable();
        kept.truncate(most);
        for (_, id) in &kept {
            if let Some(host) = self.hosts.get_mut(id) {
                host.isolated = now + Millis(ISOLATION_MS);
            }
        }
        most - kept.len()
    }

    fn is_queue_isolated(&self, service: &str) -> bool {
        let mut services = self.suspected_services().into_iter();
        services.any(|other| other == service)
    }

    /// Returns the services of the queues under suspicion.
    fn suspected_services(&self) -> Vec<String> {
        let suspected = |(_, record): &(&QueueId, &QueueRecord)| record.suspected;
        let queues = self.isolation.queues.iter().filter(suspected);
        queues
            .map(|(queue, record)| {
                let rules = self.rules.queues.get(queue);
                rules.map_or(&record.service, |rules| &rules.service)
            })
            .cloned()
            .collect()
    }

    /// Puts the successor of a crashed host into isolation while a queue is suspected: it is vacant.
    pub(super) fn isolate_successor(&mut self, id: &HostId, now: Millis) {
        let Some(entry) = self.hosts.get(id).map(|host| &host.entry) else {
            return;
        };
        let (machine, service) = (entry.address.clone(), entry.service.clone());
        let before = self.isolation.lost.len();
        self.isolation.lost.retain(|lost| lost.machine != machine);
        if self.isolation.lost.len() < before
            && self.suspected_services().contains(&service)
            && let Some(host) = self.hosts.get_mut(id)
        {
            host.isolated = now + Millis(ISOLATION_MS);
        }
    }

    /// Returns whether a host may get tasks with this need, as far as suspects are concerned.
    pub(super) fn admits(&self, host: &Host, need: &Need<'_>, now: Millis) -> bool {
        let job = need.step.job;
        let on_trial = |trial: &Trial| trial.job != job && trial.until > now;
        if host.trial.as_ref().is_some_and(on_trial) {
            return false;
        }
        match need.caution {
            Caution::None => host.isolated <= now,
            Caution::Apart => host.isolated <= now && self.is_other_machine(host, need),
            Caution::Isolated => host.isolated > now && self.holds_only(host, need.queue),
            Caution::Alone => {
                host.isolated > now && host.is_vacant_for(job) && self.is_other_machine(host, need)
            }
        }
    }

    /// Returns whether only runs of a queue, and lasting ones, would be lost with a host.
    fn holds_only(&self, host: &Host, queue: &QueueId) -> bool {
        host.claims.iter().all(|((task, _), claim)| {
            let job = self.jobs.get(&task.step.job);
            claim.lasting || job.is_none_or(|job| job.flow.queue == *queue)
        })
    }

    /// Returns whether a host is none of those that crashed under the job, as far as it need not
    /// wait for another: a second crash elsewhere shows that the cause was not the machine.
    fn is_other_machine(&self, host: &Host, need: &Need<'_>) -> bool {
        self.jobs.get(&need.step.job).is_none_or(|job| {
            !job.machines.contains(&host.entry.address) || need.now.since(job.crashed).0 >= AVOID_MS
        })
    }

    /// Returns the share of a service's hosts that retrials may keep from other work, in percent.
    fn retrial_percent(&self, service: &str) -> usize {
        match self.delayed_rank(service) {
            Some(Rank::InTime) => RETRIAL_PERCENT,
            Some(_) => LATE_PERCENT,
            None if self.is_idle(service) => IDLE_PERCENT,
            None => RETRIAL_PERCENT,
        }
    }

    /// Puts one more host into isolation for a step that found none, unless enough are there.
    pub(super) fn draft(&mut self, at: StepId, service: &str, caution: Caution, now: Millis) {
        let percent = if caution == Caution::Alone {
            self.retrial_percent(service)
        } else {
            self.retrial_percent(service).max(QUEUE_PERCENT)
        };
        let left = self.keep_isolated(service, percent, now);
        let is_free = |host: &&Host| {
            host.entry.service == service && host.isolated > now && host.trial.is_none()
        };
        let (suitable, mut useless): (Vec<&Host>, Vec<&Host>) = self
            .hosts
            .values()
            .filter(is_free)
            .partition(|host| self.may_try(host, at, now));
        let (ready, busy): (Vec<&Host>, Vec<&Host>) = suitable
            .iter()
            .partition(|host| self.is_vacated(host, at, caution));
        let unplaced = self.unplaced(service);
        if ready.len() > unplaced {
            return;
        }
        let candidate = self.draft_candidate(at, service, now);
        // A busy host is waited for only while no vacant one can take its place.
        let is_vacant = |id: &HostId| self.hosts.get(id).is_some_and(Host::is_vacant);
        if candidate.as_ref().is_some_and(is_vacant) {
            // Jobs of a suspected queue can still use a host that is busy with others of it.
            if caution == Caution::Isolated || !self.is_queue_isolated(service) {
                useless.extend(busy);
            }
        } else if suitable.len() > unplaced {
            return;
        }
        let Some(candidate) = candidate else {
            return;
        };
        if left == 0 {
            // Makes room by ending the isolation of a host that does not help this step.
            let released = useless.iter().find(|host| !self.is_awaited(host, now));
            let released = released.map(|host| host.entry.id.clone());
            let Some(host) = released.and_then(|id| self.hosts.get_mut(&id)) else {
                return;
            };
            host.isolated = now;
        }
        if let Some(host) = self.hosts.get_mut(&candidate) {
            host.isolated = now + Millis(ISOLATION_MS);
            host.drafted = Some(Draft {
                step: at,
                until: now + Millis(ISOLATION_MS),
            });
            self.dirty = true;
        }
    }

    /// Returns whether a host was put into isolation a short while ago for a step that waits.
    fn is_awaited(&self, host: &Host, now: Millis) -> bool {
        let drafted = host.drafted.as_ref();
        drafted.is_some_and(|draft| draft.until > now && self.ready.contains(&draft.step))
    }

    /// Returns the host that may run a step on which the least would be lost.
    fn draft_candidate(&self, at: StepId, service: &str, now: Millis) -> Option<HostId> {
        let usable = |host: &&Host| {
            host.entry.service == service && host.isolated <= now && self.may_try(host, at, now)
        };
        self.hosts
            .values()
            .filter(usable)
            .min_by_key(|host| (host.at_risk(), host.entry.id.clone()))
            .map(|host| host.entry.id.clone())
    }

    /// Returns whether the hosts that may run a step, as far as is known, have room for it.
    pub(super) fn has_room(&self, at: StepId, now: Millis) -> bool {
        let rules = self.jobs.get(&at.job).map(|job| self.rules_of(&job.flow));
        let Some(need) = rules.and_then(|rules| self.need(at, rules, now)) else {
            return false;
        };
        let usable = |host: &&Host| {
            host.entry.service == need.service
                && self.accepts_starts(host, now)
                && self.may_try(host, at, now)
        };
        let hosts = self.hosts.values().filter(usable);
        let room: u64 = hosts.map(|host| self.fitting_tasks(host, &need, now)).sum();
        room >= if need.gang { u64::from(need.count) } else { 1 }
    }

    /// Returns whether no run on a host would keep a suspected step off it.
    fn is_vacated(&self, host: &Host, at: StepId, caution: Caution) -> bool {
        if caution == Caution::Alone {
            return host.is_vacant_for(at.job);
        }
        let job = self.jobs.get(&at.job);
        job.is_some_and(|job| self.holds_only(host, &job.flow.queue))
    }

    /// Returns whether a suspected step may run on a host once that is vacant.
    pub(super) fn may_try(&self, host: &Host, at: StepId, now: Millis) -> bool {
        let Some(job) = self.jobs.get(&at.job) else {
            return false;
        };
        let is_avoided =
            job.machines.contains(&host.entry.address) && now.since(job.crashed).0 < AVOID_MS;
        let suits = job.step(at).is_some_and(|step| {
            let label = step.spec.requires.as_deref();
            label.is_none_or(|label| host.entry.has_label(label))
                && !step.advice.denied.contains(&host.entry.id)
                && step.spec.demand().fits_in(&host.spare())
        });
        suits && !is_avoided && self.accepts_starts(host, now)
    }
}
