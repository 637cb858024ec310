//! Reads the platform's list of hosts to find backend servers on hosts that are leaving.

use std::net::IpAddr;
use std::sync::{Mutex, PoisonError};

use eyre::{Result, WrapErr};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use reqwest::Client;
use wigeongate_api::hosts::HostList;
use wigeongate_config::inventory::{Backend, Inventory};
use wigeongate_core::collections::{HashMap, HashSet};
use wigeongate_core::ids::HostId;

/// A source of the platform's list of hosts.
pub trait HostSource: Send + Sync + 'static {
    /// Reads the list; fails if the source does not answer or the answer cannot be parsed.
    fn list(&self) -> BoxFuture<'_, Result<HostList>>;
}

/// A source that reads the list over HTTP.
#[derive(Debug, Clone)]
pub struct HttpHostSource {
    client: Client,
    url: String,
}

impl HttpHostSource {
    /// Creates a source that reads `/v1/hosts` at `endpoint`.
    pub fn new(client: Client, endpoint: &str) -> Self {
        let url = format!("{}/v1/hosts", endpoint.trim_end_matches('/'));
        Self { client, url }
    }

    async fn get(&self) -> Result<HostList> {
        let response = self.client.get(&self.url).send().await?;
        Ok(response.error_for_status()?.json().await?)
    }
}

impl HostSource for HttpHostSource {
    fn list(&self) -> BoxFuture<'_, Result<HostList>> {
        let step = || format!("reading the host list at {}", self.url);
        self.get().map(move |list| list.wrap_err_with(step)).boxed()
    }
}

/// The hosts named in the lists read so far.
#[derive(Debug, Default)]
pub struct HostHistory {
    seen: Mutex<SeenHosts>,
}

#[derive(Debug, Default)]
struct SeenHosts {
    /// Hosts that any list has named.
    ever_listed: HashSet<HostId>,
    /// Hosts in the newest list, each with whether it is leaving.
    latest: HashMap<HostId, bool>,
}

impl HostHistory {
    /// Records the newest list.
    pub fn update(&self, list: &HostList) {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        let lines = list.hosts.iter();
        seen.latest = lines
            .map(|line| (line.name.clone(), line.leaving))
            .collect();
        seen.ever_listed
            .extend(list.hosts.iter().map(|l| l.name.clone()));
    }

    /// Returns whether the host of a backend server is leaving or gone.
    ///
    /// The list lags behind, so a host that no list has named yet does not count as gone.
    pub fn is_leaving(&self, inventory: &Inventory, backend: &Backend) -> bool {
        let seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        let named = HostId::from(backend.name.as_str());
        let host = host_at(inventory, backend.address.ip()).unwrap_or(&named);
        match seen.latest.get(host) {
            Some(leaving) => *leaving,
            None => seen.ever_listed.contains(host),
        }
    }
}

fn host_at(inventory: &Inventory, ip: IpAddr) -> Option<&HostId> {
    let hosts = inventory.hosts.iter();
    let mut at = hosts.filter(|host| host.address.ip() == ip);
    let found = at.next()?;
    // An address that several hosts share does not identify one of them.
    at.next().is_none().then_some(&found.name)
}
