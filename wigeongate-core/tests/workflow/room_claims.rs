//! What waiting work keeps other work from asking for.

use std::sync::Arc;

use wigeongate_core::ids::{GateId, HostId, QueueId, TeamId};
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    Action, Advice, AdviceCost, AdviceGates, HostEntry, HostReport, QueueRules, Rules, StartResult,
    StepSpec, TeamRules, Workflow, WorkflowScheduler, WorkflowSettings,
};

use super::world::{flow, host, rules, step, team};
use super::{CORE, place};

const NOW: Millis = Millis(10_000);

/// The number of hosts, of which the first two have the label `fast`.
const HOSTS: usize = 10;

/// The capacity of a host.
const HOST_CPU: u64 = 32 * CORE;

/// The job of the last team, which needs one core anywhere.
const SMALL_JOB: u64 = 1_000;

fn urgent() -> QueueId {
    QueueId::from("urgent")
}

fn usual() -> QueueId {
    QueueId::from("usual")
}

/// Returns rules of two queues that need advice, in which the team of the urgent one has a limit.
fn queues(maximum: u64) -> Rules {
    let mut rules = rules(3, Resources::UNBOUNDED);
    for (queue, priority) in [(urgent(), 0), (usual(), 1)] {
        let queue_rules = QueueRules {
            service: "desk".to_owned(),
            priority,
            attempts: 3,
            stretch: 2.0,
            target: Millis(500),
            advice: Some(AdviceCost {
                call_ms: 20.0,
                host_ms: 1.0,
                valid: Millis(2_500),
            }),
        };
        rules.queues.insert(queue, Arc::new(queue_rules));
    }
    let team_rules = TeamRules {
        weight: 1_000.0,
        maximum: Resources {
            cpu: maximum,
            ..Resources::UNBOUNDED
        },
    };
    rules.teams.insert(team(), team_rules.clone());
    let unlimited = TeamRules {
        maximum: Resources::UNBOUNDED,
        ..team_rules
    };
    rules.teams.insert(TeamId::from("other"), unlimited);
    rules
}

fn listed_host(at: usize) -> HostEntry {
    let mut entry = host(at, HOST_CPU);
    if at < 2 {
        entry.labels.push("fast".to_owned());
    }
    entry
}

/// Returns a scheduler with the first of the hosts and many gates.
fn scheduler_of(maximum: u64, hosts: usize) -> WorkflowScheduler {
    let mut scheduler = WorkflowScheduler::new(WorkflowSettings::default(), NOW);
    scheduler.configure(Arc::new(queues(maximum)));
    let mut gates = AdviceGates::new(GateId::from("gate-00"), NOW);
    for at in 1..400 {
        let name = format!("gate-{at:02}");
        gates.record_greeting(GateId::from(name.as_str()), name, NOW);
    }
    scheduler.set_advice_gates(gates);
    for at in 0..hosts {
        let entry = listed_host(at);
        let id = entry.id.clone();
        scheduler.list_host(entry, NOW);
        let report = HostReport {
            boot_ms: 1,
            sent: NOW,
            lease: NOW + Millis(60_000),
            ..HostReport::default()
        };
        scheduler.apply_report(&id, &report, NOW, &mut Vec::new());
    }
    scheduler
}

/// Work that waits before the small job and leaves a host that could run it.
struct Case {
    name: &'static str,
    /// Urgent jobs of one step each.
    steps: Vec<StepSpec>,
    /// The processor limit of their team.
    maximum: u64,
    /// The hosts that advice allows for them.
    allows: fn(usize) -> bool,
}

impl Case {
    /// Lets the urgent jobs start what they can, and returns whether advice is asked for the small job
    /// then.
    fn play(&self) -> bool {
        let mut scheduler = scheduler_of(self.maximum, HOSTS);
        for (id, step) in (1..).zip(&self.steps) {
            let job = Workflow {
                queue: urgent(),
                ..flow(id, vec![step.clone()], None)
            };
            scheduler.submit(job, NOW, Millis::ZERO);
        }
        let mut now = NOW;
        for _ in 0..4 {
            now += Millis(100);
            self.answer(&mut scheduler, now);
        }
        let small = Workflow {
            queue: usual(),
            team: Some(TeamId::from("other")),
            ..flow(SMALL_JOB, vec![step(1, CORE)], None)
        };
        scheduler.submit(small, now, Millis::ZERO);
        let mut actions = Vec::new();
        place(&mut scheduler, now, &mut actions);
        actions
            .iter()
            .any(|action| matches!(action, Action::Advise { step, .. } if step.job.0 == SMALL_JOB))
    }

