//! Checks of the settings of a gate.

use std::ops::RangeInclusive;

use super::{Check, UniqueCheck, check_name, check_positive, check_range};
use crate::problem::{FieldPath, Problems};
use crate::settings::{Bounds, Leases, Settings, StoreSettings};

/// Allowed ownership lease of a unit, in milliseconds; its record is written about every 2 s.
const OWNER_LEASE_MS: RangeInclusive<u64> = 3_000..=60_000;

/// Maximum lease of a task, in milliseconds.
const TASK_LEASE_LIMIT_MS: u64 = 600_000;

/// Allowed limit for the head of a request, in bytes.
const HEADER_BYTES: RangeInclusive<usize> = 8_192..=1_048_576;

impl Check for Settings {
    fn check(&self, problems: &mut Problems) {
        check_name(FieldPath::of("gate"), self.gate.as_str(), problems);
        check_name(FieldPath::of("zone"), self.zone.as_str(), problems);
        check_store(&self.store, problems);
        check_operators(self, problems);
        check_bounds(&self.bounds, problems);
        check_leases(&self.leases, problems);
        check_tls(self, problems);
        if let Some(metrics) = &self.metrics {
            let path = FieldPath::of("metrics").join("prefix");
            check_name(path, &metrics.prefix, problems);
        }
    }
}

fn check_store(store: &StoreSettings, problems: &mut Problems) {
    let path = FieldPath::of("store");
    let list = path.join("endpoints");
    if store.endpoints.is_empty() {
        problems.add(list.clone(), "an empty list", "at least one URL");
    }
    for (index, endpoint) in store.endpoints.iter().enumerate() {
        let host = ["http://", "https://"]
            .iter()
            .find_map(|scheme| endpoint.strip_prefix(scheme));
        if host.is_none_or(str::is_empty) {
            let allowed = "a URL that starts with http:// or https://";
            problems.add(list.join(index), format!("{endpoint:?}"), allowed);
        }
    }
    if store.prefix.is_empty() || !store.prefix.ends_with('/') {
        let found = format!("{:?}", store.prefix);
        problems.add(path.join("prefix"), found, "text that ends with '/'");
    }
    check_positive(path.join("timeout_ms"), store.timeout_ms, problems);
    let calls = path.join("calls_per_second");
    check_positive(calls, store.calls_per_second, problems);
}

fn check_operators(settings: &Settings, problems: &mut Problems) {
    let list = FieldPath::of("operators");
    let mut names = UniqueCheck::new("an operator name", problems);
    for (index, operator) in settings.operators.iter().enumerate() {
        names.check_name(&list.join(index).join("name"), &operator.name);
    }
    let mut hashes = UniqueCheck::new("a hash", problems);
    for (index, operator) in settings.operators.iter().enumerate() {
        hashes.check(&list.join(index).join("hash"), &operator.hash);
    }
}

fn check_bounds(bounds: &Bounds, problems: &mut Problems) {
    let path = FieldPath::of("bounds");
    check_positive(path.join("body_bytes"), bounds.body_bytes, problems);
    let header = path.join("header_bytes");
    check_range(header, bounds.header_bytes, &HEADER_BYTES, problems);
    check_positive(path.join("header_ms"), bounds.header_ms, problems);
    check_positive(path.join("idle_ms"), bounds.idle_ms, problems);
    check_positive(path.join("connections"), bounds.connections, problems);
    check_positive(path.join("memory_mb"), bounds.memory_mb, problems);
    check_positive(path.join("drain_ms"), bounds.drain_ms, problems);
}

fn check_leases(leases: &Leases, problems: &mut Problems) {
    let path = FieldPath::of("leases");
    check_range(
        path.join("owner_ms"),
        leases.owner_ms,
        &OWNER_LEASE_MS,
        problems,
    );
    if leases.task_ms <= leases.owner_ms || leases.task_ms > TASK_LEASE_LIMIT_MS {
        let allowed = format!(
            "more than owner_ms ({}) and at most {TASK_LEASE_LIMIT_MS}, so that a new owner can \
             take over before the lease expires",
            leases.owner_ms
        );
        problems.add_compared(path.join("task_ms"), "leases", leases.task_ms, allowed);
    }
}

fn check_tls(settings: &Settings, problems: &mut Problems) {
    let Some(tls) = &settings.tls else {
        return;
    };
    let files = [
        ("certificate", &tls.certificate),
        ("key", &tls.key),
        ("authority", &tls.authority),
    ];
    for (field, file) in files {
        if file.as_os_str().is_empty() {
            let path = FieldPath::of("tls").join(field);
            problems.add(path, "\"\"", "the path of a PEM file");
        }
    }
}
