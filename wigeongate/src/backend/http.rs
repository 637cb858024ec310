//! An HTTP client of one backend server.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use eyre::{Result, WrapErr, eyre};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use h2::{Reason, RecvStream};
use http::header::CONTENT_TYPE;
use http::{Request, Response, StatusCode};
use tokio::time::{Instant, timeout, timeout_at};
use wigeongate_api::backend::{BackendStatus, EPOCH_HEADER, REQUEST_HEADER, TEAM_HEADER};
use wigeongate_core::ids::Epoch;
use wigeongate_core::time::Millis;

use super::connection::{Connection, ConnectionPool};
use super::{BackendClient, BackendError, BackendRequest, BackendResponse, Fault};

/// The largest status response that is read, in bytes.
const STATUS_LIMIT_BYTES: usize = 64 << 10;

/// Limits of a client of one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpSettings {
    /// The number of connections that may be open at a time.
    pub connections: usize,
    /// The largest response body, in bytes.
    pub answer_bytes: usize,
}

impl Default for HttpSettings {
    fn default() -> Self {
        Self {
            connections: 30,
            answer_bytes: 4 << 20,
        }
    }
}

/// A client of a backend server over HTTP/2.
pub struct HttpBackend {
    address: SocketAddr,
    pool: ConnectionPool,
    answer_bytes: usize,
}

impl HttpBackend {
    /// Creates a client of the backend server at `address`.
    pub fn new(address: SocketAddr, settings: &HttpSettings) -> Self {
        Self {
            address,
            pool: ConnectionPool::new(address, settings.connections),
            answer_bytes: settings.answer_bytes,
        }
    }

    fn not_run(&self, fault: Fault, reason: impl Into<String>) -> BackendError {
        BackendError::NotRun {
            peer: self.address,
            fault,
            reason: reason.into(),
        }
    }

    fn unknown(&self, fault: Fault, reason: impl Into<String>) -> BackendError {
        BackendError::Unknown {
            peer: self.address,
            fault,
            reason: reason.into(),
        }
    }

    async fn send(&self, request: BackendRequest) -> Result<BackendResponse, BackendError> {
        let deadline = Instant::now() + Duration::from(request.timeout);
        let acquired = timeout_at(deadline, self.pool.acquire()).await;
        let connection = acquired
            .map_err(|_| {
                self.not_run(
                    Fault::Deadline,
                    "no connection was available before the deadline",
                )
            })?
            .map_err(|error| self.not_run(Fault::Server, format!("{error:#}")))?;
        let id = request.id.to_string();
        let head = self
            .request_head(&id, &request)
            .map_err(|error| self.not_run(Fault::Deadline, error.to_string()))?;
        let exchange = self.exchange(connection, &id, head, request.body);
        match timeout_at(deadline, exchange).await {
            Ok(result) => result,
            Err(_) => Err(self.unknown(Fault::Deadline, "no response arrived before the deadline")),
        }
    }

    fn request_head(&self, id: &str, request: &BackendRequest) -> http::Result<Request<()>> {
        Request::post(format!("http://{}/v1/run/{}", self.address, request.path))
            .header(REQUEST_HEADER, id)
            .header(EPOCH_HEADER, request.epoch.0)
            .header(TEAM_HEADER, request.team.as_str())
            .body(())
    }

    /// Sends a request on a connection and reads the complete response.
    ///
    /// The connection is reused only after a complete response to this very request.
    async fn exchange(
        &self,
        mut connection: Connection,
        id: &str,
        request: Request<()>,
        body: Bytes,
    ) -> Result<BackendResponse, BackendError> {
        let opened = connection.sender.send_request(request, body.is_empty());
        // No part of the request is sent before its stream is open.
        let (response, mut stream) =
            opened.map_err(|error| self.not_run(Fault::Server, error.to_string()))?;
        if !body.is_empty() {
            let sent = stream.send_data(body, true);
            sent.map_err(|error| self.stream_error(&error))?;
        }
        let response = response.await.map_err(|error| self.stream_error(&error))?;
        let result = self.read_response(id, response).await;
        let reusable = match &result {
            Ok(_) => true,
            Err(BackendError::NotRun { fault, .. }) => *fault != Fault::Server,
            Err(BackendError::Unknown { .. }) => false,
        };
        if reusable {
            self.pool.release(connection);
        }
        result
    }

