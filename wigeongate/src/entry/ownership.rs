//! Follows which gate is the owner, and takes the ownership over when it is free.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use eyre::{Result, WrapErr, bail};
use tokio::sync::Notify;
use tokio::time::sleep;
use tracing::{info, warn};
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{Tenure, WorkflowId, takeover_wait};
use wigeongate_platform::http::CallError;
use wigeongate_platform::store::{Change, Item, Txn, TxnOutcome};

use super::advice::AdviceClient;
use super::lost_takeovers::read_restored;
use super::owner::Owner;
use super::peers::{self, PeerCall};
use super::records;
use super::records::{EPOCH_KEY, OWNER_KEY, OwnerRecord, RESTORED_KEY, decode, encode};
use super::restore_progress::RestoreProgress;
use super::shared::Shared;

/// The time to live of the ownership's lease, in milliseconds. Nothing is placed for that long
/// after an owner was killed, but a slow store must be able to answer a renewal in time.
const LEASE_TTL_MS: u64 = 1_200;

/// The time between renewals, in milliseconds.
const RENEWAL_INTERVAL_MS: u64 = 300;

/// How long an owner continues after the end of its lease while the store does not answer, in
/// milliseconds. The task leases that it grants meanwhile are bounded by its [`Tenure`].
const STORE_OUTAGE_GRACE_MS: u64 = 6_000;

/// How long a watch waits for a change of the ownership, in milliseconds.
const WATCH_WAIT_MS: u64 = 2_000;

/// The delay after a failed call, or while this gate may not take over, in milliseconds.
const RETRY_DELAY_MS: u64 = 150;

/// The number of refused connections in a row after which the owner's process counts as ended.
const REFUSED_PROBES: u32 = 3;

/// The pause after each of these connections, in milliseconds.
const PROBE_PAUSE_MS: u64 = 30;

/// What an owner may do, by its last renewal.
#[derive(Debug)]
pub struct Permits {
    /// The leases of the ownership and of its tasks.
    pub tenure: Tenure,
    /// Whether orders may be sent.
    pub orders_allowed: Arc<AtomicBool>,
    /// Whether the ownership's lease is still running.
    pub lease_current: Arc<AtomicBool>,
    /// The latest end of a task lease that may be granted, in milliseconds of the gate's clock.
    pub last_grant: Arc<AtomicU64>,
}

impl Permits {
    /// Creates the permits of an owner whose lease was granted by a call sent at `sent`.
    fn new(task_lease: Millis, sent: Millis) -> Self {
        let tenure = Tenure {
            ttl: Millis(LEASE_TTL_MS),
            task_lease,
        };
        Self {
            orders_allowed: Arc::new(AtomicBool::new(true)),
            lease_current: Arc::new(AtomicBool::new(true)),
            last_grant: Arc::new(AtomicU64::new(tenure.last_grant(sent).0)),
            tenure,
        }
    }

    /// Returns how long after `now` the last task lease ends that may be granted.
    fn grant_left(&self, now: Millis) -> Millis {
        Millis(self.last_grant.load(Ordering::Relaxed)).since(now)
    }

    /// Returns the time since the last confirmed renewal was sent.
    fn unrenewed(&self, now: Millis) -> Millis {
        let last_grant = Millis(self.last_grant.load(Ordering::Relaxed));
        now.since(last_grant.since(self.tenure.last_grant(Millis::ZERO)))
    }
}

/// Follows the ownership and takes it over when it is free, until the process ends; a local owner
/// ends when `release` is notified.
pub async fn follow(shared: Arc<Shared>, advice_client: Arc<AdviceClient>, release: Arc<Notify>) {
    let process = rand::random();
    loop {
        let result = follow_once(&shared, &advice_client, process, &release).await;
        shared.set_local_owner(None);
        if let Err(error) = result {
            warn!(
                error = format!("{error:#}"),
                "ownership: following the ownership failed; trying again."
            );
            sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
        }
    }
}

fn decode_owner(item: &Item) -> Option<OwnerRecord> {
    records::decode_owner(item)
        .inspect_err(|error| {
            warn!(
                error = format!("{error:#}"),
                "ownership: the owner record cannot be decoded; no owner is known."
            );
        })
        .ok()
}

