//! One gate as a process, with its store and workers in this one.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use eyre::{Result, WrapErr, bail, eyre};
use serde::Serialize;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::sleep;
use wigeongate::client::client;
use wigeongate_api::caller::Accepted;
use wigeongate_config::change::Change;
use wigeongate_config::inventory::{Host, Inventory, Key, Region, Team, Zone};
use wigeongate_config::key::KeyHash;
use wigeongate_config::rules::{Placement, Queue, Rules};
use wigeongate_config::settings::{Operator, Settings};
use wigeongate_core::job::{JobSpec, JobStatus, Kind};
use wigeongate_core::resources::Resources;
use wigeongate_standin::serve::ServerHandle;
use wigeongate_standin::store::Store;
use wigeongate_standin::worker::Worker;

use super::counted::{Counts, relay};

/// The key that operators and callers show.
const KEY: &str = "bench-key";

/// Where everything listens, on a free port.
const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Hosts to a rack.
const RACK: u32 = 8;

/// The most tasks of one job.
const JOB_TASKS: u32 = 500;

/// How long running tasks run, in milliseconds.
const LONG: u64 = 86_400_000;

/// How often a condition is looked at, and how often at most.
const POLL: Duration = Duration::from_millis(100);
const POLLS: usize = 600;

/// How big the site is.
#[derive(Debug, Clone, Copy)]
pub struct SiteSettings {
    /// Workers.
    pub workers: u32,
    /// Tasks that they have to hold.
    pub tasks: u32,
}

/// One gate as a process, with its store and workers in this one.
pub struct Site {
    gate: Child,
    address: SocketAddr,
    workers: Arc<Counts>,
    store: Arc<Counts>,
    settings: PathBuf,
    _running: Vec<ServerHandle>,
}

impl Drop for Site {
    fn drop(&mut self) {
        // A file that stays behind does no harm.
        let _ = std::fs::remove_file(&self.settings);
    }
}

impl Site {
    /// Starts the site and waits until the gate accepts its inventory.
    pub async fn start(settings: &SiteSettings) -> Result<Self> {
        let (workers, store) = (Arc::<Counts>::default(), Arc::<Counts>::default());
        let stand_in = Store::new().spawn(ANY).await?;
        let endpoint = relay(stand_in.address, store.clone()).await?;
        let mut running = vec![stand_in];
        let mut inventory = inventory(*settings);
        for host in &mut inventory.hosts {
            let worker = Worker::new(host.name.clone(), host.capacity());
            let spawned = worker.spawn(ANY).await?;
            host.address = relay(spawned.address, workers.clone()).await?;
            running.push(spawned);
        }
        let path = write_settings(endpoint)?;
        let (gate, address) = start_gate(&path).await?;
        let site = Self {
            gate,
            address,
            workers,
            store,
            settings: path,
            _running: running,
        };
        let change = Change::Apply {
            inventory: Some(inventory),
            rules: Some(rules()),
        };
        site.post("operator/changes", &change).await?;
        Ok(site)
    }

    /// Returns the process identifier of the gate.
    pub fn process(&self) -> u32 {
        self.gate.id().unwrap_or_default()
    }

    /// Returns whether the gate runs.
    pub fn alive(&self) -> bool {
        self.gate.id().is_some()
    }

    /// Returns the bytes between the gate, its workers and the store so far.
    pub fn bytes(&self) -> u64 {
        let bytes = |counts: &Counts| counts.bytes.load(Ordering::Relaxed);
        bytes(&self.workers) + bytes(&self.store)
    }

    /// Returns the calls of the store so far.
    pub fn store_calls(&self) -> u64 {
        self.store.calls.load(Ordering::Relaxed)
    }

    /// Starts `tasks` tasks that run on and waits until they do.
    pub async fn fill(&self, tasks: u32) -> Result<()> {
        let mut left = tasks;
        let mut last = None;
        while left > 0 {
            let count = left.min(JOB_TASKS);
            last = Some((self.submit(count, LONG).await?, count));
            left -= count;
        }
        let Some((job, count)) = last else {
            return Ok(());
        };
        for _ in 0..POLLS {
            if self.running(&job).await? == count {
                return Ok(());
            }
            sleep(POLL).await;
        }
        bail!("the tasks do not run")
    }

