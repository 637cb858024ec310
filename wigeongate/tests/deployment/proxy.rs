//! A TCP proxy that injects faults.

use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::Mutex;

use noxious::proxy::{ProxyConfig, ProxyRunner, Runner, Toxics};
use noxious::signal::{Close, Stop, Stopper};
use noxious::socket::TcpListener;
use noxious::toxic::{StreamDirection, Toxic, ToxicKind};

/// A fault of the connections through a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// Connections are refused.
    Down,
    /// Requests are forwarded, but their responses are lost.
    NoResponses,
}

/// A proxy in front of one address.
pub struct Proxy {
    /// Address that the proxy listens on.
    pub address: SocketAddr,
    upstream: SocketAddr,
    stopper: Mutex<Option<Stopper>>,
}

impl Proxy {
    /// Starts a proxy without faults in front of `upstream`.
    pub async fn start(upstream: SocketAddr) -> Self {
        let listener = StdListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        drop(listener);
        let proxy = Self {
            address,
            upstream,
            stopper: Mutex::default(),
        };
        proxy.set_fault(Fault::None).await;
        proxy
    }

    /// Sets the fault for new connections; closes open ones.
    pub async fn set_fault(&self, fault: Fault) {
        let previous = self.stopper.lock().expect("no test panicked").take();
        if let Some(stopper) = previous {
            stopper.stop();
        }
        if fault == Fault::Down {
            return;
        }
        let mut toxics = Toxics::empty();
        if fault == Fault::NoResponses {
            toxics.downstream.push(Toxic {
                kind: ToxicKind::Timeout { timeout: 0 },
                name: "no responses".to_owned(),
                toxicity: 1.0,
                direction: StreamDirection::Downstream,
            });
        }
        let stopper = self.run(toxics).await;
        *self.stopper.lock().expect("no test panicked") = Some(stopper);
    }

    async fn run(&self, toxics: Toxics) -> Stopper {
        let config = ProxyConfig {
            name: "store".to_owned(),
            listen: self.address.to_string(),
            upstream: self.upstream.to_string(),
            enabled: true,
            rand_seed: Some(1),
        };
        let (listener, info) = loop {
            let bound: std::io::Result<(TcpListener, _)> =
                ProxyRunner::initialize_proxy(config.clone(), toxics.clone()).await;
            // The listener of the previous run may still be closing.
            match bound {
                Ok(bound) => break bound,
                Err(_) => tokio::time::sleep(super::POLL_INTERVAL).await,
            }
        };
        let (stop, stopper) = Stop::new();
        let (_, closer) = Close::new();
        let (events, received) = bmrng::channel(1);
        tokio::spawn(async move {
            let _events = events;
            ProxyRunner::run_proxy(listener, info, received, stop, closer).await
        });
        stopper
    }
}
