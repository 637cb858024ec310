//! JSON, base64 and HTTP/1.1 with the standard library alone.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Map(rows) => rows
                .iter()
                .find(|(key, _)| key == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Str(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Num(value) if *value >= 0.0 => Some(*value as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn write(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
            Json::Num(value) if value.fract() == 0.0 => out.push_str(&format!("{}", *value as i64)),
            Json::Num(value) => out.push_str(&value.to_string()),
            Json::Str(text) => {
                out.push('"');
                for c in text.chars() {
                    match c {
                        '"' => out.push_str("\\\""),
                        '\\' => out.push_str("\\\\"),
                        c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
                        c => out.push(c),
                    }
                }
                out.push('"');
            }
            Json::List(list) => {
                out.push('[');
                for (at, value) in list.iter().enumerate() {
                    if at > 0 {
                        out.push(',');
                    }
                    value.write(out);
                }
                out.push(']');
            }
            Json::Map(rows) => {
                out.push('{');
                for (at, (key, value)) in rows.iter().enumerate() {
                    if at > 0 {
                        out.push(',');
                    }
                    Json::Str(key.clone()).write(out);
                    out.push(':');
                    value.write(out);
                }
                out.push('}');
            }
        }
    }

    pub fn encode(&self) -> String {
        let mut out = String::new();
        self.write(&mut out);
        out
    }

    pub fn parse(text: &str) -> Option<Json> {
        let bytes: Vec<char> = text.chars().collect();
        let mut at = 0;
        parse_value(&bytes, &mut at)
    }
}

pub fn map(rows: &[(&str, Json)]) -> Json {
    Json::Map(
        rows.iter()
            .map(|(key, value)| ((*key).to_owned(), value.clone()))
            .collect(),
    )
}

pub fn num(value: u64) -> Json {
    Json::Num(value as f64)
}

pub fn text(value: &str) -> Json {
    Json::Str(value.to_owned())
}

fn skip(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn parse_value(chars: &[char], at: &mut usize) -> Option<Json> {
    skip(chars, at);
    match *chars.get(*at)? {
        '{' => {
            *at += 1;
            let mut rows = Vec::new();
            loop {
                skip(chars, at);
                match chars.get(*at)? {
                    '}' => {
                        *at += 1;
                        return Some(Json::Map(rows));
                    }
                    ',' => *at += 1,
                    _ => {
                        let Json::Str(key) = parse_value(chars, at)? else {
                            return None;
                        };
                        skip(chars, at);
                        if *chars.get(*at)? != ':' {
                            return None;
                        }
                        *at += 1;
                        rows.push((key, parse_value(chars, at)?));
                    }
                }
            }
        }
        '[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(chars, at);
                match chars.get(*at)? {
                    ']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    ',' => *at += 1,
                    _ => list.push(parse_value(chars, at)?),
                }
            }
        }
        '"' => {
            *at += 1;
            let mut out = String::new();
            loop {
                let c = *chars.get(*at)?;
                *at += 1;
                match c {
                    '"' => return Some(Json::Str(out)),
                    '\\' => {
                        let c = *chars.get(*at)?;
                        *at += 1;
                        match c {
                            'n' => out.push('\n'),
                            't' => out.push('\t'),
                            'r' => out.push('\r'),
                            'b' => out.push('\u{8}'),
                            'f' => out.push('\u{c}'),
                            'u' => {
                                let hex: String = chars.get(*at..*at + 4)?.iter().collect();
                                *at += 4;
                                let code = u32::from_str_radix(&hex, 16).ok()?;
                                out.push(char::from_u32(code).unwrap_or('?'));
                            }
                            c => out.push(c),
                        }
                    }
                    c => out.push(c),
                }
            }
        }
        't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let begin = *at;
            while chars
                .get(*at)
                .is_some_and(|c| c.is_ascii_digit() || "+-.eE".contains(*c))
            {
                *at += 1;
            }
            let number: String = chars[begin..*at].iter().collect();
            number.parse().ok().map(Json::Num)
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let at = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let word = at(0) << 16 | at(1) << 8 | at(2);
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(DIGITS[(word >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Json,
}

pub type Reply = (u16, Json);

fn unescape(value: &str) -> String {
    let bytes = value.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let byte = u8::from_str_radix(&value[at + 1..at + 3], 16).unwrap_or(b'?');
            out.push(byte);
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a head and its body; `None` at the end of the connection.
fn read_message(
    reader: &mut BufReader<TcpStream>,
) -> Option<(String, HashMap<String, String>, Vec<u8>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers
        .get("content-length")
        .and_then(|it| it.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first.trim_end().to_owned(), headers, body))
}

/// Serves every connection of a listener in a thread of its own.
pub fn serve(listener: TcpListener, answer: Arc<dyn Fn(Request) -> Reply + Send + Sync>) {
    for stream in listener.incoming() {
        let Ok(stream) = stream else { continue };
        let answer = Arc::clone(&answer);
        std::thread::spawn(move || {
            let _ = stream.set_nodelay(true);
            let Ok(mut out) = stream.try_clone() else {
                return;
            };
            let mut reader = BufReader::new(stream);
            while let Some((first, headers, body)) = read_message(&mut reader) {
                let mut words = first.split(' ');
                let method = words.next().unwrap_or_default().to_owned();
                let target = words.next().unwrap_or_default();
                let (path, query) = target.split_once('?').unwrap_or((target, ""));
                let query = query
                    .split('&')
                    .filter_map(|pair| pair.split_once('='))
                    .map(|(key, value)| (key.to_owned(), unescape(value)))
                    .collect();
                let body = Json::parse(&String::from_utf8_lossy(&body)).unwrap_or(Json::Null);
                let path = path.to_owned();
                let (status, body) = answer(Request {
                    method,
                    path,
                    query,
                    headers,
                    body,
                });
                let body = body.encode();
                let reply = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if out.write_all(reply.as_bytes()).is_err() {
                    return;
                }
            }
        });
    }
}

/// Makes one call on a connection of its own; `None` without a complete answer in time.
pub fn call(
    peer: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<Reply> {
    let stream = TcpStream::connect_timeout(&peer, limit).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head.push_str(&format!("Host: {peer}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        head.push_str("Content-Type: application/json\r\n");
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    let mut out = stream.try_clone().ok()?;
    out.write_all(head.as_bytes()).ok()?;
    let (first, _, body) = read_message(&mut BufReader::new(stream))?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = Json::parse(&String::from_utf8_lossy(&body)).unwrap_or(Json::Null);
    Some((status, body))
}
