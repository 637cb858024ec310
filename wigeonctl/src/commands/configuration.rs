//! Commands that apply, compare and print the inventory and the rules.

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

/// The inventory and the rules read from files; `None` for a kind without a file.
#[derive(Default)]
struct Files {
    inventory: Option<Inventory>,
    rules: Option<Rules>,
}

/// The differences that applying files makes.
#[derive(Serialize)]
struct Changes {
    /// The revision that the files were compared with.
    revision: Revision,
    differences: Vec<Difference>,
}

impl Files {
    /// Reads and checks the files; fails if one is invalid, of another kind or the second of its
    /// kind.
    fn read(paths: &[PathBuf]) -> Result<Self, CtlError> {
        let mut files = Self::default();
        for (path, document) in paths.iter().zip(check_files(paths)?) {
            let duplicate = match document {
                Document::Inventory(inventory) => files.inventory.replace(inventory).is_some(),
                Document::Rules(rules) => files.rules.replace(rules).is_some(),
                other => {
                    let reason = format!(
                        "{}: {other} cannot be applied; expected inventory or rules",
                        path.display()
                    );
                    return Err(CtlError::Usage(reason));
                }
            };
            if duplicate {
                let reason = format!(
                    "{}: another file of the same kind was given before",
                    path.display()
                );
                return Err(CtlError::Usage(reason));
            }
        }
        Ok(files)
    }

    /// Returns the differences that the files make to `current`.
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

/// Applies files and prints the differences first.
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
            let sentence = format!("Revision {expected} already matches the files.");
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

/// Prints the differences that applying the files would make.
pub async fn diff(context: &Context, paths: &[PathBuf]) -> Result<(), CtlError> {
    let files = Files::read(paths)?;
    let changes = files.changes(&current(context).await?);
    let text = if changes.differences.is_empty() {
        format!("Revision {} already matches the files.", changes.revision)
    } else {
        format_lines(&changes.differences)
    };
    context.printer.print_differences(&changes, &text);
    Ok(())
}

/// Prints a part of the configuration in force as YAML or JSON.
pub async fn get(context: &Context, part: Part) -> Result<(), CtlError> {
    let current = current(context).await?;
    match part {
        Part::Inventory => print(context, &current.inventory),
        Part::Rules => print(context, &current.rules),
        Part::Configuration => print(context, &current),
    }
}

/// Fetches the configuration in force.
pub async fn current(context: &Context) -> Result<Configuration, CtlError> {
    let step = "reading the configuration";
    context.client.get(step, "/v1/operator/configuration").await
}

fn print(context: &Context, document: &impl Serialize) -> Result<(), CtlError> {
    let text = serde_saphyr::to_string(document)
        .map_err(|error| CtlError::Usage(format!("formatting the result as YAML: {error}")))?;
    context.printer.print_text(document, text.trim_end());
    Ok(())
}
