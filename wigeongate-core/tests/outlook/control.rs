//! Decisions of one gate, and of several gates that share the room.

use std::sync::Arc;

use wigeongate_core::ids::{GateId, QueueId, TeamId};
use wigeongate_core::outlook::{
    AdmissionControl, Forecaster, LaneOutlook, OfferedLoad, Outlook, QueueOutlook, Refusal,
    RefusalReason, TeamOutlook,
};
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    FreeHosts, QueueLoad, QueueRules, Repeat, Rules, ServiceLoad, StepSpec, TeamRules, WorkOrigin,
    Workflow, WorkflowId, WorkflowSpec,
};

const CORE: u64 = 1_000;

/// The capacity of the only service.
const TOTAL: Resources = Resources {
    cpu: 1_000 * CORE,
    memory: 4_000_000,
    accelerators: 0,
};

/// A job of 10 cores for 1 s: 10 ms of the whole service. Its objective is after 2,250 ms, and it is
/// worthless if it waits for more than 5,750 ms.
fn job(id: u64) -> Workflow {
    Workflow {
        id: WorkflowId(id),
        queue: QueueId::from("quick"),
        team: Some(TeamId::from("branch")),
        accepted: 0,
        spec: Arc::new(WorkflowSpec {
            command: "assemble".to_owned(),
            steps: vec![StepSpec {
                count: 10,
                requested: Resources {
                    cpu: CORE,
                    memory: 1_000,
                    accelerators: 0,
                },
                estimate: Millis(1_000),
                ..StepSpec::default()
            }],
            repeat: None,
        }),
        rules: Arc::new(QueueRules {
            service: "desk".to_owned(),
            stretch: 2.0,
            target: Millis(250),
            ..QueueRules::default()
        }),
    }
}

fn lane(wait_ms: u64) -> LaneOutlook {
    LaneOutlook {
        waits: vec![Millis(wait_ms)],
        ceiling: Millis(60_000),
        rate: 1_000_000,
    }
}

/// An outlook with the same wait in every lane.
fn outlook(wait_ms: u64) -> Outlook {
    Outlook {
        age: Millis::ZERO,
        portion: 1_000_000,
        services: vec![("desk".to_owned(), TOTAL)],
        queues: vec![QueueOutlook {
            queue: QueueId::from("quick"),
            service: "desk".to_owned(),
            in_time: lane(wait_ms),
            late: lane(wait_ms),
            over_share: lane(wait_ms),
            ..QueueOutlook::default()
        }],
        teams: Vec::new(),
    }
}

fn with_queue(wait_ms: u64, change: impl Fn(&mut QueueOutlook)) -> Outlook {
    let mut outlook = outlook(wait_ms);
    change(&mut outlook.queues[0]);
    outlook
}

fn free_host(cores: u64, memory: u64) -> FreeHosts {
    FreeHosts {
        size: Resources {
            cpu: cores * CORE,
            memory,
            accelerators: 0,
        },
        hosts: 1,
    }
}

struct Case {
    name: &'static str,
    /// The outlook and when the call for it was sent.
    outlook: Option<(Outlook, u64)>,
    job: Workflow,
    now: u64,
    refused: bool,
}

impl Case {
    fn new(name: &'static str, outlook: Outlook, refused: bool) -> Self {
        Self {
            name,
            outlook: Some((outlook, 10_000)),
            job: job(1),
            now: 10_000,
            refused,
        }
    }
}

fn with_spec(change: impl Fn(&mut WorkflowSpec)) -> Workflow {
    let mut flow = job(1);
    change(Arc::make_mut(&mut flow.spec));
    flow
}

fn check(cases: Vec<Case>) {
    for case in cases {
        let mut gate = AdmissionControl::default();
        if let Some((outlook, sent)) = case.outlook {
            gate.install(outlook, Millis(sent));
        }
        let refusal = gate.decide(&case.job, Millis(case.now)).refusal;
        assert_eq!(
            refusal.is_some(),
            case.refused,
            "{}: {refusal:?}",
            case.name
        );
    }
}

