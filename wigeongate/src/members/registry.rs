//! The membership's writes to the store: the gate's own record, evictions and unit records.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use tracing::{info, warn};
use wigeongate_core::ids::{GateId, Unit};
use wigeongate_core::ownership::{
    Lease, ReadBack, RecordWrite, Verdict, WriteOutcome, assign, next_move,
};
use wigeongate_core::time::Millis;

use super::Membership;
use super::record::{
    GateRecord, Owner, RECORD_FORMAT, UnitRecord, decode, encode, gate_key, unit_key,
};
use super::state::{Handover, KnownUnit, State};
use crate::message::members::PeerRequest;
use crate::store::{CommitOutcome, Condition, Entry, StoreError, Txn, Write};

/// How long the parts that act on a unit may take to stop before it is handed over anyway.
const STOP_TIMEOUT: Millis = Millis(3_000);

/// How long a released unit is reserved for the gate that it was released to.
const RESERVATION: Millis = Millis(1_000);

/// How long the set of present gates must be stable before units are moved between them.
const REBALANCE_DELAY: Millis = Millis::from_secs(5);

/// The minimum interval between two moves of units in the cluster.
const MOVE_INTERVAL: Millis = Millis(300);

/// The timeout of a request for a refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// A unit without an owner that this gate should take.
struct Claim {
    unit: Unit,
    /// The revision that the unit's record must still have; zero if it must be absent.
    revision: i64,
    /// The condition that the record which shows the eviction of the previous owner has not
    /// changed. The store must check this, since the known gate records may be older than the known
    /// unit records.
    evicted: Option<Condition>,
}

impl Membership {
    /// Renews this gate's record if `renew` is set, then evicts gates and updates units, with one
    /// call of the store at a time.
    pub(super) async fn sync_with_store(&self, renew: bool) {
        if !self.lock().loaded.0 || !self.lock().loaded.1 {
            return;
        }
        if self.lock().lease.has_unknown_write() && !self.read_own_record().await {
            return;
        }
        if renew && !self.renew_record().await {
            return;
        }
        if self.lock().lease.revision() == 0 {
            return;
        }
        self.evict_expired().await;
        self.update_units().await;
    }

    /// Writes this gate's record if it may be written; returns `false` if the store did not answer.
    async fn renew_record(&self) -> bool {
        let Some((attempt, record)) = self.prepare_renewal() else {
            return true;
        };
        let key = gate_key(&record.gate);
        let value = encode(&record);
        let committed = self.write(key, attempt.revision, value).await;
        let answer = match committed {
            Ok(CommitOutcome::Committed(revision)) => WriteOutcome::Written(revision),
            Ok(CommitOutcome::Conflict) => WriteOutcome::Conflict,
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
            WriteOutcome::Conflict | WriteOutcome::Unknown => self.read_own_record().await,
        }
    }

