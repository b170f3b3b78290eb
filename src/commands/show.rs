//! The commands that show the state of hosts, the audit trail and traces of requests.

use std::fs;

use anyhow::Context;
use goldcrest_observe::{LogFile, trace_request};
use goldcrest_operators::{HostStatus, ReadRoute};
use goldcrest_types::Name;
use serde_json::to_string_pretty;

use crate::{
    commands::with_client,
    options::{ExplainOptions, HostOptions, UsageError},
};

/// Prints the status of a host.
pub fn status(options: &HostOptions) -> anyhow::Result<()> {
    let status = with_client(&options.at, options.key.as_deref(), async |client| {
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
    let entries = with_client(&options.at, options.key.as_deref(), async |client| {
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

/// Prints the route that a read would take, or the trace of a request from logs.
pub fn explain(options: &ExplainOptions) -> anyhow::Result<()> {
    if !options.log.is_empty() {
        return print_trace(&options.subject, &options.log);
    }
    let wrong = || {
        UsageError(format!(
            "--floor: \"{}\" is not of the form TERM:POSITION",
            options.floor
        ))
    };
    let (term, position) = options.floor.split_once(':').ok_or_else(wrong)?;
    let term = term.parse().map_err(|_| wrong())?;
    let position = position.parse().map_err(|_| wrong())?;
    let route = with_client(&options.at, options.key.as_deref(), async |client| {
        Ok(client.explain(&options.subject, term, position).await?)
    })?;
    if options.json {
        println!("{}", to_string_pretty(&route)?);
        return Ok(());
    }
    match route {
        Some(route) => print_route(&route),
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
    let text = trace_request(request, &logs);
    let text = text.with_context(|| format!("no line of these logs names request {request}"))?;
    print!("{text}");
    Ok(())
}

fn print_route(route: &ReadRoute) {
    match (&route.chosen, route.waits) {
        (Some(name), _) => println!("the read goes to {name}"),
        (None, true) => println!("the read waits for a replica that is about to catch up"),
        (None, false) => println!("no endpoint may serve the read now"),
    }
    for skipped in &route.skipped {
        println!("  {} is passed over: {}", skipped.endpoint, skipped.reason);
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
        let rank = group.rank.map_or(
            "not watched by this host, last known state".to_owned(),
            |r| format!("watcher {r}"),
        );
        println!(
            "  database {} ({rank}, acknowledge {})",
            group.database, group.acknowledge
        );
        if let Some(blocker) = &group.write_blocker {
            println!("    writes do not run: {blocker}");
        }
        if let Some(stage) = &group.stage {
            println!("    promotion: {stage}");
        }
        for e in &group.endpoints {
            let role = if e.primary { "primary" } else { "replica" };
            let state = if e.reachable { "up" } else { "down" };
            let leaving = if e.leaving { ", retired" } else { "" };
            println!(
                "    {:<16} {role:<8} {state:<5} term {} position {} load {}{leaving}",
                e.name, e.term, e.position, e.load
            );
        }
    }
}
