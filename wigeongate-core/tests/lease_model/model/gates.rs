//! What the gates do: take over, renew, poll, order and count runs as ended.

use std::sync::Arc;

use wigeongate_core::ids::QueueId;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    Action, HostLease, HostReport, PollFailure, Proof, Record, Refusal, Rules, Running, StartLease,
    StartResult, WorkflowScheduler, WorkflowSettings,
};

use super::{
    Event, HostCall, Life, Model, ORDER_LIMIT_MS, OmittedGuard, Owner, RETRY_MS, Restarts, TICK_MS,
    TXN_LIMIT_MS, entry, host_id, rules, running, spare_id,
};
use crate::executor::{RunKey, Verdict};

impl Model {
    pub(super) fn follow(&mut self, gate: usize) {
        if self.gates[gate].owner.is_some() {
            return;
        }
        let is_reached = self.store.is_up(self.now) && !self.store_is_cut(gate);
        if is_reached && self.store.owner(self.now).is_none() {
            let fate = self.fate(gate, false, self.setting.renewal_limit);
            if let Some(executed) = fate.executed {
                self.schedule(executed, Event::Grant(gate, self.now));
            }
            self.schedule(self.setting.renewal_limit, Event::Follow(gate));
        } else {
            let after = 20 + self.rng.below(200);
            self.schedule(after, Event::Follow(gate));
        }
    }

    pub(super) fn begin_ownership(&mut self, gate: usize, sent: u64, lease: u64, epoch: u64) {
        if self.gates[gate].owner.is_some() {
            return;
        }
        self.log(|| format!("gate {gate} is the owner of epoch {epoch}"));
        let settings = WorkflowSettings {
            epoch,
            inherited_lease: self.inherited_lease(),
            retention: Millis::from_secs(150),
            ..WorkflowSettings::default()
        };
        let owner = Owner {
            epoch,
            lease,
            renewed: sent,
            orders_allowed: true,
            last_grant: self.last_grant(sent),
            link: HostLease::new(Millis(self.setting.task_lease)),
            scheduler: WorkflowScheduler::new(settings, Millis(self.now)),
            is_loaded: false,
            unwritten: Vec::new(),
            batch: None,
            batches: 0,
            written: 0,
        };
        let state = &mut self.gates[gate];
        state.life += 1;
        state.owner = Some(owner);
        let life = (gate, state.life);
        self.reached.takeovers += 1;
        self.reached.returns += u64::from(life.1 > 1);
        self.schedule(self.setting.renewal, Event::Renew(life));
        let after = self.rng.below(100);
        self.schedule(after, Event::Load(life));
    }

    pub(super) fn end_ownership(&mut self, life: Life) {
        if self.owner(life).is_none() {
            return;
        }
        let (gate, _) = life;
        let Some(owner) = self.gates[gate].owner.take() else {
            return;
        };
        self.log(|| {
            format!(
                "gate {gate} is no longer the owner of epoch {}",
                owner.epoch
            )
        });
        if self.store.is_up(self.now) && !self.store_is_cut(gate) {
            self.store.revoke(owner.lease);
        }
        let after = self.rng.below(200);
        self.schedule(after, Event::Follow(gate));
    }

    pub(super) fn load(&mut self, life: Life) {
        if self.owner(life).is_none() {
            return;
        }
        if !self.store.is_up(self.now) || self.store_is_cut(life.0) {
            self.end_ownership(life);
            return;
        }
        let now = Millis(self.now);
        let jobs = self.store.jobs.clone();
        let batches: Vec<Vec<Record>> = self.store.log.values().cloned().collect();
        let Some(owner) = self.owner(life) else {
            return;
        };
        let mut configuration = Rules {
            version: 1,
            ..Rules::default()
        };
        configuration.queues.insert(QueueId::from("looms"), rules());
        owner.scheduler.configure(Arc::new(configuration));
        for job in jobs {
            owner.scheduler.restore(job, now, Millis::ZERO);
        }
        for records in batches {
            owner.scheduler.begin_batch();
            for record in &records {
                owner.scheduler.replay(record, now);
            }
        }
        let mut actions = Vec::new();
        owner.scheduler.finish_restore(now, &mut actions);
        owner.scheduler.list_host(entry(host_id()), now);
        owner.is_loaded = true;
        self.execute(life, actions);
        self.schedule(0, Event::PlanPoll(life, 0, false));
        self.schedule(TICK_MS, Event::Tick(life));
    }

