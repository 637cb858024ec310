//! The way of any gate to any job: calls go to the owner of the job's pool.

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
use wigeongate_core::placement_router::{self as router, PoolView, Wanted};
use wigeongate_core::resources::Resources;
use wigeongate_core::time::Millis;
use xtra::Address;

use super::record::{RecordReader, SubmissionToken};
use super::{hints_at, issue_id};
use crate::clock::wall;
use crate::cluster::{Cluster, PeerError};
use crate::live::Configurations;
use crate::message::jobs::{JobCall, JobReply, PoolDigest};
use crate::message::{Call, Reply};
use crate::owner::{
    Cancel, List, LoadMoved, PoolOwner, PoolOwners, Status, Submit, SubmitError, Wait, Waited,
};
use crate::slices::Slices;

/// How long an owner may take to carry out a call, beyond a wait that was asked for.
pub(super) const CALL_TIMEOUT: Millis = Millis::from_secs(5);

/// How long a cancelled job's end may take to be recorded before that is said.
const RECORD_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a call waits for a pool that has no owner now.
const OWNER_WAIT: Duration = Duration::from_secs(3);

/// The delay before a call that was not carried out is made again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// To how many pools a job is offered at most.
const OFFER_LIMIT: usize = 3;

/// What a caller submits.
#[derive(Debug, Clone)]
pub struct Submission {
    /// The team whose key came with it.
    pub team: TeamId,
    /// The kind of the queue.
    pub kind: Kind,
    /// What is asked for.
    pub spec: JobSpec,
    /// The proof that it is the same as an earlier one.
    pub token: Option<SubmissionToken>,
}

/// Why a call about a job failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, derive_more::Error)]
pub enum JobFailure {
    /// There is no such job.
    #[display("there is no such job")]
    Missing,
    /// The queue is full.
    #[display("the queue is full")]
    Full,
    /// The key was used for another submission.
    #[display("the idempotency key was used for another submission")]
    Mismatch,
    /// Nothing was done and nothing will be.
    #[display("{_0}")]
    #[error(ignore)]
    NotDone(String),
    /// It may have been done.
    #[display("{reason}")]
    Unknown {
        /// The job to ask about later.
        job: JobId,
        /// What was seen.
        reason: String,
    },
}

/// Answers for jobs of every pool.
pub struct JobDispatcher {
    gate: GateId,
    cluster: Arc<dyn Cluster>,
    pub(super) configurations: Arc<Configurations>,
    pub(super) pools: Arc<PoolOwners>,
    records: RecordReader,
    slices: Arc<Slices>,
    /// Ends every wait for the end of a job.
    stopping: CancellationToken,
}

impl JobDispatcher {
    /// Makes the desk of a gate.
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

    /// Lets those who wait for the end of a job have its present standing instead.
    pub fn stop_waits(&self) {
        self.stopping.cancel();
    }

    /// Submits a job to the pool that suits it best; waits a little for a pool without owner.
    pub async fn submit(&self, submission: Submission) -> Result<JobId, JobFailure> {
        let until = Instant::now() + OWNER_WAIT;
        loop {
            match self.submit_once(&submission).await {
                Err(JobFailure::NotDone(_)) if Instant::now() < until => sleep(RETRY_DELAY).await,
                other => return other,
            }
        }
    }

