//! TLS certificates of this gate, reloaded when their files change.

mod development;
mod watch;

use std::sync::Arc;

use arc_swap::ArcSwap;
use eyre::{Result, WrapErr, bail, eyre};
use rustls::client::ResolvesClientCert;
use rustls::crypto::CryptoProvider;
use rustls::server::{ClientHello, ResolvesServerCert, WebPkiClientVerifier};
use rustls::sign::CertifiedKey;
use rustls::{ClientConfig, RootCertStore, ServerConfig, SignatureScheme};
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use tokio::sync::watch::{Receiver, Sender};
use tracing::{info, warn};
use wigeongate_config::settings::TlsSettings;

pub use self::development::{IssuedCertificate, issue};
pub use self::watch::reload_on_change;

use crate::client::install_crypto_provider;

/// The ALPN protocols offered to callers, in order of preference.
const PROTOCOLS: [&[u8]; 2] = [b"h2", b"http/1.1"];

/// A certificate chain with its key, and the authority that signs the gates' certificates.
#[derive(Debug)]
struct Identity {
    certified_key: Arc<CertifiedKey>,
    authority: Arc<RootCertStore>,
}

/// A certificate chain, its private key and the authority's certificates, as PEM texts.
struct PemTexts {
    certificate: Vec<u8>,
    key: Vec<u8>,
    authority: Vec<u8>,
}

/// The certificates of this gate.
#[derive(Debug)]
pub struct Certificates {
    /// The files to reload from; `None` for certificates that were issued in this process.
    files: Option<TlsSettings>,
    /// Invariant: the identity was parsed completely and its key matches its certificate; a broken
    /// new file does not replace it.
    current: Arc<ArcSwap<Identity>>,
    /// Counts the reloads, so that subscribers learn of each.
    version: Sender<u64>,
}

impl Certificates {
    /// Loads the files of the settings.
    ///
    /// Fails if a file cannot be read or parsed, or the key does not match the certificate.
    pub fn load(settings: &TlsSettings) -> Result<Arc<Self>> {
        let identity = Identity::from_pem(&read_files(settings)?)?;
        Ok(Self::new(identity, Some(settings.clone())))
    }

    /// Uses a certificate that was issued in this process.
    ///
    /// Fails if a PEM text cannot be parsed or the key does not match the certificate.
    pub fn from_issued(issued: &IssuedCertificate) -> Result<Arc<Self>> {
        let pems = PemTexts {
            certificate: issued.certificate.clone().into_bytes(),
            key: issued.key.clone().into_bytes(),
            authority: issued.authority.clone().into_bytes(),
        };
        Ok(Self::new(Identity::from_pem(&pems)?, None))
    }

    fn new(identity: Identity, files: Option<TlsSettings>) -> Arc<Self> {
        Arc::new(Self {
            files,
            current: Arc::new(ArcSwap::from_pointee(identity)),
            version: Sender::new(0),
        })
    }

    /// Reloads the files; if one is broken, logs the error and keeps the current certificates.
    ///
    /// Returns whether the certificates were replaced; always `false` without files.
    pub fn reload(&self) -> bool {
        let Some(files) = &self.files else {
            return false;
        };
        match read_files(files).and_then(|pems| Identity::from_pem(&pems)) {
            Ok(identity) => {
                self.current.store(Arc::new(identity));
                self.version.send_modify(|version| *version += 1);
                info!("tls: reloaded the certificates.");
                true
            }
            Err(error) => {
                warn!("tls: reloading failed, the current certificates stay in use: {error:#}.");
                false
            }
        }
    }

    /// Returns a receiver that is notified of each successful reload.
    pub fn subscribe(&self) -> Receiver<u64> {
        self.version.subscribe()
    }

