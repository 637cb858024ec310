//! Errors and their exit statuses.

use std::fmt;
use std::path::PathBuf;
use std::process::ExitCode;

use derive_more::{Display, From};
use wigeongate_api::problem::{Execution, Problem};
use wigeongate_config::load::Diagnostics;
use wigeongate_core::ids::Revision;
use wigeongate_core::job::Outcome;

/// The stable problem `type` of a change that was refused because another one came first.
const RACED_TYPE: &str = "/problems/raced";

/// The stable problem `type` of a gate that is temporarily unavailable.
const UNAVAILABLE_TYPE: &str = "/problems/unavailable";

/// The exit status when the gate or a check refuses, or the job does not succeed.
const REFUSED: u8 = 1;

/// The exit status for an invalid command line or invalid settings.
pub const USAGE: u8 = 2;

/// The exit status when no gate answers and nothing was done.
const UNREACHABLE: u8 = 3;

/// The exit status when the outcome is unknown.
const UNKNOWN: u8 = 4;

/// The exit status when another change came before this one.
const RACED: u8 = 5;

/// The exit status when a wait timed out.
const WAIT_TIMED_OUT: u8 = 6;

/// Why a command failed.
#[derive(Debug, Display, From)]
pub enum CtlError {
    /// The command line or the settings are invalid or incomplete.
    #[display("{_0}")]
    #[from(skip)]
    Usage(String),
    /// Files are invalid.
    #[display("the files are refused\n{_0}")]
    Files(Diagnostics),
    /// A file cannot be read.
    #[display("{}: {reason}", path.display())]
    File {
        /// The path of the file.
        path: PathBuf,
        /// The cause.
        reason: String,
    },
    /// A gate responded with a problem document.
    #[display("{_0}")]
    Refused(Box<Refused>),
    /// No gate answered; nothing was done.
    #[display("{step}: no gate answers, nothing was done\n{}", tried.join("\n"))]
    #[from(skip)]
    Unreachable {
        /// The step.
        step: String,
        /// The gates that were tried, each with the cause.
        tried: Vec<String>,
    },
    /// The response was lost, and the gate may have executed the call.
    #[display(
        "{step}: {gate}: the outcome is unknown: {reason}\n\
         the call was not sent again, because the gate may have executed it"
    )]
    #[from(skip)]
    Unknown {
        /// The step.
        step: String,
        /// The gate.
        gate: String,
        /// The cause.
        reason: String,
    },
    /// A gate's response cannot be parsed.
    #[display("{step}: {gate}: the answer cannot be read: {reason}")]
    #[from(skip)]
    Unreadable {
        /// The step.
        step: String,
        /// The gate.
        gate: String,
        /// The cause.
        reason: String,
    },
    /// Another operator's change came first.
    #[display("revision {expected} was expected but {found} is in force\n{changes}")]
    #[from(skip)]
    Raced {
        /// The expected revision.
        expected: Revision,
        /// The revision in force.
        found: Revision,
        /// The differences between the two, one per line.
        changes: String,
    },
    /// The job ended without success.
    #[display("the job did not succeed: {_0}")]
    Ended(Outcome),
    /// A wait timed out.
    #[display("{_0}")]
    #[from(skip)]
    WaitTimedOut(String),
}

/// A problem document with the call that it answers.
#[derive(Debug)]
pub struct Refused {
    /// The step.
    pub step: String,
    /// The gate.
    pub gate: String,
    /// The problem document.
    pub problem: Problem,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            step,
            gate,
            problem,
        } = self;
        writeln!(f, "{step}: {gate}: {}", problem.title)?;
        writeln!(f, "  type:      {} ({})", problem.kind, problem.status)?;
        let detail = problem.detail.replace('\n', "\n             ");
        writeln!(f, "  detail:    {detail}")?;
        let execution = match problem.execution {
            Execution::NotRun => "not run",
            Execution::Unknown => "the outcome is unknown",
        };
        write!(f, "  execution: {execution}")
    }
}

impl Refused {
    /// Returns whether the change was refused because another one came first.
    pub fn is_race(&self) -> bool {
        self.problem.kind == RACED_TYPE
    }

    /// Returns whether the gate may have executed the call.
    pub fn is_unknown(&self) -> bool {
        self.problem.execution == Execution::Unknown
    }

    /// Returns whether the gate is unavailable and did not execute the call, so that another gate
    /// may be tried.
    pub fn is_unavailable(&self) -> bool {
        self.problem.kind == UNAVAILABLE_TYPE && self.problem.execution == Execution::NotRun
    }
}

impl CtlError {
    /// Returns the exit status of the process.
    pub fn exit_code(&self) -> ExitCode {
        let code = match self {
            Self::Usage(_) => USAGE,
            Self::Refused(refused) if refused.is_race() => RACED,
            Self::Refused(refused) if refused.is_unavailable() => UNREACHABLE,
            Self::Refused(refused) if refused.is_unknown() => UNKNOWN,
            Self::Files(_)
            | Self::File { .. }
            | Self::Unreadable { .. }
            | Self::Ended(_)
            | Self::Refused(_) => REFUSED,
            Self::Unreachable { .. } => UNREACHABLE,
            Self::Unknown { .. } => UNKNOWN,
            Self::Raced { .. } => RACED,
            Self::WaitTimedOut(_) => WAIT_TIMED_OUT,
        };
        ExitCode::from(code)
    }
}
