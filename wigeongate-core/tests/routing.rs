//! Tests of the routing of requests to backend servers, and of retries.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use uuid::Uuid;
use wigeongate_core::collections::{HashMap, HashSet};
use wigeongate_core::ids::{BackendId, Epoch, RequestId, TeamId};
use wigeongate_core::retry::{RetryTokens, backoff, meets_deadline};
use wigeongate_core::routing::{
    Assignment, Ending, ReportedRequest, Routing, ServerReport, ServerSpec, lane_limit,
};
use wigeongate_core::time::Millis;

const EPOCH: Epoch = Epoch(5);

const SLOTS: u32 = 3;

fn id(number: u128) -> RequestId {
    RequestId(Uuid::from_u128(number))
}

fn spec(name: &str, lane: u16, zone: &str) -> ServerSpec {
    ServerSpec {
        name: name.into(),
        lane,
        zone: zone.into(),
        slots: SLOTS,
        queues: Vec::new(),
    }
}

fn report(asked: Millis, running: &[u128]) -> ServerReport {
    ServerReport {
        asked,
        epoch: EPOCH,
        leaving: false,
        running: running
            .iter()
            .map(|number| ReportedRequest {
                id: id(*number),
                team: "aarhus".into(),
            })
            .collect(),
    }
}

/// Returns a router with two open servers in one lane and a limit for the only team.
fn open(limit: u32) -> Routing {
    let mut routing = Routing::new("z1".into());
    let specs = vec![spec("x1", 0, "z1"), spec("x2", 0, "z2")];
    routing.configure(specs, 1, &HashSet::default());
    routing.set_limits([("aarhus".into(), limit)], false);
    routing.set_epoch(0, Some(EPOCH));
    for name in ["x1", "x2"] {
        routing.apply_report(&name.into(), &report(Millis::ZERO, &[]));
    }
    routing
}

fn choose(routing: &mut Routing, number: u128) -> Option<Assignment> {
    let team = "aarhus".into();
    routing.choose(Millis(10), id(number), &team, &"q".into())
}

fn fill(routing: &mut Routing, from: u128) -> Vec<Assignment> {
    (from..)
        .map_while(|number| choose(routing, number))
        .collect()
}

struct BlockedCase {
    name: &'static str,
    change: fn(&mut Routing),
    /// Servers that still receive requests.
    servers: &'static [&'static str],
}

#[test]
fn unusable_servers_receive_no_requests() {
    let cases = [
        BlockedCase {
            name: "all servers are usable",
            change: |_| {},
            servers: &["x1", "x2"],
        },
        BlockedCase {
            name: "another gate owns the lane",
            change: |routing| routing.set_epoch(0, None),
            servers: &[],
        },
        BlockedCase {
            name: "no server has reported under the new epoch",
            change: |routing| routing.set_epoch(0, Some(Epoch(6))),
            servers: &[],
        },
        BlockedCase {
            name: "a server is leaving",
            change: |routing| {
                let leaving = ServerReport {
                    leaving: true,
                    ..report(Millis::ZERO, &[])
                };
                routing.apply_report(&"x1".into(), &leaving);
            },
            servers: &["x2"],
        },
        BlockedCase {
            name: "a host is leaving",
            change: |routing| routing.set_host_leaving(&"x2".into(), true),
            servers: &["x1"],
        },
        BlockedCase {
            name: "an availability zone is out of service",
            change: |routing| {
                let specs = vec![spec("x1", 0, "z1"), spec("x2", 0, "z2")];
                routing.configure(specs, 1, &HashSet::from_iter(["z1".into()]));
            },
            servers: &["x2"],
        },
        BlockedCase {
            name: "a report under an older epoch opens no server",
            change: |routing| {
                routing.set_epoch(0, Some(Epoch(6)));
                routing.apply_report(&"x1".into(), &report(Millis::ZERO, &[]));
            },
            servers: &[],
        },
    ];
    for case in cases {
        let mut routing = open(u32::MAX);
        (case.change)(&mut routing);
        let mut servers: Vec<String> = fill(&mut routing, 2_000)
            .iter()
            .map(|chosen| chosen.server.to_string())
            .collect();
        servers.sort();
        servers.dedup();
        assert_eq!(servers, case.servers, "{}", case.name);
    }
}

