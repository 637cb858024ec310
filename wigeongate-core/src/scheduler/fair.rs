//! Weighted fairness by dominant resource.

use crate::resources::Resources;

/// Halvings of the interval in which the common level is sought.
const BISECTION_STEPS: u32 = 40;

/// The largest common level that is sought, as a part of the fleet.
const MAX_LEVEL: f64 = 2.0;

#[allow(clippy::cast_precision_loss)]
fn fraction(amount: u64, whole: u64) -> f64 {
    if whole == 0 {
        0.0
    } else {
        amount as f64 / whole as f64
    }
}

/// Returns each amount as a part of the whole.
pub(super) fn fractions(amount: &Resources, whole: &Resources) -> [f64; 3] {
    [
        fraction(amount.cpu, whole.cpu),
        fraction(amount.memory, whole.memory),
        fraction(amount.accelerators, whole.accelerators),
    ]
}

/// Returns the largest part of the whole, over all resources.
pub(super) fn dominant_share(amount: &Resources, whole: &Resources) -> f64 {
    let [cpu, memory, accelerators] = fractions(amount, whole);
    cpu.max(memory).max(accelerators)
}

/// What a team wants and weighs.
#[derive(Debug, Clone, Copy)]
pub(super) struct Demand {
    /// What it uses and what its queued work would use, as parts of the fleet.
    pub(super) fractions: [f64; 3],
    /// Its weight.
    pub(super) weight: f64,
}

impl Demand {
    fn dominant_share(&self) -> f64 {
        self.fractions.iter().copied().fold(0.0, f64::max)
    }

    fn share_at(&self, level: f64) -> f64 {
        self.dominant_share().min(level * self.weight)
    }
}

/// Returns the dominant share that each team is due.
///
/// All teams rise to a common level by weight, none above its demand, until a resource is full.
/// A team's own demand is what it is due while no resource is full.
pub(super) fn fair_shares(demands: &[Demand]) -> Vec<f64> {
    let full = |level: f64| {
        (0..3).any(|resource| {
            let used: f64 = demands
                .iter()
                .filter(|demand| demand.dominant_share() > 0.0)
                .map(|demand| {
                    demand.fractions[resource] * demand.share_at(level) / demand.dominant_share()
                })
                .sum();
            used > 1.0
        })
    };
    let (mut low, mut high) = (0.0, MAX_LEVEL);
    if !full(high) {
        return demands.iter().map(Demand::dominant_share).collect();
    }
    for _ in 0..BISECTION_STEPS {
        let middle = f64::midpoint(low, high);
        if full(middle) {
            high = middle;
        } else {
            low = middle;
        }
    }
    demands.iter().map(|demand| demand.share_at(low)).collect()
}
