//! Schedules jobs that consist of several steps on the fleet of a deployment.
//!
//! A [`WorkflowScheduler`] holds the state of the fleet and its jobs. It is deterministic: each
//! event comes with its time, and the same sequence of events returns the same actions.

mod accounts;
mod advice;
mod advice_gates;
mod allowance;
mod archive;
mod begun;
mod crash;
mod crash_proofs;
mod deferred_jobs;
mod ended_jobs;
mod evidence;
mod freshness;
mod gang_advice;
mod host;
mod host_choice;
mod host_lease;
mod host_loss;
mod intake;
mod isolation;
mod job;
mod job_budget;
mod job_counts;
mod job_ends;
mod job_selection;
mod kept_records;
mod load;
mod log_checkpoint;
mod message;
mod occurrences;
mod open_occurrences;
mod order_queue;
mod order_results;
mod orphan_runs;
mod placement_pass;
mod planned_starts;
mod policies;
mod reports;
mod restore;
mod room_claims;
mod rules;
mod run_forecasts;
mod scheduler;
mod spec;
mod speed_choice;
mod takeover;
mod tasks;
mod team_loads;
mod tenure;
mod urgent_work;
mod waits;

pub use accounts::{Accounts, HostAccount, StepAccount};
pub use advice_gates::{AdviceGates, AssignedGate, greeting_delay};
pub use archive::{Archive, JobEnd, Move, Transfer};
pub use crash::Crash;
pub use crash_proofs::{CrashProof, Fate, HostBoot};
pub use deferred_jobs::{DeferredJob, DeferredJobs, DeferredRank};
pub use ended_jobs::EndedJobs;
pub use evidence::Evidence;
pub use freshness::StoreContact;
pub use intake::{Intake, StoredJob, Submission};
pub use job_budget::{JobBudget, Reservation, RoomRequest, RoomShare, job_bytes};
pub use job_selection::JobSelection;
pub use load::{
    FreeHosts, HORIZONS_MS, Lane, QueueLoad, ServiceLoad, WHOLE, WorkOrigin, capacity_share,
    job_work, step_work,
};
pub use log_checkpoint::{
    CheckpointPart, CheckpointSettings, CheckpointWrite, JobFate, LogCheckpoint, OwnerView,
};
pub use message::{
    Action, Advice, Ended, HostReport, PollFailure, Proof, Refusal, RunOutcome, Running,
    StartOrder, StartResult, StopOrder,
};
pub use order_queue::{NextOrder, OrderQueue, WaitingStart};
pub use policies::Policies;
pub use restore::{CrashRecord, Record, RestoreRest};
pub use rules::{AdviceCost, QueueRules, Rules, TeamRules};
pub use run_forecasts::RunSample;
pub use scheduler::{WorkflowScheduler, WorkflowSettings};
pub use spec::{Repeat, StepId, StepSpec, TaskName, Workflow, WorkflowId, WorkflowSpec};
pub use speed_choice::Straggler;
pub use takeover::takeover_wait;
pub use tenure::Tenure;
pub use waits::{HostCounts, Wait};

pub use self::gang_advice::{Candidate, GangCall, GangDemand, plan_gang_call};
pub use self::host::{HostContact, HostEntry};
pub use self::host_lease::{HostLease, Poll, StartLease, departing_lease};
pub use self::isolation::Caution;
pub use self::job::{WORTHLESS_FACTOR, WorkflowStatus};