/// Follows the ownership until this gate has been the owner and lost it, or a call fails.
async fn follow_once(
    shared: &Arc<Shared>,
    advice_client: &Arc<AdviceClient>,
    process: u64,
    release: &Notify,
) -> Result<()> {
    let mut view = read_ownership(shared).await?;
    let mut earlier = None;
    loop {
        let is_changed = *shared.owner.borrow() != view.owner;
        if is_changed {
            info!(owner = ?view.owner, revision = view.revision, "ownership: the owner changed.");
            if let Some(owner) = &view.owner {
                shared.record_owner(owner);
            }
            shared.owner.send_replace(view.owner.clone());
        }
        let Some(owner) = &view.owner else {
            if shared.is_stopping() || shared.manifest.load().is_none() {
                sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            } else {
                let wait = takeover_wait(shared.settings.processors(), rand::random());
                sleep(Duration::from_millis(wait.0)).await;
                // Another gate may have taken over meanwhile, and a read costs less than a lease.
                let is_free = read_ownership(shared).await?.owner.is_none();
                let earlier = earlier.as_ref();
                let takeover = take_over(shared, advice_client, process, earlier, release);
                if is_free && Box::pin(takeover).await? {
                    return Ok(());
                }
            }
            view = read_ownership(shared).await?;
            continue;
        };
        earlier = Some(owner.clone());
        let epoch = owner.epoch;
        if owner.gate == shared.settings.gate && owner.process != process {
            info!(
                epoch,
                "ownership: an earlier process of this gate was the owner; removing it."
            );
            remove_owner(shared, &view).await?;
            view = read_ownership(shared).await?;
            continue;
        }
        tokio::select! {
            watched = shared.store.watch(OWNER_KEY, view.revision, WATCH_WAIT_MS)
                => view.apply(watched?),
            () = shared.owner_refusing.notified() => {
                if !shared.is_stopping() && is_refusing(shared, &owner.address).await {
                    info!(epoch, gate = %owner.gate,
                        "ownership: the owner refuses connections; removing its ownership.");
                    remove_owner(shared, &view).await?;
                }
                view = read_ownership(shared).await?;
            }
            yield_epoch = shared.owner_yields.notified() => {
                // The request does not apply to a later owner.
                if yield_epoch == epoch && !shared.is_stopping() {
                    info!(epoch,
                        "ownership: the owner asked to be replaced; removing its ownership.");
                    remove_owner(shared, &view).await?;
                    view = read_ownership(shared).await?;
                }
            }
        }
    }
}

/// The ownership as last read from the store.
struct OwnershipView {
    owner: Option<OwnerRecord>,
    /// The revision of the store up to which changes were read.
    revision: u64,
    /// The last seen revision of the owner key; zero if the key was not seen.
    key_revision: u64,
    /// The lease of the owner key then.
    key_lease: u64,
}

impl OwnershipView {
    fn apply(&mut self, (changes, revision): (Vec<Change>, u64)) {
        self.revision = self.revision.max(revision);
        for change in &changes {
            self.owner = match change {
                Change::Put(item) => {
                    self.key_revision = item.revision;
                    self.key_lease = item.lease;
                    decode_owner(item)
                }
                Change::Removed(_) => None,
            };
        }
    }
}

async fn read_ownership(shared: &Shared) -> Result<OwnershipView> {
    let (items, revision) = shared.store.range(OWNER_KEY).await?;
    Ok(OwnershipView {
        owner: items.first().and_then(decode_owner),
        revision,
        key_revision: items.first().map_or(0, |item| item.revision),
        key_lease: items.first().map_or(0, |item| item.lease),
    })
}

/// Returns whether the owner's address refuses connections, three times in a row. Its process has
/// probably ended then; a cut may refuse connections as well. A wrong conclusion costs no more than a
/// takeover, since the old owner's orders and writes are refused.
async fn is_refusing(shared: &Shared, address: &str) -> bool {
    for _ in 0..REFUSED_PROBES {
        let probe = PeerCall::State(WorkflowId::default());
        let refused = peers::call(shared, address, &probe, 0)
            .await
            .is_err_and(|error| {
                matches!(
                    error.downcast_ref(),
                    Some(CallError::NotSent { refused: true, .. })
                )
            });
        if !refused {
            return false;
        }
        sleep(Duration::from_millis(PROBE_PAUSE_MS)).await;
    }
    true
}

