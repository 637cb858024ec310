//! HTTP clients of this process.

use eyre::{Result, WrapErr};
use reqwest::{Certificate, Client, ClientBuilder};

/// Makes an HTTP client for peers without TLS, with its own pool of connections.
///
/// Every peer is named by its address, so proxies of the environment are left aside. No authority
/// is trusted, which spares the reading of the machine's certificates.
pub fn client() -> Client {
    install_crypto_provider();
    build(base_builder().tls_certs_only([]))
}

/// Makes an HTTP client that trusts the authorities that the machine trusts.
pub fn client_trusting_system() -> Client {
    install_crypto_provider();
    build(base_builder())
}

/// Makes an HTTP client that trusts only the authority of a PEM text.
pub fn client_trusting(authority: &str) -> Result<Client> {
    install_crypto_provider();
    let step = "making an HTTP client";
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
    built.unwrap_or_else(|error| panic!("making an HTTP client: {error}"))
}

/// Sets the cryptography that TLS uses in this process; later calls change nothing.
pub fn install_crypto_provider() {
    // An error only says that a provider is there already.
    let _ = rustls::crypto::ring::default_provider().install_default();
}
