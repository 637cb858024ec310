//! The owner: takes in what happens, asks the director, and carries out what it decides.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use eyre::Result;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until};
use tracing::{debug, info, warn};
use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::HostId;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    Action, Advice, AdviceGates, HostEntry, HostReport, Record, StartResult, StepId, TaskName,
    Workflow, WorkflowScheduler, WorkflowSettings,
};

use super::advice::Adviser;
use super::arrivals;
use super::callers::age;
use super::hosts::HostLink;
use super::log::Log;
use super::peers::{self, PeerAnswer, PeerCall};
use super::records::{Batch, JOBS, LOG, decode};
use super::registry;
use super::shared::Shared;
use crate::clock::wall;

/// The time between ticks, in milliseconds.
const TICK_MS: u64 = 50;

/// What an issued ticket is shortened by for its way here, in milliseconds.
const TICKET_WAY_MS: u64 = 30;

/// How long a pass is followed by none, in multiples of the time that it took: the calls to
/// executors need most of the processor.
const PASS_REST_TIMES: u32 = 4;

/// How many other gates are asked at a time to take over: the store may turn away a third of all.
const YIELD_GATES: usize = 3;

/// Something that the owner takes in.
#[derive(Debug)]
pub enum Input {
    /// A call of a gate, with the way to answer it.
    Call(PeerCall, oneshot::Sender<PeerAnswer>),
    /// The configuration changed.
    Configure,
    /// The executors that are listed, with their addresses.
    Hosts(Vec<(HostEntry, String)>),
    /// An executor's answer to a look.
    Look(HostId, HostReport),
    /// A look had no answer; until when what runs there may go on.
    Unanswered(HostId, Millis),
    /// What became of an order to start.
    Start(HostId, (TaskName, u32), StartResult),
    /// A stop was answered at a time.
    Stopped(HostId, (TaskName, u32), Millis),
    /// A question about these hosts was answered, or not.
    Advised(StepId, Vec<HostId>, Option<Advice>),
    /// Accepted jobs were found in the store.
    Jobs(Vec<Workflow>),
    /// The log was written up to a record.
    Written(u64),
    /// The store turns this gate away: another should take over.
    Yield,
    /// Another owner has taken over.
    Fenced,
}

/// The way to the owner in this process.
#[derive(Debug, Clone)]
pub struct OwnerHandle(mpsc::UnboundedSender<Input>);

impl OwnerHandle {
    /// Makes a call and waits for the answer.
    pub async fn call(&self, call: PeerCall) -> PeerAnswer {
        let (answer, answered) = oneshot::channel();
        if self.0.send(Input::Call(call, answer)).is_err() {
            return PeerAnswer::NotOwner;
        }
        answered.await.unwrap_or(PeerAnswer::NotOwner)
    }

    /// Tells the owner that the configuration changed.
    pub fn configure(&self) {
        // The owner's loop has ended when nobody listens.
        let _ = self.0.send(Input::Configure);
    }
}

/// The owner.
#[derive(Debug)]
pub struct Owner {
    shared: Arc<Shared>,
    adviser: Arc<Adviser>,
    epoch: u64,
    /// Whether orders may be given.
    valid: Arc<AtomicBool>,
    /// Whether the lease runs, so that jobs may be taken.
    fresh: Arc<AtomicBool>,
    director: WorkflowScheduler,
    links: HashMap<HostId, HostLink>,
    gates: AdviceGates,
    inputs: mpsc::UnboundedSender<Input>,
    log: Log,
    /// Cancellations that are answered when the record is written.
    cancels: Vec<(u64, oneshot::Sender<PeerAnswer>)>,
    jobs_revision: u64,
    fenced: bool,
    /// Whether every listed host has answered once.
    settled: bool,
    /// No pass is made before this.
    next_pass: Instant,
    starts: HashMap<TaskName, Millis>,
}

