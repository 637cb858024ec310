//! In-memory stand-ins for the platform services that wigeongate depends on.
//!
//! Each one implements the published protocol described in docs/PLATFORM.md and keeps its state in
//! memory.

pub mod backend;
pub mod history;
pub mod hosts;
pub mod relay;
pub mod serve;
pub mod store;
pub mod worker;
