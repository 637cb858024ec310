//! Learns how much longer runs take on each host than predicted.
//!
//! Ratios are kept as natural logarithms. Two averages serve two kinds of slow hosts: a mean over many
//! runs tells hosts of another type, which are slower by a third, and a median over the last seconds
//! tells hosts that have become several times slower. The median also takes the runs that are overdue,
//! since those on a slow host end late, and it is not moved by the few tasks that take long anywhere.

use std::collections::VecDeque;

use crate::collections::HashMap;
use crate::ids::HostId;
use crate::time::Millis;

/// How long a run counts for the median, in milliseconds. A host that gets no work while it is slow is
/// trusted again after this time.
const RECENT_MS: u64 = 4_000;

/// The most ended runs that the median rests on.
const MAX_RECENT: usize = 16;

/// The fewest runs that the median rests on.
const MIN_RECENT: usize = 5;

/// The most runs of one job that count for the median of a host, since the forecasts for the tasks of a
/// job are wrong together.
const MAX_OF_JOB: usize = 2;

/// How much longer an overdue run is taken to go on, as a logarithm, a factor of 1.3.
const FURTHER_LOG: f64 = 0.25;

/// The logarithm of the ratio from which on a host is slow, a factor of 1.8.
const SLOW_LOG: f64 = 0.59;

/// The number of the newest runs that the mean rests on.
const STEADY_RUNS: f64 = 64.0;

/// The fewest runs that the mean rests on.
const MIN_STEADY: f64 = 12.0;

/// The largest effect of one run on the mean, a factor of 2.
const MAX_STEADY_LOG: f64 = 0.7;

/// The logarithm of the ratio from which on a host is of a slower type, a factor of 1.15: half-way
/// between equal hosts and those that take 1.3 times as long.
const SLOWER_LOG: f64 = 0.14;

/// The fewest hosts that others are compared with.
const MIN_HOSTS: usize = 4;

/// How fast a host is compared with the others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Speed {
    /// Like most hosts, or not known.
    #[default]
    Usual,
    /// Somewhat slower for long, such as a host of another type.
    Slower,
    /// Several times slower at present.
    Slow,
}

/// A run that has exceeded its worst tenth and goes on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OverdueRun {
    /// Its job.
    pub job: u64,
    /// The time that it has run for, as a multiple of its forecast.
    pub ratio: f64,
    /// The time since it exceeded its worst tenth.
    pub excess: Millis,
}

#[derive(Debug)]
struct EndedRun {
    at: Millis,
    job: u64,
    log: f64,
}

#[derive(Debug, Default)]
struct HostSpeed {
    /// The newest ended runs, the oldest first.
    recent: VecDeque<EndedRun>,
    /// Jobs of the runs that are overdue, with the ratios that they are taken to end with.
    overdue: Vec<(u64, f64)>,
    /// Number of runs in the mean.
    runs: f64,
    mean: f64,
    /// The median of the last seconds when the hosts were judged last, if enough runs are known.
    median: Option<f64>,
    speed: Speed,
}

impl HostSpeed {
    /// Drops old runs and computes the median of the others.
    fn refresh(&mut self, now: Millis) {
        let is_old = |run: &EndedRun| now.since(run.at).0 > RECENT_MS;
        while self.recent.front().is_some_and(is_old) {
            self.recent.pop_front();
        }
        let ended = self.recent.iter().rev().map(|run| (run.job, run.log));
        let runs = self.overdue.iter().copied().chain(ended);
        let mut counted: Vec<(u64, f64)> = Vec::with_capacity(MAX_RECENT);
        for (job, log) in runs.take(2 * MAX_RECENT) {
            let of_job = counted.iter().filter(|(other, _)| *other == job);
            if of_job.count() < MAX_OF_JOB {
                counted.push((job, log));
            }
        }
        let mut logs: Vec<f64> = counted.into_iter().map(|(_, log)| log).collect();
        self.median = (logs.len() >= MIN_RECENT).then(|| nth(&mut logs, 2));
    }

