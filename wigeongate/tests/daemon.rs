//! Tests of the daemon binary: exit statuses, messages, metrics and signals.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use wigeongate::client::client_trusting;
use wigeongate::tls::{IssuedCertificate, issue};
use wigeongate_standin::store::Store;

/// How long a test waits for a condition before it fails.
const TEST_TIMEOUT: Duration = Duration::from_mins(1);

fn daemon() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wigeongate"));
    command.current_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join(".."));
    command
}

fn run(arguments: &[&str]) -> Output {
    daemon().args(arguments).output().expect("the daemon runs")
}

/// A run of the daemon that exits by itself. `stdout` and `stderr` are parts of its output.
struct Case {
    arguments: &'static [&'static str],
    code: i32,
    stdout: &'static str,
    stderr: &'static str,
}

const CASES: [Case; 9] = [
    Case {
        arguments: &["--version"],
        code: 0,
        stdout: env!("CARGO_PKG_VERSION"),
        stderr: "",
    },
    Case {
        arguments: &["fly"],
        code: 2,
        stdout: "",
        stderr: "fly",
    },
    Case {
        arguments: &["--log-format", "yaml", "check", "examples/settings.yaml"],
        code: 2,
        stdout: "",
        stderr: "yaml",
    },
    Case {
        arguments: &["check", "examples/brannock/inventory.yaml"],
        code: 0,
        stdout: "right (inventory)",
        stderr: "",
    },
    Case {
        arguments: &["check", "wigeongate-config/tests/wrong/unknown_fields.yaml"],
        code: 1,
        stdout: "",
        stderr: "unknown_fields.yaml:15: hosts[1].core: found an unknown field",
    },
    Case {
        arguments: &[
            "run",
            "--settings",
            "wigeongate-config/tests/wrong/settings_leases.yaml",
        ],
        code: 2,
        stdout: "",
        stderr: "leases.owner_ms: found 500",
    },
    Case {
        arguments: &["run", "--settings", "examples/settings.yaml"],
        code: 3,
        stdout: "",
        stderr: "reading /etc/wigeongate/gate.pem",
    },
    Case {
        arguments: &[
            "dev",
            "--plain",
            "--inventory",
            "examples/brannock/inventory.yaml",
            "--rules",
            "examples/brannock/rules.yaml",
            "--key",
            "example-key-brewery",
            "--job",
            "examples/jobs/masters.yaml",
        ],
        code: 0,
        stdout: "succeeded",
        stderr: "gate: ",
    },
    Case {
        arguments: &[
            "--log-format",
            "json",
            "dev",
            "--job",
            "examples/jobs/urgent.yaml",
        ],
        code: 0,
        stdout: "succeeded",
        stderr: "\"message\":\"gate: ",
    },
];

#[test]
fn each_run_has_its_exit_status_and_messages() {
    for case in &CASES {
        let output = run(case.arguments);
        let text = format!("{:?}: {output:?}", case.arguments);
        assert_eq!(output.status.code(), Some(case.code), "{text}");
        let holds = |bytes: &[u8], part| String::from_utf8_lossy(bytes).contains(part);
        assert!(holds(&output.stdout, case.stdout), "{text}");
        assert!(holds(&output.stderr, case.stderr), "{text}");
    }
}

struct Running {
    child: Child,
    directory: PathBuf,
}

impl Running {
    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("the process identifier fits");
        kill(Pid::from_raw(id), signal).expect("the daemon runs");
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn certificate() -> IssuedCertificate {
    let issued = issue(&[&["127.0.0.1"]]).expect("the certificates are issued");
    issued
        .into_iter()
        .next()
        .expect("one certificate is issued")
}

fn write(directory: &Path, issued: &IssuedCertificate) {
    let files = [
        ("gate.pem", &issued.certificate),
        ("gate.key", &issued.key),
        ("authority.pem", &issued.authority),
    ];
    for (name, text) in files {
        std::fs::write(directory.join(name), text).expect("the file is written");
    }
}

fn settings(directory: &Path, listen: SocketAddr, store: SocketAddr) -> String {
    let directory = directory.display();
    format!(
        "gate: gate-1\nzone: north-1\nlisten: {listen}\npeer: 127.0.0.1:0\n\
         store:\n  endpoints: [\"http://{store}\"]\n\
         tls:\n  certificate: {directory}/gate.pem\n  key: {directory}/gate.key\n  \
         authority: {directory}/authority.pem\n"
    )
}

/// Waits until the daemon responds to a client that trusts the authority of this certificate.
async fn wait_until_ready(listen: SocketAddr, issued: &IssuedCertificate) {
    let since = Instant::now();
    loop {
        let client = client_trusting(&issued.authority).expect("the authority can be read");
        let sent = client.get(format!("https://{listen}/readyz")).send().await;
        if sent.is_ok_and(|response| response.status().is_success()) {
            return;
        }
        assert!(since.elapsed() < TEST_TIMEOUT, "the daemon does not answer");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_wait_of_each_task_is_measured_by_team_and_class() {
    let sink = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    sink.set_read_timeout(Some(TEST_TIMEOUT))
        .expect("the timeout can be set");
    let address = sink.local_addr().expect("the socket is bound").to_string();
    let job = "examples/jobs/urgent.yaml";
    let ran =
        tokio::task::spawn_blocking(move || run(&["dev", "--metrics", &address, "--job", job]));
    let mut first = false;
    let mut started = 0;
    while !first || started < 2 {
        let mut line = [0; 512];
        let length = sink.recv(&mut line).expect("a metric arrives");
        let line = String::from_utf8_lossy(&line[..length]).into_owned();
        first |= line.starts_with("wigeongate.waiting_ms:")
            && line.ends_with("team:hovedkontor,class:urgent");
        started += u32::from(line.starts_with("wigeongate.tasks.started:1|c"));
    }
    let output = ran.await.expect("the run is joined");
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn new_certificates_are_loaded_on_sighup_and_sigterm_exits_with_zero() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let store = Store::new().spawn(any).await.expect("a port is free");
    let reserved = std::net::TcpListener::bind(any).expect("a port is free");
    let listen = reserved.local_addr().expect("the socket is bound");
    drop(reserved);
    let name = format!("wigeongate-daemon-{}", std::process::id());
    let directory = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&directory).expect("the directory is created");
    let (old, new) = (certificate(), certificate());
    write(&directory, &old);
    let file = directory.join("settings.yaml");
    std::fs::write(&file, settings(&directory, listen, store.address))
        .expect("the settings are written");
    let child = daemon()
        .args(["run", "--settings"])
        .arg(&file)
        .stderr(Stdio::null())
        .spawn()
        .expect("the daemon starts");
    let mut running = Running { child, directory };
    wait_until_ready(listen, &old).await;

    write(&running.directory, &new);
    running.signal(Signal::SIGHUP);
    wait_until_ready(listen, &new).await;

    running.signal(Signal::SIGTERM);
    let status = tokio::task::spawn_blocking(move || running.child.wait());
    let status = status
        .await
        .expect("the wait is joined")
        .expect("the exit status can be read");
    assert_eq!(status.code(), Some(0));
}
