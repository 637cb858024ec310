//! Gangs that need advice start within a bounded number of calls, however many of them wait.

use std::sync::Arc;

use wigeongate_core::collections::{HashMap, HashSet};
use wigeongate_core::ids::{GateId, HostId};
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    Action, Advice, AdviceCost, AdviceGates, Ended, HostReport, RunOutcome, Running, StepId,
    StepSpec, WorkflowScheduler, WorkflowSettings,
};

use crate::world::{flow, host, queue, rules, step};
use crate::{CORE, task};

const NOW: Millis = Millis(10_000);

/// The time between two steps of the simulation, in milliseconds.
const STEP_MS: u64 = 10;

/// The time of a call apart from the hosts that it names, and for each of them, in milliseconds.
const CALL_MS: f64 = 430.0;
const HOST_MS: f64 = 6.0;

/// How long a ticket is valid, in milliseconds.
const VALID_MS: u64 = 2_000;

/// The longest call: it names 60 hosts.
const LONGEST_CALL_MS: u64 = 790;

/// One call for verdicts, one for more of them if the hosts of the first are taken, and one for the
/// tickets.
const CALLS_PER_GANG: u64 = 3;

/// How long a gang waits for room on the hosts that it knows while there is room on others, in
/// milliseconds.
const PATIENCE_MS: u64 = 2_000;

/// How many gangs wait, how many gates call the service for them, and for how long they have waited.
struct Case {
    name: &'static str,
    gangs: u64,
    /// Six gates in ten make long calls.
    gates: u64,
    age: Millis,
    /// Until when all hosts are full, in milliseconds.
    full_ms: u64,
    /// How many of the gates greet the owner and answer no call.
    dead: u64,
}

/// An advice call at a gate.
struct Call {
    gate: GateId,
    cost_ms: u64,
    ends: u64,
    is_answered: bool,
    step: StepId,
    hosts: Vec<HostId>,
}

/// The calls that gates make, one after the other.
#[derive(Default)]
struct Service {
    /// When each gate has made the calls that it was given.
    busy_until: HashMap<GateId, u64>,
    calls: Vec<Call>,
    made: u64,
}

impl Service {
    fn begin(&mut self, now: Millis, mut call: Call, dead: u64) {
        let number = call.gate.as_str()["gate-".len()..].parse::<u64>();
        call.is_answered = number.expect("a number") >= dead;
        if !call.is_answered {
            // The owner waits for twice as long.
            call.ends = now.0 + 2 * call.cost_ms;
            self.calls.push(call);
            return;
        }
        let busy_until = self.busy_until.entry(call.gate.clone()).or_default();
        call.ends = now.0.max(*busy_until) + call.cost_ms;
        *busy_until = call.ends;
        self.made += 1;
        self.calls.push(call);
    }

    fn answered(&mut self, now: Millis) -> Vec<Call> {
        self.calls
            .extract_if(.., |call| call.ends <= now.0)
            .collect()
    }
}

fn greet(gates: &mut AdviceGates, count: u64, now: Millis) {
    for at in 1..count {
        let name = format!("gate-{at}");
        gates.record_greeting(GateId::from(name.as_str()), name, now);
    }
}

/// The service allows one host in three for each step.
fn is_allowed(host: &HostId, step: StepId) -> bool {
    let at: u64 = host.as_str()[2..].parse().expect("a number");
    (at * 7 + step.job.0 * 5).is_multiple_of(3)
}

fn scheduler(hosts: usize) -> WorkflowScheduler {
    let mut rules = rules(3, Resources::UNBOUNDED);
    if let Some(rules) = rules.queues.get_mut(&queue()) {
        Arc::make_mut(rules).advice = Some(AdviceCost {
            call_ms: CALL_MS,
            host_ms: HOST_MS,
            valid: Millis(VALID_MS),
        });
    }
    let mut scheduler = WorkflowScheduler::new(WorkflowSettings::default(), NOW);
    scheduler.configure(Arc::new(rules));
    scheduler.set_advice_gates(AdviceGates::new(GateId::from("gate-0"), NOW));
    for at in 0..hosts {
        scheduler.list_host(host(at, 8 * CORE), NOW);
    }
    scheduler
}

/// Returns the report of a host that is full until some time, and the tasks of gangs on it.
fn report(at: usize, full_ms: u64, now: Millis, gangs: Option<&Vec<Running>>) -> HostReport {
    let first = u32::try_from(at).expect("a few hosts") * 8;
    let busy = (first..first + 8).map(|index| Running {
        task: task(1, 0, index),
        run: 1,
        checkpoint: String::new(),
    });
    let is_full = now < NOW + Millis(full_ms);
    let ended = (1..).zip(busy.clone()).map(|(number, run)| Ended {
        number,
        task: run.task,
        run: run.run,
        outcome: RunOutcome::Done,
        checkpoint: String::new(),
    });
    HostReport {
        boot_ms: 1,
        sent: now,
        lease: now + Millis(6_000),
        running: if is_full {
            busy.collect()
        } else {
            gangs.cloned().unwrap_or_default()
        },
        ended: if is_full { Vec::new() } else { ended.collect() },
        ..HostReport::default()
    }
}

