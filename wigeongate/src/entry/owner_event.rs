//! The events that the owner handles, and the handle through which other parts of the gate send them.

use eyre::Result;
use tokio::sync::{mpsc, oneshot};
use wigeongate_core::ids::HostId;
use wigeongate_core::time::Millis;
use wigeongate_core::workflow::{
    Advice, HostEntry, HostReport, PollFailure, StartResult, StoredJob, TaskName, WorkflowId,
};

use super::advice::AdviceCall;
use super::archive::EndedJob;
use super::checkpoint::CheckpointEvent;
use super::peers::{PeerAnswer, PeerCall};
use super::stored_job::FoundJob;

/// An event that the owner handles.
#[derive(Debug)]
pub enum OwnerEvent {
    /// A call of a gate, with the channel for the answer.
    Call(PeerCall, oneshot::Sender<PeerAnswer>),
    /// The configuration changed.
    ConfigurationChanged,
    /// The complete list of registered executors.
    HostsListed(Vec<HostEntry>),
    /// The list of executors is current as of this time, at which its read was sent.
    RegistryRead(Millis),
    /// An executor answered a poll.
    HostReported(HostId, HostReport),
    /// An executor gave no report to a poll.
    PollFailed(HostId, PollFailure),
    /// A poll is being sent that lets runs on the host continue until this time.
    PollSent(HostId, Millis),
    /// The result of an order to start a run.
    StartAnswered(HostId, (TaskName, u32), StartResult),
    /// An executor accepted an order to stop a run; when it was sent and answered.
    StopAnswered(HostId, (TaskName, u32), Millis, Millis),
    /// An advice call ended; `None` without an answer.
    AdviceAnswered(AdviceCall, Option<Advice>),
    /// Accepted jobs were found in the store, complete up to a revision. The answer tells whether
    /// they were added; if not, they have to be sent again.
    JobsFound(Vec<StoredJob>, u64, oneshot::Sender<bool>),
    /// A deferred job was read from the store, or could not be read.
    DeferredRead(WorkflowId, Result<Option<FoundJob>>),
    /// The transaction that archives jobs has ended; whether the store has confirmed it.
    ArchiveAnswered(bool),
    /// The next transaction that archives jobs may begin.
    ArchiveDue,
    /// Jobs that earlier owners have archived were found in the store.
    EndedFound(Vec<EndedJob>),
    /// A transaction of the checkpoint has ended.
    Checkpoint(CheckpointEvent),
    /// The log is written up to the record with this number.
    LogWritten(u64),
    /// Writes of the log fail repeatedly, so another gate should take over.
    TakeoverWanted,
    /// Another gate has become the owner.
    Fenced,
}

/// A handle to the owner in this process.
#[derive(Debug, Clone)]
pub struct OwnerHandle(mpsc::UnboundedSender<OwnerEvent>);

impl OwnerHandle {
    /// Creates the handle to the owner that receives these events.
    pub const fn new(events: mpsc::UnboundedSender<OwnerEvent>) -> Self {
        Self(events)
    }

    /// Sends a call and waits for the answer, which is `NotOwner` once the owner has ended.
    pub async fn call(&self, call: PeerCall) -> PeerAnswer {
        let (answer, answered) = oneshot::channel();
        if self.0.send(OwnerEvent::Call(call, answer)).is_err() {
            return PeerAnswer::NotOwner;
        }
        answered.await.unwrap_or(PeerAnswer::NotOwner)
    }

    /// Notifies the owner that the configuration changed.
    pub fn configure(&self) {
        // Fails only after the owner's loop has ended.
        let _ = self.0.send(OwnerEvent::ConfigurationChanged);
    }
}
