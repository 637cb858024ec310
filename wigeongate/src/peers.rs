//! Calls between gates over QUIC, encoded with postcard, with one stream per call.

mod identity;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use eyre::{Result, WrapErr};
use futures_util::future::BoxFuture;
use quinn::{Connection, Endpoint, Incoming, RecvStream, SendStream, TransportConfig, VarInt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, timeout_at};
use tracing::{debug, info};
use wigeongate_core::collections::HashMap;
use wigeongate_core::ids::GateId;

pub use self::identity::Identity;
use crate::cluster::PeerError;
use crate::message::members::{Frame, PeerReply, PeerRequest};

/// The maximum size of a message between gates.
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// The maximum number of concurrent calls over one connection.
const MAX_CONCURRENT_CALLS: u32 = 1_024;

/// The interval of keep-alive packets on an idle connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The time without packets from the peer after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Handles requests from other gates.
pub trait RequestHandler: Send + Sync + 'static {
    /// Handles one request of a gate whose name was verified, and returns the reply.
    fn handle(&self, from: GateId, request: PeerRequest) -> BoxFuture<'_, PeerReply>;
}

/// The address and certificate of a gate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The UDP address at which the gate listens.
    pub address: SocketAddr,
    /// The certificate of the gate in DER; empty if an authority signs it.
    pub certificate: Vec<u8>,
}

#[derive(Debug)]
struct Peer {
    route: Route,
    connection: Option<Connection>,
}

/// The connections to the other gates.
#[derive(Debug)]
pub struct Peers {
    gate: GateId,
    identity: Identity,
    endpoint: Endpoint,
    by_gate: Mutex<HashMap<GateId, Peer>>,
}

impl Peers {
    /// Listens on the UDP `address`; no gate is trusted yet.
    ///
    /// Fails if the socket cannot be bound or the certificate cannot be used.
    pub fn bind(gate: GateId, identity: Identity, address: SocketAddr) -> Result<Arc<Self>> {
        let server = identity
            .server_config(std::iter::empty())?
            .map(with_transport);
        let socket = std::net::UdpSocket::bind(address)
            .wrap_err_with(|| format!("listening on {address} over UDP"))?;
        let endpoint = Endpoint::new(
            quinn::EndpointConfig::default(),
            server,
            socket,
            Arc::new(quinn::TokioRuntime),
        )?;
        let by_gate = Mutex::default();
        Ok(Arc::new(Self {
            gate,
            identity,
            endpoint,
            by_gate,
        }))
    }

    /// Returns the local address of the endpoint.
    pub fn address(&self) -> Result<SocketAddr> {
        Ok(self.endpoint.local_addr()?)
    }

    /// Returns the certificate to publish in the gate's record, in DER; empty if an authority signs
    /// it.
    pub fn certificate(&self) -> Vec<u8> {
        self.identity.pinned_certificate()
    }

    /// Replaces the gates that may call and be called; connections to a gate whose route is
    /// unchanged are kept.
    ///
    /// Fails if the certificates cannot be used.
    pub fn set_routes(&self, routes: HashMap<GateId, Route>) -> Result<()> {
        let mut peers = self.lock();
        let same = peers.len() == routes.len()
            && peers
                .iter()
                .all(|(gate, peer)| routes.get(gate) == Some(&peer.route));
        if same {
            return Ok(());
        }
        peers.retain(|gate, peer| routes.get(gate) == Some(&peer.route));
        for (gate, route) in routes {
            let connection = None;
            peers.entry(gate).or_insert(Peer { route, connection });
        }
        let pinned = peers.values().map(|peer| peer.route.certificate.as_slice());
        let server = self.identity.server_config(pinned)?;
        self.endpoint.set_server_config(server.map(with_transport));
        Ok(())
    }

    /// Accepts connections and handles their requests until the endpoint is closed.
    pub async fn serve(self: Arc<Self>, handler: Arc<dyn RequestHandler>) {
        while let Some(incoming) = self.endpoint.accept().await {
            tokio::spawn(serve_connection(incoming, handler.clone()));
        }
    }

