//! Jobs of several steps on one fleet: what starts where, and what has become of it.
//!
//! A [`Director`] holds the fleet of a deployment. It takes events with a time and returns
//! actions; the same events give the same actions.

mod advice_gates;
mod advise;
mod allowance;
mod answers;
mod director;
mod ends;
mod host;
mod job;
mod message;
mod pass;
mod places;
mod plans;
mod restore;
mod rules;
mod spec;
mod takeover;

pub use advice_gates::AdviceGates;
pub use director::{Director, DirectorSettings};
pub use message::{
    Action, Advice, Ended, How, Look, Refusal, Running, StartOrder, StartResult, StopOrder,
};
pub use restore::Record;
pub use rules::{AdviceCost, QueueRules, Rules, TeamRules};
pub use spec::{Repeat, StepId, StepSpec, TaskName, Workflow, WorkflowId, WorkflowSpec};
pub use takeover::takeover_wait;

pub use self::host::HostEntry;
pub use self::job::Shown;
