//! Parsing and validation of the configurations that operators publish.
//!
//! [`Config::from_yaml`] is the only constructor of [`Config`]. It returns either
//! a valid configuration or the first error, with its line and column.

mod check;
mod class;
mod engine;
mod error;
mod preset;
mod workspace;

use std::collections::BTreeMap;

use serde::Deserialize;

use crate::name::Name;

pub use self::{
    class::{Class, Target},
    engine::{EngineAssignment, ModelSpec},
    error::{Category, ConfigError, Result},
    preset::{Preset, PresetName},
    workspace::Workspace,
};

/// A valid configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Human-readable name of the deployment.
    pub deployment: Name,
    /// Workspaces by name.
    pub workspaces: BTreeMap<Name, Workspace>,
    /// Request classes by name.
    pub classes: BTreeMap<Name, Class>,
    /// Models by name.
    pub models: BTreeMap<Name, ModelSpec>,
    /// Model assigned to each engine, by engine name.
    pub engines: BTreeMap<Name, EngineAssignment>,
    /// Settings of every preset.
    pub presets: BTreeMap<PresetName, Preset>,
}

impl Config {
    /// Parses and validates a configuration.
    ///
    /// # Errors
    ///
    /// Returns the first error with its position: invalid YAML, an unknown or
    /// missing field, a duplicate name, a reference to an unknown name, or a
    /// value out of range.
    pub fn from_yaml(text: &str) -> Result<Config> {
        let source: check::ConfigSource =
            serde_saphyr::from_str(text).map_err(ConfigError::from_yaml)?;
        check::validate(source)
    }

    /// Returns the settings of `preset`.
    pub fn preset(&self, preset: PresetName) -> &Preset {
        &self.presets[&preset]
    }
}

/// Value of the `kind` field, which distinguishes configurations from process
/// settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DocumentKind {
    /// A configuration published by an operator.
    Configuration,
}

/// Parses only the fields of `T`; other fields of the document are ignored.
///
/// # Errors
///
/// Returns an error if the text is not YAML or a field of `T` is missing.
pub fn parse_fields<T: serde::de::DeserializeOwned>(text: &str) -> Result<T> {
    serde_saphyr::from_str(text).map_err(ConfigError::from_yaml)
}
