//! The state of the membership, guarded by one lock.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::{Epoch, GateId, Revision, Unit, ZoneId};
use wigeongate_core::ownership::{Lease, LeaseTiming, Observer, PromiseMembers};
use wigeongate_core::time::Millis;

use super::record::{GATES_PREFIX, GateRecord, UNITS_PREFIX, UnitRecord, decode};
use crate::cluster::{Member, MemberStatus, OwnedUnit, UnitOwner, View};
use crate::message::Digest;
use crate::message::members::{Announcement, GateReport};
use crate::store::{Entry, FeedUpdate, KeyChange};

/// How long after its last message a gate counts as present.
pub const PRESENCE_TIMEOUT: Millis = Millis::from_secs(3);

/// The last information received from another gate.
#[derive(Debug, Clone, Default)]
pub struct GateContact {
    /// The time of its last heartbeat or reply.
    pub last_heard: Millis,
    /// Its last report about itself.
    pub report: GateReport,
    /// Its last announcement.
    pub announcement: Arc<Announcement>,
    /// The version of this gate's announcement that it acknowledged.
    pub acked_version: u64,
}

/// The handover of a unit to another gate.
#[derive(Debug, Clone)]
pub struct Handover {
    /// The time when the handover started.
    pub started: Millis,
    /// Whether the parts that act on the unit have stopped or have to be regarded as stopped.
    pub stopped: bool,
    /// The gate that should take the unit; `None` if the unit should no longer exist.
    pub to: Option<GateId>,
}

/// The record of a unit with its revision.
#[derive(Debug, Clone)]
pub struct KnownUnit {
    /// The record.
    pub record: UnitRecord,
    /// The revision of its last change.
    pub revision: i64,
    /// The time when this revision was received.
    pub since: Millis,
}

impl KnownUnit {
    /// Returns the epoch of the ownership.
    pub fn epoch(&self) -> Epoch {
        Epoch(u64::try_from(self.revision).unwrap_or_default())
    }
}

/// What a gate knows about itself and the other gates.
#[derive(Debug)]
pub struct State {
    /// The name of this gate.
    pub gate: GateId,
    /// The availability zone of this gate.
    pub zone: ZoneId,
    /// The address at which this gate listens for the others.
    pub peer_address: SocketAddr,
    /// The durations of leases and promises.
    pub timing: LeaseTiming,
    /// The lease of this gate, held by its own record.
    pub lease: Lease,
    /// The observed records of the other gates, and refusals and promises.
    pub observer: Observer,
    /// The record of each gate in the store, including this one's.
    pub gates: BTreeMap<GateId, GateRecord>,
    /// The record of each unit that has one.
    pub units: BTreeMap<Unit, KnownUnit>,
    /// The handovers that this gate has started but not yet written.
    pub handovers: BTreeMap<Unit, Handover>,
    /// The units for which a new epoch was requested.
    pub epoch_requests: BTreeSet<Unit>,
    /// For each unit taken by this gate, how long after the takeover the previous owner may still
    /// have renewed leases on workers.
    pub takeover_grace: BTreeMap<Unit, Millis>,
    /// The last information received from each other gate.
    pub contacts: BTreeMap<GateId, GateContact>,
    /// The announcement that this gate sends to the others.
    pub announcement: Arc<Announcement>,
    /// The revision of the configuration in force here.
    pub revision: Revision,
    /// The time when the record of this incarnation was first written.
    pub joined: Option<Millis>,
    /// Whether this gate is about to stop.
    pub leaving: bool,
    /// The time of the last answer from the store.
    pub store_answered: Option<Millis>,
    /// Whether the records of gates, and those of units, were read.
    pub loaded: (bool, bool),
    /// The time when the set of present gates last changed.
    pub presence_changed: Millis,
    /// The time when the record of a unit last changed.
    pub units_changed: Millis,
}

