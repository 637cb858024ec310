//! Settings from the command line, the environment and a file.

use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use wigeongate_config::check::Check;
use wigeongate_config::load;
use wigeongate_config::problem::{FieldPath, Problems};

use crate::cli::{Access, Output};
use crate::error::CtlError;

/// The environment variable that holds the key.
pub const KEY_VARIABLE: &str = "WIGEONCTL_KEY";

/// The path of the default settings file, relative to the home directory.
const DEFAULT_FILE: &str = ".config/wigeonctl.yaml";

/// The gate to call if none is given.
const DEFAULT_GATE: &str = "http://127.0.0.1:8080";

/// The settings of wigeonctl.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The base URLs of the gates.
    pub gates: Vec<String>,
    /// The key of the operator or team.
    pub key: Option<String>,
    /// The path of the certificate authority of the gates, a PEM file.
    pub authority: Option<PathBuf>,
    /// The format of results.
    pub output: Output,
}

impl Check for Settings {
    fn check(&self, problems: &mut Problems) {
        for (index, gate) in self.gates.iter().enumerate() {
            if !is_url(gate) {
                let field = FieldPath::of("gates").join(index);
                let allowed = "a URL that starts with http:// or https://";
                problems.add(field, format!("{gate:?}"), allowed);
            }
        }
        if self.key.as_ref().is_some_and(String::is_empty) {
            problems.add(FieldPath::of("key"), "\"\"", "a key");
        }
    }
}

impl Settings {
    /// Merges the settings: the command line takes precedence over the environment, and that over
    /// the file.
    ///
    /// Fails if the file is invalid or a gate on the command line is not an HTTP URL.
    pub fn resolve(access: &Access) -> Result<Self, CtlError> {
        let file = match &access.config {
            Some(path) => load::read(path)?,
            None => read_default_file()?,
        };
        if let Some(gate) = access.gates.iter().find(|gate| !is_url(gate)) {
            let reason =
                format!("--gate {gate}: expected a URL that starts with http:// or https://");
            return Err(CtlError::Usage(reason));
        }
        let mut gates = access.gates.clone();
        if gates.is_empty() {
            gates = file.gates;
        }
        if gates.is_empty() {
            gates = vec![DEFAULT_GATE.to_owned()];
        }
        let trimmed = gates
            .iter()
            .map(|gate| gate.trim_end_matches('/').to_owned());
        let variable = std::env::var(KEY_VARIABLE).ok();
        Ok(Self {
            gates: trimmed.collect(),
            key: access.key.clone().or(variable).or(file.key),
            authority: access.authority.clone().or(file.authority),
            output: access.output.unwrap_or(file.output),
        })
    }
}

/// Reads the default settings file; returns default settings if there is none.
fn read_default_file() -> Result<Settings, CtlError> {
    let Some(home) = std::env::var_os("HOME") else {
        return Ok(Settings::default());
    };
    let path = Path::new(&home).join(DEFAULT_FILE);
    if path.exists() {
        Ok(load::read(&path)?)
    } else {
        Ok(Settings::default())
    }
}

fn is_url(text: &str) -> bool {
    ["http://", "https://"]
        .iter()
        .filter_map(|scheme| text.strip_prefix(scheme))
        .any(|host| !host.is_empty())
}
