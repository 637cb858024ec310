//! Balanced distribution of units among gates.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{GateId, Unit};

/// Unit that should move to another owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// Unit to move.
    pub unit: Unit,
    /// Gate that should own the unit.
    pub to: GateId,
}

/// Returns the kind of a unit; each kind is balanced separately.
const fn unit_kind(unit: &Unit) -> u8 {
    match unit {
        Unit::Pool(_) => 0,
        Unit::Lane(_) => 1,
        Unit::Journal(_) => 2,
    }
}

/// Numbers of units of the kind and of all units, by kind and gate.
type Loads<'a> = BTreeMap<(u8, &'a GateId), (usize, usize)>;

fn count_loads<'a>(gates: &'a BTreeSet<GateId>, holders: &BTreeMap<Unit, GateId>) -> Loads<'a> {
    let mut loads = Loads::new();
    for gate in gates {
        let held = |unit: &&Unit| holders.get(*unit) == Some(gate);
        let all = holders.keys().filter(held).count();
        for of in 0..3 {
            let same = holders
                .keys()
                .filter(held)
                .filter(|unit| unit_kind(unit) == of);
            loads.insert((of, gate), (same.count(), all));
        }
    }
    loads
}

/// Assigns every unit without a holder to one of `gates`; the same input gives the same result on
/// every gate.
pub fn assign(
    units: &BTreeSet<Unit>,
    holders: &BTreeMap<Unit, GateId>,
    gates: &BTreeSet<GateId>,
) -> Vec<Move> {
    let mut loads = count_loads(gates, holders);
    let free = units.iter().filter(|unit| !holders.contains_key(*unit));
    let mut moves = Vec::new();
    for unit in free {
        let of = unit_kind(unit);
        let same = loads.iter().filter(|((kind, _), _)| *kind == of);
        let least = same.min_by_key(|((_, gate), load)| (**load, *gate));
        let Some((_, to)) = least.map(|(key, _)| *key) else {
            return moves;
        };
        for ((kind, gate), load) in &mut loads {
            if *gate == to {
                load.0 += usize::from(*kind == of);
                load.1 += 1;
            }
        }
        moves.push(Move {
            unit: unit.clone(),
            to: to.clone(),
        });
    }
    moves
}

/// Returns a unit that `from` should hand over, if it has the most units of a kind and another gate
/// has at least two fewer; a difference of one is accepted, so that no unit moves back and forth.
pub fn next_move(
    from: &GateId,
    holders: &BTreeMap<Unit, GateId>,
    gates: &BTreeSet<GateId>,
) -> Option<Move> {
    let loads = count_loads(gates, holders);
    (0..3).find_map(|of| {
        let mine = loads.get(&(of, from))?.0;
        let same = || loads.iter().filter(|((kind, _), _)| *kind == of);
        let ((_, to), least) = same().min_by_key(|((_, gate), load)| (**load, *gate))?;
        let ((_, most), _) = same().max_by_key(|((_, gate), load)| (load.0, *gate))?;
        if mine < least.0 + 2 || *most != from {
            return None;
        }
        let mut held = holders
            .iter()
            .filter(|(unit, holder)| *holder == from && unit_kind(unit) == of);
        let unit = held.next_back()?.0.clone();
        let to = (*to).clone();
        Some(Move { unit, to })
    })
}
