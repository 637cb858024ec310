//! Weighted dominant resource fairness.

use crate::resources::Resources;

/// Steps of the bisection that searches for the common level.
const BISECTION_STEPS: u32 = 40;

/// The upper bound of the search for the common level, as a fraction of the fleet.
const MAX_LEVEL: f64 = 2.0;

#[allow(clippy::cast_precision_loss)]
fn fraction(amount: u64, whole: u64) -> f64 {
    if whole == 0 {
        0.0
    } else {
        amount as f64 / whole as f64
    }
}

/// Returns the amount of each resource as a fraction of the whole: processors, memory,
/// accelerators.
pub(crate) fn fractions(amount: &Resources, whole: &Resources) -> [f64; 3] {
    [
        fraction(amount.cpu, whole.cpu),
        fraction(amount.memory, whole.memory),
        fraction(amount.accelerators, whole.accelerators),
    ]
}

/// Returns the dominant share of an amount: the largest of its fractions of the whole.
pub(crate) fn dominant_share(amount: &Resources, whole: &Resources) -> f64 {
    let [cpu, memory, accelerators] = fractions(amount, whole);
    cpu.max(memory).max(accelerators)
}

/// The demand and the weight of a team.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Demand {
    /// What the team uses and what its queued work would use, as fractions of the fleet.
    pub(crate) fractions: [f64; 3],
    /// Weight of the team against the others.
    pub(crate) weight: f64,
}

impl Demand {
    pub(crate) fn dominant_share(&self) -> f64 {
        self.fractions.iter().copied().fold(0.0, f64::max)
    }

    /// Returns the dominant share that the team has at a common level, at most its demand.
    fn share_at(&self, level: f64) -> f64 {
        self.dominant_share().min(level * self.weight)
    }
}

/// Returns whether the demands together exceed the whole in some resource.
pub(crate) fn exceed_whole(demands: &[Demand]) -> bool {
    let wanted = |resource: usize| demands.iter().map(|it| it.fractions[resource]).sum::<f64>();
    (0..3).any(|resource| wanted(resource) > 1.0)
}

/// Returns the fair dominant share of each team, in the order of `demands`.
///
/// The shares of all teams grow in proportion to their weights, none above the team's demand, until
/// a resource is used up. While no resource is used up, each team's share is its whole demand.
pub(crate) fn fair_shares(demands: &[Demand]) -> Vec<f64> {
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
