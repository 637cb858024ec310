//! The example files are valid and complete.

use std::path::{Path, PathBuf};

use wigeongate_config::inventory::{Host, Inventory};
use wigeongate_config::load::{check_files, read};
use wigeongate_config::settings::Settings;

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../examples")
        .join(name)
}

/// The expected size of a deployment.
struct Deployment {
    name: &'static str,
    zones: usize,
    hosts: usize,
    backends: usize,
    teams: usize,
    /// Cores and memory of each host; memory is in gibibytes.
    size: (u64, u64),
    /// Maximum number of hosts in a rack.
    rack_limit: usize,
}

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "smakrav",
        zones: 3,
        hosts: 50,
        backends: 50,
        teams: 6,
        size: (64, 128),
        rack_limit: 8,
    },
    Deployment {
        name: "brannock",
        zones: 4,
        hosts: 50,
        backends: 50,
        teams: 6,
        size: (32, 128),
        rack_limit: 6,
    },
];

#[test]
fn deployment_files_are_valid() {
    for deployment in &DEPLOYMENTS {
        let files = ["inventory", "rules", "gate-1"]
            .map(|file| example(&format!("{}/{file}.yaml", deployment.name)));
        check_files(&files).unwrap_or_else(|errors| panic!("{errors}"));
    }
}

#[test]
fn deployments_have_the_expected_sizes() {
    for deployment in &DEPLOYMENTS {
        let file = example(&format!("{}/inventory.yaml", deployment.name));
        let inventory: Inventory = read(&file).expect("the inventory is valid");
        assert_eq!(inventory.zones().count(), deployment.zones);
        assert_eq!(inventory.hosts.len(), deployment.hosts);
        assert_eq!(inventory.backends.len(), deployment.backends);
        assert_eq!(inventory.teams.len(), deployment.teams);
        for host in &inventory.hosts {
            assert_eq!((host.cores, host.memory_gib), deployment.size);
            let same = |other: &&Host| (&other.zone, &other.rack) == (&host.zone, &host.rack);
            assert!(inventory.hosts.iter().filter(same).count() <= deployment.rack_limit);
        }
    }
}

#[test]
fn job_files_are_valid() {
    let files = ["bundle", "gang", "masters", "service", "urgent"]
        .map(|job| example(&format!("jobs/{job}.yaml")));
    check_files(&files).unwrap_or_else(|errors| panic!("{errors}"));
}

#[test]
fn the_settings_file_names_every_field() {
    let text = std::fs::read_to_string(example("settings.yaml")).expect("the file exists");
    let settings: Settings = read(&example("settings.yaml")).expect("the settings are valid");
    let value = serde_json::to_value(&settings).expect("settings can be serialized");
    for field in fields(&value) {
        let named = text.lines().any(|line| {
            let line = line.trim_start_matches([' ', '-']);
            line.starts_with(&format!("{field}:"))
        });
        assert!(named, "the file does not name {field}");
    }
    let expected = Settings {
        gate: settings.gate.clone(),
        zone: settings.zone.clone(),
        hosts: settings.hosts.clone(),
        tls: settings.tls.clone(),
        operators: settings.operators.clone(),
        metrics: settings.metrics.clone(),
        ..Settings::default()
    };
    assert_eq!(settings, expected);
}

/// Returns the names of all fields of a value.
fn fields(value: &serde_json::Value) -> Vec<String> {
    match value {
        serde_json::Value::Object(map) => map
            .iter()
            .flat_map(|(name, value)| std::iter::once(name.clone()).chain(fields(value)))
            .collect(),
        serde_json::Value::Array(items) => items.iter().flat_map(fields).collect(),
        _ => Vec::new(),
    }
}
