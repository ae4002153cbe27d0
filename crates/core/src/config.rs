//! An operator's configuration: parsed whole, checked whole, then immutable.
//!
//! [`Config::from_yaml`] is the only way in. It reports the line and column of
//! the first fault, and never yields a partly applied configuration.

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

/// A checked configuration.
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
    /// Models and roles ordered per engine, by engine name.
    pub engines: BTreeMap<Name, EngineAssignment>,
    /// The three presets.
    pub presets: BTreeMap<PresetName, Preset>,
}

impl Config {
    /// Parses and checks a configuration.
    ///
    /// # Errors
    ///
    /// Returns the first fault with its position: broken YAML, an unknown or
    /// missing field, a duplicate name, a value out of range.
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

/// The document kind that distinguishes configurations from process settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DocumentKind {
    /// A configuration that operators publish.
    Configuration,
}

/// Parses only the fields that `T` names, whatever else the document holds.
///
/// # Errors
///
/// Returns an error if the text is not YAML or a field of `T` is missing.
pub fn parse_fields<T: serde::de::DeserializeOwned>(text: &str) -> Result<T> {
    serde_saphyr::from_str(text).map_err(ConfigError::from_yaml)
}
