//! Statsd lines that metrics send.

use std::net::UdpSocket;
use std::time::Duration;

use wigeongate::metrics::{Counter, Gauge, Metrics, WaitClass};
use wigeongate_config::rules::Class;
use wigeongate_config::settings::MetricsSettings;
use wigeongate_core::job::Kind;

/// A call and the line that it must send.
struct Case {
    send: fn(&Metrics),
    line: &'static str,
}

const CASES: [Case; 8] = [
    Case {
        send: |m| m.record_wait(&"press".into(), Class::Instant, Duration::from_millis(12)),
        line: "wg.waiting_ms:12|h|#gate:gate-1,team:press,class:instant",
    },
    Case {
        send: |m| m.record_wait(&"web".into(), Kind::Gang, Duration::from_secs(3)),
        line: "wg.waiting_ms:3000|h|#gate:gate-1,team:web,class:gang",
    },
    Case {
        send: |m| m.record_wait(&"web".into(), WaitClass::Urgent, Duration::ZERO),
        line: "wg.waiting_ms:0|h|#gate:gate-1,team:web,class:urgent",
    },
    Case {
        send: |m| m.record_answer(&"web".into(), &"a".into(), Duration::from_millis(7)),
        line: "wg.answer_ms:7|h|#gate:gate-1,team:web,queue:a",
    },
    Case {
        send: |m| m.record_call("store", "txn", Duration::from_millis(2)),
        line: "wg.call_ms:2|h|#gate:gate-1,peer:store,step:txn",
    },
    Case {
        send: |m| m.count(Counter::TasksStarted),
        line: "wg.tasks.started:1|c|#gate:gate-1",
    },
    Case {
        send: |m| m.count_for_team(Counter::RequestsNotRun, &"web".into()),
        line: "wg.requests.not_run:1|c|#gate:gate-1,team:web",
    },
    Case {
        send: |m| m.set_gauge(Gauge::Revision, 9),
        line: "wg.configuration.revision:9|g|#gate:gate-1",
    },
];

#[test]
fn each_call_sends_one_line() {
    let server = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    let receive_timeout = Some(Duration::from_mins(1));
    server
        .set_read_timeout(receive_timeout)
        .expect("the timeout is set");
    let settings = MetricsSettings {
        address: server.local_addr().expect("the socket is bound"),
        prefix: "wg".to_owned(),
    };
    let metrics = Metrics::new(&settings, "gate-1").expect("the socket opens");
    for case in &CASES {
        (case.send)(&metrics);
        let mut line = [0; 512];
        let length = server.recv(&mut line).expect("a line arrives");
        assert_eq!(String::from_utf8_lossy(&line[..length]), case.line);
    }
}

#[test]
fn metrics_without_a_reachable_server_do_not_panic() {
    let server = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    let settings = MetricsSettings {
        address: server.local_addr().expect("the socket is bound"),
        ..MetricsSettings::default()
    };
    drop(server);
    let unreachable = Metrics::new(&settings, "gate-1").expect("the socket opens");
    for metrics in [Metrics::default(), unreachable] {
        for case in &CASES {
            (case.send)(&metrics);
        }
    }
}
