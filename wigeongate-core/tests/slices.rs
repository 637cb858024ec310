//! Tests of the slices of a limit: single rules, and a search through all orders of transfers and
//! takeovers.

use std::collections::{BTreeMap, HashSet, VecDeque};

use wigeongate_core::ids::PoolId;
use wigeongate_core::slices::{
    Need, Parts, Slice, Transfer, WHOLE, check_sum, limit_share, plan_transfer, reclaimed,
    split_evenly, transferred,
};

fn pool(name: &str) -> PoolId {
    PoolId::from(name)
}

fn parts(of: &[(&str, u32)]) -> Parts {
    of.iter().map(|(name, part)| (pool(name), *part)).collect()
}

#[test]
fn an_even_split_sums_to_the_whole() {
    for count in 1..8 {
        let pools: Vec<PoolId> = (0..count).map(|n| pool(&format!("p{n}"))).collect();
        let split = split_evenly(&pools);
        assert_eq!(split.values().sum::<u32>(), WHOLE, "{count} pools");
    }
}

#[test]
fn shares_of_all_parts_never_exceed_the_limit() {
    for limit in [0, 1, 7, 1_500, 96_000, u64::MAX / 2] {
        let split = split_evenly([&pool("a"), &pool("b"), &pool("c")]);
        let sum: u64 = split.values().map(|part| limit_share(limit, *part)).sum();
        assert!(sum <= limit, "limit {limit}");
    }
}

#[test]
fn transfers_keep_the_sum_and_fail_without_enough_parts() {
    let before = parts(&[("a", 600_000), ("b", 400_000)]);
    let after = transferred(&before, &pool("a"), &pool("c"), 100_000)
        .expect("the giving pool has enough parts");
    let wanted = parts(&[("a", 500_000), ("b", 400_000), ("c", 100_000)]);
    assert_eq!(after, wanted);
    assert!(transferred(&before, &pool("b"), &pool("a"), 400_001).is_err());
    assert!(check_sum(&parts(&[("a", WHOLE), ("b", 1)])).is_err());
    let kept = reclaimed(&before, |gone| *gone == pool("b"), &pool("a"));
    assert_eq!(kept, parts(&[("a", WHOLE)]));
}

struct Case {
    name: &'static str,
    from: Need,
    to: Need,
    wanted: Option<u32>,
}

#[test]
fn parts_move_to_pools_that_lack_them() {
    let need = |used, wanted| Need { used, wanted };
    let cases = [
        Case {
            name: "no pool needs parts",
            from: need(0, 0),
            to: need(0, 0),
            wanted: None,
        },
        Case {
            name: "at most half of the spare parts move",
            from: need(100_000, 100_000),
            to: need(500_000, 400_000),
            wanted: Some(150_000),
        },
        Case {
            name: "no more than the lacking parts move",
            from: need(0, 0),
            to: need(500_000, 20_000),
            wanted: Some(20_000),
        },
        Case {
            name: "the giving pool needs its own parts",
            from: need(100_000, 400_000),
            to: need(500_000, 500_000),
            wanted: None,
        },
    ];
    let split = parts(&[("a", 500_000), ("b", 500_000)]);
    for case in cases {
        let needs = BTreeMap::from([(pool("a"), case.from), (pool("b"), case.to)]);
        let found = plan_transfer(&split, &needs, &pool("a"), 10_000);
        let to = pool("b");
        let wanted = case.wanted.map(|amount| Transfer { to, amount });
        assert_eq!(found, wanted, "{}", case.name);
    }
}

/// Number of parts in the whole limit of the modelled system.
const ALL: u32 = 4;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Sent {
    /// Owner that sent it: 0 and then 1 own the first pool, 2 owns the second pool.
    by: usize,
    epoch: u32,
    revision: i64,
    amount: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct System {
    /// Whether a transfer requires that the giving pool's unit record is unchanged.
    fenced: bool,
    revision: i64,
    parts: [u32; 2],
    epoch: u32,
    owners: [Slice; 3],
    sent: Vec<Sent>,
}

impl System {
    fn new(fenced: bool) -> Self {
        let mut owners: [Slice; 3] = Default::default();
        owners[0].update(1, ALL / 2);
        owners[2].update(1, ALL / 2);
        Self {
            fenced,
            revision: 1,
            parts: [ALL / 2; 2],
            epoch: 0,
            owners,
            sent: Vec::new(),
        }
    }

    /// Returns the owners that may act.
    fn acting(&self) -> [usize; 2] {
        [
            usize::try_from(self.epoch).expect("an epoch fits into usize"),
            2,
        ]
    }

    fn exceeds_limit(&self) -> bool {
        let usable = self.acting().map(|owner| self.owners[owner].usable());
        usable.iter().sum::<u32>() > ALL
    }

    fn successors(&self) -> Vec<Self> {
        let mut all = Vec::new();
        for owner in self.acting() {
            let mut seen = self.clone();
            seen.owners[owner].update(self.revision, self.parts[usize::from(owner == 2)]);
            all.push(seen);
            let mut giving = self.clone();
            if self.sent.len() < 3 && giving.owners[owner].begin_transfer(1) {
                giving.sent.push(Sent {
                    by: owner,
                    epoch: self.epoch,
                    revision: self.owners[owner].revision(),
                    amount: 1,
                });
                all.push(giving);
            }
        }
        if self.epoch == 0 {
            let mut taken = self.clone();
            taken.epoch = 1;
            taken.owners[1].update(self.revision, self.parts[0]);
            all.push(taken);
        }
        all.extend((0..self.sent.len()).map(|index| self.execute(index)));
        all
    }

    /// Returns the system after the store has executed a transfer, which may be arbitrarily late.
    fn execute(&self, index: usize) -> Self {
        let mut next = self.clone();
        let sent = next.sent.remove(index);
        let current = sent.by == 2 || sent.epoch == self.epoch || !self.fenced;
        if current && sent.revision == self.revision {
            let from = usize::from(sent.by == 2);
            next.parts[from] -= sent.amount;
            next.parts[1 - from] += sent.amount;
            next.revision += 1;
        }
        next
    }
}

fn search(first: System) -> (usize, Option<System>) {
    let mut seen = HashSet::from([first.clone()]);
    let mut queue = VecDeque::from([first]);
    while let Some(system) = queue.pop_front() {
        for next in system.successors() {
            if next.exceeds_limit() {
                return (seen.len(), Some(next));
            }
            if next.revision < 6 && seen.insert(next.clone()) {
                queue.push_back(next);
            }
        }
    }
    (seen.len(), None)
}

#[test]
fn slices_never_sum_above_the_limit() {
    let (states, violation) = search(System::new(true));
    assert_eq!(violation, None);
    assert!(states > 1_000, "only {states} states");
}

#[test]
fn transfers_without_the_unit_comparison_exceed_the_limit() {
    let (_, violation) = search(System::new(false));
    assert!(
        violation.is_some(),
        "the search must find the late transfer of an expired owner"
    );
}
