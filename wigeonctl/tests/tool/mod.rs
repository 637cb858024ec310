//! Running the tool's binary.

use std::path::{Path, PathBuf};
use std::process::Command;

/// The tool with the gates and the key that it is given.
#[derive(Debug, Clone, Default)]
pub struct Tool {
    /// The gates.
    pub gates: Vec<String>,
    /// The key, in the environment.
    pub key: Option<String>,
}

/// What a run of the tool brought.
#[derive(Debug)]
pub struct ToolOutput {
    /// The exit status.
    pub code: i32,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

impl Tool {
    /// Makes a tool for one gate.
    pub fn new(gate: &str, key: &str) -> Self {
        Self {
            gates: vec![gate.to_owned()],
            key: Some(key.to_owned()),
        }
    }

    /// Runs the tool to its end.
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
        let output = output.expect("the run is joined").expect("the tool runs");
        ToolOutput {
            code: output.status.code().unwrap_or(-1),
            stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }
}

/// Returns the path of an example.
pub fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../examples")
        .join(name)
}

/// Returns the path of a scratch file of this test process.
pub fn scratch(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("wigeonctl-{}-{name}", std::process::id()))
}