    /// Closes the endpoint with all its connections.
    pub fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"stopping");
    }

    /// Sends a request to a gate and waits up to `within` for the reply.
    ///
    /// The error is [`PeerError::NotDone`] if the gate cannot have received the whole request, and
    /// [`PeerError::Unknown`] otherwise.
    pub async fn request(
        &self,
        step: &'static str,
        gate: &GateId,
        request: PeerRequest,
        within: Duration,
    ) -> Result<PeerReply, PeerError> {
        let deadline = Instant::now() + within;
        let mut frame_sent = false;
        let result = timeout_at(deadline, self.exchange(gate, request, &mut frame_sent)).await;
        let reason = match result {
            Ok(Ok(reply)) => return Ok(reply),
            Ok(Err(error)) => format!("{error:#}"),
            Err(_) => {
                // The next call opens a new connection, since this one may be dead.
                self.forget_connection(gate);
                format!("no reply within {within:?}")
            }
        };
        let peer = gate.clone();
        Err(if frame_sent {
            PeerError::Unknown { step, peer, reason }
        } else {
            PeerError::NotDone { step, peer, reason }
        })
    }

    /// Sends a request and reads the reply; sets `frame_sent` right before the peer may receive the
    /// whole frame.
    async fn exchange(
        &self,
        gate: &GateId,
        request: PeerRequest,
        frame_sent: &mut bool,
    ) -> Result<PeerReply> {
        let from = self.gate.clone();
        let frame = encode(&Frame { from, request })?;
        let connection = self.connection(gate).await?;
        let (mut send, mut receive) = connection.open_bi().await?;
        send.write_all(&frame).await?;
        *frame_sent = true;
        send.finish()?;
        decode(&mut receive).await
    }

    /// Returns the open connection to a gate, or connects.
    async fn connection(&self, gate: &GateId) -> Result<Connection> {
        let route = {
            let peers = self.lock();
            let peer = peers
                .get(gate)
                .ok_or_else(|| eyre::eyre!("the gate has no record"))?;
            let open = peer.connection.as_ref();
            if let Some(open) = open.filter(|open| open.close_reason().is_none()) {
                return Ok(open.clone());
            }
            peer.route.clone()
        };
        let mut config = self.identity.client_config(&route.certificate)?;
        config.transport_config(Arc::new(transport()));
        let connecting = self
            .endpoint
            .connect_with(config, route.address, gate.as_str())?;
        let connection = connecting.await?;
        if let Some(peer) = self.lock().get_mut(gate) {
            peer.connection = Some(connection.clone());
        }
        Ok(connection)
    }

    fn forget_connection(&self, gate: &GateId) {
        if let Some(peer) = self.lock().get_mut(gate) {
            peer.connection = None;
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<GateId, Peer>> {
        self.by_gate.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    transport.max_idle_timeout(IDLE_TIMEOUT.try_into().ok());
    transport.max_concurrent_bidi_streams(MAX_CONCURRENT_CALLS.into());
    transport
}

fn with_transport(mut config: quinn::ServerConfig) -> quinn::ServerConfig {
    config.transport_config(Arc::new(transport()));
    config
}

async fn serve_connection(incoming: Incoming, handler: Arc<dyn RequestHandler>) {
    let peer = incoming.remote_address();
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(error) => return debug!("peers: the handshake with {peer} failed: {error}."),
    };
    while let Ok((send, receive)) = connection.accept_bi().await {
        let (connection, handler) = (connection.clone(), handler.clone());
        tokio::spawn(async move {
            if let Err(error) = serve_stream(&connection, handler.as_ref(), send, receive).await {
                info!("peers: answering a call from {peer} failed: {error:#}.");
            }
        });
    }
}

async fn serve_stream(
    connection: &Connection,
    handler: &dyn RequestHandler,
    mut send: SendStream,
    mut receive: RecvStream,
) -> Result<()> {
    let Frame { from, request } = decode(&mut receive).await?;
    identity::verify_gate_name(connection, &from)?;
    let reply = handler.handle(from, request).await;
    send.write_all(&encode(&reply)?).await?;
    send.finish()?;
    Ok(())
}

fn encode(message: &impl Serialize) -> Result<Vec<u8>> {
    let bytes = postcard::to_stdvec(message).wrap_err("encoding a message")?;
    eyre::ensure!(
        bytes.len() <= MAX_MESSAGE_BYTES,
        "the message exceeds {MAX_MESSAGE_BYTES} bytes"
    );
    Ok(bytes)
}

async fn decode<T: DeserializeOwned>(receive: &mut RecvStream) -> Result<T> {
    let bytes = receive.read_to_end(MAX_MESSAGE_BYTES).await?;
    postcard::from_bytes(&bytes).wrap_err("decoding a message")
}
