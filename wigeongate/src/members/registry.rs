//! The store's side of membership: the gate's own record, evictions and units.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use tracing::{info, warn};
use wigeongate_core::ids::{GateId, Unit};
use wigeongate_core::ownership::{
    Lease, ReadBack, RecordWrite, Verdict, WriteOutcome, assign, next_move,
};
use wigeongate_core::time::Millis;

use super::Members;
use super::record::{FORMAT, GateRecord, Owner, UnitRecord, decode, encode, gate_key, unit_key};
use super::state::{KnownUnit, State, Stopping};
use crate::message::members::Ask;
use crate::store::{Committed, Entry, StoreError, Txn, Unchanged, Write};

/// How long the parts that act on a unit may take to stop before it is handed over anyway.
const STOP_LIMIT: Millis = Millis(3_000);

/// For how long a freed unit is left to the gate that it was freed for.
const RESERVED: Millis = Millis(1_000);

/// How long the set of present gates must be the same before units are moved between them.
const SETTLED: Millis = Millis::from_secs(5);

/// The time between two moves of units in the whole cluster.
const MOVE_INTERVAL: Millis = Millis(300);

/// How long a question about a refusal may take.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// A free unit that this gate should take.
struct Claim {
    unit: Unit,
    /// The revision that the unit's record must still have.
    revision: i64,
    /// The record that shows that the owner was evicted; it must not have changed either, since
    /// what is known of gates may be older than what is known of units.
    evicted: Option<Unchanged>,
}

impl Members {
    /// Does what is due at the store, one call after the other.
    pub(super) async fn register(&self, renew: bool) {
        if !self.lock().loaded.0 || !self.lock().loaded.1 {
            return;
        }
        if self.lock().lease.has_unknown_write() && !self.read_back().await {
            return;
        }
        if renew && !self.renew().await {
            return;
        }
        if self.lock().lease.revision() == 0 {
            return;
        }
        self.evict().await;
        self.settle_units().await;
    }

    /// Writes this gate's record; returns whether the store answered.
    async fn renew(&self) -> bool {
        let Some((attempt, record)) = self.prepare() else {
            return true;
        };
        let key = gate_key(&record.gate);
        let value = encode(&record);
        let committed = self.write(key, attempt.revision, value).await;
        let answer = match committed {
            Ok(Committed::Yes(revision)) => WriteOutcome::Written(revision),
            Ok(Committed::No) => WriteOutcome::Conflict,
            Err(StoreError::NoEffect { .. }) => WriteOutcome::NoEffect,
            Err(StoreError::Unknown { .. }) => WriteOutcome::Unknown,
        };
        {
            let mut state = self.lock();
            state.lease.finish_write(attempt.sequence, answer);
            if state.lease.revision() != 0 {
                state.joined.get_or_insert(self.clock.now());
            }
        }
        match answer {
            WriteOutcome::Written(_) => true,
            WriteOutcome::NoEffect => false,
            WriteOutcome::Conflict | WriteOutcome::Unknown => self.read_back().await,
        }
    }

    /// Prepares the next write of this gate's record, if it may be written.
    fn prepare(&self) -> Option<(RecordWrite, GateRecord)> {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.lease.revision() == 0 {
            let gate = state.gate.clone();
            match state.observer.record(&gate).map(|record| record.revision) {
                None => {}
                Some(_) => match state.observer.verdict(now, &gate) {
                    Verdict::Evict(revision) => state.lease.set_revision(revision),
                    Verdict::Wait | Verdict::Ask { .. } => return None,
                },
            }
        }
        let gate = state.gate.clone();
        let members = state.promisers(now);
        let attempt = state.lease.begin_write(now, members.clone());
        let record = GateRecord {
            format: FORMAT,
            gate,
            incarnation: state.lease.incarnation(),
            sequence: attempt.sequence,
            zone: state.zone.clone(),
            peer: state.place,
            certificate: wigeongate_api::etcd::Bytes(self.peers.certificate()),
            leaving: state.leaving,
            members,
        };
        Some((attempt, record))
    }

