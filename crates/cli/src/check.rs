//! Validation of configuration and settings files.

use std::{fmt, fs, path::Path};

use mimosaledge_core::config::{Config, ConfigError};
use mimosaledge_router::Settings as RouterSettings;
use mimosaledge_steward::Settings as StewardSettings;
use serde::Deserialize;

/// Alias for a `Result` with the error type [`CheckError`].
pub type Result<T> = std::result::Result<T, CheckError>;

/// Kind of a valid file, given by its `kind` field.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FileKind {
    /// Fleet configuration.
    Configuration,
    /// Settings of a router.
    Router,
    /// Settings of a steward.
    Steward,
}

/// The reason that a file was rejected.
#[derive(Debug)]
pub enum CheckError {
    /// The file cannot be read.
    Unreadable(std::io::Error),
    /// The `kind` field is missing or has an unknown value.
    UnknownKind,
    /// The configuration is invalid.
    Configuration(ConfigError),
    /// The router or steward settings are invalid.
    Settings(eyre::Report),
}

impl CheckError {
    /// Returns the error code listed in `docs/CODES.md`.
    pub fn as_u16(&self) -> u16 {
        match self {
            CheckError::Unreadable(_) => 5010,
            CheckError::UnknownKind => 5011,
            CheckError::Configuration(err) => err.category().as_u16(),
            CheckError::Settings(_) => 5012,
        }
    }
}

impl fmt::Display for CheckError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CheckError::Unreadable(err) => write!(f, "cannot read file: {err} (code 5010)"),
            CheckError::UnknownKind => {
                f.write_str("kind must be configuration, router or steward (code 5011)")
            }
            CheckError::Configuration(err) => err.fmt(f),
            CheckError::Settings(err) => write!(f, "{err} (code 5012)"),
        }
    }
}

impl std::error::Error for CheckError {}

/// The field that every file has, whatever its kind.
#[derive(Deserialize)]
struct Header {
    kind: String,
}

/// Validates the file at `path` and returns its kind.
///
/// # Errors
///
/// Returns the first error found.
pub fn check_file(path: &Path) -> Result<FileKind> {
    let text = fs::read_to_string(path).map_err(CheckError::Unreadable)?;
    check_text(&text)
}

/// Validates the contents of a file and returns its kind.
///
/// # Errors
///
/// Returns the first error found.
pub fn check_text(text: &str) -> Result<FileKind> {
    // If parsing fails although the text contains a `kind`, the parser's error is more
    // helpful than `UnknownKind`.
    let header: Header = mimosaledge_core::config::parse_fields(text).map_err(|err| {
        if text.contains("kind:") {
            CheckError::Configuration(err)
        } else {
            CheckError::UnknownKind
        }
    })?;
    match header.kind.as_str() {
        "configuration" => {
            Config::from_yaml(text).map_err(CheckError::Configuration)?;
            Ok(FileKind::Configuration)
        }
        "router" => {
            RouterSettings::from_yaml(text).map_err(CheckError::Settings)?;
            Ok(FileKind::Router)
        }
        "steward" => {
            StewardSettings::from_yaml(text).map_err(CheckError::Settings)?;
            Ok(FileKind::Steward)
        }
        _ => Err(CheckError::UnknownKind),
    }
}
