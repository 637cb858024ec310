//! Learns the speed of hosts from their runs, and prefers hosts by it.

use super::host::{Claim, Host};
use super::host_choice::Need;
use super::scheduler::WorkflowScheduler;
use super::spec::{RunKey, TaskName};
use crate::host_speeds::{HostSpeeds, OverdueRun, Speed};
use crate::ids::{HostId, QueueId};
use crate::time::Millis;

/// The time between two looks at all running tasks, in milliseconds.
const SCAN_MS: u64 = 500;

/// How many times its forecast a run takes until it counts as a straggler.
const STRAGGLER_FACTOR: u64 = 4;

/// The most stragglers that are kept until they are taken.
const MAX_STRAGGLERS: usize = 1_000;

/// Sets of speeds that the hosts of a gang may have, the best first: a gang takes as long as on its
/// slowest host, so that one on hosts of both types is as slow as one on slower hosts alone and uses up
/// the faster ones.
const GANG_SPEEDS: [&[Speed]; 3] = [
    &[Speed::Usual],
    &[Speed::Slower],
    &[Speed::Usual, Speed::Slower],
];

/// A run that has taken several times as long as predicted and goes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Straggler {
    /// The host.
    pub host: HostId,
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub run: u32,
    /// The queue of its job.
    pub queue: QueueId,
    /// How long it has run.
    pub ran: Millis,
    /// The run time that was predicted at its start.
    pub forecast: Millis,
}

/// What the runs have shown of their hosts.
#[derive(Debug, Default)]
pub(super) struct SpeedState {
    speeds: HostSpeeds,
    scanned: Millis,
    stragglers: Vec<Straggler>,
}

impl Claim {
    /// Returns how long the run has taken as a multiple of its forecast; `None` if either is unknown.
    fn ratio(&self, ran: Millis) -> Option<f64> {
        #[expect(clippy::cast_precision_loss, reason = "times of a day are exact")]
        let ratio = ran.0 as f64 / self.forecast.median.0 as f64;
        (self.forecast.median > Millis::ZERO).then_some(ratio)
    }

    /// Returns how long the run has taken so far; `None` if its start is not known.
    fn ran(&self, now: Millis) -> Option<Millis> {
        let began = self.answered.filter(|at| *at > Millis::ZERO);
        began.map(|began| now.since(began))
    }
}

impl WorkflowScheduler {
    /// Returns how many hosts are slower than others, and how many are slow at present.
    pub fn speed_counts(&self) -> (usize, usize) {
        self.speeds.speeds.counts()
    }

    /// Returns the runs that have become stragglers since the last call.
    pub fn take_stragglers(&mut self) -> Vec<Straggler> {
        std::mem::take(&mut self.speeds.stragglers)
    }

    /// Learns from a run that ended on a host after `ran`. The members of a gang tell nothing of their
    /// own hosts.
    pub(super) fn learn_host_speed(&mut self, id: &HostId, key: RunKey, ran: Millis, now: Millis) {
        let claim = self.hosts.get(id).and_then(|host| host.claims.get(&key));
        if let Some(ratio) = claim.and_then(|claim| claim.ratio(ran)) {
            let job = key.0.step.job.0;
            self.speeds.speeds.record(id, job, ratio, now);
        }
    }

    /// Looks at all running tasks and judges the hosts, if the last time is long enough ago.
    pub(super) fn scan_speeds(&mut self, now: Millis) {
        if now.since(self.speeds.scanned).0 < SCAN_MS {
            return;
        }
        self.speeds.scanned = now;
        let mut found = Vec::new();
        for (id, host) in &mut self.hosts {
            let mut overdue = Vec::new();
            for (key, claim) in &mut host.claims {
                let Some(ran) = claim.ran(now).filter(|_| !claim.lasting) else {
                    continue;
                };
                let Some(ratio) = claim.ratio(ran).filter(|_| claim.is_overdue(now)) else {
                    continue;
                };
                overdue.push((
                    key.0,
                    OverdueRun {
                        job: key.0.step.job.0,
                        ratio,
                        excess: ran.since(claim.forecast.worst),
                    },
                ));
                let limit = claim.forecast.median.0.saturating_mul(STRAGGLER_FACTOR);
                if ran.0 > limit && !claim.straggles {
                    claim.straggles = true;
                    found.push((id.clone(), *key, ran, claim.forecast.median));
                }
            }
            let jobs = &self.jobs;
            let is_gang = |task: &TaskName| {
                let step = jobs.get(&task.step.job).and_then(|job| job.step(task.step));
                step.is_none_or(|step| step.spec.gang)
            };
            // The order of the runs must not depend on the order of the map.
            overdue.sort_unstable_by_key(|(task, _)| *task);
            let single = overdue.into_iter().filter(|(task, _)| !is_gang(task));
            let single: Vec<OverdueRun> = single.map(|(_, run)| run).collect();
            self.speeds.speeds.set_overdue(id, &single);
        }
        self.add_stragglers(found);
        let hosts = &self.hosts;
        self.speeds.speeds.retain(|id| hosts.contains_key(id));
        self.speeds.speeds.refresh(now);
        for (id, host) in &mut self.hosts {
            host.speed = self.speeds.speeds.speed(id);
        }
    }

    fn add_stragglers(&mut self, found: Vec<(HostId, RunKey, Millis, Millis)>) {
        for (host, (task, run), ran, forecast) in found {
            let Some(job) = self.jobs.get(&task.step.job) else {
                continue;
            };
            if self.speeds.stragglers.len() < MAX_STRAGGLERS {
                self.speeds.stragglers.push(Straggler {
                    host,
                    task,
                    run,
                    queue: job.flow.queue.clone(),
                    ran,
                    forecast,
                });
            }
        }
    }

    /// Returns whether a host is to be used only if no other has room, and whether it is better left to
    /// work for which others are not good enough.
    pub(super) fn speed_rank(&self, host: &Host, need: &Need<'_>) -> (bool, bool) {
        if !self.settings.policies.host_speeds {
            return (false, false);
        }
        let urgent = need.priority == 0;
        let avoided = host.speed == Speed::Slow || (urgent && host.speed == Speed::Slower);
        (avoided, !urgent && host.speed == Speed::Usual)
    }

    /// Returns the sets of speeds that the hosts of a gang should have, the best first; empty if any
    /// host is as good as another.
    pub(super) const fn gang_speeds(&self) -> &'static [&'static [Speed]] {
        if self.settings.policies.host_speeds {
            &GANG_SPEEDS
        } else {
            &[]
        }
    }
}