    /// Reads this gate's record after a write of unknown outcome.
    async fn read_back(&self) -> bool {
        let gate = self.lock().gate.clone();
        let Ok(entry) = self.read(&gate_key(&gate)).await else {
            return false;
        };
        let now = self.clock.now();
        let record = decode::<GateRecord>(&entry.value);
        let mut state = self.lock();
        let joined = state.lease.revision() != 0;
        let seen = record.as_ref().map(|record| record.seen(entry.revision));
        if state.lease.read_back(seen) == ReadBack::Evicted {
            if joined {
                warn!("members: another gate has evicted this one, which joins anew.");
            }
            state.lease = Lease::new(state.terms, rand::rng().random());
            state.joined = None;
            state.stopping.clear();
            state.quiet.clear();
            state.observer.record_removed(&gate);
            if let Some(record) = record {
                let recorded = record.recorded(entry.revision);
                state.observer.record_seen(now, gate, recorded);
            }
        }
        true
    }

    /// Removes the records of gates whose leases have run out.
    async fn evict(&self) {
        let now = self.clock.now();
        let verdicts: Vec<(GateId, Verdict)> = {
            let state = self.lock();
            if !state.lease.may_act(now) {
                return;
            }
            let others = state.observer.records().map(|(gate, _)| gate);
            let others = others.filter(|gate| **gate != state.gate);
            others
                .map(|gate| (gate.clone(), state.observer.verdict(now, gate)))
                .collect()
        };
        for (gate, verdict) in verdicts {
            match verdict {
                Verdict::Wait => {}
                Verdict::Ask { members, revision } => {
                    self.ask_refusals(&gate, revision, &members);
                }
                Verdict::Evict(revision) => self.remove(&gate, revision).await,
            }
        }
    }

    async fn remove(&self, gate: &GateId, revision: i64) {
        self.lock().observer.refuse_promises(gate.clone(), revision);
        let key = gate_key(gate);
        let when = vec![Unchanged {
            key: key.clone(),
            revision,
        }];
        let txn = Txn {
            when,
            writes: vec![Write::Delete { key }],
        };
        if let Ok(Committed::Yes(_)) = self.commit(txn).await {
            let mut state = self.lock();
            if state.gate == *gate {
                info!("members: this gate has left.");
            } else {
                info!("members: {gate} has not renewed its record and is evicted.");
            }
            state.observer.record_removed(gate);
            state.gates.remove(gate);
        }
    }

    fn ask_refusals(&self, owner: &GateId, revision: i64, places: &[std::net::SocketAddr]) {
        let state = self.lock();
        let gates = state.gates.values();
        let asked = gates.filter(|record| places.contains(&record.peer) && record.gate != *owner);
        for record in asked {
            let (members, owner) = (self.weak.clone(), owner.clone());
            let (gate, place) = (record.gate.clone(), record.peer);
            tokio::spawn(async move {
                let Some(members) = members.upgrade() else {
                    return;
                };
                let ask = Ask::Refuse {
                    owner: owner.clone(),
                    revision,
                };
                let told = members.peers.ask("a refusal", &gate, ask, REFUSAL_TIMEOUT);
                if told.await.is_ok() {
                    let now = members.clock.now();
                    let mut state = members.lock();
                    state.observer.record_refusal(&owner, revision, place, now);
                }
            });
        }
    }

    /// Frees, takes and renews units as far as that is due.
    async fn settle_units(&self) {
        self.plan_moves();
        let now = self.clock.now();
        for (unit, known, next) in self.due_releases(now) {
            let record = unit_record(&unit, None, next);
            if self.write_unit(known.revision, &record, None).await {
                let mut state = self.lock();
                state.stopping.remove(&unit);
                state.quiet.remove(&unit);
            }
        }
        for Claim {
            unit,
            revision,
            evicted,
        } in self.due_claims(now)
        {
            let record = self.own_record(&unit);
            let quiet = evicted
                .as_ref()
                .map_or(Millis::ZERO, |_| self.lock().terms.margin);
            self.lock().quiet.insert(unit, quiet);
            self.write_unit(revision, &record, evicted).await;
        }
        let renewing: Vec<Unit> = self.lock().renewing.iter().cloned().collect();
        for unit in renewing {
            let known = self.lock().units.get(&unit).cloned();
            let mine = known.filter(|known| self.lock().is_mine(known));
            let Some(known) = mine else {
                self.lock().renewing.remove(&unit);
                continue;
            };
            let record = self.own_record(&unit);
            if self.write_unit(known.revision, &record, None).await {
                self.lock().renewing.remove(&unit);
            }
        }
    }

