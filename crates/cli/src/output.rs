//! Command output as text or JSON.

use std::io::{self, Write};

use serde::Serialize;

/// Writes `value` to standard output as JSON, or as text formatted by `to_text`.
///
/// # Errors
///
/// Returns an error if serialization or writing to standard output fails.
pub fn print<T: Serialize>(
    json: bool,
    value: &T,
    to_text: impl Fn(&T) -> String,
) -> io::Result<()> {
    let line = if json { serde_json::to_string(value)? } else { to_text(value) };
    writeln!(io::stdout(), "{line}")
}