    /// Returns whether a request whose stream failed may have run.
    ///
    /// `REFUSED_STREAM` guarantees that the server has not processed the request (RFC 9113).
    fn stream_error(&self, error: &h2::Error) -> BackendError {
        let refused = error.is_remote() && error.reason() == Some(Reason::REFUSED_STREAM);
        if refused {
            self.not_run(Fault::Server, error.to_string())
        } else {
            self.unknown(Fault::Server, error.to_string())
        }
    }

    async fn read_response(
        &self,
        id: &str,
        response: Response<RecvStream>,
    ) -> Result<BackendResponse, BackendError> {
        let (head, body) = response.into_parts();
        let text = |name| head.headers.get(name).and_then(|value| value.to_str().ok());
        let body = read_body(body, self.answer_bytes).await;
        let same_id = text(REQUEST_HEADER) == Some(id);
        // A refusal counts only if it carries the identifier of this request: a response to
        // another request shows nothing about this one.
        if !same_id {
            return Err(self.unknown(
                Fault::MismatchedId,
                "the response carries another request identifier",
            ));
        }
        match head.status {
            StatusCode::CONFLICT => {
                return Err(self.not_run(Fault::StaleEpoch, "the server has seen a newer epoch"));
            }
            StatusCode::SERVICE_UNAVAILABLE => {
                return Err(self.not_run(Fault::Full, "the server has no free slot"));
            }
            _ => {}
        }
        let body = body.map_err(|error| {
            let reason = format!("reading the response body: {error}");
            self.unknown(Fault::Server, reason)
        })?;
        Ok(BackendResponse {
            status: head.status.as_u16(),
            media: text(CONTENT_TYPE.as_str()).map(str::to_owned),
            body,
        })
    }

    async fn fetch_status(&self, epoch: Epoch) -> Result<BackendStatus> {
        let mut connection = self.pool.acquire().await?;
        let request = Request::get(format!("http://{}/v1/status", self.address))
            .header(EPOCH_HEADER, epoch.0)
            .body(())?;
        let (response, _) = connection.sender.send_request(request, true)?;
        let response = response.await?;
        let status = response.status();
        let body = read_body(response.into_body(), STATUS_LIMIT_BYTES).await?;
        self.pool.release(connection);
        if status != StatusCode::OK {
            return Err(eyre!("the server answered with status {status}"));
        }
        Ok(serde_json::from_slice(&body)?)
    }
}

/// Reads a complete body of at most `limit` bytes; a body in one chunk is not copied.
async fn read_body(mut body: RecvStream, limit: usize) -> Result<Bytes> {
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk?;
        body.flow_control().release_capacity(chunk.len())?;
        if first.len() + rest.len() + chunk.len() > limit {
            return Err(eyre!("the body has more than {limit} bytes"));
        }
        if first.is_empty() {
            first = chunk;
        } else {
            rest.extend_from_slice(&chunk);
        }
    }
    if rest.is_empty() {
        return Ok(first);
    }
    let mut whole = BytesMut::with_capacity(first.len() + rest.len());
    whole.extend_from_slice(&first);
    whole.extend_from_slice(&rest);
    Ok(whole.freeze())
}

impl BackendClient for HttpBackend {
    fn run(&self, request: BackendRequest) -> BoxFuture<'_, Result<BackendResponse, BackendError>> {
        self.send(request).boxed()
    }

    fn status(&self, epoch: Epoch, within: Millis) -> BoxFuture<'_, Result<BackendStatus>> {
        async move {
            let fetched = timeout(within.into(), self.fetch_status(epoch)).await;
            fetched
                .wrap_err("no response arrived in time")
                .and_then(|result| result)
                .wrap_err_with(|| format!("backend server {}: reading its status", self.address))
        }
        .boxed()
    }
}
