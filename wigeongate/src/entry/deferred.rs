//! Reads the jobs from the store for which a new owner had no memory.

use std::sync::Arc;

use tokio::sync::mpsc;
use wigeongate_core::workflow::WorkflowId;

use super::owner_event::OwnerEvent;
use super::shared::Shared;
use super::stored_job;

/// Reads a job and sends it to the owner.
pub fn read(shared: &Arc<Shared>, events: &mpsc::UnboundedSender<OwnerEvent>, id: WorkflowId) {
    let (shared, events) = (Arc::clone(shared), events.clone());
    tokio::spawn(async move {
        let found = stored_job::read(&shared.store, id).await;
        // Fails only after the owner's loop has ended.
        let _ = events.send(OwnerEvent::DeferredRead(id, found));
    });
}
