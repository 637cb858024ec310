//! Heartbeats between gates, and the handling of requests from other gates.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use tracing::warn;
use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::GateId;

use super::Membership;
use super::state::GateContact;
use crate::live::{self, CONFIGURATION_KEY};
use crate::message::Reply;
use crate::message::members::{GateReport, Heartbeat, HeartbeatReply, PeerReply, PeerRequest};
use crate::peers::{RequestHandler, Route};
use crate::store::Entry;

/// The timeout of a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The timeout of a transfer of the configuration.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(5);

impl Membership {
    /// Sends a heartbeat to every other gate and records the replies.
    pub(super) fn send_heartbeats(&self) {
        self.update_routes();
        let gates: Vec<GateId> = {
            let state = self.lock();
            let others = state.gates.keys().filter(|gate| **gate != state.gate);
            others.cloned().collect()
        };
        for gate in gates {
            let Some(members) = self.weak.upgrade() else {
                return;
            };
            tokio::spawn(async move {
                members.send_heartbeat(&gate).await;
                members.publish_view();
            });
        }
    }

    /// Sets the routes to the gates that have a record; only these can call and be called.
    fn update_routes(&self) {
        let routes: HashMap<GateId, Route> = {
            let state = self.lock();
            let others = state.gates.values().filter(|r| r.gate != state.gate);
            let route = |record: &super::record::GateRecord| Route {
                address: record.peer,
                certificate: record.certificate.0.clone(),
            };
            others.map(|r| (r.gate.clone(), route(r))).collect()
        };
        if let Err(error) = self.peers.set_routes(routes) {
            warn!("members: the routes to the other gates could not be set: {error:#}.");
        }
    }

    /// Sends a heartbeat to one gate and exchanges the configuration if the revisions differ.
    async fn send_heartbeat(&self, gate: &GateId) {
        let asked = self.clock.now();
        let (heartbeat, address) = {
            let state = self.lock();
            let acked_version = state
                .contacts
                .get(gate)
                .map_or(0, |contact| contact.acked_version);
            let announcement = (acked_version != state.announcement.version)
                .then(|| state.announcement.as_ref().clone());
            let report = state.report(asked, self.admits_directly(&state, asked));
            let address = state.gates.get(gate).map(|record| record.peer);
            (
                Heartbeat {
                    report,
                    announcement,
                },
                address,
            )
        };
        let request = PeerRequest::Heartbeat(Box::new(heartbeat));
        let reply = self
            .peers
            .request("heartbeat", gate, request, HEARTBEAT_TIMEOUT);
        let Ok(PeerReply::Heartbeat(reply)) = reply.await else {
            return;
        };
        let now = self.clock.now();
        let HeartbeatReply {
            report,
            version,
            promise,
        } = reply;
        let their_revision = report.revision;
        let our_revision = {
            let mut state = self.lock();
            if let Some(address) = address.filter(|_| promise) {
                state.lease.record_promise(address, asked);
            }
            let contact = state.contacts.entry(gate.clone()).or_default();
            contact.acked_version = version;
            contact.last_heard = now;
            contact.report = report;
            state.revision
        };
        if their_revision < our_revision {
            self.push_configuration(gate).await;
        } else if their_revision > our_revision {
            self.pull_configuration(gate).await;
        }
    }

    /// Sends the configuration in force to a gate that has an older one.
    async fn push_configuration(&self, gate: &GateId) {
        let live = self.configurations.live();
        let Ok(value) = serde_json::to_vec(&live.configuration) else {
            return;
        };
        let reply = self.peers.request(
            "configuration push",
            gate,
            PeerRequest::Push(value),
            TRANSFER_TIMEOUT,
        );
        if reply.await.is_ok() {
            let revision = live.configuration.revision;
            let mut state = self.lock();
            if let Some(contact) = state.contacts.get_mut(gate) {
                contact.report.revision = contact.report.revision.max(revision);
            }
        }
    }

    /// Fetches the configuration from a gate that has a newer one.
    pub(super) async fn pull_configuration(&self, gate: &GateId) {
        let reply = self.peers.request(
            "configuration fetch",
            gate,
            PeerRequest::Configuration,
            TRANSFER_TIMEOUT,
        );
        if let Ok(PeerReply::Configuration(value)) = reply.await {
            self.apply_configuration(value);
        }
    }

    fn apply_configuration(&self, value: Vec<u8>) {
        let entry = Entry {
            key: CONFIGURATION_KEY.to_owned(),
            value,
            revision: 1,
        };
        match live::decode(&entry) {
            Ok(configuration) => drop(self.configurations.apply_newer(configuration)),
            Err(error) => warn!("members: a configuration from another gate is ignored: {error}."),
        }
    }

    /// Records a heartbeat from another gate and returns the reply.
    fn handle_heartbeat(&self, from: &GateId, heartbeat: Heartbeat) -> HeartbeatReply {
        let now = self.clock.now();
        let mut state = self.lock();
        let admits = self.admits_directly(&state, now);
        let report: GateReport = heartbeat.report;
        let known = state
            .contacts
            .get(from)
            .map(|contact| contact.report.incarnation);
        let contact = state.contacts.entry(from.clone()).or_default();
        if known.is_some_and(|known| known != report.incarnation) {
            *contact = GateContact::default();
        }
        contact.last_heard = now;
        contact.report = report;
        if let Some(announcement) = heartbeat.announcement {
            contact.announcement = Arc::new(announcement);
        }
        let version = contact.announcement.version;
        let promise = state.observer.may_promise(from);
        HeartbeatReply {
            report: state.report(now, admits),
            version,
            promise,
        }
    }
}

impl RequestHandler for Membership {
    fn handle(&self, from: GateId, request: PeerRequest) -> BoxFuture<'_, PeerReply> {
        async move {
            match request {
                PeerRequest::Call(call) => PeerReply::Reply(self.serve.serve(from, call).await),
                PeerRequest::Heartbeat(heartbeat) => {
                    let reply = self.handle_heartbeat(&from, *heartbeat);
                    self.publish_view();
                    PeerReply::Heartbeat(reply)
                }
                PeerRequest::Refuse { owner, revision } => {
                    self.lock().observer.refuse_promises(owner, revision);
                    PeerReply::Done
                }
                PeerRequest::Configuration => {
                    let live = self.configurations.live();
                    match serde_json::to_vec(&live.configuration) {
                        Ok(value) => PeerReply::Configuration(value),
                        Err(error) => PeerReply::Reply(Reply::NotDone(error.to_string())),
                    }
                }
                PeerRequest::Push(value) => {
                    self.apply_configuration(value);
                    PeerReply::Done
                }
            }
        }
        .boxed()
    }
}
