//! What a gate knows of the others, behind one lock.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::{Epoch, GateId, Revision, Unit, ZoneId};
use wigeongate_core::ownership::{Lease, LeaseTiming, Observer, PromiseMembers};
use wigeongate_core::time::Millis;

use super::record::{GATES, GateRecord, UNITS, UnitRecord, decode};
use crate::cluster::{Held, Holder, Member, Standing, View};
use crate::message::Digest;
use crate::message::members::{Account, News};
use crate::store::{Changed, Entry, Fed};

/// How long after its last sign of life a gate counts as present.
pub const HEARD: Millis = Millis::from_secs(3);

/// What was heard of another gate.
#[derive(Debug, Clone, Default)]
pub struct Heard {
    /// When it answered last.
    pub at: Millis,
    /// How it stands by its own account.
    pub account: Account,
    /// What its parts told last.
    pub news: Arc<News>,
    /// The version of this gate's news that it knows.
    pub knows: u64,
}

/// A unit that is on its way to another gate.
#[derive(Debug, Clone)]
pub struct Stopping {
    /// Since when.
    pub since: Millis,
    /// Whether the parts that act on it have stopped.
    pub stopped: bool,
    /// The gate that should take it.
    pub to: Option<GateId>,
}

/// A unit's record with its revision.
#[derive(Debug, Clone)]
pub struct KnownUnit {
    /// The record.
    pub record: UnitRecord,
    /// The revision of its last change.
    pub revision: i64,
    /// When it was seen.
    pub since: Millis,
}

impl KnownUnit {
    /// Returns the epoch.
    pub fn epoch(&self) -> Epoch {
        Epoch(u64::try_from(self.revision).unwrap_or_default())
    }
}

/// What a gate knows of itself and the others.
#[derive(Debug)]
pub struct State {
    /// This gate.
    pub gate: GateId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where it listens for the others.
    pub place: SocketAddr,
    /// How long leases and promises run.
    pub terms: LeaseTiming,
    /// Its own record.
    pub lease: Lease,
    /// The others' records.
    pub observer: Observer,
    /// Every gate's record, this one's included, as the store has it.
    pub gates: BTreeMap<GateId, GateRecord>,
    /// The record of each unit that has one.
    pub units: BTreeMap<Unit, KnownUnit>,
    /// Units on their way to another gate.
    pub stopping: BTreeMap<Unit, Stopping>,
    /// Units whose epoch should be raised.
    pub renewing: BTreeSet<Unit>,
    /// What the previous owner of a unit may still do for so long.
    pub quiet: BTreeMap<Unit, Millis>,
    /// What was heard of the other gates.
    pub heard: BTreeMap<GateId, Heard>,
    /// What this gate's parts tell the others.
    pub news: Arc<News>,
    /// The revision of the configuration in force here.
    pub revision: Revision,
    /// When this incarnation's record was first written.
    pub joined: Option<Millis>,
    /// Whether this gate is about to stop.
    pub leaving: bool,
    /// When the store last answered.
    pub answered: Option<Millis>,
    /// Whether the records of gates and units were read.
    pub loaded: (bool, bool),
    /// When the set of present gates last changed.
    pub changed: Millis,
    /// When a unit's record last changed.
    pub moved: Millis,
}

impl State {
    /// Makes the state of a gate that has seen nothing.
    pub fn new(gate: GateId, zone: ZoneId, terms: LeaseTiming) -> Self {
        let place = SocketAddr::from(([0, 0, 0, 0], 0));
        Self {
            gate,
            zone,
            place,
            terms,
            lease: Lease::new(terms, 0),
            observer: Observer::new(terms, place),
            gates: BTreeMap::new(),
            units: BTreeMap::new(),
            stopping: BTreeMap::new(),
            renewing: BTreeSet::new(),
            quiet: BTreeMap::new(),
            heard: BTreeMap::new(),
            news: Arc::default(),
            revision: Revision::default(),
            joined: None,
            leaving: false,
            answered: None,
            loaded: (false, false),
            changed: Millis::ZERO,
            moved: Millis::ZERO,
        }
    }

    /// Returns what each gate's parts published last.
    pub fn digests(&self, now: Millis) -> HashMap<GateId, Arc<Digest>> {
        let heard = self.hears(now);
        let heard = heard.map(|(gate, heard)| (gate, &heard.news));
        heard
            .chain(std::iter::once((&self.gate, &self.news)))
            .map(|(gate, news)| (gate.clone(), news.digest.clone()))
            .collect()
    }

