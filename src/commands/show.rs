//! Shows what hosts say.

use std::fs;

use anyhow::Context;
use goldcrest_observe::{LogFile, trace_request};
use goldcrest_operators::{HostStatus, ReadRoute};
use goldcrest_types::Name;
use serde_json::to_string_pretty;

use crate::{
    commands::operate,
    options::{ExplainOptions, HostOptions, UsageError},
};

/// Prints a host's account of itself.
pub fn status(options: &HostOptions) -> anyhow::Result<()> {
    let status = operate(&options.at, options.key.as_deref(), async |client| {
        Ok(client.status().await?)
    })?;
    if options.json {
        println!("{}", to_string_pretty(&status)?);
    } else {
        print_status(&status);
    }
    Ok(())
}

/// Prints the audit trail.
pub fn audit(options: &HostOptions) -> anyhow::Result<()> {
    let entries = operate(&options.at, options.key.as_deref(), async |client| {
        Ok(client.audit().await?)
    })?;
    if options.json {
        println!("{}", to_string_pretty(&entries)?);
        return Ok(());
    }
    for e in entries {
        println!(
            "{:>6}  {}  {:<12}  {}  ({}) preset {}",
            e.revision, e.when, e.who, e.what, e.why, e.preset
        );
    }
    Ok(())
}

/// Prints where a read would go, or the trace of a request in logs.
pub fn explain(options: &ExplainOptions) -> anyhow::Result<()> {
    if !options.log.is_empty() {
        return print_trace(&options.subject, &options.log);
    }
    let wrong = || {
        UsageError(format!(
            "--floor: \"{}\" is no TERM:POSITION",
            options.floor
        ))
    };
    let (term, position) = options.floor.split_once(':').ok_or_else(wrong)?;
    let term = term.parse().map_err(|_| wrong())?;
    let position = position.parse().map_err(|_| wrong())?;
    let explained = operate(&options.at, options.key.as_deref(), async |client| {
        Ok(client.explain(&options.subject, term, position).await?)
    })?;
    if options.json {
        println!("{}", to_string_pretty(&explained)?);
        return Ok(());
    }
    match explained {
        Some(explained) => print_explained(&explained),
        None => println!("there is no database {}", options.subject),
    }
    Ok(())
}

fn print_trace(request: &str, files: &[String]) -> anyhow::Result<()> {
    let read = |file: &String| {
        let text = fs::read_to_string(file).with_context(|| format!("reading {file}"))?;
        let host = Name::from(file.as_str());
        Ok(LogFile { host, text })
    };
    let logs: Vec<LogFile> = files.iter().map(read).collect::<anyhow::Result<_>>()?;
    let told = trace_request(request, &logs);
    let told = told.with_context(|| format!("no line of these logs names request {request}"))?;
    print!("{told}");
    Ok(())
}

fn print_explained(explained: &ReadRoute) {
    match (&explained.chosen, explained.waits) {
        (Some(name), _) => println!("the read goes to {name}"),
        (None, true) => println!("the read waits for a replica that is about to catch up"),
        (None, false) => println!("no endpoint may serve the read now"),
    }
    for over in &explained.passed {
        println!("  {} is passed over: {}", over.endpoint, over.reason);
    }
}

fn print_status(status: &HostStatus) {
    println!(
        "host {} in {}: revision {}, preset {}, {} session(s)",
        status.host, status.zone, status.revision, status.preset, status.sessions
    );
    for m in &status.members {
        println!("  host {:<16} {:<16} {}", m.host, m.zone, m.health);
    }
    for group in &status.groups {
        let rank = group
            .rank
            .map_or("not watched here, as last seen".to_owned(), |r| {
                format!("watcher {r}")
            });
        println!(
            "  database {} ({rank}, acknowledge {})",
            group.database, group.acknowledge
        );
        if let Some(trouble) = &group.trouble {
            println!("    writes do not run: {trouble}");
        }
        if let Some(stage) = &group.stage {
            println!("    promotion: {stage}");
        }
        for e in &group.endpoints {
            let part = if e.primary { "primary" } else { "replica" };
            let up = if e.up { "up" } else { "down" };
            let leaving = if e.leaving { ", retired" } else { "" };
            println!(
                "    {:<16} {part:<8} {up:<5} term {} position {} load {}{leaving}",
                e.name, e.term, e.position, e.load
            );
        }
    }
}
