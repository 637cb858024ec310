//! Documents whose kind is detected from their fields.

use std::path::PathBuf;

use derive_more::Display;
use wigeongate_core::job::JobSpec;

use super::{Diagnostic, Diagnostics, diagnostics, parse_tree, read_text, read_typed};
use crate::check::check_cross_references;
use crate::inventory::Inventory;
use crate::problem::Problems;
use crate::rules::Rules;
use crate::settings::Settings;
use crate::tree::{Node, Value};

/// Top-level fields by which each kind of document is detected.
const KINDS: [(DocumentKind, &[&str]); 4] = [
    (
        DocumentKind::Inventory,
        &["regions", "hosts", "backends", "teams", "keys"],
    ),
    (DocumentKind::Rules, &["queues", "placement"]),
    (
        DocumentKind::Settings,
        &["gate", "listen", "peer", "store", "operators", "leases"],
    ),
    (DocumentKind::Job, &["queue", "tasks", "size", "command"]),
];

/// The kind of a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum DocumentKind {
    /// The inventory.
    #[display("inventory")]
    Inventory,
    /// The rules.
    #[display("rules")]
    Rules,
    /// The settings of one gate.
    #[display("settings")]
    Settings,
    /// A job.
    #[display("job")]
    Job,
}

/// A document of one of the kinds.
#[derive(Debug, Clone, Display)]
pub enum Document {
    /// The inventory.
    #[display("inventory")]
    Inventory(Inventory),
    /// The rules.
    #[display("rules")]
    Rules(Rules),
    /// The settings of one gate.
    #[display("settings")]
    Settings(Box<Settings>),
    /// A job.
    #[display("job")]
    Job(JobSpec),
}

/// A document with its source file and tree.
struct SourceFile {
    file: String,
    tree: Node,
    document: Document,
}

/// Reads and checks files, and checks the rules against the inventory among them; fails with all
/// problems.
pub fn check_files(paths: &[PathBuf]) -> Result<Vec<Document>, Diagnostics> {
    let mut errors = Diagnostics::default();
    let mut files = Vec::new();
    for path in paths {
        match read_file(path) {
            Ok(source) => files.push(source),
            Err(diagnostics) => errors.0.extend(diagnostics.0),
        }
    }
    errors.0.extend(cross_check(&files).0);
    if errors.0.is_empty() {
        Ok(files.into_iter().map(|source| source.document).collect())
    } else {
        Err(errors)
    }
}

fn read_file(path: &std::path::Path) -> Result<SourceFile, Diagnostics> {
    let (file, text) = read_text(path)?;
    let tree = parse_tree(&file, &text)?;
    let document = match detect_kind(&file, &tree)? {
        DocumentKind::Inventory => Document::Inventory(read_typed(&file, &tree)?),
        DocumentKind::Rules => Document::Rules(read_typed(&file, &tree)?),
        DocumentKind::Settings => Document::Settings(Box::new(read_typed(&file, &tree)?)),
        DocumentKind::Job => Document::Job(read_typed(&file, &tree)?),
    };
    Ok(SourceFile {
        file,
        tree,
        document,
    })
}

/// Detects the kind of a document: the one that shares the most top-level fields with it.
fn detect_kind(file: &str, tree: &Node) -> Result<DocumentKind, Diagnostics> {
    let names: Vec<&str> = match &tree.value {
        Value::Map(entries) => entries.iter().map(|entry| entry.name.as_str()).collect(),
        _ => Vec::new(),
    };
    let matching = |fields: &[&str]| names.iter().filter(|name| fields.contains(name)).count();
    let best = KINDS.iter().max_by_key(|(_, fields)| matching(fields));
    let best = best.filter(|(_, fields)| matching(fields) > 0);
    best.map(|(kind, _)| *kind).ok_or_else(|| {
        Diagnostics(vec![Diagnostic {
            file: file.to_owned(),
            line: tree.line,
            message: format!(
                "the document: found {}; allowed: {}",
                describe_fields(&names),
                describe_kinds()
            ),
        }])
    })
}

fn describe_fields(names: &[&str]) -> String {
    match names {
        [] => "no fields".to_owned(),
        names => format!("the fields {}", names.join(", ")),
    }
}

fn describe_kinds() -> String {
    let kinds = KINDS.map(|(kind, fields)| format!("{kind} ({})", fields.join(", ")));
    kinds.join("; ")
}

/// Checks each rules file against each inventory file.
fn cross_check(files: &[SourceFile]) -> Diagnostics {
    let mut errors = Diagnostics::default();
    for inventory_file in files {
        let Document::Inventory(inventory) = &inventory_file.document else {
            continue;
        };
        for rules_file in files {
            let Document::Rules(rules) = &rules_file.document else {
                continue;
            };
            let mut in_inventory = Problems::default();
            let mut in_rules = Problems::default();
            check_cross_references(inventory, rules, &mut in_inventory, &mut in_rules);
            errors
                .0
                .extend(diagnostics(&inventory_file.file, &inventory_file.tree, in_inventory).0);
            errors
                .0
                .extend(diagnostics(&rules_file.file, &rules_file.tree, in_rules).0);
        }
    }
    errors
}