fn submit_gangs(scheduler: &mut WorkflowScheduler, case: &Case, hosts: usize) {
    let busy = u32::try_from(hosts * 8).expect("a few tasks");
    scheduler.submit(flow(1, vec![step(busy, CORE)], None), NOW, Millis::ZERO);
    for job in 2..2 + case.gangs {
        let spec = StepSpec {
            gang: true,
            estimate: Millis(20_000),
            ..step(8, 2 * CORE)
        };
        scheduler.submit(flow(job, vec![spec], None), NOW, case.age);
    }
}

/// Plays gangs of eight tasks of two cores on hosts with room for twice as many; returns when each
/// gang started, and the calls that were made.
fn play(case: &Case) -> (Vec<Millis>, u64) {
    let gangs = usize::try_from(case.gangs).expect("a few gangs");
    let hosts = gangs * 4;
    let mut scheduler = scheduler(hosts);
    let mut service = Service::default();
    submit_gangs(&mut scheduler, case, hosts);
    let mut starts = Vec::new();
    let mut started: HashSet<StepId> = HashSet::default();
    let mut running: HashMap<HostId, Vec<Running>> = HashMap::default();
    for ms in (0..20_000).step_by(usize::try_from(STEP_MS).expect("a short step")) {
        let now = NOW + Millis(ms);
        let mut actions = Vec::new();
        greet(scheduler.advice_gates_mut(), case.gates, now);
        if ms % 500 == 0 {
            for at in 0..hosts {
                let id = HostId::from(format!("w-{at}"));
                let report = report(at, case.full_ms, now, running.get(&id));
                scheduler.apply_report(&id, &report, now, &mut actions);
            }
        }
        for call in service.answered(now) {
            let gates = scheduler.advice_gates_mut();
            gates.finish(&call.gate, call.cost_ms, call.is_answered, now);
            let Call { step, hosts, .. } = call;
            if !call.is_answered {
                scheduler.apply_advice(step, &hosts, None, now);
                continue;
            }
            let allowed = hosts.iter().filter(|host| is_allowed(host, step));
            let advice = Advice {
                allowed: allowed.map(|host| (host.clone(), String::new())).collect(),
                until: now + Millis(VALID_MS),
            };
            scheduler.apply_advice(step, &hosts, Some(&advice), now);
        }
        if ms % 50 == 0 {
            scheduler.tick(now, 0, &mut actions);
        }
        scheduler.place(now, &mut actions);
        scheduler.records_written(scheduler.last_record(), now, &mut actions);
        for action in actions {
            match action {
                Action::Advise {
                    step,
                    hosts,
                    cost_ms,
                    gate,
                } => {
                    let call = Call {
                        gate: gate.id,
                        cost_ms,
                        ends: 0,
                        is_answered: true,
                        step,
                        hosts,
                    };
                    service.begin(now, call, case.dead);
                }
                Action::Start(order) => {
                    if started.insert(order.task.step) {
                        starts.push(Millis(ms));
                    }
                    running.entry(order.host).or_default().push(Running {
                        task: order.task,
                        run: order.run,
                        checkpoint: String::new(),
                    });
                }
                _ => {}
            }
        }
        if starts.len() == gangs {
            break;
        }
    }
    (starts, service.made)
}

/// Guards against gangs that wait to the end of the day in a fleet that is nearly empty, since
/// their calls wait at the gates until the room that was set aside for them is gone (LOST, day
/// reborn-thrice).
#[test]
fn gangs_start_within_three_rounds_of_advice_however_many_wait() {
    let case = |name, gangs, gates, age, full_ms, dead| Case {
        name,
        gangs,
        gates,
        age: Millis(age),
        full_ms,
        dead,
    };
    let cases = [
        case("a few gangs", 4, 6, 0, 0, 0),
        case("many gangs", 24, 6, 0, 0, 0),
        case("many gangs that are late", 24, 6, 60_000, 0, 0),
        case("many gangs on a fleet that was full", 24, 6, 0, 4_000, 0),
        case(
            "many late gangs on a fleet that was full",
            24,
            6,
            60_000,
            4_000,
            0,
        ),
        case("many gangs and one gate", 12, 1, 60_000, 0, 0),
        case("many gangs on many gates", 60, 30, 60_000, 4_000, 0),
        case("a few gangs and a dead gate", 4, 6, 0, 0, 1),
        case("a few gangs and three dead gates", 4, 6, 0, 0, 3),
        case("many gangs and three dead gates", 24, 6, 60_000, 0, 3),
        case(
            "many gangs on many gates, one is dead",
            60,
            30,
            60_000,
            4_000,
            1,
        ),
    ];
    for case in cases {
        let (starts, calls) = play(&case);
        let name = case.name;
        assert_eq!(starts.len() as u64, case.gangs, "{name}: {starts:?}");
        assert!(
            calls <= CALLS_PER_GANG * case.gangs,
            "{name}: {calls} calls"
        );
        // Every long call has its turn, and each gang's tickets come one call after its verdicts.
        // A gang may lose a call to each dead gate, which lasts two rounds.
        let callers = ((case.gates - case.dead) * 6).div_ceil(10);
        let rounds = (CALLS_PER_GANG * case.gangs).div_ceil(callers) + 1 + 2 * case.dead;
        let bound = Millis(case.full_ms + rounds * LONGEST_CALL_MS + PATIENCE_MS);
        let last = starts.iter().max().copied().unwrap_or_default();
        assert!(last <= bound, "{name}: {last} after {bound}");
    }
}
