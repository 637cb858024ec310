//! Reading a typed value from a tree, with every problem of its form at once.
//!
//! A part that is wrong is noted and replaced by a value that its type accepts, and the tree is
//! read again, until nothing new is found.

mod error;
mod reader;
mod state;
mod substitute;

use serde::de::DeserializeOwned;

use self::reader::Reader;
use self::state::ReadState;
use crate::problem::{FieldPath, Problems};
use crate::tree::Node;

/// What was read from a tree.
pub struct ReadOutcome<T> {
    /// The value, with a substitute at each replaced path; `None` if it is not whole.
    pub value: Option<T>,
    /// What is wrong with the form.
    pub problems: Problems,
    /// The paths whose value is not what the document says.
    pub replaced: Vec<FieldPath>,
}

/// Reads a typed value.
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
