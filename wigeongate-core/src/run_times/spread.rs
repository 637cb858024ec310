//! The distribution of run times around their expected values.

/// The number of intervals.
pub(super) const BINS: usize = 48;

/// The width of an interval, a factor of 1.13.
const WIDTH: f64 = 0.125;

/// The lower end of the first interval, a factor of 0.08.
const LOWEST: f64 = -2.5;

/// The standard deviation that is assumed before runs have shown another.
const PRIOR_DEVIATION: f64 = 0.4;

/// The number of runs that the assumed distribution counts for.
const PRIOR_RUNS: f64 = 4.0;

/// The number of the newest runs that the distribution rests on.
const WINDOW: f64 = 400.0;

/// The least weight of the runs that lasted longer from which their distribution is taken.
const MIN_WEIGHT: f64 = 0.05;

/// The median and the worst tenth of the time that a run takes which has outlasted all others, as
/// logarithms of multiples of the time that it has run: the longer it has run, the longer it goes on.
const OUTLASTING: [f64; 2] = [0.4, 1.1];

/// The shares of the runs beyond the quantiles of a forecast: the median and the worst tenth.
const BEYOND: [f64; 2] = [0.5, 0.1];

/// A histogram of the logarithm of run time divided by expected run time.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Spread {
    weights: [f64; BINS],
}

impl Default for Spread {
    fn default() -> Self {
        let mut weights = [0.0; BINS];
        for (at, weight) in weights.iter_mut().enumerate() {
            let distance = (lower_end(at) + WIDTH / 2.0) / PRIOR_DEVIATION;
            *weight = (-distance * distance / 2.0).exp();
        }
        let total: f64 = weights.iter().sum();
        let weights = weights.map(|weight| weight * PRIOR_RUNS / total);
        Self { weights }
    }
}

impl Spread {
    /// Returns the distribution with these weights; `None` if they are not such a distribution.
    pub(super) fn from_weights(weights: &[f32]) -> Option<Self> {
        let is_valid = |weight: &&f32| **weight >= 0.0 && f64::from(**weight) <= 2.0 * WINDOW;
        if weights.len() != BINS || !weights.iter().all(|weight| is_valid(&weight)) {
            return None;
        }
        let mut copy = [0.0; BINS];
        for (to, from) in copy.iter_mut().zip(weights) {
            *to = f64::from(*from);
        }
        let total: f64 = copy.iter().sum();
        (total >= PRIOR_RUNS / 2.0).then_some(Self { weights: copy })
    }

    pub(super) const fn weights(&self) -> &[f64; BINS] {
        &self.weights
    }

    /// Adds a run.
    pub(super) fn add(&mut self, residual: f64) {
        self.forget();
        self.weights[bin_of(residual)] += 1.0;
    }

    /// Adds a run of which only a lower bound is known: it is distributed like the runs above the
    /// bound.
    pub(super) fn add_above(&mut self, from: f64) {
        self.forget();
        let above = self.above(from);
        if above < MIN_WEIGHT {
            self.weights[bin_of(from + OUTLASTING[0])] += 1.0;
            return;
        }
        for (at, weight) in self.weights.iter_mut().enumerate() {
            *weight += *weight * share_above(at, from) / above;
        }
    }

    /// Returns the median and the worst tenth of the runs that lasted longer than `from`.
    pub(super) fn quantiles(&self, from: Option<f64>) -> [f64; 2] {
        let from = from.unwrap_or(f64::NEG_INFINITY);
        let above = self.above(from);
        if above < MIN_WEIGHT {
            let from = from.max(LOWEST);
            return OUTLASTING.map(|further| from + further);
        }
        BEYOND.map(|beyond| self.exceeded_by(above * beyond).max(from))
    }

    fn forget(&mut self) {
        let total: f64 = self.weights.iter().sum();
        if total > WINDOW {
            for weight in &mut self.weights {
                *weight *= WINDOW / total;
            }
        }
    }

    /// Returns the weight of the runs above a value.
    fn above(&self, from: f64) -> f64 {
        let parts = self.weights.iter().enumerate();
        parts
            .map(|(at, weight)| weight * share_above(at, from))
            .sum()
    }

    /// Returns the value above which runs of this weight lie.
    fn exceeded_by(&self, weight: f64) -> f64 {
        let mut left = weight;
        for (at, here) in self.weights.iter().enumerate().rev() {
            if *here >= left {
                let part = if *here > 0.0 { left / here } else { 0.0 };
                return lower_end(at) + WIDTH * (1.0 - part);
            }
            left -= here;
        }
        LOWEST
    }
}

#[expect(clippy::cast_precision_loss, reason = "there are few intervals")]
fn lower_end(at: usize) -> f64 {
    LOWEST + WIDTH * at as f64
}

/// Returns the share of an interval that lies above a value.
fn share_above(at: usize, from: f64) -> f64 {
    ((lower_end(at) + WIDTH - from) / WIDTH).clamp(0.0, 1.0)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is bounded by the number of intervals"
)]
fn bin_of(residual: f64) -> usize {
    (((residual - LOWEST) / WIDTH).max(0.0) as usize).min(BINS - 1)
}
