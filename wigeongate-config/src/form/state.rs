//! What the readings of one document share.

use std::cell::RefCell;
use std::fmt::Display;

use wigeongate_core::collections::{HashMap, HashSet};

use super::error::ReadError;
use super::substitute::SUBSTITUTES;
use crate::problem::{FieldPath, Problems, Segment};

/// How many problems of form are listed at most.
const PROBLEMS_LIMIT: usize = 200;

/// What the readings of one document share.
#[derive(Default)]
pub struct ReadState {
    problems: RefCell<Problems>,
    /// The substitute in use at each replaced path, by its place in the list of substitutes.
    replaced: RefCell<HashMap<FieldPath, usize>>,
    /// Items of lists that no substitute can stand for.
    skipped: RefCell<HashSet<FieldPath>>,
}

impl ReadState {
    /// Adds a problem, unless its field has one or is itself made up.
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

    /// Returns the substitute at a path.
    pub fn substitute(&self, path: &FieldPath) -> Option<usize> {
        self.replaced.borrow().get(path).copied()
    }

    /// Returns whether an item of a list is left out.
    pub fn is_skipped(&self, path: &FieldPath) -> bool {
        self.skipped.borrow().contains(path)
    }

    /// Returns whether any item of a list is left out.
    pub fn has_skipped(&self) -> bool {
        !self.skipped.borrow().is_empty()
    }

    /// Returns the problems and the replaced paths.
    pub fn into_parts(self) -> (Problems, Vec<FieldPath>) {
        let replaced = self.replaced.into_inner().into_keys();
        (self.problems.into_inner(), replaced.collect())
    }

    /// Puts a substitute where a reading ended; returns whether another reading may get further.
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

    /// Goes on to the next substitute of a path; after the last, to what holds it.
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
