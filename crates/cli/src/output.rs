//! Output of results: tables for people, JSON for programs.

use comfy_table::{ContentArrangement, Table, presets};
use serde::Serialize;

use crate::error::CliError;

/// Format of a command's output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputFormat {
    /// Text and tables, for people.
    Text,
    /// JSON, for programs.
    Json,
}

/// Prints `value` as JSON or the result of `text`, depending on the format.
///
/// # Errors
/// The value can't be serialized as JSON.
pub fn print(
    format: OutputFormat,
    value: &impl Serialize,
    text: impl FnOnce() -> String,
) -> Result<(), CliError> {
    let output = match format {
        OutputFormat::Json => serde_json::to_string_pretty(value).map_err(CliError::Print)?,
        OutputFormat::Text => text(),
    };
    println!("{output}");
    Ok(())
}

/// Formats a table with a header line and columns as wide as their content.
pub fn table<const N: usize>(header: [&str; N], rows: impl IntoIterator<Item = [String; N]>) -> String {
    let mut table = Table::new();
    table
        .load_preset(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Disabled)
        .set_header(header);
    for row in rows {
        table.add_row(row);
    }
    let lines: Vec<String> = table.lines().map(|line| line.trim_end().to_owned()).collect();
    lines.join("\n")
}

/// Formats bytes as text if they are printable UTF-8, else as hexadecimal digits after `0x`.
pub fn bytes_text(value: &[u8]) -> String {
    match std::str::from_utf8(value) {
        Ok(text) if text.chars().all(|c| !c.is_control()) => text.to_owned(),
        _ => {
            let digits: String = value.iter().map(|byte| format!("{byte:02x}")).collect();
            format!("0x{digits}")
        }
    }
}