    fn own_record(&self, unit: &Unit) -> UnitRecord {
        let state = self.lock();
        let owner = Owner {
            gate: state.gate.clone(),
            incarnation: state.lease.incarnation(),
        };
        unit_record(unit, Some(owner), None)
    }

    /// Starts to hand over units that another gate should own.
    fn plan_moves(&self) {
        let now = self.clock.now();
        let wanted = self.wanted_units();
        let paused = self.configurations.live().configuration.paused;
        let mut state = self.lock();
        let state = &mut *state;
        let takers = state.takers(now);
        let mine: Vec<Unit> = state.mine().map(|(unit, _)| unit.clone()).collect();
        let stop = |to| Stopping {
            since: now,
            stopped: false,
            to,
        };
        if state.leaving {
            let mut others = takers;
            others.remove(&state.gate);
            let mut owners = state.owners();
            owners.retain(|unit, _| !mine.contains(unit));
            let units: BTreeSet<Unit> = mine.into_iter().collect();
            for next in assign(&units, &owners, &others) {
                let stopping = state.stopping.entry(next.unit);
                stopping.or_insert_with(|| stop(Some(next.to)));
            }
            return;
        }
        for unit in mine.iter().filter(|unit| !wanted.contains(*unit)) {
            let stopping = state.stopping.entry(unit.clone());
            stopping.or_insert_with(|| stop(None));
        }
        let settled = now.since(state.changed) >= SETTLED
            && now.since(state.moved) >= MOVE_INTERVAL
            && state.stopping.is_empty();
        if settled && !paused {
            let mut owners = state.owners();
            owners.retain(|unit, _| wanted.contains(unit));
            if let Some(next) = next_move(&state.gate, &owners, &takers) {
                info!("members: {} goes to {}.", next.unit, next.to);
                state.stopping.insert(next.unit, stop(Some(next.to)));
            }
        }
    }

    /// Returns the units that no part acts on any more, with the gates that should take them.
    fn due_releases(&self, now: Millis) -> Vec<(Unit, KnownUnit, Option<GateId>)> {
        let mut state = self.lock();
        let state = &mut *state;
        let gone = |unit: &Unit| {
            let known = state.units.get(unit);
            !known.is_some_and(|known| state.is_mine(known))
        };
        let gone: Vec<Unit> = state.stopping.keys().filter(|u| gone(u)).cloned().collect();
        for unit in gone {
            state.stopping.remove(&unit);
        }
        let due = |stopping: &Stopping| stopping.stopped || now.since(stopping.since) >= STOP_LIMIT;
        for stopping in state.stopping.values_mut().filter(|s| due(s)) {
            // From here on no order may be sent, whether the write takes effect or not.
            stopping.stopped = true;
        }
        let stopped = state.stopping.iter().filter(|(_, s)| s.stopped);
        stopped
            .filter_map(|(unit, stopping)| {
                let known = state.units.get(unit)?.clone();
                Some((unit.clone(), known, stopping.to.clone()))
            })
            .collect()
    }

