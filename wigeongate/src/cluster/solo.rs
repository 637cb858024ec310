//! A cluster of one gate, which owns every unit and has no peers.

use std::sync::{Arc, Mutex, PoisonError};

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use tokio::sync::watch;
use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::{Epoch, GateId, Unit};
use wigeongate_core::time::Millis;

use super::{Cluster, OwnedUnit, PeerError, UnitOwner, View};
use crate::message::{Call, Digest, Reply};

/// A cluster of one gate, for tests of a single part.
pub struct SoloCluster {
    gate: GateId,
    view: watch::Sender<Arc<View>>,
    digests: Mutex<Arc<HashMap<GateId, Arc<Digest>>>>,
}

impl SoloCluster {
    /// Creates a cluster in which `gate` owns `units` under the first epoch.
    pub fn new(gate: GateId, units: impl IntoIterator<Item = Unit>) -> Arc<Self> {
        let cluster = Self {
            gate,
            view: watch::Sender::default(),
            digests: Mutex::default(),
        };
        cluster.set_units(units);
        Arc::new(cluster)
    }

    /// Replaces the owned units by `units`; those owned before keep their epochs.
    pub fn set_units(&self, units: impl IntoIterator<Item = Unit>) {
        let before = self.view.borrow().owned.clone();
        let mut view = View::default();
        for unit in units {
            let owned = before.get(&unit).copied().unwrap_or(OwnedUnit {
                epoch: Epoch(1),
                takeover_grace: Millis::ZERO,
            });
            let unit_owner = UnitOwner {
                gate: self.gate.clone(),
                epoch: owned.epoch,
            };
            view.owners.insert(unit.clone(), unit_owner);
            view.owned.insert(unit, owned);
        }
        self.view.send_replace(Arc::new(view));
    }
}

impl Cluster for SoloCluster {
    fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    fn subscribe(&self) -> watch::Receiver<Arc<View>> {
        self.view.subscribe()
    }

    fn may_act(&self, unit: &Unit) -> Option<Epoch> {
        self.view.borrow().owned.get(unit).map(|owned| owned.epoch)
    }

    fn confirm_stopped(&self, unit: &Unit) {
        self.view.send_modify(|view| {
            let view = Arc::make_mut(view);
            view.owned.remove(unit);
            view.owners.remove(unit);
        });
    }

    fn renew_epoch(&self, unit: &Unit) {
        self.view.send_modify(|view| {
            let view = Arc::make_mut(view);
            let newest = view
                .owned
                .values()
                .map(|owned| owned.epoch)
                .max()
                .unwrap_or_default();
            if let Some(owned) = view.owned.get_mut(unit) {
                owned.epoch = newest.next();
            }
        });
    }

    fn publish(&self, digest: Digest) {
        let digests = HashMap::from_iter([(self.gate.clone(), Arc::new(digest))]);
        *self.digests.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(digests);
    }

    fn digests(&self) -> Arc<HashMap<GateId, Arc<Digest>>> {
        self.digests
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn call<'a>(
        &'a self,
        gate: &'a GateId,
        _call: Call,
        _within: Millis,
    ) -> BoxFuture<'a, Result<Reply, PeerError>> {
        let error = PeerError::NotDone {
            step: "calling",
            peer: gate.clone(),
            reason: "the cluster has no other gate".to_owned(),
        };
        futures_util::future::ready(Err(error)).boxed()
    }
}
