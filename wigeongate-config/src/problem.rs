//! Problems in a file or a change, with the fields in which they occur.

use std::fmt;

use derive_more::{Display, From};

/// One segment of a field path.
#[derive(Debug, Clone, PartialEq, Eq, Hash, From)]
pub enum Segment {
    /// A field of a mapping.
    Field(String),
    /// Index in a list, starting at 0.
    Index(usize),
}

impl From<&str> for Segment {
    fn from(field: &str) -> Self {
        Self::Field(field.to_owned())
    }
}

/// The path from the top of a document to a field.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct FieldPath(Vec<Segment>);

impl FieldPath {
    /// Returns the path of a top-level field.
    pub fn of(field: &str) -> Self {
        Self::default().join(field)
    }

    /// Returns this path extended by one segment.
    #[must_use]
    pub fn join(&self, segment: impl Into<Segment>) -> Self {
        let mut segments = self.0.clone();
        segments.push(segment.into());
        Self(segments)
    }

    /// Returns this path followed by `inner`.
    #[must_use]
    pub fn concat(&self, inner: &Self) -> Self {
        Self([self.0.as_slice(), &inner.0].concat())
    }

    /// Returns the segments, starting at the top.
    pub fn segments(&self) -> &[Segment] {
        &self.0
    }

    /// Returns the parent path; `None` at the top.
    pub fn parent(&self) -> Option<Self> {
        let (_, segments) = self.0.split_last()?;
        Some(Self(segments.to_vec()))
    }

    /// Returns whether `other` is this path or lies below it.
    pub fn contains(&self, other: &Self) -> bool {
        other.0.starts_with(&self.0)
    }
}

impl fmt::Display for FieldPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("the document");
        }
        for (position, segment) in self.0.iter().enumerate() {
            match segment {
                Segment::Field(name) if position == 0 => f.write_str(name)?,
                Segment::Field(name) => write!(f, ".{name}")?,
                Segment::Index(index) => write!(f, "[{index}]")?,
            }
        }
        Ok(())
    }
}

/// A problem with a field.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{field}: found {found}; allowed: {allowed}")]
pub struct Problem {
    /// Path of the field.
    pub field: FieldPath,
    /// Value that was found.
    pub found: String,
    /// Description of the allowed values.
    pub allowed: String,
    /// Top-level field that the value was compared with, if any.
    pub basis: Option<&'static str>,
}

/// All problems found in a document.
#[derive(Debug, Clone, Default, PartialEq, Eq, derive_more::Error)]
pub struct Problems(#[error(not(source))] pub Vec<Problem>);

impl Problems {
    /// Adds a problem.
    pub fn add(&mut self, field: FieldPath, found: impl fmt::Display, allowed: impl fmt::Display) {
        self.0.push(Problem {
            field,
            found: found.to_string(),
            allowed: allowed.to_string(),
            basis: None,
        });
    }

    /// Adds a problem found by comparing the value with the top-level field `basis`.
    pub fn add_compared(
        &mut self,
        field: FieldPath,
        basis: &'static str,
        found: impl fmt::Display,
        allowed: impl fmt::Display,
    ) {
        self.add(field, found, allowed);
        if let Some(problem) = self.0.last_mut() {
            problem.basis = Some(basis);
        }
    }

    /// Prefixes the path of each problem with the field `top`.
    #[must_use]
    pub fn prefixed(self, top: &str) -> Self {
        let top = FieldPath::of(top);
        let moved = self.0.into_iter().map(|problem| Problem {
            field: top.concat(&problem.field),
            ..problem
        });
        Self(moved.collect())
    }

    /// Returns `value` if there are no problems, and the problems as an error otherwise.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.0.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, problem) in self.0.iter().enumerate() {
            if position > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}