impl Owner {
    /// Makes the owner of an epoch; `revision` is that of its key.
    pub fn new(
        shared: Arc<Shared>,
        adviser: Arc<Adviser>,
        epoch: u64,
        revision: u64,
        valid: Arc<AtomicBool>,
        fresh: Arc<AtomicBool>,
    ) -> (Self, mpsc::UnboundedReceiver<Input>) {
        let (inputs, receiver) = mpsc::unbounded_channel();
        let now = shared.now();
        let bounds = &shared.settings.bounds;
        let settings = WorkflowSettings {
            epoch,
            // An executor's clock may be 2% slow, and calls take their time.
            task_lease: Millis(bounds.task_lease_ms * 103 / 100 + 300),
            retention: Millis::from_secs(bounds.shown_s + 30),
        };
        let log = Log::new(Arc::clone(&shared), epoch, revision, inputs.clone());
        let gates = AdviceGates::new(shared.settings.gate.clone(), now);
        let owner = Self {
            director: WorkflowScheduler::new(settings, now),
            shared,
            adviser,
            epoch,
            valid,
            fresh,
            links: HashMap::default(),
            gates,
            inputs,
            log,
            cancels: Vec::new(),
            jobs_revision: 0,
            fenced: false,
            settled: false,
            next_pass: Instant::now(),
            starts: HashMap::default(),
        };
        (owner, receiver)
    }

    /// Returns the way to this owner.
    pub fn handle(&self) -> OwnerHandle {
        OwnerHandle(self.inputs.clone())
    }

