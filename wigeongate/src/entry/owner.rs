//! The owner: feeds events to the scheduler and executes the actions that it decides on.

mod job_memory;
mod run_reports;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use eyre::Result;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until};
use tracing::{debug, info};
use wigeongate_core::collections::{HashMap, HashSet};
use wigeongate_core::ids::HostId;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    Action, AdviceGates, HostEntry, Intake, JobBudget, Record, StartOrder, StoredJob, Submission,
    TaskName, WorkflowScheduler, WorkflowSettings, WorkflowStatus, job_bytes,
};

use super::advice::{AdviceCall, AdviceClient};
use super::archive::Archiver;
use super::callers::job_age;
use super::checkpoint::SchedulerView;
use super::forecasts::Forecasts;
use super::hosts::HostLink;
use super::job_watch;
use super::log::Log;
use super::lost_takeovers::write_restored;
use super::owner_event::{OwnerEvent, OwnerHandle};
use super::ownership::Permits;
use super::peers::{self, PeerAnswer, PeerCall};
use super::registry;
use super::restore::Restore;
use super::restore_progress::{RestoreProgress, RestoreStep, StepSize};
use super::run_times::RunTimesWriter;
use super::share_report::ShareReport;
use super::shared::Shared;
use super::speeds;
use super::stored_head::StoredHead;
use super::turns::Turns;
use super::waits::WaitReport;
use crate::clock::wall_ms;

/// The time between ticks, in milliseconds.
const TICK_MS: u64 = 50;

/// The pause after a placement pass, as a multiple of the time that the pass took. The calls to
/// executors need most of the processor time.
const PASS_REST_FACTOR: u32 = 4;

/// The number of other gates that are asked to take over at a time; the store may refuse the calls
/// of a third of all gates.
const YIELD_CANDIDATES: usize = 3;

/// The state of the owner during one epoch.
#[derive(Debug)]
pub struct Owner {
    shared: Arc<Shared>,
    advice_client: Arc<AdviceClient>,
    epoch: u64,
    /// The revision of the owner key, which is the condition of each write.
    revision: u64,
    /// When this owner took over.
    began: Millis,
    /// Whether orders may be sent; stays true for longer than `lease_current` while the store does
    /// not answer.
    orders_allowed: Arc<AtomicBool>,
    /// Whether the ownership's lease is still running; jobs are added only then.
    lease_current: Arc<AtomicBool>,
    /// The latest end of a task lease that may be granted, in milliseconds of the gate's clock.
    last_grant: Arc<AtomicU64>,
    scheduler: WorkflowScheduler,
    links: HashMap<HostId, HostLink>,
    events: mpsc::UnboundedSender<OwnerEvent>,
    log: Log,
    archiver: Archiver,
    /// Cancellations by the number of their record; each is answered when the record is written.
    pending_cancels: Vec<(u64, oneshot::Sender<PeerAnswer>)>,
    intake: Intake,
    /// What each gate may accept of this gate's memory.
    budget: JobBudget,
    /// When the read was sent that confirmed the list of executors.
    registry_read: Millis,
    /// Whether that list or the configuration is too old for starts.
    is_stale: bool,
    /// Whether another gate has become the owner; ends the loop.
    fenced: bool,
    /// How far the restore has come.
    progress: Arc<RestoreProgress>,
    /// When every listed host had answered at least once; `None` before.
    hosts_known: Option<Millis>,
    /// Whether a start was ordered.
    has_started: bool,
    /// The earliest time of the next placement pass.
    next_pass: Instant,
    /// When each run was ordered to start.
    start_times: HashMap<(TaskName, u32), Millis>,
    waits: WaitReport,
    share_report: ShareReport,
    run_times: RunTimesWriter,
    forecasts: Forecasts,
}

