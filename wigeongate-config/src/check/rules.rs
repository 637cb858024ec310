//! Checks of the rules, by themselves and against the inventory.

use wigeongate_core::job::Kind;

use super::{Check, UniqueCheck, check_positive, join_names};
use crate::inventory::Inventory;
use crate::problem::{FieldPath, Problems};
use crate::rules::{Placement, Queue, Rules};

impl Check for Rules {
    fn check(&self, problems: &mut Problems) {
        let list = FieldPath::of("queues");
        let mut names = UniqueCheck::new("a queue name", problems);
        for (index, queue) in self.queues.iter().enumerate() {
            names.check_name(&list.join(index).join("name"), queue.name.as_str());
        }
        for (index, queue) in self.queues.iter().enumerate() {
            check_queue(&list.join(index), queue, problems);
        }
        check_placement(&self.placement, problems);
    }
}

fn check_queue(path: &FieldPath, queue: &Queue, problems: &mut Problems) {
    check_positive(path.join("bound"), queue.bound, problems);
    check_positive(path.join("attempts"), queue.attempts, problems);
    check_positive(path.join("deadline_ms"), queue.deadline_ms, problems);
    let defaults = Queue::default();
    if queue.kind == Kind::Request {
        return;
    }
    let allowed = format!("no such field on a queue of kind {}", queue.kind);
    if queue.idempotent {
        problems.add(path.join("idempotent"), "true", &allowed);
    }
    if queue.class != defaults.class {
        problems.add(path.join("class"), queue.class, &allowed);
    }
    if queue.deadline_ms != defaults.deadline_ms && queue.deadline_ms != 0 {
        problems.add(path.join("deadline_ms"), queue.deadline_ms, &allowed);
    }
}

fn check_placement(placement: &Placement, problems: &mut Problems) {
    let path = FieldPath::of("placement");
    check_positive(path.join("pools"), placement.pools, problems);
    check_positive(path.join("lanes"), placement.lanes, problems);
    check_positive(path.join("journals"), placement.journals, problems);
    check_positive(
        path.join("worker_strikes"),
        placement.worker_strikes,
        problems,
    );
    check_positive(
        path.join("gang_wait_ms"),
        placement.gang_wait_ms.0,
        problems,
    );
    let delay = placement.retry_delay_ms.0;
    check_positive(path.join("retry_delay_ms"), delay, problems);
    let rest = placement.worker_rest_ms.0;
    check_positive(path.join("worker_rest_ms"), rest, problems);
}

/// Checks the references between the inventory and the rules.
pub fn check_cross_references(
    inventory: &Inventory,
    rules: &Rules,
    in_inventory: &mut Problems,
    in_rules: &mut Problems,
) {
    check_queue_teams(inventory, rules, in_rules);
    check_queues_served(inventory, rules, in_rules);
    check_backend_queues(inventory, rules, in_inventory);
}

fn check_queue_teams(inventory: &Inventory, rules: &Rules, problems: &mut Problems) {
    for (index, queue) in rules.queues.iter().enumerate() {
        let Some(team) = &queue.team else {
            continue;
        };
        if !inventory.teams.iter().any(|known| known.name == *team) {
            let teams = join_names(inventory.teams.iter().map(|team| &team.name));
            let path = FieldPath::of("queues").join(index).join("team");
            problems.add(
                path,
                format!("{:?}", team.as_str()),
                format!("a team: {teams}"),
            );
        }
    }
}

/// Checks that each request queue has a backend server, if the inventory lists any.
fn check_queues_served(inventory: &Inventory, rules: &Rules, problems: &mut Problems) {
    let serves = |queue: &Queue| {
        let mut backends = inventory.backends.iter();
        backends.any(|backend| backend.queues.is_empty() || backend.queues.contains(&queue.name))
    };
    for (index, queue) in rules.queues.iter().enumerate() {
        let request = queue.kind == Kind::Request;
        if request && !inventory.backends.is_empty() && !serves(queue) {
            let path = FieldPath::of("queues").join(index).join("name");
            let found = format!("{:?}", queue.name.as_str());
            let allowed = "a queue that at least one backend server serves";
            problems.add(path, found, allowed);
        }
    }
}

fn check_backend_queues(inventory: &Inventory, rules: &Rules, problems: &mut Problems) {
    let requests = || rules.queues.iter().filter(|q| q.kind == Kind::Request);
    for (index, backend) in inventory.backends.iter().enumerate() {
        let list = FieldPath::of("backends").join(index).join("queues");
        for (index, name) in backend.queues.iter().enumerate() {
            if !requests().any(|queue| queue.name == *name) {
                let known = join_names(requests().map(|queue| &queue.name));
                let allowed = format!("a queue of kind request: {known}");
                problems.add(list.join(index), format!("{:?}", name.as_str()), allowed);
            }
        }
    }
}
