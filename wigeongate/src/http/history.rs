//! The most recent revisions of the configuration, which operators can compare.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use wigeongate_core::ids::Revision;

use crate::live::{Configurations, LiveConfiguration};

/// The number of revisions kept in memory.
const REVISIONS_LIMIT: usize = 32;

/// The most recent revisions that came into force in this process, oldest first.
#[derive(Debug, Default)]
pub struct History(Mutex<VecDeque<Arc<LiveConfiguration>>>);

impl History {
    /// Starts a task that adds each new revision until `configurations` or the result is dropped.
    pub fn follow(configurations: &Arc<Configurations>) -> Arc<Self> {
        let history = Arc::new(Self::default());
        let weak = Arc::downgrade(&history);
        let mut revision = configurations.subscribe();
        let configurations = Arc::downgrade(configurations);
        tokio::spawn(async move {
            while let (Some(history), Some(configurations)) =
                (weak.upgrade(), configurations.upgrade())
            {
                history.push(configurations.live());
                drop((history, configurations));
                if revision.changed().await.is_err() {
                    return;
                }
            }
        });
        history
    }

    /// Returns a revision if it is still in memory.
    pub fn get(&self, revision: Revision) -> Option<Arc<LiveConfiguration>> {
        let revisions = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let same = |live: &&Arc<LiveConfiguration>| live.configuration.revision == revision;
        revisions.iter().find(same).cloned()
    }

    fn push(&self, live: Arc<LiveConfiguration>) {
        let mut revisions = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if revisions.len() == REVISIONS_LIMIT {
            revisions.pop_front();
        }
        revisions.push_back(live);
    }
}