/// Removes an ownership by ending its lease, so that its owner cannot renew it any more. Another
/// ownership has another lease.
async fn remove_owner(shared: &Shared, view: &OwnershipView) -> Result<()> {
    if view.key_lease > 0 {
        shared.store.revoke_lease(view.key_lease).await?;
        return Ok(());
    }
    let txn = Txn {
        expected: vec![(OWNER_KEY.to_owned(), view.key_revision)],
        removes: vec![OWNER_KEY.to_owned()],
        ..Txn::default()
    };
    shared.store.commit(&txn).await?;
    Ok(())
}

/// An ownership that this gate has.
struct Ownership {
    record: OwnerRecord,
    /// The revision of the owner key.
    revision: u64,
    /// The lease of the owner key.
    lease: u64,
    /// When the call that granted it was sent.
    sent: Millis,
}

/// Tries to become the owner; returns `None` if another gate came first.
async fn claim_ownership(shared: &Shared, process: u64) -> Result<Option<Ownership>> {
    let (item, restored) = tokio::try_join!(shared.store.get(EPOCH_KEY), read_restored(shared))?;
    let (last, epoch_revision): (u64, u64) = match &item {
        Some(item) => (decode(EPOCH_KEY, &item.value)?, item.revision),
        None => (0, 0),
    };
    let sent = shared.now();
    let lease = shared
        .store
        .grant_lease(LEASE_TTL_MS)
        .await
        .wrap_err("taking a lease for the ownership")?;
    let record = OwnerRecord {
        epoch: last + 1,
        gate: shared.settings.gate.clone(),
        address: shared.settings.peer.to_string(),
        process,
        lost: restored.map_or(0, |restored| {
            u32::try_from(last.saturating_sub(restored)).unwrap_or(u32::MAX)
        }),
    };
    let mut txn = Txn {
        expected: vec![
            (OWNER_KEY.to_owned(), 0),
            (EPOCH_KEY.to_owned(), epoch_revision),
        ],
        puts: vec![
            (OWNER_KEY.to_owned(), encode(&record), lease),
            (EPOCH_KEY.to_owned(), encode(&record.epoch), 0),
        ],
        removes: Vec::new(),
    };
    if restored.is_none() {
        // Lost takeovers count from now on.
        txn.puts.push((RESTORED_KEY.to_owned(), encode(&last), 0));
    }
    match shared.store.commit(&txn).await {
        Ok(TxnOutcome::Done(revision)) => Ok(Some(Ownership {
            record,
            revision,
            lease,
            sent,
        })),
        Ok(TxnOutcome::Conflict(_) | TxnOutcome::LeaseEnded) => Ok(None),
        // The next read shows whether the write took effect; the lease ends unless it is renewed.
        Err(error) => bail!("taking over the ownership: {error}"),
    }
}

