use std::fmt;

use serde_saphyr::Location;

/// A result whose error is a [`ConfigError`].
pub type Result<T> = std::result::Result<T, ConfigError>;

/// The kind of a configuration fault, with its number in `docs/CODES.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Category {
    /// The text is not YAML, or a field is unknown, missing or of a wrong type.
    Syntax,
    /// Two entries of one list have the same name.
    Duplicate,
    /// A name refers to an entry that does not exist.
    Reference,
    /// A value lies outside its range.
    Range,
    /// A preset is missing.
    MissingPreset,
}

impl Category {
    /// Returns the number that identifies the category to operators.
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

/// A fault in a configuration, with its position.
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

    /// Converts a parser's fault, keeping its position.
    #[cold]
    pub fn from_yaml(err: serde_saphyr::Error) -> ConfigError {
        let location = err.location().unwrap_or(Location::UNKNOWN);
        let text = err.without_snippet().to_string();
        let message = text.lines().next().unwrap_or("broken document").to_owned();
        ConfigError::new(Category::Syntax, message, location)
    }

    /// Returns the kind of the fault.
    pub fn category(&self) -> Category {
        self.category
    }

    /// Returns the line of the fault, counted from one; zero if unknown.
    pub fn line(&self) -> u64 {
        self.line
    }

    /// Returns the column of the fault, counted from one; zero if unknown.
    pub fn column(&self) -> u64 {
        self.column
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} (code {})", self.message, self.category.as_u16())?;
        // The parser's own messages already carry a position.
        if self.category != Category::Syntax {
            write!(f, " at line {} column {}", self.line, self.column)?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfigError {}
