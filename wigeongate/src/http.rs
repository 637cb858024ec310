//! The HTTP interface for callers, operators and the load balancer.

mod caller;
mod forward;
mod history;
mod operator;
mod problem;

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use warp::http::StatusCode;
use warp::reply::{Reply, Response};
use warp::{Filter, Rejection};
use wigeongate_config::key::KeyHash;
use wigeongate_config::settings::Settings;
use wigeongate_core::ids::TeamId;

pub use self::problem::{Failure, FailureKind};
use crate::jobs::JobDispatcher;
use crate::live::{Configurations, LiveConfiguration};
use crate::members::Membership;
use crate::metrics::Metrics;
use crate::requests::Requests;

/// The state that all handlers share.
pub struct Shared {
    /// The settings of this gate.
    pub settings: Settings,
    /// The configuration in force.
    pub configurations: Arc<Configurations>,
    /// The membership of the cluster and the units that each gate owns.
    pub members: Arc<Membership>,
    /// Forwards calls about jobs to the owners of their pools.
    pub jobs: JobDispatcher,
    /// Forwards requests to backend servers.
    pub requests: Arc<Requests>,
    /// The metrics of this gate.
    pub metrics: Metrics,
    /// Whether a configuration has been received from the store or from another gate.
    pub ready: AtomicBool,
    /// Whether the gate is shutting down.
    pub stopping: AtomicBool,
}

impl Shared {
    /// Refuses callers while this gate might miss a change of the configuration.
    fn check_current(&self) -> Result<(), Failure> {
        if self.members.admits() {
            return Ok(());
        }
        let detail =
            "this gate reaches neither the store nor a gate that reaches it; use another gate";
        Err(Failure::not_run(FailureKind::Unavailable, detail))
    }

    fn authenticate_operator(&self, authorization: Option<&str>) -> Result<&str, Failure> {
        let key = authorization.and_then(|text| text.strip_prefix("Bearer "));
        let hash = KeyHash::of(key.unwrap_or_default());
        let operator = self
            .settings
            .operators
            .iter()
            .find(|known| known.hash.matches(&hash));
        let operator = operator.filter(|_| key.is_some());
        let failure =
            || Failure::not_run(FailureKind::InvalidKey, "the key belongs to no operator");
        operator
            .map(|operator| operator.name.as_str())
            .ok_or_else(failure)
    }
}

/// Returns the routes of the whole HTTP interface.
pub fn routes(
    shared: Arc<Shared>,
) -> impl Filter<Extract = (impl Reply,), Error = Infallible> + Clone + Send + Sync {
    let health = warp::get()
        .and(warp::path!("healthz"))
        .map(|| StatusCode::OK.into_response());
    let ready = {
        let shared = shared.clone();
        warp::get()
            .and(warp::path!("readyz"))
            .map(move || readiness(&shared))
    };
    forward::routes(shared.clone())
        .or(caller::routes(shared.clone()))
        .unify()
        .or(operator::routes(shared))
        .unify()
        .or(health)
        .unify()
        .or(ready)
        .unify()
        .recover(|rejection| async move { Ok::<_, Infallible>(recover(&rejection)) })
}

fn readiness(shared: &Shared) -> Response {
    let known = shared.ready.load(Ordering::SeqCst);
    let stopping = shared.stopping.load(Ordering::SeqCst);
    if known && !stopping && shared.members.admits() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
    .into_response()
}

fn recover(rejection: &Rejection) -> Response {
    let failure = if rejection.is_not_found() {
        Failure::not_run(FailureKind::NotFound, "no resource has this path")
    } else if rejection.find::<warp::reject::PayloadTooLarge>().is_some() {
        Failure::not_run(FailureKind::TooLarge, "the body exceeds the limit")
    } else if rejection.find::<warp::reject::LengthRequired>().is_some() {
        let detail = "a request with a body needs a Content-Length header";
        Failure::not_run(FailureKind::Malformed, detail)
    } else if let Some(wrong) = rejection.find::<warp::body::BodyDeserializeError>() {
        Failure::not_run(FailureKind::Malformed, &wrong.to_string())
    } else if rejection.find::<warp::reject::MethodNotAllowed>().is_some() {
        let detail = "the path does not support this method";
        Failure::not_run(FailureKind::Malformed, detail)
    } else {
        Failure::not_run(FailureKind::Malformed, &format!("{rejection:?}"))
    };
    failure.into_response()
}

/// Returns the team that the key of a request belongs to.
fn authenticate_team(
    live: &LiveConfiguration,
    authorization: Option<&str>,
) -> Result<TeamId, Failure> {
    let key = authorization.and_then(|text| text.strip_prefix("Bearer "));
    let team = key.and_then(|key| live.team(key)).cloned();
    team.ok_or_else(|| Failure::not_run(FailureKind::InvalidKey, "the key belongs to no team"))
}

/// Converts the result of a handler into a response.
fn respond(result: Result<Response, Failure>) -> Response {
    result.unwrap_or_else(Failure::into_response)
}
