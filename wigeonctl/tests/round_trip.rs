//! Runs the wigeonctl binary against a gate with embedded stand-ins for the platform.

mod tool;

use std::net::TcpListener;
use std::path::PathBuf;

use serde_json::Value;
use wigeongate::dev::{Dev, OPERATOR_KEY, Options};

use crate::tool::{Tool, ToolOutput, example, scratch};

/// The key of a team in the example inventory.
const TEAM_KEY: &str = "example-key-hovedkontor";

async fn start() -> Dev {
    start_with(false).await
}

async fn start_with(tls: bool) -> Dev {
    let inventory = example("smakrav/inventory.yaml");
    let rules = example("smakrav/rules.yaml");
    let options = Options {
        inventory: &inventory,
        rules: &rules,
        key: TEAM_KEY,
        metrics: None,
    };
    let started = if tls {
        Dev::start_with_tls(&options).await
    } else {
        Dev::start(&options).await
    };
    started.expect("the gate starts")
}

fn operator(dev: &Dev) -> Tool {
    Tool::new(&format!("http://{}", dev.address), OPERATOR_KEY)
}

fn team(dev: &Dev) -> Tool {
    Tool::new(&format!("http://{}", dev.address), TEAM_KEY)
}

fn json(ran: &ToolOutput) -> Value {
    serde_json::from_str(&ran.stdout).unwrap_or_else(|error| panic!("{error}: {ran:?}"))
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_are_submitted_listed_awaited_and_cancelled() {
    let dev = start().await;
    let tool = team(&dev);
    let job = example("jobs/urgent.yaml");
    let job = job.to_str().expect("the path is UTF-8");

    let waited = tool.run(&["submit", "--wait", job]).await;
    assert_eq!((waited.code, waited.stdout.trim()), (0, "succeeded"));

    let service = example("jobs/service.yaml");
    let submitted = tool
        .run(&["submit", service.to_str().expect("the path is UTF-8")])
        .await;
    assert_eq!(submitted.code, 0, "{submitted:?}");
    let id = submitted.stdout.trim();
    let early = tool.run(&["wait", "--timeout", "1", id]).await;
    assert_eq!(early.code, 6, "{early:?}");
    let status = tool.run(&["--output", "json", "status", id]).await;
    assert_eq!(json(&status)["job"]["spec"]["queue"], "services");
    let jobs = tool.run(&["jobs"]).await;
    assert!(jobs.stdout.contains(id), "{jobs:?}");
    assert_eq!(tool.run(&["cancel", id]).await.code, 0);
    let ended = tool.run(&["wait", "--timeout", "60", id]).await;
    assert_eq!((ended.code, ended.stdout.trim()), (1, "cancelled"));

    let missing = "01890000-0000-7000-8000-000000000000";
    let missing = tool.run(&["status", missing]).await;
    assert_eq!(missing.code, 1);
    assert!(
        missing.stderr.contains("/problems/not-found"),
        "{missing:?}"
    );
    assert!(missing.stderr.contains("not run"), "{missing:?}");
    dev.stop().await.expect("the gate stops");
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_are_granted_and_withdrawn() {
    let dev = start().await;
    let tool = operator(&dev);
    let granted = tool
        .run(&["--output", "json", "key", "grant", "spare", "odense"])
        .await;
    assert_eq!(granted.code, 0, "{granted:?}");
    let granted = json(&granted);
    let key = granted["key"].as_str().expect("the key is printed");
    let spare = Tool::new(&format!("http://{}", dev.address), key);
    assert_eq!(spare.run(&["jobs"]).await.code, 0);

    let listed = tool.run(&["key", "list"]).await;
    assert!(!listed.stdout.contains(key), "{listed:?}");
    assert!(listed.stdout.contains("spare"), "{listed:?}");
    let again = tool.run(&["key", "grant", "spare", "odense"]).await;
    assert_eq!(again.code, 1);
    assert!(again.stderr.contains("already there"), "{again:?}");

    assert_eq!(
        tool.run(&["key", "withdraw", "--wait", "spare"]).await.code,
        0
    );
    let withdrawn = spare.run(&["jobs"]).await;
    assert_eq!(withdrawn.code, 1);
    assert!(withdrawn.stderr.contains("/problems/key"), "{withdrawn:?}");
    dev.stop().await.expect("the gate stops");
}

#[tokio::test(flavor = "multi_thread")]
async fn printed_inventory_can_be_edited_and_applied() {
    let dev = start().await;
    let tool = operator(&dev);
    let got = tool.run(&["get", "inventory"]).await;
    assert_eq!(got.code, 0);
    let file = scratch("round.yaml");
    std::fs::write(&file, &got.stdout).expect("the file is written");
    let path = file.to_str().expect("the path is UTF-8");
    let same = tool.run(&["diff", path]).await;
    assert!(
        same.stdout.contains("already matches the files"),
        "{same:?}"
    );

    let changed = got.stdout.replacen("share: 3", "share: 5", 1);
    std::fs::write(&file, changed).expect("the file is written");
    let differs = tool.run(&["diff", path]).await;
    assert_eq!(
        differs.stdout.trim(),
        "~ inventory.teams.aarhus.share: 3 -> 5"
    );
    let applied = tool.run(&["apply", "--wait", path]).await;
    assert_eq!(applied.code, 0, "{applied:?}");
    assert!(
        applied.stdout.contains("in force everywhere"),
        "{applied:?}"
    );

    let wrong = got.stdout.replacen("share: 3", "share: -3", 1);
    std::fs::write(&file, wrong).expect("the file is written");
    let refused = tool.run(&["apply", path]).await;
    assert_eq!(refused.code, 1);
    assert!(
        refused.stderr.contains("teams[1].share: found -3"),
        "{refused:?}"
    );
    std::fs::remove_file(file).expect("the file was there");
    dev.stop().await.expect("the gate stops");
}

#[tokio::test(flavor = "multi_thread")]
async fn change_on_old_revision_is_refused_with_differences() {
    let dev = start().await;
    let tool = operator(&dev);
    let status = json(&tool.run(&["--output", "json", "status"]).await);
    let seen = status["revision"].to_string();
    assert_eq!(tool.run(&["zone", "out", "dk-east-2"]).await.code, 0);
    let lost = tool.run(&["pause", "--expected", &seen]).await;
    assert_eq!(lost.code, 5, "{lost:?}");
    assert!(
        lost.stderr.contains("~ zones_out: [] -> [\"dk-east-2\"]"),
        "{lost:?}"
    );
    let unknown = tool.run(&["zone", "out", "dk-east-9"]).await;
    assert_eq!(unknown.code, 1);
    for command in [
        ["zone", "in", "dk-east-2"].as_slice(),
        &["pause"],
        &["resume"],
        &["top"],
    ] {
        let ran = tool.run(command).await;
        assert_eq!(ran.code, 0, "{ran:?}");
    }
    dev.stop().await.expect("the gate stops");
}

#[tokio::test(flavor = "multi_thread")]
async fn held_actions_are_listed_while_paused() {
    let dev = start().await;
    let tool = operator(&dev);
    assert_eq!(tool.run(&["pause"]).await.code, 0);
    let file = scratch("unfit.yaml");
    let text = "queue: bundles\nsize: { cpu: 900000 }\ncommand: [sleep, \"1\"]\n";
    std::fs::write(&file, text).expect("the file is written");
    let path = file.to_str().expect("the path is UTF-8");
    let submitted = team(&dev).run(&["submit", path]).await;
    assert_eq!(submitted.code, 0, "{submitted:?}");
    let action = format!("refuse job {}", submitted.stdout.trim());
    let hang = std::time::Instant::now() + std::time::Duration::from_mins(1);
    while !tool.run(&["held"]).await.stdout.contains(&action) {
        assert!(std::time::Instant::now() < hang, "{action} is not listed");
    }
    std::fs::remove_file(file).expect("the file was there");
    dev.stop().await.expect("the gate stops");
}

#[tokio::test(flavor = "multi_thread")]
async fn next_gate_is_tried_only_if_call_is_safe_to_repeat() {
    let dev = start().await;
    let closed = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let dead = format!(
        "http://{}",
        closed.local_addr().expect("the listener is bound")
    );
    drop(closed);
    let mut tool = operator(&dev);
    tool.gates.insert(0, dead.clone());
    assert_eq!(tool.run(&["status"]).await.code, 0);
    assert_eq!(tool.run(&["key", "grant", "spare", "odense"]).await.code, 0);

    tool.gates = vec![dead];
    let nobody = tool.run(&["status"]).await;
    assert_eq!(nobody.code, 3, "{nobody:?}");

    // This gate reads a byte of the call and closes the connection without a response, so the
    // outcome is unknown.
    let silent = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let url = format!(
        "http://{}",
        silent.local_addr().expect("the listener is bound")
    );
    std::thread::spawn(move || {
        for stream in silent.incoming().flatten() {
            let _ = std::io::Read::read(&mut &stream, &mut [0; 1]);
        }
    });
    let mut tool = operator(&dev);
    tool.gates.insert(0, url);
    let unknown = tool.run(&["key", "grant", "other", "odense"]).await;
    assert_eq!(unknown.code, 4, "{unknown:?}");
    assert!(unknown.stderr.contains("was not sent again"), "{unknown:?}");
    assert_eq!(tool.run(&["pause"]).await.code, 0);
    dev.stop().await.expect("the gate stops");
}

#[tokio::test(flavor = "multi_thread")]
async fn gate_certificate_needs_a_trusted_authority() {
    let dev = start_with(true).await;
    let file = scratch("authority.pem");
    let authority = dev.authority.as_ref().expect("the gate uses TLS");
    std::fs::write(&file, authority).expect("the file is written");
    let tool = Tool::new(&dev.url(), OPERATOR_KEY);
    let path = file.to_str().expect("the path is UTF-8");
    let trusted = tool.run(&["--authority", path, "status"]).await;
    assert_eq!(trusted.code, 0, "{trusted:?}");
    assert_eq!(tool.run(&["status"]).await.code, 3);
    std::fs::write(&file, "no certificate").expect("the file is written");
    let broken = tool.run(&["--authority", path, "status"]).await;
    assert_eq!(broken.code, 1, "{broken:?}");
    std::fs::remove_file(file).expect("the file was there");
    dev.stop().await.expect("the gate stops");
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_file_is_read_and_checked() {
    let dev = start().await;
    let file = scratch("settings.yaml");
    let text = format!("gates: [\"http://{}\"]\nkey: {OPERATOR_KEY}\n", dev.address);
    std::fs::write(&file, text).expect("the file is written");
    let tool = Tool::default();
    let path = file.to_str().expect("the path is UTF-8");
    let ran = tool.run(&["--config", path, "status"]).await;
    assert_eq!(ran.code, 0, "{ran:?}");
    std::fs::write(&file, "gates: [gate-1]\nkye: x\n").expect("the file is written");
    let wrong = tool.run(&["--config", path, "status"]).await;
    assert!(
        wrong.stderr.contains("gates[0]: found \"gate-1\""),
        "{wrong:?}"
    );
    assert!(
        wrong.stderr.contains("kye: found an unknown field"),
        "{wrong:?}"
    );
    std::fs::remove_file(file).expect("the file was there");
    assert_eq!(tool.run(&["no-such-command"]).await.code, 2);
    assert_eq!(tool.run(&["status"]).await.code, 2);
    dev.stop().await.expect("the gate stops");
}

#[tokio::test]
async fn files_are_validated_without_a_gate() {
    let files: [PathBuf; 2] =
        ["inventory", "rules"].map(|f| example(&format!("brannock/{f}.yaml")));
    let [inventory, rules] = files.map(|file| file.display().to_string());
    let ran = Tool::default().run(&["validate", &inventory, &rules]).await;
    assert_eq!(ran.code, 0, "{ran:?}");
    let ran = Tool::default()
        .run(&["validate", "no-such-file.yaml"])
        .await;
    assert_eq!(ran.code, 1, "{ran:?}");
}

#[test]
fn closed_output_pipe_does_not_fail_the_command() {
    let file = example("brannock/inventory.yaml");
    let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_wigeonctl"))
        .arg("validate")
        .arg(file)
        .stdout(std::process::Stdio::piped())
        .spawn()
        .expect("the tool runs");
    drop(child.stdout.take());
    assert!(child.wait().expect("the tool exits").success());
}
