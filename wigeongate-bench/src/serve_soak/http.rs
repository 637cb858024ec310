//! A small HTTP/1.1 server and client, of which each call on a connection is carried out even when
//! its sender has closed the connection meanwhile.

use std::collections::HashMap;
use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// A request.
#[derive(Debug)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The path without the query.
    pub path: String,
    /// The parameters of the query.
    pub query: HashMap<String, String>,
    /// The headers, by their names in lower case.
    pub headers: HashMap<String, String>,
    /// The body, or null if it is no JSON.
    pub body: Value,
}

/// A status and a body.
pub type Reply = (u16, Value);

/// Serves all connections of a listener for good.
pub async fn serve<F, A>(listener: TcpListener, answer: F)
where
    F: Fn(Request) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Reply> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let answer = answer.clone();
        tokio::spawn(async move { serve_connection(stream, answer).await });
    }
}

async fn serve_connection<F, A>(stream: TcpStream, answer: F) -> std::io::Result<()>
where
    F: Fn(Request) -> A,
    A: Future<Output = Reply>,
{
    stream.set_nodelay(true)?;
    let (reader, mut writer) = stream.into_split();
    let mut reader = BufReader::new(reader);
    while let Some(request) = read_request(&mut reader).await? {
        let closes = request
            .headers
            .get("connection")
            .is_some_and(|it| it == "close");
        let (status, body) = answer(request).await;
        let body = body.to_string();
        let length = body.len();
        let text = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        writer.write_all(text.as_bytes()).await?;
        if closes {
            break;
        }
    }
    Ok(())
}

async fn read_request(reader: &mut BufReader<OwnedReadHalf>) -> std::io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line).await? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace().map(str::to_owned);
    let method = words.next().unwrap_or_default();
    let target = words.next().unwrap_or_default();
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).await? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length");
    let mut body = vec![0; length.and_then(|it| it.parse().ok()).unwrap_or(0)];
    reader.read_exact(&mut body).await?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Ok(Some(Request {
        method,
        path: path.to_owned(),
        query: pairs
            .map(|(name, value)| (name.to_owned(), value.replace("%2F", "/")))
            .collect(),
        headers,
        body: serde_json::from_slice(&body).unwrap_or_default(),
    }))
}

/// A call on a connection of its own.
#[derive(Debug, Clone, Copy)]
pub struct Call<'a> {
    /// The address.
    pub peer: SocketAddr,
    /// The method.
    pub method: &'a str,
    /// The path with its query.
    pub path: &'a str,
    /// Further headers, each with its line end.
    pub headers: &'a str,
    /// The body; null for none.
    pub body: &'a Value,
    /// The time until the whole answer is there.
    pub limit: Duration,
}

/// Makes a call; fails without a whole answer in time.
pub async fn call(call: Call<'_>) -> std::io::Result<Reply> {
    timeout(call.limit, exchange(call))
        .await
        .unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))
}

async fn exchange(call: Call<'_>) -> std::io::Result<Reply> {
    let mut stream = TcpStream::connect(call.peer).await?;
    let body = match call.body {
        Value::Null => String::new(),
        body => body.to_string(),
    };
    let text = format!(
        "{} {} HTTP/1.1\r\nConnection: close\r\n{}Content-Length: {}\r\n\r\n{body}",
        call.method,
        call.path,
        call.headers,
        body.len()
    );
    stream.write_all(text.as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    let status = answer.split_whitespace().nth(1);
    let status = status.and_then(|it| it.parse().ok());
    let status = status.ok_or_else(|| Error::from(ErrorKind::InvalidData))?;
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    Ok((status, serde_json::from_str(body).unwrap_or_default()))
}
