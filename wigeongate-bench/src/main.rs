//! Benchmarks of wigeongate; each prints one last line of JSON.

// Figures are printed with a few digits, so the conversions to and from floats lose nothing that
// is shown.
#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]

mod baseline;
mod cli;
mod config;
mod control;
mod decide;
mod faults;
mod fleet;
mod members;
mod outage;
mod overload;
mod pack;
mod path;
mod restore;
mod serve_soak;
mod share;
mod sim;
mod site;
mod soak;
mod takeover;
mod wait;
mod waiting;
mod zone;

use eyre::Result;

use crate::cli::Command;

fn main() -> Result<()> {
    match cli::parse() {
        Command::Control(options) => control::run(&options),
        Command::Decide(options) => decide::run(&options),
        Command::Pack(options) => pack::run(&options),
        Command::Share(options) => share::run(&options),
        Command::Wait(options) => wait::run(&options),
        Command::Zone(options) => zone::run(&options),
        Command::Faults(options) => faults::run(&options),
        Command::Path(options) => path::run(&options),
        Command::Overload(options) => overload::run(&options),
        Command::Soak(options) => soak::run(&options),
        Command::ServeSoak(options) => serve_soak::run(&options),
        Command::ServeSoakStore(options) => serve_soak::store::run(&options),
        Command::ServeSoakExecutor(options) => serve_soak::executor::run(&options),
        Command::Config(options) => config::run(&options),
        Command::Takeover(options) => takeover::run(&options),
        Command::Outage(options) => outage::run(&options),
        Command::Restore(options) => restore::run(&options),
        Command::Waiting(options) => waiting::run(&options),
    }
}