    pub(super) fn tick(&mut self, life: Life) {
        let now = Millis(self.now);
        let jobs = if self.store.is_up(self.now) && !self.store_is_cut(life.0) {
            self.store.jobs.clone()
        } else {
            Vec::new()
        };
        let spare: Vec<Running> = self.spare.0.iter().copied().map(running).collect();
        let mut actions = Vec::new();
        let Some(owner) = self.owner(life) else {
            return;
        };
        for job in jobs {
            owner.scheduler.submit(job, now, Millis::ZERO);
        }
        owner.scheduler.tick(now, now.0, &mut actions);
        if owner.scheduler.unknown_hosts() > 0 || !spare.is_empty() {
            // Only what cannot run on the first host starts on the second one.
            owner.scheduler.list_host(entry(spare_id()), now);
            let report = HostReport {
                boot_ms: 1,
                sent: now,
                lease: now + Millis(2_000),
                running: spare,
                ended: Vec::new(),
                ..HostReport::default()
            };
            owner
                .scheduler
                .apply_report(&spare_id(), &report, now, &mut actions);
        }
        if owner.orders_allowed {
            owner.scheduler.place(now, &mut actions);
        }
        self.execute(life, actions);
        self.schedule(TICK_MS, Event::Tick(life));
    }

    pub(super) fn execute(&mut self, life: Life, mut actions: Vec<Action>) {
        while !actions.is_empty() {
            for action in std::mem::take(&mut actions) {
                self.execute_one(life, action);
            }
            let now = Millis(self.now);
            let omits_write = self.omitted == OmittedGuard::WrittenStarts;
            let Some(owner) = self.owner(life) else {
                return;
            };
            if omits_write {
                let last = owner.scheduler.last_record();
                owner.scheduler.records_written(last, now, &mut actions);
            }
        }
        let Some(owner) = self.owner(life) else {
            return;
        };
        if owner.batch.is_none() && !owner.unwritten.is_empty() {
            owner.batch = Some(std::mem::take(&mut owner.unwritten));
            owner.batches += 1;
            self.schedule(0, Event::Write(life));
        }
    }

