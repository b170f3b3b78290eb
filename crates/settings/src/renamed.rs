//! Keys of settings files that were renamed since an earlier version.

use toml::{Table, Value};

/// The old and the present name of each renamed key.
const RENAMED: [(&str, &str); 4] = [
    ("place", "zone"),
    ("places", "zones"),
    ("department", "workspace"),
    ("departments", "workspaces"),
];

/// Returns the first key of `text` that was renamed, with its present name.
pub(crate) fn find(text: &str) -> Option<(&'static str, &'static str)> {
    let table: Table = toml::from_str(text).ok()?;
    in_table(&table)
}

fn in_table(table: &Table) -> Option<(&'static str, &'static str)> {
    let renamed = RENAMED.iter().find(|(old, _)| table.contains_key(*old));
    renamed
        .copied()
        .or_else(|| table.values().find_map(in_value))
}

fn in_value(value: &Value) -> Option<(&'static str, &'static str)> {
    match value {
        Value::Table(table) => in_table(table),
        Value::Array(values) => values.iter().find_map(in_value),
        _ => None,
    }
}
