//! Dispatches calls about any job to the gate that owns the job's pool.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use futures_util::future::join_all;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;
use tracing::warn;
use wigeongate_core::collections::{HashMap, HashSet};
use wigeongate_core::ids::{GateId, JobId, PoolId, TeamId, Unit};
use wigeongate_core::job::{Job, JobSpec, JobState, JobStatus, Kind};
use wigeongate_core::placement_router::{self as router, PlacementRequest, PoolView};
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use xtra::Address;

use super::record::{RecordReader, SubmissionToken};
use super::{hints_at, issue_id};
use crate::clock::wall_ms;
use crate::cluster::{Cluster, PeerError};
use crate::live::Configurations;
use crate::message::jobs::{JobCall, JobReply, PoolDigest};
use crate::message::{Call, Reply};
use crate::owner::{
    Cancel, List, LoadMoved, PoolOwner, PoolOwners, Status, Submit, SubmitError, Wait, Waited,
};
use crate::slices::Slices;

/// The timeout of a call to an owner, in addition to the wait that the caller requests.
pub(super) const CALL_TIMEOUT: Millis = Millis::from_secs(5);

/// The time allowed for the end of a cancelled job to be recorded; after that the call reports
/// an unknown outcome.
const RECORD_TIMEOUT: Duration = Duration::from_secs(3);

/// The time for which a call is retried while its pool has no owner.
const OWNER_WAIT: Duration = Duration::from_secs(3);

/// The delay before a call that was not carried out is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The maximum number of pools that a job is offered to.
const OFFER_LIMIT: usize = 3;

/// A job as a caller submits it.
#[derive(Debug, Clone)]
pub struct Submission {
    /// The team that the caller's API key belongs to.
    pub team: TeamId,
    /// The kind of the job's queue.
    pub kind: Kind,
    /// The specification of the job.
    pub spec: JobSpec,
    /// The token by which a repeated submission is recognized, if the caller sent a key.
    pub token: Option<SubmissionToken>,
}

/// The reason why a call about a job failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, derive_more::Error)]
pub enum JobFailure {
    /// The team has no such job.
    #[display("there is no such job")]
    Missing,
    /// The queue is full.
    #[display("the queue is full")]
    Full,
    /// The idempotency key was used for a different submission.
    #[display("the idempotency key was used for another submission")]
    Mismatch,
    /// The call was not carried out and never will be, for the given reason.
    #[display("{_0}")]
    #[error(ignore)]
    NotDone(String),
    /// The call may have been carried out.
    #[display("{reason}")]
    Unknown {
        /// The job whose status tells the outcome later.
        job: JobId,
        /// The error that left the outcome open.
        reason: String,
    },
}

/// Serves calls about the jobs of every pool, by a local owner or a call to another gate.
pub struct JobDispatcher {
    gate: GateId,
    cluster: Arc<dyn Cluster>,
    pub(super) configurations: Arc<Configurations>,
    pub(super) pools: Arc<PoolOwners>,
    records: RecordReader,
    slices: Arc<Slices>,
    /// Cancelled to end every wait for the end of a job.
    stopping: CancellationToken,
}

impl JobDispatcher {
    /// Creates the dispatcher of a gate.
    pub fn new(
        gate: GateId,
        cluster: Arc<dyn Cluster>,
        configurations: Arc<Configurations>,
        pools: Arc<PoolOwners>,
        records: RecordReader,
        slices: Arc<Slices>,
    ) -> Self {
        Self {
            gate,
            cluster,
            configurations,
            pools,
            records,
            slices,
            stopping: CancellationToken::new(),
        }
    }

    /// Ends the waits for the end of a job; each caller gets the job's current status instead.
    pub fn stop_waits(&self) {
        self.stopping.cancel();
    }

    /// Submits a job to the pool that suits it best, and retries for a few seconds while no pool
    /// accepts or rejects it.
    pub async fn submit(&self, submission: Submission) -> Result<JobId, JobFailure> {
        let until = Instant::now() + OWNER_WAIT;
        loop {
            match self.submit_once(&submission).await {
                Err(JobFailure::NotDone(_)) if Instant::now() < until => sleep(RETRY_DELAY).await,
                other => return other,
            }
        }
    }

    /// Offers a job to the best pools in turn until one of them accepts or rejects it.
    async fn submit_once(&self, submission: &Submission) -> Result<JobId, JobFailure> {
        let ranked = self.rank(submission)?;
        let mut last = JobFailure::NotDone("no pool accepted the job".to_owned());
        for pool in ranked.into_iter().take(OFFER_LIMIT) {
            match self.offer(&pool, submission.clone()).await {
                Err(failure @ JobFailure::NotDone(_)) => last = failure,
                other => return other,
            }
        }
        Err(last)
    }