    fn has_mean(&self) -> bool {
        self.runs >= MIN_STEADY
    }
}

/// How much longer runs take on each host than predicted.
#[derive(Debug, Default)]
pub struct HostSpeeds {
    hosts: HashMap<HostId, HostSpeed>,
}

impl HostSpeeds {
    /// Records a run that ended after `ratio` times its forecast.
    pub fn record(&mut self, host: &HostId, job: u64, ratio: f64, now: Millis) {
        let log = log_of(ratio);
        let state = self.state(host);
        if state.recent.len() >= MAX_RECENT {
            state.recent.pop_front();
        }
        state.recent.push_back(EndedRun { at: now, job, log });
        state.runs = (state.runs + 1.0).min(STEADY_RUNS);
        let bounded = log.clamp(-MAX_STEADY_LOG, MAX_STEADY_LOG);
        state.mean += (bounded - state.mean) / state.runs;
    }

    /// Sets the runs on a host that have exceeded their worst tenth and go on. Those that did so long
    /// ago tell of their tasks rather than of the host.
    pub fn set_overdue(&mut self, host: &HostId, runs: &[OverdueRun]) {
        if !runs.is_empty() || self.hosts.contains_key(host) {
            let recent = runs.iter().filter(|run| run.excess.0 <= RECENT_MS);
            let logs = recent.map(|run| (run.job, log_of(run.ratio) + FURTHER_LOG));
            self.state(host).overdue = logs.collect();
        }
    }

    fn state(&mut self, host: &HostId) -> &mut HostSpeed {
        if !self.hosts.contains_key(host) {
            self.hosts.insert(host.clone(), HostSpeed::default());
        }
        self.hosts.entry(host.clone()).or_default()
    }

    /// Forgets the hosts that are not known any more.
    pub fn retain(&mut self, is_known: impl Fn(&HostId) -> bool) {
        self.hosts.retain(|id, _| is_known(id));
    }

    /// Judges all hosts by what is known at `now`.
    pub fn refresh(&mut self, now: Millis) {
        for host in self.hosts.values_mut() {
            host.refresh(now);
        }
        let medians = self.hosts.values().filter_map(|host| host.median);
        // Where all hosts seem slow, the forecasts are wrong.
        let usual = lower(medians.collect(), 2).max(0.0);
        let means = self.hosts.values().filter(|host| host.has_mean());
        let fast = lower(means.map(|host| host.mean).collect(), 4);
        for host in self.hosts.values_mut() {
            let is_slow = host.median.is_some_and(|median| median - usual >= SLOW_LOG);
            host.speed = if is_slow {
                Speed::Slow
            } else if host.has_mean() && host.mean - fast >= SLOWER_LOG {
                Speed::Slower
            } else {
                Speed::Usual
            };
        }
    }

    /// Returns how fast a host was when all were judged last.
    pub fn speed(&self, host: &HostId) -> Speed {
        self.hosts
            .get(host)
            .map(|host| host.speed)
            .unwrap_or_default()
    }

    /// Returns how many hosts are slower and how many are slow.
    pub fn counts(&self) -> (usize, usize) {
        let count = |speed| {
            self.hosts
                .values()
                .filter(|host| host.speed == speed)
                .count()
        };
        (count(Speed::Slower), count(Speed::Slow))
    }
}

fn log_of(ratio: f64) -> f64 {
    ratio.clamp(1e-3, 1e3).ln()
}

/// Returns the value above one part in `parts` of the values.
fn nth(values: &mut [f64], parts: usize) -> f64 {
    let at = values.len() / parts;
    *values.select_nth_unstable_by(at, f64::total_cmp).1
}

/// Returns the value above one part in `parts` of the hosts' values; zero for too few hosts.
fn lower(mut values: Vec<f64>, parts: usize) -> f64 {
    if values.len() < MIN_HOSTS {
        return 0.0;
    }
    nth(&mut values, parts)
}
