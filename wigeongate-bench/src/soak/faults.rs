//! What goes wrong during a soak, drawn from the seed.

use std::time::{Duration, Instant};

use eyre::Result;
use rand::RngExt;
use rand::rngs::SmallRng;
use wigeongate_standin::backend::BackendFault;
use wigeongate_standin::store::Fault;

use super::callers::Gates;
use crate::site::Site;

/// The shortest and the longest time between two faults, in milliseconds.
const BETWEEN_MS: std::ops::Range<u64> = 200..700;

/// How long a gate stays away, in milliseconds.
const AWAY_MS: std::ops::Range<u64> = 100..2_000;

/// Injects faults until the time is over, then mends everything; returns what was done.
pub async fn inject(
    site: &mut Site,
    gates: &Gates,
    mut rng: SmallRng,
    until: Instant,
) -> Result<Vec<String>> {
    let mut done = Vec::new();
    while Instant::now() < until {
        let pause = rng.random_range(BETWEEN_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        done.push(one(site, gates, &mut rng).await?);
    }
    for server in &site.servers {
        server.backend.set_fault(BackendFault::default());
        if let Some(relay) = &server.relay {
            relay.set_refusing(false);
        }
    }
    site.store.set_fault(Fault::default());
    Ok(done)
}

async fn one(site: &mut Site, gates: &Gates, rng: &mut SmallRng) -> Result<String> {
    let place = rng.random_range(0..site.servers.len());
    let server = &site.servers[place];
    match rng.random_range(0..10) {
        0..4 => {
            let fault = backend_fault(rng);
            server.backend.set_fault(fault.clone());
            Ok(format!("server {place}: {fault:?}"))
        }
        4 | 5 => {
            if let Some(relay) = &server.relay {
                relay.stall_connections();
            }
            Ok(format!("server {place}: open connections silent"))
        }
        6 => {
            let refuse = rng.random_bool(0.5);
            if let Some(relay) = &server.relay {
                relay.set_refusing(refuse);
            }
            Ok(format!("server {place}: refuses connections: {refuse}"))
        }
        7 => {
            let fault = Fault {
                down: rng.random_bool(0.4),
                delay_ms: rng.random_range(0..30),
                lose_every: rng.random_range(0..4),
            };
            site.store.set_fault(fault.clone());
            Ok(format!("store: {fault:?}"))
        }
        8 => {
            site.store.set_fault(Fault::default());
            Ok("store: mended".to_owned())
        }
        _ => gate(site, gates, rng).await,
    }
}

/// Ends a gate and starts it again.
async fn gate(site: &mut Site, gates: &Gates, rng: &mut SmallRng) -> Result<String> {
    let place = rng.random_range(0..site.gates.len());
    let away = Duration::from_millis(rng.random_range(AWAY_MS));
    let graceful = rng.random_bool(0.5);
    if graceful {
        site.stop_gate(place).await?;
    } else {
        site.kill(place);
    }
    tokio::time::sleep(away).await;
    site.restart(place).await?;
    gates.set(place, site.gates[place].address);
    let how = if graceful { "stopped" } else { "killed" };
    Ok(format!("gate {place}: {how}, away for {away:?}"))
}

fn backend_fault(rng: &mut SmallRng) -> BackendFault {
    let every = rng.random_range(2..8);
    let fault = BackendFault::default();
    match rng.random_range(0..6) {
        0 => BackendFault {
            cross_every: every,
            ..fault
        },
        1 => BackendFault {
            cut_every: every,
            ..fault
        },
        2 => BackendFault {
            lose_every: every,
            ..fault
        },
        3 => BackendFault {
            delay_ms: rng.random_range(0..300),
            ..fault
        },
        4 => BackendFault {
            refuse: true,
            ..fault
        },
        _ => fault,
    }
}