    /// Reads what earlier owners left and decides until the ownership is lost.
    pub async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Input>) -> Result<()> {
        self.load().await?;
        tokio::spawn(registry::follow(
            Arc::clone(&self.shared),
            self.inputs.clone(),
        ));
        tokio::spawn(arrivals::follow(
            Arc::clone(&self.shared),
            self.inputs.clone(),
            self.jobs_revision,
        ));
        let mut ticks = interval(Duration::from_millis(TICK_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut actions = Vec::new();
        while !self.fenced {
            tokio::select! {
                input = receiver.recv() => {
                    let Some(input) = input else { break };
                    self.take(input, &mut actions);
                    while let Ok(input) = receiver.try_recv() {
                        self.take(input, &mut actions);
                    }
                }
                _ = ticks.tick() => {
                    self.director.tick(self.shared.now(), wall(), &mut actions);
                    self.clean();
                }
                () = sleep_until(self.next_pass), if self.may_pass() => {}
            }
            let begun = Instant::now();
            if begun >= self.next_pass && self.may_pass() {
                self.director.set_advice_gates(self.gates.count());
                self.director.place(self.shared.now(), &mut actions);
                self.next_pass = begun + begun.elapsed() * (1 + PASS_REST_TIMES);
            }
            for action in actions.drain(..) {
                self.carry_out(action);
            }
            self.write();
        }
        Ok(())
    }

    /// Asks some other gates to take over; one that is turned away as well cannot.
    fn yield_ownership(&self) {
        let skip = rand::random_range(0..self.gates.count());
        let others = self
            .gates
            .other_addresses()
            .chain(self.gates.other_addresses());
        for address in others.skip(skip).take(YIELD_GATES) {
            info!(
                epoch = self.epoch,
                by = address,
                "owner: asks to be replaced."
            );
            let (shared, epoch) = (Arc::clone(&self.shared), self.epoch);
            let address = address.to_owned();
            tokio::spawn(async move {
                if let Err(error) = peers::call(&shared, &address, &PeerCall::Yield(epoch), 0).await
                {
                    info!(error = format!("{error:#}"), "owner: not heard.");
                }
            });
        }
    }

    /// Returns whether something may start.
    fn may_pass(&self) -> bool {
        self.director.is_dirty() && self.valid.load(Ordering::Relaxed) && !self.log.is_behind()
    }

    /// Puts the configuration of this gate in force.
    fn configure(&mut self) {
        if let Some(manifest) = (**self.shared.manifest.load()).clone() {
            self.director.configure(Arc::clone(&manifest.rules));
        }
    }

    /// Reads accepted jobs and the log.
    async fn load(&mut self) -> Result<()> {
        let begun = self.shared.now();
        self.configure();
        let (jobs, revision) = self.shared.store.range(JOBS).await?;
        self.jobs_revision = revision;
        let (batches, _) = self.shared.store.range(LOG).await?;
        let now = self.shared.now();
        self.director.tick(now, wall(), &mut Vec::new());
        let mut flows = Vec::with_capacity(jobs.len());
        for item in &jobs {
            match decode::<Workflow>(&item.key, &item.value) {
                Ok(flow) => flows.push(flow),
                Err(error) => warn!(error = format!("{error:#}"), "owner: unreadable job."),
            }
        }
        // What a team may hand in is counted in the order of time.
        flows.sort_by_key(|flow| flow.accepted);
        for flow in flows {
            let age = age(flow.accepted);
            self.director.restore(flow, now, age);
        }
        for item in &batches {
            match decode::<Batch>(&item.key, &item.value) {
                Ok(batch) => {
                    self.log.note(&item.key, &batch.records);
                    for record in &batch.records {
                        self.director.replay(record, now);
                    }
                }
                Err(error) => warn!(error = format!("{error:#}"), "owner: unreadable batch."),
            }
        }
        let mut actions = Vec::new();
        self.director.finish_restore(now, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
        let took_ms = self.shared.now().since(begun).0;
        info!(
            epoch = self.epoch,
            jobs = jobs.len(),
            open = self.director.open_jobs(),
            batches = batches.len(),
            took_ms,
            "owner: state read."
        );
        Ok(())
    }

    fn take(&mut self, input: Input, actions: &mut Vec<Action>) {
        let now = self.shared.now();
        match input {
            Input::Call(call, answer) => self.answer(call, answer, actions),
            Input::Configure => self.configure(),
            Input::Hosts(list) => self.list(list),
            Input::Look(host, look) => {
                self.note_ends(&host, &look);
                self.director.apply_report(&host, &look, now, actions);
                if !self.settled && self.director.unknown_hosts() == 0 {
                    self.settled = true;
                    info!(epoch = self.epoch, "owner: every host is known.");
                }
            }
            Input::Unanswered(host, lease) => self.director.extend_lease(&host, lease),
            Input::Start(host, run, result) => {
                self.fenced |= self.director.start_result(&host, run, result, now, actions);
            }
            Input::Stopped(host, run, at) => self.director.stop_result(&host, run, at),
            Input::Advised(step, named, advice) => {
                self.director
                    .apply_advice(step, &named, advice.as_ref(), now);
            }
            Input::Jobs(flows) => {
                for flow in flows {
                    self.submit(flow);
                }
            }
            Input::Written(number) => self.written(number, actions),
            Input::Yield => self.yield_ownership(),
            Input::Fenced => self.fenced = true,
        }
    }

    fn submit(&mut self, flow: Workflow) -> bool {
        // Past the lease another owner may have taken the job already.
        if !self.fresh.load(Ordering::Relaxed) {
            return false;
        }
        let age = age(flow.accepted);
        let id = flow.id;
        if self.director.submit(flow, self.shared.now(), age) {
            debug!(job = %id, age_ms = age.0, "owner: job is known.");
        }
        true
    }

    fn answer(
        &mut self,
        call: PeerCall,
        answer: oneshot::Sender<PeerAnswer>,
        actions: &mut Vec<Action>,
    ) {
        let now = self.shared.now();
        let reply = match call {
            PeerCall::Hello(gate, address) => {
                self.gates.record_greeting(gate, address, now);
                PeerAnswer::Done
            }
            PeerCall::Submit(flow) => {
                if self.submit(*flow) {
                    PeerAnswer::Done
                } else {
                    PeerAnswer::NotOwner
                }
            }
            PeerCall::State(id) => PeerAnswer::State(self.director.status(id)),
            PeerCall::Pending(queue) => {
                PeerAnswer::Pending(u64::try_from(self.director.queued_jobs(&queue)).unwrap_or(0))
            }
            PeerCall::Cancel(id) => {
                if !self.valid.load(Ordering::Relaxed) {
                    PeerAnswer::NotOwner
                } else if let Some(number) = self.director.cancel(id, now, actions) {
                    info!(job = %id, record = number, "owner: cancelled.");
                    self.cancels.push((number, answer));
                    return;
                } else {
                    PeerAnswer::Cancelled(false)
                }
            }
            PeerCall::Advise(..) | PeerCall::Yield(_) => PeerAnswer::Failed,
        };
        // The caller has given up when nobody listens.
        let _ = answer.send(reply);
    }

    fn list(&mut self, list: Vec<(HostEntry, String)>) {
        let now = self.shared.now();
        let gone: Vec<HostId> = self
            .director
            .hosts()
            .filter(|(host, listed)| *listed && !list.iter().any(|(entry, _)| entry.id == host.id))
            .map(|(host, _)| host.id.clone())
            .collect();
        for id in gone {
            info!(host = %id, "owner: host is no longer listed.");
            self.director.unlist_host(&id);
        }
        for (entry, address) in list {
            if let Some(link) = self.links.get(&entry.id) {
                link.set_address(&address);
            } else {
                let link = HostLink::open(
                    &self.shared,
                    &entry,
                    address,
                    self.epoch,
                    Arc::clone(&self.valid),
                    self.inputs.clone(),
                );
                self.links.insert(entry.id.clone(), link);
            }
            if entry.draining {
                debug!(host = %entry.id, "owner: host is leaving.");
            }
            self.director.list_host(entry, now);
        }
        let director = &self.director;
        self.links.retain(|id, _| director.has_host(id));
    }

    fn note_ends(&mut self, host: &HostId, look: &HostReport) {
        for ended in &look.ended {
            if let Some(started) = self.starts.remove(&ended.task) {
                let ran = self.shared.now().since(started);
                let how = ended.outcome.to_string();
                self.shared.meters.time("run", &how, ran);
                info!(task = %ended.task, run = ended.run, host = %host, how, ran_ms = ran.0,
                    "owner: run ended.");
            }
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Start(order) => {
                info!(task = %order.task, run = order.run, host = %order.host,
                    epoch = self.epoch, "owner: start.");
                self.starts.insert(order.task, self.shared.now());
                if let Some(link) = self.links.get(&order.host) {
                    link.start(order);
                }
            }
            Action::Stop(order) => {
                info!(task = %order.task, run = order.run, host = %order.host, "owner: stop.");
                if let Some(link) = self.links.get(&order.host) {
                    link.stop(order);
                }
            }
            Action::Advise {
                step,
                hosts,
                cost_ms,
            } => self.advise(step, hosts, cost_ms),
            Action::Record(record) => {
                if let Record::Ended(job, shown) = &record {
                    info!(job = %job, %shown, "owner: job ended.");
                    self.shared.meters.count("jobs", &shown.to_string());
                }
                self.log.push(record);
            }
            Action::Poll { host } => {
                if let Some(link) = self.links.get(&host) {
                    link.look();
                }
            }
            Action::Forget {
                host,
                boot_ms,
                number,
            } => {
                if let Some(link) = self.links.get(&host) {
                    link.forget(boot_ms, number);
                }
            }
        }
    }

    /// Asks the advice service through the gate with the shortest backlog.
    fn advise(&mut self, step: StepId, hosts: Vec<HostId>, cost_ms: u64) {
        let now = self.shared.now();
        let Some((address, backlog)) = self.gates.assign(cost_ms, now) else {
            info!(%step, cost_ms, "owner: no gate is free for advice.");
            let _ = self.inputs.send(Input::Advised(step, hosts, None));
            return;
        };
        let shared = Arc::clone(&self.shared);
        let adviser = Arc::clone(&self.adviser);
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let answer = match &address {
                None => adviser.ask(&shared, step, &hosts, cost_ms).await.ok(),
                Some(address) => {
                    let call = PeerCall::Advise(step, hosts.clone(), cost_ms);
                    match peers::call(&shared, address, &call, backlog + cost_ms).await {
                        Ok(PeerAnswer::Advice(good, valid_ms)) => Some((good, valid_ms)),
                        _ => None,
                    }
                }
            };
            let heard = shared.now();
            shared.meters.time("advice", "all", heard.since(now));
            info!(%step, named = hosts.len(), good = answer.as_ref().map(|(good, _)| good.len()),
                took_ms = heard.since(now).0, by = address, "owner: advice.");
            let advice = answer.map(|(good, valid_ms)| Advice {
                allowed: good,
                until: heard + Millis(valid_ms.saturating_sub(TICKET_WAY_MS)),
            });
            let _ = inputs.send(Input::Advised(step, hosts, advice));
        });
    }

    fn written(&mut self, number: u64, actions: &mut Vec<Action>) {
        self.log.written();
        self.director
            .records_written(number, self.shared.now(), actions);
        let done: Vec<_> = self
            .cancels
            .extract_if(.., |(record, _)| *record <= number)
            .collect();
        for (_, answer) in done {
            let _ = answer.send(PeerAnswer::Cancelled(true));
        }
    }

    /// Writes what is recorded, and lets ends be forgotten that no unwritten record speaks of.
    fn write(&mut self) {
        if let Some(number) = self.log.idle_at() {
            let mut actions = Vec::new();
            self.director
                .records_written(number, self.shared.now(), &mut actions);
            for action in actions {
                self.carry_out(action);
            }
        }
        self.log.write();
    }

    /// Removes from the store what is no longer shown.
    fn clean(&mut self) {
        let now = self.shared.now();
        if !self.log.cleans(now) {
            return;
        }
        let expired = self.director.remove_expired(now);
        let director = &self.director;
        let is_known = |job| director.status(job).is_some();
        if !expired.is_empty() {
            self.starts.retain(|task, _| is_known(task.step.job));
        }
        self.log.clean(&expired, is_known);
    }
}
