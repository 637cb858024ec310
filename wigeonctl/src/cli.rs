//! The command line.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Args, Bpaf, ParseFailure};
use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};
use wigeongate_core::ids::JobId;

use crate::error::USAGE;

/// The width of messages, in columns.
const COLUMNS: usize = 100;

/// What the help says of exit statuses and the environment.
const FOOTER: &str = "Exit status: 0 done; 1 refused, or the job did not succeed; 2 wrong command \
    line or settings; 3 no gate answers, nothing was done; 4 the outcome is unknown; 5 another \
    change came first; 6 the wait ended too early. The environment variable WIGEONCTL_KEY holds \
    the key of the operator or team; NO_COLOR turns styles off.";

/// The operators' and submitters' tool of wigeongate.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, footer(FOOTER))]
pub struct Options {
    /// How to reach the gates.
    #[bpaf(external)]
    pub access: Access,
    /// What to do.
    #[bpaf(external)]
    pub command: Command,
}

/// How to reach the gates.
#[derive(Debug, Clone, Default, Bpaf)]
pub struct Access {
    /// The base URL of a gate; given again, the next one is tried when one does not answer.
    #[bpaf(long("gate"), argument("URL"), many)]
    pub gates: Vec<String>,
    /// The key of the operator or team; better given as the environment variable `WIGEONCTL_KEY`.
    #[bpaf(argument("KEY"), optional)]
    pub key: Option<String>,
    /// The authority that signed the gates' certificates, PEM.
    #[bpaf(argument("FILE"), optional)]
    pub authority: Option<PathBuf>,
    /// The settings of this tool; `~/.config/wigeonctl.yaml` when left out.
    #[bpaf(argument("FILE"), optional)]
    pub config: Option<PathBuf>,
    /// How results are written: table or json.
    #[bpaf(argument("FORMAT"), optional)]
    pub output: Option<Output>,
}

/// How results are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, FromStr, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Output {
    /// Aligned columns.
    #[default]
    #[display("table")]
    Table,
    /// JSON.
    #[display("json")]
    Json,
}

/// What to do.
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Replace the inventory, the rules or both; what changes is shown first.
    #[bpaf(command)]
    Apply {
        /// The revision that must be in force; another is refused.
        #[bpaf(argument("REVISION"), optional)]
        expected: Option<u64>,
        /// Wait until the change is in force everywhere.
        #[bpaf(long("wait"))]
        wait: bool,
        /// The files.
        #[bpaf(positional("FILE"), some("at least one file is needed"))]
        files: Vec<PathBuf>,
    },
    /// Show what applying the files would change.
    #[bpaf(command)]
    Diff {
        /// The files.
        #[bpaf(positional("FILE"), some("at least one file is needed"))]
        files: Vec<PathBuf>,
    },
    /// Print what is in force.
    #[bpaf(command)]
    Get {
        /// What to print: inventory, rules or configuration.
        #[bpaf(positional("WHAT"))]
        what: Part,
    },
    /// Check inventory, rules, settings and jobs without a gate.
    #[bpaf(command)]
    Validate {
        /// The files.
        #[bpaf(positional("FILE"), some("at least one file is needed"))]
        files: Vec<PathBuf>,
    },
    /// Grant, withdraw and list the keys of teams.
    #[bpaf(command)]
    Key(#[bpaf(external(key_command))] KeyCommand),
    /// Take an availability zone out or bring it back.
    #[bpaf(command)]
    Zone(#[bpaf(external(zone_command))] ZoneCommand),
    /// Hold back every automatic action until it is resumed.
    #[bpaf(command)]
    Pause {
        /// How to make the change.
        #[bpaf(external)]
        how: ChangeOptions,
    },
    /// Lift the pause.
    #[bpaf(command)]
    Resume {
        /// How to make the change.
        #[bpaf(external)]
        how: ChangeOptions,
    },
    /// List what the pause holds back.
    #[bpaf(command)]
    Held,
    /// Submit a job with a team's key.
    #[bpaf(command)]
    Submit {
        /// Wait for the job to end; the exit status tells how it ended.
        #[bpaf(long("wait"))]
        wait: bool,
        /// The job.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// List the jobs of a team.
    #[bpaf(command)]
    Jobs,
    /// Show a job, or without one the gates and the revision of the configuration.
    #[bpaf(command)]
    Status {
        /// The job.
        #[bpaf(positional("JOB"), optional)]
        job: Option<JobId>,
    },
    /// Cancel a job.
    #[bpaf(command)]
    Cancel {
        /// The job.
        #[bpaf(positional("JOB"))]
        job: JobId,
    },
    /// Wait for a job to end; the exit status tells how it ended.
    #[bpaf(command)]
    Wait {
        /// How long to wait at most, in seconds.
        #[bpaf(argument("SECONDS"), optional)]
        timeout: Option<u64>,
        /// The job.
        #[bpaf(positional("JOB"))]
        job: JobId,
    },
    /// Show each team's share, limit, running and queued work.
    #[bpaf(command)]
    Top,
}

/// A part of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr)]
pub enum Part {
    /// The inventory.
    Inventory,
    /// The rules.
    Rules,
    /// All of it, with its revision.
    Configuration,
}

/// How to make a change.
#[derive(Debug, Clone, Copy, Default, Bpaf)]
#[bpaf(generate(how))]
pub struct ChangeOptions {
    /// The revision that must be in force; another is refused.
    #[bpaf(argument("REVISION"), optional)]
    pub expected: Option<u64>,
    /// Wait until the change is in force everywhere.
    #[bpaf(long("wait"))]
    pub wait: bool,
}

/// What to do with keys.
#[derive(Debug, Clone, Bpaf)]
pub enum KeyCommand {
    /// Draw a random key for a team, print it once and send only its hash.
    #[bpaf(command)]
    Grant {
        /// How to make the change.
        #[bpaf(external)]
        how: ChangeOptions,
        /// The name of the key, to withdraw it by.
        #[bpaf(positional("NAME"))]
        name: String,
        /// The team.
        #[bpaf(positional("TEAM"))]
        team: String,
    },
    /// Withdraw a key.
    #[bpaf(command)]
    Withdraw {
        /// How to make the change.
        #[bpaf(external)]
        how: ChangeOptions,
        /// The name of the key.
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// List the names, teams and hashes of the keys.
    #[bpaf(command)]
    List,
    /// Draw a random key and print it with its hash, for the settings of a gate.
    #[bpaf(command)]
    Draw,
}

/// What to do with an availability zone.
#[derive(Debug, Clone, Bpaf)]
pub enum ZoneCommand {
    /// Take an availability zone out: no task starts in it.
    #[bpaf(command)]
    Out {
        /// How to make the change.
        #[bpaf(external)]
        how: ChangeOptions,
        /// The zone.
        #[bpaf(positional("ZONE"))]
        zone: String,
    },
    /// Bring an availability zone back.
    #[bpaf(command)]
    In {
        /// How to make the change.
        #[bpaf(external)]
        how: ChangeOptions,
        /// The zone.
        #[bpaf(positional("ZONE"))]
        zone: String,
    },
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
