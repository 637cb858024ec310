//! What differs between two documents.

use derive_more::Display;
use serde::Serialize;
use serde_json::Value;
use wigeongate_config::problem::FieldPath;

/// One difference.
#[derive(Debug, Clone, PartialEq, Serialize, Display)]
#[display("{}", line(path, before.as_ref(), after.as_ref()))]
pub struct Difference {
    /// The field; items of lists are named where they have names.
    pub path: String,
    /// The value before; `None` if it was not there.
    pub before: Option<Value>,
    /// The value after; `None` if it is not there.
    pub after: Option<Value>,
}

/// Returns the differences between two documents.
pub fn differences(before: &impl Serialize, after: &impl Serialize) -> Vec<Difference> {
    let value = |document: serde_json::Result<Value>| document.unwrap_or(Value::Null);
    let before = value(serde_json::to_value(before));
    let after = value(serde_json::to_value(after));
    let mut found = Vec::new();
    compare(&FieldPath::default(), &before, &after, &mut found);
    found
}

/// Returns the differences as lines.
pub fn lines(differences: &[Difference]) -> String {
    let lines: Vec<String> = differences.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

fn line(path: &str, before: Option<&Value>, after: Option<&Value>) -> String {
    match (before, after) {
        (Some(before), Some(after)) => format!("~ {path}: {before} -> {after}"),
        (Some(before), None) => format!("- {path}: {before}"),
        (None, Some(after)) => format!("+ {path}: {after}"),
        (None, None) => String::new(),
    }
}

fn compare(path: &FieldPath, before: &Value, after: &Value, found: &mut Vec<Difference>) {
    match (before, after) {
        (before, after) if before == after => {}
        (Value::Object(left), Value::Object(right)) => {
            let added = right.keys().filter(|name| !left.contains_key(*name));
            for name in left.keys().chain(added) {
                let path = path.join(name.as_str());
                one(&path, left.get(name), right.get(name), found);
            }
        }
        (Value::Array(left), Value::Array(right)) if named(left) && named(right) => {
            let added = right.iter().filter(|item| find(left, item).is_none());
            for item in left.iter().chain(added) {
                let path = path.join(name(item).unwrap_or_default());
                one(&path, find(left, item), find(right, item), found);
            }
        }
        (before, after) => one_way(path, Some(before), Some(after), found),
    }
}

fn one(
    path: &FieldPath,
    before: Option<&Value>,
    after: Option<&Value>,
    found: &mut Vec<Difference>,
) {
    match (before, after) {
        (Some(before), Some(after)) => compare(path, before, after, found),
        (before, after) => one_way(path, before, after, found),
    }
}

fn one_way(
    path: &FieldPath,
    before: Option<&Value>,
    after: Option<&Value>,
    found: &mut Vec<Difference>,
) {
    found.push(Difference {
        path: path.to_string(),
        before: before.cloned(),
        after: after.cloned(),
    });
}

fn name(item: &Value) -> Option<&str> {
    item.get("name")?.as_str()
}

/// Returns whether each item of a list has a name.
fn named(items: &[Value]) -> bool {
    items.iter().all(|item| name(item).is_some())
}

fn find<'a>(items: &'a [Value], like: &Value) -> Option<&'a Value> {
    items.iter().find(|item| name(item) == name(like))
}
