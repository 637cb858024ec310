//! Iteration over the items of a list and the fields of a mapping.

use std::collections::VecDeque;

use serde::de::value::StrDeserializer;
use serde::de::{DeserializeSeed, MapAccess, SeqAccess};
use wigeongate_core::collections::HashSet;

use super::super::error::ReadError;
use super::super::state::ReadState;
use super::super::substitute::Substitute;
use super::Reader;
use crate::problem::FieldPath;
use crate::tree::{Entry, Node};

/// Iterates over the items of a list.
pub struct Items<'a> {
    nodes: &'a [Node],
    next: usize,
    path: FieldPath,
    state: &'a ReadState,
}

impl<'a> Items<'a> {
    /// Creates an iterator over the items of the list at a path.
    pub const fn new(nodes: &'a [Node], path: FieldPath, state: &'a ReadState) -> Self {
        Self {
            nodes,
            next: 0,
            path,
            state,
        }
    }
}

impl<'de> SeqAccess<'de> for Items<'_> {
    type Error = ReadError;

    fn next_element_seed<S: DeserializeSeed<'de>>(
        &mut self,
        seed: S,
    ) -> Result<Option<S::Value>, ReadError> {
        while let Some(node) = self.nodes.get(self.next) {
            let path = self.path.join(self.next);
            self.next += 1;
            if !self.state.is_skipped(&path) {
                return Reader::new(node, path, self.state).read(seed).map(Some);
            }
        }
        Ok(None)
    }
}

/// A field passed to the visitor.
struct Field<'a> {
    name: &'a str,
    /// Value of the field; `None` if the field is missing and a substitute is used.
    node: Option<&'a Node>,
}

/// Iterates over the fields of a mapping.
pub struct Fields<'a> {
    remaining: VecDeque<Field<'a>>,
    current: Option<Field<'a>>,
    path: FieldPath,
    state: &'a ReadState,
}

impl<'a> Fields<'a> {
    /// Creates an iterator over the fields of the mapping at a path; `known` lists the allowed
    /// names.
    pub fn new(
        entries: &'a [Entry],
        known: Option<&'static [&'static str]>,
        path: FieldPath,
        state: &'a ReadState,
    ) -> Self {
        let mut names = HashSet::default();
        let mut remaining = VecDeque::new();
        for entry in entries {
            let name = entry.name.as_str();
            if known.is_some_and(|known| !known.contains(&name)) {
                let known = known.unwrap_or_default().join(", ");
                state.add_problem(&path.join(name), "an unknown field", known);
            } else if names.insert(name) {
                let node = Some(&entry.node);
                remaining.push_back(Field { name, node });
            } else {
                state.add_problem(
                    &path.join(name),
                    "the field more than once",
                    "the field once",
                );
            }
        }
        for &name in known.unwrap_or_default() {
            let substituted = state.substitute(&path.join(name)).is_some();
            if substituted && !names.contains(name) {
                remaining.push_back(Field { name, node: None });
            }
        }
        Self {
            remaining,
            current: None,
            path,
            state,
        }
    }
}

impl<'de> MapAccess<'de> for Fields<'_> {
    type Error = ReadError;

    fn next_key_seed<S: DeserializeSeed<'de>>(
        &mut self,
        seed: S,
    ) -> Result<Option<S::Value>, ReadError> {
        self.current = self.remaining.pop_front();
        let Some(field) = &self.current else {
            return Ok(None);
        };
        seed.deserialize(StrDeserializer::new(field.name)).map(Some)
    }

    fn next_value_seed<S: DeserializeSeed<'de>>(&mut self, seed: S) -> Result<S::Value, ReadError> {
        let Some(field) = self.current.take() else {
            return Err(ReadError::new("a field before its value"));
        };
        let path = self.path.join(field.name);
        if let Some(node) = field.node {
            return Reader::new(node, path, self.state).read(seed);
        }
        let substitute = Substitute(self.state.substitute(&path).unwrap_or_default());
        seed.deserialize(substitute).map_err(|error| ReadError {
            missing: None,
            path: Some(path),
            ..error
        })
    }
}
