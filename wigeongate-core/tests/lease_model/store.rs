//! The store: leases, the ownership and the log of the owners.

use std::collections::BTreeMap;

use wigeongate_core::workflow::{Record, Workflow};

/// The ownership and its lease.
#[derive(Debug, Clone, Copy)]
pub struct Ownership {
    /// The epoch of the owner.
    pub epoch: u64,
    /// The lease that the owner's key is attached to.
    pub lease: u64,
}

/// The parts of the store that owners use.
#[derive(Debug, Default)]
pub struct Store {
    /// The end of each lease that has not been ended by a call.
    leases: BTreeMap<u64, u64>,
    next_lease: u64,
    ownership: Option<Ownership>,
    epoch: u64,
    down_until: u64,
    /// The batches of the log, by epoch and number.
    pub log: BTreeMap<(u64, u64), Vec<Record>>,
    /// The accepted jobs.
    pub jobs: Vec<Workflow>,
}

impl Store {
    /// Returns whether calls are carried out.
    pub const fn is_up(&self, now: u64) -> bool {
        now >= self.down_until
    }

    /// Takes the store down; leases pause or go on meanwhile.
    pub fn fail(&mut self, now: u64, duration: u64, pauses: bool) {
        self.down_until = self.down_until.max(now + duration);
        if pauses {
            for until in self.leases.values_mut().filter(|until| **until > now) {
                *until += duration;
            }
        }
    }

    fn holds(&self, lease: u64, now: u64) -> bool {
        self.leases.get(&lease).is_some_and(|until| *until > now)
    }

    /// Returns the ownership; `None` if it is free.
    pub fn owner(&self, now: u64) -> Option<Ownership> {
        self.ownership.filter(|owner| self.holds(owner.lease, now))
    }

    /// Grants a lease.
    pub fn grant(&mut self, now: u64, ttl: u64) -> u64 {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, now + ttl);
        self.next_lease
    }

    /// Renews a lease; returns false if it has ended.
    pub fn renew(&mut self, lease: u64, now: u64, ttl: u64) -> bool {
        let holds = self.holds(lease, now);
        if holds {
            self.leases.insert(lease, now + ttl);
        }
        holds
    }

    /// Ends the lease of the ownership, or only removes its key.
    pub fn remove_owner(&mut self, ends_lease: bool) {
        if let Some(owner) = self.ownership.take()
            && ends_lease
        {
            self.leases.remove(&owner.lease);
        }
    }

    /// Ends a lease.
    pub fn revoke(&mut self, lease: u64) {
        self.leases.remove(&lease);
    }

    /// Takes the ownership over if it is free; returns its epoch.
    pub fn take_over(&mut self, lease: u64, now: u64) -> Option<u64> {
        if self.owner(now).is_some() || !self.holds(lease, now) {
            return None;
        }
        self.epoch += 1;
        self.ownership = Some(Ownership {
            epoch: self.epoch,
            lease,
        });
        Some(self.epoch)
    }

    /// Writes a batch of the log if its owner still is one; returns whether it is there.
    pub fn write(&mut self, batch: (u64, u64), records: &[Record], now: u64) -> bool {
        let is_owner = self.owner(now).is_some_and(|owner| owner.epoch == batch.0);
        if is_owner {
            self.log.insert(batch, records.to_vec());
        }
        self.log.contains_key(&batch)
    }
}
