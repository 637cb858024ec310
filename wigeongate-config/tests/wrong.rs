//! Each invalid file reports all its problems, with the line, field, value and allowed values.

use std::path::{Path, PathBuf};

use wigeongate_config::load::check_files;

/// An invalid file.
struct Case {
    /// File name without its extension.
    name: &'static str,
    /// Number of problems in the file.
    problems: usize,
    /// Whether the file is checked together with the valid inventory.
    with_inventory: bool,
}

const fn standalone(name: &'static str, problems: usize) -> Case {
    Case {
        name,
        problems,
        with_inventory: false,
    }
}

const CASES: [Case; 34] = [
    standalone("address_outside_zone", 2),
    standalone("address_twice", 1),
    standalone("backend_of_zero", 2),
    standalone("bad_address", 2),
    standalone("bad_hash", 1),
    standalone("bad_names", 2),
    standalone("broken_yaml", 1),
    standalone("duplicate_fields", 2),
    standalone("duplicate_names", 8),
    standalone("duplicate_zone", 3),
    standalone("empty_region", 1),
    standalone("empty_zone", 1),
    standalone("host_of_zero", 3),
    standalone("job_of_zero", 4),
    standalone("key_of_unknown_team", 1),
    standalone("limit_below_zero", 3),
    standalone("lists_of_nothing", 1),
    standalone("missing_fields", 9),
    standalone("networks_overlap", 1),
    standalone("not_a_mapping", 1),
    standalone("placement_of_zero", 7),
    standalone("queue_duplicates", 1),
    Case {
        name: "queue_of_unknown_team",
        problems: 1,
        with_inventory: true,
    },
    standalone("queue_of_zero", 3),
    standalone("queue_wrong_kind", 4),
    standalone("request_field_on_job_queue", 3),
    standalone("settings_leases", 2),
    standalone("settings_names", 8),
    standalone("settings_of_zero", 10),
    standalone("share_sum_zero", 1),
    standalone("unknown_fields", 4),
    standalone("unknown_zone", 1),
    standalone("unrecognised", 1),
    standalone("wrong_types", 4),
];

fn file(name: &str) -> PathBuf {
    PathBuf::from("tests").join(name)
}

#[test]
fn each_invalid_file_reports_all_of_its_problems() {
    let mut settings = insta::Settings::clone_current();
    settings.set_snapshot_path("wrong");
    settings.set_prepend_module_to_snapshot(false);
    settings.set_omit_expression(true);
    for case in &CASES {
        let mut files = vec![file(&format!("wrong/{}.yaml", case.name))];
        if case.with_inventory {
            files.push(file("right/inventory.yaml"));
        }
        let errors = check_files(&files).expect_err(case.name);
        settings.bind(|| insta::assert_snapshot!(case.name, errors));
        assert_eq!(errors.0.len(), case.problems, "{}:\n{errors}", case.name);
    }
}

#[test]
fn every_invalid_file_has_a_case() {
    let entries = std::fs::read_dir(file("wrong")).expect("the directory exists");
    for entry in entries {
        let path = entry.expect("the entry can be read").path();
        if path
            .extension()
            .is_some_and(|extension| extension == "yaml")
        {
            let name = path.file_stem().and_then(std::ffi::OsStr::to_str);
            let known = CASES.iter().any(|case| Some(case.name) == name);
            assert!(known, "{} has no case", path.display());
        }
    }
}

#[test]
fn valid_files_are_accepted() {
    let inventory = Path::new("tests/right/inventory.yaml").to_owned();
    check_files(&[inventory]).expect("the inventory is valid");
}
