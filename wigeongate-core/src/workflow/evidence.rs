//! Weighs what the crash of a host proves against a run on it.
//!
//! Hosts also crash for reasons of their own, many at a time behind a cut. What speaks against a run
//! is the chance that its host would have crashed so soon after the start without its doing.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::crash::{Blame, Crash, OLD_MS, YOUNG_MS};
use super::host::Host;
use super::job::Job;
use super::message::Action;
use super::restore::Record;
use super::scheduler::WorkflowScheduler;
use super::spec::{RunKey, TaskName};
use crate::collections::HashSet;
use crate::ids::{HostId, ZoneId};
use crate::time::Millis;

/// Crashes of one host per second for reasons of its own on a quiet fleet: one in 14 hours.
const QUIET_RATE: f64 = 2e-5;

/// The spans around a crash over which the rate of unexplained crashes is taken, in milliseconds;
/// the highest rate counts. The last one is how long a loss is remembered.
const SPANS_MS: [u64; 3] = [1_000, 4_000, 16_000];

/// The age below which a start explains the crash of its host, in milliseconds.
const EXPLAINED_MS: u64 = 100;

/// The longest time from the first failed poll of a host until its address refuses connections, in
/// milliseconds, for which the time of its death is known.
const PROMPT_MS: u64 = 300;

/// The least share of hosts without a start that would explain their crash.
const MIN_SHARE: f64 = 0.05;

/// The shortest time from a start to the crash that can be told, in milliseconds.
const MIN_AGE_MS: u64 = 10;

/// The least chance for weak evidence: an unanswered start, or other suspects.
const WEAK_CHANCE: f64 = 1e-3;

/// The product of the chances of all crashes under a task below which it is given up, divided by the
/// number of the job's tasks.
const VERDICT_CHANCE: f64 = 1e-6;

/// The chance above which a crash is no ground to try its suspect alone.
const SOLE_CHANCE: f64 = 0.05;

/// The chance above which a crash does not count against the queue of its suspect.
const QUEUE_CHANCE: f64 = 1e-3;

/// Chances are stored in parts of this.
const SCALE: f64 = 1e9;

/// What a crash under a run rests on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[display(
    "run {run} on {host}: age {age}, unanswered {unanswered}, hosts beside {beside}, \
     unexplained {unexplained}, chance {chance_ppb} ppb"
)]
pub struct Evidence {
    /// Number of the run.
    pub run: u32,
    /// The host that crashed.
    pub host: HostId,
    /// The time from the start to the latest moment at which the host can have died.
    pub age: Millis,
    /// Whether the order to start got no answer and no report listed the run.
    pub unanswered: bool,
    /// Whether a run on the host had started just before, which explains the crash.
    pub explained: bool,
    /// The number of hosts lost within a second of this one.
    pub beside: u32,
    /// The number of hosts that crashed of late and whose crash no start explains.
    pub unexplained: u32,
    /// The chance that the host would have crashed without the run, in parts per billion.
    pub chance_ppb: u32,
}

impl Evidence {
    fn chance(&self) -> f64 {
        f64::from(self.chance_ppb) / SCALE
    }

    /// Returns whether the crash counts against the queue of its suspect.
    pub(super) fn counts_against_queue(&self) -> bool {
        self.chance() < QUEUE_CHANCE
    }
}

/// Returns whether crashes with this chance are a ground to try their suspect alone.
pub(super) fn is_ground(chance: f64) -> bool {
    chance < SOLE_CHANCE
}

/// Returns whether crashes under a task of a job with this many tasks are too many to be a
/// coincidence.
pub(super) fn is_proof(crashes: &[Crash], evidence: &[Evidence], tasks: u64) -> bool {
    let chance = |crash: &Crash| {
        let known = evidence.iter().find(|it| it.run == crash.run);
        let least = if crash.sole { 0.0 } else { WEAK_CHANCE };
        known.map_or(WEAK_CHANCE, |it| it.chance().max(least))
    };
    let product: f64 = crashes.iter().map(chance).product();
    product * to_f64(usize::try_from(tasks).unwrap_or(usize::MAX)) < VERDICT_CHANCE
}

