//! The command that runs one host on the users' platform.

use std::path::PathBuf;

use anyhow::Context;
use goldcrest_observe::log_to_stdout;

use crate::options::{PlatformOptions, UsageError};

/// The environment variable in which the platform passes the path of the settings file.
const SETTINGS_VARIABLE: &str = "GOLDCRESTUSHER_CONFIG";

/// Runs the host until a signal stops it.
pub fn run(options: &PlatformOptions) -> anyhow::Result<()> {
    log_to_stdout(&options.log).context("starting the log")?;
    let path = match &options.settings {
        Some(path) => PathBuf::from(path),
        None => std::env::var_os(SETTINGS_VARIABLE)
            .map(PathBuf::from)
            .ok_or_else(|| UsageError(format!("give --settings, or set {SETTINGS_VARIABLE}")))?,
    };
    let runtime = compio::runtime::Runtime::new().context("starting the runtime")?;
    runtime.block_on(goldcrest_adapter::serve::run(&path))?;
    Ok(())
}