    pub(super) fn execute_one(&mut self, life: Life, action: Action) {
        match action {
            Action::Start(order) if order.host == spare_id() => {
                let epoch = self.owner(life).map_or(0, |owner| owner.epoch);
                if epoch >= self.spare.1 {
                    self.log(|| format!("epoch {epoch} starts {} elsewhere", order.task));
                    self.spare.1 = epoch;
                    self.spare.0.insert((order.task, order.run));
                    let now = Millis(self.now);
                    if let Some(owner) = self.owner(life) {
                        owner.scheduler.start_result(
                            &spare_id(),
                            (order.task, order.run),
                            StartResult::Started,
                            now,
                            &mut Vec::new(),
                        );
                    }
                }
            }
            Action::Stop(order) if order.host == spare_id() => {}
            Action::Start(order) => {
                // Orders wait for a connection, on a busy host all of them.
                let longest = self.setting.order_wait;
                let waits = self.rng.chance(longest / 100);
                let after = u64::from(waits) * self.rng.below(longest);
                let planned = self.owner(life).and_then(|owner| owner.link.plan_start());
                self.schedule(
                    after,
                    Event::SendStart(life, (order.task, order.run), planned),
                );
            }
            Action::Stop(order) => {
                let call = HostCall::Stop((order.task, order.run));
                let boot = self.host.boot;
                self.schedule(0, Event::Send(life, call, self.now, boot));
            }
            Action::Poll { host } if host == spare_id() => {}
            Action::Poll { .. } => self.schedule(0, Event::PlanPoll(life, 0, true)),
            Action::Record(record) => {
                if let Some(owner) = self.owner(life) {
                    owner.unwritten.push(record);
                }
            }
            Action::Released {
                host,
                task,
                run,
                proof,
                ..
            } => {
                let epoch = self.owner(life).map(|owner| owner.epoch);
                let is_owner = self.store.owner(self.now).map(|owner| owner.epoch) == epoch;
                if is_owner && host == host_id() {
                    // Only the owner can start the task elsewhere.
                    self.ended.insert((task, run));
                }
                self.reached.expiries += u64::from(proof == Proof::LeaseExpired);
                let gate = life.0;
                self.log(|| {
                    format!("gate {gate} counts run {run} of {task} as ended: {proof}, is owner: {is_owner}")
                });
            }
            Action::Advise { .. }
            | Action::Withdraw { .. }
            | Action::Returned { .. }
            | Action::HostLost { .. }
            | Action::LossSettled { .. }
            | Action::Verdict { .. }
            | Action::Acquitted { .. }
            | Action::QueueSuspected { .. }
            | Action::Forget { .. } => {}
        }
    }

    pub(super) fn renew(&mut self, life: Life) {
        let Some(lease) = self.owner(life).map(|owner| owner.lease) else {
            return;
        };
        let limit = self.setting.renewal_limit;
        let fate = self.fate(life.0, self.store_is_cut(life.0), limit);
        if let Some(executed) = fate.executed {
            let event = Event::StoreRenew(life, lease, self.now, fate.answer_ms);
            self.schedule(executed, event);
        }
        if fate.executed.is_none() || fate.answer_ms.is_none() {
            self.schedule(limit, Event::Renewed(life, self.now, None));
        }
    }

    pub(super) fn renewed(&mut self, life: Life, sent: u64, result: Option<bool>) {
        let now = self.now;
        let counted = if self.omitted == OmittedGuard::RenewalSent {
            now
        } else {
            sent
        };
        let last_grant = self.last_grant(counted);
        let (renewal, goes_on) = (self.setting.renewal, self.setting.goes_on);
        let Some(owner) = self.owner(life) else {
            return;
        };
        if result == Some(true) {
            owner.renewed = counted;
            owner.last_grant = last_grant;
        }
        owner.orders_allowed = now - owner.renewed < goes_on;
        if result == Some(false) || !owner.orders_allowed {
            self.end_ownership(life);
        } else {
            self.schedule(renewal, Event::Renew(life));
        }
    }

    pub(super) fn write(&mut self, life: Life) {
        let Some(owner) = self.owner(life) else {
            return;
        };
        let Some(records) = owner.batch.clone() else {
            return;
        };
        let batch = (owner.epoch, owner.batches);
        let fate = self.fate(life.0, self.store_is_cut(life.0), TXN_LIMIT_MS);
        if let Some(executed) = fate.executed {
            let event = Event::StoreWrite(life, batch, records, fate.answer_ms);
            self.schedule(executed, event);
        }
        if fate.executed.is_none() || fate.answer_ms.is_none() {
            self.schedule(TXN_LIMIT_MS, Event::Written(life, None));
        }
    }

    pub(super) fn written(&mut self, life: Life, result: Option<bool>) {
        let now = Millis(self.now);
        let mut actions = Vec::new();
        let Some(owner) = self.owner(life) else {
            return;
        };
        match result {
            Some(true) => {
                let count = owner.batch.take().map_or(0, |records| records.len());
                owner.written += count as u64;
                let written = owner.written;
                owner.scheduler.records_written(written, now, &mut actions);
                self.execute(life, actions);
            }
            Some(false) => self.end_ownership(life),
            None => self.schedule(100, Event::Write(life)),
        }
    }

