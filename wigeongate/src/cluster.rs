//! The other gates, and what each gate owns.

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

/// How a gate stands, as far as this one can tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum MemberStatus {
    /// It answers.
    #[display("present")]
    Present,
    /// It answers and says that it is about to stop.
    #[display("leaving")]
    Leaving,
    /// It answers but cannot reach the store.
    #[display("without store")]
    WithoutStore,
    /// It renews its record in the store but does not answer this gate.
    #[display("cut off")]
    CutOff,
    /// It does neither.
    #[display("silent")]
    Silent,
}

/// A gate, this one included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub gate: GateId,
    /// Drawn at random when its process started.
    pub incarnation: u64,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where it listens for the other gates.
    pub peer: SocketAddr,
    /// How it stands.
    pub status: MemberStatus,
    /// The revision of the configuration that it has in force.
    pub revision: Revision,
}

/// Who owns a unit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnitOwner {
    /// The owner.
    pub gate: GateId,
    /// The epoch of its ownership.
    pub epoch: Epoch,
}

/// A unit that this gate owns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnedUnit {
    /// The epoch of the ownership.
    pub epoch: Epoch,
    /// How long after the takeover the previous owner may still have renewed leases on workers
    /// that this gate cannot reach; zero after an orderly handover.
    pub takeover_grace: Millis,
}

/// Who is there and who owns what.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct View {
    /// The gates in order of their names.
    pub members: Vec<Member>,
    /// The owner of each unit that has one.
    pub owners: HashMap<Unit, UnitOwner>,
    /// The units that this gate owns.
    pub owned: HashMap<Unit, OwnedUnit>,
}

/// Why a call of another gate brought no reply.
#[derive(Debug, Clone, PartialEq, Eq, Display, derive_more::Error)]
pub enum PeerError {
    /// The call was not carried out and will not be.
    #[display("gate {peer}: {step} was not carried out: {reason}")]
    NotDone {
        /// The step.
        step: &'static str,
        /// The gate.
        peer: GateId,
        /// What was seen.
        reason: String,
    },
    /// The call may have been carried out.
    #[display("gate {peer}: {step} has an unknown outcome: {reason}")]
    Unknown {
        /// The step.
        step: &'static str,
        /// The gate.
        peer: GateId,
        /// What was seen.
        reason: String,
    },
}

/// The other gates, and what each gate owns.
pub trait Cluster: Send + Sync + 'static {
    /// Returns who is there and who owns what.
    fn view(&self) -> Arc<View>;

    /// Returns a receiver that learns of each change of the view.
    fn subscribe(&self) -> watch::Receiver<Arc<View>>;

    /// Returns the epoch under which this gate may act on a unit at this moment.
    ///
    /// It is asked after a decision and right before the order that follows from it is sent.
    fn may_act(&self, unit: &Unit) -> Option<Epoch>;

    /// Returns the condition that holds in the store while this gate owns a unit under its
    /// present epoch; a write that carries it cannot outlive the ownership.
    fn guard(&self, unit: &Unit) -> Option<Condition> {
        let _ = unit;
        None
    }

    /// Says that the parts that act on a unit have stopped, so that it can be handed over.
    fn confirm_stopped(&self, unit: &Unit);

    /// Asks for a new epoch of a unit that this gate owns.
    fn renew_epoch(&self, unit: &Unit);

    /// Publishes what this gate's parts have to tell the others.
    fn publish(&self, digest: Digest);

    /// Returns what each gate, this one included, published last.
    fn digests(&self) -> Arc<HashMap<GateId, Arc<Digest>>>;

    /// Calls another gate and waits for its reply.
    fn call<'a>(
        &'a self,
        gate: &'a GateId,
        call: Call,
        within: Millis,
    ) -> BoxFuture<'a, Result<Reply, PeerError>>;
}

/// Answers the calls of other gates.
pub trait Serve: Send + Sync + 'static {
    /// Carries out a call.
    fn serve(&self, from: GateId, call: Call) -> BoxFuture<'_, Reply>;
}
