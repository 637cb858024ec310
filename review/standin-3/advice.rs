//! A process of the advice service, as PROTOCOL.md tells it: one call at a time, and every worker that
//! is named may run the step.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::wire::{Json, map, num, serve, text};

pub const DECIDE_MS: u64 = 20;
pub const EACH_MS: u64 = 1;
pub const VALID_MS: u64 = 2_000;

/// Serves until the process is ended.
pub fn run(address: SocketAddr) {
    let listener = TcpListener::bind(address).expect("the address of the advice service is free");
    let turn = Mutex::new(());
    let answer = move |request: crate::wire::Request| {
        let workers = request.body.get("workers").list();
        let _turn = turn.lock().unwrap();
        std::thread::sleep(Duration::from_millis(
            DECIDE_MS + EACH_MS * workers.len() as u64,
        ));
        let step = request.body.get("step").text();
        let good = workers.iter().map(|worker| {
            let ticket = text(&format!("{step}-{}", worker.text()));
            Json::List(vec![worker.clone(), ticket])
        });
        let good = Json::List(good.collect());
        (200, map(&[("good", good), ("valid_ms", num(VALID_MS))]))
    };
    serve(listener, Arc::new(answer));
}