/// Tries to become the owner and runs until the ownership is lost; returns whether this gate was
/// the owner. `earlier` is the owner before, if this gate knew it.
async fn take_over(
    shared: &Arc<Shared>,
    advice_client: &Arc<AdviceClient>,
    process: u64,
    earlier: Option<&OwnerRecord>,
    release: &Notify,
) -> Result<bool> {
    let Some(ownership) = claim_ownership(shared, process).await? else {
        return Ok(false);
    };
    let (epoch, lease) = (ownership.record.epoch, ownership.lease);
    shared.record_owner(&ownership.record);
    shared.owner.send_replace(Some(ownership.record.clone()));
    let task_lease = Millis(shared.settings.bounds.task_lease_ms);
    let permits = Permits::new(task_lease, ownership.sent);
    info!(
        epoch,
        revision = ownership.revision,
        earlier_epoch = epoch - 1,
        earlier = earlier.map(|owner| owner.gate.as_str()),
        silent_runs_ms = permits.tenure.inherited_lease().0,
        "ownership: this gate is the owner now."
    );
    let progress = Arc::new(RestoreProgress::default());
    let (owner, events) = Owner::new(
        Arc::clone(shared),
        Arc::clone(advice_client),
        epoch,
        ownership.revision,
        &permits,
        Arc::clone(&progress),
    );
    shared.set_local_owner(Some(owner.handle()));
    let (result, cause) = tokio::select! {
        result = owner.run(events) => (result, "the store could not be read"),
        () = renew(shared, &ownership, &permits) => (Ok(()), "the lease has ended"),
        () = release.notified() => (Ok(()), "the gate stops"),
    };
    permits.orders_allowed.store(false, Ordering::Relaxed);
    shared.set_local_owner(None);
    shared.owner.send_replace(None);
    if !progress.is_confirmed() {
        let error = result.as_ref().err().map(|error| format!("{error:#}"));
        let cause = error.as_deref().unwrap_or(cause);
        report_lost(shared, &ownership, &progress, cause);
    }
    info!(
        epoch,
        unrenewed_ms = permits.unrenewed(shared.now()).0,
        last_grant_ms = permits.grant_left(shared.now()).0,
        "ownership: this gate is no longer the owner."
    );
    if let Err(error) = shared.store.revoke_lease(lease).await {
        warn!(%error, "ownership: ending the lease failed; it ends by itself.");
    }
    result.map(|()| true)
}

/// Logs and counts a takeover that was lost before the store had confirmed the restore.
fn report_lost(shared: &Shared, ownership: &Ownership, progress: &RestoreProgress, cause: &str) {
    let step = progress.current();
    shared.metrics.count("takeovers", &step.to_string());
    warn!(
        epoch = ownership.record.epoch,
        %step,
        cause,
        in_a_row = ownership.record.lost.saturating_add(1),
        owned_ms = shared.now().since(ownership.sent).0,
        steps = %progress,
        "ownership: lost before the state was restored."
    );
}

/// Renews the lease until it has ended or the store has not confirmed it for too long.
async fn renew(shared: &Shared, ownership: &Ownership, permits: &Permits) {
    let (lease, epoch) = (ownership.lease, ownership.record.epoch);
    let mut last_confirmed = ownership.sent;
    let mut is_confirmed = true;
    loop {
        sleep(Duration::from_millis(RENEWAL_INTERVAL_MS)).await;
        let sent = shared.now();
        match shared.store.renew_lease(lease).await {
            Ok(true) => {
                last_confirmed = sent;
                let last_grant = permits.tenure.last_grant(sent);
                permits.last_grant.store(last_grant.0, Ordering::Relaxed);
                if !std::mem::replace(&mut is_confirmed, true) {
                    info!(epoch, "ownership: the lease is renewed again.");
                }
            }
            Ok(false) => {
                info!(
                    lease,
                    "ownership: the lease has ended; this gate stops being the owner."
                );
                return;
            }
            Err(error) => {
                warn!(%error, lease, "ownership: renewing the lease failed; trying again.");
                if std::mem::replace(&mut is_confirmed, false) {
                    let now = shared.now();
                    info!(
                        epoch,
                        unrenewed_ms = permits.unrenewed(now).0,
                        last_grant_ms = permits.grant_left(now).0,
                        "ownership: the lease is not renewed; task leases end by the last grant."
                    );
                }
            }
        }
        let now = shared.now();
        let metrics = &shared.metrics;
        metrics.set_gauge("unrenewed_ms", permits.unrenewed(now).0);
        metrics.set_gauge("last_grant_ms", permits.grant_left(now).0);
        let silent = shared.now().since(last_confirmed).0;
        permits
            .lease_current
            .store(silent < LEASE_TTL_MS, Ordering::Relaxed);
        let were_allowed = permits.orders_allowed.swap(
            silent < LEASE_TTL_MS + STORE_OUTAGE_GRACE_MS,
            Ordering::Relaxed,
        );
        if were_allowed && silent >= LEASE_TTL_MS + STORE_OUTAGE_GRACE_MS {
            warn!(
                silent_ms = silent,
                "ownership: no renewal for too long; this gate stops being the owner."
            );
            return;
        }
    }
}