    /// Submits a job of tasks that each run for some milliseconds.
    pub async fn submit(&self, tasks: u32, ms: u64) -> Result<Accepted> {
        let spec = JobSpec {
            queue: "work".into(),
            tasks,
            size: Resources {
                cpu: 100,
                memory: 100,
                accelerators: 0,
            },
            command: vec!["sleep".to_owned(), ms.to_string()],
            ..JobSpec::default()
        };
        Ok(self.post("jobs", &spec).await?.json().await?)
    }

    async fn running(&self, job: &Accepted) -> Result<u32> {
        let url = format!("http://{}/v1/jobs/{}", self.address, job.job);
        let response = client().get(url).bearer_auth(KEY).send().await?;
        let status: JobStatus = response.error_for_status()?.json().await?;
        Ok(status.running)
    }

    async fn post(&self, path: &str, body: &impl Serialize) -> Result<reqwest::Response> {
        let url = format!("http://{}/v1/{path}", self.address);
        for _ in 0..POLLS {
            let request = client().post(&url).bearer_auth(KEY).json(body);
            match request.send().await {
                Ok(response) if response.status().is_success() => return Ok(response),
                Ok(response) if response.status().is_client_error() => {
                    bail!("{path}: {}", response.text().await?)
                }
                _ => sleep(POLL).await,
            }
        }
        bail!("{path}: the gate does not take it")
    }
}

async fn start_gate(settings: &PathBuf) -> Result<(Child, SocketAddr)> {
    let program = std::env::current_exe()?.with_file_name("wigeongate");
    let mut gate = Command::new(&program)
        .args(["run", "--settings"])
        .arg(settings)
        .env("NO_COLOR", "1")
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .wrap_err_with(|| format!("starting {}", program.display()))?;
    let stdout = gate.stdout.take().ok_or_else(|| eyre!("reading its log"))?;
    let mut lines = BufReader::new(stdout).lines();
    while let Some(line) = lines.next_line().await? {
        let found = line.split("listens on ").nth(1);
        let found = found.and_then(|rest| rest.trim_end_matches('.').parse().ok());
        if let Some(address) = found {
            tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
            return Ok((gate, address));
        }
        eprintln!("{line}");
    }
    bail!("the gate has ended")
}

fn write_settings(store: SocketAddr) -> Result<PathBuf> {
    let mut settings = Settings {
        listen: ANY,
        peer: ANY,
        operators: vec![Operator {
            name: "bench".to_owned(),
            hash: KeyHash::of(KEY),
        }],
        ..Settings::default()
    };
    settings.store.endpoints = vec![format!("http://{store}")];
    settings.zone = "z1".into();
    let path = std::env::temp_dir().join(format!("wigeongate-bench-{}.yaml", std::process::id()));
    std::fs::write(&path, serde_json::to_string(&settings)?)?;
    Ok(path)
}

fn inventory(settings: SiteSettings) -> Inventory {
    let cores = u64::from(settings.tasks / settings.workers.max(1) + 10);
    let host = |number: u32| Host {
        name: format!("w{number}").into(),
        zone: "z1".into(),
        rack: format!("r{}", number / RACK).into(),
        address: ANY,
        cores,
        memory_gib: cores,
        accelerators: 0,
    };
    Inventory {
        regions: vec![Region {
            name: "r".into(),
            zones: vec![Zone {
                name: "z1".into(),
                network: "127.0.0.0/8".parse().unwrap_or_default(),
            }],
        }],
        hosts: (0..settings.workers).map(host).collect(),
        teams: vec![Team {
            name: "t".into(),
            share: 1,
            limit: wigeongate_config::inventory::Limit::default(),
        }],
        keys: vec![Key {
            name: "k".to_owned(),
            team: "t".into(),
            hash: KeyHash::of(KEY),
        }],
        ..Inventory::default()
    }
}

fn rules() -> Rules {
    Rules {
        queues: vec![Queue {
            name: "work".into(),
            kind: Kind::Batch,
            ..Queue::default()
        }],
        placement: Placement {
            pools: 1,
            lanes: 1,
            journals: 1,
            ..Placement::default()
        },
    }
}