    /// Returns the free units that this gate should take.
    fn due_claims(&self, now: Millis) -> Vec<Claim> {
        let wanted = self.wanted_units();
        let state = self.lock();
        if state.leaving || !state.lease.may_act(now) {
            return Vec::new();
        }
        let takers = state.takers(now);
        let claim = |unit: &Unit, to: &GateId| -> Option<Claim> {
            let known = state.units.get(unit);
            let record = known.map(|known| &known.record);
            let next = record.and_then(|record| record.next.as_ref());
            let fresh = known.is_some_and(|known| now.since(known.since) < RESERVED);
            let reserved = next.filter(|next| fresh && takers.contains(*next));
            if *reserved.unwrap_or(to) != state.gate {
                return None;
            }
            let owner = record.and_then(|record| record.owner.as_ref());
            let others = owner.filter(|owner| owner.gate != state.gate);
            let evicted = others.map(|owner| Unchanged {
                key: gate_key(&owner.gate),
                revision: state.observer.record(&owner.gate).map_or(0, |r| r.revision),
            });
            Some(Claim {
                unit: unit.clone(),
                revision: known.map_or(0, |known| known.revision),
                evicted,
            })
        };
        let moves = assign(&wanted, &state.owners(), &takers);
        moves
            .iter()
            .filter_map(|free| claim(&free.unit, &free.to))
            .collect()
    }

    /// Writes a unit's record if neither it, nor this gate's record, nor `other` has changed.
    async fn write_unit(
        &self,
        revision: i64,
        record: &UnitRecord,
        other: Option<Unchanged>,
    ) -> bool {
        let key = unit_key(&record.unit);
        let (gate, own) = {
            let state = self.lock();
            (gate_key(&state.gate), state.lease.revision())
        };
        let value = encode(record);
        let unit = Unchanged {
            key: key.clone(),
            revision,
        };
        let own = Unchanged {
            key: gate,
            revision: own,
        };
        let txn = Txn {
            when: [unit, own].into_iter().chain(other).collect(),
            writes: vec![Write::Put {
                key: key.clone(),
                value: value.clone(),
            }],
        };
        let entry = match self.commit(txn).await {
            Ok(Committed::Yes(revision)) => Entry {
                key,
                value,
                revision,
            },
            // What the store holds now says who owns the unit, whichever write it was.
            Ok(Committed::No) | Err(StoreError::Unknown { .. }) => match self.read(&key).await {
                Ok(entry) => entry,
                Err(_) => return false,
            },
            Err(StoreError::NoEffect { .. }) => return false,
        };
        let now = self.clock.now();
        let written = entry.value == encode(record);
        self.lock().take_unit(now, &entry);
        written
    }

    async fn write(
        &self,
        key: String,
        revision: i64,
        value: Vec<u8>,
    ) -> Result<Committed, StoreError> {
        let when = vec![Unchanged {
            key: key.clone(),
            revision,
        }];
        let writes = vec![Write::Put { key, value }];
        self.commit(Txn { when, writes }).await
    }

    async fn commit(&self, txn: Txn) -> Result<Committed, StoreError> {
        let committed = self.store.commit(txn).await;
        self.store_called(committed.as_ref().err());
        committed
    }

    async fn read(&self, key: &str) -> Result<Entry, StoreError> {
        let entry = self.store.get(key).await;
        self.store_called(entry.as_ref().err());
        entry
    }

    fn store_called(&self, error: Option<&StoreError>) {
        let now = self.clock.now();
        let mut state = self.lock();
        if let Some(error) = error {
            if state.observer.store_answers() {
                warn!("members: {error}.");
            }
            state.observer.on_store_failure();
        } else {
            state.observer.on_store_answer(now);
            state.answered = Some(now);
        }
    }

    /// Writes that this gate has left, once it owns nothing.
    pub(super) async fn resign(&self) {
        let (gate, revision) = {
            let state = self.lock();
            (state.gate.clone(), state.lease.revision())
        };
        if revision > 0 {
            self.remove(&gate, revision).await;
        }
    }
}

fn unit_record(unit: &Unit, owner: Option<Owner>, next: Option<GateId>) -> UnitRecord {
    UnitRecord {
        format: FORMAT,
        unit: unit.clone(),
        owner,
        next,
    }
}

/// Returns whether this gate may act on a unit, and under which epoch.
pub(super) fn may_act(
    state: &State,
    unit: &Unit,
    now: Millis,
) -> Option<wigeongate_core::ids::Epoch> {
    let known = state.units.get(unit).filter(|known| state.is_mine(known))?;
    let stopped = state.stopping.get(unit).is_some_and(|s| s.stopped);
    (!stopped && state.lease.may_act(now)).then(|| known.epoch())
}