    pub(super) fn plan_poll(&mut self, life: Life, wait_ms: u64, is_extra: bool) {
        let now = Millis(self.now);
        let boot = self.host.boot;
        let counts_sent = self.omitted != OmittedGuard::SentPolls;
        let Some(owner) = self.owner(life) else {
            return;
        };
        let poll = owner.link.begin_poll(now, owner.last_grant);
        if counts_sent {
            owner.scheduler.poll_sent(&host_id(), poll.runs_until);
        }
        let call = HostCall::Poll(poll, wait_ms, is_extra);
        self.schedule(0, Event::Send(life, call, now.0, boot));
    }

    /// Sends a start that has waited for a connection since it was planned.
    pub(super) fn send_start(&mut self, life: Life, run: RunKey, planned: Option<StartLease>) {
        let boot = self.host.boot;
        let (now, omitted) = (Millis(self.now), self.omitted);
        // Orders that wait when the ownership ends are not sent.
        let Some(owner) = self.owner(life) else {
            return;
        };
        let last_grant = if omitted == OmittedGuard::StartBound {
            Millis(u64::MAX)
        } else {
            owner.last_grant
        };
        let planned = if omitted == OmittedGuard::StartDeadline {
            owner.link.plan_start()
        } else {
            planned
        };
        let may_send = |start: &StartLease| {
            owner.orders_allowed && owner.link.may_send(start, now, last_grant)
        };
        if let Some(start) = planned.filter(may_send) {
            let call = HostCall::Start(run, start.deadline);
            self.schedule(0, Event::Send(life, call, self.now, boot));
        } else {
            let result = StartResult::Refused(Refusal::Held);
            self.schedule(0, Event::Started(life, run, result));
        }
    }

    /// Sends a call that was planned at `planned` while a boot of the executor was up.
    pub(super) fn send(&mut self, life: Life, call: HostCall, planned: u64, boot: u64) {
        let Some(owner) = self.owner(life) else {
            return;
        };
        let (epoch, has_answered) = (owner.epoch, owner.link.has_answered());
        let is_cut = self.gates[life.0].host_cut_until > self.now;
        let limit = match call {
            HostCall::Poll(_, wait_ms, _) if has_answered => wait_ms + self.setting.poll_limit,
            HostCall::Poll(_, wait_ms, _) => wait_ms + 400,
            HostCall::Start(..) | HostCall::Stop(_) => ORDER_LIMIT_MS,
        };
        let mut fate = self.fate(life.0, is_cut, limit);
        if self.mute_until > self.now {
            fate.answer_ms = None;
        }
        if let Some(executed) = fate.executed {
            let event = Event::Arrive(life, call, epoch, planned, boot, fate.answer_ms);
            self.schedule(executed, event);
        }
        if fate.executed.is_none() || fate.answer_ms.is_none() {
            self.fail_call(life, call, limit);
        }
    }

    /// Lets a call fail after some time.
    pub(super) fn fail_call(&mut self, life: Life, call: HostCall, after: u64) {
        match call {
            HostCall::Poll(..) => self.schedule(after, Event::Polled(life, call, Err(false))),
            HostCall::Start(run, _) => {
                self.schedule(after, Event::Started(life, run, StartResult::Unknown));
            }
            HostCall::Stop(_) => {}
        }
    }

