//! TLS with callers and between gates, and reloading of certificates.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use rustls_pki_types::ServerName;
use tokio_rustls::{TlsAcceptor, TlsConnector};
use tokio_util::sync::CancellationToken;
use warp::Filter;
use wigeongate::client::{client, client_trusting};
use wigeongate::serve::Server;
use wigeongate::tls::{Certificates, IssuedCertificate, issue};
use wigeongate_config::settings::{Bounds, TlsSettings};

fn issue_one() -> IssuedCertificate {
    let issued = issue(&[&["127.0.0.1"]]).expect("the certificate is issued");
    issued
        .into_iter()
        .next()
        .expect("one certificate was requested")
}

struct Files {
    directory: PathBuf,
    settings: TlsSettings,
}

impl Files {
    fn new(name: &str) -> Self {
        let name = format!("wigeongate-{}-{name}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).expect("the directory is created");
        let settings = TlsSettings {
            certificate: directory.join("gate.pem"),
            key: directory.join("gate.key"),
            authority: directory.join("authority.pem"),
        };
        Self {
            directory,
            settings,
        }
    }

    fn write(&self, issued: &IssuedCertificate) {
        write(&self.settings.certificate, &issued.certificate);
        write(&self.settings.key, &issued.key);
        write(&self.settings.authority, &issued.authority);
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn write(path: &Path, text: &str) {
    std::fs::write(path, text).expect("the file is written");
}

async fn serve(certificates: &Certificates) -> SocketAddr {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(any, Bounds::default())
        .await
        .expect("a port is free");
    let server = server
        .with_tls(Some(certificates))
        .expect("the certificate is valid");
    let address = server.address().expect("the socket is bound");
    let filter = warp::any().map(|| "here");
    tokio::spawn(server.run(filter, CancellationToken::new(), || {}));
    address
}

async fn answers(address: SocketAddr, authority: &str) -> bool {
    let client = client_trusting(authority).expect("the authority is valid");
    let sent = client.get(format!("https://{address}/")).send().await;
    sent.is_ok_and(|response| response.status().is_success())
}

#[tokio::test]
async fn callers_must_trust_the_authority() {
    let issued = issue_one();
    let certificates = Certificates::from_issued(&issued).expect("the certificate is valid");
    let address = serve(&certificates).await;
    assert!(answers(address, &issued.authority).await);
    assert!(!answers(address, &issue_one().authority).await);
    let plain = client().get(format!("http://{address}/")).send().await;
    assert!(plain.is_err());
}

#[tokio::test]
async fn a_broken_file_keeps_the_current_certificate() {
    let files = Files::new("reload");
    let (old, new) = (issue_one(), issue_one());
    files.write(&old);
    let certificates = Certificates::load(&files.settings).expect("the files are valid");
    let address = serve(&certificates).await;
    assert!(answers(address, &old.authority).await);

    files.write(&new);
    assert!(certificates.reload());
    assert!(answers(address, &new.authority).await);
    assert!(!answers(address, &old.authority).await);

    let broken = [
        (&files.settings.certificate, "no certificate"),
        (&files.settings.key, old.key.as_str()),
        (&files.settings.authority, ""),
    ];
    for (path, text) in broken {
        files.write(&new);
        write(path, text);
        assert!(!certificates.reload(), "{} was accepted", path.display());
        assert!(answers(address, &new.authority).await);
    }
    std::fs::remove_file(&files.settings.key).expect("the file was there");
    assert!(!certificates.reload());
    assert!(answers(address, &new.authority).await);
    assert!(Certificates::load(&files.settings).is_err());
}

/// Returns whether a gate with the first certificate can connect to one with the second.
async fn can_connect(client: &IssuedCertificate, server: &IssuedCertificate) -> bool {
    let client = Certificates::from_issued(client).expect("the certificate is valid");
    let server = Certificates::from_issued(server).expect("the certificate is valid");
    let connector = TlsConnector::from(Arc::new(
        client.peer_client_config().expect("the authority is valid"),
    ));
    let acceptor = TlsAcceptor::from(Arc::new(
        server.peer_server_config().expect("the authority is valid"),
    ));
    let (client_end, server_end) = tokio::io::duplex(1 << 16);
    let name = ServerName::try_from("127.0.0.1").expect("the name is an address");
    let connecting = connector.connect(name, client_end);
    let (connected, accepted) = tokio::join!(connecting, acceptor.accept(server_end));
    connected.is_ok() && accepted.is_ok()
}

#[tokio::test]
async fn gates_connect_only_with_certificates_of_one_authority() {
    let issued = issue(&[&["127.0.0.1"], &["127.0.0.1"]]).expect("the certificates are issued");
    let [first, second] = issued.as_slice() else {
        panic!("two certificates were requested");
    };
    assert!(can_connect(first, second).await);
    let untrusted = self::issue_one();
    assert!(!can_connect(&untrusted, first).await);
    assert!(!can_connect(first, &untrusted).await);
    // The impostor trusts the right authority but presents a certificate of another.
    let impostor = IssuedCertificate {
        authority: first.authority.clone(),
        ..untrusted
    };
    assert!(!can_connect(&impostor, first).await);
}
