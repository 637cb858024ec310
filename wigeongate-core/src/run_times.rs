//! Predicts run times from the callers' estimates and from finished runs.
//!
//! All quantities are natural logarithms of times in milliseconds. The runs of a queue, of a team in
//! it and of an image of that team form nested groups. A forecast is the mean run time of the
//! innermost group plus the deviation of the estimate from the group's mean estimate, weighted by how
//! much such deviations have told so far. A caller whose estimates are wrong by a constant factor
//! therefore gets the same forecasts as one whose estimates are right, and random estimates lose their
//! weight. Without samples, the forecast is the estimate.

mod spread;
mod stored;

use crate::collections::HashMap;
use crate::ids::{QueueId, TeamId};
use crate::time::Millis;

pub use stored::{Rejection, StoredRunTimes};

use self::spread::Spread;

/// The most queues, each with its spread; bounds the stored state to 16 KiB together with
/// [`MAX_GROUPS`].
pub const MAX_QUEUES: usize = 20;

/// The most groups of teams and images.
pub const MAX_GROUPS: usize = 240;

/// The most teams of one queue.
pub const MAX_TEAMS: usize = 48;

/// The most images of one team in a queue. Callers choose images, so that a caller with many displaces
/// only its own.
pub const MAX_IMAGES: usize = 16;

/// The number of a queue's newest runs that its means and its slope rest on.
const QUEUE_WINDOW: f64 = 1_000.0;

/// The number of the newest runs that the means of a team or an image rest on.
const GROUP_WINDOW: f64 = 150.0;

/// The number of runs that the absence of a bias of the estimates counts for.
const PRIOR_RUNS: f64 = 2.0;

/// The number of runs that the means of the enclosing group count for.
const GROUP_PRIOR_RUNS: f64 = 6.0;

/// The sum of squared deviations that the weight of the enclosing group counts for; estimates that are
/// off by 50% reach it in some twenty runs.
const PRIOR_SQUARES: f64 = 2.0;

/// The number of runs of a queue from which on outliers are bounded and the spread is learnt.
const MIN_RUNS: f64 = 8.0;

/// The largest effect of one run on the means. Some tasks take several times as long as others and
/// belong to the spread.
const MAX_RESIDUAL: f64 = 1.0;

/// The least bound on the deviation of an estimate that counts, a factor of 4.5.
const MIN_DEVIATION: f64 = 1.5;

/// The bound on the deviation of an estimate that counts, in standard deviations.
const DEVIATIONS: f64 = 3.0;

/// The class of a task: tasks of the same queue, team and image behave alike.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RunClass {
    queue: u64,
    team: Option<u64>,
    image: Option<u64>,
}

impl RunClass {
    /// Returns the class of a task. The members of a gang form classes of their own.
    pub fn new(queue: &QueueId, gang: bool, team: Option<&TeamId>, image: Option<&str>) -> Self {
        let queue = key(u64::from(gang), "queue", queue.as_str());
        let team = team.map(|team| key(queue, "team", team.as_str()));
        let image = image.map(|image| key(team.unwrap_or(queue), "image", image));
        Self { queue, team, image }
    }

    /// Returns the groups inside the queue with their parents, the outermost first.
    fn groups(self) -> impl Iterator<Item = (u64, u64, usize)> {
        let team = self.team.map(|team| (team, self.queue, MAX_TEAMS));
        let parent = self.team.unwrap_or(self.queue);
        let image = self.image.map(|image| (image, parent, MAX_IMAGES));
        team.into_iter().chain(image)
    }
}

/// Returns the key of a group; it is stored, so that it must not change between versions.
fn key(parent: u64, kind: &str, name: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&parent.to_le_bytes());
    hasher.update(kind.as_bytes());
    hasher.update(name.as_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}

/// The predicted run time of a task, from its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Forecast {
    /// The time that half of such runs exceed.
    pub median: Millis,
    /// The time that a tenth of such runs exceed; never below `median`.
    pub worst: Millis,
}

/// Means and covariance of the logarithms of estimates and run times.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Sums {
    runs: f64,
    mean_estimate: f64,
    mean_time: f64,
    squares: f64,
    products: f64,
}

