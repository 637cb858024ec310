//! Reports slow hosts, and runs that take several times as long as predicted.

use tracing::info;
use wigeongate_core::workflow::WorkflowScheduler;

use super::metrics::EntryMetrics;

/// Sets the gauges of slow hosts, and counts and logs the new stragglers in one line.
pub fn report(scheduler: &mut WorkflowScheduler, metrics: &EntryMetrics) {
    let (slower, slow) = scheduler.speed_counts();
    metrics.set_gauge("hosts_slower", u64::try_from(slower).unwrap_or(0));
    metrics.set_gauge("hosts_slow", u64::try_from(slow).unwrap_or(0));
    let stragglers = scheduler.take_stragglers();
    for straggler in &stragglers {
        metrics.count("stragglers", straggler.queue.as_str());
    }
    if let Some(first) = stragglers.first() {
        info!(runs = stragglers.len(), task = %first.task, run = first.run, host = %first.host,
            ran_ms = first.ran.0, forecast_ms = first.forecast.0, slow_hosts = slow,
            "owner: runs take several times as long as predicted; the first one is named.");
    }
}
