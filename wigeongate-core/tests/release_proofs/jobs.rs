//! The jobs of a history and the rules of their queue.

use std::sync::Arc;

use wigeongate_core::ids::QueueId;
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{QueueRules, Rules, StepSpec, Workflow, WorkflowId, WorkflowSpec};

pub fn rules() -> Rules {
    let mut rules = Rules {
        version: 1,
        ..Rules::default()
    };
    rules.queues.insert(queue(), queue_rules());
    rules
}

fn queue() -> QueueId {
    QueueId::from("bundles")
}

fn queue_rules() -> Arc<QueueRules> {
    Arc::new(QueueRules {
        service: "desk".to_owned(),
        attempts: 3,
        stretch: 2.0,
        target: Millis(500),
        ..QueueRules::default()
    })
}

pub fn flow(id: u64, count: u32) -> Workflow {
    let step = StepSpec {
        count,
        requested: Resources {
            cpu: 1_000,
            memory: 1_000,
            accelerators: 0,
        },
        estimate: Millis(300),
        ..StepSpec::default()
    };
    Workflow {
        id: WorkflowId(id),
        queue: queue(),
        team: None,
        accepted: 0,
        spec: Arc::new(WorkflowSpec {
            command: "assemble".to_owned(),
            steps: vec![step],
            repeat: None,
        }),
        rules: queue_rules(),
    }
}
