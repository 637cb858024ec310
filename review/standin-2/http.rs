//! HTTP/1.1 on loopback: a server with a thread for each connection, and a client for single calls.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::Shutdown;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::json::Json;

/// A request as a server sees it.
#[derive(Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value.as_str())
    }

    pub fn param(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    pub fn json(&self) -> Json {
        Json::parse(&self.body)
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("20");
            out.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads the first line, the headers and the body of a message.
fn read_message(
    reader: &mut BufReader<TcpStream>,
) -> Option<(String, Vec<(String, String)>, Vec<u8>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let (mut headers, mut length) = (Vec::new(), 0);
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
        let value = value.trim();
        if name.eq_ignore_ascii_case("content-length") {
            length = value.parse().ok()?;
        }
        headers.push((name.to_owned(), value.to_owned()));
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first.trim_end().to_owned(), headers, body))
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers, body) = read_message(reader)?;
    let mut words = first.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs
        .map(|(key, value)| (unescape(key), unescape(value)))
        .collect();
    Some(Request {
        method,
        path: path.to_owned(),
        query,
        headers,
        body,
    })
}

/// A running server; it can be ended like a process that is killed.
pub struct Server {
    pub address: SocketAddr,
    stop: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Ends the server with all of its connections, as a crash does.
    pub fn crash(&self) {
        self.stop.store(true, Ordering::Relaxed);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves requests on an address; port 0 picks a free one. A handler without an answer leaves the
/// caller without one.
pub fn serve<F>(address: &str, handler: F) -> std::io::Result<Server>
where
    F: Fn(&Request) -> Option<(u16, Json)> + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    listener.set_nonblocking(true)?;
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = Arc::clone(&stop);
    let open = Arc::new(Mutex::new(Vec::new()));
    let streams = Arc::clone(&open);
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        while !stopped.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) => {
                    if let Ok(clone) = stream.try_clone() {
                        streams.lock().unwrap().push(clone);
                    }
                    let handler = Arc::clone(&handler);
                    let stopped = Arc::clone(&stopped);
                    std::thread::spawn(move || serve_connection(stream, &*handler, &stopped));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    });
    Ok(Server {
        address: bound,
        stop,
        open,
    })
}

/// Answers the requests of one connection.
fn serve_connection<F>(stream: TcpStream, handler: &F, stopped: &AtomicBool)
where
    F: Fn(&Request) -> Option<(u16, Json)>,
{
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        if stopped.load(Ordering::Relaxed) {
            return;
        }
        let Some((status, body)) = handler(&request) else {
            std::thread::sleep(Duration::from_secs(3));
            return;
        };
        if stopped.load(Ordering::Relaxed) {
            return;
        }
        let body = body.to_string();
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if writer
            .write_all(format!("{head}{body}").as_bytes())
            .is_err()
        {
            return;
        }
    }
}

/// Makes one call on a connection of its own; `None` without a complete answer in time.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, Json)> {
    let stream = TcpStream::connect_timeout(&address.parse().ok()?, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nConnection: close\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    writer
        .write_all(format!("{head}\r\n{body}").as_bytes())
        .ok()?;
    let (first, _, body) = read_message(&mut BufReader::new(stream))?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, Json::parse(&body)))
}
