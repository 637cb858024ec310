//! Reloads the certificates when their files change and on SIGHUP.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use eyre::{Result, WrapErr};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;
use wigeongate_config::settings::TlsSettings;

use super::Certificates;

/// How often the files are checked for changes.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Starts a task that reloads the certificates on SIGHUP or a change of their files until `stop`.
///
/// Fails if the SIGHUP handler cannot be installed.
pub fn reload_on_change(certificates: Arc<Certificates>, stop: CancellationToken) -> Result<()> {
    let mut hangup = signal(SignalKind::hangup()).wrap_err("installing the SIGHUP handler")?;
    tokio::spawn(async move {
        let mut ticks = interval(POLL_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last_stamps = file_stamps(&certificates);
        loop {
            let signalled = tokio::select! {
                _ = ticks.tick() => false,
                _ = hangup.recv() => true,
                () = stop.cancelled() => return,
            };
            let current_stamps = file_stamps(&certificates);
            if signalled || current_stamps != last_stamps {
                certificates.reload();
                last_stamps = current_stamps;
            }
        }
    });
    Ok(())
}

/// Returns the modification time and size in bytes of each file; `None` for an unreadable one.
fn file_stamps(certificates: &Certificates) -> Vec<Option<(SystemTime, u64)>> {
    let files = certificates.files.iter();
    let files = files.flat_map(|settings: &TlsSettings| {
        [&settings.certificate, &settings.key, &settings.authority]
    });
    files
        .map(|path| {
            let metadata = std::fs::metadata(path).ok()?;
            Some((metadata.modified().ok()?, metadata.len()))
        })
        .collect()
}
