//! The command that checks a settings file, or a configuration before it is sent.

use std::path::Path;

use goldcrest_adapter::check::{Document, Line, Report, check};

use crate::options::{CheckOptions, FindingsError, UsageError};

/// Prints a summary of a valid file, or fails with all errors of the file.
pub fn run(options: &CheckOptions) -> anyhow::Result<()> {
    if options.platform_configuration {
        return check_configuration(options);
    }
    if options.against.is_some() || options.hosts.is_some() || options.json {
        let message = "--against, --hosts and --json go with --platform-configuration";
        return Err(UsageError(message.to_owned()).into());
    }
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

/// Prints what is wrong with a configuration and what it changes. Fails if there are errors or warnings.
fn check_configuration(options: &CheckOptions) -> anyhow::Result<()> {
    if options.platform {
        let message = "give --platform or --platform-configuration, not both";
        return Err(UsageError(message.to_owned()).into());
    }
    let proposed = read(&options.file)?;
    let current = options.against.as_deref().map(read).transpose()?;
    let report = check(&proposed, current.as_ref(), options.hosts);
    if options.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print_text(&options.file, &report);
    }
    if report.has_findings() {
        return Err(FindingsError.into());
    }
    Ok(())
}

fn read(path: &str) -> Result<Document, UsageError> {
    let text = std::fs::read(path).map_err(|error| UsageError(format!("{path}: {error}")))?;
    Document::parse(&text).map_err(|error| UsageError(format!("{path}: {error}")))
}

fn print_text(file: &str, report: &Report) {
    for Line {
        kind,
        entry,
        message,
    } in report.findings.iter().chain(&report.differences)
    {
        println!("{kind}: {entry}: {message}");
    }
    if !report.has_findings() {
        println!("{file}: in order");
    }
}
