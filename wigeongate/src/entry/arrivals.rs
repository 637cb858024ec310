//! Finds accepted jobs for the owner of which no gate has told it.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tracing::warn;
use wigeongate_core::workflow::Workflow;
use wigeongate_platform::store::{Change, StoreError};

use super::owner::Input;
use super::records::{JOBS, decode};
use super::shared::Shared;

/// The time between looks at accepted jobs of which no gate has told, in milliseconds.
const JOBS_EVERY_MS: u64 = 1_000;

/// Tells the owner of accepted jobs after a revision, until nobody listens.
pub async fn follow(shared: Arc<Shared>, inputs: mpsc::UnboundedSender<Input>, mut from: u64) {
    while !inputs.is_closed() {
        tokio::time::sleep(Duration::from_millis(JOBS_EVERY_MS)).await;
        let found = match shared.store.watch(JOBS, from, 0).await {
            Ok((changes, at)) => {
                from = from.max(at);
                let items = changes.into_iter().filter_map(|change| match change {
                    Change::Put(item) => Some(item),
                    Change::Removed(_) => None,
                });
                items.collect()
            }
            Err(StoreError::Compacted(_)) => match shared.store.range(JOBS).await {
                Ok((items, at)) => {
                    from = from.max(at);
                    items
                }
                Err(error) => {
                    warn!(%error, "owner: the jobs cannot be read.");
                    continue;
                }
            },
            Err(error) => {
                warn!(%error, "owner: the look at jobs failed.");
                continue;
            }
        };
        let flows: Vec<Workflow> = found
            .iter()
            .filter_map(|item| decode(&item.key, &item.value).ok())
            .collect();
        if !flows.is_empty() && inputs.send(Input::Jobs(flows)).is_err() {
            return;
        }
    }
}
