//! The checkpoint that a new owner finds in the store.

use eyre::{Result, WrapErr};
use tracing::warn;
use wigeongate_core::workflow::CheckpointPart;
use wigeongate_platform::store::{Item, Store};

use super::records::{CHECKPOINT_KEY, CheckpointHead, decode, part_key};

/// The checkpoint in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoredHead {
    /// There is none: the log is complete.
    Absent,
    /// Its head is stored at a revision.
    Present(CheckpointHead, u64),
    /// A later version has written its head.
    Unreadable,
}

impl StoredHead {
    /// Reads the head from the store.
    pub async fn read(store: &Store) -> Result<Self> {
        let item = store.get(CHECKPOINT_KEY).await;
        let Some(item) = item.wrap_err("reading the head of the checkpoint")? else {
            return Ok(Self::Absent);
        };
        match decode(&item.key, &item.value) {
            Ok(head) => Ok(Self::Present(head, item.revision)),
            Err(error) => {
                warn!(
                    error = format!("{error:#}"),
                    "owner: the head of the checkpoint cannot be decoded; it is skipped."
                );
                Ok(Self::Unreadable)
            }
        }
    }

    /// Returns the head if there is one that can be read.
    pub const fn head(&self) -> Option<&CheckpointHead> {
        match self {
            Self::Present(head, _) => Some(head),
            Self::Absent | Self::Unreadable => None,
        }
    }

    /// Returns the key after which batches belong to the log; empty if all do.
    pub fn covered(&self) -> &str {
        self.head().map_or("", |head| head.covered.as_str())
    }

    /// Returns the keys of the parts that the head names.
    pub fn part_keys(&self) -> impl Iterator<Item = String> + use<> {
        let head = self.head().cloned();
        head.into_iter().flat_map(|head| {
            (1..=head.parts).map(move |part| part_key(head.epoch, head.number, part))
        })
    }
}

/// Decodes a part of a checkpoint; `None` if it is missing or cannot be decoded.
pub fn decode_part(key: &str, items: &[Item]) -> Option<CheckpointPart> {
    let Ok(at) = items.binary_search_by(|item| item.key.as_str().cmp(key)) else {
        warn!(key, "owner: a part of the checkpoint is missing.");
        return None;
    };
    let part = decode(key, &items[at].value);
    if let Err(error) = &part {
        warn!(
            error = format!("{error:#}"),
            "owner: a part of the checkpoint cannot be decoded; it is skipped."
        );
    }
    part.ok()
}
