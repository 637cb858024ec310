//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Args, Bpaf, ParseFailure};

use crate::logs::Format;

/// The width of messages, in columns.
const COLUMNS: usize = 100;

/// The exit status after a wrong command line or a wrong settings file.
pub const USAGE: u8 = 2;

/// The exit status when the gate could not start or failed.
pub const FAILED: u8 = 3;

/// What the help says of exit statuses and signals.
const FOOTER: &str = "Exit status: 0 done; 1 a file is wrong, or the job did not succeed; 2 wrong \
    command line or settings; 3 the gate could not start or failed. SIGTERM and an interrupt \
    begin a graceful shutdown. SIGHUP reads the certificates again. The environment variable \
    RUST_LOG sets which log lines are written.";

/// One gate of the wigeongate cluster scheduler.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, footer(FOOTER))]
pub struct Options {
    /// How log lines are written: text or json.
    #[bpaf(argument("FORMAT"), fallback(Format::Text), display_fallback)]
    pub log_format: Format,
    /// What to do.
    #[bpaf(external)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Run one gate.
    #[bpaf(command)]
    Run {
        /// The settings.
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Run one gate on an entry host of a platform.
    #[bpaf(command)]
    Serve {
        /// The settings.
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Check files: inventory, rules, settings and jobs, the rules against the inventory.
    #[bpaf(command)]
    Check {
        /// The files.
        #[bpaf(positional("FILE"), some("at least one file is needed"))]
        files: Vec<PathBuf>,
    },
    /// Run one gate with embedded stand-ins, on loopback.
    #[bpaf(command)]
    Dev(#[bpaf(external(dev))] Dev),
}

/// What to try out.
#[derive(Debug, Clone, Bpaf)]
pub struct Dev {
    /// A job to submit; the exit status tells how it ended.
    #[bpaf(argument("FILE"), optional)]
    pub job: Option<PathBuf>,
    /// The inventory.
    #[bpaf(
        argument("FILE"),
        fallback(PathBuf::from("examples/smakrav/inventory.yaml"))
    )]
    pub inventory: PathBuf,
    /// The rules.
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
    /// Speak plain HTTP instead of TLS with a certificate that is made at the start.
    #[bpaf(long("plain"))]
    pub plain: bool,
    /// Where to write the certificate of the authority that callers have to trust; below the
    /// directory for temporary files when left out.
    #[bpaf(
        argument("FILE"),
        fallback(std::env::temp_dir().join("wigeongate-dev-authority.pem"))
    )]
    pub authority: PathBuf,
}

/// Reads the command line; the error is the exit status after help or a message was printed.
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