impl State {
    /// Creates the state of a gate that has read no records yet.
    pub fn new(gate: GateId, zone: ZoneId, timing: LeaseTiming) -> Self {
        let peer_address = SocketAddr::from(([0, 0, 0, 0], 0));
        Self {
            gate,
            zone,
            peer_address,
            timing,
            lease: Lease::new(timing, 0),
            observer: Observer::new(timing, peer_address),
            gates: BTreeMap::new(),
            units: BTreeMap::new(),
            handovers: BTreeMap::new(),
            epoch_requests: BTreeSet::new(),
            takeover_grace: BTreeMap::new(),
            contacts: BTreeMap::new(),
            announcement: Arc::default(),
            revision: Revision::default(),
            joined: None,
            leaving: false,
            store_answered: None,
            loaded: (false, false),
            presence_changed: Millis::ZERO,
            units_changed: Millis::ZERO,
        }
    }

    /// Returns the last digest of each present gate, including this one.
    pub fn digests(&self, now: Millis) -> HashMap<GateId, Arc<Digest>> {
        let contacts = self.recent_contacts(now);
        let announcements = contacts.map(|(gate, contact)| (gate, &contact.announcement));
        announcements
            .chain(std::iter::once((&self.gate, &self.announcement)))
            .map(|(gate, announcement)| (gate.clone(), announcement.digest.clone()))
            .collect()
    }

    /// Returns whether the record of a unit names this incarnation as the owner.
    pub fn is_mine(&self, known: &KnownUnit) -> bool {
        let owner = known.record.owner.as_ref();
        owner.is_some_and(|owner| {
            owner.gate == self.gate && owner.incarnation == self.lease.incarnation()
        })
    }

    /// Returns the owner of a unit; `None` if it has none or its owner was evicted.
    pub fn owner(&self, unit: &Unit) -> Option<&GateId> {
        let owner = self.units.get(unit)?.record.owner.as_ref()?;
        if owner.gate == self.gate {
            return (owner.incarnation == self.lease.incarnation()).then_some(&owner.gate);
        }
        let record = self.gates.get(&owner.gate)?;
        (record.incarnation == owner.incarnation).then_some(&owner.gate)
    }

    /// Returns the owner of each unit that has one.
    pub fn owners(&self) -> BTreeMap<Unit, GateId> {
        let owned = |unit: &Unit| Some((unit.clone(), self.owner(unit)?.clone()));
        self.units.keys().filter_map(owned).collect()
    }

    /// Returns the units that this gate owns.
    pub fn owned_units(&self) -> impl Iterator<Item = (&Unit, &KnownUnit)> {
        self.units.iter().filter(|(_, known)| self.is_mine(known))
    }

    /// Returns the status of a gate.
    pub fn status(&self, gate: &GateId, now: Millis) -> MemberStatus {
        if *gate == self.gate {
            return if self.leaving {
                MemberStatus::Leaving
            } else if self.observer.store_answers() {
                MemberStatus::Present
            } else {
                MemberStatus::WithoutStore
            };
        }
        let contact = self.contacts.get(gate);
        let Some(contact) =
            contact.filter(|contact| now.since(contact.last_heard) < PRESENCE_TIMEOUT)
        else {
            let age = self.observer.age(gate, now);
            let renews = age.is_some_and(|age| age < self.timing.lease);
            return if renews {
                MemberStatus::CutOff
            } else {
                MemberStatus::Silent
            };
        };
        if contact.report.leaving {
            MemberStatus::Leaving
        } else if contact.report.store_answers {
            MemberStatus::Present
        } else {
            MemberStatus::WithoutStore
        }
    }

    /// Returns the gates that can take units: those that are present.
    pub fn eligible_gates(&self, now: Millis) -> BTreeSet<GateId> {
        let gates = self.gates.keys().cloned();
        gates
            .filter(|gate| self.status(gate, now) == MemberStatus::Present)
            .collect()
    }

    /// Returns the members to list in this gate's record; `None` while the incarnation is younger
    /// than a lease.
    pub fn promisers(&self, now: Millis) -> PromiseMembers {
        let joined = self.joined?;
        let others = self
            .gates
            .values()
            .filter(|record| record.gate != self.gate);
        let others = others.map(|record| record.peer).collect();
        (now.since(joined) >= self.timing.lease).then_some(others)
    }

