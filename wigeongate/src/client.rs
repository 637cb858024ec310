//! HTTP clients of this process.

use eyre::{Result, WrapErr};
use reqwest::{Certificate, Client, ClientBuilder};

/// Builds an HTTP client for peers without TLS, with a connection pool of its own.
///
/// Peers are addressed directly, so proxy settings of the environment are ignored. The client
/// trusts no authority, which saves loading the machine's root certificates.
pub fn client() -> Client {
    install_crypto_provider();
    build(base_builder().tls_certs_only([]))
}

/// Builds an HTTP client that trusts the root certificates of the machine.
pub fn client_trusting_system() -> Client {
    install_crypto_provider();
    build(base_builder())
}

/// Builds an HTTP client that trusts only the authorities in a PEM text.
///
/// Fails if the text cannot be parsed or the client cannot be built.
pub fn client_trusting(authority: &str) -> Result<Client> {
    install_crypto_provider();
    let step = "building an HTTP client for a private authority";
    let authority = Certificate::from_pem_bundle(authority.as_bytes()).wrap_err(step)?;
    base_builder()
        .tls_certs_only(authority)
        .build()
        .wrap_err(step)
}

fn base_builder() -> ClientBuilder {
    Client::builder().no_proxy().tcp_nodelay(true)
}

fn build(builder: ClientBuilder) -> Client {
    let built = builder.build();
    built.unwrap_or_else(|error| panic!("building an HTTP client: {error}"))
}

/// Installs the default TLS crypto provider of this process; later calls change nothing.
pub fn install_crypto_provider() {
    // An error only means that a provider is already installed.
    let _ = rustls::crypto::ring::default_provider().install_default();
}