    /// Returns the server configuration for callers and operators.
    ///
    /// A reload takes effect for new connections without another call. Fails if the crypto provider
    /// supports no safe protocol version.
    pub fn server_config(&self) -> Result<ServerConfig> {
        let mut config = ServerConfig::builder_with_provider(crypto_provider())
            .with_safe_default_protocol_versions()?
            .with_no_client_auth()
            .with_cert_resolver(Arc::new(CurrentCertificate(self.current.clone())));
        config.alpn_protocols = PROTOCOLS.map(<[u8]>::to_vec).to_vec();
        Ok(config)
    }

    /// Returns the server configuration for other gates, which must present a certificate of the
    /// authority.
    ///
    /// A reloaded certificate takes effect for new connections; a new authority needs another call.
    /// Fails if the verifier cannot be built from the authority.
    pub fn peer_server_config(&self) -> Result<ServerConfig> {
        let authority = self.current.load().authority.clone();
        let verifier = WebPkiClientVerifier::builder_with_provider(authority, crypto_provider())
            .build()
            .wrap_err("building the verifier of client certificates")?;
        let config = ServerConfig::builder_with_provider(crypto_provider())
            .with_safe_default_protocol_versions()?
            .with_client_cert_verifier(verifier)
            .with_cert_resolver(Arc::new(CurrentCertificate(self.current.clone())));
        Ok(config)
    }

    /// Returns the client configuration for other gates; both sides must present a certificate of
    /// the authority.
    ///
    /// A reloaded certificate takes effect for new connections; a new authority needs another call.
    /// Fails if the crypto provider supports no safe protocol version.
    pub fn peer_client_config(&self) -> Result<ClientConfig> {
        let authority = self.current.load().authority.clone();
        let config = ClientConfig::builder_with_provider(crypto_provider())
            .with_safe_default_protocol_versions()?
            .with_root_certificates(authority)
            .with_client_cert_resolver(Arc::new(CurrentCertificate(self.current.clone())));
        Ok(config)
    }
}

impl Identity {
    fn from_pem(pems: &PemTexts) -> Result<Self> {
        let chain = parse_certificates(&pems.certificate).wrap_err("reading the certificate")?;
        let key = PrivateKeyDer::from_pem_slice(&pems.key)
            .map_err(|error| eyre!("reading the private key: {error}"))?;
        let certified_key = CertifiedKey::from_der(chain, key, &crypto_provider())
            .wrap_err("matching the private key with the certificate")?;
        let mut authority = RootCertStore::empty();
        for certificate in parse_certificates(&pems.authority).wrap_err("reading the authority")? {
            authority
                .add(certificate)
                .wrap_err("adding a certificate of the authority")?;
        }
        Ok(Self {
            certified_key: Arc::new(certified_key),
            authority: Arc::new(authority),
        })
    }
}

/// Resolves to the certificate that is current at the time of each handshake.
#[derive(Debug)]
struct CurrentCertificate(Arc<ArcSwap<Identity>>);

impl ResolvesServerCert for CurrentCertificate {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(self.0.load().certified_key.clone())
    }
}

impl ResolvesClientCert for CurrentCertificate {
    fn resolve(&self, _: &[&[u8]], _: &[SignatureScheme]) -> Option<Arc<CertifiedKey>> {
        Some(self.0.load().certified_key.clone())
    }

    fn has_certs(&self) -> bool {
        true
    }
}

fn read_files(settings: &TlsSettings) -> Result<PemTexts> {
    let read_file = |path: &std::path::Path| {
        std::fs::read(path).wrap_err_with(|| format!("reading {}", path.display()))
    };
    Ok(PemTexts {
        certificate: read_file(&settings.certificate)?,
        key: read_file(&settings.key)?,
        authority: read_file(&settings.authority)?,
    })
}

fn parse_certificates(pem: &[u8]) -> Result<Vec<CertificateDer<'static>>> {
    let parsed: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
    let certificates = parsed.map_err(|error| eyre!("{error}"))?;
    if certificates.is_empty() {
        bail!("the file contains no certificate");
    }
    Ok(certificates)
}

fn crypto_provider() -> Arc<CryptoProvider> {
    install_crypto_provider();
    Arc::new(rustls::crypto::ring::default_provider())
}
