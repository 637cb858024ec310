//! Command-line client of wigeongate for operators and teams that submit jobs.

use std::process::ExitCode;

use wigeonctl::error::CtlError;
use wigeonctl::{cli, commands};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let options = match cli::parse() {
        Ok(options) => options,
        Err(code) => return code,
    };
    match commands::run(options).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report(&error),
    }
}

fn report(error: &CtlError) -> ExitCode {
    eprintln!("wigeonctl: {error}");
    error.exit_code()
}
