//! Short plays of `serve-soak` with fixed seeds. They need the program `wigeongate` beside the bench's, so
//! that they run with the tests of the whole workspace.

use std::path::Path;
use std::process::Command;

use serde_json::Value;

/// Faults, which the seed draws from, and what the play is there for.
struct Case {
    name: &'static str,
    seed: &'static str,
    only: &'static str,
}

const CASES: [Case; 2] = [
    Case {
        name: "owners are killed in a row",
        seed: "1",
        only: "kill-owners",
    },
    Case {
        name: "the configuration changes while owners and executors are killed",
        seed: "2",
        only: "kill-owner,kill-executor,change-configuration",
    },
];

/// The share of a core that a gate has after all were lost, in thousandths.
const SHARE: &str = "250";

/// Guards against issue 52: after hundreds of jobs, no task started any more once all gates were lost.
#[test]
fn callers_are_served_after_all_gates_were_lost() {
    for case in CASES {
        let folder = format!("serve-soak-{}", std::process::id());
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(folder);
        let output = Command::new(env!("CARGO_BIN_EXE_wigeongate-bench"))
            .args(["serve-soak", "--seconds", "16", "--gates", "3"])
            .args(["--executors", "3", "--short", "30", "--share", SHARE])
            .args(["--seed", case.seed, "--only", case.only, "--logs"])
            .arg(folder)
            .output()
            .expect("the benchmark starts");
        let printed = String::from_utf8_lossy(&output.stdout);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{}: {printed}{errors}", case.name);
        let figures: Value = serde_json::from_str(printed.trim()).expect("it prints its figures");
        let count = |name: &str| figures["recovery"][name].as_u64();
        let jobs = count("stored").zip(count("archived"));
        let is_long = jobs.is_some_and(|(stored, archived)| stored + archived > 200);
        assert!(is_long, "{printed}");
    }
}