    /// Makes one pass, and answers its calls for advice and its starts.
    fn answer(&self, scheduler: &mut WorkflowScheduler, now: Millis) {
        let mut actions = Vec::new();
        scheduler.tick(now, 0, &mut actions);
        place(scheduler, now, &mut actions);
        let is_allowed =
            |host: &HostId| (0..HOSTS).any(|at| listed_host(at).id == *host && (self.allows)(at));
        for action in actions {
            match action {
                Action::Advise {
                    step,
                    hosts,
                    cost_ms,
                    gate,
                } => {
                    let gates = scheduler.advice_gates_mut();
                    gates.finish(&gate.id, cost_ms, true, now);
                    let allowed = hosts.iter().filter(|host| is_allowed(host));
                    let advice = Advice {
                        allowed: allowed.map(|id| (id.clone(), "t".to_owned())).collect(),
                        until: now + Millis(2_500),
                    };
                    scheduler.apply_advice(step, &hosts, Some(&advice), now);
                }
                Action::Start(order) => {
                    let run = (order.task, order.run);
                    let started = StartResult::Started;
                    scheduler.start_result(&order.host, run, started, now, &mut Vec::new());
                }
                _ => {}
            }
        }
    }
}

fn cases() -> Vec<Case> {
    let large = |count, label: Option<&str>| StepSpec {
        requires: label.map(str::to_owned),
        ..step(count, 15 * CORE)
    };
    let gang = |count, label| StepSpec {
        gang: true,
        ..large(count, label)
    };
    let case = |name, steps| Case {
        name,
        steps,
        maximum: u64::MAX,
        allows: |_| true,
    };
    let unmet = Some("none");
    let fast = Some("fast");
    vec![
        case("a wide step that two hosts may run", vec![large(48, fast)]),
        case(
            "many narrow steps that two hosts may run",
            vec![large(1, fast); 48],
        ),
        case("a step whose label no host has", vec![large(48, unmet)]),
        case(
            "many steps whose label no host has",
            vec![large(1, unmet); 48],
        ),
        case("a gang that two hosts cannot hold", vec![gang(48, fast)]),
        case("a gang that no hosts can hold", vec![gang(48, None)]),
        Case {
            allows: |at| at < 2,
            ..case(
                "a wide step that advice denies the others",
                vec![large(48, None)],
            )
        },
        case(
            "a step with a limit on each host",
            vec![StepSpec {
                per_host: 1,
                ..large(48, None)
            }],
        ),
        Case {
            maximum: 30 * CORE,
            ..case(
                "a wide step of a team near its limit",
                vec![large(48, None)],
            )
        },
        Case {
            maximum: 45 * CORE,
            allows: |at| at < 1,
            ..case(
                "narrow steps of a team near its limit",
                vec![large(1, None); 40],
            )
        },
        case(
            "a wide step that has filled all hosts but for two cores each",
            vec![large(48, None)],
        ),
    ]
}

/// Guards against work that waits beside idle hosts, since work before it in order has claimed the
/// room of the whole service that it cannot use.
#[test]
fn work_that_cannot_use_a_host_keeps_no_other_from_it() {
    let mut wrong = Vec::new();
    for case in cases() {
        if !case.play() {
            wrong.push(case.name);
        }
    }
    assert!(wrong.is_empty(), "{wrong:?}");
}

/// Guards against calls for advice, which take the gates' time, whose tickets would expire unused:
/// earlier steps that can use the room have asked for it.
#[test]
fn work_that_can_use_the_room_keeps_later_work_from_asking_for_it() {
    let mut scheduler = scheduler_of(u64::MAX, 1);
    // Ten jobs of four cores each want a host of 32 cores.
    for job in 1..=10 {
        let label = (job % 2 == 0).then(|| "fast".to_owned());
        let step = StepSpec {
            requires: label,
            ..step(1, 4 * CORE)
        };
        let job = Workflow {
            queue: urgent(),
            ..flow(job, vec![step], None)
        };
        scheduler.submit(job, NOW, Millis::ZERO);
    }
    let mut actions = Vec::new();
    place(&mut scheduler, NOW, &mut actions);
    let calls = actions
        .iter()
        .filter(|it| matches!(it, Action::Advise { .. }));
    assert_eq!(calls.count(), 8);
}
