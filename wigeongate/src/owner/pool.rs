//! The actor that owns one pool under one epoch.

use std::sync::Arc;
use std::time::Duration;

use reqwest::Client;
use tokio::time::{interval, sleep};
use tracing::{info, warn};
use wigeongate_api::worker::Order;
use wigeongate_config::inventory::Host;
use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::{HostId, JobId, PoolId, Unit};
use wigeongate_core::job::JobStatus;
use wigeongate_core::scheduler::{Action, Event, Scheduler, SchedulerSettings};
use xtra::WeakAddress;
use xtra::prelude::*;

use super::events::{OutgoingOrder, OwnerEvents, order_for};
use super::job_table::{JobTable, PendingWrite};
use super::{RecordWritten, RecordsLoaded, Tick};
use crate::client::client;
use crate::clock::{Clock, wall_ms};
use crate::cluster::{Cluster, OwnedUnit};
use crate::jobs::{CommitError, Committer, RecordReader, RecordWriter};
use crate::link::{Link, LinkSettings};
use crate::live::LiveConfiguration;
use crate::metrics::{Counter, Metrics, WaitClass};
use crate::worker::HttpWorker;

/// The interval between the scheduler's ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The maximum number of scheduler passes that directly follow an event while more work could
/// start.
const EXTRA_PASSES: usize = 8;

/// The number of ticks between two writes of progress.
pub(super) const PROGRESS_TICKS: u64 = 20;

/// The number of ticks between two removals of expired records.
pub(super) const EXPIRY_TICKS: u64 = 100;

/// The maximum number of messages in an owner's mailbox; senders wait while it is full.
const MAILBOX_LIMIT: usize = 4_096;

/// The delay before a failed read of the records is retried.
const LOAD_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The settings of a pool's owner.
#[derive(Debug, Clone)]
pub struct OwnerSettings {
    /// The pool.
    pub pool: PoolId,
    /// The ownership of the pool.
    pub owned: OwnedUnit,
    /// The duration of a task's lease.
    pub task_lease: Duration,
    /// The gate's metrics.
    pub metrics: Metrics,
}

/// The owner of one pool under one epoch.
#[derive(xtra::Actor)]
pub struct PoolOwner {
    pub(super) settings: OwnerSettings,
    pub(super) unit: Unit,
    pub(super) cluster: Arc<dyn Cluster>,
    pub(super) records: RecordReader,
    pub(super) writer: RecordWriter,
    pub(super) clock: Clock,
    pub(super) scheduler: Scheduler,
    pub(super) live: Arc<LiveConfiguration>,
    pub(super) jobs: JobTable,
    /// Whether the records have been read; no task is started and no job accepted before.
    pub(super) loaded: bool,
    /// Whether to read the records again, as the store may have some that are not in `jobs`.
    pub(super) reload_due: bool,
    pub(super) ticks: u64,
    links: HashMap<HostId, WorkerLink>,
    last_link: u64,
    client: Client,
}

/// A link with its number and the host that it was made for.
struct WorkerLink {
    number: u64,
    host: Host,
    link: Link,
}

impl PoolOwner {
    /// Starts the owner. It first reads its records, then the workers' reports, and only then
    /// starts tasks.
    pub fn start(
        settings: OwnerSettings,
        live: Arc<LiveConfiguration>,
        cluster: Arc<dyn Cluster>,
        records: RecordReader,
    ) -> Address<Self> {
        let unit = Unit::Pool(settings.pool.clone());
        let committer = Committer::start(records.store(), cluster.clone(), unit.clone());
        let scheduler = Scheduler::new(SchedulerSettings {
            pool: Some(settings.pool.clone()),
            seed: settings.owned.epoch.0,
            awaits_restore: true,
        });
        let mut owner = Self {
            unit,
            cluster,
            writer: RecordWriter::new(settings.pool.clone(), committer),
            records,
            clock: Clock::default(),
            scheduler,
            live,
            jobs: JobTable::default(),
            loaded: false,
            reload_due: false,
            ticks: 0,
            links: HashMap::default(),
            last_link: 0,
            client: client(),
            settings,
        };
        owner.decide(Event::Slices(Arc::default()));
        owner.decide(Event::Policy(owner.live.policy.clone()));
        let (pool, records) = (owner.settings.pool.clone(), owner.records.clone());
        let address = xtra::spawn_tokio(owner, Mailbox::bounded(MAILBOX_LIMIT));
        tokio::spawn(tick(address.downgrade()));
        tokio::spawn(load(address.downgrade(), records, pool));
        address
    }

    /// Passes an event to the scheduler and carries out the actions that it decides on.
    pub(super) fn decide(&mut self, event: Event) {
        let now = self.clock.now();
        let mut actions = Vec::new();
        self.scheduler.handle(now, event, &mut actions);
        for _ in 0..EXTRA_PASSES {
            if !self.scheduler.pending() {
                break;
            }
            self.scheduler.handle(now, Event::Tick, &mut actions);
        }
        for action in actions {
            self.act(action);
        }
    }

    /// Carries out an action: stores the end of a job, or sends an order to a worker.
    fn act(&mut self, action: Action) {
        self.count_start(&action);
        if let Action::Ended { job, outcome } = action {
            info!("owner: job {job} ended: {outcome}.");
            self.settings.metrics.count(Counter::JobsEnded);
            self.jobs.job_ended(job, outcome);
        } else if let Some(OutgoingOrder { host, order, start }) = order_for(action) {
            self.send(&host, order, start);
        }
    }

