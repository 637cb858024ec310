//! The platform's lagging list of live and leaving hosts.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use eyre::Result;
use warp::Filter;
use warp::http::StatusCode;
use warp::reply::Reply;
use wigeongate_api::hosts::HostList;

use crate::serve::{ServerHandle, serve};

/// A host list in memory.
#[derive(Debug, Default)]
pub struct Hosts {
    list: Mutex<HostList>,
}

impl Hosts {
    /// Makes a list that names no host.
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Sets what the list says from now on.
    pub fn set(&self, list: HostList) {
        *self.list.lock().unwrap_or_else(PoisonError::into_inner) = list;
    }

    /// Serves the list on `address`.
    pub async fn spawn(self: &Arc<Self>, address: SocketAddr) -> Result<ServerHandle> {
        serve(address, routes(self.clone())).await
    }

    fn get(&self) -> HostList {
        self.list
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

fn routes(
    hosts: Arc<Hosts>,
) -> impl Filter<Extract = (impl Reply,), Error = Infallible> + Clone + Send + Sync {
    let with = warp::any().map(move || hosts.clone());
    let get = warp::get()
        .and(warp::path!("v1" / "hosts"))
        .and(with.clone())
        .map(|hosts: Arc<Hosts>| warp::reply::json(&hosts.get()).into_response());
    let put = warp::put()
        .and(warp::path!("v1" / "hosts"))
        .and(warp::body::json())
        .and(with)
        .map(|list, hosts: Arc<Hosts>| {
            hosts.set(list);
            StatusCode::NO_CONTENT.into_response()
        });
    get.or(put)
        .unify()
        .recover(|_| async { Ok::<_, Infallible>(StatusCode::BAD_REQUEST) })
}
