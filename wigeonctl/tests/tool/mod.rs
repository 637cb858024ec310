//! Runs the wigeonctl binary.

use std::path::{Path, PathBuf};
use std::process::Command;

/// The gates and the key that each run of wigeonctl gets.
#[derive(Debug, Clone, Default)]
pub struct Tool {
    /// The base URLs of the gates, passed as options.
    pub gates: Vec<String>,
    /// The key, passed in the environment.
    pub key: Option<String>,
}

/// The result of one run.
#[derive(Debug)]
pub struct ToolOutput {
    /// The exit status; -1 if a signal ended the process.
    pub code: i32,
    /// The text on standard output.
    pub stdout: String,
    /// The text on standard error.
    pub stderr: String,
}

impl Tool {
    /// Creates a tool with one gate.
    pub fn new(gate: &str, key: &str) -> Self {
        Self {
            gates: vec![gate.to_owned()],
            key: Some(key.to_owned()),
        }
    }

    /// Runs wigeonctl with the arguments and waits for it to exit.
    pub async fn run(&self, arguments: &[&str]) -> ToolOutput {
        let mut command = Command::new(env!("CARGO_BIN_EXE_wigeonctl"));
        command.env_remove("WIGEONCTL_KEY").env_remove("HOME");
        for gate in &self.gates {
            command.args(["--gate", gate]);
        }
        if let Some(key) = &self.key {
            command.env("WIGEONCTL_KEY", key);
        }
        command.args(arguments);
        let output = tokio::task::spawn_blocking(move || command.output()).await;
        let output = output
            .expect("the blocking task is joined")
            .expect("the tool runs");
        ToolOutput {
            code: output.status.code().unwrap_or(-1),
            stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }
}

/// Returns the path of a file in the examples.
pub fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../examples")
        .join(name)
}

/// Returns the path of a temporary file whose name is unique to this test process.
pub fn scratch(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("wigeonctl-{}-{name}", std::process::id()))
}