    /// Counts a start, and for the first attempt of a task also the time that it waited.
    fn count_start(&self, action: &Action) {
        let Action::Start(start) = action else {
            return;
        };
        let metrics = &self.settings.metrics;
        metrics.count(Counter::TasksStarted);
        if start.attempt > 1 {
            metrics.count(Counter::TasksRetried);
            return;
        }
        let Some(job) = self.jobs.job(start.task.job) else {
            return;
        };
        let waiting = if job.spec.urgent {
            WaitClass::Urgent
        } else {
            WaitClass::Task(job.kind)
        };
        let waited = Duration::from_millis(wall_ms().saturating_sub(job.accepted));
        metrics.record_wait(&job.team, waiting, waited);
    }

    /// Sends an order other than a start order to a worker.
    pub(super) fn order(&self, host: &HostId, order: Order) {
        self.send(host, order, 0);
    }

    fn send(&self, host: &HostId, order: Order, start: u64) {
        if let Some(linked) = self.links.get(host) {
            linked.link.order(order, start);
        } else {
            warn!("owner: there is no link to worker {host}; the order is dropped.");
        }
    }

    /// Returns the link to a worker, unless another one has replaced the link of this number.
    pub(super) fn link(&self, host: &HostId, number: u64) -> Option<&Link> {
        let linked = self.links.get(host)?;
        (linked.number == number).then_some(&linked.link)
    }

    /// Returns whether a worker belongs to the pool.
    pub(super) fn owns(&self, host: &HostId) -> bool {
        let worker = self.live.policy.workers.get(host);
        worker.is_some_and(|worker| worker.pool == self.settings.pool)
    }

    /// Connects to the pool's workers that have no link or a link to another address.
    ///
    /// A link to a worker that has left the pool is kept while the worker answers, so that its
    /// tasks keep their leases until the scheduler has moved them.
    pub(super) fn relink(&mut self, owner: &WeakAddress<Self>) {
        let live = self.live.clone();
        for host in &live.configuration.inventory.hosts {
            let linked = self.links.get(&host.name);
            let moved = linked.is_none_or(|linked| linked.host.address != host.address);
            if moved && self.owns(&host.name) {
                self.connect(host, owner);
            }
        }
    }

    fn connect(&mut self, host: &Host, owner: &WeakAddress<Self>) {
        self.last_link += 1;
        let number = self.last_link;
        let events = OwnerEvents {
            owner: owner.clone(),
            link: number,
            cluster: self.cluster.clone(),
            unit: self.unit.clone(),
        };
        let settings = LinkSettings {
            host: host.name.clone(),
            epoch: self.settings.owned.epoch,
            lease: self.settings.task_lease,
            quiet: self.settings.owned.takeover_grace.into(),
        };
        let port = Arc::new(HttpWorker::new(self.client.clone(), host.address));
        let linked = WorkerLink {
            number,
            host: host.clone(),
            link: Link::start(settings, port, Arc::new(events)),
        };
        self.links.insert(host.name.clone(), linked);
    }

    pub(super) fn disconnect(&mut self, host: &HostId) {
        self.links.remove(host);
    }

    /// Starts to write the records of the given jobs that have changed and are not being written.
    pub(super) fn write(
        &mut self,
        jobs: impl IntoIterator<Item = JobId>,
        owner: &WeakAddress<Self>,
    ) {
        for job in jobs {
            let progress = self.scheduler.progress(job);
            if let Some(due) = self.jobs.begin_write(job, progress) {
                let (writer, records) = (self.writer.clone(), self.records.clone());
                let pool = self.settings.pool.clone();
                tokio::spawn(write(owner.clone(), writer, records, pool, due));
            }
        }
    }

    /// Starts to write the records of jobs that have ended.
    pub(super) fn write_ends(&mut self, owner: &WeakAddress<Self>) {
        let ended = self.jobs.dirty_ends();
        self.write(ended, owner);
    }

    pub(super) fn status(&self, job: JobId) -> Option<JobStatus> {
        self.jobs.status(job, self.scheduler.status(job))
    }

    pub(super) fn statuses(&self) -> impl Iterator<Item = JobStatus> + '_ {
        self.jobs
            .all()
            .filter_map(|versioned| self.status(versioned.record.job.id))
    }
}

async fn tick(owner: WeakAddress<PoolOwner>) {
    let mut every = interval(TICK_INTERVAL);
    every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        every.tick().await;
        if owner.send(Tick).await.is_err() {
            return;
        }
    }
}

/// Reads the pool's records, with retries until that succeeds, and passes them to the owner.
pub(super) async fn load(owner: WeakAddress<PoolOwner>, records: RecordReader, pool: PoolId) {
    while owner.is_connected() {
        match records.load(&pool).await {
            Ok(versioned) => {
                // An owner that has stopped needs no records.
                let _ = owner.send(RecordsLoaded(versioned)).await;
                return;
            }
            Err(error) => {
                warn!(
                    "owner: reading the records of pool {pool} failed and is retried: {error:#}."
                );
                sleep(LOAD_RETRY_DELAY).await;
            }
        }
    }
}

/// Writes a record and passes the result to the owner, with the record in the store when the
/// write conflicts or has an unknown outcome.
async fn write(
    owner: WeakAddress<PoolOwner>,
    writer: RecordWriter,
    records: RecordReader,
    pool: PoolId,
    due: PendingWrite,
) {
    let PendingWrite {
        record,
        revision,
        ended,
    } = due;
    let id = record.job.id;
    let result = writer.update(&record, revision).await;
    let found = match &result {
        Err(CommitError::Raced | CommitError::Unknown(_)) => {
            records.find(&pool, id).await.ok().flatten()
        }
        _ => None,
    };
    let written = RecordWritten {
        record,
        ended,
        result,
        found,
    };
    // If the owner has stopped, its successor reads the record.
    let _ = owner.send(written).await;
}
