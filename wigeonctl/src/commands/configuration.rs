//! Applying, comparing and printing the inventory and the rules.

use std::path::PathBuf;

use serde::Serialize;
use wigeongate_config::change::Change;
use wigeongate_config::configuration::Configuration;
use wigeongate_config::inventory::Inventory;
use wigeongate_config::load::{Document, check_files};
use wigeongate_config::rules::Rules;
use wigeongate_core::ids::Revision;

use super::{Context, change};
use crate::cli::{ChangeOptions, Part};
use crate::diff::{Difference, differences, format_lines};
use crate::error::CtlError;

/// An inventory and rules from files.
#[derive(Default)]
struct Files {
    inventory: Option<Inventory>,
    rules: Option<Rules>,
}

/// What applying files changes.
#[derive(Serialize)]
struct Changes {
    /// The revision that the files were compared with.
    revision: Revision,
    differences: Vec<Difference>,
}

impl Files {
    /// Reads and checks the files.
    fn read(paths: &[PathBuf]) -> Result<Self, CtlError> {
        let mut files = Self::default();
        for (path, document) in paths.iter().zip(check_files(paths)?) {
            let duplicate = match document {
                Document::Inventory(inventory) => files.inventory.replace(inventory).is_some(),
                Document::Rules(rules) => files.rules.replace(rules).is_some(),
                other => {
                    let reason = format!("{}: {other} is not applied to gates", path.display());
                    return Err(CtlError::Usage(reason));
                }
            };
            if duplicate {
                let reason = format!("{}: a second file of its kind", path.display());
                return Err(CtlError::Usage(reason));
            }
        }
        Ok(files)
    }

    /// Returns what differs from a configuration.
    fn changes(&self, current: &Configuration) -> Changes {
        let mut next = current.clone();
        if let Some(inventory) = &self.inventory {
            next.inventory = inventory.clone();
        }
        if let Some(rules) = &self.rules {
            next.rules = rules.clone();
        }
        Changes {
            revision: current.revision,
            differences: differences(current, &next),
        }
    }
}

/// Applies files; what changes is shown first.
pub async fn apply(
    context: &Context,
    paths: &[PathBuf],
    how: ChangeOptions,
) -> Result<(), CtlError> {
    let files = Files::read(paths)?;
    let current = current(context).await?;
    let expected = how.expected.map_or(current.revision, Revision);
    if expected == current.revision {
        let changes = files.changes(&current);
        if changes.differences.is_empty() {
            let sentence = format!("Revision {expected} says the same already.");
            context.printer.print_text(&changes, &sentence);
            return Ok(());
        }
        if !context.printer.is_json() {
            let text = format_lines(&changes.differences);
            context.printer.print_differences(&changes, &text);
        }
    }
    let change = Change::Apply {
        inventory: files.inventory,
        rules: files.rules,
    };
    let changed = change::send(context, "applying the files", &change, Some(expected)).await?;
    change::report(context, &changed, how.wait).await
}

/// Shows what applying files would change.
pub async fn diff(context: &Context, paths: &[PathBuf]) -> Result<(), CtlError> {
    let files = Files::read(paths)?;
    let changes = files.changes(&current(context).await?);
    let text = if changes.differences.is_empty() {
        format!("Revision {} says the same already.", changes.revision)
    } else {
        format_lines(&changes.differences)
    };
    context.printer.print_differences(&changes, &text);
    Ok(())
}

/// Prints what is in force.
pub async fn get(context: &Context, part: Part) -> Result<(), CtlError> {
    let current = current(context).await?;
    match part {
        Part::Inventory => print(context, &current.inventory),
        Part::Rules => print(context, &current.rules),
        Part::Configuration => print(context, &current),
    }
}

/// Returns the configuration in force.
pub async fn current(context: &Context) -> Result<Configuration, CtlError> {
    let step = "reading the configuration";
    context.client.get(step, "/v1/operator/configuration").await
}

fn print(context: &Context, document: &impl Serialize) -> Result<(), CtlError> {
    let text = serde_saphyr::to_string(document)
        .map_err(|error| CtlError::Usage(format!("writing YAML: {error}")))?;
    context.printer.print_text(document, text.trim_end());
    Ok(())
}
