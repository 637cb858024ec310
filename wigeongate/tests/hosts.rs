//! Backend servers on hosts that the platform lists as leaving or no longer lists.

use std::net::SocketAddr;

use wigeongate::client::client;
use wigeongate::requests::hosts::{HostHistory, HostSource, HttpHostSource};
use wigeongate_api::hosts::{HostList, ListedHost};
use wigeongate_config::inventory::{Backend, Host, Inventory};
use wigeongate_standin::hosts::Hosts as StandIn;

fn inventory() -> Inventory {
    let at = |text: &str| text.parse::<SocketAddr>().expect("the address is valid");
    Inventory {
        hosts: vec![Host {
            name: "w01".into(),
            zone: "z1".into(),
            rack: "r1".into(),
            address: at("127.0.1.10:7100"),
            cores: 1,
            memory_gib: 1,
            accelerators: 0,
        }],
        backends: vec![Backend {
            name: "x01".into(),
            zone: "z1".into(),
            rack: "r1".into(),
            address: at("127.0.1.10:7200"),
            slots: 8,
            connections: 60,
            queues: Vec::new(),
        }],
        ..Inventory::default()
    }
}

fn list(lines: &[(&str, bool)]) -> HostList {
    let line = |(name, leaving): &(&str, bool)| ListedHost {
        name: (*name).into(),
        leaving: *leaving,
    };
    HostList {
        hosts: lines.iter().map(line).collect(),
    }
}

struct Case {
    name: &'static str,
    lists: &'static [&'static [(&'static str, bool)]],
    leaving: bool,
}

#[test]
fn a_host_counts_as_leaving_when_listed_as_leaving_or_no_longer_listed() {
    let cases = [
        Case {
            name: "no list was received",
            lists: &[],
            leaving: false,
        },
        Case {
            name: "the host was never listed",
            lists: &[&[("w02", false)]],
            leaving: false,
        },
        Case {
            name: "the host is listed and not leaving",
            lists: &[&[("w01", false)]],
            leaving: false,
        },
        Case {
            name: "the host is listed as leaving",
            lists: &[&[("w01", false)], &[("w01", true)]],
            leaving: true,
        },
        Case {
            name: "the host is no longer listed",
            lists: &[&[("w01", false)], &[("w02", false)]],
            leaving: true,
        },
        Case {
            name: "the host is listed as not leaving again",
            lists: &[&[("w01", true)], &[("w01", false)]],
            leaving: false,
        },
        Case {
            name: "only the name of the backend server is listed",
            lists: &[&[("x01", true)]],
            leaving: false,
        },
    ];
    let inventory = inventory();
    for case in cases {
        let seen = HostHistory::default();
        for lines in case.lists {
            seen.update(&list(lines));
        }
        let leaving = seen.is_leaving(&inventory, &inventory.backends[0]);
        assert_eq!(leaving, case.leaving, "{}", case.name);
    }
}

#[tokio::test]
async fn the_host_list_is_read_over_http() {
    let standin = StandIn::new();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let running = standin.spawn(any).await.expect("the stand-in starts");
    standin.set(list(&[("w01", true)]));
    let hosts = HttpHostSource::new(client(), &format!("http://{}/", running.address));
    let read = hosts.list().await.expect("the stand-in answers");
    assert_eq!(read, list(&[("w01", true)]));
}
