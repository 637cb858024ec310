//! A YAML document as a tree that records the line of each node.

use std::fmt;

use serde::Deserialize;
use serde::de::{Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_saphyr::Spanned;
use serde_saphyr::options::DuplicateKeyPolicy;

use crate::problem::{FieldPath, Segment};

/// Maximum length of a text quoted in a message, in characters.
const QUOTE_CHARS_LIMIT: usize = 80;

/// One node of a document.
#[derive(Debug, Clone, PartialEq)]
pub struct Node {
    /// Line of the node, starting at 1.
    pub line: u64,
    /// Value of the node.
    pub value: Value,
}

/// The value of a node.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    /// No value.
    Null,
    /// A boolean.
    Bool(bool),
    /// A whole number.
    Integer(i128),
    /// Any other number.
    Float(f64),
    /// A string.
    Text(String),
    /// A list.
    List(Vec<Node>),
    /// A mapping in document order; a field may occur more than once.
    Map(Vec<Entry>),
}

/// One field of a mapping.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Name of the field.
    pub name: String,
    /// Line of the name, starting at 1.
    pub line: u64,
    /// Value of the field.
    pub node: Node,
}

impl Node {
    /// Parses a YAML document; the error contains the line.
    pub fn parse(text: &str) -> Result<Self, serde_saphyr::Error> {
        let options = serde_saphyr::options! {
            duplicate_keys: DuplicateKeyPolicy::PassThrough,
            with_snippet: false,
        };
        serde_saphyr::from_str_with_options(text, options)
    }

    /// Returns the line of a path, or of its nearest existing parent.
    pub fn line_of(&self, path: &FieldPath) -> u64 {
        let mut node = self;
        let mut line = self.line;
        for segment in path.segments() {
            let next = match (segment, &node.value) {
                (Segment::Field(name), Value::Map(entries)) => entries
                    .iter()
                    .rfind(|entry| entry.name == *name)
                    .map(|entry| (entry.line, &entry.node)),
                (Segment::Index(index), Value::List(nodes)) => {
                    nodes.get(*index).map(|node| (node.line, node))
                }
                _ => None,
            };
            let Some((child_line, child)) = next else {
                return line;
            };
            line = child_line;
            node = child;
        }
        line
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => f.write_str("nothing"),
            Self::Bool(value) => write!(f, "{value}"),
            Self::Integer(value) => write!(f, "{value}"),
            Self::Float(value) => write!(f, "{value}"),
            Self::Text(text) if text.chars().count() > QUOTE_CHARS_LIMIT => {
                let start: String = text.chars().take(QUOTE_CHARS_LIMIT).collect();
                write!(f, "{start:?} (truncated)")
            }
            Self::Text(text) => write!(f, "{text:?}"),
            Self::List(_) => f.write_str("a list"),
            Self::Map(_) => f.write_str("a mapping"),
        }
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let spanned = Spanned::<Value>::deserialize(deserializer)?;
        Ok(Self {
            line: spanned.referenced.line(),
            value: spanned.value,
        })
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ValueVisitor)
    }
}

struct ValueVisitor;

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_unit<E: Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_none<E: Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        Value::deserialize(deserializer)
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<Value, E> {
        Ok(Value::Integer(value.into()))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Integer(value.into()))
    }

    fn visit_i128<E: Error>(self, value: i128) -> Result<Value, E> {
        Ok(Value::Integer(value))
    }

    fn visit_u128<E: Error>(self, value: u128) -> Result<Value, E> {
        Ok(Value::Integer(i128::try_from(value).unwrap_or(i128::MAX)))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<Value, E> {
        Ok(Value::Float(value))
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Value, E> {
        Ok(Value::Text(text.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Value, A::Error> {
        let mut nodes = Vec::new();
        while let Some(node) = items.next_element()? {
            nodes.push(node);
        }
        Ok(Value::List(nodes))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<Value, A::Error> {
        let mut entries = Vec::new();
        while let Some(name) = fields.next_key::<Spanned<String>>()? {
            let line = name.referenced.line();
            let node = fields.next_value()?;
            let name = name.value;
            entries.push(Entry { name, line, node });
        }
        Ok(Value::Map(entries))
    }
}
