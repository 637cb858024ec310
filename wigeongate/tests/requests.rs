//! Requests of callers through one gate: API keys, idempotency keys and malformed input.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use reqwest::{Client, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use uuid::Uuid;
use wigeongate::client::client;
use wigeongate::dev::{Dev, OPERATOR_KEY, Options};
use wigeongate_api::caller::{IDEMPOTENCY_HEADER, REPLAYED_HEADER};
use wigeongate_api::problem::{Execution, Problem};
use wigeongate_config::change::Change;

const KEY: &str = "example-key-aarhus";

/// A test that takes longer counts as hanging.
const TEST_TIMEOUT: Duration = Duration::from_mins(1);

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../examples/smakrav")
        .join(name)
}

async fn start() -> Dev {
    let inventory = example("inventory.yaml");
    let rules = example("rules.yaml");
    let options = Options {
        inventory: &inventory,
        rules: &rules,
        key: KEY,
        metrics: None,
    };
    let dev = Dev::start(&options).await.expect("the gate starts");
    // Requests fail until the gate owns its lanes.
    let until = tokio::time::Instant::now() + TEST_TIMEOUT;
    while send(&client(), dev.address, "validations", None, "ready")
        .await
        .status()
        != 200
    {
        assert!(
            tokio::time::Instant::now() < until,
            "the gate did not become ready"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    dev
}

async fn send(
    client: &Client,
    gate: SocketAddr,
    queue: &str,
    idempotency: Option<&str>,
    body: &str,
) -> Response {
    let url = format!("http://{gate}/v1/queues/{queue}/requests/check");
    let mut request = client.post(url).bearer_auth(KEY).body(body.to_owned());
    if let Some(key) = idempotency {
        request = request.header(IDEMPOTENCY_HEADER, key);
    }
    request.send().await.expect("the gate answers")
}

#[tokio::test]
async fn a_repeated_idempotency_key_replays_the_first_response() {
    let dev = start().await;
    let client = client();
    for key in [Uuid::now_v7().to_string(), "order-17".to_owned()] {
        let first = send(&client, dev.address, "filings", Some(&key), "claim 1").await;
        assert_eq!(first.status(), 200);
        assert_eq!(first.headers().get(REPLAYED_HEADER), None);
        let again = send(&client, dev.address, "filings", Some(&key), "claim 1").await;
        assert_eq!(again.status(), 200);
        let replayed = again.headers().get(REPLAYED_HEADER).cloned();
        assert_eq!(
            replayed.expect("the response is marked as replayed"),
            "true"
        );
        assert_eq!(again.text().await.expect("the body is complete"), "claim 1");
        let other = send(&client, dev.address, "filings", Some(&key), "claim 2").await;
        assert_eq!(other.status(), 422);
    }
    dev.stop().await.expect("the gate stops");
}

#[tokio::test]
async fn a_withdrawn_key_is_refused_on_open_connections() {
    let dev = start().await;
    let client = client();
    let name = "aarhus-2026".to_owned();
    let change = Change::WithdrawKey { name };
    let url = format!("http://{}/v1/operator/changes", dev.address);
    let changed = client.post(url).bearer_auth(OPERATOR_KEY).json(&change);
    let changed = changed.send().await.expect("the gate answers");
    assert!(changed.status().is_success(), "{:?}", changed.text().await);
    let until = tokio::time::Instant::now() + TEST_TIMEOUT;
    loop {
        let refused = send(&client, dev.address, "validations", None, "x").await;
        if refused.status() == 401 {
            break;
        }
        assert!(tokio::time::Instant::now() < until, "the key still works");
    }
    dev.stop().await.expect("the gate stops");
}

struct BadRequest {
    name: &'static str,
    head: &'static str,
    body: &'static str,
    status: u16,
}

const PATH: &str = "/v1/queues/validations/requests/check";

/// `KEY` is replaced by an `Authorization` header with the key of a team.
const BAD_REQUESTS: [BadRequest; 12] = [
    BadRequest {
        name: "an unknown key",
        head: "authorization: Bearer nobody\r\ncontent-length: 1\r\n",
        body: "x",
        status: 401,
    },
    BadRequest {
        name: "no key",
        head: "content-length: 1\r\n",
        body: "x",
        status: 401,
    },
    BadRequest {
        name: "two keys",
        head: "KEYauthorization: Bearer other\r\ncontent-length: 1\r\n",
        body: "x",
        status: 400,
    },
    BadRequest {
        name: "two idempotency keys",
        head: "KEYidempotency-key: a\r\nidempotency-key: b\r\ncontent-length: 1\r\n",
        body: "x",
        status: 400,
    },
    BadRequest {
        name: "an empty idempotency key",
        head: "KEYidempotency-key: \"\"\r\ncontent-length: 1\r\n",
        body: "x",
        status: 400,
    },
    BadRequest {
        name: "a deadline that is not a number",
        head: "KEYwigeongate-deadline-ms: soon\r\ncontent-length: 1\r\n",
        body: "x",
        status: 400,
    },
    BadRequest {
        name: "a body over the size limit",
        head: "KEYcontent-length: 99999999\r\n",
        body: "x",
        status: 413,
    },
    BadRequest {
        name: "two different content lengths",
        head: "KEYcontent-length: 1\r\ncontent-length: 2\r\n",
        body: "xx",
        status: 400,
    },
    BadRequest {
        name: "a content length that is not a number",
        head: "KEYcontent-length: -1\r\n",
        body: "x",
        status: 400,
    },
    BadRequest {
        name: "a chunk size that is not a number",
        head: "KEYtransfer-encoding: chunked\r\n",
        body: "zz\r\nx\r\n0\r\n\r\n",
        status: 400,
    },
    BadRequest {
        name: "a space before the colon",
        head: "KEYcontent-length : 1\r\n",
        body: "x",
        status: 400,
    },
    BadRequest {
        name: "an unknown transfer coding",
        head: "KEYtransfer-encoding: gzip\r\n",
        body: "x",
        status: 400,
    },
];

#[tokio::test]
async fn malformed_requests_are_refused_and_the_gate_still_serves() {
    let key = "authorization: Bearer example-key-aarhus\r\n";
    let dev = start().await;
    for case in BAD_REQUESTS {
        let head = case.head.replace("KEY", key);
        let text = format!(
            "POST {PATH} HTTP/1.1\r\nhost: gate\r\n{head}\r\n{}",
            case.body
        );
        let answer = send_raw(dev.address, text.as_bytes()).await;
        let status = format!("HTTP/1.1 {}", case.status);
        assert!(answer.starts_with(&status), "{}: {answer}", case.name);
        let valid = send(&client(), dev.address, "validations", None, "packet").await;
        assert_eq!(valid.status(), 200, "after {}", case.name);
    }
    dev.stop().await.expect("the gate stops");
}

/// A request hidden behind both a content length and a chunked body (request smuggling) must never
/// be answered.
#[tokio::test]
async fn a_smuggled_request_is_not_answered() {
    let dev = start().await;
    let hidden = format!("POST {PATH} HTTP/1.1\r\nhost: gate\r\ncontent-length: 0\r\n\r\n");
    let text = format!(
        "POST {PATH} HTTP/1.1\r\nhost: gate\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 6\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{hidden}"
    );
    let answer = send_raw(dev.address, text.as_bytes()).await;
    assert!(answer.matches("HTTP/1.1 ").count() <= 1, "{answer}");
    dev.stop().await.expect("the gate stops");
}

#[tokio::test]
async fn paths_with_dot_segments_are_refused() {
    let dev = start().await;
    for path in ["../status", "a/../../status", "%2e%2e/status", "."] {
        let text = format!(
            "POST /v1/queues/validations/requests/{path} HTTP/1.1\r\nhost: gate\r\n\
             authorization: Bearer {KEY}\r\ncontent-length: 0\r\n\r\n"
        );
        let answer = send_raw(dev.address, text.as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{path}: {answer}");
    }
    dev.stop().await.expect("the gate stops");
}

#[tokio::test]
async fn a_missed_deadline_reports_that_the_request_did_not_run() {
    let dev = start().await;
    let client = client();
    let late = client
        .post(format!("http://{}{PATH}", dev.address))
        .bearer_auth(KEY)
        .header("wigeongate-deadline-ms", "0")
        .body("packet")
        .send()
        .await
        .expect("the gate answers");
    assert!(matches!(late.status().as_u16(), 408 | 503));
    let problem: Problem = late
        .json()
        .await
        .expect("the response is a problem document");
    assert_eq!(problem.execution, Execution::NotRun);
    dev.stop().await.expect("the gate stops");
}

/// Sends bytes and reads until the gate closes the connection or sends nothing more after an
/// answer.
async fn send_raw(gate: SocketAddr, text: &[u8]) -> String {
    let mut stream = TcpStream::connect(gate).await.expect("the gate listens");
    stream
        .write_all(text)
        .await
        .expect("the gate accepts the bytes");
    let mut answer = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let wait = if answer.is_empty() {
            TEST_TIMEOUT
        } else {
            Duration::from_millis(300)
        };
        match tokio::time::timeout(wait, stream.read(&mut buffer)).await {
            Ok(Ok(count @ 1..)) => answer.extend_from_slice(&buffer[..count]),
            _ => return String::from_utf8_lossy(&answer).into_owned(),
        }
    }
}