/// Guards against refusals by an old outlook, and of jobs to which the forecast does not apply.
#[test]
fn a_job_is_refused_only_if_a_recent_forecast_applies_to_it() {
    let long = || outlook(20_000);
    check(vec![
        Case::new("a wait beyond all value", long(), true),
        Case::new("a wait that makes the job late", outlook(5_000), false),
        Case::new("a wait just beyond all value", outlook(5_800), false),
        Case {
            name: "no outlook",
            outlook: None,
            ..Case::new("", long(), false)
        },
        Case {
            name: "the gate is cut off from the owner for 2 s",
            now: 12_000,
            ..Case::new("", long(), true)
        },
        Case {
            name: "the gate is cut off from the owner for longer",
            now: 12_001,
            ..Case::new("", long(), false)
        },
        Case {
            name: "the gate stood still and the boot clock went on",
            now: 600_000,
            ..Case::new("", long(), false)
        },
        Case {
            name: "the queue is not in the outlook",
            job: Workflow {
                queue: QueueId::from("new"),
                ..job(1)
            },
            ..Case::new("", long(), false)
        },
        Case {
            name: "a job that runs until it is cancelled",
            job: with_spec(|spec| spec.steps[0].long_running = true),
            ..Case::new("", long(), false)
        },
        Case {
            name: "a job that runs later",
            job: with_spec(|spec| {
                spec.repeat = Some(Repeat {
                    first: 1_000_000,
                    interval: Millis(1_000),
                    count: 2,
                });
            }),
            ..Case::new("", long(), false)
        },
        Case {
            name: "a job for some hosts only",
            job: with_spec(|spec| spec.steps[0].requires = Some("kind-a".to_owned())),
            ..Case::new("", long(), false)
        },
    ]);
}

/// Guards against refusals while hosts have room, and while nothing supports the forecast.
#[test]
fn a_job_is_refused_only_if_hosts_have_no_room_for_it() {
    check(vec![
        Case::new(
            "hosts have room",
            with_queue(20_000, |queue| queue.free = vec![free_host(10, 10_000)]),
            false,
        ),
        Case::new(
            "hosts have room for some of the tasks",
            with_queue(20_000, |queue| queue.free = vec![free_host(9, 90_000)]),
            true,
        ),
        Case::new(
            "hosts have processors but no memory",
            with_queue(20_000, |queue| queue.free = vec![free_host(10, 9_000)]),
            true,
        ),
        Case::new(
            "the room is for tasks that wait already",
            with_queue(20_000, |queue| {
                queue.free = vec![free_host(10, 10_000)];
                queue.wanted = 1_000;
            }),
            true,
        ),
        Case::new(
            "no step has waited long enough to support the forecast",
            with_queue(20_000, |queue| {
                queue.in_time.ceiling = Millis(1_000);
                queue.late.ceiling = Millis(1_000);
            }),
            false,
        ),
    ]);
}

/// Guards against refusals that alternate with acceptance while the forecast is at the limit.
#[test]
fn refusals_begin_above_the_limit_and_end_at_it() {
    struct Stage {
        wait_ms: u64,
        refused: bool,
    }
    let stages = [(5_800, false), (7_000, true), (5_800, true), (5_700, false)];
    let mut gate = AdmissionControl::default();
    for (number, (wait_ms, refused)) in (0..).zip(stages) {
        let stage = Stage { wait_ms, refused };
        let now = Millis(10_000 + number * 500);
        gate.install(outlook(stage.wait_ms), now);
        let refusal = gate.decide(&job(number), now).refusal;
        assert_eq!(refusal.is_some(), stage.refused, "stage {number}");
        if refusal.is_some() {
            let begins = gate.record_refusal(&QueueId::from("quick"), now);
            assert_eq!(begins, number == 1, "stage {number}");
        }
    }
    assert!(gate.ended_refusals(Millis(13_000)).is_empty());
    let ended = gate.ended_refusals(Millis(13_001));
    assert_eq!(ended, [QueueId::from("quick")]);
}

/// Guards against a refusal of a job whose earlier attempt at this gate may still be stored.
#[test]
fn a_job_that_is_being_stored_is_not_refused() {
    let mut gate = AdmissionControl::default();
    let now = Millis(10_000);
    gate.begin(&job(1), false, now);
    gate.install(outlook(20_000), now);
    assert_eq!(gate.decide(&job(1), now).refusal, None);
    gate.settle(WorkflowId(1), now);
    assert_eq!(gate.decide(&job(1), now).refusal, None);
    gate.install(outlook(20_000), Millis(10_500));
    assert!(gate.decide(&job(1), Millis(10_500)).refusal.is_some());
    gate.begin(&job(2), false, Millis(10_500));
    gate.discard(WorkflowId(2));
    assert!(gate.decide(&job(2), Millis(10_500)).refusal.is_some());
}

