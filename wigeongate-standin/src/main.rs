//! Runs the stand-ins for the platform's services as separate processes.

mod cli;

use std::net::SocketAddr;
use std::path::Path;

use eyre::Result;
use wigeongate_config::inventory::Inventory;
use wigeongate_standin::backend::Backend;
use wigeongate_standin::hosts::Hosts;
use wigeongate_standin::serve::{ServerHandle, with_port_zero};
use wigeongate_standin::store::Store;
use wigeongate_standin::worker::Worker;

use crate::cli::Command;

#[tokio::main]
async fn main() -> Result<()> {
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .init();
    match cli::parse() {
        Command::Store { listen } => store(listen).await,
        Command::Hosts { listen } => hosts(listen).await,
        Command::Workers {
            inventory,
            only,
            any_port,
        } => workers(&inventory, &only, any_port).await,
        Command::Backends {
            inventory,
            only,
            any_port,
        } => backends(&inventory, &only, any_port).await,
    }
}

async fn store(listen: SocketAddr) -> Result<()> {
    let store = Store::new();
    let handle = store.spawn(listen).await?;
    println!("store: listens on {}", handle.address);
    wait_forever().await
}

async fn hosts(listen: SocketAddr) -> Result<()> {
    let hosts = Hosts::new();
    let handle = hosts.spawn(listen).await?;
    println!("hosts: listens on {}", handle.address);
    wait_forever().await
}

async fn workers(path: &Path, only: &[String], any_port: bool) -> Result<()> {
    let inventory: Inventory = wigeongate_config::load::read(path)?;
    let mut handles: Vec<ServerHandle> = Vec::new();
    for host in inventory.on_loopback().hosts {
        if is_selected(host.name.as_str(), only) {
            let worker = Worker::new(host.name.clone(), host.capacity());
            let handle = worker.spawn(listen_address(host.address, any_port)).await?;
            println!("worker {}: listens on {}", host.name, handle.address);
            handles.push(handle);
        }
    }
    wait_forever().await
}

async fn backends(path: &Path, only: &[String], any_port: bool) -> Result<()> {
    let inventory: Inventory = wigeongate_config::load::read(path)?;
    let mut handles: Vec<ServerHandle> = Vec::new();
    for backend in inventory.on_loopback().backends {
        if is_selected(backend.name.as_str(), only) {
            let server = Backend::new(backend.name.clone(), backend.slots);
            let handle = server
                .spawn(listen_address(backend.address, any_port))
                .await?;
            println!("backend {}: listens on {}", backend.name, handle.address);
            handles.push(handle);
        }
    }
    wait_forever().await
}

/// Returns the address to listen on: with port zero if any free port will do.
fn listen_address(address: SocketAddr, any_port: bool) -> SocketAddr {
    if any_port {
        with_port_zero(address)
    } else {
        address
    }
}

/// Returns whether `only` contains the name; an empty list selects all.
fn is_selected(name: &str, only: &[String]) -> bool {
    only.is_empty() || only.iter().any(|wanted| wanted == name)
}

async fn wait_forever() -> Result<()> {
    std::future::pending::<()>().await;
    Ok(())
}
