//! Tests of the slices of the teams' limits against a store with faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wigeongate::etcd::Etcd;
use wigeongate::members::unit_key;
use wigeongate::slices::{SliceTransfer, Slices, parts_for};
use wigeongate::store::{CommitOutcome, Condition, Feed, Store, Txn, Write};
use wigeongate_config::settings::StoreSettings;
use wigeongate_core::ids::{Epoch, PoolId, TeamId, Unit};
use wigeongate_core::policy::{Policy, Team, Worker};
use wigeongate_core::resources::Resources;
use wigeongate_core::slices::{Transfer, WHOLE};
use wigeongate_standin::serve::ServerHandle;
use wigeongate_standin::store::{Fault, Store as StandIn};

/// The time after which a condition that does not come true fails the test.
const TEST_TIMEOUT: Duration = Duration::from_mins(1);

/// The CPU limit of the team, in millicores.
const LIMIT_MILLICORES: u64 = 1_000_000;

/// A running stand-in of the store with a client and a policy.
struct Fixture {
    stand_in: Arc<StandIn>,
    _running: ServerHandle,
    store: Arc<dyn Store>,
    feed: Arc<Feed>,
    policy: Policy,
}

async fn fixture() -> Fixture {
    let stand_in = StandIn::new();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let running = stand_in.spawn(any).await.expect("the store starts");
    let settings = StoreSettings {
        endpoints: vec![format!("http://{}", running.address)],
        timeout_ms: 1_000,
        ..StoreSettings::default()
    };
    let store: Arc<dyn Store> = Arc::new(Etcd::new(&settings));
    Fixture {
        stand_in,
        _running: running,
        feed: Feed::start(store.clone()),
        store,
        policy: policy(),
    }
}

/// Returns a policy with two pools of one worker each, and one team with a CPU limit.
fn policy() -> Policy {
    let worker = |pool: &str| {
        let worker = Worker {
            host: pool.into(),
            pool: pool.into(),
            rack: "r".into(),
            zone: "z".into(),
            region: "g".into(),
            capacity: Resources::UNBOUNDED,
        };
        (pool.into(), Arc::new(worker))
    };
    let limit = Resources {
        cpu: LIMIT_MILLICORES,
        ..Resources::UNBOUNDED
    };
    let team = Team {
        share: 1,
        limit,
        slots: 0,
    };
    Policy {
        workers: [worker("a"), worker("b")].into_iter().collect(),
        teams: [(TeamId::from("t"), team)].into_iter().collect(),
        ..Policy::default()
    }
}

/// Takes over a pool for `owner` and returns the new epoch.
async fn take_pool(fixture: &Fixture, pool: &str, owner: &str) -> Epoch {
    let key = unit_key(&Unit::Pool(pool.into()));
    let revision = fixture
        .store
        .get(&key)
        .await
        .expect("the store answers")
        .revision;
    let txn = Txn {
        when: vec![Condition {
            key: key.clone(),
            revision,
        }],
        writes: vec![Write::Put {
            key,
            value: owner.into(),
        }],
    };
    let Ok(CommitOutcome::Committed(revision)) = fixture.store.commit(txn).await else {
        panic!("the store rejected the takeover of the pool");
    };
    Epoch(u64::try_from(revision).expect("revisions are positive"))
}

/// Returns a transfer of `amount` parts from pool a to pool b.
fn transfer(epoch: Epoch, amount: u32) -> SliceTransfer {
    SliceTransfer {
        team: "t".into(),
        from: "a".into(),
        epoch,
        transfer: Transfer {
            to: "b".into(),
            amount,
        },
    }
}

/// Returns the millicores that the team may use in a pool; `None` when its slice is not known yet.
fn cpu(slices: &Slices, policy: &Policy, pool: &str, epoch: Epoch) -> Option<u64> {
    let usable = slices.usable(policy, &PoolId::from(pool), epoch);
    usable.get(&TeamId::from("t")).map(|slice| slice.cpu)
}

/// Waits until a condition holds and fails the test if it does not in time.
async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let waited = tokio::time::timeout(TEST_TIMEOUT, async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
    assert!(waited.await.is_ok(), "timed out waiting until {what}");
}

#[tokio::test]
async fn a_pool_may_use_nothing_until_the_store_was_read_after_its_takeover() {
    let fixture = fixture().await;
    let slices = Slices::start(fixture.store.clone(), &fixture.feed);
    slices.refresh().await.expect("the store answers");
    slices
        .split(&fixture.policy)
        .await
        .expect("the limit is split");
    let epoch = take_pool(&fixture, "a", "first").await;
    assert_eq!(cpu(&slices, &fixture.policy, "a", epoch), None);
    slices.refresh().await.expect("the store answers");
    assert_eq!(
        cpu(&slices, &fixture.policy, "a", epoch),
        Some(LIMIT_MILLICORES / 2)
    );
}

