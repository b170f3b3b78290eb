//! Settings in TOML, parsed and checked in one place.

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
        AcknowledgeSetting, Database, Endpoint, HostSettings, Limits, Logs, Platform, Preset,
        Presets, ReadsSetting, Service, Settings, Workspace, Zone,
    },
};

/// One fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{key}: {value}: {allowed}")]
pub struct InvalidValue {
    /// The key, with its path.
    pub key: String,
    /// The value that was found.
    pub value: String,
    /// What is allowed.
    pub allowed: &'static str,
}

/// Why settings were not taken.
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
    /// The file is not TOML, or a key or a type is wrong.
    #[error("{file}: {source}")]
    Malformed {
        /// The file.
        file: Name,
        /// The cause, with line and column.
        source: Box<toml::de::Error>,
    },
    /// A key has had another name since.
    #[error("{file}: the key \"{old}\" is now called \"{new}\"")]
    Renamed {
        /// The file.
        file: Name,
        /// The key in the file.
        old: &'static str,
        /// Its name now.
        new: &'static str,
    },
    /// Values are not allowed.
    #[error("{file}: {} fault(s)\n{}", faults.len(), listed(faults))]
    Invalid {
        /// The file.
        file: Name,
        /// All faults.
        faults: Vec<InvalidValue>,
    },
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Any [`SettingsError`]; all faults of values are reported at once.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    let file = Name::from(path.display().to_string());
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        file: file.clone(),
        source,
    })?;
    parse(&file, &text)
}

/// Checks settings given as text. `file` names them in errors.
///
/// # Errors
///
/// [`SettingsError::Malformed`], [`SettingsError::Renamed`] or [`SettingsError::Invalid`].
pub fn parse(file: &Name, text: &str) -> Result<Settings, SettingsError> {
    let settings: Settings = read(file, text)?;
    check(file, &settings)?;
    Ok(settings)
}

/// Reads TOML of which keys may have older names.
pub(crate) fn read<T>(file: &Name, text: &str) -> Result<T, SettingsError>
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

/// Checks the values of settings. `file` names them in errors.
pub(crate) fn check(file: &Name, settings: &Settings) -> Result<(), SettingsError> {
    let faults = checks::faults(settings);
    if faults.is_empty() {
        return Ok(());
    }
    let file = file.clone();
    Err(SettingsError::Invalid { file, faults })
}

fn listed(faults: &[InvalidValue]) -> String {
    let lines: Vec<String> = faults.iter().map(|f| format!("  {f}")).collect();
    lines.join("\n")
}
