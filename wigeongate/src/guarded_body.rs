//! A body that charges what arrives to the budget of its listener.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::connection_budget::{CloseReason, Connection};

/// What a reader that keeps each piece of a body needs for it besides its bytes.
const PIECE_BYTES: u64 = 64;

/// What the body of one request is charged; it ends on drop.
#[derive(Debug)]
pub struct BodyCharge {
    connection: Arc<Connection>,
    bytes: AtomicU64,
}

impl BodyCharge {
    /// Starts a charge of nothing.
    pub fn new(connection: Arc<Connection>) -> Arc<Self> {
        Arc::new(Self {
            connection,
            bytes: AtomicU64::new(0),
        })
    }

    fn add(&self, bytes: u64) -> bool {
        let has_room = self.connection.charge(bytes);
        if has_room {
            self.bytes.fetch_add(bytes, Ordering::Relaxed);
        }
        has_room
    }
}

impl Drop for BodyCharge {
    fn drop(&mut self) {
        self.connection.release(self.bytes.load(Ordering::Relaxed));
    }
}

/// A body that charges what arrives; it ends with an error if the budget has no room.
#[derive(Debug)]
pub struct GuardedBody {
    body: Incoming,
    charge: Arc<BodyCharge>,
    is_arriving: bool,
}

impl GuardedBody {
    /// Wraps a body whose charge outlasts it.
    pub fn new(body: Incoming, charge: Arc<BodyCharge>) -> Self {
        let is_arriving = !body.is_end_stream();
        if is_arriving {
            charge.connection.begin_body();
        }
        Self {
            body,
            charge,
            is_arriving,
        }
    }

    fn end(&mut self) {
        if std::mem::take(&mut self.is_arriving) {
            self.charge.connection.end_body();
        }
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = Box<dyn std::error::Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        let Some(Ok(frame)) = frame else {
            self.end();
            return Poll::Ready(frame.map(|frame| frame.map_err(Into::into)));
        };
        let bytes = frame.data_ref().map_or(0, |data| data.len() as u64);
        let connection = &self.charge.connection;
        connection.received(bytes);
        if !self.charge.add(bytes + PIECE_BYTES) {
            // A refusal by the route would blame the request.
            connection.close(CloseReason::Budget);
            self.end();
            let cause = io::Error::other("connections hold too much memory");
            return Poll::Ready(Some(Err(cause.into())));
        }
        if self.body.is_end_stream() {
            self.end();
        }
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for GuardedBody {
    fn drop(&mut self) {
        self.end();
    }
}
