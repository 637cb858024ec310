//! What can go wrong, with the exit status of each.

use std::fmt;
use std::path::PathBuf;
use std::process::ExitCode;

use derive_more::{Display, From};
use wigeongate_api::problem::{Execution, Problem};
use wigeongate_config::load::Diagnostics;
use wigeongate_core::ids::Revision;
use wigeongate_core::job::Outcome;

/// The stable `type` of a change that came after another.
const RACED_TYPE: &str = "/problems/raced";

/// The stable `type` of a gate that cannot do its part now.
const UNAVAILABLE_TYPE: &str = "/problems/unavailable";

/// The exit status when the gate or a check refused, or the job did not succeed.
const REFUSED: u8 = 1;

/// The exit status after a wrong command line or settings.
pub const USAGE: u8 = 2;

/// The exit status when no gate answers and nothing was done.
const UNREACHABLE: u8 = 3;

/// The exit status when the outcome is unknown.
const UNKNOWN: u8 = 4;

/// The exit status when another change came first.
const RACED: u8 = 5;

/// The exit status when a wait ended too early.
const TOO_EARLY: u8 = 6;

/// Why a command did not do what was asked.
#[derive(Debug, Display, From)]
pub enum CtlError {
    /// The command line or the settings do not say enough.
    #[display("{_0}")]
    #[from(skip)]
    Usage(String),
    /// A file is wrong.
    #[display("the files are refused\n{_0}")]
    Files(Diagnostics),
    /// A file cannot be read.
    #[display("{}: {reason}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What was seen.
        reason: String,
    },
    /// A gate answered with a problem.
    #[display("{_0}")]
    Refused(Box<Refused>),
    /// No gate answered; nothing was done.
    #[display("{step}: no gate answers, nothing was done\n{}", tried.join("\n"))]
    #[from(skip)]
    Unreachable {
        /// The step.
        step: String,
        /// Each gate with what was seen.
        tried: Vec<String>,
    },
    /// The answer was lost on the way.
    #[display(
        "{step}: {gate}: the outcome is unknown: {reason}\n\
         it was not sent again, because it may have been done"
    )]
    #[from(skip)]
    Unknown {
        /// The step.
        step: String,
        /// The gate.
        gate: String,
        /// What was seen.
        reason: String,
    },
    /// A gate's answer cannot be read.
    #[display("{step}: {gate}: the answer cannot be read: {reason}")]
    #[from(skip)]
    Unreadable {
        /// The step.
        step: String,
        /// The gate.
        gate: String,
        /// What was seen.
        reason: String,
    },
    /// Another operator's change came first.
    #[display("revision {expected} was expected but {found} is in force\n{changes}")]
    #[from(skip)]
    Raced {
        /// The revision that was expected.
        expected: Revision,
        /// The revision in force.
        found: Revision,
        /// What changed between the two.
        changes: String,
    },
    /// The job ended otherwise than well.
    #[display("the job did not succeed: {_0}")]
    Ended(Outcome),
    /// What was waited for did not come in time.
    #[display("{_0}")]
    #[from(skip)]
    TooEarly(String),
}

/// A problem that a gate answered with.
#[derive(Debug)]
pub struct Refused {
    /// The step.
    pub step: String,
    /// The gate.
    pub gate: String,
    /// What the gate says.
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
    /// Returns whether another change came first.
    pub fn is_race(&self) -> bool {
        self.problem.kind == RACED_TYPE
    }

    /// Returns whether the work may have been done.
    pub fn is_unknown(&self) -> bool {
        self.problem.execution == Execution::Unknown
    }

    /// Returns whether another gate may do what this one cannot do now.
    pub fn is_unavailable(&self) -> bool {
        self.problem.kind == UNAVAILABLE_TYPE && self.problem.execution == Execution::NotRun
    }
}

impl CtlError {
    /// Returns the exit status.
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
            Self::TooEarly(_) => TOO_EARLY,
        };
        ExitCode::from(code)
    }
}