/// A host that was lost.
#[derive(Debug)]
pub(super) struct Loss {
    host: HostId,
    service: String,
    zone: ZoneId,
    at: Millis,
    explained: bool,
}

/// The rate at which hosts of a group crash without a start that explains it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct BaseRate {
    /// Crashes of one host per second.
    per_s: f64,
    beside: usize,
    unexplained: usize,
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn to_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn span_s(span: Millis) -> f64 {
    f64::from(u32::try_from(span.0).unwrap_or(u32::MAX)) / 1_000.0
}

impl BaseRate {
    /// Returns the chance that a host crashes within a span, in parts per billion.
    fn chance_ppb(self, span: Millis, weak: bool) -> u32 {
        let span = span.max(Millis(MIN_AGE_MS));
        let chance = 1.0 - (-self.per_s * span_s(span)).exp();
        let chance = if weak {
            chance.max(WEAK_CHANCE)
        } else {
            chance
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a chance is between 0 and 1"
        )]
        let ppb = (chance * SCALE).ceil() as u32;
        ppb
    }
}

/// Returns when a host died, if that is known: at the first failed poll, if its address refused
/// connections at once.
fn death(host: &Host) -> Option<Millis> {
    let failing = host.failing?;
    let silent = failing.ended?.since(failing.since);
    (silent.0 <= PROMPT_MS).then_some(failing.since)
}

/// Returns until when a lost host may have run.
fn latest_death(host: &Host, now: Millis) -> Millis {
    death(host).unwrap_or(now)
}

/// Returns whether it is known when a lost host died. Otherwise it may have been cut off before, so
/// that a start which was not confirmed reached nobody.
pub(super) fn is_dated(host: &Host) -> bool {
    death(host).is_some() || (host.failing.is_none() && host.has_reported())
}

impl WorkflowScheduler {
    /// Returns whether a start on a host explains its death at this time: one just before, or a
    /// recent one of a task that has crashed another host as soon after its start.
    fn is_explained(&self, host: &Host, died: Millis) -> bool {
        // The times of starts by an earlier owner are not known.
        let is_unknown = !host.has_reported();
        host.claims.iter().any(|(key, claim)| {
            let age_ms = died.since(claim.since).0;
            let is_recent = claim.confirmed && age_ms < YOUNG_MS;
            is_unknown || age_ms < EXPLAINED_MS || (is_recent && self.has_crashed(*key))
        })
    }

    /// Returns whether an earlier run of a task crashed its host right after the start.
    fn has_crashed(&self, (task, run): RunKey) -> bool {
        let mut earlier = self.crashes(task).iter();
        earlier.any(|crash| crash.young && crash.run != run)
    }

    /// Takes the earlier hosts that the only suspect of a crash has crashed for explained.
    pub(super) fn explain_repeats(&mut self, id: &HostId, blame: &Blame) {
        if !blame.sole || !blame.young {
            return;
        }
        let is_confirmed = |key: &RunKey| {
            let host = self.hosts.get(id);
            host.and_then(|host| host.claims.get(key))
                .is_some_and(|claim| claim.confirmed)
        };
        let repeats: Vec<TaskName> = blame
            .suspects
            .iter()
            .filter(|key| is_confirmed(key) && self.has_crashed(**key))
            .map(|key| key.0)
            .collect();
        for name in repeats {
            self.explain_losses(name);
        }
    }

    /// Takes the hosts that a task crashed for explained.
    pub(super) fn explain_losses(&mut self, name: TaskName) {
        let known = self.evidence(name).iter();
        let hosts: HashSet<HostId> = known.map(|it| it.host.clone()).collect();
        for loss in &mut self.losses {
            loss.explained |= hosts.contains(&loss.host);
        }
    }