/// Guards against jobs that are forgotten between their acceptance and the outlook that includes them.
#[test]
fn jobs_count_from_their_acceptance_until_an_outlook_includes_them() {
    let mut gate = AdmissionControl::default();
    gate.install(outlook(0), Millis(10_000));
    let mut accepted = 0;
    while gate
        .decide(&job(accepted), Millis(10_000))
        .refusal
        .is_none()
    {
        gate.begin(&job(accepted), false, Millis(10_000));
        accepted += 1;
    }
    // The job before which 5,750 ms of the service are due is worthless; refusals begin 15% later.
    assert_eq!(accepted, 677);
    gate.install(outlook(0), Millis(10_500));
    assert!(
        gate.decide(&job(accepted), Millis(10_500))
            .refusal
            .is_some()
    );
    for id in 0..accepted {
        gate.settle(WorkflowId(id), Millis(10_600));
    }
    gate.install(outlook(0), Millis(10_600));
    assert!(
        gate.decide(&job(accepted), Millis(10_600))
            .refusal
            .is_some()
    );
    gate.install(outlook(0), Millis(10_601));
    assert_eq!(gate.decide(&job(accepted), Millis(10_601)).refusal, None);
}

/// A service on which steps of one queue wait.
fn load(wait_ms: u64) -> ServiceLoad {
    ServiceLoad {
        service: "desk".to_owned(),
        total: TOTAL,
        queues: vec![QueueLoad {
            queue: QueueId::from("quick"),
            late: wait_ms * 1_000_000,
            oldest: [Millis::ZERO, Millis(5_000), Millis::ZERO],
            ..QueueLoad::default()
        }],
    }
}

fn rules() -> Rules {
    let mut rules = Rules::default();
    let team = TeamRules {
        weight: 10.0,
        maximum: Resources::UNBOUNDED,
    };
    rules.teams.insert(TeamId::from("branch"), team);
    rules
}

fn gate_name(at: usize) -> GateId {
    GateId::from(format!("gate-{at}"))
}

/// Returns an owner's forecaster that has heard from each gate for long enough.
fn warm(gates: usize, offered: impl Fn(usize) -> OfferedLoad) -> Forecaster {
    let mut forecaster = Forecaster::default();
    for call in 0..4 {
        let now = Millis(10_000 + call * 500);
        forecaster.update(vec![load(3_000)], now);
        for at in 0..gates {
            let answer = forecaster.outlook(&gate_name(at), &offered(at), &rules(), now);
            assert_eq!(answer.is_some(), call == 3, "call {call}");
        }
    }
    forecaster
}

/// Guards against gates that each fill the whole room.
#[test]
fn gates_that_decide_at_once_share_the_room() {
    struct Case {
        name: &'static str,
        gates: usize,
        /// The part of the jobs that the first gate gets, in percent.
        first: u32,
    }
    let cases = [
        Case {
            name: "one gate",
            gates: 1,
            first: 100,
        },
        Case {
            name: "29 gates with equal load",
            gates: 29,
            first: 3,
        },
        Case {
            name: "29 gates, most of the load at one",
            gates: 29,
            first: 72,
        },
    ];
    for case in cases {
        let offered = |at: usize| OfferedLoad {
            jobs: Vec::new(),
            core_ms: if at == 0 { u64::from(case.first) } else { 1 } * 10_000,
        };
        let mut forecaster = warm(case.gates, offered);
        let now = Millis(11_500);
        let mut accepted = 0;
        for at in 0..case.gates {
            let outlook = forecaster.outlook(&gate_name(at), &offered(at), &rules(), now);
            let mut gate = AdmissionControl::default();
            gate.install(outlook.expect("the owner knows enough"), now);
            while gate.decide(&job(accepted), now).refusal.is_none() {
                gate.begin(&job(accepted), false, now);
                accepted += 1;
            }
        }
        // After a wait of 3,000 ms there is room for 2,750 ms of the service, and 15% more before
        // refusals begin; each gate may exceed its portion by its last job.
        let most =
            (5_750 * 115 / 100 + 300 - 3_000) / 10 + u64::try_from(case.gates).expect("a few");
        assert!(accepted <= most, "{}: {accepted} of {most}", case.name);
        assert!(accepted * 2 > most, "{}: {accepted} of {most}", case.name);
    }
}

/// Guards against refusals within the share of a team that submits too much.
#[test]
fn the_excess_of_a_hot_team_is_refused_first() {
    let mut gate = AdmissionControl::default();
    let mut hot = with_queue(0, |queue| queue.over_share = lane(20_000));
    hot.teams = vec![TeamOutlook {
        team: TeamId::from("branch"),
        within: 250_000,
    }];
    gate.install(hot, Millis(10_000));
    let refusals = (0..40).filter_map(|id| gate.decide(&job(id), Millis(10_000)).refusal);
    let refusals: Vec<Refusal> = refusals.collect();
    assert_eq!(refusals.len(), 30);
    let is_over = |it: &Refusal| it.reason == RefusalReason::OverShare;
    assert!(refusals.iter().all(is_over));
    let other = Workflow {
        team: Some(TeamId::from("other")),
        ..job(50)
    };
    assert_eq!(gate.decide(&other, Millis(10_000)).refusal, None);
}

