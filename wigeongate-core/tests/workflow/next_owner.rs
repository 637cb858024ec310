//! Random histories: at points that are drawn, an owner that has read the log is asked what the live
//! one is asked.

use wigeongate_core::collections::HashMap;
use wigeongate_core::resources::Resources;
use wigeongate_core::workflow::{WorkflowId, WorkflowStatus};

use crate::log_checkpoint::eager;
use crate::world::{Faults, World, flow, host, queue, rules};
use crate::{CORE, random_steps};

/// How long a record takes to be written and the owner to be told so, in milliseconds.
const WRITTEN_MS: u64 = 40;

/// Histories of each kind.
const HISTORIES: u64 = 250;

const JOBS: u64 = 40;

/// The live owner's answers, and how those of the next one differ.
#[derive(Debug, Default)]
struct Said {
    /// Since when the live owner says that a job runs.
    running: HashMap<u64, u64>,
    /// Jobs that had ended for the next owner alone, since when and how.
    ended: HashMap<u64, (u64, WorkflowStatus)>,
    cancelled: HashMap<u64, u64>,
    wrong: Vec<String>,
    compared: usize,
}

impl Said {
    fn watch(&mut self, world: &World, name: &str) {
        for id in 1..=JOBS {
            let live = world.status(id);
            if live == Some(WorkflowStatus::Running) {
                self.running.entry(id).or_insert(world.now);
            } else {
                self.running.remove(&id);
            }
            let Some((since, end)) = self.ended.get(&id).copied() else {
                continue;
            };
            if live == Some(end) {
                self.ended.remove(&id);
            } else if world.now - since > WRITTEN_MS {
                self.report(world, name, &format!("job {id} {live:?}, {end} before"));
            }
        }
    }

    fn report(&mut self, world: &World, name: &str, what: &str) {
        self.wrong.push(format!("{name}, {}: {what}", world.now));
    }

    fn compare(&mut self, world: &World, name: &str) {
        let next = world.restored(&mut Vec::new());
        let (mut fewer, mut more) = (0, 0);
        for id in 1..=JOBS {
            let (live, restored) = (world.status(id), next.status(WorkflowId(id)));
            self.compared += usize::from(live.is_some());
            // An end counts for the live owner at once, and is shown once it is written.
            let cancelled = self.cancelled.get(&id);
            let is_ending = cancelled.is_some_and(|since| world.now - since <= WRITTEN_MS)
                && live == Some(WorkflowStatus::Queued);
            more += usize::from(is_ending);
            if live == restored {
                continue;
            }
            // The log may lack that a job has begun until another record has been written.
            let is_recent = self.running.get(&id).is_some_and(|since| {
                let is_written = |at: &u64| at > since && world.now - at > WRITTEN_MS;
                !world.recorded.iter().any(is_written)
            });
            match restored {
                Some(WorkflowStatus::Queued) if is_recent => more += 1,
                Some(
                    end @ (WorkflowStatus::Completed
                    | WorkflowStatus::Failed
                    | WorkflowStatus::Cancelled),
                ) => {
                    self.ended.entry(id).or_insert((world.now, end));
                    fewer += usize::from(live == Some(WorkflowStatus::Queued));
                }
                _ => self.report(world, name, &format!("job {id} {live:?}, {restored:?}")),
            }
        }
        let live = world.scheduler.queued_jobs(&queue());
        let restored = next.queued_jobs(&queue());
        if restored + fewer < live || restored > live + more {
            self.report(world, name, &format!("{live} wait, {restored}"));
        }
    }
}

/// Histories with the same faults.
struct Kind {
    name: &'static str,
    faults: Faults,
    /// Whether the owners write checkpoints.
    checkpoints: bool,
}

fn kinds() -> Vec<Kind> {
    let late = Faults {
        late: 30,
        failing: 15,
        ..Faults::default()
    };
    vec![
        Kind {
            name: "no faults",
            faults: Faults::default(),
            checkpoints: false,
        },
        Kind {
            name: "late orders",
            faults: late,
            checkpoints: false,
        },
        Kind {
            name: "late orders, checkpoints",
            faults: late,
            checkpoints: true,
        },
        Kind {
            name: "crashes",
            faults: Faults { crash: 60, ..late },
            checkpoints: false,
        },
        Kind {
            name: "changes of owner",
            faults: Faults {
                crash: 30,
                takeover: 60,
                ..late
            },
            checkpoints: false,
        },
        Kind {
            name: "changes of owner, checkpoints",
            faults: Faults {
                crash: 30,
                takeover: 30,
                ..late
            },
            checkpoints: true,
        },
    ]
}

#[test]
fn the_next_owner_says_of_every_job_what_the_live_one_says() {
    let mut said = Said::default();
    for kind in kinds() {
        for seed in 0..HISTORIES {
            let name = format!("{}, seed {seed}", kind.name);
            let hosts = (0..4).map(|at| host(at, 4 * CORE)).collect();
            let mut world = World::new(seed, hosts, rules(3, Resources::UNBOUNDED), kind.faults);
            if kind.checkpoints {
                world.lease_ms = 600;
                world.enable_checkpoints(eager(), 10);
            }
            said.running.clear();
            said.ended.clear();
            said.cancelled.clear();
            for id in 1..=JOBS {
                let steps = random_steps(&mut world);
                world.submit(flow(id, steps, None));
                for _ in 0..world.rng.below(20) {
                    world.run_for(10);
                    said.watch(&world, &name);
                }
                if world.rng.chance(5) {
                    world.cancel(id);
                    said.cancelled.insert(id, world.now);
                }
                if world.rng.chance(30) {
                    said.compare(&world, &name);
                }
            }
        }
    }
    assert!(said.compared > 20_000, "{} answers compared", said.compared);
    said.wrong.truncate(20);
    assert!(said.wrong.is_empty(), "{}", said.wrong.join("\n"));
}