    /// Returns whether a unit's record names this process as the owner.
    pub fn is_mine(&self, known: &KnownUnit) -> bool {
        let owner = known.record.owner.as_ref();
        owner.is_some_and(|owner| {
            owner.gate == self.gate && owner.incarnation == self.lease.incarnation()
        })
    }

    /// Returns the owner of a unit, unless it was evicted.
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
    pub fn mine(&self) -> impl Iterator<Item = (&Unit, &KnownUnit)> {
        self.units.iter().filter(|(_, known)| self.is_mine(known))
    }

    /// Returns how a gate stands.
    pub fn standing(&self, gate: &GateId, now: Millis) -> Standing {
        if *gate == self.gate {
            return if self.leaving {
                Standing::Leaving
            } else if self.observer.store_answers() {
                Standing::Present
            } else {
                Standing::WithoutStore
            };
        }
        let heard = self.heard.get(gate);
        let Some(heard) = heard.filter(|heard| now.since(heard.at) < HEARD) else {
            let age = self.observer.age(gate, now);
            let renews = age.is_some_and(|age| age < self.terms.lease);
            return if renews {
                Standing::CutOff
            } else {
                Standing::Silent
            };
        };
        if heard.account.leaving {
            Standing::Leaving
        } else if heard.account.store {
            Standing::Present
        } else {
            Standing::WithoutStore
        }
    }

    /// Returns the gates that can take units.
    pub fn takers(&self, now: Millis) -> BTreeSet<GateId> {
        let gates = self.gates.keys().cloned();
        gates
            .filter(|gate| self.standing(gate, now) == Standing::Present)
            .collect()
    }

    /// Returns the members to list in this gate's record.
    pub fn promisers(&self, now: Millis) -> PromiseMembers {
        let joined = self.joined?;
        let others = self
            .gates
            .values()
            .filter(|record| record.gate != self.gate);
        let others = others.map(|record| record.peer).collect();
        (now.since(joined) >= self.terms.lease).then_some(others)
    }

    /// Returns the gates that were heard of late.
    pub fn hears(&self, now: Millis) -> impl Iterator<Item = (&GateId, &Heard)> {
        let of_late = move |(_, heard): &(&GateId, &Heard)| now.since(heard.at) < HEARD;
        self.heard.iter().filter(of_late)
    }

    /// Returns whether each gate has a revision in force or has stopped admitting.
    ///
    /// A gate that neither this one nor any that it hears has heard of within `alone`, with time
    /// for an answer on its way, has stopped by its own rule.
    pub fn in_force(&self, revision: Revision, now: Millis, alone: Millis) -> bool {
        let heard_by_others = |gate: &GateId| {
            let mut heard = self.hears(now);
            heard.any(|(_, heard)| heard.account.hears.contains(gate))
        };
        let silent = |gate: &GateId| {
            let Some(heard) = self.heard.get(gate) else {
                return now >= alone + HEARD + self.terms.margin;
            };
            now.since(heard.at) >= alone + HEARD + self.terms.margin
        };
        let quorate = self.is_quorate(now);
        self.gates.keys().all(|gate| {
            let stopped = || quorate && silent(gate) && !heard_by_others(gate);
            self.revision_of(gate) >= revision || stopped()
        })
    }

    /// Returns whether so many gates reach the store that no other one can have the promises
    /// that it needs to go on without the store.
    pub fn is_quorate(&self, now: Millis) -> bool {
        let others = self.gates.len().saturating_sub(1);
        let heard = self.hears(now).filter(|(_, heard)| heard.account.store);
        let own = usize::from(self.observer.store_answers());
        heard.count() + own >= LeaseTiming::required_refusals(others)
    }

    /// Returns the revision that each gate has in force, as far as it is known.
    pub fn revisions(&self) -> impl Iterator<Item = Revision> {
        self.gates.keys().map(|gate| self.revision_of(gate))
    }

    /// Takes in what the store's watch told; returns whether there may be something to do.
    pub fn take_fed(&mut self, now: Millis, prefix: &str, fed: &Fed) -> bool {
        match fed {
            Fed::Snapshot(snapshot) if prefix == GATES => {
                self.load_gates(now, &snapshot.entries);
                true
            }
            Fed::Snapshot(snapshot) => {
                self.load_units(now, &snapshot.entries);
                true
            }
            Fed::Changes(changes) => {
                for change in changes {
                    self.take(now, change);
                }
                prefix == UNITS || changes.iter().any(|change| change.removed)
            }
        }
    }