/// Guards against a team that counts as over its share by the chance of a few jobs.
#[test]
fn a_team_is_over_its_share_by_what_all_gates_are_offered() {
    for (each, is_over) in [(1, false), (3, true)] {
        let offered = |_| OfferedLoad {
            jobs: vec![(TeamId::from("branch"), each)],
            core_ms: 0,
        };
        let mut forecaster = warm(5, offered);
        let outlook = forecaster
            .outlook(&gate_name(0), &offered(0), &rules(), Millis(11_500))
            .expect("the owner knows enough");
        assert_eq!(!outlook.teams.is_empty(), is_over, "{each} jobs a call");
    }
}

/// Guards against forecasts that trust estimates more than what is observed.
#[test]
fn observed_waits_bound_the_forecast() {
    struct Case {
        name: &'static str,
        late_ms: u64,
        oldest_ms: u64,
        started_ms: u64,
        wait_ms: u64,
    }
    let cases = [
        Case {
            name: "the model alone",
            late_ms: 4_000,
            oldest_ms: 3_000,
            started_ms: 2_000,
            wait_ms: 4_000,
        },
        Case {
            name: "estimates ten times too high",
            late_ms: 40_000,
            oldest_ms: 100,
            started_ms: 100,
            wait_ms: 800,
        },
        Case {
            name: "estimates ten times too low",
            late_ms: 400,
            oldest_ms: 4_000,
            started_ms: 3_500,
            wait_ms: 3_500,
        },
        Case {
            name: "long waits before the queue drained",
            late_ms: 400,
            oldest_ms: 50,
            started_ms: 3_500,
            wait_ms: 400,
        },
        Case {
            name: "long waits before the queue drained, nothing waits",
            late_ms: 400,
            oldest_ms: 0,
            started_ms: 3_500,
            wait_ms: 0,
        },
    ];
    for case in cases {
        let mut forecaster = warm(1, |_| OfferedLoad::default());
        let mut now = load(case.late_ms);
        now.queues[0].oldest[1] = Millis(case.oldest_ms);
        forecaster.update(vec![now], Millis(12_000));
        let origin = WorkOrigin {
            queue: QueueId::from("quick"),
            service: "desk".to_owned(),
            over_share: false,
        };
        let spec = StepSpec::default();
        forecaster.record_start(&origin, &spec, Millis(case.started_ms), Millis(12_000));
        let outlook = forecaster
            .outlook(
                &gate_name(0),
                &OfferedLoad::default(),
                &rules(),
                Millis(12_000),
            )
            .expect("the owner knows enough");
        let wait = outlook.queues[0].late.waits[0];
        assert_eq!(wait, Millis(case.wait_ms), "{}", case.name);
    }
}

/// Guards against outlooks from a state that is no longer true.
#[test]
fn an_owner_without_a_recent_load_has_no_outlook() {
    let mut forecaster = warm(1, |_| OfferedLoad::default());
    let mut ask = |now| {
        let offered = OfferedLoad::default();
        forecaster.outlook(&gate_name(0), &offered, &rules(), Millis(now))
    };
    assert!(ask(12_500).is_some());
    assert!(ask(12_501).is_none());
}

/// Guards against callers that come back at the same time, and against a `Retry-After` out of bounds.
#[test]
fn callers_are_told_to_come_back_around_the_expected_wait() {
    struct Case {
        name: &'static str,
        reason: RefusalReason,
        wait_ms: u64,
        jitter: f64,
        seconds: u64,
    }
    let case = |name, reason, wait_ms, jitter, seconds| Case {
        name,
        reason,
        wait_ms,
        jitter,
        seconds,
    };
    let cases = [
        case("earliest", RefusalReason::Overload, 8_000, 0.0, 4),
        case("middle", RefusalReason::Overload, 8_000, 0.5, 8),
        case("latest", RefusalReason::Overload, 8_000, 1.0, 12),
        case(
            "earliest, over share",
            RefusalReason::OverShare,
            8_000,
            0.0,
            8,
        ),
        case(
            "latest, over share",
            RefusalReason::OverShare,
            8_000,
            1.0,
            12,
        ),
        case("no wait", RefusalReason::Overload, 0, 0.5, 1),
        case(
            "a long wait, earliest",
            RefusalReason::Overload,
            900_000,
            0.0,
            10,
        ),
        case(
            "a long wait, latest",
            RefusalReason::Overload,
            900_000,
            1.0,
            30,
        ),
    ];
    for case in cases {
        let refusal = Refusal {
            reason: case.reason,
            wait: Millis(case.wait_ms),
        };
        assert_eq!(
            refusal.retry_after(case.jitter),
            case.seconds,
            "{}",
            case.name
        );
    }
}
