//! Keys and their hashes.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

/// The BLAKE3 hash of a key, as 64 hexadecimal digits.
///
/// The key itself is never stored and never logged.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(try_from = "String", into = "String")]
#[display("{}", _0.to_hex())]
pub struct KeyHash(blake3::Hash);

impl KeyHash {
    /// Hashes a key.
    pub fn of(key: &str) -> Self {
        Self(blake3::hash(key.as_bytes()))
    }

    /// Compares two hashes in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.as_bytes().ct_eq(other.0.as_bytes()).into()
    }
}

impl TryFrom<String> for KeyHash {
    type Error = String;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        blake3::Hash::from_hex(&text)
            .map(Self)
            .map_err(|_| "64 hexadecimal digits".to_owned())
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> Self {
        hash.to_string()
    }
}
