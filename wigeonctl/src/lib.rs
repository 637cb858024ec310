//! Command-line client of wigeongate for operators and teams that submit jobs.

pub mod cli;
pub mod client;
pub mod commands;
pub mod diff;
pub mod error;
pub mod output;
pub mod progress;
pub mod settings;
