//! Decides where the most urgent work comes in the placement order, by how full its service is.
//!
//! Load pattern: bursts of priority 0 work on a full fleet, whose objective leaves less than a second
//! of waiting. See `docs/design/urgent-work.md`.

use crate::collections::HashMap;
use crate::resources::Resources;
use crate::time::Millis;

/// The time between two updates, in milliseconds; an update visits every waiting step.
const UPDATE_MS: u64 = 50;

/// One part in this many of a service stays unused where it counts as having room for all waiting
/// work, since tasks do not fit on every host that has free capacity.
const SPARE_DIVISOR: u64 = 8;

/// Capacity, use and demand of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceLoad {
    /// Capacity of the hosts that accept work.
    pub capacity: Resources,
    /// Capacity that runs use.
    pub used: Resources,
    /// Capacity that waiting work needs which can still meet its objective.
    pub waiting: Resources,
}

impl ServiceLoad {
    /// Returns whether all waiting work fits with some capacity to spare.
    fn has_room(&self) -> bool {
        let wanted = self.used.saturating_add(&self.waiting);
        let enough = |wanted: u64, capacity: u64| wanted <= capacity - capacity / SPARE_DIVISOR;
        enough(wanted.cpu, self.capacity.cpu)
            && enough(wanted.memory, self.capacity.memory)
            && enough(wanted.accelerators, self.capacity.accelerators)
    }
}

/// The load of each service.
#[derive(Debug, Default)]
pub struct UrgentRoom {
    services: HashMap<String, ServiceLoad>,
    /// When the loads were last updated; `None` before the first update.
    updated: Option<Millis>,
}

impl UrgentRoom {
    /// Returns whether an update is due.
    pub fn is_due(&self, now: Millis) -> bool {
        self.updated
            .is_none_or(|updated| now.since(updated).0 >= UPDATE_MS)
    }

    /// Replaces the loads of all services.
    pub fn update(&mut self, services: HashMap<String, ServiceLoad>, now: Millis) {
        self.services = services;
        self.updated = Some(now);
    }

    /// Returns the services and whether each has room for all waiting work that can meet its
    /// objective, in no order.
    pub fn services(&self) -> impl Iterator<Item = (&str, bool)> {
        let services = self.services.iter();
        services.map(|(service, load)| (service.as_str(), load.has_room()))
    }

    /// Returns whether a service has room for all waiting work that can meet its objective.
    pub fn has_room(&self, service: &str) -> bool {
        let load = self.services.get(service);
        load.is_some_and(ServiceLoad::has_room)
    }
}