    async fn offer(&self, pool: &PoolId, submission: Submission) -> Result<JobId, JobFailure> {
        let Submission {
            team,
            kind,
            spec,
            token,
        } = submission;
        let job = Job {
            id: issue_id(pool),
            team,
            kind,
            spec,
            accepted: wall_ms(),
        };
        let id = job.id;
        let unknown = |reason| JobFailure::Unknown { job: id, reason };
        let call = JobCall::Submit {
            pool: pool.clone(),
            job,
            token,
        };
        match self.call_once(call, CALL_TIMEOUT).await {
            Ok(JobReply::Accepted(job)) => Ok(job),
            Ok(JobReply::Full) => Err(JobFailure::Full),
            Ok(JobReply::Mismatch) => Err(JobFailure::Mismatch),
            Ok(JobReply::NotDone(reason)) => Err(JobFailure::NotDone(reason)),
            Ok(JobReply::Unknown(reason)) => Err(unknown(reason)),
            Ok(_) => Err(unknown("the owner's reply is invalid".to_owned())),
            Err(error @ PeerError::NotDone { .. }) => Err(JobFailure::NotDone(error.to_string())),
            Err(error @ PeerError::Unknown { .. }) => Err(unknown(error.to_string())),
        }
    }

    fn rank(&self, submission: &Submission) -> Result<Vec<PoolId>, JobFailure> {
        let wanted = PlacementRequest {
            spec: &submission.spec,
            kind: submission.kind,
        };
        let views = self.views(&submission.team);
        router::rank(wanted, &views).map_err(|none| JobFailure::NotDone(none.to_string()))
    }

    /// Returns the capacity, load and team usage of each pool that has an owner. Usage comes from
    /// the gates' last digests; a pool without a digest counts as empty.
    pub fn views(&self, team: &TeamId) -> Vec<PoolView> {
        let policy = self.configurations.live().policy.clone();
        let digests = self.cluster.digests();
        let mut by_pool: HashMap<&PoolId, &PoolDigest> = HashMap::default();
        by_pool.extend(
            digests
                .values()
                .flat_map(|digest| &digest.pools)
                .map(|digest| (&digest.pool, digest)),
        );
        let view = |pool: PoolId| {
            let workers = router::worker_capacities(&policy, &pool);
            let add = |sum: Resources, one: &Resources| sum.saturating_add(one);
            let capacity = workers.iter().fold(Resources::ZERO, add);
            let digest = by_pool.get(&pool);
            let running = digest.and_then(|digest| {
                let usage = digest.teams.iter().find(|usage| usage.team == *team);
                usage.map(|usage| usage.running)
            });
            PoolView {
                workers,
                capacity,
                free: digest.map_or(capacity, |digest| digest.free),
                queued: digest.map_or(0, |digest| digest.queued),
                slice: self.slices.stored(&policy, team, &pool),
                running: running.unwrap_or_default(),
                pool,
            }
        };
        self.owned_pools().into_iter().map(view).collect()
    }

    /// Returns the pools that have an owner, in the order of their names.
    pub(super) fn owned_pools(&self) -> Vec<PoolId> {
        let view = self.cluster.view();
        let pool = |unit: &Unit| match unit {
            Unit::Pool(pool) => Some(pool.clone()),
            Unit::Lane(_) | Unit::Journal(_) => None,
        };
        let mut pools: Vec<PoolId> = view.owners.keys().filter_map(pool).collect();
        pools.sort_unstable();
        pools
    }

    /// Returns the pools that the job's identifier may have been issued for, in the order of their
    /// names.
    fn candidates(&self, job: JobId) -> Vec<PoolId> {
        let policy = self.configurations.live().policy.clone();
        let named = policy.workers.values().map(|worker| worker.pool.clone());
        let pools: HashSet<PoolId> = named.chain(self.owned_pools()).collect();
        let mut pools: Vec<PoolId> = pools
            .into_iter()
            .filter(|pool| hints_at(job, pool))
            .collect();
        pools.sort_unstable();
        pools
    }

