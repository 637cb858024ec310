//! Decision logic of the wigeongate scheduler.
//!
//! Nothing here reads a clock, a socket or a file. Each module takes events and the current time,
//! and returns actions; the same seed and the same events give the same actions.

pub mod admission;
pub mod class;
pub mod collections;
mod fair;
pub mod gang;
pub mod host_speeds;
pub mod ids;
pub mod job;
pub mod journal;
pub mod outlook;
pub mod ownership;
pub mod placement_router;
pub mod policy;
pub mod resources;
pub mod retry;
pub mod routing;
pub mod run_times;
pub mod scheduler;
pub mod slices;
pub mod team_shares;
pub mod time;
pub mod urgent_room;
pub mod workflow;
