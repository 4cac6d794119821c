//! Prints values as JSON or as tables.

use std::io::{self, Write};

use serde_json::Value;

use crate::args::Output;

/// Space between two columns of a table, in characters.
const COLUMN_GAP: usize = 2;

/// Prints `text` to standard output.
///
/// Write errors are ignored: a reader such as `head` may close the pipe early.
pub fn print(text: impl AsRef<[u8]>) {
    let mut output = io::stdout().lock();
    drop(
        output
            .write_all(text.as_ref())
            .and_then(|()| output.flush()),
    );
}

/// Prints a value as JSON.
pub fn print_json(value: &Value) {
    print(format!("{value:#}\n"));
}

/// Prints an object as JSON, or as one line for each key.
pub fn print_object(output: Output, value: &Value) {
    match output {
        Output::Json => print_json(value),
        Output::Table => print(format_lines(value)),
    }
}

/// Formats an object as one line for each key.
#[must_use]
pub fn format_lines(value: &Value) -> String {
    let Some(object) = value.as_object() else {
        return format!("{}\n", format_cell(value));
    };
    let width = object.keys().map(String::len).max().unwrap_or_default();
    let line = |(key, value): (&String, &Value)| format!("{key:width$}  {}\n", format_cell(value));
    object.iter().map(line).collect()
}

/// Formats the objects in `rows` as a table with the given `columns`.
#[must_use]
pub fn format_table(rows: &Value, columns: &[&str]) -> String {
    let no_rows = Vec::new();
    let rows = rows.as_array().unwrap_or(&no_rows);
    let header = columns.iter().map(|c| c.replace('_', " ").to_uppercase());
    let mut cells: Vec<Vec<String>> = vec![header.collect()];
    for row in rows {
        cells.push(columns.iter().map(|c| format_cell(&row[*c])).collect());
    }
    let width = |column: usize| {
        let widths = cells.iter().map(|row| row[column].chars().count());
        widths.max().unwrap_or_default() + COLUMN_GAP
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

/// Formats a value for one cell of a table.
fn format_cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "no".to_owned(),
        Value::String(text) if text.is_empty() => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) if items.is_empty() => "-".to_owned(),
        Value::Array(items) => items.iter().map(format_cell).collect::<Vec<_>>().join(" "),
        Value::Number(_) | Value::Object(_) => value.to_string(),
    }
}
