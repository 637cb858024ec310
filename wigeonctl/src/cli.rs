//! Command-line options and their parser.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Args, Bpaf, ParseFailure};
use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};
use wigeongate_core::ids::JobId;

use crate::error::USAGE;

/// The width at which help and messages wrap, in columns.
const COLUMNS: usize = 100;

/// The end of the help text: exit statuses and environment variables.
const FOOTER: &str = "Exit status: 0 done; 1 refused, or the job did not succeed; 2 wrong command \
    line or settings; 3 no gate answers, nothing was done; 4 the outcome is unknown; 5 another \
    change came first; 6 the wait timed out. The environment variable WIGEONCTL_KEY holds the key \
    of the operator or team; NO_COLOR disables colors and bold text.";

/// Command-line client of wigeongate for operators and teams that submit jobs.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, footer(FOOTER))]
pub struct Options {
    /// Gate addresses, credentials and output format.
    #[bpaf(external)]
    pub access: Access,
    /// The command to run.
    #[bpaf(external)]
    pub command: Command,
}

/// General options.
#[derive(Debug, Clone, Default, Bpaf)]
pub struct Access {
    /// The base URL of a gate; may be repeated, and gates are tried in order until one answers.
    #[bpaf(long("gate"), argument("URL"), many)]
    pub gates: Vec<String>,
    /// The key of the operator or team; prefer the environment variable `WIGEONCTL_KEY`.
    #[bpaf(argument("KEY"), optional)]
    pub key: Option<String>,
    /// The certificate authority of the gates, as a PEM file.
    #[bpaf(argument("FILE"), optional)]
    pub authority: Option<PathBuf>,
    /// The settings file of this tool; defaults to `~/.config/wigeonctl.yaml`.
    #[bpaf(argument("FILE"), optional)]
    pub config: Option<PathBuf>,
    /// The format of results: table or json.
    #[bpaf(argument("FORMAT"), optional)]
    pub output: Option<Output>,
}

/// The format of results.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, FromStr, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Output {
    /// Text in aligned columns.
    #[default]
    #[display("table")]
    Table,
    /// Indented JSON.
    #[display("json")]
    Json,
}

/// Commands.
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Replace the inventory, the rules or both, and show the differences first.
    #[bpaf(command)]
    Apply {
        /// The revision that must be in force; the change is refused if it is another one.
        #[bpaf(argument("REVISION"), optional)]
        expected: Option<u64>,
        /// Wait until the change is in force everywhere.
        #[bpaf(long("wait"))]
        wait: bool,
        /// The files to read.
        #[bpaf(positional("FILE"), some("at least one file is needed"))]
        files: Vec<PathBuf>,
    },
    /// Show the differences that applying the files would make.
    #[bpaf(command)]
    Diff {
        /// The files to read.
        #[bpaf(positional("FILE"), some("at least one file is needed"))]
        files: Vec<PathBuf>,
    },
    /// Print the configuration in force, or a part of it.
    #[bpaf(command)]
    Get {
        /// The part to print: inventory, rules or configuration.
        #[bpaf(positional("WHAT"))]
        what: Part,
    },
    /// Check files with an inventory, rules, settings or jobs without contacting a gate.
    #[bpaf(command)]
    Validate {
        /// The files to read.
        #[bpaf(positional("FILE"), some("at least one file is needed"))]
        files: Vec<PathBuf>,
    },
    /// Grant, withdraw, list and generate the keys of teams.
    #[bpaf(command)]
    Key(#[bpaf(external(key_command))] KeyCommand),
    /// Take an availability zone out of service or return it to service.
    #[bpaf(command)]
    Zone(#[bpaf(external(zone_command))] ZoneCommand),
    /// Pause all automatic actions until they are resumed.
    #[bpaf(command)]
    Pause {
        /// Options of the change.
        #[bpaf(external)]
        how: ChangeOptions,
    },
    /// Resume automatic actions.
    #[bpaf(command)]
    Resume {
        /// Options of the change.
        #[bpaf(external)]
        how: ChangeOptions,
    },
    /// List the automatic actions that the pause holds back.
    #[bpaf(command)]
    Held,
    /// Submit a job; this needs the key of a team.
    #[bpaf(command)]
    Submit {
        /// Wait for the job to end; the exit status is 0 if it succeeded.
        #[bpaf(long("wait"))]
        wait: bool,
        /// The file with the job.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// List the jobs of the key's team.
    #[bpaf(command)]
    Jobs,
    /// Show a job, or without an argument the gates and the revision of the configuration.
    #[bpaf(command)]
    Status {
        /// The identifier of the job.
        #[bpaf(positional("JOB"), optional)]
        job: Option<JobId>,
    },
    /// Cancel a job.
    #[bpaf(command)]
    Cancel {
        /// The identifier of the job.
        #[bpaf(positional("JOB"))]
        job: JobId,
    },
    /// Wait for a job to end; the exit status is 0 if it succeeded.
    #[bpaf(command)]
    Wait {
        /// The maximum time to wait, in seconds; without it the wait has no limit.
        #[bpaf(argument("SECONDS"), optional)]
        timeout: Option<u64>,
        /// The identifier of the job.
        #[bpaf(positional("JOB"))]
        job: JobId,
    },
    /// Show the share, the limit, and the running and queued work of each team.
    #[bpaf(command)]
    Top,
}

/// A part of the configuration that can be printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr)]
pub enum Part {
    /// The inventory.
    Inventory,
    /// The rules.
    Rules,
    /// The whole configuration with its revision.
    Configuration,
}

/// Options of a change.
#[derive(Debug, Clone, Copy, Default, Bpaf)]
#[bpaf(generate(how))]
pub struct ChangeOptions {
    /// The revision that must be in force; the change is refused if it is another one.
    #[bpaf(argument("REVISION"), optional)]
    pub expected: Option<u64>,
    /// Wait until the change is in force everywhere.
    #[bpaf(long("wait"))]
    pub wait: bool,
}

/// Key commands.
#[derive(Debug, Clone, Bpaf)]
pub enum KeyCommand {
    /// Generate a random key for a team, print it once and send only its hash to the gate.
    #[bpaf(command)]
    Grant {
        /// Options of the change.
        #[bpaf(external)]
        how: ChangeOptions,
        /// The name of the key, which identifies it when it is withdrawn.
        #[bpaf(positional("NAME"))]
        name: String,
        /// The team that the key belongs to.
        #[bpaf(positional("TEAM"))]
        team: String,
    },
    /// Withdraw a key.
    #[bpaf(command)]
    Withdraw {
        /// Options of the change.
        #[bpaf(external)]
        how: ChangeOptions,
        /// The name of the key.
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// List the names, teams and hashes of the keys.
    #[bpaf(command)]
    List,
    /// Generate a random key and print it with its hash, for the settings of a gate.
    #[bpaf(command)]
    Draw,
}

/// Availability zone commands.
#[derive(Debug, Clone, Bpaf)]
pub enum ZoneCommand {
    /// Take an availability zone out of service, so that no task starts in it.
    #[bpaf(command)]
    Out {
        /// Options of the change.
        #[bpaf(external)]
        how: ChangeOptions,
        /// The availability zone.
        #[bpaf(positional("ZONE"))]
        zone: String,
    },
    /// Return an availability zone to service.
    #[bpaf(command)]
    In {
        /// Options of the change.
        #[bpaf(external)]
        how: ChangeOptions,
        /// The availability zone.
        #[bpaf(positional("ZONE"))]
        zone: String,
    },
}

/// Parses the command line. Prints the help or the error message and returns the exit status as
/// the error if there is no command to run.
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