    /// Puts the units that this gate owns into what the others are told.
    pub fn tell_held(&mut self) {
        let held = self
            .mine()
            .map(|(unit, known)| (unit.clone(), known.epoch()));
        let held: Vec<(Unit, Epoch)> = held.collect();
        if self.news.held != held {
            self.news = Arc::new(News {
                version: self.news.version + 1,
                digest: self.news.digest.clone(),
                held,
            });
        }
    }

    /// Takes in every record of gates.
    fn load_gates(&mut self, now: Millis, entries: &[Entry]) {
        let present: BTreeSet<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
        let gone = |gate: &&GateId| !present.contains(format!("{GATES}{gate}").as_str());
        let gone: Vec<GateId> = self.gates.keys().filter(gone).cloned().collect();
        for gate in gone {
            self.gate_gone(&gate);
        }
        for entry in entries {
            self.take_gate(now, entry);
        }
        self.loaded.0 = true;
    }

    /// Takes in every record of units.
    fn load_units(&mut self, now: Millis, entries: &[Entry]) {
        let present: BTreeSet<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
        self.units
            .retain(|unit, _| present.contains(format!("{UNITS}{unit}").as_str()));
        for entry in entries {
            self.take_unit(now, entry);
        }
        self.loaded.1 = true;
    }

    /// Takes in a change of a record.
    fn take(&mut self, now: Millis, change: &Changed) {
        let entry = &change.entry;
        if let Some(gate) = entry.key.strip_prefix(GATES) {
            if change.removed {
                self.gate_gone(&GateId::from(gate));
            } else {
                self.take_gate(now, entry);
            }
        } else if let Some(unit) = entry.key.strip_prefix(UNITS) {
            if change.removed {
                self.units.retain(|known, _| known.to_string() != unit);
            } else {
                self.take_unit(now, entry);
            }
        }
    }

    fn gate_gone(&mut self, gate: &GateId) {
        self.gates.remove(gate);
        self.observer.record_removed(gate);
        if *gate != self.gate {
            self.heard.remove(gate);
        }
    }

    fn take_gate(&mut self, now: Millis, entry: &Entry) {
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

    /// Takes in a unit's record unless a newer one is known.
    pub fn take_unit(&mut self, now: Millis, entry: &Entry) {
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
            self.moved = now;
        }
    }

    /// Returns how this gate stands by its own account.
    pub fn account(&self, now: Millis, admits: bool) -> Account {
        Account {
            incarnation: self.lease.incarnation(),
            revision: self.revision,
            store: self.observer.store_answers(),
            leaving: self.leaving,
            admits,
            hears: self.hears(now).map(|(gate, _)| gate.clone()).collect(),
        }
    }

    /// Returns who is there and who owns what.
    pub fn view(&self, now: Millis) -> View {
        let member = |(gate, record): (&GateId, &GateRecord)| Member {
            gate: gate.clone(),
            incarnation: record.incarnation,
            zone: record.zone.clone(),
            peer: record.peer,
            standing: self.standing(gate, now),
            revision: self.revision_of(gate),
        };
        let holder = |(unit, known): (&Unit, &KnownUnit)| {
            let gate = self.owner(unit)?.clone();
            let epoch = known.epoch();
            Some((unit.clone(), Holder { gate, epoch }))
        };
        let held = |(unit, known): (&Unit, &KnownUnit)| {
            let quiet = self.quiet.get(unit).copied().unwrap_or_default();
            let epoch = known.epoch();
            (unit.clone(), Held { epoch, quiet })
        };
        let mine = self
            .mine()
            .filter(|(unit, _)| !self.stopping.contains_key(*unit));
        View {
            members: self.gates.iter().map(member).collect(),
            holders: self.units.iter().filter_map(holder).collect(),
            held: mine.map(held).collect::<HashMap<_, _>>(),
        }
    }

    fn revision_of(&self, gate: &GateId) -> Revision {
        if *gate == self.gate {
            return self.revision;
        }
        let heard = self.heard.get(gate);
        heard
            .map(|heard| heard.account.revision)
            .unwrap_or_default()
    }
}
