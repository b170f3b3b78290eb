//! Checks of settings values that their types alone can't express.

use std::{collections::BTreeSet, fmt::Display};

use crate::{InvalidValue, Settings};

/// The least length of a secret or key, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// What [`check_name`] allows.
const NAME_RULE: &str = "a name of 1 to 64 letters, digits, '-', '_' or '.'";

/// Returns all invalid values of the settings, in the file's order.
pub(crate) fn invalid_values(settings: &Settings) -> Vec<InvalidValue> {
    let mut out = Vec::new();
    check_host(settings, &mut out);
    check_logs(settings, &mut out);
    check_limits(settings, &mut out);
    check_services(settings, &mut out);
    check_workspaces(settings, &mut out);
    check_presets(settings, &mut out);
    out
}

fn check_host(settings: &Settings, out: &mut Vec<InvalidValue>) {
    let host = &settings.host;
    check_name("host.name", &host.name, out);
    check_zone(settings, "host.zone", &host.zone, out);
    for (key, value) in [
        ("host.secret", &host.secret),
        ("host.operators", &host.operator_key),
    ] {
        if value.len() < MIN_SECRET_BYTES {
            let found = format!("{} bytes", value.len());
            push(out, key, found, "at least 16 bytes");
        }
    }
}

fn check_logs(settings: &Settings, out: &mut Vec<InvalidValue>) {
    let logs = &settings.logs;
    if !["plain", "json"].contains(&logs.format.as_str()) {
        push(out, "logs.form", &logs.format, "plain or json");
    }
    if !["error", "warn", "info", "debug"].contains(&logs.level.as_str()) {
        push(out, "logs.level", &logs.level, "error, warn, info or debug");
    }
}

fn check_limits(settings: &Settings, out: &mut Vec<InvalidValue>) {
    let limits = &settings.limits;
    let counts = [
        ("limits.sessions", limits.sessions),
        ("limits.prepared", limits.prepared),
    ];
    for (key, value) in counts {
        if value == 0 {
            push(out, key, value, "at least 1");
        }
    }
    for (key, value) in [
        ("limits.message_bytes", limits.message_bytes),
        ("limits.answer_bytes", limits.answer_bytes),
    ] {
        if !(1024..=1 << 30).contains(&value) {
            push(out, key, value, "1024 to 1073741824 bytes");
        }
    }
    for (key, value) in [
        ("limits.start_ms", limits.start_ms),
        ("limits.short_ms", limits.short_ms),
        ("limits.long_ms", limits.long_ms),
        ("limits.idle_ms", limits.idle_ms),
    ] {
        if !(1..=86_400_000).contains(&value) {
            push(out, key, value, "1 to 86400000 milliseconds");
        }
    }
}

fn check_services(settings: &Settings, out: &mut Vec<InvalidValue>) {
    let mut names = BTreeSet::new();
    for (i, service) in settings.services.iter().enumerate() {
        let key = format!("services[{i}]");
        if service.connections == 0 {
            push(out, format!("{key}.connections"), 0, "at least 1");
        }
        if service.slots == 0 {
            push(out, format!("{key}.slots"), 0, "at least 1");
        }
        for (j, database) in service.databases.iter().enumerate() {
            let key = format!("{key}.databases[{j}]");
            check_name(&format!("{key}.name"), &database.name, out);
            if !names.insert(&database.name) {
                let allowed = "a name that no other database or endpoint has";
                push(out, format!("{key}.name"), &database.name, allowed);
            }
            if database.endpoints.is_empty() {
                push(out, format!("{key}.endpoints"), "none", "at least 1");
            }
            for (k, endpoint) in database.endpoints.iter().enumerate() {
                let key = format!("{key}.endpoints[{k}]");
                check_zone(settings, &format!("{key}.zone"), &endpoint.zone, out);
                if !names.insert(&endpoint.name) {
                    let allowed = "a name that no other database or endpoint has";
                    push(out, format!("{key}.name"), &endpoint.name, allowed);
                }
            }
        }
    }
}

fn check_workspaces(settings: &Settings, out: &mut Vec<InvalidValue>) {
    let databases: BTreeSet<_> = settings
        .services
        .iter()
        .flat_map(|s| s.databases.iter().map(|d| &d.name))
        .collect();
    let mut names = BTreeSet::new();
    for (i, workspace) in settings.workspaces.iter().enumerate() {
        let key = format!("workspaces[{i}]");
        check_name(&format!("{key}.name"), &workspace.name, out);
        if !names.insert(&workspace.name) {
            let allowed = "a name that no other workspace has";
            push(out, format!("{key}.name"), &workspace.name, allowed);
        }
        for database in &workspace.databases {
            if !databases.contains(database) {
                let allowed = "the name of a database of some service";
                push(out, format!("{key}.databases"), database, allowed);
            }
        }
    }
}

fn check_presets(settings: &Settings, out: &mut Vec<InvalidValue>) {
    let presets = &settings.presets;
    for (name, preset) in [
        ("ordinary", &presets.ordinary),
        ("peak", &presets.peak),
        ("maintenance", &presets.maintenance),
    ] {
        for (workspace, weight) in &preset.weights {
            let known = settings.workspaces.iter().any(|w| w.name == *workspace);
            if !known {
                let key = format!("presets.{name}.weights");
                push(out, key, workspace, "the name of a workspace");
            }
            if *weight == 0 {
                let key = format!("presets.{name}.weights.{workspace}");
                push(out, key, weight, "at least 1");
            }
        }
    }
}

fn check_zone(settings: &Settings, key: &str, zone: &str, out: &mut Vec<InvalidValue>) {
    if settings.zones.iter().all(|z| z.name != zone) {
        push(out, key, zone, "the name of a zone in [[zones]]");
    }
}

fn check_name(key: &str, name: &str, out: &mut Vec<InvalidValue>) {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if name.is_empty() || name.len() > 64 || !name.chars().all(allowed) {
        push(out, key, format!("\"{name}\""), NAME_RULE);
    }
}

fn push<K, V>(out: &mut Vec<InvalidValue>, key: K, value: V, allowed: &'static str)
where
    K: Into<String>,
    V: Display,
{
    out.push(InvalidValue {
        key: key.into(),
        value: value.to_string(),
        allowed,
    });
}
