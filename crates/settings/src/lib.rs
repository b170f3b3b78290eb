//! Settings of a host and of the fleet: parses TOML and checks all values.

mod checks;
mod fleet;
mod model;
mod renamed;

use std::{io, path::Path};

use goldcrest_types::Name;
use serde::de::DeserializeOwned;
use thiserror::Error;

pub use crate::{
    fleet::{FleetDeclaration, PlanError},
    model::{
        AcknowledgeSetting, Database, Endpoint, HostSettings, Limits, Logs, Platform,
        PresetOverrides, Presets, ReadsSetting, Service, Settings, Workspace, Zone,
    },
};

/// A value of a settings file that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{key}: {value}: {allowed}")]
pub struct InvalidValue {
    /// The key with its path, such as `services[0].slots`.
    pub key: String,
    /// The value that was found.
    pub value: String,
    /// What is allowed.
    pub allowed: &'static str,
}

/// Why settings were refused.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("can't read {file}: {source}")]
    Unreadable {
        /// The file.
        file: Name,
        /// The cause.
        source: io::Error,
    },
    /// The file is not valid TOML, or has an unknown key or a value of the wrong type.
    #[error("{file}: {source}")]
    Malformed {
        /// The file.
        file: Name,
        /// The cause, with line and column.
        source: Box<toml::de::Error>,
    },
    /// The file uses the old name of a renamed key.
    #[error("{file}: the key \"{old}\" is now called \"{new}\"")]
    Renamed {
        /// The file.
        file: Name,
        /// The key in the file.
        old: &'static str,
        /// The key's present name.
        new: &'static str,
    },
    /// Some values are not allowed.
    #[error("{file}: {} invalid value(s)\n{}", values.len(), to_lines(values))]
    Invalid {
        /// The file.
        file: Name,
        /// All values that are not allowed.
        values: Vec<InvalidValue>,
    },
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Any [`SettingsError`]; all invalid values are reported at once.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    let file = Name::from(path.display().to_string());
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        file: file.clone(),
        source,
    })?;
    parse(&file, &text)
}

/// Parses and checks settings given as text. `file` names the text in errors.
///
/// # Errors
///
/// [`SettingsError::Malformed`], [`SettingsError::Renamed`] or [`SettingsError::Invalid`].
pub fn parse(file: &Name, text: &str) -> Result<Settings, SettingsError> {
    let settings: Settings = from_toml(file, text)?;
    check(file, &settings)?;
    Ok(settings)
}

/// Parses TOML. If that fails and the text uses the old name of a renamed key, the error names the
/// old and the present name.
pub(crate) fn from_toml<T>(file: &Name, text: &str) -> Result<T, SettingsError>
where
    T: DeserializeOwned,
{
    toml::from_str(text).map_err(|source| {
        let file = file.clone();
        match renamed::find(text) {
            Some((old, new)) => SettingsError::Renamed { file, old, new },
            None => SettingsError::Malformed {
                file,
                source: Box::new(source),
            },
        }
    })
}

/// Checks all values of settings. `file` names the settings in errors.
pub(crate) fn check(file: &Name, settings: &Settings) -> Result<(), SettingsError> {
    let values = checks::invalid_values(settings);
    if values.is_empty() {
        return Ok(());
    }
    let file = file.clone();
    Err(SettingsError::Invalid { file, values })
}

fn to_lines(values: &[InvalidValue]) -> String {
    let lines: Vec<String> = values.iter().map(|v| format!("  {v}")).collect();
    lines.join("\n")
}
