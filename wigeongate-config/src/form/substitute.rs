//! Placeholder values for invalid or missing parts of a document.

use serde::de::value::{MapDeserializer, SeqDeserializer, StrDeserializer};
use serde::de::{Deserializer, Visitor};
use serde::forward_to_deserialize_any;

use super::error::ReadError;

/// Texts accepted by the types of this crate; they are tried in order.
pub const SUBSTITUTES: [&str; 4] = [
    "",
    "0.0.0.0:0",
    "0.0.0.0/0",
    "0000000000000000000000000000000000000000000000000000000000000000",
];

/// Deserializes to a placeholder of the requested type; the index selects from `SUBSTITUTES`.
pub struct Substitute(pub usize);

impl Substitute {
    fn text(&self) -> &'static str {
        SUBSTITUTES.get(self.0).copied().unwrap_or_default()
    }
}

macro_rules! numbers {
    ($($method:ident)+) => {$(
        fn $method<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ReadError> {
            visitor.visit_u64(0)
        }
    )+};
}

impl<'de> Deserializer<'de> for Substitute {
    type Error = ReadError;

    numbers! {
        deserialize_i8 deserialize_i16 deserialize_i32 deserialize_i64 deserialize_i128
        deserialize_u8 deserialize_u16 deserialize_u32 deserialize_u64 deserialize_u128
        deserialize_f32 deserialize_f64
    }

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ReadError> {
        visitor.visit_str(self.text())
    }

    fn deserialize_bool<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ReadError> {
        visitor.visit_bool(false)
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ReadError> {
        visitor.visit_none()
    }

    fn deserialize_seq<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ReadError> {
        visitor.visit_seq(SeqDeserializer::new(std::iter::empty::<u8>()))
    }

    fn deserialize_map<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ReadError> {
        visitor.visit_map(MapDeserializer::new(std::iter::empty::<(u8, u8)>()))
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        _: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, ReadError> {
        self.deserialize_map(visitor)
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, ReadError> {
        let first = variants.first().copied().unwrap_or_default();
        visitor.visit_enum(StrDeserializer::new(first))
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        visitor: V,
    ) -> Result<V::Value, ReadError> {
        visitor.visit_newtype_struct(self)
    }

    forward_to_deserialize_any! {
        char str string bytes byte_buf unit unit_struct tuple tuple_struct identifier ignored_any
    }
}
