//! HTTP interface of the store.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::{Stream, stream};
use serde::Serialize;
use tokio::sync::watch;
use warp::Filter;
use warp::http::StatusCode;
use warp::reply::{Reply, Response};
use wigeongate_api::etcd::{
    KeepAliveResponse, LeaseGrantRequest, LeaseRequest, LeaseResponse, Number, RangeRequest,
    TxnRequest, WatchCreate, WatchMessage, WatchRequest, WatchResponse,
};

use super::{Fault, Store};

/// Interval at which an idle watch sends an empty response, which shows that it is alive.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum size of a request body, in bytes.
const BODY_LIMIT_BYTES: u64 = 4 << 20;

/// Returns the filter for all routes of the store.
pub fn routes(
    store: Arc<Store>,
) -> impl Filter<Extract = (impl Reply,), Error = Infallible> + Clone + Send + Sync {
    let with = warp::any().map(move || store.clone());
    let body = warp::body::content_length_limit(BODY_LIMIT_BYTES).and(warp::body::bytes());
    warp::post()
        .and(warp::path::full())
        .and(body)
        .and(with)
        .then(
            |path: warp::path::FullPath, body: Bytes, store: Arc<Store>| async move {
                handle_call(path.as_str(), &body, store).await
            },
        )
        .recover(|_| async { Ok::<_, Infallible>(StatusCode::BAD_REQUEST) })
}

/// Handles one call; `/standin/fault` sets the faults and is exempt from them.
async fn handle_call(path: &str, body: &[u8], store: Arc<Store>) -> Response {
    if path == "/standin/fault" {
        return with_parsed(body, |fault| {
            store.set_fault(fault);
            json(&true)
        });
    }
    let Fault { down, delay_ms, .. } = store.fault();
    if delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
    if down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    match path {
        "/v3/kv/range" => with_parsed(body, |r: RangeRequest| {
            json(&store.with(|data| data.range(&r)))
        }),
        "/v3/kv/txn" => with_parsed(body, |r: TxnRequest| txn(&store, &r)),
        "/v3/lease/grant" => with_parsed(body, |r: LeaseGrantRequest| grant(&store, &r)),
        "/v3/lease/keepalive" => with_parsed(body, |r: LeaseRequest| keep_alive(&store, &r)),
        "/v3/lease/revoke" => with_parsed(body, |r: LeaseRequest| revoke(&store, &r)),
        "/v3/watch" => with_parsed(body, |r: WatchRequest| watch(store, r.create_request)),
        _ => StatusCode::NOT_FOUND.into_response(),
    }
}

/// Parses a JSON body and passes it to `work`; responds with status 400 if it is malformed.
fn with_parsed<T: serde::de::DeserializeOwned>(
    body: &[u8],
    work: impl FnOnce(T) -> Response,
) -> Response {
    match serde_json::from_slice(body) {
        Ok(request) => work(request),
        Err(error) => {
            warp::reply::with_status(error.to_string(), StatusCode::BAD_REQUEST).into_response()
        }
    }
}

fn json<T: Serialize>(value: &T) -> Response {
    warp::reply::json(value).into_response()
}

/// Executes a transaction; responds with status 504 after every nth write if that fault is set.
fn txn(store: &Store, request: &TxnRequest) -> Response {
    let lose_every = store.fault().lose_every;
    let (response, writes) = store.with(|data| {
        let before = data.writes();
        let response = data.txn(request);
        let wrote = data.writes() > before;
        (response, wrote.then_some(data.writes()))
    });
    let lost = writes.is_some_and(|count| lose_every > 0 && count % lose_every == 0);
    if lost {
        StatusCode::GATEWAY_TIMEOUT.into_response()
    } else {
        json(&response)
    }
}

fn grant(store: &Store, request: &LeaseGrantRequest) -> Response {
    let id = store.with(|data| data.grant(request.ttl.0, Instant::now()));
    json(&LeaseResponse {
        id: Number(id),
        ttl: request.ttl,
        ..LeaseResponse::default()
    })
}

