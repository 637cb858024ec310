//! The size of the outlook on a configuration with many queues.

use std::sync::Arc;

use wigeongate_core::ids::{HostId, QueueId};
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    HostEntry, HostReport, QueueRules, Rules, StepSpec, Workflow, WorkflowId, WorkflowScheduler,
    WorkflowSettings, WorkflowSpec,
};

/// A configuration grew by 1,660 routes on a deployment; each is a queue.
const QUEUES: u64 = 1_660;

fn queue(at: u64) -> QueueId {
    QueueId::from(format!("queue-{at}"))
}

/// Guards against an outlook that holds every queue of the configuration: with 1,660 of them, its
/// computation took longer than the owner's lease and the owners lost it one after the other.
#[test]
fn only_queues_with_jobs_are_part_of_the_load() {
    let rules = Arc::new(QueueRules {
        service: "desk".to_owned(),
        attempts: 1,
        stretch: 2.0,
        ..QueueRules::default()
    });
    let now = Millis(1_000);
    let mut scheduler = WorkflowScheduler::new(WorkflowSettings::default(), now);
    scheduler.configure(Arc::new(Rules {
        queues: (0..QUEUES)
            .map(|at| (queue(at), Arc::clone(&rules)))
            .collect(),
        ..Rules::default()
    }));
    let host = HostEntry {
        id: HostId::from("host-0"),
        service: "desk".to_owned(),
        capacity: Resources {
            cpu: 64_000,
            memory: 64_000,
            ..Resources::ZERO
        },
        ..HostEntry::default()
    };
    scheduler.list_host(host, now);
    let report = HostReport {
        sent: now,
        lease: Millis(60_000),
        ..HostReport::default()
    };
    scheduler.apply_report(&HostId::from("host-0"), &report, now, &mut Vec::new());
    for at in [3, 700] {
        let step = StepSpec {
            count: 2,
            requested: Resources {
                cpu: 1_000,
                memory: 1_000,
                ..Resources::ZERO
            },
            estimate: Millis(500),
            ..StepSpec::default()
        };
        let flow = Workflow {
            id: WorkflowId(at),
            queue: queue(at),
            team: None,
            accepted: 0,
            spec: Arc::new(WorkflowSpec {
                command: String::new(),
                steps: vec![step],
                repeat: None,
            }),
            rules: Arc::clone(&rules),
        };
        scheduler.submit(flow, now, Millis::ZERO);
    }
    let loads = scheduler.service_loads(now);
    let queues: Vec<&QueueId> = loads
        .iter()
        .flat_map(|load| load.queues.iter().map(|queue| &queue.queue))
        .collect();
    assert_eq!(queues, [&queue(3), &queue(700)]);
}