    /// Remembers the loss of a host, and whether a start on it explains it.
    pub(super) fn note_loss(&mut self, id: &HostId, now: Millis) {
        let memory_ms = 2 * SPANS_MS[2];
        self.losses.retain(|loss| now.since(loss.at).0 < memory_ms);
        let Some(host) = self.hosts.get(id).filter(|host| !host.entry.draining) else {
            return;
        };
        let died = host.failing.map_or(now, |failing| failing.since);
        let is_known = |loss: &Loss| {
            // A host that died before the takeover is in the log.
            loss.host == *id && (loss.at == died || !host.has_reported())
        };
        if self.losses.iter().any(is_known) {
            return;
        }
        let loss = Loss {
            host: id.clone(),
            service: host.entry.service.clone(),
            zone: host.entry.zone.clone(),
            at: died,
            explained: self.is_explained(host, latest_death(host, now)),
        };
        self.losses.push(loss);
    }

    /// Adds the losses that the log of earlier owners shows. Their times are not known.
    pub(super) fn restore_losses(&mut self, now: Millis) {
        let explained: HashSet<HostId> = self
            .jobs
            .values()
            .flat_map(Job::held_tasks)
            .flat_map(|(_, task)| &task.evidence)
            .filter(|evidence| evidence.explained)
            .map(|evidence| evidence.host.clone())
            .collect();
        for (host, service) in std::mem::take(&mut self.logged_losses) {
            self.losses.push(Loss {
                service,
                zone: ZoneId::default(),
                at: now,
                explained: explained.contains(&host),
                host,
            });
        }
    }

    /// Forgets the loss of a host that turns out to have gone on.
    pub(super) fn forget_loss(&mut self, id: &HostId) {
        self.losses.retain(|loss| loss.host != *id);
    }

    /// Returns the rate of unexplained crashes around the death of a host, in its service or its
    /// zone, without those of the hosts in the evidence against a task.
    fn base_rate(&self, host: &Host, own: &[Evidence], now: Millis) -> BaseRate {
        let died = host.failing.map_or(now, |failing| failing.since);
        let is_other = |id: &HostId| *id != host.entry.id && own.iter().all(|it| it.host != *id);
        let in_service = |other: &Host| other.entry.service == host.entry.service;
        let fleet = || self.hosts.values().filter(|other| in_service(other));
        let losses = self.losses.iter().filter(|loss| {
            !loss.explained && loss.service == host.entry.service && is_other(&loss.host)
        });
        let mut lost: Vec<(Millis, &ZoneId)> = losses.map(|loss| (loss.at, &loss.zone)).collect();
        let known: HashSet<&HostId> = self.losses.iter().map(|loss| &loss.host).collect();
        // Silent hosts may have crashed as well.
        let silent = fleet().filter(|other| other.blame.is_none() && is_other(&other.entry.id));
        lost.extend(silent.filter_map(|other| {
            let is_known = known.contains(&other.entry.id);
            let failing = other
                .failing
                .filter(|_| !is_known && !other.entry.draining)?;
            if self.is_explained(other, failing.since) {
                return None;
            }
            Some((failing.since, &other.entry.zone))
        }));
        let alive = |other: &&Host| other.listed && other.failing.is_none();
        let hosts = fleet().filter(alive).count();
        let is_calm = |other: &&Host| {
            let mut claims = other.claims.values();
            claims.all(|claim| now.since(claim.since).0 >= EXPLAINED_MS)
        };
        let calm = fleet().filter(alive).filter(is_calm).count();
        let share = (to_f64(calm) / to_f64(hosts.max(1))).max(MIN_SHARE);
        let zone = &host.entry.zone;
        let in_zone = fleet().filter(|other| other.entry.zone == *zone && other.listed);
        let groups = [
            (fleet().filter(|other| other.listed).count(), None),
            (in_zone.count(), Some(zone)),
        ];
        let mut rate = BaseRate::default();
        for (size, zone) in groups {
            for span_ms in SPANS_MS {
                let near = |(at, other): &&(Millis, &ZoneId)| {
                    at.0.abs_diff(died.0) <= span_ms && zone.is_none_or(|zone| zone == *other)
                };
                let count = lost.iter().filter(near).count();
                let exposure = to_f64(size.max(1)) * share * span_s(Millis(span_ms));
                rate.per_s = rate.per_s.max(to_f64(count) / exposure);
                if zone.is_none() {
                    rate.unexplained = rate.unexplained.max(count);
                    if span_ms == SPANS_MS[0] {
                        rate.beside = count;
                    }
                }
            }
        }
        rate.per_s += QUIET_RATE;
        rate
    }