#[test]
fn requests_of_the_previous_owner_occupy_slots_until_they_end() {
    let mut routing = open(u32::MAX);
    routing.set_epoch(0, Some(Epoch(6)));
    for name in ["x1", "x2"] {
        let report = ServerReport {
            epoch: Epoch(6),
            ..report(Millis(1), &[1, 2])
        };
        routing.apply_report(&name.into(), &report);
    }
    assert_eq!(fill(&mut routing, 1_000).len(), 2);
    let ended = ServerReport {
        epoch: Epoch(6),
        ..report(Millis(20), &[])
    };
    routing.apply_report(&"x1".into(), &ended);
    assert_eq!(fill(&mut routing, 2_000).len(), 2);
}

#[test]
fn a_timed_out_request_occupies_its_slot_until_the_server_reports() {
    let mut routing = open(u32::MAX);
    let all = fill(&mut routing, 2_000);
    assert_eq!(all.len(), 2 * SLOTS as usize);
    let lost = &all[0];
    routing.release(Millis(30), lost, Ending::TimedOut);
    assert_eq!(choose(&mut routing, 1), None);
    routing.apply_report(&lost.server, &report(Millis(20), &[]));
    assert_eq!(
        choose(&mut routing, 2),
        None,
        "the report was requested before the timeout"
    );
    routing.apply_report(&lost.server, &report(Millis(40), &[]));
    assert!(choose(&mut routing, 3).is_some());
}

#[test]
fn a_failing_server_is_ejected_and_tried_again_later() {
    let mut routing = open(u32::MAX);
    let mut number = 0;
    let mut send = |routing: &mut Routing, now: Millis, ending: Ending| {
        number += 1;
        let team = "aarhus".into();
        let chosen = routing.choose(now, id(number), &team, &"q".into());
        let chosen = chosen.expect("a slot is free");
        let failing = chosen.server == BackendId::from("x1");
        let ending = if failing { ending } else { Ending::Answered };
        routing.release(now, &chosen, ending);
        failing
    };
    let now = Millis(100);
    let failed = (0..40).filter(|_| send(&mut routing, now, Ending::Failed));
    assert_eq!(failed.count(), 3);
    let back = now + Millis(1_001);
    let tried = (0..8).filter(|_| send(&mut routing, back, Ending::Answered));
    assert!(tried.count() > 0);
    // Of two servers only one may be ejected, so the other stays in use even if it fails.
    let mut routing = open(u32::MAX);
    for round in 0..20 {
        let chosen = choose(&mut routing, 500 + round).expect("a slot is free");
        routing.release(Millis(10), &chosen, Ending::Failed);
    }
    assert!(choose(&mut routing, 900).is_some());
}

#[test]
fn lane_limits_sum_to_the_limit() {
    for limit in [0, 1, 7, 17, 18, 19, 400] {
        let sum: u32 = (0..18).map(|lane| lane_limit(limit, lane, 18)).sum();
        assert_eq!(sum, limit);
    }
}

#[test]
fn retries_stay_under_a_tenth_of_the_sends() {
    let mut budget = RetryTokens::default();
    let team = TeamId::from("aarhus");
    assert!(!budget.try_spend(&team), "no request was sent yet");
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.record_send(&team);
        retries += u32::from(budget.try_spend(&team));
    }
    assert!(retries > 50, "{retries} retries");
    assert!(retries <= 100, "{retries} retries");
}

#[test]
fn backoff_is_bounded_and_retries_end_before_the_deadline() {
    for retry in 0..40 {
        assert!(backoff(retry, u32::MAX) <= Millis(1_001));
        assert!(backoff(retry, 0) >= Millis(1));
    }
    assert!(meets_deadline(Millis(10), Millis(5), Millis(4), Millis(20)));
    assert!(!meets_deadline(
        Millis(10),
        Millis(5),
        Millis(5),
        Millis(20)
    ));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn slots_and_limits_are_never_exceeded(
        limit in 0..9_u32,
        steps in prop::collection::vec((0..5_u8, any::<prop::sample::Index>()), 1..200),
    ) {
        let mut routing = open(limit);
        let mut running: Vec<Assignment> = Vec::new();
        for (number, (step, place)) in steps.into_iter().enumerate() {
            let now = Millis(10 + number as u64);
            if step < 3 {
                let id = id(number as u128);
                let chosen = routing.choose(now, id, &"aarhus".into(), &"q".into());
                running.extend(chosen);
            } else if !running.is_empty() {
                let chosen = running.swap_remove(place.index(running.len()));
                let ending = if step == 3 { Ending::Answered } else { Ending::Neutral };
                routing.release(now, &chosen, ending);
            }
            let mut counts: HashMap<BackendId, u32> = HashMap::default();
            for chosen in &running {
                *counts.entry(chosen.server.clone()).or_default() += 1;
            }
            prop_assert!(counts.values().all(|count| *count <= SLOTS));
            prop_assert!(running.len() <= limit as usize);
        }
    }
}
