//! The last revisions of the configuration, for operators who ask what changed.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use wigeongate_core::ids::Revision;

use crate::live::{Configurations, LiveConfiguration};

/// How many revisions are kept.
const KEPT: usize = 32;

/// The last revisions that came into force in this process.
#[derive(Debug, Default)]
pub struct History(Mutex<VecDeque<Arc<LiveConfiguration>>>);

impl History {
    /// Keeps each revision from now on, until the configurations are dropped.
    pub fn follow(configurations: &Arc<Configurations>) -> Arc<Self> {
        let history = Arc::new(Self::default());
        let kept = Arc::downgrade(&history);
        let mut revision = configurations.subscribe();
        let configurations = Arc::downgrade(configurations);
        tokio::spawn(async move {
            while let (Some(history), Some(now)) = (kept.upgrade(), configurations.upgrade()) {
                history.keep(now.live());
                drop((history, now));
                if revision.changed().await.is_err() {
                    return;
                }
            }
        });
        history
    }

    /// Returns a revision that is still kept.
    pub fn get(&self, revision: Revision) -> Option<Arc<LiveConfiguration>> {
        let kept = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let same = |live: &&Arc<LiveConfiguration>| live.configuration.revision == revision;
        kept.iter().find(same).cloned()
    }

    fn keep(&self, live: Arc<LiveConfiguration>) {
        let mut kept = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if kept.len() == KEPT {
            kept.pop_front();
        }
        kept.push_back(live);
    }
}