    /// Returns what the loss of a host proves against runs on it.
    pub(super) fn weigh(
        &self,
        id: &HostId,
        runs: &[RunKey],
        now: Millis,
    ) -> Vec<(TaskName, Evidence)> {
        let Some(host) = self.hosts.get(id) else {
            return Vec::new();
        };
        // Most tasks have crashed no other host, and share one rate.
        let shared = self.base_rate(host, &[], now);
        let evidence = runs.iter().filter_map(|key| {
            let own = self.evidence(key.0);
            let rate = if own.iter().any(|it| it.host != *id) {
                self.base_rate(host, own, now)
            } else {
                shared
            };
            Some((key.0, self.weigh_run(host, *key, rate, now)?))
        });
        evidence.collect()
    }

    fn weigh_run(&self, host: &Host, key: RunKey, rate: BaseRate, now: Millis) -> Option<Evidence> {
        let id = &host.entry.id;
        let claim = host.claims.get(&key)?;
        let known = self.evidence(key.0).iter().find(|it| it.run == key.1);
        let age = latest_death(host, now).since(claim.since);
        let (age, unanswered) = if host.has_reported() {
            // The times of starts by an earlier owner are not known.
            let earlier_ms = if claim.batch > 0 { OLD_MS } else { 0 };
            (age + Millis(earlier_ms), !claim.confirmed)
        } else {
            let age = age + Millis(OLD_MS);
            known.map_or((age, false), |known| (known.age, known.unanswered))
        };
        let loss = self.losses.iter().rfind(|loss| loss.host == *id);
        Some(Evidence {
            run: key.1,
            host: id.clone(),
            age,
            unanswered,
            explained: loss.is_some_and(|loss| loss.explained),
            beside: to_u32(rate.beside),
            unexplained: to_u32(rate.unexplained),
            chance_ppb: rate.chance_ppb(age, unanswered),
        })
    }

    /// Returns the chance of all crashes under each suspect right after its start.
    pub(super) fn joint_chances(&self, blame: &Blame) -> impl Iterator<Item = f64> {
        let suspects = blame.suspects.iter().zip(&blame.evidence);
        suspects.map(|((task, run), last)| {
            let is_young = |it: &&Evidence| {
                let mut crashes = self.crashes(*task).iter();
                it.run != *run && crashes.any(|crash| crash.run == it.run && crash.young)
            };
            let earlier = self.evidence(*task).iter().filter(is_young);
            earlier.map(Evidence::chance).product::<f64>() * last.chance()
        })
    }

    /// Returns the evidence against a task.
    pub(super) fn evidence(&self, name: TaskName) -> &[Evidence] {
        self.jobs
            .get(&name.step.job)
            .and_then(|job| job.task(name))
            .map_or(&[], |task| &task.evidence)
    }

    /// Records what a crash under a task proves. What is learnt later, such as other hosts lost at
    /// that time, can only weaken it.
    pub(super) fn record_evidence(
        &mut self,
        name: TaskName,
        evidence: Evidence,
        out: &mut Vec<Action>,
    ) {
        if self.add_evidence(name, &evidence) {
            self.record(Record::Weighed(name, evidence), out);
        }
    }

    /// Adds what a crash under a task proves; returns whether that changes what is known.
    pub(super) fn add_evidence(&mut self, name: TaskName, evidence: &Evidence) -> bool {
        let Some(task) = self.task(name) else {
            return false;
        };
        if !task.crashes.iter().any(|it| it.run == evidence.run) {
            return false;
        }
        let known = task.evidence.iter_mut().find(|it| it.run == evidence.run);
        match known {
            None => task.evidence.push(evidence.clone()),
            Some(known) if known.chance_ppb < evidence.chance_ppb => *known = evidence.clone(),
            Some(_) => return false,
        }
        true
    }

    /// Reports the evidence on which a job is given up.
    pub(super) fn report_verdict(&self, name: TaskName, out: &mut Vec<Action>) {
        out.push(Action::Verdict {
            task: name,
            evidence: self.evidence(name).to_vec(),
        });
    }
}