impl Owner {
    /// Creates the owner of an epoch; `revision` is that of the owner key.
    pub fn new(
        shared: Arc<Shared>,
        advice_client: Arc<AdviceClient>,
        epoch: u64,
        revision: u64,
        permits: &Permits,
        progress: Arc<RestoreProgress>,
    ) -> (Self, mpsc::UnboundedReceiver<OwnerEvent>) {
        let (events, receiver) = mpsc::unbounded_channel();
        let now = shared.now();
        let bounds = &shared.settings.bounds;
        let settings = WorkflowSettings {
            epoch,
            inherited_lease: permits.tenure.inherited_lease(),
            retention: Millis::from_secs(bounds.shown_s + 30),
            policies: shared.settings.policies(),
        };
        let log = Log::new(Arc::clone(&shared), epoch, revision, events.clone());
        let archiver = Archiver::new(Arc::clone(&shared), revision, events.clone());
        let run_times = RunTimesWriter::new(Arc::clone(&shared), revision);
        let mut scheduler = WorkflowScheduler::new(settings, now);
        scheduler.set_advice_gates(AdviceGates::new(shared.settings.gate.clone(), now));
        let owner = Self {
            forecasts: Forecasts::new(&shared),
            scheduler,
            shared,
            advice_client,
            epoch,
            revision,
            began: now,
            orders_allowed: Arc::clone(&permits.orders_allowed),
            lease_current: Arc::clone(&permits.lease_current),
            last_grant: Arc::clone(&permits.last_grant),
            links: HashMap::default(),
            events,
            log,
            archiver,
            pending_cancels: Vec::new(),
            intake: Intake::default(),
            budget: JobBudget::default(),
            registry_read: Millis::ZERO,
            is_stale: true,
            fenced: false,
            progress,
            hosts_known: None,
            has_started: false,
            next_pass: Instant::now(),
            start_times: HashMap::default(),
            waits: WaitReport::default(),
            share_report: ShareReport::default(),
            run_times,
        };
        (owner, receiver)
    }

    /// Returns a handle to this owner.
    pub fn handle(&self) -> OwnerHandle {
        OwnerHandle::new(self.events.clone())
    }

