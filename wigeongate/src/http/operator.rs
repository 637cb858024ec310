//! Routes through which operators read and change the cluster.

use std::sync::Arc;

use serde::Deserialize;
use tracing::info;
use warp::Filter;
use warp::reply::{Reply, Response};
use wigeongate_api::operator::{ChangeReply, ClusterStatus, GateEntry, GateStatus, HeldEntry};
use wigeongate_config::change::Change;
use wigeongate_core::ids::Revision;

use super::history::History;
use super::{Failure, FailureKind, Shared, respond};
use crate::cluster::{Cluster, Member, View};
use crate::live::ChangeError;

/// The largest body of a request from an operator, in bytes.
const BODY_LIMIT_BYTES: u64 = 4 << 20;

/// The query parameters of a change.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ChangeQuery {
    /// The revision on which the change is based; the change fails if another is in force.
    expected: Option<u64>,
}

/// The query parameters of a read of the configuration.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct GetQuery {
    /// The revision to read instead of the one in force.
    revision: Option<u64>,
}

/// Returns the routes for operators.
pub fn routes(
    shared: Arc<Shared>,
) -> impl Filter<Extract = (Response,), Error = warp::Rejection> + Clone + Send + Sync {
    let history = History::follow(&shared.configurations);
    let with_history = warp::any().map(move || history.clone());
    let with_shared = warp::any().map(move || shared.clone());
    let key = warp::header::optional::<String>("authorization");
    let change = warp::post()
        .and(warp::path!("v1" / "operator" / "changes"))
        .and(with_shared.clone())
        .and(key)
        .and(warp::query())
        .and(warp::body::content_length_limit(BODY_LIMIT_BYTES))
        .and(warp::body::json())
        .then(
            |shared: Arc<Shared>, key: Option<String>, query, body| async move {
                respond(change(&shared, key.as_deref(), query, body).await)
            },
        );
    let configuration = warp::get()
        .and(warp::path!("v1" / "operator" / "configuration"))
        .and(with_shared.clone())
        .and(key)
        .and(warp::query())
        .and(with_history)
        .then(
            |shared: Arc<Shared>, key: Option<String>, query, history: Arc<History>| async move {
                respond(configuration(&shared, key.as_deref(), &query, &history))
            },
        );
    let teams = warp::get()
        .and(warp::path!("v1" / "operator" / "teams"))
        .and(with_shared.clone())
        .and(key)
        .then(|shared: Arc<Shared>, key: Option<String>| async move {
            respond(teams(&shared, key.as_deref()))
        });
    let held = warp::get()
        .and(warp::path!("v1" / "operator" / "held"))
        .and(with_shared.clone())
        .and(key)
        .then(|shared: Arc<Shared>, key: Option<String>| async move {
            respond(held(&shared, key.as_deref()))
        });
    let status = warp::get()
        .and(warp::path!("v1" / "operator" / "status"))
        .and(with_shared)
        .and(key)
        .then(|shared: Arc<Shared>, key: Option<String>| async move {
            respond(status(&shared, key.as_deref()))
        });
    change
        .or(configuration)
        .unify()
        .or(teams)
        .unify()
        .or(held)
        .unify()
        .or(status)
        .unify()
}

async fn change(
    shared: &Shared,
    key: Option<&str>,
    query: ChangeQuery,
    change: Change,
) -> Result<Response, Failure> {
    let operator = shared.authenticate_operator(key)?;
    let expected = query.expected.map(Revision);
    if !shared.members.may_change().await {
        let detail =
            "this gate reaches too few other gates to change the configuration; use another gate";
        return Err(Failure::not_run(FailureKind::Unavailable, detail));
    }
    let changed = shared.configurations.change(change, expected).await;
    let revision = changed.map_err(|error| failure(&error))?;
    info!("operators: {operator} changed the configuration to revision {revision}.");
    Ok(warp::reply::json(&ChangeReply { revision }).into_response())
}

fn failure(error: &ChangeError) -> Failure {
    let kind = match error {
        ChangeError::Refused(_) => FailureKind::Malformed,
        ChangeError::Raced { .. } | ChangeError::Busy => FailureKind::Conflict,
        ChangeError::Store(crate::store::StoreError::Unknown { .. }) => {
            return Failure::unknown(&error.to_string());
        }
        ChangeError::Store(_) | ChangeError::Unreadable { .. } => FailureKind::Unavailable,
    };
    Failure::not_run(kind, &error.to_string())
}

fn configuration(
    shared: &Shared,
    key: Option<&str>,
    query: &GetQuery,
    history: &History,
) -> Result<Response, Failure> {
    shared.authenticate_operator(key)?;
    let Some(revision) = query.revision else {
        let live = shared.configurations.live();
        return Ok(warp::reply::json(&live.configuration).into_response());
    };
    let missing = || {
        let detail = format!("this gate no longer has revision {revision} in memory");
        Failure::not_run(FailureKind::NotFound, &detail)
    };
    let live = history.get(Revision(revision)).ok_or_else(missing)?;
    Ok(warp::reply::json(&live.configuration).into_response())
}

fn teams(shared: &Shared, key: Option<&str>) -> Result<Response, Failure> {
    shared.authenticate_operator(key)?;
    let live = shared.configurations.live();
    let teams = crate::owner::team_lines(&live, &shared.members.digests());
    Ok(warp::reply::json(&teams).into_response())
}

fn held(shared: &Shared, key: Option<&str>) -> Result<Response, Failure> {
    shared.authenticate_operator(key)?;
    let digests = shared.members.digests();
    let pools = digests.values().flat_map(|digest| &digest.pools);
    let lines = pools.flat_map(|pool| {
        pool.held.iter().map(|action| HeldEntry {
            pool: pool.pool.clone(),
            action: action.clone(),
        })
    });
    let mut lines: Vec<HeldEntry> = lines.collect();
    lines.sort_by(|a, b| (&a.pool, &a.action).cmp(&(&b.pool, &b.action)));
    Ok(warp::reply::json(&lines).into_response())
}

fn status(shared: &Shared, key: Option<&str>) -> Result<Response, Failure> {
    shared.authenticate_operator(key)?;
    let revision = shared.configurations.live().configuration.revision;
    let status = GateStatus {
        gate: shared.settings.gate.clone(),
        revision,
        store: shared.members.store_answers(),
        cluster: cluster(shared, revision),
    };
    Ok(warp::reply::json(&status).into_response())
}

/// Returns the status of the cluster as this gate sees it.
fn cluster(shared: &Shared, accepted: Revision) -> ClusterStatus {
    let view = shared.members.view();
    ClusterStatus {
        accepted,
        everywhere: shared.members.newest_in_force(),
        store: shared.members.circuit().to_string(),
        gates: view
            .members
            .iter()
            .map(|gate| gate_line(&view, gate))
            .collect(),
    }
}

fn gate_line(view: &View, member: &Member) -> GateEntry {
    let owned = view.owners.values();
    let units = owned.filter(|holder| holder.gate == member.gate).count();
    GateEntry {
        gate: member.gate.clone(),
        zone: member.zone.clone(),
        status: member.status.to_string(),
        revision: member.revision,
        units: u32::try_from(units).unwrap_or(u32::MAX),
    }
}