    async fn submit_once(&self, submission: &Submission) -> Result<JobId, JobFailure> {
        let ranked = self.rank(submission)?;
        let mut last = JobFailure::NotDone("no pool has taken the job".to_owned());
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
            accepted: wall(),
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
            Ok(_) => Err(unknown("the owner gave another reply".to_owned())),
            Err(error @ PeerError::NotDone { .. }) => Err(JobFailure::NotDone(error.to_string())),
            Err(error @ PeerError::Unknown { .. }) => Err(unknown(error.to_string())),
        }
    }

    fn rank(&self, submission: &Submission) -> Result<Vec<PoolId>, JobFailure> {
        let wanted = Wanted {
            spec: &submission.spec,
            kind: submission.kind,
        };
        let views = self.views(&submission.team);
        router::rank(wanted, &views).map_err(|none| JobFailure::NotDone(none.to_string()))
    }

    /// Returns how each owned pool stands for a team.
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
            let workers = router::workers(&policy, &pool);
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

    /// Returns the pools that have an owner, in order.
    pub(super) fn owned_pools(&self) -> Vec<PoolId> {
        let view = self.cluster.view();
        let pool = |unit: &Unit| match unit {
            Unit::Pool(pool) => Some(pool.clone()),
            Unit::Lane(_) | Unit::Journal(_) => None,
        };
        let mut pools: Vec<PoolId> = view.holders.keys().filter_map(pool).collect();
        pools.sort_unstable();
        pools
    }

    /// Returns the pools that may hold a job's record, the likeliest first.
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

    /// Returns where a team's job stands, once it has ended or the wait is over.
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
            Ok(_) => "the owner gave another reply".to_owned(),
            Err(error) => error.to_string(),
        };
        self.recorded_status(pool, job, reason).await
    }

    /// Reads the end of a job from the store when its owner does not answer.
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
        let succeeded = u32::try_from(record.progress.done().count()).unwrap_or(u32::MAX);
        Ok(Some(JobStatus {
            job: record.job,
            state: JobState::Ended(outcome),
            queued: 0,
            running: 0,
            succeeded,
        }))
    }

    /// Cancels a team's job; returns once that is recorded.
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
                Ok(_) => return Err(unknown("the owner gave another reply".to_owned())),
                Err(error @ PeerError::NotDone { .. }) => {
                    last = JobFailure::NotDone(error.to_string());
                }
                Err(error @ PeerError::Unknown { .. }) => return Err(unknown(error.to_string())),
            }
        }
        Err(last)
    }

    /// Lists a team's jobs; fails unless every owner answers.
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
                    let reason = "the owner gave another reply".to_owned();
                    return Err(JobFailure::NotDone(reason));
                }
                Err(error) => return Err(JobFailure::NotDone(error.to_string())),
            }
        }
        jobs.sort_unstable_by_key(|status| status.job.id);
        Ok(jobs)
    }

    /// Calls the owner of a pool; waits a little for one that is being taken over.
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

    /// Calls the owner of a pool, wherever it runs.
    async fn call_once(&self, call: JobCall, within: Millis) -> Result<JobReply, PeerError> {
        let unit = Unit::Pool(call.pool().clone());
        if self.pools.get(call.pool()).is_some() {
            return Ok(self.serve(call).await);
        }
        let holder = self.cluster.view().holders.get(&unit).cloned();
        let holder = holder.filter(|holder| holder.gate != self.gate);
        let Some(holder) = holder else {
            return Ok(JobReply::NotDone(format!("{unit} has no owner now")));
        };
        let reply = self.cluster.call(&holder.gate, Call::Job(call), within);
        let reply = reply.await?;
        if let Reply::Job(reply) = reply {
            return Ok(reply);
        }
        if let Reply::NotDone(reason) = reply {
            return Ok(JobReply::NotDone(reason));
        }
        let reason = "the gate gave another reply".to_owned();
        Ok(JobReply::Unknown(reason))
    }

    /// Carries out a call to a pool that is owned here.
    pub async fn serve(&self, call: JobCall) -> JobReply {
        let Some(owner) = self.pools.get(call.pool()) else {
            return JobReply::NotDone(format!("pool {} is not owned here", call.pool()));
        };
        let stopped = "the pool is being let go".to_owned();
        let served = match call {
            JobCall::Submit { job, token, .. } => match owner.send(Submit { job, token }).await {
                Ok(result) => Ok(submit_reply(result.await)),
                Err(error) => Err(error),
            },
            JobCall::Moved { job, .. } => owner.send(LoadMoved(job)).await.map(|()| JobReply::Done),
            JobCall::Cancel { team, job, .. } => match owner.send(Cancel { team, job }).await {
                Ok(Ok(recorded)) => Ok(match timeout(RECORD_TIMEOUT, recorded).await {
                    Ok(Ok(_)) => JobReply::Done,
                    _ => JobReply::Unknown("the cancellation is not recorded yet".to_owned()),
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
            warn!("jobs: an owner does not answer: {error}.");
            JobReply::NotDone(stopped)
        })
    }

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
        Err(_) => JobReply::Unknown("the pool was let go".to_owned()),
    }
}
