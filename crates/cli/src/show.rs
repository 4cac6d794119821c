//! Prints JSON values, as they are or as tables.

use std::io::{self, Write};

use serde_json::Value;

use crate::args::Output;

/// Space between two columns, in characters.
const GAP: usize = 2;

/// Prints `text` to standard output.
///
/// A reader that has gone, such as `head`, wants no more: that is no error.
pub fn print(text: impl AsRef<[u8]>) {
    let mut output = io::stdout().lock();
    drop(
        output
            .write_all(text.as_ref())
            .and_then(|()| output.flush()),
    );
}

/// Prints a value as JSON.
pub fn json(value: &Value) {
    print(format!("{value:#}\n"));
}

/// Prints one object: as JSON, or one line for each key.
pub fn object(output: Output, value: &Value) {
    match output {
        Output::Json => json(value),
        Output::Table => print(lines(value)),
    }
}

/// One line for each key of an object.
#[must_use]
pub fn lines(value: &Value) -> String {
    let Some(object) = value.as_object() else {
        return format!("{}\n", cell(value));
    };
    let width = object.keys().map(String::len).max().unwrap_or_default();
    let line = |(key, value): (&String, &Value)| format!("{key:width$}  {}\n", cell(value));
    object.iter().map(line).collect()
}

/// A table of the objects in `rows`, with these `columns`.
#[must_use]
pub fn table(rows: &Value, columns: &[&str]) -> String {
    let no_rows = Vec::new();
    let rows = rows.as_array().unwrap_or(&no_rows);
    let header = columns.iter().map(|c| c.replace('_', " ").to_uppercase());
    let mut cells: Vec<Vec<String>> = vec![header.collect()];
    for row in rows {
        cells.push(columns.iter().map(|c| cell(&row[*c])).collect());
    }
    let width = |column: usize| {
        let widths = cells.iter().map(|row| row[column].chars().count());
        widths.max().unwrap_or_default() + GAP
    };
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    let line = |row: &Vec<String>| {
        let padded = row
            .iter()
            .zip(&widths)
            .map(|(cell, w)| format!("{cell:w$}"));
        format!("{}\n", padded.collect::<String>().trim_end())
    };
    cells.iter().map(line).collect()
}

/// A value in one cell.
fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "no".to_owned(),
        Value::String(text) if text.is_empty() => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) if items.is_empty() => "-".to_owned(),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(" "),
        Value::Number(_) | Value::Object(_) => value.to_string(),
    }
}
