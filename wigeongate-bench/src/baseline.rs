//! A simple scheduler to compare with: first come, first served, and a scan of all workers.

use std::collections::VecDeque;
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::{Attempt, HostId, JobId, TaskId};
use wigeongate_core::job::{Job, Kind, Outcome};
use wigeongate_core::policy::{Policy, Worker};
use wigeongate_core::resources::Resources;
use wigeongate_core::scheduler::{Action, Event, Phase, Report, Start};
use wigeongate_core::time::Millis;

use crate::sim::Decider;

/// How a baseline chooses a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// The first in order of name that has room.
    First,
    /// Any that has room.
    Random,
}

#[derive(Debug)]
struct Entry {
    job: Job,
    left: u32,
    attempts: HashMap<u32, Attempt>,
}

/// The baseline.
pub struct Baseline {
    choice: Choice,
    rng: SmallRng,
    spots: Vec<Spot>,
    places: HashMap<HostId, usize>,
    jobs: HashMap<JobId, Entry>,
    waiting: VecDeque<TaskId>,
    placed: HashMap<TaskId, (usize, Resources)>,
}

/// A worker of the baseline.
#[derive(Debug)]
struct Spot {
    worker: Arc<Worker>,
    free: Resources,
    alive: bool,
    out: bool,
}

/// Tasks behind the first that a pass looks at.
const LOOK_AHEAD: usize = 64;

impl Baseline {
    /// Makes a baseline.
    pub fn new(choice: Choice, seed: u64) -> Self {
        Self {
            choice,
            rng: SmallRng::seed_from_u64(seed),
            spots: Vec::new(),
            places: HashMap::default(),
            jobs: HashMap::default(),
            waiting: VecDeque::new(),
            placed: HashMap::default(),
        }
    }

    fn configure(&mut self, policy: &Policy) {
        if self.spots.is_empty() {
            let mut workers: Vec<Arc<Worker>> = policy.workers.values().cloned().collect();
            workers.sort_by(|one, other| one.host.cmp(&other.host));
            let spot = |worker: Arc<Worker>| Spot {
                free: worker.capacity,
                worker,
                alive: false,
                out: false,
            };
            self.spots = workers.into_iter().map(spot).collect();
            let names = self.spots.iter().map(|spot| spot.worker.host.clone());
            self.places = names.zip(0..).collect();
        }
        for spot in &mut self.spots {
            spot.out = policy.zones_out.contains(&spot.worker.zone);
        }
    }

    fn release(&mut self, task: TaskId) -> bool {
        let Some((place, size)) = self.placed.remove(&task) else {
            return false;
        };
        self.spots[place].free += size;
        true
    }

    fn report(&mut self, report: Report, actions: &mut Vec<Action>) {
        let place = self.places[&report.host];
        self.spots[place].alive = true;
        for task in report.tasks {
            if task.phase == Phase::Running || !self.release(task.task) {
                continue;
            }
            let Some(entry) = self.jobs.get_mut(&task.task.job) else {
                continue;
            };
            if task.phase == Phase::Succeeded {
                entry.left -= 1;
            } else {
                self.waiting.push_back(task.task);
                continue;
            }
            if entry.left == 0 {
                let job = task.task.job;
                self.jobs.remove(&job);
                actions.push(Action::Ended {
                    job,
                    outcome: Outcome::Succeeded,
                });
            }
        }
    }

    fn lose(&mut self, host: &HostId) {
        let place = self.places[host];
        self.spots[place].alive = false;
        let mut lost: Vec<TaskId> = self
            .placed
            .iter()
            .filter(|(_, (at, _))| *at == place)
            .map(|(task, _)| *task)
            .collect();
        lost.sort_unstable();
        for task in lost {
            self.release(task);
            self.waiting.push_back(task);
        }
    }

    fn cancel(&mut self, job: JobId, actions: &mut Vec<Action>) {
        if self.jobs.remove(&job).is_none() {
            return;
        }
        self.waiting.retain(|task| task.job != job);
        actions.push(Action::Ended {
            job,
            outcome: Outcome::Cancelled,
        });
    }

    fn place(&mut self, actions: &mut Vec<Action>) {
        let mut skipped = 0;
        while skipped < LOOK_AHEAD && skipped < self.waiting.len() {
            let task = self.waiting[skipped];
            let Some(entry) = self.jobs.get(&task.job) else {
                self.waiting.remove(skipped);
                continue;
            };
            let size = entry.job.spec.size;
            let Some(place) = self.find(&size) else {
                skipped += 1;
                continue;
            };
            self.waiting.remove(skipped);
            self.start(task, place, size, actions);
        }
    }

    fn start(&mut self, task: TaskId, place: usize, size: Resources, actions: &mut Vec<Action>) {
        let Some(entry) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let attempt = entry.attempts.entry(task.index).or_default();
        *attempt += 1;
        let spot = &mut self.spots[place];
        spot.free = spot.free.saturating_sub(&size);
        self.placed.insert(task, (place, size));
        actions.push(Action::Start(Start {
            host: spot.worker.host.clone(),
            task,
            attempt: *attempt,
            size,
            command: Vec::new(),
            order: 0,
        }));
    }

    fn find(&mut self, size: &Resources) -> Option<usize> {
        let count = self.spots.len();
        let first = match self.choice {
            Choice::First => 0,
            Choice::Random => self.rng.random_range(0..count.max(1)),
        };
        (0..count).map(|step| (first + step) % count).find(|place| {
            let spot = &self.spots[*place];
            spot.alive && !spot.out && size.fits_in(&spot.free)
        })
    }
}

impl Decider for Baseline {
    fn handle(&mut self, _now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Policy(policy) => self.configure(&policy),
            Event::Submit(job) => {
                let id = job.id;
                let tasks = job.spec.tasks;
                // A gang is beyond the baseline, so its tasks start one by one.
                debug_assert!(job.kind != Kind::Request);
                self.waiting
                    .extend((0..tasks).map(|index| TaskId { job: id, index }));
                let entry = Entry {
                    job,
                    left: tasks,
                    attempts: HashMap::default(),
                };
                self.jobs.insert(id, entry);
            }
            Event::Cancel(job) => self.cancel(job, actions),
            Event::Report(report) => self.report(report, actions),
            Event::WorkerLost(host) => self.lose(&host),
            _ => {}
        }
        self.place(actions);
    }
}