    pub(super) fn arrive(
        &mut self,
        life: Life,
        call: HostCall,
        (epoch, planned, boot): (u64, u64, u64),
        answer_ms: Option<u64>,
    ) {
        let now = self.now;
        let crosses = match self.setting.restarts {
            Restarts::Never | Restarts::Closed => false,
            Restarts::InTime => now - planned <= ORDER_LIMIT_MS,
            Restarts::Late => true,
        };
        if now < self.host_up || (boot != self.host.boot && !crosses) {
            if answer_ms.is_some() {
                self.fail_call(life, call, 1);
            }
            return;
        }
        let boot = self.host.boot;
        match call {
            HostCall::Poll(poll, wait_ms, _) => {
                let is_accepted = self.host.poll(epoch, poll.deadline, now);
                let Some(after) = answer_ms else {
                    return;
                };
                if is_accepted {
                    let wait_ms = self.rng.below(wait_ms + 1);
                    self.schedule(wait_ms, Event::PollAnswer(life, call, boot, Some(after)));
                } else {
                    self.schedule(after, Event::Polled(life, call, Err(true)));
                }
            }
            HostCall::Start(run, deadline) => {
                let verdict = self.host.start(run, epoch, deadline, now);
                self.reached.starts += u64::from(verdict == Verdict::Accepted);
                self.log(|| format!("host, boot {boot}: start of {run:?} by {epoch}: {verdict:?}"));
                let result = match verdict {
                    Verdict::Accepted => StartResult::Started,
                    Verdict::Fence => StartResult::Refused(Refusal::Fence),
                    Verdict::Old => StartResult::Refused(Refusal::Old),
                    Verdict::Late => StartResult::Refused(Refusal::Late),
                };
                if let Some(after) = answer_ms {
                    self.schedule(after, Event::Started(life, run, result));
                }
            }
            HostCall::Stop(run) => {
                let is_accepted = self.host.stop(run, epoch);
                if let Some(after) = answer_ms
                    && is_accepted
                {
                    self.schedule(after, Event::Stopped(life, run, planned));
                }
            }
        }
    }

    /// Handles the answer to a poll, or its failure: true if the executor has seen a higher epoch.
    pub(super) fn polled(
        &mut self,
        life: Life,
        call: HostCall,
        result: Result<(u64, u64, Vec<Running>), bool>,
    ) {
        let HostCall::Poll(poll, _, is_extra) = call else {
            return;
        };
        let now = Millis(self.now);
        let (omitted, setting) = (self.omitted, self.setting);
        let pause = self.rng.below(400) * self.rng.below(2);
        let (mut actions, mut seen) = (Vec::new(), Vec::new());
        let Some(owner) = self.owner(life) else {
            return;
        };
        let delay = match result {
            Ok((boot, clock, running)) => {
                if omitted == OmittedGuard::RestartLease && poll.boot_ms != boot {
                    owner.link = HostLease::new(Millis(setting.task_lease));
                }
                let lease = owner.link.record_answer(poll, boot, clock, now);
                seen = running.iter().map(|row| (row.task, row.run)).collect();
                let report = HostReport {
                    boot_ms: boot,
                    sent: poll.sent,
                    lease,
                    running,
                    ended: Vec::new(),
                    ..HostReport::default()
                };
                owner
                    .scheduler
                    .apply_report(&host_id(), &report, now, &mut actions);
                let left = owner.link.confirmed_until().since(now).0;
                let wait_ms = if left < 2 * setting.poll_wait {
                    0
                } else {
                    setting.poll_wait
                };
                let is_limited = owner.last_grant.since(now).0 < setting.task_lease;
                let limited = u64::from(wait_ms == 0 && is_limited) * RETRY_MS;
                (pause + limited, wait_ms)
            }
            Err(true) => {
                self.end_ownership(life);
                return;
            }
            Err(false) => {
                owner.link.record_silence();
                let failure = PollFailure::NoAnswer;
                owner
                    .scheduler
                    .poll_failed(&host_id(), failure, now, &mut actions);
                (RETRY_MS, 0)
            }
        };
        self.execute(life, actions);
        for run in seen {
            // What a report lists is known to exist.
            self.ended.remove(&run);
        }
        if !is_extra {
            self.schedule(delay.0, Event::PlanPoll(life, delay.1, false));
        }
    }
}