#[tokio::test]
async fn a_transfer_lowers_the_giver_when_begun_and_raises_the_receiver_when_written() {
    let fixture = fixture().await;
    let giver = Slices::start(fixture.store.clone(), &fixture.feed);
    let receiver = Slices::start(fixture.store.clone(), &fixture.feed);
    let epoch = take_pool(&fixture, "a", "first").await;
    giver.refresh().await.expect("the store answers");
    giver
        .split(&fixture.policy)
        .await
        .expect("the limit is split");
    receiver.refresh().await.expect("the store answers");
    let planned = transfer(epoch, WHOLE / 4);
    assert!(giver.begin_transfer(&planned));
    assert_eq!(
        cpu(&giver, &fixture.policy, "a", epoch),
        Some(LIMIT_MILLICORES / 4)
    );
    assert_eq!(
        cpu(&receiver, &fixture.policy, "b", epoch),
        Some(LIMIT_MILLICORES / 2)
    );
    assert!(
        !giver.begin_transfer(&planned),
        "only one transfer is pending at a time"
    );
    giver
        .commit_transfer(&planned)
        .await
        .expect("the store answers");
    wait_until("the receiving pool sees the transfer", || {
        cpu(&receiver, &fixture.policy, "b", epoch) == Some(LIMIT_MILLICORES / 4 * 3)
    })
    .await;
    assert_eq!(
        cpu(&giver, &fixture.policy, "a", epoch),
        Some(LIMIT_MILLICORES / 4)
    );
}

#[tokio::test]
async fn a_former_owner_cannot_transfer_a_slice() {
    let fixture = fixture().await;
    let former = Slices::start(fixture.store.clone(), &fixture.feed);
    let epoch = take_pool(&fixture, "a", "first").await;
    former.refresh().await.expect("the store answers");
    former
        .split(&fixture.policy)
        .await
        .expect("the limit is split");
    let planned = transfer(epoch, WHOLE / 4);
    assert!(former.begin_transfer(&planned));
    let next = take_pool(&fixture, "a", "second").await;
    former
        .commit_transfer(&planned)
        .await
        .expect("the store answers");
    let owner = Slices::start(fixture.store.clone(), &fixture.feed);
    owner.refresh().await.expect("the store answers");
    assert_eq!(
        cpu(&owner, &fixture.policy, "a", next),
        Some(LIMIT_MILLICORES / 2)
    );
    assert_eq!(
        cpu(&owner, &fixture.policy, "b", next),
        Some(LIMIT_MILLICORES / 2)
    );
}

#[tokio::test]
async fn no_transfer_is_lost_or_doubled_when_store_answers_are_lost() {
    let fixture = fixture().await;
    let slices = Slices::start(fixture.store.clone(), &fixture.feed);
    let epoch = take_pool(&fixture, "a", "first").await;
    slices.refresh().await.expect("the store answers");
    slices
        .split(&fixture.policy)
        .await
        .expect("the limit is split");
    fixture.stand_in.set_fault(Fault {
        lose_every: 2,
        ..Fault::default()
    });
    for _ in 0..10 {
        let planned = transfer(epoch, WHOLE / 100);
        assert!(slices.begin_transfer(&planned));
        while slices.commit_transfer(&planned).await.is_err() {
            slices
                .settle()
                .await
                .expect("the transfer is settled after a lost answer");
        }
        let a = cpu(&slices, &fixture.policy, "a", epoch).expect("the slice is known");
        let b = cpu(&slices, &fixture.policy, "b", epoch).expect("the slice is known");
        assert!(
            a + b <= LIMIT_MILLICORES,
            "the slices {a} and {b} exceed the limit"
        );
    }
    fixture.stand_in.set_fault(Fault::default());
    slices.settle().await.expect("the store answers");
    let a = cpu(&slices, &fixture.policy, "a", epoch);
    let b = cpu(&slices, &fixture.policy, "b", epoch);
    assert_eq!(
        (a, b),
        (
            Some(LIMIT_MILLICORES / 10 * 4),
            Some(LIMIT_MILLICORES / 10 * 6)
        )
    );
}

#[test]
fn parts_are_rounded_up_and_unbounded_limits_take_none() {
    struct Case {
        limit: Resources,
        amount: Resources,
        parts: u32,
    }
    let cpu = |cpu| Resources {
        cpu,
        ..Resources::ZERO
    };
    let limit = |cpu| Resources {
        cpu,
        ..Resources::UNBOUNDED
    };
    let cases = [
        Case {
            limit: limit(3),
            amount: cpu(1),
            parts: WHOLE / 3 + 1,
        },
        Case {
            limit: limit(3),
            amount: cpu(4),
            parts: WHOLE,
        },
        Case {
            limit: limit(0),
            amount: cpu(1),
            parts: WHOLE,
        },
        Case {
            limit: Resources::UNBOUNDED,
            amount: cpu(9),
            parts: 0,
        },
        Case {
            limit: limit(3),
            amount: Resources::ZERO,
            parts: 0,
        },
    ];
    for case in cases {
        assert_eq!(
            parts_for(&case.limit, &case.amount),
            case.parts,
            "{}",
            case.limit
        );
    }
}
