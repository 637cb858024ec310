//! The TLS identity of a gate: its certificate, its key and the certificates that it trusts.

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

/// The ALPN protocol name.
const PROTOCOL: &[u8] = b"wigeongate/1";

/// The certificate chain and key of a gate, and the authority that signs the certificates of all
/// gates, if there is one.
#[derive(Debug)]
pub struct Identity {
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    authority: Vec<CertificateDer<'static>>,
}

impl Identity {
    /// Creates a self-signed certificate, which the other gates trust because it is published in
    /// the gate's record.
    ///
    /// Fails if the key or certificate cannot be generated.
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

    /// Loads the certificates and the key from the files in the settings.
    ///
    /// Fails if a file cannot be read or parsed.
    pub fn load(settings: &TlsSettings) -> Result<Self> {
        let read = |path: &std::path::Path| -> Result<Vec<CertificateDer<'static>>> {
            let certificates = CertificateDer::pem_file_iter(path)
                .and_then(Iterator::collect)
                .wrap_err_with(|| format!("reading the certificates in {}", path.display()))?;
            Ok(certificates)
        };
        let key = PrivateKeyDer::from_pem_file(&settings.key)
            .wrap_err_with(|| format!("reading the private key in {}", settings.key.display()))?;
        Ok(Self {
            chain: read(&settings.certificate)?,
            key,
            authority: read(&settings.authority)?,
        })
    }

    /// Returns the certificate to publish in the gate's record, in DER; empty if an authority signs
    /// it.
    pub fn pinned_certificate(&self) -> Vec<u8> {
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

    /// Returns the TLS and QUIC configuration of a client that trusts the `pinned` certificate, or
    /// the authority if there is one.
    pub fn client_config(&self, pinned: &[u8]) -> Result<quinn::ClientConfig> {
        install_crypto_provider();
        let roots = self.roots(std::iter::once(pinned));
        let mut tls = rustls::ClientConfig::builder()
            .with_root_certificates(roots)
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())?;
        tls.alpn_protocols = vec![PROTOCOL.to_vec()];
        let quic = QuicClientConfig::try_from(tls)?;
        Ok(quinn::ClientConfig::new(Arc::new(quic)))
    }

    /// Returns the TLS and QUIC configuration of a server that trusts the `pinned` certificates, or
    /// the authority if there is one; `None` if there is nothing to trust.
    pub fn server_config<'a>(
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

/// Verifies that the certificate of the peer is valid for the name of `gate`.
pub fn verify_gate_name(connection: &quinn::Connection, gate: &GateId) -> Result<()> {
    let identity = connection.peer_identity();
    let chain = identity.and_then(|any| any.downcast::<Vec<CertificateDer<'static>>>().ok());
    let chain = chain.ok_or_else(|| eyre!("gate {gate}: the peer sent no certificate"))?;
    let own = chain.first();
    let own = own.ok_or_else(|| eyre!("gate {gate}: the peer sent no certificate"))?;
    let name = ServerName::try_from(gate.as_str())?;
    verify_server_name(&ParsedCertificate::try_from(own)?, &name)?;
    Ok(())
}
