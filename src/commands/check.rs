//! The command that checks a settings file.

use std::path::Path;

use crate::options::CheckOptions;

/// Prints a summary of a valid file, or fails with all errors of the file.
pub fn run(options: &CheckOptions) -> anyhow::Result<()> {
    if options.platform {
        let settings = goldcrest_adapter::settings::load(Path::new(&options.file))?;
        println!(
            "{}: in order: host {} in {}, region {}",
            options.file, settings.name, settings.zone, settings.region
        );
        return Ok(());
    }
    let settings = goldcrest_settings::load(Path::new(&options.file))?;
    let databases: usize = settings.services.iter().map(|s| s.databases.len()).sum();
    println!(
        "{}: in order: host {}, {} service(s), {databases} database(s), {} workspace(s)",
        options.file,
        settings.host.name,
        settings.services.len(),
        settings.workspaces.len()
    );
    Ok(())
}
