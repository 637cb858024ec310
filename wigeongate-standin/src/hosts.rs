//! Stand-in for the platform's list of live and leaving hosts, which may be out of date.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use eyre::Result;
use warp::Filter;
use warp::http::StatusCode;
use warp::reply::Reply;
use wigeongate_api::hosts::HostList;

use crate::serve::{ServerHandle, serve};

/// In-memory host list.
#[derive(Debug, Default)]
pub struct Hosts {
    list: Mutex<HostList>,
}

impl Hosts {
    /// Creates an empty list.
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Replaces the list.
    pub fn set(&self, list: HostList) {
        *self.list.lock().unwrap_or_else(PoisonError::into_inner) = list;
    }

    /// Starts serving the list on `address`; fails if the address cannot be bound.
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
