//! Changes of the configuration.

use std::time::Duration;

use reqwest::Method;
use tokio::time::{Instant, sleep};
use wigeongate_api::operator::{ChangeReply, GateStatus};
use wigeongate_config::change::Change;
use wigeongate_config::configuration::Configuration;
use wigeongate_core::ids::Revision;

use super::Context;
use crate::cli::ChangeOptions;
use crate::client::{Call, RetryPolicy};
use crate::diff::{differences, format_lines};
use crate::error::CtlError;
use crate::progress::Progress;

/// The limit for a change to be in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_mins(1);

/// The interval of the status calls while a change is not yet in force everywhere.
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Sends a change and prints the revision that contains it.
pub async fn submit(
    context: &Context,
    step: &str,
    change: Change,
    how: ChangeOptions,
) -> Result<(), CtlError> {
    let changed = send(context, step, &change, how.expected.map(Revision)).await?;
    report(context, &changed, how.wait).await
}

/// Sends a change; with `expected`, the gate refuses it on any other revision.
pub async fn send(
    context: &Context,
    step: &str,
    change: &Change,
    expected: Option<Revision>,
) -> Result<ChangeReply, CtlError> {
    let path = match expected {
        Some(expected) => format!("/v1/operator/changes?expected={expected}"),
        None => "/v1/operator/changes".to_owned(),
    };
    let call = Call {
        step,
        method: Method::POST,
        path: &path,
        retry: retry_policy(change, expected),
        ..Call::default()
    };
    match (context.client.call(&call, Some(change)).await, expected) {
        (Err(CtlError::Refused(refused)), Some(expected)) if refused.is_race() => {
            Err(race_error(context, expected).await)
        }
        (result, _) => result,
    }
}

/// Prints that a change was accepted; with `wait`, waits until it is in force everywhere and
/// prints that.
pub async fn report(context: &Context, changed: &ChangeReply, wait: bool) -> Result<(), CtlError> {
    let revision = changed.revision;
    if wait {
        wait_in_force(context, revision).await?;
    }
    let sentence = if wait {
        format!("Revision {revision} is in force everywhere.")
    } else {
        format!("Revision {revision} is accepted.")
    };
    context.printer.print_text(changed, &sentence);
    Ok(())
}

const fn retry_policy(change: &Change, expected: Option<Revision>) -> RetryPolicy {
    match change {
        Change::ZoneOut { .. } | Change::ZoneIn { .. } | Change::Pause | Change::Resume
            if expected.is_none() =>
        {
            RetryPolicy::Idempotent
        }
        _ => RetryPolicy::Never,
    }
}

/// Returns the error for a change that another one preceded, with the differences between the
/// expected revision and the one in force.
async fn race_error(context: &Context, expected: Revision) -> CtlError {
    let step = "reading the changed configuration";
    let path = "/v1/operator/configuration";
    let now: Configuration = match context.client.get(step, path).await {
        Ok(now) => now,
        Err(error) => return error,
    };
    let path = format!("{path}?revision={expected}");
    let before: Result<Configuration, CtlError> = context.client.get(step, &path).await;
    let changes = match before {
        Ok(before) => format_lines(&differences(&before, &now)),
        Err(_) => format!("the gate no longer keeps revision {expected}"),
    };
    CtlError::Raced {
        expected,
        found: now.revision,
        changes,
    }
}

/// Waits until a revision is in force everywhere; fails after [`IN_FORCE_TIMEOUT`].
async fn wait_in_force(context: &Context, revision: Revision) -> Result<(), CtlError> {
    let progress = Progress::default();
    let deadline = Instant::now() + IN_FORCE_TIMEOUT;
    loop {
        let step = "checking whether the change is in force";
        let status: GateStatus = context.client.get(step, "/v1/operator/status").await?;
        let cluster = status.cluster;
        if cluster.everywhere >= revision {
            return Ok(());
        }
        let behind: Vec<String> = cluster
            .gates
            .iter()
            .filter(|line| line.revision < revision)
            .map(|line| format!("{} ({})", line.gate, line.status))
            .collect();
        let behind = behind.join(", ");
        if Instant::now() >= deadline {
            return Err(CtlError::WaitTimedOut(format!(
                "revision {revision} is accepted but not yet in force everywhere: {behind}"
            )));
        }
        progress.show(&format!("waiting for revision {revision} at {behind}"));
        sleep(IN_FORCE_POLL_INTERVAL).await;
    }
}
