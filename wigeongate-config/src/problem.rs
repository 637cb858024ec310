//! What is wrong with a file or a change, and where.

use std::fmt;

use derive_more::{Display, From};

/// One segment of the way to a field.
#[derive(Debug, Clone, PartialEq, Eq, Hash, From)]
pub enum Segment {
    /// A field of a mapping.
    Field(String),
    /// A position in a list, from zero.
    Index(usize),
}

impl From<&str> for Segment {
    fn from(field: &str) -> Self {
        Self::Field(field.to_owned())
    }
}

/// The way from the top of a document to a field.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct FieldPath(Vec<Segment>);

impl FieldPath {
    /// Returns the path of a field at the top.
    pub fn of(field: &str) -> Self {
        Self::default().join(field)
    }

    /// Returns the path of something inside this one.
    #[must_use]
    pub fn join(&self, segment: impl Into<Segment>) -> Self {
        let mut segments = self.0.clone();
        segments.push(segment.into());
        Self(segments)
    }

    /// Returns the path of a field inside this one.
    #[must_use]
    pub fn concat(&self, inner: &Self) -> Self {
        Self([self.0.as_slice(), &inner.0].concat())
    }

    /// Returns the segments from the top.
    pub fn segments(&self) -> &[Segment] {
        &self.0
    }

    /// Returns the path that holds this one; `None` at the top.
    pub fn parent(&self) -> Option<Self> {
        let (_, segments) = self.0.split_last()?;
        Some(Self(segments.to_vec()))
    }

    /// Returns whether this is `other` or holds it.
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

/// One thing that is wrong.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{field}: found {found}; allowed: {allowed}")]
pub struct Problem {
    /// The field.
    pub field: FieldPath,
    /// The value found.
    pub found: String,
    /// What is allowed.
    pub allowed: String,
    /// The list at the top of the document that the value was compared with, if any.
    pub basis: Option<&'static str>,
}

/// Everything that is wrong with a document.
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

    /// Adds a problem that was seen by comparing the value with a list.
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

    /// Moves each field below `top`.
    #[must_use]
    pub fn prefixed(self, top: &str) -> Self {
        let top = FieldPath::of(top);
        let moved = self.0.into_iter().map(|problem| Problem {
            field: top.concat(&problem.field),
            ..problem
        });
        Self(moved.collect())
    }

    /// Returns `value` if nothing is wrong.
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
