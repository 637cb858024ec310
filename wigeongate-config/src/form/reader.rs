//! A deserializer for the nodes of a tree.

use serde::de::value::StrDeserializer;
use serde::de::{DeserializeSeed, Deserializer, Visitor};

use super::error::ReadError;
use super::state::ReadState;
use super::substitute::Substitute;
use crate::problem::{FieldPath, Segment};
use crate::tree::{Node, Value};

mod access;

use self::access::{Fields, Items};

/// Deserializes one node.
#[derive(Clone)]
pub struct Reader<'a> {
    node: &'a Node,
    path: FieldPath,
    state: &'a ReadState,
}

impl<'a> Reader<'a> {
    /// Creates a reader for the node at a path.
    pub const fn new(node: &'a Node, path: FieldPath, state: &'a ReadState) -> Self {
        Self { node, path, state }
    }

    /// Reads a value and records a problem if it is invalid.
    pub fn read<'de, S: DeserializeSeed<'de>>(self, seed: S) -> Result<S::Value, ReadError> {
        let Self { node, path, state } = self.clone();
        let from_document = self.substitute().is_none();
        seed.deserialize(self).map_err(|error| {
            if from_document && error.path.is_none() && error.missing.is_none() {
                state.add_problem(&path, quote(&path, &node.value), &error.allowed);
            }
            let error = error.at(&path);
            if from_document {
                return error;
            }
            ReadError {
                missing: None,
                path: Some(path),
                ..error
            }
        })
    }

    fn substitute(&self) -> Option<Substitute> {
        self.state.substitute(&self.path).map(Substitute)
    }

    fn integer(&self, min: i128, max: i128) -> Result<i128, ReadError> {
        match self.node.value {
            Value::Integer(value) if (min..=max).contains(&value) => Ok(value),
            _ => Err(ReadError::new(format!(
                "a whole number from {min} to {max}"
            ))),
        }
    }

    fn visit_list<'de, V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ReadError> {
        match &self.node.value {
            Value::List(nodes) => visitor.visit_seq(Items::new(nodes, self.path, self.state)),
            _ => Err(ReadError::new("a list")),
        }
    }

    fn visit_fields<'de, V: Visitor<'de>>(
        self,
        known: Option<&'static [&'static str]>,
        visitor: V,
    ) -> Result<V::Value, ReadError> {
        match &self.node.value {
            Value::Map(entries) => {
                visitor.visit_map(Fields::new(entries, known, self.path, self.state))
            }
            _ => Err(ReadError::new("a mapping")),
        }
    }
}

/// Quotes a value; a text in a `hash` field is not shown, because it may be a key put there by
/// mistake.
fn quote(path: &FieldPath, value: &Value) -> String {
    let hash = matches!(path.segments().last(), Some(Segment::Field(name)) if name == "hash");
    match value {
        Value::Text(text) if hash => format!("text of {} characters", text.chars().count()),
        value => value.to_string(),
    }
}

macro_rules! integers {
    ($($method:ident $visit:ident $type:ty,)+) => {$(
        fn $method<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ReadError> {
            if let Some(substitute) = self.substitute() {
                return substitute.$method(visitor);
            }
            let value = self.integer(<$type>::MIN.into(), <$type>::MAX.into())?;
            visitor.$visit(<$type>::try_from(value).unwrap_or_default())
        }
    )+};
}

macro_rules! texts {
    ($($method:ident)+) => {$(
        fn $method<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ReadError> {
            if let Some(substitute) = self.substitute() {
                return substitute.$method(visitor);
            }
            match &self.node.value {
                Value::Text(text) => visitor.visit_str(text),
                _ => Err(ReadError::new("text")),
            }
        }
    )+};
}

macro_rules! floats {
    ($($method:ident)+) => {$(
        fn $method<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ReadError> {
            if let Some(substitute) = self.substitute() {
                return substitute.$method(visitor);
            }
            match self.node.value {
                Value::Float(value) => visitor.visit_f64(value),
                Value::Integer(value) => visitor.visit_i128(value),
                _ => Err(ReadError::new("a number")),
            }
        }
    )+};
}

impl<'de> Deserializer<'de> for Reader<'_> {
    type Error = ReadError;

    integers! {
        deserialize_i8 visit_i8 i8,
        deserialize_i16 visit_i16 i16,
        deserialize_i32 visit_i32 i32,
        deserialize_i64 visit_i64 i64,
        deserialize_u8 visit_u8 u8,
        deserialize_u16 visit_u16 u16,
        deserialize_u32 visit_u32 u32,
        deserialize_u64 visit_u64 u64,
    }

    texts! {
        deserialize_char deserialize_str deserialize_string deserialize_identifier
        deserialize_bytes deserialize_byte_buf
    }

    floats! { deserialize_f32 deserialize_f64 }

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ReadError> {
        if let Some(substitute) = self.substitute() {
            return substitute.deserialize_any(visitor);
        }
        match &self.node.value {
            Value::Null => visitor.visit_unit(),
            Value::Bool(value) => visitor.visit_bool(*value),
            Value::Integer(value) => visitor.visit_i128(*value),
            Value::Float(value) => visitor.visit_f64(*value),
            Value::Text(text) => visitor.visit_str(text),
            Value::List(_) => self.visit_list(visitor),
            Value::Map(_) => self.visit_fields(None, visitor),
        }
    }

    fn deserialize_bool<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ReadError> {
        if let Some(substitute) = self.substitute() {
            return substitute.deserialize_bool(visitor);
        }
        match self.node.value {
            Value::Bool(value) => visitor.visit_bool(value),
            _ => Err(ReadError::new("true or false")),
        }
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ReadError> {
        if let Some(substitute) = self.substitute() {
            return substitute.deserialize_option(visitor);
        }
        match self.node.value {
            Value::Null => visitor.visit_none(),
            _ => visitor.visit_some(self),
        }
    }

    fn deserialize_unit<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ReadError> {
        match self.node.value {
            Value::Null => visitor.visit_unit(),
            _ => Err(ReadError::new("nothing")),
        }
    }

    fn deserialize_unit_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        visitor: V,
    ) -> Result<V::Value, ReadError> {
        self.deserialize_unit(visitor)
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        visitor: V,
    ) -> Result<V::Value, ReadError> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_seq<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ReadError> {
        match self.substitute() {
            Some(substitute) => substitute.deserialize_seq(visitor),
            None => self.visit_list(visitor),
        }
    }

    fn deserialize_tuple<V: Visitor<'de>>(
        self,
        _: usize,
        visitor: V,
    ) -> Result<V::Value, ReadError> {
        self.deserialize_seq(visitor)
    }

    fn deserialize_tuple_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        _: usize,
        visitor: V,
    ) -> Result<V::Value, ReadError> {
        self.deserialize_seq(visitor)
    }

    fn deserialize_map<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ReadError> {
        match self.substitute() {
            Some(substitute) => substitute.deserialize_map(visitor),
            None => self.visit_fields(None, visitor),
        }
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        name: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, ReadError> {
        match self.substitute() {
            Some(substitute) => substitute.deserialize_struct(name, fields, visitor),
            None => self.visit_fields(Some(fields), visitor),
        }
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        name: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, ReadError> {
        if let Some(substitute) = self.substitute() {
            return substitute.deserialize_enum(name, variants, visitor);
        }
        match &self.node.value {
            Value::Text(text) if variants.contains(&text.as_str()) => {
                visitor.visit_enum(StrDeserializer::new(text))
            }
            _ => Err(ReadError::new(variants.join(", "))),
        }
    }

    fn deserialize_ignored_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ReadError> {
        visitor.visit_unit()
    }
}
