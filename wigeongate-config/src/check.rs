//! Checks of the values in a document, after its structure has been read.

mod inventory;
mod job;
mod rules;
mod settings;

use std::fmt::Display;
use std::ops::RangeInclusive;

use wigeongate_core::collections::HashMap;

use crate::configuration::Configuration;
use crate::problem::{FieldPath, Problems};

pub use self::rules::check_cross_references;

/// Maximum length of a name, in bytes.
const NAME_BYTES_LIMIT: usize = 63;

/// Maximum size of one value in the store, in bytes.
const VALUE_BYTES_LIMIT: usize = 1_000_000;

/// A document whose values can be checked as a whole.
pub trait Check {
    /// Adds every problem in the document to `problems`.
    fn check(&self, problems: &mut Problems);

    /// Returns every problem in the document as an error.
    fn validate(&self) -> Result<(), Problems> {
        let mut problems = Problems::default();
        self.check(&mut problems);
        problems.into_result(())
    }
}

impl Check for Configuration {
    fn check(&self, problems: &mut Problems) {
        let mut inventory = Problems::default();
        self.inventory.check(&mut inventory);
        let mut rules = Problems::default();
        self.rules.check(&mut rules);
        check_cross_references(&self.inventory, &self.rules, &mut inventory, &mut rules);
        inventory::check_withdrawn(&self.inventory, &self.withdrawn, &mut inventory);
        problems.0.extend(inventory.prefixed("inventory").0);
        problems.0.extend(rules.prefixed("rules").0);
        check_size(self, problems);
    }
}

/// Checks that the configuration fits into one value of the store.
fn check_size(configuration: &Configuration, problems: &mut Problems) {
    let size = serde_json::to_vec(configuration).map_or(0, |text| text.len());
    if size > VALUE_BYTES_LIMIT {
        let allowed =
            format!("at most {VALUE_BYTES_LIMIT} bytes, the limit for one value in the store");
        problems.add(FieldPath::default(), format!("{size} bytes"), allowed);
    }
}

/// Checks the length and the characters of a name.
fn check_name(path: FieldPath, name: &str, problems: &mut Problems) {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    let fits = (1..=NAME_BYTES_LIMIT).contains(&name.len());
    if !fits || !name.chars().all(allowed) {
        let form = format!("1 to {NAME_BYTES_LIMIT} ASCII letters, digits, '-', '_' or '.'");
        problems.add(path, format!("{name:?}"), form);
    }
}

/// Checks that a number lies in a range.
fn check_range<T: PartialOrd + Display>(
    path: FieldPath,
    value: T,
    range: &RangeInclusive<T>,
    problems: &mut Problems,
) {
    if !range.contains(&value) {
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        problems.add(path, value, allowed);
    }
}

/// Checks that a number is at least 1.
fn check_positive<T: PartialOrd + Display + From<u8>>(
    path: FieldPath,
    value: T,
    problems: &mut Problems,
) {
    if value < T::from(1) {
        problems.add(path, value, "a whole number of at least 1");
    }
}

/// Reports values that occur more than once in a document.
#[derive(Debug)]
struct UniqueCheck<'a> {
    kind: &'static str,
    seen: HashMap<String, FieldPath>,
    problems: &'a mut Problems,
}

impl<'a> UniqueCheck<'a> {
    /// Creates a check with no values seen; `kind` names the kind of value in messages.
    fn new(kind: &'static str, problems: &'a mut Problems) -> Self {
        Self {
            kind,
            seen: HashMap::default(),
            problems,
        }
    }

    /// Records the value, or adds a problem if it was seen before.
    fn check(&mut self, path: &FieldPath, value: impl Display) {
        let value = value.to_string();
        let Some(first) = self.seen.get(&value) else {
            self.seen.insert(value, path.clone());
            return;
        };
        let allowed = format!("{} that differs from {first}", self.kind);
        self.problems
            .add(path.clone(), format!("{value:?} again"), allowed);
    }

    /// Checks the length and characters of a name and that it was not seen before.
    fn check_name(&mut self, path: &FieldPath, name: &str) {
        check_name(path.clone(), name, self.problems);
        self.check(path, name);
    }
}

/// Joins names with commas for a message.
fn join_names<T: Display>(names: impl Iterator<Item = T>) -> String {
    let names: Vec<String> = names.map(|name| name.to_string()).collect();
    if names.is_empty() {
        return "none, because the list is empty".to_owned();
    }
    names.join(", ")
}
