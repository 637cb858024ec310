//! Signs of life between the gates, and answers to them.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use tracing::warn;
use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::GateId;

use super::Members;
use super::state::Heard;
use crate::live::{self, CONFIGURATION_KEY};
use crate::message::Reply;
use crate::message::members::{Account, Ask, Beat, BeatReply, Told};
use crate::peers::{Answer, Route};
use crate::store::Entry;

/// How long the answer to a sign of life may take.
const BEAT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long the transfer of a configuration may take.
const PUSH_TIMEOUT: Duration = Duration::from_secs(5);

impl Members {
    /// Shows every other gate a sign of life and takes in their answers.
    pub(super) fn beat(&self) {
        self.route();
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
                members.beat_one(&gate).await;
                members.publish_view();
            });
        }
    }

    /// Lets the gates that have a record call and be called.
    fn route(&self) {
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
            warn!("members: {error:#}.");
        }
    }

    async fn beat_one(&self, gate: &GateId) {
        let asked = self.clock.now();
        let (beat, place) = {
            let state = self.lock();
            let knows = state.heard.get(gate).map_or(0, |heard| heard.knows);
            let news = (knows != state.news.version).then(|| state.news.as_ref().clone());
            let account = state.account(asked, self.admits_at(&state, asked));
            let place = state.gates.get(gate).map(|record| record.peer);
            (Beat { account, news }, place)
        };
        let ask = Ask::Beat(Box::new(beat));
        let told = self.peers.ask("a sign of life", gate, ask, BEAT_TIMEOUT);
        let Ok(Told::Beat(reply)) = told.await else {
            return;
        };
        let now = self.clock.now();
        let BeatReply {
            account,
            version,
            promise,
        } = reply;
        let theirs = account.revision;
        let ours = {
            let mut state = self.lock();
            if let Some(place) = place.filter(|_| promise) {
                state.lease.record_promise(place, asked);
            }
            let heard = state.heard.entry(gate.clone()).or_default();
            heard.knows = version;
            heard.at = now;
            heard.account = account;
            state.revision
        };
        if theirs < ours {
            self.push(gate).await;
        } else if theirs > ours {
            self.pull(gate).await;
        }
    }

    /// Sends the configuration in force to a gate that has an older one.
    async fn push(&self, gate: &GateId) {
        let live = self.configurations.live();
        let Ok(value) = serde_json::to_vec(&live.configuration) else {
            return;
        };
        let told = self
            .peers
            .ask("a configuration", gate, Ask::Push(value), PUSH_TIMEOUT);
        if told.await.is_ok() {
            let revision = live.configuration.revision;
            let mut state = self.lock();
            if let Some(heard) = state.heard.get_mut(gate) {
                heard.account.revision = heard.account.revision.max(revision);
            }
        }
    }

    /// Fetches the configuration of a gate that has a newer one.
    pub(super) async fn pull(&self, gate: &GateId) {
        let told = self
            .peers
            .ask("a configuration", gate, Ask::Configuration, PUSH_TIMEOUT);
        if let Ok(Told::Configuration(value)) = told.await {
            self.offer(value);
        }
    }

    fn offer(&self, value: Vec<u8>) {
        let entry = Entry {
            key: CONFIGURATION_KEY.to_owned(),
            value,
            revision: 1,
        };
        match live::decode(&entry) {
            Ok(configuration) => drop(self.configurations.offer(configuration)),
            Err(error) => warn!("members: {error}."),
        }
    }

    fn take_beat(&self, from: &GateId, beat: Beat) -> BeatReply {
        let now = self.clock.now();
        let mut state = self.lock();
        let admits = self.admits_at(&state, now);
        let account: Account = beat.account;
        let known = state.heard.get(from).map(|heard| heard.account.incarnation);
        let heard = state.heard.entry(from.clone()).or_default();
        if known.is_some_and(|known| known != account.incarnation) {
            *heard = Heard::default();
        }
        heard.at = now;
        heard.account = account;
        if let Some(news) = beat.news {
            heard.news = Arc::new(news);
        }
        let version = heard.news.version;
        let promise = state.observer.may_promise(from);
        BeatReply {
            account: state.account(now, admits),
            version,
            promise,
        }
    }
}

impl Answer for Members {
    fn answer(&self, from: GateId, ask: Ask) -> BoxFuture<'_, Told> {
        async move {
            match ask {
                Ask::Call(call) => Told::Reply(self.serve.serve(from, call).await),
                Ask::Beat(beat) => {
                    let reply = self.take_beat(&from, *beat);
                    self.publish_view();
                    Told::Beat(reply)
                }
                Ask::Refuse { owner, revision } => {
                    self.lock().observer.refuse_promises(owner, revision);
                    Told::Done
                }
                Ask::Configuration => {
                    let live = self.configurations.live();
                    match serde_json::to_vec(&live.configuration) {
                        Ok(value) => Told::Configuration(value),
                        Err(error) => Told::Reply(Reply::NotDone(error.to_string())),
                    }
                }
                Ask::Push(value) => {
                    self.offer(value);
                    Told::Done
                }
            }
        }
        .boxed()
    }
}
