//! The commands that change the configuration in force.

use std::fs;

use anyhow::Context;
use goldcrest_operators::{Accepted, ActiveDeclaration, ChangeRequest, Client};
use goldcrest_settings::{Endpoint, FleetDeclaration};
use goldcrest_types::Name;

use crate::{
    commands::with_client,
    options::{DeclareOptions, EndpointOptions, PresetOptions, UsageError},
};

/// A change to submit; the operator's name is added on sending.
struct Change {
    base: u64,
    text: Option<String>,
    preset: Option<Name>,
    what: String,
    why: String,
}

/// Prints what a declaration would change.
pub fn plan(options: &DeclareOptions) -> anyhow::Result<()> {
    let (_, lines) = plan_file(options)?;
    print_lines(&lines, options.json)
}

/// Puts a declaration in force.
pub fn apply(options: &DeclareOptions) -> anyhow::Result<()> {
    let (base, lines) = plan_file(options)?;
    if lines.is_empty() {
        return print_lines(&lines, options.json);
    }
    let text = read(&options.file)?;
    let change = Change {
        base: options.if_revision.unwrap_or(base),
        text: Some(text),
        preset: None,
        what: lines.join("; "),
        why: options.why.clone(),
    };
    let accepted = with_client(&options.at, options.key.as_deref(), async |client| {
        submit(&client, change).await
    })?;
    print_accepted(&accepted, options.json)
}

/// Shows or sets the preset in force.
pub fn preset(options: &PresetOptions) -> anyhow::Result<()> {
    match (options.action.as_str(), &options.name) {
        ("show", None) => {
            let fleet = with_client(&options.at, options.key.as_deref(), async |client| {
                Ok(client.declaration().await?)
            })?;
            println!("{} (revision {})", fleet.preset, fleet.revision);
            Ok(())
        }
        ("use", Some(name)) => use_preset(options, name),
        _ => Err(UsageError("expected preset show, or preset use NAME".to_owned()).into()),
    }
}

fn use_preset(options: &PresetOptions, name: &str) -> anyhow::Result<()> {
    let accepted = with_client(&options.at, options.key.as_deref(), async |client| {
        let active = client.declaration().await?;
        let change = Change {
            base: options.if_revision.unwrap_or(active.revision),
            text: None,
            preset: Some(Name::from(name)),
            what: format!("preset {} in place of {}", name, active.preset),
            why: options.why.clone(),
        };
        submit(&client, change).await
    })?;
    print_accepted(&accepted, options.json)
}

/// Adds or retires an endpoint.
pub fn endpoint(options: &EndpointOptions) -> anyhow::Result<()> {
    let accepted = with_client(&options.at, options.key.as_deref(), async |client| {
        let ActiveDeclaration { revision, text, .. } = client.declaration().await?;
        let mut fleet: FleetDeclaration =
            toml::from_str(&text).context("parsing the declaration in force")?;
        let what = change_endpoint(&mut fleet, options)?;
        let change = Change {
            base: options.if_revision.unwrap_or(revision),
            text: Some(fleet.to_toml()?),
            preset: None,
            what,
            why: options.why.clone(),
        };
        submit(&client, change).await
    })?;
    print_accepted(&accepted, options.json)
}

fn change_endpoint(
    fleet: &mut FleetDeclaration,
    options: &EndpointOptions,
) -> anyhow::Result<String> {
    let name = &options.name;
    match options.action.as_str() {
        "retire" => {
            let target = fleet.endpoint_mut(name);
            let endpoint =
                target.ok_or_else(|| UsageError(format!("there is no endpoint {name}")))?;
            endpoint.retired = true;
            Ok(format!("endpoint {name} retired"))
        }
        "add" => {
            let (Some(database), Some(address), Some(zone)) =
                (&options.database, &options.address, &options.zone)
            else {
                let text = "endpoint add needs --database, --address and --zone";
                return Err(UsageError(text.to_owned()).into());
            };
            let address = address
                .parse()
                .map_err(|_| UsageError(format!("--address: \"{address}\" is not an address")))?;
            let target = fleet.database_mut(database);
            let target =
                target.ok_or_else(|| UsageError(format!("there is no database {database}")))?;
            target.endpoints.push(Endpoint {
                name: Name::from(name.as_str()),
                address,
                zone: Name::from(zone.as_str()),
                retired: false,
            });
            Ok(format!("endpoint {name} added to {database}"))
        }
        _ => {
            Err(UsageError("expected endpoint add NAME, or endpoint retire NAME".to_owned()).into())
        }
    }
}

/// Returns the revision in force, and the changes that the declaration in the file would make, one
/// per line.
fn plan_file(options: &DeclareOptions) -> anyhow::Result<(u64, Vec<String>)> {
    let later: FleetDeclaration =
        toml::from_str(&read(&options.file)?).with_context(|| options.file.clone())?;
    with_client(&options.at, options.key.as_deref(), async |client| {
        let active = client.declaration().await?;
        let fleet: FleetDeclaration =
            toml::from_str(&active.text).context("parsing the declaration in force")?;
        Ok((active.revision, fleet.plan(&later)?))
    })
}

async fn submit(client: &Client, change: Change) -> anyhow::Result<Accepted> {
    let request = ChangeRequest {
        base: change.base,
        text: change.text,
        preset: change.preset,
        who: Name::from(std::env::var("USER").unwrap_or_else(|_| "operator".to_owned())),
        what: change.what,
        why: change.why,
    };
    Ok(client.change(&request).await?)
}

fn read(file: &str) -> anyhow::Result<String> {
    fs::read_to_string(file).with_context(|| format!("reading {file}"))
}

fn print_lines(lines: &[String], json: bool) -> anyhow::Result<()> {
    if json {
        println!("{}", serde_json::to_string_pretty(lines)?);
    } else if lines.is_empty() {
        println!("no change");
    } else {
        println!("{}", lines.join("\n"));
    }
    Ok(())
}

fn print_accepted(accepted: &Accepted, json: bool) -> anyhow::Result<()> {
    if json {
        println!("{}", serde_json::to_string_pretty(accepted)?);
    } else {
        println!("revision {} is accepted", accepted.revision);
    }
    Ok(())
}
