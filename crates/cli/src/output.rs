//! Output for people and for programs.

use std::io::{self, Write};

use serde::Serialize;

/// Writes a result as JSON, or as text made by `text`.
///
/// # Errors
///
/// Returns an error if standard output is closed.
pub fn print<T: Serialize>(json: bool, value: &T, text: impl Fn(&T) -> String) -> io::Result<()> {
    let line = if json { serde_json::to_string(value)? } else { text(value) };
    writeln!(io::stdout(), "{line}")
}
