//! A gate on an entry host of the users' platform.
//!
//! Each gate takes jobs and answers callers. One at a time is also the owner, which decides what
//! runs where and orders it.

mod accept;
mod advice;
mod callers;
mod cleanup;
mod configuration;
mod hosts;
mod job_watch;
mod launch;
mod listen;
mod log;
mod metrics;
mod owner;
mod ownership;
mod peers;
mod ready;
mod records;
mod registry;
mod shared;

pub use launch::run;
