//! Plans which hosts an advice call for a gang names.
//!
//! Load pattern: a burst of gangs on a fleet that is three quarters full. A verdict holds for the
//! whole step while a ticket expires after seconds, and most of a call's time does not depend on
//! how many hosts it names. Calls that name a few hosts each, as room appears, cost a gang seven
//! calls on average: tickets of the first expire before the last are there, and the calls
//! take the gates' time from all other work. So a gang learns its verdicts early in one wide call,
//! waits until the hosts that may run it have room for all of its tasks, and then asks once more
//! for the tickets that it needs, with that room set aside. While others keep that room, it asks
//! about further hosts that have room.

use std::cmp::Reverse;
use std::hash::BuildHasher;

use foldhash::quality::FixedState;

use crate::ids::HostId;
use crate::time::Millis;

/// How many times its tasks must fit on the allowed hosts when these are empty before a gang asks
/// about no more hosts: on a busy fleet about a third of a host is free at a time.
const KNOWN_FACTOR: u64 = 4;

/// The fewest hosts that a call about new hosts names, if there are that many.
pub const MIN_NEW_HOSTS: usize = 30;

/// A host that may run the gang as far as is known.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The host.
    pub id: HostId,
    /// How many of the gang's tasks fit now.
    pub fits: u64,
    /// How many of the gang's tasks fit when the host is empty.
    pub most: u64,
    /// When its ticket expires; `None` for a host that no call has named.
    pub ticket: Option<Millis>,
}

/// Hosts to name in advice calls for a gang.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GangCall {
    /// The gang fits on allowed hosts: asks for the tickets that are missing there.
    Tickets(Vec<HostId>),
    /// Too few allowed hosts are known: asks about new ones.
    NewHosts(Vec<HostId>),
}

/// What a gang needs from a call.
#[derive(Debug, Clone, Copy, Default)]
pub struct GangDemand {
    /// Number of tasks, all of which start together.
    pub tasks: u64,
    /// The share of hosts that advice is expected to allow, from 0 to 1.
    pub allowed_share: f64,
    /// The most hosts that all calls together may name.
    pub max_hosts: usize,
    /// The time until which a ticket must be valid to be used without another call.
    pub valid_until: Millis,
    /// The time until which the other tickets must be valid if a call is needed for one of them.
    pub answered_at: Millis,
    /// Whether it has waited long enough for room on the hosts that it knows.
    pub is_impatient: bool,
    /// Orders hosts with the same room, so that gangs name different ones; zero orders them by name.
    pub salt: u64,
}

/// Returns the hosts to ask about, or `None` if the gang has to wait for room or its tickets are
/// valid.
pub fn plan_gang_call(candidates: Vec<Candidate>, demand: &GangDemand) -> Option<GangCall> {
    let (mut allowed, new): (Vec<Candidate>, Vec<Candidate>) = candidates
        .into_iter()
        .partition(|candidate| candidate.ticket.is_some());
    let fits: u64 = allowed.iter().map(|candidate| candidate.fits).sum();
    if fits >= demand.tasks {
        sort_by_room(&mut allowed);
        return missing_tickets(allowed, demand).map(GangCall::Tickets);
    }
    let known: u64 = allowed.iter().map(|candidate| candidate.most).sum();
    let missing = (demand.tasks * KNOWN_FACTOR).saturating_sub(known);
    let hosts = if missing > 0 {
        new_hosts(new, missing, demand)
    } else if demand.is_impatient {
        hosts_with_room(new, demand.tasks - fits, demand)?
    } else {
        return None;
    };
    (!hosts.is_empty()).then_some(GangCall::NewHosts(hosts))
}

fn sort_by_room(candidates: &mut [Candidate]) {
    candidates
        .sort_by(|one, other| (Reverse(one.fits), &one.id).cmp(&(Reverse(other.fits), &other.id)));
}

/// Sorts by room, and hosts with the same room in another order for each salt.
fn spread_by_room(candidates: &mut [Candidate], salt: u64) {
    if salt == 0 {
        return sort_by_room(candidates);
    }
    let hasher = FixedState::with_seed(salt);
    candidates
        .sort_by_cached_key(|candidate| (Reverse(candidate.fits), hasher.hash_one(&candidate.id)));
}

/// Returns those of the fewest hosts that fit the whole gang whose tickets expire too soon: before
/// they could be used or, if another one has to be fetched anyway, before that one is there.
fn missing_tickets(allowed: Vec<Candidate>, demand: &GangDemand) -> Option<Vec<HostId>> {
    let mut covered = 0;
    let needed: Vec<Candidate> = allowed
        .into_iter()
        .take_while(|candidate| {
            let is_needed = covered < demand.tasks;
            covered += candidate.fits;
            is_needed
        })
        .collect();
    let expires = |candidate: &Candidate, until| candidate.ticket < Some(until);
    if !needed.iter().any(|it| expires(it, demand.valid_until)) {
        return None;
    }
    let until = demand.answered_at.max(demand.valid_until);
    let hosts = needed.into_iter().filter(|it| expires(it, until));
    Some(hosts.map(|it| it.id).take(demand.max_hosts).collect())
}

/// Returns the new hosts with room now if the allowed ones among them are expected to fit the missing
/// tasks.
fn hosts_with_room(
    mut new: Vec<Candidate>,
    missing: u64,
    demand: &GangDemand,
) -> Option<Vec<HostId>> {
    new.retain(|candidate| candidate.fits > 0);
    spread_by_room(&mut new, demand.salt);
    new.truncate(demand.max_hosts);
    let fits: u64 = new.iter().map(|candidate| candidate.fits).sum();
    #[expect(clippy::cast_precision_loss, reason = "counts of tasks are small")]
    let is_enough = fits as f64 * demand.allowed_share >= missing as f64;
    is_enough.then(|| new.into_iter().map(|candidate| candidate.id).collect())
}

/// Returns as many new hosts as are expected to add room for `missing` tasks when empty.
fn new_hosts(mut new: Vec<Candidate>, missing: u64, demand: &GangDemand) -> Vec<HostId> {
    spread_by_room(&mut new, demand.salt);
    let mut expected = 0.0;
    let mut hosts = Vec::new();
    for candidate in new.into_iter().filter(|candidate| candidate.most > 0) {
        #[expect(clippy::cast_precision_loss, reason = "counts of tasks are small")]
        let (most, missing) = (candidate.most as f64, missing as f64);
        let enough = expected >= missing && hosts.len() >= MIN_NEW_HOSTS;
        if enough || hosts.len() >= demand.max_hosts {
            break;
        }
        expected += most * demand.allowed_share;
        hosts.push(candidate.id);
    }
    hosts
}
