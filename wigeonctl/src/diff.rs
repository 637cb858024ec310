//! Comparison of two documents.

use derive_more::Display;
use serde::Serialize;
use serde_json::Value;
use wigeongate_config::problem::FieldPath;

/// A field that differs between two documents.
#[derive(Debug, Clone, PartialEq, Serialize, Display)]
#[display("{}", format_difference(path, before.as_ref(), after.as_ref()))]
pub struct Difference {
    /// The path of the field; list items appear by name if all of them have one.
    pub path: String,
    /// The old value; `None` if the field was added.
    pub before: Option<Value>,
    /// The new value; `None` if the field was removed.
    pub after: Option<Value>,
}

/// Returns the differences between two documents; one that cannot be serialized counts as null.
pub fn differences(before: &impl Serialize, after: &impl Serialize) -> Vec<Difference> {
    let value = |document: serde_json::Result<Value>| document.unwrap_or(Value::Null);
    let before = value(serde_json::to_value(before));
    let after = value(serde_json::to_value(after));
    let mut differences = Vec::new();
    compare(&FieldPath::default(), &before, &after, &mut differences);
    differences
}

/// Formats the differences, one per line.
pub fn format_lines(differences: &[Difference]) -> String {
    let lines: Vec<String> = differences.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

fn format_difference(path: &str, before: Option<&Value>, after: Option<&Value>) -> String {
    match (before, after) {
        (Some(before), Some(after)) => format!("~ {path}: {before} -> {after}"),
        (Some(before), None) => format!("- {path}: {before}"),
        (None, Some(after)) => format!("+ {path}: {after}"),
        (None, None) => String::new(),
    }
}

fn compare(path: &FieldPath, before: &Value, after: &Value, differences: &mut Vec<Difference>) {
    match (before, after) {
        (before, after) if before == after => {}
        (Value::Object(left), Value::Object(right)) => {
            let added = right.keys().filter(|name| !left.contains_key(*name));
            for name in left.keys().chain(added) {
                let path = path.join(name.as_str());
                compare_optional(&path, left.get(name), right.get(name), differences);
            }
        }
        (Value::Array(left), Value::Array(right)) if all_named(left) && all_named(right) => {
            let added = right.iter().filter(|item| find_named(left, item).is_none());
            for item in left.iter().chain(added) {
                let path = path.join(item_name(item).unwrap_or_default());
                compare_optional(
                    &path,
                    find_named(left, item),
                    find_named(right, item),
                    differences,
                );
            }
        }
        (before, after) => add_difference(path, Some(before), Some(after), differences),
    }
}

fn compare_optional(
    path: &FieldPath,
    before: Option<&Value>,
    after: Option<&Value>,
    differences: &mut Vec<Difference>,
) {
    match (before, after) {
        (Some(before), Some(after)) => compare(path, before, after, differences),
        (before, after) => add_difference(path, before, after, differences),
    }
}

fn add_difference(
    path: &FieldPath,
    before: Option<&Value>,
    after: Option<&Value>,
    differences: &mut Vec<Difference>,
) {
    differences.push(Difference {
        path: path.to_string(),
        before: before.cloned(),
        after: after.cloned(),
    });
}

fn item_name(item: &Value) -> Option<&str> {
    item.get("name")?.as_str()
}

/// Returns whether every item of a list has a name.
fn all_named(items: &[Value]) -> bool {
    items.iter().all(|item| item_name(item).is_some())
}

fn find_named<'a>(items: &'a [Value], wanted: &Value) -> Option<&'a Value> {
    items
        .iter()
        .find(|item| item_name(item) == item_name(wanted))
}