    /// Returns the gates that sent a message recently.
    pub fn recent_contacts(&self, now: Millis) -> impl Iterator<Item = (&GateId, &GateContact)> {
        let is_recent = move |(_, contact): &(&GateId, &GateContact)| {
            now.since(contact.last_heard) < PRESENCE_TIMEOUT
        };
        self.contacts.iter().filter(is_recent)
    }

    /// Returns whether each gate has a revision in force or has stopped admitting work.
    ///
    /// A gate stops admitting work by itself once it has had no contact for `isolation_limit`. It
    /// counts as stopped if neither this gate nor any gate in contact with this one has received a
    /// message from it for that time plus an allowance for an answer in transit.
    pub fn in_force(&self, revision: Revision, now: Millis, isolation_limit: Millis) -> bool {
        let reachable_by_others = |gate: &GateId| {
            let mut contacts = self.recent_contacts(now);
            contacts.any(|(_, contact)| contact.report.recent_gates.contains(gate))
        };
        let silent = |gate: &GateId| {
            let Some(contact) = self.contacts.get(gate) else {
                return now >= isolation_limit + PRESENCE_TIMEOUT + self.timing.margin;
            };
            now.since(contact.last_heard) >= isolation_limit + PRESENCE_TIMEOUT + self.timing.margin
        };
        let quorate = self.has_quorum(now);
        self.gates.keys().all(|gate| {
            let stopped = || quorate && silent(gate) && !reachable_by_others(gate);
            self.revision_of(gate) >= revision || stopped()
        })
    }

    /// Returns whether so many gates reach the store that no other gate can have the promises it
    /// needs to go on without the store.
    pub fn has_quorum(&self, now: Millis) -> bool {
        let others = self.gates.len().saturating_sub(1);
        let contacts = self
            .recent_contacts(now)
            .filter(|(_, contact)| contact.report.store_answers);
        let own = usize::from(self.observer.store_answers());
        contacts.count() + own >= LeaseTiming::required_refusals(others)
    }

    /// Returns the revision in force at each gate, as far as known; zero if it is not.
    pub fn revisions(&self) -> impl Iterator<Item = Revision> {
        self.gates.keys().map(|gate| self.revision_of(gate))
    }

    /// Applies an update from the store; returns whether evictions or claims may be due.
    pub fn apply_update(&mut self, now: Millis, prefix: &str, update: &FeedUpdate) -> bool {
        match update {
            FeedUpdate::Snapshot(snapshot) if prefix == GATES_PREFIX => {
                self.load_gates(now, &snapshot.entries);
                true
            }
            FeedUpdate::Snapshot(snapshot) => {
                self.load_units(now, &snapshot.entries);
                true
            }
            FeedUpdate::Changes(changes) => {
                for change in changes {
                    self.apply_change(now, change);
                }
                prefix == UNITS_PREFIX || changes.iter().any(|change| change.removed)
            }
        }
    }

    /// Updates the announcement with the units that this gate owns.
    pub fn announce_owned(&mut self) {
        let owned = self
            .owned_units()
            .map(|(unit, known)| (unit.clone(), known.epoch()));
        let owned: Vec<(Unit, Epoch)> = owned.collect();
        if self.announcement.owned != owned {
            self.announcement = Arc::new(Announcement {
                version: self.announcement.version + 1,
                digest: self.announcement.digest.clone(),
                owned,
            });
        }
    }

    /// Replaces the known gate records by a snapshot.
    fn load_gates(&mut self, now: Millis, entries: &[Entry]) {
        let present: BTreeSet<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
        let gone = |gate: &&GateId| !present.contains(format!("{GATES_PREFIX}{gate}").as_str());
        let gone: Vec<GateId> = self.gates.keys().filter(gone).cloned().collect();
        for gate in gone {
            self.remove_gate(&gate);
        }
        for entry in entries {
            self.apply_gate(now, entry);
        }
        self.loaded.0 = true;
    }

