//! The owner of one pool, under one epoch.

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
use crate::clock::{Clock, wall};
use crate::cluster::{Cluster, Held};
use crate::jobs::{CommitError, Committer, RecordReader, RecordWriter};
use crate::link::{Link, LinkSettings};
use crate::live::Live;
use crate::metrics::{Counter, Metrics, Waiting};
use crate::worker::HttpWorker;

/// How often the scheduler is told that time has passed.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// How often the scheduler goes on at once when more work could start.
const EXTRA_PASSES: usize = 8;

/// How many ticks lie between two writes of progress.
pub(super) const PROGRESS_TICKS: u64 = 20;

/// How many ticks lie between two looks for records that have been kept long enough.
pub(super) const EXPIRY_TICKS: u64 = 100;

/// How many messages wait for an owner at most; senders wait beyond that.
const MAILBOX_LIMIT: usize = 4_096;

/// The delay before the records are read again after a failure.
const LOAD_RETRY: Duration = Duration::from_millis(500);

/// The settings of a pool's owner.
#[derive(Debug, Clone)]
pub struct OwnerSettings {
    /// The pool.
    pub pool: PoolId,
    /// The ownership.
    pub held: Held,
    /// How long the leases of tasks run.
    pub task_lease: Duration,
    /// Where metrics go.
    pub metrics: Metrics,
}

/// Owns one pool under one epoch.
#[derive(xtra::Actor)]
pub struct PoolOwner {
    pub(super) settings: OwnerSettings,
    pub(super) unit: Unit,
    pub(super) cluster: Arc<dyn Cluster>,
    pub(super) records: RecordReader,
    pub(super) writer: RecordWriter,
    pub(super) clock: Clock,
    pub(super) scheduler: Scheduler,
    pub(super) live: Arc<Live>,
    pub(super) jobs: JobTable,
    /// Whether the records are read; nothing is started or accepted before.
    pub(super) loaded: bool,
    /// Whether the store may hold records that are not in the book.
    pub(super) reload_due: bool,
    pub(super) ticks: u64,
    links: HashMap<HostId, WorkerLink>,
    last_link: u64,
    client: Client,
}

/// A link with what it was made from.
struct WorkerLink {
    number: u64,
    host: Host,
    link: Link,
}

impl PoolOwner {
    /// Starts the owner; it reads its records, then the workers, and only then starts work.
    pub fn start(
        settings: OwnerSettings,
        live: Arc<Live>,
        cluster: Arc<dyn Cluster>,
        records: RecordReader,
    ) -> Address<Self> {
        let unit = Unit::Pool(settings.pool.clone());
        let committer = Committer::start(records.store(), cluster.clone(), unit.clone());
        let scheduler = Scheduler::new(SchedulerSettings {
            pool: Some(settings.pool.clone()),
            seed: settings.held.epoch.0,
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

    /// Counts a start, and how long the task waited for its first one.
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
            Waiting::Urgent
        } else {
            Waiting::Task(job.kind)
        };
        let waited = Duration::from_millis(wall().saturating_sub(job.accepted));
        metrics.waited(&job.team, waiting, waited);
    }

    /// Orders something other than a start.
    pub(super) fn order(&self, host: &HostId, order: Order) {
        self.send(host, order, 0);
    }

    fn send(&self, host: &HostId, order: Order, start: u64) {
        if let Some(linked) = self.links.get(host) {
            linked.link.order(order, start);
        } else {
            warn!("owner: there is no link to worker {host}.");
        }
    }

    /// Returns the link of this number to a worker, unless it was replaced.
    pub(super) fn link(&self, host: &HostId, number: u64) -> Option<&Link> {
        let linked = self.links.get(host)?;
        (linked.number == number).then_some(&linked.link)
    }

    /// Returns whether a worker belongs to the pool.
    pub(super) fn owns(&self, host: &HostId) -> bool {
        let worker = self.live.policy.workers.get(host);
        worker.is_some_and(|worker| worker.pool == self.settings.pool)
    }

    /// Starts links to the pool's workers that have none at their address.
    ///
    /// A link to a worker that has left the pool stays while the worker answers, so that its
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
            epoch: self.settings.held.epoch,
            lease: self.settings.task_lease,
            quiet: self.settings.held.quiet.into(),
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

    /// Starts the writes that are due for the jobs given.
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

    /// Starts the writes of jobs that have ended.
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

/// Reads the pool's records until that succeeds.
pub(super) async fn load(owner: WeakAddress<PoolOwner>, records: RecordReader, pool: PoolId) {
    while owner.is_connected() {
        match records.load(&pool).await {
            Ok(versioned) => {
                // An owner that has ended needs no records.
                let _ = owner.send(RecordsLoaded(versioned)).await;
                return;
            }
            Err(error) => {
                warn!("owner: pool {pool} cannot start: {error:#}.");
                sleep(LOAD_RETRY).await;
            }
        }
    }
}

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
    // An owner that has ended leaves the record to its successor.
    let _ = owner.send(written).await;
}