    /// Prepares the next write of this gate's record; returns `None` while the record of an earlier
    /// incarnation cannot be evicted yet.
    fn prepare_renewal(&self) -> Option<(RecordWrite, GateRecord)> {
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
            format: RECORD_FORMAT,
            gate,
            incarnation: state.lease.incarnation(),
            sequence: attempt.sequence,
            zone: state.zone.clone(),
            peer: state.peer_address,
            certificate: wigeongate_api::etcd::Bytes(self.peers.certificate()),
            leaving: state.leaving,
            members,
        };
        Some((attempt, record))
    }

    /// Reads this gate's record after a write of unknown outcome or a conflict. If the gate was
    /// evicted, it joins again with a new incarnation. Returns whether the store answered.
    async fn read_own_record(&self) -> bool {
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
                warn!(
                    "members: another gate evicted this gate; joining again with a new incarnation."
                );
            }
            state.lease = Lease::new(state.timing, rand::rng().random());
            state.joined = None;
            state.handovers.clear();
            state.takeover_grace.clear();
            state.observer.record_removed(&gate);
            if let Some(record) = record {
                let recorded = record.recorded(entry.revision);
                state.observer.record_seen(now, gate, recorded);
            }
        }
        true
    }

    /// Removes the records of gates whose leases have expired, and requests the refusals that this
    /// needs.
    async fn evict_expired(&self) {
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
                    self.request_refusals(&gate, revision, &members);
                }
                Verdict::Evict(revision) => self.remove_gate(&gate, revision).await,
            }
        }
    }

    /// Removes the record of a gate if it still has this revision.
    async fn remove_gate(&self, gate: &GateId, revision: i64) {
        self.lock().observer.refuse_promises(gate.clone(), revision);
        let key = gate_key(gate);
        let when = vec![Condition {
            key: key.clone(),
            revision,
        }];
        let txn = Txn {
            when,
            writes: vec![Write::Delete { key }],
        };
        if let Ok(CommitOutcome::Committed(_)) = self.commit(txn).await {
            let mut state = self.lock();
            if state.gate == *gate {
                info!("members: this gate has left the cluster.");
            } else {
                info!("members: gate {gate} did not renew its record and was evicted.");
            }
            state.observer.record_removed(gate);
            state.gates.remove(gate);
        }
    }

    /// Asks the gates at these addresses to refuse further promises to `owner`.
    fn request_refusals(&self, owner: &GateId, revision: i64, addresses: &[std::net::SocketAddr]) {
        let state = self.lock();
        let gates = state.gates.values();
        let recipients =
            gates.filter(|record| addresses.contains(&record.peer) && record.gate != *owner);
        for record in recipients {
            let (members, owner) = (self.weak.clone(), owner.clone());
            let (gate, address) = (record.gate.clone(), record.peer);
            tokio::spawn(async move {
                let Some(members) = members.upgrade() else {
                    return;
                };
                let request = PeerRequest::Refuse {
                    owner: owner.clone(),
                    revision,
                };
                let reply = members
                    .peers
                    .request("refusal", &gate, request, REFUSAL_TIMEOUT);
                if reply.await.is_ok() {
                    let now = members.clock.now();
                    let mut state = members.lock();
                    state
                        .observer
                        .record_refusal(&owner, revision, address, now);
                }
            });
        }
    }

    /// Releases and takes units and renews their epochs as far as that is due.
    async fn update_units(&self) {
        self.plan_handovers();
        let now = self.clock.now();
        for (unit, known, next) in self.due_releases(now) {
            let record = unit_record(&unit, None, next);
            if self.write_unit(known.revision, &record, None).await {
                let mut state = self.lock();
                state.handovers.remove(&unit);
                state.takeover_grace.remove(&unit);
            }
        }
        for Claim {
            unit,
            revision,
            evicted,
        } in self.due_claims(now)
        {
            let record = self.own_record(&unit);
            let takeover_grace = evicted
                .as_ref()
                .map_or(Millis::ZERO, |_| self.lock().timing.margin);
            self.lock().takeover_grace.insert(unit, takeover_grace);
            self.write_unit(revision, &record, evicted).await;
        }
        let requested: Vec<Unit> = self.lock().epoch_requests.iter().cloned().collect();
        for unit in requested {
            let known = self.lock().units.get(&unit).cloned();
            let mine = known.filter(|known| self.lock().is_mine(known));
            let Some(known) = mine else {
                self.lock().epoch_requests.remove(&unit);
                continue;
            };
            let record = self.own_record(&unit);
            if self.write_unit(known.revision, &record, None).await {
                self.lock().epoch_requests.remove(&unit);
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

    /// Starts handovers: of all units if this gate is leaving; otherwise of units that should no
    /// longer exist, and of one unit if that balances the number of units per gate.
    fn plan_handovers(&self) {
        let now = self.clock.now();
        let wanted = self.wanted_units();
        let paused = self.configurations.live().configuration.paused;
        let mut state = self.lock();
        let state = &mut *state;
        let eligible = state.eligible_gates(now);
        let mine: Vec<Unit> = state.owned_units().map(|(unit, _)| unit.clone()).collect();
        let handover_to = |to| Handover {
            started: now,
            stopped: false,
            to,
        };
        if state.leaving {
            let mut others = eligible;
            others.remove(&state.gate);
            let mut owners = state.owners();
            owners.retain(|unit, _| !mine.contains(unit));
            let units: BTreeSet<Unit> = mine.into_iter().collect();
            for next in assign(&units, &owners, &others) {
                let handover = state.handovers.entry(next.unit);
                handover.or_insert_with(|| handover_to(Some(next.to)));
            }
            return;
        }
        for unit in mine.iter().filter(|unit| !wanted.contains(*unit)) {
            let handover = state.handovers.entry(unit.clone());
            handover.or_insert_with(|| handover_to(None));
        }
        let settled = now.since(state.presence_changed) >= REBALANCE_DELAY
            && now.since(state.units_changed) >= MOVE_INTERVAL
            && state.handovers.is_empty();
        if settled && !paused {
            let mut owners = state.owners();
            owners.retain(|unit, _| wanted.contains(unit));
            if let Some(next) = next_move(&state.gate, &owners, &eligible) {
                info!("members: handing over {} to gate {}.", next.unit, next.to);
                state
                    .handovers
                    .insert(next.unit, handover_to(Some(next.to)));
            }
        }
    }

    /// Returns the units to release, on which no part acts any more, and the gates that should
    /// take them.
    fn due_releases(&self, now: Millis) -> Vec<(Unit, KnownUnit, Option<GateId>)> {
        let mut state = self.lock();
        let state = &mut *state;
        let gone = |unit: &Unit| {
            let known = state.units.get(unit);
            !known.is_some_and(|known| state.is_mine(known))
        };
        let gone: Vec<Unit> = state
            .handovers
            .keys()
            .filter(|u| gone(u))
            .cloned()
            .collect();
        for unit in gone {
            state.handovers.remove(&unit);
        }
        let due =
            |handover: &Handover| handover.stopped || now.since(handover.started) >= STOP_TIMEOUT;
        for handover in state
            .handovers
            .values_mut()
            .filter(|handover| due(handover))
        {
            // From here on no order may be sent, whether or not the write takes effect.
            handover.stopped = true;
        }
        let stopped = state
            .handovers
            .iter()
            .filter(|(_, handover)| handover.stopped);
        stopped
            .filter_map(|(unit, handover)| {
                let known = state.units.get(unit)?.clone();
                Some((unit.clone(), known, handover.to.clone()))
            })
            .collect()
    }

    /// Returns claims for the units without an owner that this gate should take.
    fn due_claims(&self, now: Millis) -> Vec<Claim> {
        let wanted = self.wanted_units();
        let state = self.lock();
        if state.leaving || !state.lease.may_act(now) {
            return Vec::new();
        }
        let eligible = state.eligible_gates(now);
        let claim = |unit: &Unit, to: &GateId| -> Option<Claim> {
            let known = state.units.get(unit);
            let record = known.map(|known| &known.record);
            let next = record.and_then(|record| record.next.as_ref());
            let fresh = known.is_some_and(|known| now.since(known.since) < RESERVATION);
            let reserved = next.filter(|next| fresh && eligible.contains(*next));
            if *reserved.unwrap_or(to) != state.gate {
                return None;
            }
            let owner = record.and_then(|record| record.owner.as_ref());
            let others = owner.filter(|owner| owner.gate != state.gate);
            let evicted = others.map(|owner| Condition {
                key: gate_key(&owner.gate),
                revision: state.observer.record(&owner.gate).map_or(0, |r| r.revision),
            });
            Some(Claim {
                unit: unit.clone(),
                revision: known.map_or(0, |known| known.revision),
                evicted,
            })
        };
        let moves = assign(&wanted, &state.owners(), &eligible);
        moves
            .iter()
            .filter_map(|free| claim(&free.unit, &free.to))
            .collect()
    }

    /// Writes a unit's record if it still has this revision, this gate's record has not changed and
    /// `other` holds. Returns whether the store now holds the written record.
    async fn write_unit(
        &self,
        revision: i64,
        record: &UnitRecord,
        other: Option<Condition>,
    ) -> bool {
        let key = unit_key(&record.unit);
        let (gate, own) = {
            let state = self.lock();
            (gate_key(&state.gate), state.lease.revision())
        };
        let value = encode(record);
        let unit = Condition {
            key: key.clone(),
            revision,
        };
        let own = Condition {
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
            Ok(CommitOutcome::Committed(revision)) => Entry {
                key,
                value,
                revision,
            },
            // The record in the store names the owner, whichever write took effect.
            Ok(CommitOutcome::Conflict) | Err(StoreError::Unknown { .. }) => {
                match self.read(&key).await {
                    Ok(entry) => entry,
                    Err(_) => return false,
                }
            }
            Err(StoreError::NoEffect { .. }) => return false,
        };
        let now = self.clock.now();
        let written = entry.value == encode(record);
        self.lock().apply_unit(now, &entry);
        written
    }

    async fn write(
        &self,
        key: String,
        revision: i64,
        value: Vec<u8>,
    ) -> Result<CommitOutcome, StoreError> {
        let when = vec![Condition {
            key: key.clone(),
            revision,
        }];
        let writes = vec![Write::Put { key, value }];
        self.commit(Txn { when, writes }).await
    }

    async fn commit(&self, txn: Txn) -> Result<CommitOutcome, StoreError> {
        let committed = self.store.commit(txn).await;
        self.record_store_result(committed.as_ref().err());
        committed
    }

    async fn read(&self, key: &str) -> Result<Entry, StoreError> {
        let entry = self.store.get(key).await;
        self.record_store_result(entry.as_ref().err());
        entry
    }

    /// Records whether a call of the store succeeded.
    fn record_store_result(&self, error: Option<&StoreError>) {
        let now = self.clock.now();
        let mut state = self.lock();
        if let Some(error) = error {
            if state.observer.store_answers() {
                warn!("members: a call of the store failed: {error}.");
            }
            state.observer.on_store_failure();
        } else {
            state.observer.on_store_answer(now);
            state.store_answered = Some(now);
        }
    }

    /// Removes this gate's record from the store.
    pub(super) async fn resign(&self) {
        let (gate, revision) = {
            let state = self.lock();
            (state.gate.clone(), state.lease.revision())
        };
        if revision > 0 {
            self.remove_gate(&gate, revision).await;
        }
    }
}

fn unit_record(unit: &Unit, owner: Option<Owner>, next: Option<GateId>) -> UnitRecord {
    UnitRecord {
        format: RECORD_FORMAT,
        unit: unit.clone(),
        owner,
        next,
    }
}

/// Returns the epoch under which this gate may act on a unit now; `None` if it may not.
pub(super) fn may_act(
    state: &State,
    unit: &Unit,
    now: Millis,
) -> Option<wigeongate_core::ids::Epoch> {
    let known = state.units.get(unit).filter(|known| state.is_mine(known))?;
    let stopped = state
        .handovers
        .get(unit)
        .is_some_and(|handover| handover.stopped);
    (!stopped && state.lease.may_act(now)).then(|| known.epoch())
}