impl Sums {
    /// Adds a run with the deviations of its estimate and its time from the means expected before.
    fn add(&mut self, run: Sample, window: f64) {
        // All runs weigh the same until the window is full.
        let kept = if self.runs + 1.0 > window {
            1.0 - 1.0 / window
        } else {
            1.0
        };
        self.runs = self.runs * kept + 1.0;
        self.mean_estimate += (run.estimate - self.mean_estimate) / self.runs;
        self.mean_time += (run.time - self.mean_time) / self.runs;
        self.squares = self.squares * kept + run.deviation * run.deviation;
        self.products = self.products * kept + run.deviation * run.time_deviation;
    }
}

/// One run, as it enters the sums.
#[derive(Debug, Clone, Copy)]
struct Sample {
    estimate: f64,
    time: f64,
    deviation: f64,
    time_deviation: f64,
}

/// What a class and an estimate predict.
#[derive(Debug, Clone, Copy)]
struct Prediction {
    mean_estimate: f64,
    mean_time: f64,
    slope: f64,
    /// The largest deviation of an estimate that counts.
    bound: f64,
    deviation: f64,
}

impl Prediction {
    fn time(&self) -> f64 {
        self.mean_time + self.slope * self.deviation
    }
}

#[derive(Debug)]
struct Queue {
    sums: Sums,
    spread: Spread,
    /// Number of the sample that was added last.
    used: u64,
}

#[derive(Debug)]
struct Group {
    parent: u64,
    sums: Sums,
    /// Number of the sample that was added last.
    used: u64,
}

/// What the finished runs have shown.
#[derive(Debug, Default)]
pub struct RunTimes {
    queues: HashMap<u64, Queue>,
    groups: HashMap<u64, Group>,
    samples: u64,
}

impl RunTimes {
    /// Returns the number of samples so far; it changes whenever forecasts may.
    pub const fn samples(&self) -> u64 {
        self.samples
    }

    /// Returns the number of queues and of groups inside them.
    pub fn sizes(&self) -> (usize, usize) {
        (self.queues.len(), self.groups.len())
    }

    /// Predicts the run time of a task that has already run for `ran`.
    pub fn forecast(&self, class: RunClass, estimate: Millis, ran: Millis) -> Forecast {
        let expected = self.predict(class, log_of(estimate)).time();
        let unknown = Spread::default();
        let spread = self.queues.get(&class.queue).map(|queue| &queue.spread);
        let spread = spread.unwrap_or(&unknown);
        let from = (ran.0 > 0).then(|| log_of(ran) - expected);
        let quantiles = spread.quantiles(from);
        let [median, worst] = quantiles.map(|residual| time_of(expected + residual).max(ran));
        Forecast { median, worst }
    }

    /// Learns from a run that took `ran` from start to end.
    pub fn record(&mut self, class: RunClass, estimate: Millis, ran: Millis) {
        let estimate = log_of(estimate);
        let expected = self.predict(class, estimate).time();
        let residual = log_of(ran) - expected;
        self.learn(class, estimate, residual);
        if let Some(queue) = self.queues.get_mut(&class.queue)
            && queue.sums.runs > MIN_RUNS
        {
            queue.spread.add(residual);
        }
    }

    /// Learns from a run that would have taken longer than `ran`. A run that was stopped before its
    /// expected end says nothing.
    pub fn record_longer(&mut self, class: RunClass, estimate: Millis, ran: Millis) {
        let estimate = log_of(estimate);
        let from = log_of(ran) - self.predict(class, estimate).time();
        let Some(queue) = self.queues.get_mut(&class.queue) else {
            return;
        };
        if queue.sums.runs <= MIN_RUNS || from <= queue.spread.quantiles(None)[0] {
            return;
        }
        let [residual, _] = queue.spread.quantiles(Some(from));
        queue.spread.add_above(from);
        self.learn(class, estimate, residual);
    }

    /// Adds a run to the sums of its class.
    fn learn(&mut self, class: RunClass, estimate: f64, residual: f64) {
        self.samples += 1;
        self.make_room(class);
        let prediction = self.predict(class, estimate);
        let samples = self.samples;
        let queue = self.queues.entry(class.queue).or_insert_with(|| Queue {
            sums: Sums::default(),
            spread: Spread::default(),
            used: samples,
        });
        let residual = if queue.sums.runs < MIN_RUNS {
            residual
        } else {
            residual.clamp(-MAX_RESIDUAL, MAX_RESIDUAL)
        };
        let time = prediction.time() + residual;
        let sample = Sample {
            estimate,
            time,
            deviation: prediction.deviation,
            time_deviation: time - prediction.mean_time,
        };
        queue.sums.add(sample, QUEUE_WINDOW);
        queue.used = samples;
        for (key, parent, _) in class.groups() {
            let group = self.groups.entry(key).or_insert_with(|| Group {
                parent,
                sums: Sums::default(),
                used: samples,
            });
            group.sums.add(sample, GROUP_WINDOW);
            group.used = samples;
        }
    }