fn keep_alive(store: &Store, request: &LeaseRequest) -> Response {
    let ttl = store.with(|data| data.renew(request.id.0, Instant::now()));
    let result = LeaseResponse {
        id: request.id,
        ttl: Number(ttl),
        ..LeaseResponse::default()
    };
    json(&KeepAliveResponse { result })
}

fn revoke(store: &Store, request: &LeaseRequest) -> Response {
    store.with(|data| data.revoke(request.id.0));
    json(&LeaseResponse {
        id: request.id,
        ..LeaseResponse::default()
    })
}

/// State of one watch.
struct WatchStream {
    store: Arc<Store>,
    changed: watch::Receiver<i64>,
    create: WatchCreate,
    /// First revision that has not been sent yet.
    next_revision: i64,
    /// Whether the first response has been sent.
    created: bool,
    /// Whether the watch was cancelled because its start revision is compacted.
    ended: bool,
}

fn watch(store: Arc<Store>, create: WatchCreate) -> Response {
    let changed = store.changed.subscribe();
    let newest = store.with(|data| data.revision());
    let requested = create.start_revision.0;
    let next_revision = if requested > 0 { requested } else { newest + 1 };
    let watch = WatchStream {
        store,
        changed,
        create,
        next_revision,
        created: false,
        ended: false,
    };
    warp::reply::stream(response_lines(watch)).into_response()
}

fn response_lines(
    watch: WatchStream,
) -> impl Stream<Item = Result<Bytes, Infallible>> + Send + Sync {
    let items = stream::unfold(watch, |mut watch| async move {
        let response = watch.next_response().await?;
        let line = serde_json::to_vec(&WatchMessage { result: response }).ok()?;
        Some((Ok(Bytes::from([line.as_slice(), b"\n"].concat())), watch))
    });
    into_sync(items)
}

/// Makes a stream `Sync` by sending its items through a channel.
fn into_sync<T: Send + 'static>(
    items: impl Stream<Item = T> + Send + 'static,
) -> impl Stream<Item = T> + Send + Sync {
    use futures_util::StreamExt;
    let (sender, receiver) = tokio::sync::mpsc::channel(1);
    tokio::spawn(async move {
        let mut items = std::pin::pin!(items);
        loop {
            let item = tokio::select! {
                item = items.next() => item,
                () = sender.closed() => return,
            };
            let Some(item) = item else { return };
            if sender.send(item).await.is_err() {
                return;
            }
        }
    });
    stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|item| (item, receiver))
    })
}

impl WatchStream {
    /// Waits for the next response; `None` if the watch was cancelled or the store is down.
    async fn next_response(&mut self) -> Option<WatchResponse> {
        if self.ended {
            return None;
        }
        if !self.created {
            self.created = true;
            return Some(self.first_response());
        }
        loop {
            if self.store.fault().down {
                return None;
            }
            let (header, events) = self
                .store
                .with(|data| (data.header(), data.events(&self.create, self.next_revision)));
            self.next_revision = header.revision.0 + 1;
            if !events.is_empty() {
                return Some(WatchResponse {
                    header,
                    events,
                    ..WatchResponse::default()
                });
            }
            let waited = tokio::time::timeout(PROGRESS_INTERVAL, self.changed.changed()).await;
            if waited.is_err() {
                return Some(WatchResponse {
                    header,
                    ..WatchResponse::default()
                });
            }
        }
    }

    /// Returns the response that confirms the watch, or cancels it if its start is compacted.
    fn first_response(&mut self) -> WatchResponse {
        let (header, compacted) = self
            .store
            .with(|data| (data.header(), data.compacted_revision()));
        self.ended = self.next_revision <= compacted;
        WatchResponse {
            header,
            created: true,
            canceled: self.ended,
            compact_revision: if self.ended {
                Number(compacted + 1)
            } else {
                Number(0)
            },
            events: Vec::new(),
        }
    }
}
