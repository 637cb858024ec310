//! Changes to a configuration are checked as a whole before they are applied.

use std::path::Path;

use wigeongate_config::change::{Change, InvalidChange};
use wigeongate_config::configuration::Configuration;
use wigeongate_config::inventory::{Inventory, Key};
use wigeongate_config::key::KeyHash;
use wigeongate_config::load::read;
use wigeongate_config::rules::{Queue, Rules};

fn inventory() -> Inventory {
    read(Path::new("tests/right/inventory.yaml")).expect("the inventory is valid")
}

fn configuration() -> Configuration {
    Configuration {
        inventory: inventory(),
        ..Configuration::default()
    }
}

fn key(name: &str, team: &str, text: &str) -> Key {
    Key {
        name: name.to_owned(),
        team: team.into(),
        hash: KeyHash::of(text),
    }
}

/// A change that is rejected with an error message.
struct Case {
    change: Change,
    error: &'static str,
}

#[test]
fn invalid_changes_are_rejected_with_the_field_path() {
    let mut invalid = inventory();
    invalid.hosts[1].cores = 0;
    invalid.teams[0].share = 0;
    invalid.teams[1].share = 0;
    let queue = Queue {
        name: "a".into(),
        team: Some("prss".into()),
        ..Queue::default()
    };
    let rules = Rules {
        queues: vec![queue],
        ..Rules::default()
    };
    let cases = [
        Case {
            change: Change::Apply {
                inventory: Some(invalid),
                rules: None,
            },
            error: "inventory.hosts[1].cores: found 0; allowed: a whole number from 1 to 65536\n\
                inventory.teams: found shares that sum to 0; allowed: at least one team with a \
                share of 1 or more",
        },
        Case {
            change: Change::Apply {
                inventory: None,
                rules: Some(rules),
            },
            error: "rules.queues[0].team: found \"prss\"; allowed: a team: press, web",
        },
        Case {
            change: Change::GrantKey {
                key: key("spare key", "web", "spare"),
            },
            error: "inventory.keys[1].name: found \"spare key\"; allowed: 1 to 63 ASCII \
                letters, digits, '-', '_' or '.'",
        },
        Case {
            change: Change::GrantKey {
                key: key("press-1", "web", "spare"),
            },
            error: "key \"press-1\" is already there",
        },
        Case {
            change: Change::GrantKey {
                key: key("spare", "wbe", "spare"),
            },
            error: "team \"wbe\" is not in the inventory",
        },
    ];
    for case in cases {
        let error = configuration()
            .with_change(case.change)
            .expect_err(case.error);
        assert_eq!(error.to_string(), case.error);
    }
}

#[test]
fn one_key_cannot_belong_to_two_teams() {
    let granted = configuration()
        .with_change(Change::GrantKey {
            key: key("web-1", "web", "spare"),
        })
        .expect("the key is new");
    let result = granted.with_change(Change::GrantKey {
        key: key("press-2", "press", "spare"),
    });
    assert!(
        matches!(result, Err(InvalidChange::Invalid(_))),
        "{result:?}"
    );
}

#[test]
fn a_key_can_be_withdrawn_from_an_invalid_configuration() {
    let mut invalid = configuration();
    invalid.inventory.hosts[0].cores = 0;
    let name = "press-1".to_owned();
    let next = invalid.with_change(Change::WithdrawKey { name });
    assert!(next.expect("the key exists").inventory.keys.is_empty());
}

#[test]
fn a_withdrawn_key_cannot_be_added_again() {
    let name = "press-1".to_owned();
    let withdrawn = configuration()
        .with_change(Change::WithdrawKey { name })
        .expect("the key exists");
    let old = Change::Apply {
        inventory: Some(inventory()),
        rules: None,
    };
    let error = withdrawn
        .with_change(old)
        .expect_err("the inventory contains the withdrawn key");
    let expected = "inventory.keys[0].hash: found the withdrawn key \"press-1\"; allowed: a key \
        that was never withdrawn";
    assert_eq!(error.to_string(), expected);
    let mut key = inventory().keys.remove(0);
    key.name = "press-2".to_owned();
    let granted = withdrawn.with_change(Change::GrantKey { key });
    assert!(
        matches!(granted, Err(InvalidChange::Invalid(_))),
        "{granted:?}"
    );
}

#[test]
fn a_configuration_larger_than_one_store_value_is_rejected() {
    let mut large = inventory();
    let host = large.hosts[0].clone();
    for number in 0..12_000_u32 {
        let [_, _, high, low] = number.to_be_bytes();
        let mut host = host.clone();
        host.name = format!("w-{number}").into();
        host.address = std::net::SocketAddr::from(([10, 1, high, low], 7100));
        large.hosts.push(host);
    }
    let result = configuration().with_change(Change::Apply {
        inventory: Some(large),
        rules: None,
    });
    let error = result
        .expect_err("the configuration is too large")
        .to_string();
    assert!(
        error.contains("allowed: at most 1000000 bytes"),
        "{}",
        error.len()
    );
}

#[test]
fn the_number_of_journals_is_fixed_by_the_first_revision() {
    let rules = |journals| {
        let mut rules = Rules::default();
        rules.placement.journals = journals;
        Change::Apply {
            inventory: None,
            rules: Some(rules),
        }
    };
    let first = configuration()
        .with_change(rules(7))
        .expect("the first revision sets the number");
    let same = first.with_change(rules(7));
    assert!(same.is_ok(), "an unchanged number is accepted");
    let error = first
        .with_change(rules(8))
        .expect_err("the number cannot change");
    assert_eq!(
        error.to_string(),
        "rules.placement.journals is 7 and cannot become 8: request keys would map to parts whose \
         owners have no record of them"
    );
}
