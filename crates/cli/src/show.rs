//! Tables for people, JSON for programs.

use comfy_table::{ContentArrangement, Table, presets};
use serde::Serialize;

use crate::Trouble;

/// A table with a head, as wide as the terminal lets it be.
pub fn table<const N: usize>(head: [&str; N], rows: impl IntoIterator<Item = [String; N]>) -> String {
    let mut table = Table::new();
    table
        .load_preset(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Disabled)
        .set_header(head);
    for row in rows {
        table.add_row(row);
    }
    let lines: Vec<String> = table.lines().map(|line| line.trim_end().to_owned()).collect();
    lines.join("\n")
}

/// Prints a value for programs, or a text for people.
pub fn print(json: bool, value: &impl Serialize, text: impl FnOnce() -> String) -> Result<(), Trouble> {
    let out = if json {
        serde_json::to_string_pretty(value).map_err(|e| Trouble::Refused(e.to_string()))?
    } else {
        text()
    };
    println!("{out}");
    Ok(())
}

/// Bytes as text where they are, else as hex.
pub fn bytes(value: &[u8]) -> String {
    match std::str::from_utf8(value) {
        Ok(text) if text.chars().all(|c| !c.is_control()) => text.to_owned(),
        _ => {
            let digits: String = value.iter().map(|byte| format!("{byte:02x}")).collect();
            format!("0x{digits}")
        }
    }
}
