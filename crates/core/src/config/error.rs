use std::fmt;

use serde_saphyr::Location;

/// Alias for a [`Result`](std::result::Result) with the error [`ConfigError`].
pub type Result<T> = std::result::Result<T, ConfigError>;

/// Category of a configuration error; its code is listed in `docs/CODES.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Category {
    /// The text is not valid YAML, or a field is unknown, missing or of the wrong
    /// type.
    Syntax,
    /// Two entries of one list have the same name.
    Duplicate,
    /// A reference names an entry that does not exist.
    Reference,
    /// A value is out of range.
    Range,
    /// A preset is missing.
    MissingPreset,
}

impl Category {
    /// Returns the numeric code shown to operators.
    pub fn as_u16(self) -> u16 {
        match self {
            Category::Syntax => 5000,
            Category::Duplicate => 5001,
            Category::Reference => 5002,
            Category::Range => 5003,
            Category::MissingPreset => 5004,
        }
    }
}

/// An error in a configuration, with its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError {
    category: Category,
    message: String,
    line: u64,
    column: u64,
}

impl ConfigError {
    pub(super) fn new(category: Category, message: String, location: Location) -> ConfigError {
        ConfigError { category, message, line: location.line(), column: location.column() }
    }

    /// Converts a YAML parser error, keeping its position.
    #[cold]
    pub fn from_yaml(err: serde_saphyr::Error) -> ConfigError {
        let location = err.location().unwrap_or(Location::UNKNOWN);
        let text = err.without_snippet().to_string();
        let message = text.lines().next().unwrap_or("invalid document").to_owned();
        ConfigError::new(Category::Syntax, message, location)
    }

    /// Returns the category of the error.
    pub fn category(&self) -> Category {
        self.category
    }

    /// Returns the one-based line of the error, or zero if it is unknown.
    pub fn line(&self) -> u64 {
        self.line
    }

    /// Returns the one-based column of the error, or zero if it is unknown.
    pub fn column(&self) -> u64 {
        self.column
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} (code {})", self.message, self.category.as_u16())?;
        // Messages of the parser already contain the position.
        if self.category != Category::Syntax {
            write!(f, " at line {} column {}", self.line, self.column)?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfigError {}
