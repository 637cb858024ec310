//! State shared by the repeated readings of one document.

use std::cell::RefCell;
use std::fmt::Display;

use wigeongate_core::collections::{HashMap, HashSet};

use super::error::ReadError;
use super::substitute::SUBSTITUTES;
use crate::problem::{FieldPath, Problems, Segment};

/// Maximum number of structural problems reported for a document.
const PROBLEMS_LIMIT: usize = 200;

/// State shared by the repeated readings of one document.
#[derive(Default)]
pub struct ReadState {
    problems: RefCell<Problems>,
    /// Index into `SUBSTITUTES` of the value in use at each replaced path.
    replaced: RefCell<HashMap<FieldPath, usize>>,
    /// List items that are left out because their type accepts no substitute.
    skipped: RefCell<HashSet<FieldPath>>,
}

impl ReadState {
    /// Adds a problem, unless the field already has one or lies inside a substituted value.
    pub fn add_problem(&self, field: &FieldPath, found: impl Display, allowed: impl Display) {
        if self.is_below_substitute(field) {
            return;
        }
        let mut problems = self.problems.borrow_mut();
        let known = problems.0.iter().any(|problem| problem.field == *field);
        if !known {
            problems.add(field.clone(), found, allowed);
        }
    }

    /// Returns the index of the substitute in use at a path.
    pub fn substitute(&self, path: &FieldPath) -> Option<usize> {
        self.replaced.borrow().get(path).copied()
    }

    /// Returns whether a list item is left out.
    pub fn is_skipped(&self, path: &FieldPath) -> bool {
        self.skipped.borrow().contains(path)
    }

    /// Returns whether any list item is left out.
    pub fn has_skipped(&self) -> bool {
        !self.skipped.borrow().is_empty()
    }

    /// Returns the problems and the replaced paths.
    pub fn into_parts(self) -> (Problems, Vec<FieldPath>) {
        let replaced = self.replaced.into_inner().into_keys();
        (self.problems.into_inner(), replaced.collect())
    }

    /// Substitutes the value at which a reading failed; returns whether to read again.
    pub fn replace(&self, error: &ReadError) -> bool {
        let Some(path) = &error.path else {
            return false;
        };
        if self.problems.borrow().0.len() >= PROBLEMS_LIMIT {
            return false;
        }
        let path = match error.missing {
            Some(field) => path.join(field),
            None => path.clone(),
        };
        if error.missing.is_some() {
            self.add_problem(&path, "nothing", &error.allowed);
        }
        self.next_substitute(path)
    }

    fn is_below_substitute(&self, path: &FieldPath) -> bool {
        let replaced = self.replaced.borrow();
        std::iter::successors(path.parent(), FieldPath::parent)
            .any(|path| replaced.contains_key(&path))
    }

    /// Selects the next substitute for a path; after the last one, skips a list item, or continues
    /// with the parent of any other value.
    fn next_substitute(&self, mut path: FieldPath) -> bool {
        let mut replaced = self.replaced.borrow_mut();
        loop {
            let next = replaced.get(&path).map_or(0, |used| used + 1);
            if next < SUBSTITUTES.len() {
                replaced.insert(path, next);
                return true;
            }
            replaced.retain(|other, _| !path.contains(other));
            if matches!(path.segments().last(), Some(Segment::Index(_))) {
                self.skipped.borrow_mut().insert(path);
                return true;
            }
            let Some(parent) = path.parent() else {
                return false;
            };
            path = parent;
        }
    }
}
