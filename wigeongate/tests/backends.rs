//! The HTTP client of a backend server: which failures prove that a request did not run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use uuid::Uuid;
use wigeongate::backend::{BackendClient, BackendError, BackendRequest, BackendResponse, Fault};
use wigeongate::backend::{HttpBackend, HttpSettings};
use wigeongate_core::ids::{Epoch, RequestId};
use wigeongate_core::time::Millis;
use wigeongate_standin::backend::{Backend, BackendFault};
use wigeongate_standin::relay::Relay;
use wigeongate_standin::serve::ServerHandle;

const ANY_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Far longer than the detection of a dead connection takes.
const LONG_TIMEOUT: Millis = Millis(60_000);

/// A test that takes longer counts as hanging.
const TEST_TIMEOUT: Duration = Duration::from_secs(50);

/// A client that reaches a backend server through a relay.
struct Setup {
    backend: Arc<Backend>,
    relay: Arc<Relay>,
    client: HttpBackend,
    running: [ServerHandle; 2],
}

async fn setup(settings: &HttpSettings) -> Setup {
    let backend = Backend::new("x1".into(), 2);
    let server = backend.spawn(ANY_ADDRESS).await.expect("the server starts");
    let relay = Relay::new();
    let proxy = relay
        .spawn(ANY_ADDRESS, server.address)
        .await
        .expect("the relay starts");
    Setup {
        client: HttpBackend::new(proxy.address, settings),
        backend,
        relay,
        running: [server, proxy],
    }
}

fn backend_request(body: &str, epoch: u64, timeout: Millis) -> BackendRequest {
    BackendRequest {
        id: RequestId(Uuid::now_v7()),
        epoch: Epoch(epoch),
        team: "aarhus".into(),
        path: "check".into(),
        body: body.to_owned().into(),
        timeout,
    }
}

#[derive(Debug, PartialEq, Eq)]
enum Observed {
    Whole,
    NotRun(Fault),
    Unknown(Fault),
}

fn classify(result: &Result<BackendResponse, BackendError>, body: &str) -> Observed {
    match result {
        Ok(answer) => {
            assert_eq!(answer.body, body.as_bytes());
            Observed::Whole
        }
        Err(BackendError::NotRun { fault, .. }) => Observed::NotRun(*fault),
        Err(BackendError::Unknown { fault, .. }) => Observed::Unknown(*fault),
    }
}

struct Case {
    name: &'static str,
    fault: BackendFault,
    /// The newest epoch that the server has seen.
    seen: u64,
    timeout: Millis,
    outcome: Observed,
    runs: usize,
}

#[tokio::test]
async fn each_server_fault_reports_whether_the_request_ran() {
    let none = BackendFault::default;
    let case = |name, fault, outcome, runs| Case {
        name,
        fault,
        seen: 5,
        timeout: LONG_TIMEOUT,
        outcome,
        runs,
    };
    let cases = [
        case("no fault", none(), Observed::Whole, 1),
        case(
            "the response is cut short",
            BackendFault {
                cut_every: 1,
                ..none()
            },
            Observed::Unknown(Fault::Server),
            1,
        ),
        case(
            "no slot is free",
            BackendFault {
                refuse: true,
                ..none()
            },
            Observed::NotRun(Fault::Full),
            0,
        ),
        Case {
            seen: 6,
            ..case(
                "the server has seen a newer epoch",
                none(),
                Observed::NotRun(Fault::StaleEpoch),
                0,
            )
        },
        Case {
            timeout: Millis(200),
            ..case(
                "the response is lost",
                BackendFault {
                    lose_every: 1,
                    ..none()
                },
                Observed::Unknown(Fault::Deadline),
                1,
            )
        },
    ];
    for case in cases {
        let setup = setup(&HttpSettings::default()).await;
        let status = setup.client.status(Epoch(case.seen), LONG_TIMEOUT).await;
        status.expect("the server answers");
        setup.backend.set_fault(case.fault);
        let result = setup
            .client
            .run(backend_request("packet 7", 5, case.timeout))
            .await;
        assert_eq!(classify(&result, "packet 7"), case.outcome, "{}", case.name);
        assert_eq!(setup.backend.runs().len(), case.runs, "{}", case.name);
    }
}

#[tokio::test]
async fn a_response_to_another_request_is_rejected() {
    let setup = setup(&HttpSettings::default()).await;
    let first = setup
        .client
        .run(backend_request("packet 1", 5, LONG_TIMEOUT))
        .await;
    assert_eq!(classify(&first, "packet 1"), Observed::Whole);
    setup.backend.set_fault(BackendFault {
        cross_every: 1,
        ..BackendFault::default()
    });
    let second = setup
        .client
        .run(backend_request("packet 2", 5, LONG_TIMEOUT))
        .await;
    assert_eq!(
        classify(&second, "packet 2"),
        Observed::Unknown(Fault::MismatchedId)
    );
}

#[tokio::test]
async fn a_response_over_the_size_limit_is_an_error() {
    let settings = HttpSettings {
        answer_bytes: 4,
        ..HttpSettings::default()
    };
    let setup = setup(&settings).await;
    let result = setup
        .client
        .run(backend_request("packet 7", 5, LONG_TIMEOUT))
        .await;
    assert_eq!(
        classify(&result, "packet 7"),
        Observed::Unknown(Fault::Server)
    );
}

#[tokio::test]
async fn a_silent_connection_is_detected_and_replaced() {
    let setup = setup(&HttpSettings::default()).await;
    let body = "wait 200 packet 1";
    let result = setup
        .client
        .run(backend_request(body, 5, LONG_TIMEOUT))
        .await;
    assert_eq!(classify(&result, body), Observed::Whole);
    // Every open connection goes silent while the request runs.
    let long = "wait 600000 packet 2";
    let silence = async {
        while setup.backend.running() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        setup.relay.stall_connections();
    };
    let sent = async {
        tokio::join!(
            setup.client.run(backend_request(long, 5, LONG_TIMEOUT)),
            silence
        )
        .0
    };
    let result = tokio::time::timeout(TEST_TIMEOUT, sent).await;
    let result = result.expect("the silent connection is detected before the deadline");
    assert_eq!(classify(&result, long), Observed::Unknown(Fault::Server));
    let result = setup
        .client
        .run(backend_request("packet 3", 5, LONG_TIMEOUT))
        .await;
    assert_eq!(classify(&result, "packet 3"), Observed::Whole);
}

#[tokio::test]
async fn a_request_to_a_stopped_server_did_not_run() {
    let Setup {
        client, running, ..
    } = setup(&HttpSettings::default()).await;
    drop(running);
    let result = client
        .run(backend_request("packet 7", 5, LONG_TIMEOUT))
        .await;
    assert_eq!(
        classify(&result, "packet 7"),
        Observed::NotRun(Fault::Server)
    );
}
