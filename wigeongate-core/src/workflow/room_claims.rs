//! Free capacity for which the steps of a pass may ask for advice.
//!
//! Load pattern: a fleet that is nearly full, or a wide step that only a few full hosts may run, and
//! much work behind it. Calls for advice take the gates' time, and tickets expire unused, so that a step
//! asks only if earlier ones leave capacity for it. Each claims what it could use now on the hosts that
//! may run it; what it could not use is no reason for others to wait.

use crate::collections::HashMap;
use crate::ids::TeamId;
use crate::resources::Resources;

/// The tasks of a step that could start now if advice allowed each host.
#[derive(Debug, Clone, Copy)]
pub(super) struct RoomDemand<'a> {
    /// Capacity of one task.
    pub size: Resources,
    /// The number of tasks that fit on the hosts that may run the step.
    pub count: u64,
    /// A label that these hosts must have.
    pub label: Option<&'a str>,
    /// The team, with what its limit leaves before the claims of this pass; `None` without a limit.
    pub team: Option<(&'a TeamId, Resources)>,
}

/// Free capacity of one service that no step of the pass has claimed.
#[derive(Debug, Clone, Default)]
pub(super) struct UnclaimedRoom {
    /// That of all hosts.
    total: Resources,
    /// That of the hosts with a label, for each label that a step of the pass requires.
    labelled: HashMap<String, Resources>,
}

impl UnclaimedRoom {
    /// Adds the free capacity of a host.
    pub fn add(&mut self, free: Resources) {
        self.total += free;
    }

    /// Returns whether the free capacity of the hosts with a label is known.
    pub fn knows_label(&self, label: &str) -> bool {
        self.labelled.contains_key(label)
    }

    /// Sets the free capacity of the hosts with a label.
    pub fn set_label(&mut self, label: &str, free: Resources) {
        self.labelled.insert(label.to_owned(), free);
    }

    /// Claims the capacity that a step could use; `claimed` is what the teams have claimed in the pass.
    /// Returns whether any was left before.
    pub fn claim(
        &mut self,
        demand: &RoomDemand<'_>,
        claimed: &mut HashMap<TeamId, Resources>,
    ) -> bool {
        let mut count = demand.count;
        if let Some((team, left)) = demand.team {
            let left = left.saturating_sub(&claimed.get(team).copied().unwrap_or_default());
            count = count.min(left.count(&demand.size));
        }
        if count == 0 {
            return false;
        }
        let labelled = demand.label.and_then(|label| self.labelled.get_mut(label));
        let room = labelled
            .as_deref()
            .map_or(self.total, |room| self.total.min(room));
        let has_room = room.cpu > 0 && room.memory > 0;
        let mut wanted = demand.size.times(count);
        if let Some(labelled) = labelled {
            wanted = wanted.min(labelled);
            *labelled = labelled.saturating_sub(&wanted);
        }
        self.total = self.total.saturating_sub(&wanted);
        if let Some((team, _)) = demand.team {
            *claimed.entry(team.clone()).or_default() += wanted;
        }
        has_room
    }
}