    /// Restores the state of earlier owners, then runs the event loop until the ownership is lost.
    ///
    /// Fails if the store cannot be read.
    pub async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<OwnerEvent>) -> Result<()> {
        let revision = self.restore().await?;
        tokio::spawn(registry::follow(
            Arc::clone(&self.shared),
            self.events.clone(),
        ));
        tokio::spawn(job_watch::follow(
            Arc::clone(&self.shared),
            self.events.clone(),
            revision,
        ));
        self.archiver.start_reading();
        let mut ticks = interval(Duration::from_millis(TICK_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut actions = Vec::new();
        while !self.fenced {
            tokio::select! {
                event = receiver.recv() => {
                    let Some(event) = event else { break };
                    self.handle_event(event, &mut actions);
                    self.drain_events(&mut receiver, &mut actions).await;
                }
                _ = ticks.tick() => {
                    let queued = u64::try_from(receiver.len()).unwrap_or(u64::MAX);
                    self.shared.metrics.set_gauge("events_queued", queued);
                    // A tick ends what has expired, so it must see every event before it: after a
                    // pause of the process, reports and sent polls are still queued.
                    self.drain_events(&mut receiver, &mut actions).await;
                    self.check_views();
                    let age_ms = self.registry_age().0;
                    let metrics = &self.shared.metrics;
                    metrics.set_gauge("registry_age_ms", age_ms);
                    metrics.set_gauge("advice_waiting", self.scheduler.waiting_for_gate());
                    for (name, size) in self.scheduler.kept_sizes() {
                        metrics.set_gauge(name, u64::try_from(size).unwrap_or(u64::MAX));
                    }
                    let (ready, due) = self.scheduler.waiting_steps();
                    let open = self.scheduler.open_jobs();
                    metrics.set_gauge("jobs_open", u64::try_from(open).unwrap_or(u64::MAX));
                    metrics.set_gauge("steps_ready", u64::try_from(ready).unwrap_or(u64::MAX));
                    metrics.set_gauge("steps_due", u64::try_from(due).unwrap_or(u64::MAX));
                    self.renew_room();
                    self.read_deferred();
                    self.scheduler.tick(self.shared.now(), wall_ms(), &mut actions);
                    self.waits.tick(&self.scheduler, &self.shared);
                    self.share_report.tick(&self.scheduler, &self.shared);
                    speeds::report(&mut self.scheduler, &self.shared.metrics);
                    self.clean_up();
                    self.run_times.write(self.scheduler.run_times());
                }
                () = sleep_until(self.next_pass), if self.may_place() => {}
            }
            let started = Instant::now();
            if started >= self.next_pass && self.may_place() {
                self.scheduler.place(self.shared.now(), &mut actions);
                self.forecasts.update(&self.scheduler, &self.shared);
                self.next_pass = started + started.elapsed() * (1 + PASS_REST_FACTOR);
            }
            for action in actions.drain(..) {
                self.execute(action);
            }
            self.write_log();
        }
        Ok(())
    }

    /// Asks several other gates to take over, since a gate whose calls the store refuses as well
    /// cannot become the owner.
    fn yield_ownership(&self) {
        let gates = self.scheduler.advice_gates();
        let skip = rand::random_range(0..gates.count());
        let others = gates.other_addresses().chain(gates.other_addresses());
        for address in others.skip(skip).take(YIELD_CANDIDATES) {
            info!(
                epoch = self.epoch,
                by = address,
                "owner: asking another gate to take over."
            );
            let (shared, epoch) = (Arc::clone(&self.shared), self.epoch);
            let address = address.to_owned();
            tokio::spawn(async move {
                if let Err(error) = peers::call(&shared, &address, &PeerCall::Yield(epoch), 0).await
                {
                    info!(
                        error = format!("{error:#}"),
                        "owner: asking another gate to take over failed."
                    );
                }
            });
        }
    }

    /// Returns whether a placement pass is needed and tasks may start.
    fn may_place(&self) -> bool {
        self.scheduler.is_dirty()
            && self.orders_allowed.load(Ordering::Relaxed)
            && !self.log.is_behind()
    }

    /// Lets no task start while the list of executors or the configuration is too old.
    fn check_views(&mut self) {
        let is_stale = !self.shared.may_start(self.registry_read);
        if is_stale != self.is_stale {
            self.is_stale = is_stale;
            let registry_age_ms = self.registry_age().0;
            let configuration_age_ms = self.shared.configuration_age().0;
            if is_stale {
                info!(
                    registry_age_ms,
                    configuration_age_ms,
                    "owner: the views of the store are stale; no task starts."
                );
            } else {
                info!(
                    registry_age_ms,
                    configuration_age_ms,
                    "owner: the views of the store are fresh; tasks may start."
                );
            }
        }
        self.scheduler.set_stale(is_stale);
    }

    /// Returns the age of the list of executors.
    fn registry_age(&self) -> Millis {
        self.shared.now().since(self.registry_read)
    }

    /// Applies the configuration of this gate to the scheduler.
    fn configure(&mut self) {
        if let Some(manifest) = (**self.shared.manifest.load()).clone() {
            self.scheduler.configure(Arc::clone(&manifest.rules));
        }
    }

    /// Restores the state of earlier owners; returns the revision up to which the jobs are complete.
    async fn restore(&mut self) -> Result<u64> {
        self.configure();
        let restore = Restore {
            shared: &self.shared,
            progress: &self.progress,
            scheduler: &mut self.scheduler,
        };
        let restored = restore.run().await?;
        let batches = restored.batches.len();
        let deferred = restored.deferred.len();
        self.intake = Intake::new(restored.revision);
        self.intake.defer(restored.deferred);
        let mut turns = Turns::default();
        self.progress
            .begin(RestoreStep::NoteBatches, self.shared.now());
        if let StoredHead::Present(_, revision) = &restored.head {
            self.log.add_head(*revision);
        }
        for (key, part) in restored.parts {
            turns.count(part.batches.iter().map(Vec::len).sum()).await;
            self.log.add_part(&key, part);
        }
        for (key, records) in restored.batches {
            turns.count(records.len()).await;
            self.log.add_batch(&key, records);
        }
        if restored.is_readable {
            let head = restored.head.head().cloned();
            tokio::spawn(self.log.sweep(head).run());
        } else {
            self.log.disable_checkpoints();
        }
        for action in restored.actions {
            turns.count(1).await;
            self.execute(action);
        }
        self.progress
            .add(RestoreStep::NoteBatches, StepSize::items(batches));
        self.progress
            .end(RestoreStep::NoteBatches, self.shared.now());
        self.progress.finish(self.shared.now());
        tokio::spawn(write_restored(
            Arc::clone(&self.shared),
            self.events.clone(),
            Arc::clone(&self.progress),
            self.epoch,
            self.revision,
        ));
        let took_ms = self.shared.now().since(self.began).0;
        let metrics = &self.shared.metrics;
        metrics.set_gauge("restore_ms", took_ms);
        self.progress.report(metrics);
        info!(
            epoch = self.epoch,
            jobs = restored.jobs,
            open = self.scheduler.open_jobs(),
            deferred,
            batches,
            took_ms,
            steps = %self.progress,
            "owner: state restored from the store."
        );
        Ok(restored.revision)
    }

    /// Handles the events that are queued. The other work of the gate has its turn after a bounded number of
    /// them; the queue is empty at the end, and nothing else has run since it was.
    async fn drain_events(
        &mut self,
        receiver: &mut mpsc::UnboundedReceiver<OwnerEvent>,
        actions: &mut Vec<Action>,
    ) {
        let mut turns = Turns::default();
        // Only these, since events may come as fast as they are handled.
        for _ in 0..receiver.len() {
            turns.count(1).await;
            if let Ok(event) = receiver.try_recv() {
                self.handle_event(event, actions);
            }
        }
        while let Ok(event) = receiver.try_recv() {
            self.handle_event(event, actions);
        }
    }

    fn handle_event(&mut self, event: OwnerEvent, actions: &mut Vec<Action>) {
        let now = self.shared.now();
        self.check_views();
        match event {
            OwnerEvent::Call(call, answer) => self.answer(call, answer, actions),
            OwnerEvent::ConfigurationChanged => self.configure(),
            OwnerEvent::HostsListed(list) => self.update_hosts(list),
            OwnerEvent::RegistryRead(sent) => self.registry_read = self.registry_read.max(sent),
            OwnerEvent::HostReported(host, report) => {
                self.log_ended_runs(&host, &report);
                self.scheduler.apply_report(&host, &report, now, actions);
                if self.hosts_known.is_none() && self.scheduler.unknown_hosts() == 0 {
                    self.hosts_known = Some(now);
                    info!(epoch = self.epoch, "owner: every listed host has answered.");
                }
            }
            OwnerEvent::PollFailed(host, failure) => {
                self.scheduler.poll_failed(&host, failure, now, actions);
            }
            OwnerEvent::PollSent(host, runs_until) => self.scheduler.poll_sent(&host, runs_until),
            OwnerEvent::StartAnswered(host, run, result) => {
                self.fenced |= self
                    .scheduler
                    .start_result(&host, run, result, now, actions);
            }
            OwnerEvent::StopAnswered(host, run, sent, at) => {
                self.scheduler.stop_result(&host, run, sent, at);
            }
            OwnerEvent::AdviceAnswered(call, advice) => {
                let gates = self.scheduler.advice_gates_mut();
                gates.finish(&call.gate.id, call.cost_ms, advice.is_some(), now);
                self.scheduler
                    .apply_advice(call.step, &call.hosts, advice.as_ref(), now);
            }
            OwnerEvent::JobsFound(jobs, revision, answer) => {
                let is_current = self.lease_current.load(Ordering::Relaxed);
                if is_current {
                    // All jobs of the store were read if it has lost its changes.
                    for job in jobs {
                        if !self.intake.is_deferred(job.flow.id) {
                            self.add_job(job);
                        }
                    }
                    self.intake.complete(revision);
                }
                // Fails only when the task that found the jobs has ended.
                let _ = answer.send(is_current);
            }
            OwnerEvent::DeferredRead(id, found) => self.add_deferred(id, found),
            OwnerEvent::ArchiveAnswered(is_confirmed) => {
                let moved = self.archiver.finish(&mut self.scheduler, is_confirmed);
                self.log.forget_jobs(&moved);
            }
            OwnerEvent::ArchiveDue => self.archiver.advance(&mut self.scheduler),
            OwnerEvent::EndedFound(found) => self.archiver.add_found(&mut self.scheduler, found),
            OwnerEvent::Checkpoint(event) => self.log.finish_checkpoint(event),
            OwnerEvent::LogWritten(number) => {
                self.log.finish_write();
                self.finish_write(number, actions);
            }
            OwnerEvent::TakeoverWanted => self.yield_ownership(),
            OwnerEvent::Fenced => self.fenced = true,
        }
    }

    /// Adds a job unless it is known or was archived. After the end of the lease no job may be added,
    /// since another owner may have started it already.
    fn add_job(&mut self, job: StoredJob) -> PeerAnswer {
        let (id, revision) = (job.flow.id, job.revision);
        let age = job_age(job.flow.accepted);
        let now = self.shared.now();
        match self.intake.add(&mut self.scheduler, job, now, age) {
            Submission::Added => {
                debug!(job = %id, revision, age_ms = age.0, "owner: job added.");
                self.forecasts.record_arrival(&self.scheduler, id, now);
                PeerAnswer::Done
            }
            Submission::Known => PeerAnswer::Done,
            Submission::Removed => {
                info!(job = %id, revision, "owner: the job has ended and is archived.");
                PeerAnswer::Removed
            }
        }
    }

    fn answer(
        &mut self,
        call: PeerCall,
        answer: oneshot::Sender<PeerAnswer>,
        actions: &mut Vec<Action>,
    ) {
        let now = self.shared.now();
        let is_read = matches!(
            call,
            PeerCall::State(_) | PeerCall::Pending(_) | PeerCall::Outlook(..)
        );
        if is_read && answer.is_closed() {
            // Its caller has given up while the owner was busy.
            return;
        }
        let reply = match call {
            PeerCall::Hello(gate, address, request) => {
                let room = self.allot_room(&gate, &request);
                let gates = self.scheduler.advice_gates_mut();
                gates.record_greeting(gate, address, now);
                PeerAnswer::Room(room)
            }
            PeerCall::Reserve(gate, request) => PeerAnswer::Room(self.allot_room(&gate, &request)),
            PeerCall::Submit(job, gate) if self.lease_current.load(Ordering::Relaxed) => {
                if let Some(gate) = gate {
                    self.budget.hold(&gate, job_bytes(&job.flow));
                }
                self.add_job(*job)
            }
            PeerCall::Submit(..) => PeerAnswer::NotOwner,
            PeerCall::State(id) => {
                let is_deferred = || self.intake.is_deferred(id);
                let held = self.scheduler.status(id);
                PeerAnswer::State(held.or_else(|| is_deferred().then_some(WorkflowStatus::Queued)))
            }
            PeerCall::Pending(queue) => {
                let deferred = self.intake.deferred().queued(&queue);
                let queued = self.scheduler.queued_jobs(&queue) + deferred;
                PeerAnswer::Pending(u64::try_from(queued).unwrap_or(u64::MAX))
            }
            // Without the hosts' answers or the right to order starts, the forecast would be wrong.
            PeerCall::Outlook(gate, offered)
                if self.hosts_known.is_some() && self.orders_allowed.load(Ordering::Relaxed) =>
            {
                self.forecasts.answer(&gate, &offered, &self.shared)
            }
            PeerCall::Cancel(id) => {
                if !self.orders_allowed.load(Ordering::Relaxed) {
                    PeerAnswer::NotOwner
                } else if let Some(number) = self.scheduler.cancel(id, now, actions) {
                    if self.scheduler.is_written(number) {
                        // Nothing may be written for a long time.
                        let _ = answer.send(PeerAnswer::Cancelled(true));
                        return;
                    }
                    info!(job = %id, record = number,
                        "owner: job cancelled; the caller is answered when the record is written.");
                    self.pending_cancels
                        .retain(|(_, earlier)| !earlier.is_closed());
                    self.pending_cancels.push((number, answer));
                    return;
                } else {
                    PeerAnswer::Cancelled(false)
                }
            }
            PeerCall::Advise(..) | PeerCall::Yield(_) | PeerCall::Outlook(..) => PeerAnswer::Failed,
        };
        // Fails only when the caller no longer waits.
        let _ = answer.send(reply);
    }

    /// Opens links to new executors, updates addresses and drops links to forgotten ones.
    fn update_hosts(&mut self, list: Vec<HostEntry>) {
        let now = self.shared.now();
        let listed: HashSet<&HostId> = list.iter().map(|entry| &entry.id).collect();
        let gone: Vec<(HostId, bool)> = self
            .scheduler
            .hosts()
            .filter(|(host, was_listed)| *was_listed && !listed.contains(&host.id))
            .map(|(host, _)| (host.id.clone(), host.draining))
            .collect();
        for (id, draining) in gone {
            info!(host = %id, draining, "owner: the host is no longer listed.");
            self.scheduler.unlist_host(&id, now);
        }
        for entry in list {
            let link = self.links.entry(entry.id.clone()).or_insert_with(|| {
                HostLink::open(
                    &self.shared,
                    &entry,
                    self.epoch,
                    Arc::clone(&self.orders_allowed),
                    Arc::clone(&self.last_grant),
                    self.events.clone(),
                )
            });
            link.update(&entry);
            if entry.draining {
                debug!(host = %entry.id, "owner: the host is draining.");
            }
            self.scheduler.list_host(entry, now);
        }
        let scheduler = &self.scheduler;
        self.links.retain(|id, _| scheduler.has_host(id));
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Start(order) => self.order_start(order),
            Action::Stop(order) => {
                info!(task = %order.task, run = order.run, host = %order.host,
                    "owner: ordering a stop.");
                if let Some(link) = self.links.get(&order.host) {
                    link.stop(order);
                }
            }
            Action::Withdraw { host } => self.withdraw_starts(&host),
            Action::Advise {
                step,
                hosts,
                cost_ms,
                gate,
            } => self.advise(AdviceCall {
                step,
                hosts,
                cost_ms,
                gate,
            }),
            Action::Released {
                host,
                task,
                run,
                proof,
                contact,
            } => self.report_release(&host, (task, run), proof, contact),
            Action::Returned {
                host,
                task,
                run,
                newest,
                contact,
            } => self.report_return(&host, (task, run), newest, contact),
            Action::HostLost {
                host,
                runs,
                suspects,
            } => self.report_loss(&host, runs, &suspects),
            Action::LossSettled {
                boot,
                fate,
                suspects,
            } => self.report_fate(&boot, fate, &suspects),
            Action::Verdict { task, evidence } => self.report_verdict(task, &evidence),
            Action::Acquitted { task } => {
                self.shared.metrics.count("acquittals", "crashes");
                debug!(%task, "owner: a suspected task did not crash its host.");
            }
            Action::QueueSuspected { queue, suspected } => {
                info!(%queue, suspected,
                    "owner: the suspicion that jobs of the queue crash their hosts changed.");
            }
            Action::Record(record) => {
                if let Record::Ended(job, status) = &record {
                    info!(job = %job, shown = %status, "owner: the job ended.");
                    self.shared.metrics.count("jobs", &status.to_string());
                }
                self.log.push(record);
            }
            Action::Poll { host } => {
                if let Some(link) = self.links.get(&host) {
                    link.poll();
                }
            }
            Action::Forget {
                host,
                boot_ms,
                number,
            } => {
                if let Some(link) = self.links.get(&host) {
                    link.acknowledge_ends(boot_ms, number);
                }
            }
        }
    }

    fn order_start(&mut self, order: StartOrder) {
        let (capacity, used) = self.scheduler.load(&order.host).unwrap_or_default();
        info!(task = %order.task, run = order.run, host = %order.host,
            epoch = self.epoch, registry_age_ms = self.registry_age().0,
            cpu = capacity.cpu, used_cpu = used.cpu, "owner: ordering a start.");
        let now = self.shared.now();
        if !std::mem::replace(&mut self.has_started, true) {
            let since = |time: Option<Millis>| time.map(|time| now.since(time).0);
            info!(
                epoch = self.epoch,
                owned_ms = now.since(self.began).0,
                restored_ms = since(self.progress.restored()),
                hosts_known_ms = since(self.hosts_known),
                "owner: the first start of this owner is ordered."
            );
        }
        self.forecasts
            .record_start(&self.scheduler, order.task.step, now);
        self.start_times.insert((order.task, order.run), now);
        if let Some(link) = self.links.get(&order.host) {
            link.start(order);
        }
    }

    /// Takes back the starts on a host that were not sent yet.
    fn withdraw_starts(&self, host: &HostId) {
        if let Some(link) = self.links.get(host) {
            link.withdraw_starts();
        }
    }

    /// Calls the advice service through the gate that the scheduler chose.
    fn advise(&self, call: AdviceCall) {
        let shared = Arc::clone(&self.shared);
        let client = Arc::clone(&self.advice_client);
        let events = self.events.clone();
        tokio::spawn(async move {
            let advice = client.ask(&shared, &call).await;
            // Fails only after the owner's loop has ended.
            let _ = events.send(OwnerEvent::AdviceAnswered(call, advice));
        });
    }

    fn finish_write(&mut self, number: u64, actions: &mut Vec<Action>) {
        self.scheduler
            .records_written(number, self.shared.now(), actions);
        let done: Vec<_> = self
            .pending_cancels
            .extract_if(.., |(record, _)| *record <= number)
            .collect();
        for (_, answer) in done {
            let _ = answer.send(PeerAnswer::Cancelled(true));
        }
    }

    /// Writes the pending records, and acknowledges the ended runs that no unwritten record refers
    /// to.
    fn write_log(&mut self) {
        if let Some(number) = self.log.written_through() {
            let mut actions = Vec::new();
            self.scheduler
                .records_written(number, self.shared.now(), &mut actions);
            for action in actions {
                self.execute(action);
            }
        }
        self.log.write();
    }

    /// Begins to archive ended jobs, or to write a checkpoint of the log, when that is due.
    fn clean_up(&mut self) {
        let now = self.shared.now();
        self.archiver.advance(&mut self.scheduler);
        let view = SchedulerView {
            scheduler: &self.scheduler,
            runs_known: self.scheduler.runs_known(now),
        };
        self.log.advance_checkpoint(&view, now);
    }
}
