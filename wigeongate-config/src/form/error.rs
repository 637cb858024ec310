//! The error that ends a reading of a document.

use derive_more::Display;

use crate::problem::FieldPath;

/// The error that ended a reading: the path, and what is allowed there.
#[derive(Debug, Clone, Display)]
#[display("{allowed}")]
pub struct ReadError {
    /// Path of the invalid value, once known.
    pub path: Option<FieldPath>,
    /// Description of the allowed values.
    pub allowed: String,
    /// Required field that is missing from the mapping at `path`.
    pub missing: Option<&'static str>,
}

impl ReadError {
    /// Creates an error for a value that is not allowed.
    pub fn new(allowed: impl Into<String>) -> Self {
        Self {
            path: None,
            allowed: allowed.into(),
            missing: None,
        }
    }

    /// Sets the path unless it is already known.
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
            "invalid socket address syntax" => "an IP address with a port, such as 10.20.1.10:7100",
            "invalid IP address syntax" => "a network with its prefix length, such as 10.20.1.0/24",
            other => other,
        };
        Self::new(allowed)
    }

    fn missing_field(field: &'static str) -> Self {
        Self {
            missing: Some(field),
            ..Self::new("a value, because this field is required")
        }
    }
}
