//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Args, Bpaf, ParseFailure};

use crate::logs::Format;

/// The width of help texts and error messages, in columns.
const COLUMNS: usize = 100;

/// The exit status after an invalid command line or an invalid settings file.
pub const USAGE: u8 = 2;

/// The exit status if the gate could not start or failed while running.
pub const FAILED: u8 = 3;

/// The end of the help text: exit statuses, signals and the environment.
const FOOTER: &str = "Exit status: 0 success; 1 a file is invalid, or the job did not succeed; 2 \
    invalid command line or settings; 3 the gate could not start or failed. SIGTERM and SIGINT \
    start a graceful shutdown. SIGHUP reloads the certificates. The environment variable RUST_LOG \
    sets the log filter.";

/// One gate of the wigeongate cluster scheduler.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, footer(FOOTER))]
pub struct Options {
    /// The format of log lines: text or json.
    #[bpaf(argument("FORMAT"), fallback(Format::Text), display_fallback)]
    pub log_format: Format,
    /// The command to run.
    #[bpaf(external)]
    pub command: Command,
}

/// A command of the daemon.
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Run one gate.
    #[bpaf(command)]
    Run {
        /// The settings file.
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Run one gate on an entry host of a platform.
    #[bpaf(command)]
    Serve {
        /// The settings file.
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Check inventory, rules, settings and job files, and the rules against the inventory.
    #[bpaf(command)]
    Check {
        /// The files to check.
        #[bpaf(positional("FILE"), some("at least one file is needed"))]
        files: Vec<PathBuf>,
    },
    /// Run one gate with embedded stand-ins, on loopback.
    #[bpaf(command)]
    Dev(#[bpaf(external(dev))] Dev),
}

/// Options of the development gate.
#[derive(Debug, Clone, Bpaf)]
pub struct Dev {
    /// The job file to submit; the exit status tells whether the job succeeded.
    #[bpaf(argument("FILE"), optional)]
    pub job: Option<PathBuf>,
    /// The inventory file.
    #[bpaf(
        argument("FILE"),
        fallback(PathBuf::from("examples/smakrav/inventory.yaml"))
    )]
    pub inventory: PathBuf,
    /// The rules file.
    #[bpaf(
        argument("FILE"),
        fallback(PathBuf::from("examples/smakrav/rules.yaml"))
    )]
    pub rules: PathBuf,
    /// The key of the team that submits the job.
    #[bpaf(argument("KEY"), fallback("example-key-hovedkontor".to_owned()))]
    pub key: String,
    /// The statsd server that metrics are sent to.
    #[bpaf(argument("ADDRESS"), optional)]
    pub metrics: Option<SocketAddr>,
    /// Serve plain HTTP instead of TLS with a certificate that is issued at startup.
    #[bpaf(long("plain"))]
    pub plain: bool,
    /// The file to write the certificate of the authority to, which callers have to trust; by
    /// default a file in the directory for temporary files.
    #[bpaf(
        argument("FILE"),
        fallback(std::env::temp_dir().join("wigeongate-dev-authority.pem"))
    )]
    pub authority: PathBuf,
}

/// Parses the command line.
///
/// After printing help or an error message it returns the process's exit status as the error.
pub fn parse() -> Result<Options, ExitCode> {
    options()
        .run_inner(Args::current_args())
        .map_err(|failure| {
            failure.print_message(COLUMNS);
            match failure {
                ParseFailure::Stderr(_) => ExitCode::from(USAGE),
                ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
            }
        })
}
