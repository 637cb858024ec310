//! A scheduler whose orders a test answers and whose reports it writes.

use std::sync::Arc;

use wigeongate_core::ids::{HostId, QueueId};
use wigeongate_core::resources::Resources;
use wigeongate_core::run_times::RunClass;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    Action, Ended, HostReport, Policies, RunOutcome, Running, StartOrder, StartResult, StepSpec,
    Workflow, WorkflowScheduler, WorkflowSettings,
};

use super::CORE;
use super::world::{flow, host, rules, step, team};

/// When the scheduler of a test takes over, in milliseconds.
const BEGIN_MS: u64 = 10_000;

/// A scheduler with hosts whose reports the test writes.
pub struct Owner {
    pub scheduler: WorkflowScheduler,
    pub now: u64,
    ends: u64,
}

impl Owner {
    pub fn new(hosts: usize, cpu: u64, policies: Policies) -> Self {
        let now = Millis(BEGIN_MS);
        let settings = WorkflowSettings {
            policies,
            ..WorkflowSettings::default()
        };
        let mut scheduler = WorkflowScheduler::new(settings, now);
        scheduler.configure(Arc::new(rules(3, Resources::UNBOUNDED)));
        let mut owner = Self {
            scheduler,
            now: BEGIN_MS,
            ends: 0,
        };
        for at in 0..hosts {
            owner.scheduler.list_host(host(at, cpu), now);
            owner.report(&id(at), Vec::new(), Vec::new());
        }
        owner
    }

    pub fn now(&self) -> Millis {
        Millis(self.now)
    }

    pub fn wait(&mut self, ms: u64) {
        self.now += ms;
    }

    pub fn report(&mut self, host: &HostId, running: Vec<Running>, ended: Vec<Ended>) {
        let report = HostReport {
            boot_ms: 1,
            sent: self.now(),
            lease: self.now() + Millis(30_000),
            running,
            ended,
            ..HostReport::default()
        };
        let now = self.now();
        self.scheduler
            .apply_report(host, &report, now, &mut Vec::new());
    }

    pub fn submit(&mut self, flow: Workflow) {
        let now = self.now();
        self.scheduler.submit(flow, now, Millis::ZERO);
    }

    /// Plans starts and returns their orders.
    pub fn place(&mut self) -> Vec<StartOrder> {
        let (now, mut actions) = (self.now(), Vec::new());
        self.scheduler.place(now, &mut actions);
        let last = self.scheduler.last_record();
        self.scheduler.records_written(last, now, &mut actions);
        let order = |action| match action {
            Action::Start(order) => Some(order),
            _ => None,
        };
        actions.into_iter().filter_map(order).collect()
    }

    pub fn confirm(&mut self, order: &StartOrder) {
        let (now, key) = (self.now(), (order.task, order.run));
        let result = StartResult::Started;
        self.scheduler
            .start_result(&order.host, key, result, now, &mut Vec::new());
    }

    pub fn ended(&mut self, order: &StartOrder, outcome: RunOutcome) -> Ended {
        self.ends += 1;
        Ended {
            number: self.ends,
            task: order.task,
            run: order.run,
            outcome,
            checkpoint: String::new(),
        }
    }

    pub fn end(&mut self, order: &StartOrder, outcome: RunOutcome) {
        let ended = self.ended(order, outcome);
        self.report(&order.host, Vec::new(), vec![ended]);
    }

    /// Runs single tasks of a queue one after the other.
    pub fn teach(&mut self, queue: &QueueId, estimate: u64, run: u64, count: u64) {
        for at in 0..count {
            let job = 1_000_000 + self.now + at;
            self.submit(job_of(job, queue, estimate));
            let orders = self.place();
            assert_eq!(orders.len(), 1, "one task starts at a time");
            self.confirm(&orders[0]);
            self.wait(run);
            self.end(&orders[0], RunOutcome::Done);
        }
    }

    pub fn forecast(&self, queue: &QueueId, gang: bool, estimate: u64) -> u64 {
        let class = RunClass::new(queue, gang, Some(&team()), None);
        let times = self.scheduler.run_times();
        times
            .forecast(class, Millis(estimate), Millis::ZERO)
            .median
            .0
    }
}

pub fn id(at: usize) -> HostId {
    HostId::from(format!("w-{at}"))
}

pub fn job_of(id: u64, queue: &QueueId, estimate: u64) -> Workflow {
    let spec = StepSpec {
        estimate: Millis(estimate),
        ..step(1, CORE)
    };
    Workflow {
        queue: queue.clone(),
        ..flow(id, vec![spec], None)
    }
}
