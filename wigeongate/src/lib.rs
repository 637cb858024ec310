//! The wigeongate daemon.
//!
//! Connects the decision logic of `wigeongate-core` to sockets, files and timers.

pub mod backend;
pub mod cli;
pub mod client;
pub mod clock;
pub mod cluster;
pub mod connection_budget;
pub mod dev;
pub mod entry;
pub mod etcd;
pub mod gate;
pub mod guarded_body;
pub mod guarded_stream;
pub mod http;
pub mod jobs;
pub mod link;
pub mod live;
pub mod logs;
pub mod members;
pub mod message;
pub mod metrics;
pub mod owner;
pub mod peers;
pub mod requests;
pub mod serve;
pub mod slices;
pub mod store;
pub mod tls;
pub mod worker;