    /// Returns the status of a team's job once the job has ended or `wait` is over.
    ///
    /// Asks the pools that the identifier hints at, then the pool that the job was moved to.
    pub async fn status(
        &self,
        team: &TeamId,
        job: JobId,
        wait: Millis,
    ) -> Result<JobStatus, JobFailure> {
        let mut failed = None;
        let unasked = |pools: &[PoolId], pool: &PoolId| !pools.contains(pool);
        let mut pools = self.candidates(job);
        let mut next = 0;
        loop {
            if next == pools.len() {
                match self.records.moved_to(job).await {
                    Ok(Some(pool)) if unasked(&pools, &pool) => pools.push(pool),
                    Ok(_) => break,
                    Err(error) => {
                        failed = Some(format!("{error:#}"));
                        break;
                    }
                }
            }
            match self.status_in(&pools[next], job, wait).await {
                Ok(Some(status)) if status.job.team == *team => return Ok(status),
                Ok(Some(_)) => return Err(JobFailure::Missing),
                Ok(None) => {}
                Err(reason) => failed = Some(reason),
            }
            next += 1;
        }
        Err(failed.map_or(JobFailure::Missing, JobFailure::NotDone))
    }

    /// Returns the status of a job in one pool, from its owner or else from the store.
    async fn status_in(
        &self,
        pool: &PoolId,
        job: JobId,
        wait: Millis,
    ) -> Result<Option<JobStatus>, String> {
        let call = JobCall::Status {
            pool: pool.clone(),
            job,
            wait,
        };
        let reason = match self.call(call, CALL_TIMEOUT + wait).await {
            Ok(JobReply::Status(status)) => return Ok(status.map(|status| *status)),
            Ok(JobReply::NotDone(reason) | JobReply::Unknown(reason)) => reason,
            Ok(_) => "the owner's reply is invalid".to_owned(),
            Err(error) => error.to_string(),
        };
        self.recorded_status(pool, job, reason).await
    }

    /// Returns the status of a job that has ended from its record, for when the owner does not
    /// answer. Fails with `reason` when the record shows no end or cannot be read.
    async fn recorded_status(
        &self,
        pool: &PoolId,
        job: JobId,
        reason: String,
    ) -> Result<Option<JobStatus>, String> {
        let versioned = self.records.find(pool, job).await;
        let record = match versioned {
            Ok(Some(versioned)) => versioned.record,
            Ok(None) | Err(_) => return Err(reason),
        };
        let Some(outcome) = record.outcome else {
            return Err(reason);
        };
        let succeeded =
            u32::try_from(record.progress.succeeded_tasks().count()).unwrap_or(u32::MAX);
        Ok(Some(JobStatus {
            job: record.job,
            state: JobState::Ended(outcome),
            queued: 0,
            running: 0,
            succeeded,
        }))
    }

    /// Cancels a team's job and returns once the cancellation is recorded.
    ///
    /// Asks the pool that the job was moved to first, then those that the identifier hints at.
    pub async fn cancel(&self, team: &TeamId, job: JobId) -> Result<(), JobFailure> {
        let mut pools = self.candidates(job);
        if let Ok(Some(pool)) = self.records.moved_to(job).await {
            pools.insert(0, pool);
        }
        let mut last = JobFailure::Missing;
        for pool in pools {
            let call = JobCall::Cancel {
                pool,
                team: team.clone(),
                job,
            };
            let unknown = |reason| JobFailure::Unknown { job, reason };
            match self.call(call, CALL_TIMEOUT).await {
                Ok(JobReply::Done) => return Ok(()),
                Ok(JobReply::Status(None)) => {}
                Ok(JobReply::NotDone(reason)) => last = JobFailure::NotDone(reason),
                Ok(JobReply::Unknown(reason)) => return Err(unknown(reason)),
                Ok(_) => return Err(unknown("the owner's reply is invalid".to_owned())),
                Err(error @ PeerError::NotDone { .. }) => {
                    last = JobFailure::NotDone(error.to_string());
                }
                Err(error @ PeerError::Unknown { .. }) => return Err(unknown(error.to_string())),
            }
        }
        Err(last)
    }

    /// Lists a team's jobs in the order of their identifiers; fails unless every owner answers.
    pub async fn list(&self, team: &TeamId) -> Result<Vec<JobStatus>, JobFailure> {
        let list = |pool| {
            let team = team.clone();
            self.call(JobCall::List { pool, team }, CALL_TIMEOUT)
        };
        let replies = join_all(self.owned_pools().into_iter().map(list)).await;
        let mut jobs = Vec::new();
        for reply in replies {
            match reply {
                Ok(JobReply::Jobs(more)) => jobs.extend(more),
                Ok(JobReply::NotDone(reason) | JobReply::Unknown(reason)) => {
                    return Err(JobFailure::NotDone(reason));
                }
                Ok(_) => {
                    let reason = "the owner's reply is invalid".to_owned();
                    return Err(JobFailure::NotDone(reason));
                }
                Err(error) => return Err(JobFailure::NotDone(error.to_string())),
            }
        }
        jobs.sort_unstable_by_key(|status| status.job.id);
        Ok(jobs)
    }

