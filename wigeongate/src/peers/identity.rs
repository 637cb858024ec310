//! Who a gate is towards the others: its certificate and whom it trusts.

use std::sync::Arc;

use eyre::{Result, WrapErr, eyre};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rcgen::{CertificateParams, KeyPair};
use rustls::RootCertStore;
use rustls::client::verify_server_name;
use rustls::server::{ParsedCertificate, WebPkiClientVerifier};
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use wigeongate_config::settings::TlsSettings;
use wigeongate_core::ids::GateId;

use crate::client::install_crypto_provider;

/// The protocol's name within TLS.
const PROTOCOL: &[u8] = b"wigeongate/1";

/// A gate's certificate, its key and, if there is one, the authority that signs every gate's.
#[derive(Debug)]
pub struct Identity {
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    authority: Vec<CertificateDer<'static>>,
}

impl Identity {
    /// Makes a certificate that the other gates trust because the gate's record holds it.
    pub fn self_signed(gate: &GateId) -> Result<Self> {
        let key = KeyPair::generate()?;
        let params = CertificateParams::new(vec![gate.to_string()])?;
        let certificate = params.self_signed(&key)?;
        Ok(Self {
            chain: vec![certificate.der().clone()],
            key: PrivateKeyDer::Pkcs8(key.serialize_der().into()),
            authority: Vec::new(),
        })
    }

    /// Reads the files that the settings name.
    pub fn load(settings: &TlsSettings) -> Result<Self> {
        let read = |path: &std::path::Path| -> Result<Vec<CertificateDer<'static>>> {
            let certificates = CertificateDer::pem_file_iter(path)
                .and_then(Iterator::collect)
                .wrap_err_with(|| format!("reading certificates of {}", path.display()))?;
            Ok(certificates)
        };
        let key = PrivateKeyDer::from_pem_file(&settings.key)
            .wrap_err_with(|| format!("reading the key of {}", settings.key.display()))?;
        Ok(Self {
            chain: read(&settings.certificate)?,
            key,
            authority: read(&settings.authority)?,
        })
    }

    /// Returns the certificate that the gate's record holds; empty when an authority signs it.
    pub fn pinned(&self) -> Vec<u8> {
        let own = self.chain.first().filter(|_| self.authority.is_empty());
        own.map(|own| own.to_vec()).unwrap_or_default()
    }

    fn roots<'a>(&self, pinned: impl Iterator<Item = &'a [u8]>) -> RootCertStore {
        let mut roots = RootCertStore::empty();
        let pinned = pinned.map(|der| CertificateDer::from(der.to_vec()));
        if self.authority.is_empty() {
            roots.add_parsable_certificates(pinned);
        } else {
            roots.add_parsable_certificates(self.authority.iter().cloned());
        }
        roots
    }

    /// Returns the configuration to call a gate with.
    pub fn client(&self, pinned: &[u8]) -> Result<quinn::ClientConfig> {
        install_crypto_provider();
        let roots = self.roots(std::iter::once(pinned));
        let mut tls = rustls::ClientConfig::builder()
            .with_root_certificates(roots)
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())?;
        tls.alpn_protocols = vec![PROTOCOL.to_vec()];
        let quic = QuicClientConfig::try_from(tls)?;
        Ok(quinn::ClientConfig::new(Arc::new(quic)))
    }

    /// Returns the configuration to be called with; without a gate to trust, there is none.
    pub fn server<'a>(
        &self,
        pinned: impl Iterator<Item = &'a [u8]>,
    ) -> Result<Option<quinn::ServerConfig>> {
        install_crypto_provider();
        let roots = self.roots(pinned);
        if roots.is_empty() {
            return Ok(None);
        }
        let verifier = WebPkiClientVerifier::builder(Arc::new(roots)).build()?;
        let mut tls = rustls::ServerConfig::builder()
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())?;
        tls.alpn_protocols = vec![PROTOCOL.to_vec()];
        let quic = QuicServerConfig::try_from(tls)?;
        Ok(Some(quinn::ServerConfig::with_crypto(Arc::new(quic))))
    }
}

/// Checks that the other end of a connection has a certificate of `gate`.
pub fn check_name(connection: &quinn::Connection, gate: &GateId) -> Result<()> {
    let identity = connection.peer_identity();
    let chain = identity.and_then(|any| any.downcast::<Vec<CertificateDer<'static>>>().ok());
    let chain = chain.ok_or_else(|| eyre!("gate {gate}: it showed no certificate"))?;
    let own = chain.first();
    let own = own.ok_or_else(|| eyre!("gate {gate}: it showed no certificate"))?;
    let name = ServerName::try_from(gate.as_str())?;
    verify_server_name(&ParsedCertificate::try_from(own)?, &name)?;
    Ok(())
}
