//! Tests the limits on what teams run and submit.

use std::sync::Arc;

use wigeongate_core::ids::{HostId, TeamId};
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    Action, Ended, HostReport, RunOutcome, StepSpec, TeamRules, WorkflowScheduler, WorkflowSettings,
};

use crate::world::{flow, host, rules, step, team};
use crate::{CORE, place, starts, task};

/// Lists a host and applies a report of it with these ends.
fn add_host(scheduler: &mut WorkflowScheduler, cpu: u64, ended: Vec<Ended>, now: Millis) {
    scheduler.list_host(host(0, cpu), now);
    let report = HostReport {
        boot_ms: 1,
        sent: now,
        lease: now + Millis(3_000),
        ended,
        ..HostReport::default()
    };
    scheduler.apply_report(&HostId::from("w-0"), &report, now, &mut Vec::new());
}

/// A step that waits at its team's limit, and how many tasks start when one ends.
struct LimitCase {
    name: &'static str,
    urgent: StepSpec,
    starts: usize,
}

#[test]
fn freed_capacity_of_a_team_goes_to_the_more_urgent_step() {
    let now = Millis(10_000);
    let cases = [
        LimitCase {
            name: "a narrow gang holds the freed capacity until it fits",
            urgent: StepSpec {
                gang: true,
                ..step(2, CORE)
            },
            starts: 0,
        },
        LimitCase {
            name: "a wide gang lets other steps start",
            urgent: StepSpec {
                gang: true,
                ..step(3, CORE)
            },
            starts: 1,
        },
        LimitCase {
            name: "a gang above the limit never starts",
            urgent: StepSpec {
                gang: true,
                ..step(17, CORE)
            },
            starts: 1,
        },
    ];
    for case in cases {
        let mut scheduler = WorkflowScheduler::new(WorkflowSettings::default(), now);
        let maximum = Resources {
            cpu: 16 * CORE,
            ..Resources::UNBOUNDED
        };
        scheduler.configure(Arc::new(rules(3, maximum)));
        let mut actions = Vec::new();
        add_host(&mut scheduler, 64 * CORE, Vec::new(), now);
        scheduler.submit(flow(1, vec![step(16, CORE)], None), now, Millis::ZERO);
        place(&mut scheduler, now, &mut actions);
        assert_eq!(starts(&actions), 16, "{}", case.name);
        scheduler.submit(flow(2, vec![case.urgent], None), now, Millis::ZERO);
        let later = now + Millis(10);
        scheduler.submit(flow(3, vec![step(4, CORE)], None), later, Millis::ZERO);
        actions.clear();
        let ended = Ended {
            number: 1,
            task: task(1, 0, 0),
            run: 1,
            outcome: RunOutcome::Done,
            checkpoint: String::new(),
        };
        add_host(&mut scheduler, 64 * CORE, vec![ended], later);
        place(&mut scheduler, later, &mut actions);
        assert_eq!(starts(&actions), case.starts, "{}", case.name);
    }
}

#[test]
fn jobs_over_the_share_of_their_team_start_last() {
    let now = Millis(10_000);
    let mut rules = rules(3, Resources::UNBOUNDED);
    let other = TeamId::from("other");
    let team_rules = TeamRules {
        weight: 1.0,
        maximum: Resources::UNBOUNDED,
    };
    rules.teams.insert(team(), team_rules.clone());
    rules.teams.insert(other.clone(), team_rules);
    let mut scheduler = WorkflowScheduler::new(WorkflowSettings::default(), now);
    scheduler.configure(Arc::new(rules));
    let mut actions = Vec::new();
    add_host(&mut scheduler, 2 * CORE, Vec::new(), now);
    // Each team's weight is one job a second. The first team submits three jobs at once, the other
    // team one job later.
    for id in 1..=3 {
        scheduler.submit(flow(id, vec![step(1, CORE)], None), now, Millis::ZERO);
    }
    let mut late = flow(9, vec![step(1, CORE)], None);
    late.team = Some(other);
    scheduler.submit(late, now + Millis(20), Millis::ZERO);
    place(&mut scheduler, now + Millis(20), &mut actions);
    let mut started: Vec<u64> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Start(order) => Some(order.task.step.job.0),
            _ => None,
        })
        .collect();
    started.sort_unstable();
    assert_eq!(started, [1, 9]);
}

/// Guards against a bound on the work of a pass that steps which cannot start use up for the others.
#[test]
fn steps_that_their_teams_limit_holds_back_do_not_hide_others() {
    let now = Millis(10_000);
    let gang = StepSpec {
        gang: true,
        ..step(2, CORE)
    };
    let mut failed = Vec::new();
    for (held_back, kind) in [
        (100, step(1, CORE)),
        (300, step(1, CORE)),
        (300, gang),
        (900, step(3, CORE)),
    ] {
        let maximum = Resources {
            cpu: CORE,
            ..Resources::UNBOUNDED
        };
        let mut rules = rules(3, maximum);
        let other = TeamId::from("other");
        let team_rules = TeamRules {
            weight: 1_000.0,
            maximum: Resources::UNBOUNDED,
        };
        rules.teams.insert(other.clone(), team_rules);
        let mut scheduler = WorkflowScheduler::new(WorkflowSettings::default(), now);
        scheduler.configure(Arc::new(rules));
        let mut actions = Vec::new();
        add_host(&mut scheduler, 64 * CORE, Vec::new(), now);
        scheduler.submit(flow(1, vec![step(1, CORE)], None), now, Millis::ZERO);
        place(&mut scheduler, now, &mut actions);
        for id in 2..2 + held_back {
            let flow = flow(id, vec![kind.clone()], None);
            scheduler.submit(flow, now, Millis::ZERO);
        }
        let mut of_other = flow(9_000, vec![step(1, CORE)], None);
        of_other.team = Some(other);
        let later = now + Millis(10);
        scheduler.submit(of_other, later, Millis::ZERO);
        actions.clear();
        place(&mut scheduler, later, &mut actions);
        if starts(&actions) != 1 {
            failed.push((held_back, kind.gang));
        }
    }
    assert!(failed.is_empty(), "held back, gangs: {failed:?}");
}