    /// Calls the owner of a pool and retries for up to `OWNER_WAIT` while the call is not carried
    /// out, for instance because the pool is being taken over.
    pub(super) async fn call(&self, call: JobCall, within: Millis) -> Result<JobReply, PeerError> {
        let until = Instant::now() + OWNER_WAIT;
        loop {
            let reply = self.call_once(call.clone(), within).await;
            let retryable = matches!(
                reply,
                Ok(JobReply::NotDone(_)) | Err(PeerError::NotDone { .. })
            );
            if !retryable || Instant::now() >= until {
                return reply;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Calls the owner of a pool once, in this process or on another gate.
    async fn call_once(&self, call: JobCall, within: Millis) -> Result<JobReply, PeerError> {
        let unit = Unit::Pool(call.pool().clone());
        if self.pools.get(call.pool()).is_some() {
            return Ok(self.serve(call).await);
        }
        let owner = self.cluster.view().owners.get(&unit).cloned();
        let owner = owner.filter(|owner| owner.gate != self.gate);
        let Some(owner) = owner else {
            return Ok(JobReply::NotDone(format!("no other gate owns {unit}")));
        };
        let reply = self.cluster.call(&owner.gate, Call::Job(call), within);
        let reply = reply.await?;
        if let Reply::Job(reply) = reply {
            return Ok(reply);
        }
        if let Reply::NotDone(reason) = reply {
            return Ok(JobReply::NotDone(reason));
        }
        let reason = "the gate's reply is invalid".to_owned();
        Ok(JobReply::Unknown(reason))
    }

    /// Carries out a call to a pool that this gate owns.
    pub async fn serve(&self, call: JobCall) -> JobReply {
        let Some(owner) = self.pools.get(call.pool()) else {
            return JobReply::NotDone(format!("this gate does not own pool {}", call.pool()));
        };
        let stopped = "this gate is giving up the pool".to_owned();
        let served = match call {
            JobCall::Submit { job, token, .. } => match owner.send(Submit { job, token }).await {
                Ok(result) => Ok(submit_reply(result.await)),
                Err(error) => Err(error),
            },
            JobCall::Moved { job, .. } => owner.send(LoadMoved(job)).await.map(|()| JobReply::Done),
            JobCall::Cancel { team, job, .. } => match owner.send(Cancel { team, job }).await {
                Ok(Ok(recorded)) => Ok(match timeout(RECORD_TIMEOUT, recorded).await {
                    Ok(Ok(_)) => JobReply::Done,
                    _ => JobReply::Unknown("the cancellation is not yet recorded".to_owned()),
                }),
                Ok(Err(_)) => Ok(JobReply::Status(None)),
                Err(error) => Err(error),
            },
            JobCall::Status { job, wait, .. } => self
                .wait_for_end(&owner, job, wait)
                .await
                .map(JobReply::Status),
            JobCall::List { team, .. } => owner.send(List(team)).await.map(JobReply::Jobs),
        };
        served.unwrap_or_else(|error| {
            warn!("jobs: an owner in this process does not answer: {error}.");
            JobReply::NotDone(stopped)
        })
    }

    /// Returns the status of a job once it has ended, `wait` is over or waits are stopped.
    async fn wait_for_end(
        &self,
        owner: &Address<PoolOwner>,
        job: JobId,
        wait: Millis,
    ) -> Result<Option<Box<JobStatus>>, xtra::Error> {
        if wait > Millis::ZERO {
            match owner.send(Wait(job)).await? {
                Waited::Missing => return Ok(None),
                Waited::Ended(status) => return Ok(Some(status)),
                Waited::Pending(ended) => {
                    let ended = timeout(wait.into(), ended);
                    let ended = self.stopping.run_until_cancelled(ended).await;
                    if let Some(Ok(Ok(status))) = ended {
                        return Ok(Some(Box::new(status)));
                    }
                }
            }
        }
        Ok(owner.send(Status(job)).await?.map(Box::new))
    }
}

fn submit_reply(
    result: Result<Result<JobId, SubmitError>, tokio::sync::oneshot::error::RecvError>,
) -> JobReply {
    match result {
        Ok(Ok(job)) => JobReply::Accepted(job),
        Ok(Err(SubmitError::Full)) => JobReply::Full,
        Ok(Err(SubmitError::Mismatch)) => JobReply::Mismatch,
        Ok(Err(SubmitError::NotDone(reason))) => JobReply::NotDone(reason),
        Ok(Err(SubmitError::Unknown(reason))) => JobReply::Unknown(reason),
        Err(_) => {
            JobReply::Unknown("this gate gave up the pool before the result was known".to_owned())
        }
    }
}
