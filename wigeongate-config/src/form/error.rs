//! What ends a reading.

use derive_more::Display;

use crate::problem::FieldPath;

/// What ended a reading: the path, and what is allowed there.
#[derive(Debug, Clone, Display)]
#[display("{allowed}")]
pub struct ReadError {
    /// Where it arose, once that is known.
    pub path: Option<FieldPath>,
    /// What is allowed.
    pub allowed: String,
    /// The field that a mapping lacks.
    pub missing: Option<&'static str>,
}

impl ReadError {
    /// A value that is not allowed.
    pub fn new(allowed: impl Into<String>) -> Self {
        Self {
            path: None,
            allowed: allowed.into(),
            missing: None,
        }
    }

    /// Says where it arose, unless that is known.
    #[must_use]
    pub fn at(mut self, path: &FieldPath) -> Self {
        self.path.get_or_insert_with(|| path.clone());
        self
    }
}

impl std::error::Error for ReadError {}

impl serde::de::Error for ReadError {
    fn custom<T: std::fmt::Display>(message: T) -> Self {
        let message = message.to_string();
        let allowed = match message.as_str() {
            "invalid socket address syntax" => "an IP address with a port, as 10.20.1.10:7100",
            "invalid IP address syntax" => "a network with its prefix length, as 10.20.1.0/24",
            other => other,
        };
        Self::new(allowed)
    }

    fn missing_field(field: &'static str) -> Self {
        Self {
            missing: Some(field),
            ..Self::new("a value, which this field needs")
        }
    }
}
