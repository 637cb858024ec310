//! The wigeongate daemon.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use eyre::{Result, WrapErr};
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;
use tracing::info;
use wigeongate::cli::{self, Command};
use wigeongate::dev::{self, Dev};
use wigeongate::gate::Gate;
use wigeongate::logs::{self, Stream};
use wigeongate_config::entry::EntrySettings;
use wigeongate_config::load::{self, Diagnostics};
use wigeongate_config::settings::Settings;
use wigeongate_core::job::{JobSpec, Outcome};

fn main() -> ExitCode {
    let options = match cli::parse() {
        Ok(options) => options,
        Err(code) => return code,
    };
    let stream = match options.command {
        Command::Dev(_) => Stream::Error,
        _ => Stream::Output,
    };
    let _logs = logs::init(options.log_format, stream);
    let result = match options.command {
        Command::Check { files } => return check(&files),
        // An entry host has a quarter of a core, so one thread serves everything.
        Command::Serve { settings } => block_on(Builder::new_current_thread(), serve(&settings)),
        Command::Run { settings } => block_on(Builder::new_multi_thread(), run(&settings)),
        Command::Dev(dev) => block_on(Builder::new_multi_thread(), run_dev(&dev)),
    };
    result.unwrap_or_else(|error| {
        eprintln!("wigeongate: {error:#}");
        let code = if error.is::<Diagnostics>() {
            cli::USAGE
        } else {
            cli::FAILED
        };
        ExitCode::from(code)
    })
}

/// Runs a command to its end on a runtime of its own.
fn block_on(
    mut builder: Builder,
    command: impl Future<Output = Result<ExitCode>>,
) -> Result<ExitCode> {
    builder.enable_all().build()?.block_on(command)
}

/// Prints the kind of each file, or every mistake if one of the files is invalid.
fn check(files: &[PathBuf]) -> ExitCode {
    match load::check_files(files) {
        Ok(documents) => {
            for (file, document) in files.iter().zip(documents) {
                println!("{}: right ({document})", file.display());
            }
            ExitCode::SUCCESS
        }
        Err(mistakes) => {
            eprintln!("{mistakes}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a gate until a signal stops it.
async fn run(path: &Path) -> Result<ExitCode> {
    let settings: Settings = load::read(path)?;
    let stop = stop_on_signal()?;
    let gate = Gate::bind(settings).await?;
    gate.run(stop).await?;
    Ok(ExitCode::SUCCESS)
}

/// Runs a gate on an entry host until a signal stops it.
async fn serve(path: &Path) -> Result<ExitCode> {
    let settings: EntrySettings = load::read(path)?;
    let stop = stop_on_signal()?;
    wigeongate::entry::run(settings, stop).await?;
    Ok(ExitCode::SUCCESS)
}

/// Runs a development gate until a signal stops it, or until its job has ended.
async fn run_dev(command: &cli::Dev) -> Result<ExitCode> {
    let options = dev::Options {
        inventory: &command.inventory,
        rules: &command.rules,
        key: &command.key,
        metrics: command.metrics,
    };
    if let Some(job) = &command.job {
        return run_job(command, &options, job).await;
    }
    let stop = stop_on_signal()?;
    let dev = start_dev(command, &options).await?;
    let authority = match &dev.authority {
        Some(pem) => {
            let path = command.authority.as_path();
            std::fs::write(path, pem)
                .wrap_err_with(|| format!("writing the authority to {}", path.display()))?;
            Some(path)
        }
        None => None,
    };
    dev.print_hints(&options, authority);
    stop.cancelled().await;
    dev.stop().await?;
    Ok(ExitCode::SUCCESS)
}

async fn start_dev(command: &cli::Dev, options: &dev::Options<'_>) -> Result<Dev> {
    if command.plain {
        Dev::start(options).await
    } else {
        Dev::start_with_tls(options).await
    }
}

/// Submits a job to a new development gate and prints the job's outcome.
async fn run_job(command: &cli::Dev, options: &dev::Options<'_>, job: &Path) -> Result<ExitCode> {
    let spec: JobSpec = load::read(job)?;
    let dev = start_dev(command, options).await?;
    let outcome = dev.submit(options.key, &spec).await?;
    println!("{outcome}");
    dev.stop().await?;
    Ok(if outcome == Outcome::Succeeded {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Returns a token that is cancelled on SIGTERM or SIGINT.
///
/// SIGHUP is only logged here, which keeps it from ending the process; certificates are reloaded
/// by a handler of their own.
fn stop_on_signal() -> Result<CancellationToken> {
    let stop = CancellationToken::new();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let token = stop.clone();
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hangup.recv() => info!(
                    "gate: received SIGHUP; settings are read only at startup."
                ),
            }
        }
        info!("gate: stopping.");
        token.cancel();
    });
    Ok(stop)
}
