//! A development gate with embedded stand-ins, on loopback.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use eyre::{Result, WrapErr, bail};
use reqwest::Client;
use tokio_util::sync::CancellationToken;
use wigeongate_api::caller::Accepted;
use wigeongate_config::change::Change;
use wigeongate_config::inventory::Inventory;
use wigeongate_config::key::KeyHash;
use wigeongate_config::load;
use wigeongate_config::rules::Rules;
use wigeongate_config::settings::{MetricsSettings, Operator, Settings};
use wigeongate_core::ids::ZoneId;
use wigeongate_core::job::{JobSpec, JobState, JobStatus, Outcome};
use wigeongate_standin::backend::Backend;
use wigeongate_standin::serve::{ServerHandle, with_port_zero};
use wigeongate_standin::store::Store;
use wigeongate_standin::worker::Worker;

use crate::client::{client, client_trusting};
use crate::gate::Gate;
use crate::tls::{self, Certificates, IssuedCertificate};

/// The operator key of a development gate.
pub const OPERATOR_KEY: &str = "dev-operator";

/// A loopback address on which the operating system chooses a free port.
const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// The timeout of the request that applies the inventory and the rules.
const APPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// How long one status request waits for the job to end, in milliseconds.
const WAIT_MS: u64 = 30_000;

/// What a development gate runs with.
#[derive(Debug, Clone)]
pub struct Options<'a> {
    /// The inventory file.
    pub inventory: &'a Path,
    /// The rules file.
    pub rules: &'a Path,
    /// The key of the team that submits jobs.
    pub key: &'a str,
    /// The statsd server that metrics are sent to.
    pub metrics: Option<SocketAddr>,
}

/// A running development gate with its stand-ins.
pub struct Dev {
    /// The address on which the gate serves callers.
    pub address: SocketAddr,
    /// The authority that signed the gate's certificate, as PEM; `None` if it serves plain HTTP.
    pub authority: Option<String>,
    client: Client,
    stop: CancellationToken,
    gate: tokio::task::JoinHandle<Result<()>>,
    stand_ins: Vec<ServerHandle>,
}

impl Dev {
    /// Starts the gate with plain HTTP, and applies the inventory and the rules.
    ///
    /// Fails if a file is invalid, a part cannot start or the gate refuses the change.
    pub async fn start(options: &Options<'_>) -> Result<Self> {
        Self::start_with(options, None).await
    }

    /// Starts the gate like [`Dev::start`], with TLS and a newly issued certificate.
    ///
    /// Fails as [`Dev::start`] does, and if the certificate cannot be issued.
    pub async fn start_with_tls(options: &Options<'_>) -> Result<Self> {
        let issued = tls::issue(&[&["127.0.0.1", "localhost"]])?;
        Self::start_with(options, issued.into_iter().next()).await
    }

    async fn start_with(options: &Options<'_>, issued: Option<IssuedCertificate>) -> Result<Self> {
        let inventory: Inventory = load::read(options.inventory)?;
        let mut inventory = inventory.on_loopback();
        let rules: Rules = load::read(options.rules)?;
        let store = Store::new().spawn(ANY_PORT).await?;
        let mut settings = Settings {
            listen: ANY_PORT,
            peer: ANY_PORT,
            ..Settings::default()
        };
        settings.bounds.leave_ms = 0;
        settings.metrics = options.metrics.map(|address| MetricsSettings {
            address,
            ..MetricsSettings::default()
        });
        settings.zone = inventory
            .zones()
            .next()
            .map_or_else(ZoneId::default, |(_, zone)| zone.name.clone());
        settings.store.endpoints = vec![format!("http://{}", store.address)];
        settings.operators = vec![Operator {
            name: "dev".to_owned(),
            hash: KeyHash::of(OPERATOR_KEY),
        }];
        let mut stand_ins = start_stand_ins(&mut inventory).await?;
        stand_ins.push(store);
        let certificates = issued.as_ref().map(Certificates::from_issued).transpose()?;
        let gate = Gate::bind_with_certificates(settings, certificates).await?;
        let authority = issued.map(|issued| issued.authority);
        let client = match &authority {
            Some(authority) => client_trusting(authority)?,
            None => client(),
        };
        let address = gate.address()?;
        let stop = CancellationToken::new();
        let gate = tokio::spawn(gate.run(stop.clone()));
        let change = Change::Apply {
            inventory: Some(inventory),
            rules: Some(rules),
        };
        let dev = Self {
            address,
            authority,
            client,
            stop,
            gate,
            stand_ins,
        };
        dev.apply(&change).await?;
        Ok(dev)
    }

