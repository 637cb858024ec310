//! One backend server over HTTP: each failure gets its honest outcome.

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
use wigeongate_standin::serve::Running;

const ANY_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Far more than a dead connection takes to be noticed.
const LONG_TIMEOUT: Millis = Millis(60_000);

/// A test that takes longer hangs.
const TEST_TIMEOUT: Duration = Duration::from_secs(50);

struct Setup {
    backend: Arc<Backend>,
    relay: Arc<Relay>,
    client: HttpBackend,
    running: [Running; 2],
}

async fn setup(settings: &HttpSettings) -> Setup {
    let backend = Backend::new("x1".into(), 2);
    let server = backend.spawn(ANY_ADDRESS).await.expect("it starts");
    let relay = Relay::new();
    let proxy = relay
        .spawn(ANY_ADDRESS, server.address)
        .await
        .expect("it starts");
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
    /// The epoch that the server has seen.
    seen: u64,
    timeout: Millis,
    outcome: Observed,
    runs: usize,
}

#[tokio::test]
async fn faults_of_a_server_have_honest_outcomes() {
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
        case("none", none(), Observed::Whole, 1),
        case(
            "an answer is cut",
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
                "a newer epoch",
                none(),
                Observed::NotRun(Fault::StaleEpoch),
                0,
            )
        },
        Case {
            timeout: Millis(200),
            ..case(
                "an answer is lost",
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
        status.expect("it answers");
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
async fn an_answer_to_another_request_is_dropped() {
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
async fn an_answer_over_the_bound_is_no_success() {
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
async fn a_silent_connection_is_noticed_and_a_new_one_works() {
    let setup = setup(&HttpSettings::default()).await;
    let body = "wait 200 packet 1";
    let result = setup
        .client
        .run(backend_request(body, 5, LONG_TIMEOUT))
        .await;
    assert_eq!(classify(&result, body), Observed::Whole);
    // The request is on its way when every open connection goes silent.
    let long = "wait 600000 packet 2";
    let silence = async {
        while setup.backend.running() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        setup.relay.silence();
    };
    let sent = async {
        tokio::join!(
            setup.client.run(backend_request(long, 5, LONG_TIMEOUT)),
            silence
        )
        .0
    };
    let result = tokio::time::timeout(TEST_TIMEOUT, sent).await;
    let result = result.expect("the silence is noticed before the deadline");
    assert_eq!(classify(&result, long), Observed::Unknown(Fault::Server));
    let result = setup
        .client
        .run(backend_request("packet 3", 5, LONG_TIMEOUT))
        .await;
    assert_eq!(classify(&result, "packet 3"), Observed::Whole);
}

#[tokio::test]
async fn a_server_that_is_gone_has_not_run_the_request() {
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
