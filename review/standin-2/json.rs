//! A small reader and writer of JSON.

use std::collections::BTreeMap;
use std::fmt;

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

const NULL: Json = Json::Null;

impl Json {
    /// Returns a member, or null.
    pub fn at(&self, key: &str) -> &Json {
        match self {
            Json::Map(map) => map.get(key).unwrap_or(&NULL),
            _ => &NULL,
        }
    }

    pub fn has(&self, key: &str) -> bool {
        matches!(self, Json::Map(map) if map.contains_key(key))
    }

    pub fn num(&self) -> u64 {
        match self {
            Json::Num(value) if *value > 0.0 => *value as u64,
            _ => 0,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Str(text) => text,
            _ => "",
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn map(entries: Vec<(&str, Json)>) -> Json {
        Json::Map(
            entries
                .into_iter()
                .map(|(key, value)| (key.to_owned(), value))
                .collect(),
        )
    }

    pub fn str(text: impl Into<String>) -> Json {
        Json::Str(text.into())
    }

    pub fn int(value: u64) -> Json {
        Json::Num(value as f64)
    }

    /// Parses a text; null if it is no JSON.
    pub fn parse(text: &[u8]) -> Json {
        let mut reader = Reader { text, at: 0 };
        reader.value().unwrap_or(Json::Null)
    }
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.at < self.text.len() && self.text[self.at].is_ascii_whitespace() {
            self.at += 1;
        }
    }

    fn next(&mut self) -> Option<u8> {
        let byte = *self.text.get(self.at)?;
        self.at += 1;
        Some(byte)
    }

    fn skip(&mut self, word: &str, value: Json) -> Option<Json> {
        self.at += word.len() - 1;
        Some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.next()? {
            b'{' => {
                let mut map = BTreeMap::new();
                loop {
                    self.space();
                    match self.next()? {
                        b'}' => return Some(Json::Map(map)),
                        b',' => {}
                        b'"' => {
                            let key = self.string()?;
                            self.space();
                            if self.next()? != b':' {
                                return None;
                            }
                            map.insert(key, self.value()?);
                        }
                        _ => return None,
                    }
                }
            }
            b'[' => {
                let mut list = Vec::new();
                loop {
                    self.space();
                    match self.text.get(self.at)? {
                        b']' => {
                            self.at += 1;
                            return Some(Json::List(list));
                        }
                        b',' => self.at += 1,
                        _ => list.push(self.value()?),
                    }
                }
            }
            b'"' => Some(Json::Str(self.string()?)),
            b't' => self.skip("true", Json::Bool(true)),
            b'f' => self.skip("false", Json::Bool(false)),
            b'n' => self.skip("null", Json::Null),
            _ => {
                let start = self.at - 1;
                while self.at < self.text.len()
                    && matches!(
                        self.text[self.at],
                        b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E'
                    )
                {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.text[start..self.at]).ok()?;
                text.parse().ok().map(Json::Num)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        let mut bytes = Vec::new();
        loop {
            match self.next()? {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => match self.next()? {
                    b'n' => bytes.push(b'\n'),
                    b't' => bytes.push(b'\t'),
                    b'r' => bytes.push(b'\r'),
                    b'u' => {
                        let hex = std::str::from_utf8(self.text.get(self.at..self.at + 4)?).ok()?;
                        let code = u32::from_str_radix(hex, 16).ok()?;
                        self.at += 4;
                        let mut buffer = [0; 4];
                        let text = char::from_u32(code)?.encode_utf8(&mut buffer);
                        bytes.extend_from_slice(text.as_bytes());
                    }
                    other => bytes.push(other),
                },
                other => bytes.push(other),
            }
        }
    }
}

impl fmt::Display for Json {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => out.write_str("null"),
            Json::Bool(value) => write!(out, "{value}"),
            Json::Num(value) if value.fract() == 0.0 => write!(out, "{}", *value as i64),
            Json::Num(value) => write!(out, "{value}"),
            Json::Str(text) => write_text(out, text),
            Json::List(list) => {
                out.write_str("[")?;
                for (at, value) in list.iter().enumerate() {
                    if at > 0 {
                        out.write_str(",")?;
                    }
                    write!(out, "{value}")?;
                }
                out.write_str("]")
            }
            Json::Map(map) => {
                out.write_str("{")?;
                for (at, (key, value)) in map.iter().enumerate() {
                    if at > 0 {
                        out.write_str(",")?;
                    }
                    write_text(out, key)?;
                    write!(out, ":{value}")?;
                }
                out.write_str("}")
            }
        }
    }
}

fn write_text(out: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    out.write_str("\"")?;
    for character in text.chars() {
        match character {
            '"' => out.write_str("\\\"")?,
            '\\' => out.write_str("\\\\")?,
            '\n' => out.write_str("\\n")?,
            c if (c as u32) < 32 => write!(out, "\\u{:04x}", c as u32)?,
            c => write!(out, "{c}")?,
        }
    }
    out.write_str("\"")
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as base64 with padding.
pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = part
            .iter()
            .fold(0u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - part.len()));
        for at in 0..4 {
            if at <= part.len() {
                text.push(DIGITS[(word >> (18 - 6 * at) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Decodes base64; what is no digit is skipped.
pub fn from_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut word, mut bits) = (0u32, 0);
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|it| *it == byte) else {
            continue;
        };
        word = word << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    bytes
}