    /// Replaces the known unit records by a snapshot.
    fn load_units(&mut self, now: Millis, entries: &[Entry]) {
        let present: BTreeSet<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
        self.units
            .retain(|unit, _| present.contains(format!("{UNITS_PREFIX}{unit}").as_str()));
        for entry in entries {
            self.apply_unit(now, entry);
        }
        self.loaded.1 = true;
    }

    /// Applies a change of one record.
    fn apply_change(&mut self, now: Millis, change: &KeyChange) {
        let entry = &change.entry;
        if let Some(gate) = entry.key.strip_prefix(GATES_PREFIX) {
            if change.removed {
                self.remove_gate(&GateId::from(gate));
            } else {
                self.apply_gate(now, entry);
            }
        } else if let Some(unit) = entry.key.strip_prefix(UNITS_PREFIX) {
            if change.removed {
                self.units.retain(|known, _| known.to_string() != unit);
            } else {
                self.apply_unit(now, entry);
            }
        }
    }

    fn remove_gate(&mut self, gate: &GateId) {
        self.gates.remove(gate);
        self.observer.record_removed(gate);
        if *gate != self.gate {
            self.contacts.remove(gate);
        }
    }

    fn apply_gate(&mut self, now: Millis, entry: &Entry) {
        let Some(record) = decode::<GateRecord>(&entry.value) else {
            return;
        };
        let ours = record.gate == self.gate && record.incarnation == self.lease.incarnation();
        if !ours {
            let recorded = record.recorded(entry.revision);
            self.observer
                .record_seen(now, record.gate.clone(), recorded);
        }
        self.gates.insert(record.gate.clone(), record);
    }

    /// Applies the record of a unit unless a newer one is known.
    pub fn apply_unit(&mut self, now: Millis, entry: &Entry) {
        let Some(record) = decode::<UnitRecord>(&entry.value) else {
            return;
        };
        let unit = record.unit.clone();
        let old = self.units.get(&unit).map_or(0, |known| known.revision);
        if old < entry.revision {
            let known = KnownUnit {
                record,
                revision: entry.revision,
                since: now,
            };
            self.units.insert(unit, known);
            self.units_changed = now;
        }
    }

    /// Returns this gate's report about itself.
    pub fn report(&self, now: Millis, admits: bool) -> GateReport {
        GateReport {
            incarnation: self.lease.incarnation(),
            revision: self.revision,
            store_answers: self.observer.store_answers(),
            leaving: self.leaving,
            admits,
            recent_gates: self
                .recent_contacts(now)
                .map(|(gate, _)| gate.clone())
                .collect(),
        }
    }

    /// Returns the members of the cluster and the owners of the units.
    pub fn view(&self, now: Millis) -> View {
        let member = |(gate, record): (&GateId, &GateRecord)| Member {
            gate: gate.clone(),
            incarnation: record.incarnation,
            zone: record.zone.clone(),
            peer: record.peer,
            status: self.status(gate, now),
            revision: self.revision_of(gate),
        };
        let unit_owner = |(unit, known): (&Unit, &KnownUnit)| {
            let gate = self.owner(unit)?.clone();
            let epoch = known.epoch();
            Some((unit.clone(), UnitOwner { gate, epoch }))
        };
        let owned_unit = |(unit, known): (&Unit, &KnownUnit)| {
            let takeover_grace = self.takeover_grace.get(unit).copied().unwrap_or_default();
            let epoch = known.epoch();
            (
                unit.clone(),
                OwnedUnit {
                    epoch,
                    takeover_grace,
                },
            )
        };
        let mine = self
            .owned_units()
            .filter(|(unit, _)| !self.handovers.contains_key(*unit));
        View {
            members: self.gates.iter().map(member).collect(),
            owners: self.units.iter().filter_map(unit_owner).collect(),
            owned: mine.map(owned_unit).collect::<HashMap<_, _>>(),
        }
    }

    fn revision_of(&self, gate: &GateId) -> Revision {
        if *gate == self.gate {
            return self.revision;
        }
        let contact = self.contacts.get(gate);
        contact
            .map(|contact| contact.report.revision)
            .unwrap_or_default()
    }
}
