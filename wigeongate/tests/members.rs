//! Membership and ownership of units with several gates in one process.

mod fleet;

use std::time::Duration;

use wigeongate::cluster::Cluster;
use wigeongate_config::change::Change;
use wigeongate_config::configuration::Configuration;
use wigeongate_core::ids::{GateId, Revision, Unit};
use wigeongate_core::time::Millis;
use wigeongate_standin::store::Fault;

use crate::fleet::{Fleet, wait_until};

#[tokio::test(flavor = "multi_thread")]
async fn units_are_balanced_and_taken_over_after_a_crash() {
    let mut fleet = Fleet::start(3, 9).await;
    wait_until("each lane has one owner", || fleet.all_lanes_owned(9)).await;
    wait_until("the lanes are balanced", || {
        fleet.lane_counts(9) == [3, 3, 3]
    })
    .await;

    let crashed = fleet
        .gates
        .remove(&"gate-1".into())
        .expect("the gate has joined");
    crashed.members.abort();
    wait_until("the other gates own all lanes", || fleet.all_lanes_owned(9)).await;
    let view = fleet.gates[&"gate-0".into()].members.view();
    assert_eq!(view.members.len(), 2, "the crashed gate was evicted");
}

#[tokio::test(flavor = "multi_thread")]
async fn owners_keep_their_units_during_a_store_outage_longer_than_the_lease() {
    let fleet = Fleet::start(3, 6).await;
    wait_until("the lanes are balanced", || {
        fleet.lane_counts(6) == [2, 2, 2]
    })
    .await;
    fleet.set_store_fault(Fault {
        down: true,
        ..Fault::default()
    });
    let epoch = |lane| {
        let acts = |gate: &fleet::Gate| gate.members.may_act(&Unit::Lane(lane));
        fleet.gates.values().find_map(acts)
    };
    let before: Vec<_> = (0..6).map(epoch).collect();
    tokio::time::sleep(Duration::from(fleet.timing.lease) * 3).await;
    wait_until("each lane still has one owner", || fleet.all_lanes_owned(6)).await;
    fleet.set_store_fault(Fault::default());
    tokio::time::sleep(Duration::from(fleet.timing.lease) * 2).await;
    wait_until("each lane has one owner again", || fleet.all_lanes_owned(6)).await;
    let after: Vec<_> = (0..6).map(epoch).collect();
    assert_eq!(before, after, "no unit was taken over");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_hands_over_every_unit_without_an_eviction() {
    let mut fleet = Fleet::start(3, 6).await;
    wait_until("the lanes are balanced", || {
        fleet.lane_counts(6) == [2, 2, 2]
    })
    .await;
    let leaving = fleet
        .gates
        .remove(&"gate-1".into())
        .expect("the gate has joined");
    leaving.members.leave().await;
    wait_until("the other gates own all lanes", || fleet.all_lanes_owned(6)).await;
    let quiet = |gate: &fleet::Gate| {
        let view = gate.members.view();
        view.owned
            .values()
            .all(|owned| owned.takeover_grace == Millis::ZERO)
    };
    assert!(fleet.gates.values().all(quiet), "no unit was taken over");
}

#[tokio::test(flavor = "multi_thread")]
async fn each_lane_has_at_most_one_owner_while_answers_of_the_store_are_lost() {
    let mut fleet = Fleet::start(2, 4).await;
    wait_until("each lane has one owner", || fleet.all_lanes_owned(4)).await;
    fleet.set_store_fault(Fault {
        lose_every: 2,
        ..Fault::default()
    });
    fleet.start_gate("gate-2");
    wait_until("the new gate owns a lane", || {
        let [.., last] = fleet.lane_counts(4)[..] else {
            return false;
        };
        last > 0 && fleet.all_lanes_owned(4)
    })
    .await;
    for _ in 0..100 {
        for lane in 0..4 {
            let actors = fleet.acting_gates(&Unit::Lane(lane));
            assert!(actors.len() <= 1, "gates {actors:?} may act on lane {lane}");
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_change_reaches_every_gate_during_a_store_outage() {
    // The disconnected gate must lose its right to admit work while the others keep theirs: with
    // four or more other members, an owner may lack the promise of one.
    let mut fleet = Fleet::start(6, 3).await;
    wait_until("all gates are present", || fleet.all_present()).await;
    let first = &fleet.gates[&GateId::from("gate-0")];
    let revision = first.configurations.change(Change::Pause, None).await;
    let revision = revision.expect("the change is accepted");
    let seen = Some(Revision(revision.0 - 1));
    let raced = first.configurations.change(Change::Resume, seen).await;
    let raced = raced
        .expect_err("the expected revision is outdated")
        .to_string();
    assert!(raced.ends_with("changed: pause"), "{raced}");
    fleet.set_store_fault(Fault {
        down: true,
        ..Fault::default()
    });
    let in_force = |gate: &fleet::Gate| gate.configurations.live().configuration.revision;
    wait_until("the change is in force everywhere", || {
        fleet.gates.values().all(|gate| in_force(gate) == revision)
    })
    .await;
    wait_until(
        "every gate knows that the change is in force everywhere",
        || {
            let gates = fleet.gates.values();
            gates.clone().all(|gate| gate.members.in_force(revision))
        },
    )
    .await;
    for gate in fleet.gates.values() {
        let old = gate.configurations.apply_newer(Configuration::default());
        assert_eq!(old, revision, "an older configuration is ignored");
    }
    let cut_off = fleet
        .gates
        .remove(&"gate-2".into())
        .expect("the gate has joined");
    cut_off.members.disconnect();
    wait_until("the disconnected gate stops admitting work", || {
        !cut_off.members.admits()
    })
    .await;
    assert!(fleet.gates.values().all(|gate| gate.members.admits()));
}
