//! Reading and checking YAML files.

use std::fmt;

use derive_more::Display;
use serde::de::DeserializeOwned;

use crate::check::Check;
use crate::form;
use crate::problem::{FieldPath, Problem, Problems};
use crate::tree::Node;

pub use self::document::{Document, check_files};

mod document;

/// A problem in a file.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{file}:{line}: {message}")]
pub struct Diagnostic {
    /// Path of the file.
    pub file: String,
    /// Line number, starting at 1; 0 if the file could not be read.
    pub line: u64,
    /// Description of the problem.
    pub message: String,
}

/// All problems found in one or more files.
#[derive(Debug, Clone, Default, PartialEq, Eq, derive_more::Error)]
pub struct Diagnostics(#[error(not(source))] pub Vec<Diagnostic>);

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Diagnostic::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

/// Reads and checks a YAML file; an invalid file is rejected as a whole with all its problems.
pub fn read<T: DeserializeOwned + Check>(path: &std::path::Path) -> Result<T, Diagnostics> {
    let (file, text) = read_text(path)?;
    parse(&file, &text)
}

/// Parses and checks YAML text; `file` is the file name in each diagnostic.
pub fn parse<T: DeserializeOwned + Check>(file: &str, text: &str) -> Result<T, Diagnostics> {
    let tree = parse_tree(file, text)?;
    read_typed(file, &tree)
}

/// Reads a file; returns its displayed path and its text.
fn read_text(path: &std::path::Path) -> Result<(String, String), Diagnostics> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => Ok((file, text)),
        Err(error) => Err(Diagnostics(vec![Diagnostic {
            file,
            line: 0,
            message: format!("the file cannot be read: {error}"),
        }])),
    }
}

fn parse_tree(file: &str, text: &str) -> Result<Node, Diagnostics> {
    Node::parse(text).map_err(|error| {
        Diagnostics(vec![Diagnostic {
            file: file.to_owned(),
            line: error.location().map_or(1, |location| location.line()),
            message: format!("the YAML cannot be read: {}", error.without_snippet()),
        }])
    })
}

fn read_typed<T: DeserializeOwned + Check>(file: &str, tree: &Node) -> Result<T, Diagnostics> {
    let read = form::read::<T>(tree);
    let mut problems = read.problems;
    if let Some(value) = &read.value {
        let mut found = Problems::default();
        value.check(&mut found);
        let independent = |problem: &Problem| is_independent(problem, &read.replaced);
        problems.0.extend(found.0.into_iter().filter(independent));
    }
    match read.value.filter(|_| problems.0.is_empty()) {
        Some(value) => Ok(value),
        None => Err(diagnostics(file, tree, problems)),
    }
}

/// Returns whether a problem does not depend on any substituted value.
fn is_independent(problem: &Problem, replaced: &[FieldPath]) -> bool {
    let basis = problem.basis.map(FieldPath::of);
    let overlaps = |path: &FieldPath| {
        let in_basis = basis.as_ref().is_some_and(|basis| basis.contains(path));
        in_basis || path.contains(&problem.field) || problem.field.contains(path)
    };
    !replaced.iter().any(overlaps)
}

/// Converts problems to diagnostics, in the order of their lines.
fn diagnostics(file: &str, tree: &Node, problems: Problems) -> Diagnostics {
    let diagnostic = |problem: Problem| Diagnostic {
        file: file.to_owned(),
        line: tree.line_of(&problem.field),
        message: problem.to_string(),
    };
    let mut diagnostics: Vec<Diagnostic> = problems.0.into_iter().map(diagnostic).collect();
    diagnostics.sort_by_key(|diagnostic| diagnostic.line);
    Diagnostics(diagnostics)
}