    /// Returns the base URL of the gate.
    pub fn url(&self) -> String {
        let scheme = if self.authority.is_some() {
            "https"
        } else {
            "http"
        };
        format!("{scheme}://{}", self.address)
    }

    /// Prints example commands; `authority` is the file that holds the authority's certificate.
    pub fn print_hints(&self, options: &Options<'_>, authority: Option<&Path>) {
        let url = self.url();
        let key = options.key;
        let (curl, ctl) = match authority {
            Some(path) => (
                format!(" --cacert {}", path.display()),
                format!(" --authority {}", path.display()),
            ),
            None => (String::new(), String::new()),
        };
        println!("Listening on {url}\nTry:");
        println!("  curl{curl} -H 'Authorization: Bearer {key}' {url}/v1/jobs");
        println!(
            "  wigeonctl --gate {url}{ctl} --key {key} submit --wait examples/jobs/bundle.yaml"
        );
        println!("  wigeonctl --gate {url}{ctl} --key {OPERATOR_KEY} status");
    }

    /// Stops the gate, then its stand-ins.
    ///
    /// Fails if the gate failed or its task panicked.
    pub async fn stop(self) -> Result<()> {
        self.stop.cancel();
        let result = self.gate.await?;
        drop(self.stand_ins);
        result
    }

    /// Submits a job, waits for its end and returns its outcome.
    ///
    /// Fails if the gate refuses the job, or if a request to the gate fails.
    pub async fn submit(&self, key: &str, spec: &JobSpec) -> Result<Outcome> {
        let jobs = format!("{}/v1/jobs", self.url());
        let response = self
            .client
            .post(&jobs)
            .bearer_auth(key)
            .json(spec)
            .send()
            .await?;
        if !response.status().is_success() {
            bail!("submitting the job: {}", response.text().await?);
        }
        let Accepted { job } = response
            .json()
            .await
            .wrap_err("reading the submitted job's id")?;
        let url = format!("{jobs}/{job}?wait_ms={WAIT_MS}");
        loop {
            let response = self.client.get(&url).bearer_auth(key).send().await?;
            let status: JobStatus = response.json().await.wrap_err("reading the job's status")?;
            if let JobState::Ended(outcome) = status.state {
                return Ok(outcome);
            }
        }
    }

    async fn apply(&self, change: &Change) -> Result<()> {
        let url = format!("{}/v1/operator/changes", self.url());
        let request = self.client.post(url).bearer_auth(OPERATOR_KEY).json(change);
        let response = request.timeout(APPLY_TIMEOUT).send().await?;
        if !response.status().is_success() {
            bail!("applying the inventory: {}", response.text().await?);
        }
        Ok(())
    }
}

/// Starts a worker for each host and a server for each backend server of the inventory.
///
/// The inventory's addresses change to those on which they listen.
async fn start_stand_ins(inventory: &mut Inventory) -> Result<Vec<ServerHandle>> {
    let mut stand_ins = Vec::new();
    for host in &mut inventory.hosts {
        let worker = Worker::new(host.name.clone(), host.capacity());
        let spawned = worker.spawn(with_port_zero(host.address)).await?;
        host.address = spawned.address;
        stand_ins.push(spawned);
    }
    for backend in &mut inventory.backends {
        let server = Backend::new(backend.name.clone(), backend.slots);
        let spawned = server.spawn(with_port_zero(backend.address)).await?;
        backend.address = spawned.address;
        stand_ins.push(spawned);
    }
    Ok(stand_ins)
}
