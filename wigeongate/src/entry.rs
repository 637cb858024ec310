//! A gate on an entry host.
//!
//! Every gate accepts jobs and serves callers. One gate at a time is also the owner: it places
//! tasks on hosts and orders executors to start and stop them.

mod accept;
mod admission;
mod advice;
mod archive;
mod callers;
mod checkpoint;
mod configuration;
mod contact_ages;
mod deferred;
mod forecasts;
mod hosts;
mod job_watch;
mod launch;
mod listen;
mod log;
mod lost_takeovers;
mod metrics;
mod owner;
mod owner_event;
mod ownership;
pub mod peers;
mod ready;
pub mod records;
mod refusals;
mod registry;
pub mod restore;
pub mod restore_progress;
mod room;
mod run_times;
mod share_report;
pub mod shared;
mod speeds;
mod stored_head;
mod stored_job;
mod sweep;
pub mod turns;
mod waits;

pub use launch::run;
