//! The view of the cluster: its gates, the owner of each unit, and calls between gates.

mod solo;

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;
use futures_util::future::BoxFuture;
use tokio::sync::watch;
use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::{Epoch, GateId, Revision, Unit, ZoneId};
use wigeongate_core::time::Millis;

pub use self::solo::SoloCluster;
use crate::message::{Call, Digest, Reply};
use crate::store::Condition;

/// The status of a gate, as observed by this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum MemberStatus {
    /// Answers this gate.
    #[display("present")]
    Present,
    /// Answers this gate and reports that it is about to stop.
    #[display("leaving")]
    Leaving,
    /// Answers this gate but gets no answers from the store.
    #[display("without store")]
    WithoutStore,
    /// Renews its record in the store but does not answer this gate.
    #[display("cut off")]
    CutOff,
    /// Neither answers this gate nor renews its record.
    #[display("silent")]
    Silent,
}

/// A member of the cluster; this gate is one too.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The name of the gate.
    pub gate: GateId,
    /// A random number, drawn when the process started or after the gate was evicted.
    pub incarnation: u64,
    /// The availability zone of the gate.
    pub zone: ZoneId,
    /// The address at which the gate listens for other gates.
    pub peer: SocketAddr,
    /// The status of the gate.
    pub status: MemberStatus,
    /// The revision of the configuration in force at the gate.
    pub revision: Revision,
}

/// The owner of a unit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnitOwner {
    /// The gate that owns the unit.
    pub gate: GateId,
    /// The epoch of the ownership.
    pub epoch: Epoch,
}

/// A unit that this gate owns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnedUnit {
    /// The epoch of the ownership.
    pub epoch: Epoch,
    /// The time after the takeover, in milliseconds, in which the previous owner may still have
    /// renewed leases on workers that this gate cannot reach; zero after an orderly handover.
    pub takeover_grace: Millis,
}

/// The members of the cluster and the owners of the units.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct View {
    /// The gates, sorted by name.
    pub members: Vec<Member>,
    /// The owner of each unit that has one.
    pub owners: HashMap<Unit, UnitOwner>,
    /// The units that this gate owns.
    pub owned: HashMap<Unit, OwnedUnit>,
}

/// The reason why a call to another gate brought no reply.
#[derive(Debug, Clone, PartialEq, Eq, Display, derive_more::Error)]
pub enum PeerError {
    /// The call was not carried out and will not be, so a retry is safe.
    #[display("gate {peer}: {step} was not carried out: {reason}")]
    NotDone {
        /// The step that failed.
        step: &'static str,
        /// The gate that was called.
        peer: GateId,
        /// The cause.
        reason: String,
    },
    /// The call may have been carried out.
    #[display("gate {peer}: {step} has an unknown outcome: {reason}")]
    Unknown {
        /// The step that failed.
        step: &'static str,
        /// The gate that was called.
        peer: GateId,
        /// The cause.
        reason: String,
    },
}

/// The cluster as seen by the parts of a gate.
pub trait Cluster: Send + Sync + 'static {
    /// Returns the members of the cluster and the owners of the units.
    fn view(&self) -> Arc<View>;

    /// Returns a receiver of each change of the view.
    fn subscribe(&self) -> watch::Receiver<Arc<View>>;

    /// Returns the epoch under which this gate may act on a unit now; `None` if it may not.
    ///
    /// Call this after a decision, right before sending the order that follows from it.
    fn may_act(&self, unit: &Unit) -> Option<Epoch>;

    /// Returns a condition that holds in the store as long as this gate owns a unit under the
    /// current epoch. A write with this condition fails once the ownership has ended.
    ///
    /// `None` means that this gate may not act on the unit now, or that nothing needs guarding.
    fn guard(&self, unit: &Unit) -> Option<Condition> {
        let _ = unit;
        None
    }

    /// Confirms that the parts that act on a unit have stopped, so that it can be handed over.
    fn confirm_stopped(&self, unit: &Unit);

    /// Requests a new epoch for a unit that this gate owns.
    fn renew_epoch(&self, unit: &Unit);

    /// Publishes the digest of this gate, which replaces the one published before.
    fn publish(&self, digest: Digest);

    /// Returns the last published digest of each gate, including this one.
    fn digests(&self) -> Arc<HashMap<GateId, Arc<Digest>>>;

    /// Calls another gate and waits up to `within` for its reply.
    ///
    /// The error says whether the call may have been carried out.
    fn call<'a>(
        &'a self,
        gate: &'a GateId,
        call: Call,
        within: Millis,
    ) -> BoxFuture<'a, Result<Reply, PeerError>>;
}

/// Handles calls from other gates.
pub trait Serve: Send + Sync + 'static {
    /// Carries out a call from the gate `from` and returns the reply.
    fn serve(&self, from: GateId, call: Call) -> BoxFuture<'_, Reply>;
}
