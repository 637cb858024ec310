//! The settings of a gate on an entry host.

use wigeongate_config::entry::EntrySettings;
use wigeongate_config::load::parse;

/// Settings with numbers as the platform writes them, and the expected values.
struct Case {
    name: &'static str,
    text: &'static str,
    processors: f64,
    grace_s: u64,
}

#[test]
fn numbers_with_and_without_fractions_are_accepted() {
    let cases = [
        Case {
            name: "whole numbers",
            text: "share: 1\ncores: 2\nbounds:\n  grace_s: 6\n",
            processors: 2.0,
            grace_s: 6,
        },
        Case {
            name: "fractions",
            text: "share: 0.25\ncores: 1.0\nbounds:\n  grace_s: 6.5\n",
            processors: 0.25,
            grace_s: 6,
        },
    ];
    for case in cases {
        let settings: EntrySettings = parse("gate.yaml", case.text)
            .unwrap_or_else(|errors| panic!("{}: {errors}", case.name));
        assert!(
            (settings.processors() - case.processors).abs() < 1e-9,
            "{}: {}",
            case.name,
            settings.processors()
        );
        assert_eq!(settings.bounds.grace_s, case.grace_s, "{}", case.name);
    }
}

#[test]
fn numbers_of_zero_or_less_are_rejected() {
    for text in ["share: 0\n", "cores: -1\n", "bounds:\n  grace_s: 0.5\n"] {
        assert!(
            parse::<EntrySettings>("gate.yaml", text).is_err(),
            "{text:?}"
        );
    }
}

/// Settings of the optional policies, and whether admission control and shares are in force.
struct PolicyCase {
    name: &'static str,
    text: &'static str,
    admission: bool,
    shares: bool,
}

/// Guards against policies that take effect on a deployment whose settings do not call for them.
#[test]
fn policies_are_in_force_only_where_the_settings_call_for_them() {
    let cases = [
        PolicyCase {
            name: "no field",
            text: "share: 1\n",
            admission: false,
            shares: false,
        },
        PolicyCase {
            name: "provisioned for the loss of a zone",
            text: "reserve_zones: 1\n",
            admission: false,
            shares: false,
        },
        PolicyCase {
            name: "no reserve",
            text: "reserve_zones: 0\n",
            admission: false,
            shares: true,
        },
        PolicyCase {
            name: "no reserve, one policy off",
            text: "reserve_zones: 0\nscheduling:\n  shares: disabled\n",
            admission: false,
            shares: false,
        },
        PolicyCase {
            name: "one policy on",
            text: "scheduling:\n  shares: enabled\n",
            admission: false,
            shares: true,
        },
        PolicyCase {
            name: "admission control enabled",
            text: "scheduling:\n  admission: enabled\n",
            admission: true,
            shares: false,
        },
    ];
    for case in cases {
        let settings: EntrySettings = parse("gate.yaml", case.text)
            .unwrap_or_else(|errors| panic!("{}: {errors}", case.name));
        let policies = settings.policies();
        assert_eq!(policies.admission, case.admission, "{}", case.name);
        assert_eq!(policies.shares, case.shares, "{}", case.name);
    }
}

#[test]
fn unknown_modes_of_a_policy_are_rejected() {
    for text in [
        "scheduling:\n  shares: maybe\n",
        "scheduling:\n  share: enabled\n",
    ] {
        assert!(
            parse::<EntrySettings>("gate.yaml", text).is_err(),
            "{text:?}"
        );
    }
}

/// Settings of the machine, and what the connections of the listeners may hold in total.
struct ConnectionCase {
    name: &'static str,
    text: &'static str,
    connections: u64,
    bytes: u64,
}

#[test]
fn connections_get_a_share_of_the_machine_unless_a_setting_says_otherwise() {
    let cases = [
        ConnectionCase {
            name: "no field, as on the smallest machine",
            text: "share: 1\n",
            connections: 1_949,
            bytes: 40 << 20,
        },
        ConnectionCase {
            name: "a larger machine, numbers with fractions",
            text: "memory_mb: 512.0\nmax_fds: 8192.0\n",
            connections: 3_995,
            bytes: 128 << 20,
        },
        ConnectionCase {
            name: "zero stands for the defaults",
            text: "memory_mb: 0\nmax_fds: 0\n",
            connections: 1_949,
            bytes: 40 << 20,
        },
        ConnectionCase {
            name: "explicit settings",
            text: "memory_mb: 160\nconnections:\n  maximum: 160\n  memory_mb: 16\n",
            connections: 160,
            bytes: 16 << 20,
        },
    ];
    for case in cases {
        let settings: EntrySettings = parse("gate.yaml", case.text)
            .unwrap_or_else(|errors| panic!("{}: {errors}", case.name));
        let limits = settings.connection_limits(settings.descriptors());
        let all = [limits.callers, limits.peer, limits.ready, limits.metrics];
        let connections: u64 = all.iter().map(|it| it.connections).sum();
        let bytes: u64 = all.iter().map(|it| it.bytes).sum();
        assert!(connections <= case.connections, "{}", case.name);
        assert!(
            connections + 4 > case.connections,
            "{}: {connections}",
            case.name
        );
        assert_eq!(bytes, case.bytes, "{}", case.name);
    }
}

/// Guards against gates that start although their limits allow clients to exhaust the machine.
#[test]
fn settings_over_the_machine_are_rejected_with_the_figures() {
    let cases = [
        ("memory_mb: 160\nconnections:\n  memory_mb: 121\n", "160"),
        ("memory_mb: 40\n", "40"),
        ("max_fds: 1000\nconnections:\n  maximum: 801\n", "1000"),
        ("max_fds: 220\n", "220"),
    ];
    for (text, figure) in cases {
        let errors = parse::<EntrySettings>("gate.yaml", text).expect_err(text);
        assert!(errors.to_string().contains(figure), "{text:?}: {errors}");
    }
}

/// Guards against settings files of earlier versions that are refused: the owner always writes
/// checkpoints of its log, and the key has no effect.
#[test]
fn the_key_that_enabled_compaction_is_still_accepted() {
    for mode in ["auto", "enabled", "disabled"] {
        let text = format!("reserve_zones: 0\ncompaction: {mode}\n");
        let settings: EntrySettings =
            parse("gate.yaml", &text).unwrap_or_else(|errors| panic!("{text:?}: {errors}"));
        let without = EntrySettings {
            compaction: settings.compaction,
            reserve_zones: 0,
            ..EntrySettings::default()
        };
        assert_eq!(settings, without, "{text:?}");
    }
    for text in ["compaction: sometimes\n", "compaction: 1\n"] {
        let errors = parse::<EntrySettings>("gate.yaml", text).expect_err(text);
        assert!(
            errors.to_string().contains("compaction"),
            "{text:?}: {errors}"
        );
    }
}
