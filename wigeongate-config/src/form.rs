//! Deserializes a typed value from a tree and reports all structural problems at once.
//!
//! Each invalid part is reported and replaced with a placeholder that its type accepts. The tree is
//! then read again, until no new problem is found.

mod error;
mod reader;
mod state;
mod substitute;

use serde::de::DeserializeOwned;

use self::reader::Reader;
use self::state::ReadState;
use crate::problem::{FieldPath, Problems};
use crate::tree::Node;

/// The result of reading a tree.
pub struct ReadOutcome<T> {
    /// The value, with a substitute at each replaced path; `None` if the reading did not complete
    /// or skipped an item.
    pub value: Option<T>,
    /// Structural problems.
    pub problems: Problems,
    /// Paths where a substitute stands in for the document's value.
    pub replaced: Vec<FieldPath>,
}

/// Reads a typed value from a tree, and collects its structural problems.
pub fn read<T: DeserializeOwned>(root: &Node) -> ReadOutcome<T> {
    let state = ReadState::default();
    let mut value = None;
    while value.is_none() {
        let reader = Reader::new(root, FieldPath::default(), &state);
        match reader.read(std::marker::PhantomData::<T>) {
            Ok(read) => value = Some(read),
            Err(error) if state.replace(&error) => {}
            Err(_) => break,
        }
    }
    if state.has_skipped() {
        value = None;
    }
    let (problems, replaced) = state.into_parts();
    ReadOutcome {
        value,
        problems,
        replaced,
    }
}