    fn predict(&self, class: RunClass, estimate: f64) -> Prediction {
        let mut prediction = Prediction {
            mean_estimate: estimate,
            mean_time: estimate,
            slope: 1.0,
            bound: f64::INFINITY,
            deviation: 0.0,
        };
        let Some(queue) = self.queues.get(&class.queue) else {
            return prediction;
        };
        let sums = queue.sums;
        let share = sums.runs / (sums.runs + PRIOR_RUNS);
        prediction.mean_estimate = sums.mean_estimate;
        prediction.mean_time = sums.mean_estimate + share * (sums.mean_time - sums.mean_estimate);
        prediction.slope = slope(&sums, 1.0);
        if sums.runs >= MIN_RUNS {
            let deviation = (sums.squares / sums.runs).sqrt();
            prediction.bound = (DEVIATIONS * deviation).max(MIN_DEVIATION);
        }
        for (key, ..) in class.groups() {
            let Some(group) = self.groups.get(&key) else {
                break;
            };
            let sums = group.sums;
            let share = sums.runs / (sums.runs + GROUP_PRIOR_RUNS);
            prediction.mean_estimate += share * (sums.mean_estimate - prediction.mean_estimate);
            prediction.mean_time += share * (sums.mean_time - prediction.mean_time);
            prediction.slope = slope(&sums, prediction.slope);
        }
        let bound = prediction.bound;
        prediction.deviation = (estimate - prediction.mean_estimate).clamp(-bound, bound);
        prediction
    }

    /// Removes the groups that were used least recently where the class needs new ones.
    fn make_room(&mut self, class: RunClass) {
        if !self.queues.contains_key(&class.queue) && self.queues.len() >= MAX_QUEUES {
            let oldest = self.queues.iter().min_by_key(|(_, queue)| queue.used);
            if let Some((&oldest, _)) = oldest {
                self.queues.remove(&oldest);
                self.remove_children(oldest);
            }
        }
        for (key, parent, most) in class.groups() {
            let siblings = self.groups.values().filter(|it| it.parent == parent);
            if !self.groups.contains_key(&key) && siblings.count() >= most {
                self.remove_oldest(Some(parent));
            }
        }
        while self.groups.len() + self.missing_groups(class) > MAX_GROUPS {
            self.remove_oldest(None);
        }
    }

    fn missing_groups(&self, class: RunClass) -> usize {
        let is_missing = |(key, ..): &(u64, u64, usize)| !self.groups.contains_key(key);
        class.groups().filter(is_missing).count()
    }

    /// Removes the group that was used least recently, of one parent or of all.
    fn remove_oldest(&mut self, parent: Option<u64>) {
        let oldest = self
            .groups
            .iter()
            .filter(|(_, group)| parent.is_none_or(|parent| group.parent == parent))
            .min_by_key(|(key, group)| (group.used, **key));
        if let Some((&oldest, _)) = oldest {
            self.groups.remove(&oldest);
            self.remove_children(oldest);
        }
    }

    fn remove_children(&mut self, parent: u64) {
        let children: Vec<u64> = self
            .groups
            .iter()
            .filter(|(_, group)| group.parent == parent)
            .map(|(key, _)| *key)
            .collect();
        for child in children {
            self.groups.remove(&child);
            self.remove_children(child);
        }
    }
}

/// Returns how much a deviation of the estimate tells of the run time, given the weight in the
/// enclosing group.
fn slope(sums: &Sums, outer: f64) -> f64 {
    let slope = (sums.products + PRIOR_SQUARES * outer) / (sums.squares + PRIOR_SQUARES);
    slope.clamp(0.0, 1.0)
}

#[expect(clippy::cast_precision_loss, reason = "times of a day are exact")]
fn log_of(time: Millis) -> f64 {
    (time.0.max(1) as f64).ln()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the result is positive, and large values saturate"
)]
fn time_of(log: f64) -> Millis {
    Millis(log.exp().round() as u64)
}
