//! Collects the log lines about one request from the logs of several hosts.

use std::fmt::Write;

use goldcrest_types::Name;
use serde_json::{Map, Value};

/// How long before a request's arrival lines about its service are shown, in milliseconds. Covers a
/// whole failover, from the first suspicion to the new primary.
const BEFORE_MS: i64 = 4_000;

/// How long after the request's end lines about its service are shown, in milliseconds, so that the
/// trace includes the recovery of the service.
const AFTER_MS: i64 = 3_000;

/// The text of a log file, with the name of the host that wrote it.
#[derive(Debug, Clone)]
pub struct LogFile {
    /// The host's name, or the file's name where it is not known.
    pub host: Name,
    /// The file's text.
    pub text: String,
}

/// A parsed log line.
struct Line<'a> {
    host: &'a str,
    /// When it was written, in milliseconds since the Unix epoch.
    at: i64,
    payload: String,
    /// The line's keys and values.
    fields: Map<String, Value>,
}

/// Returns the log lines about a request, ordered by time. Includes lines from shortly before and
/// after it that are about its service, or about no particular service. Returns `None` if no line
/// names the request.
#[must_use]
pub fn trace_request(request: &str, logs: &[LogFile]) -> Option<String> {
    let mut lines: Vec<Line<'_>> = logs.iter().flat_map(parse).collect();
    lines.sort_by_key(|line| line.at);
    let own: Vec<&Line<'_>> = lines.iter().filter(|l| l.names(request)).collect();
    let first = own.iter().map(|l| l.at - l.number("after_ms")).min()?;
    let last = own.iter().map(|l| l.at).max()?;
    let services: Vec<&str> = own.iter().filter_map(|l| l.text("service")).collect();
    let shown = lines.iter().filter(|l| {
        let is_near = l.at >= first - BEFORE_MS && l.at <= last + AFTER_MS;
        l.names(request) || (is_near && l.is_context(&services))
    });
    let mut out = String::new();
    for line in shown {
        line.render(first, &mut out);
    }
    Some(out)
}

/// Parses a log, skipping lines that are not JSON objects. In collected logs the last word before
/// the object names the host.
fn parse(log: &LogFile) -> impl Iterator<Item = Line<'_>> {
    log.text.lines().filter_map(|text| {
        let start = text.find('{')?;
        let object: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
        let host = text[..start].split_whitespace().next_back();
        Some(Line {
            host: host.unwrap_or(&log.host),
            at: object.get("timestamp")?.as_i64()?,
            payload: object.get("payload")?.as_str()?.to_owned(),
            fields: object
                .get("kv")
                .and_then(Value::as_object)
                .cloned()
                .unwrap_or_default(),
        })
    })
}

impl Line<'_> {
    fn text(&self, key: &str) -> Option<&str> {
        self.fields.get(key)?.as_str()
    }

    fn number(&self, key: &str) -> i64 {
        let number = self.fields.get(key).and_then(Value::as_i64);
        number.unwrap_or_default().max(0)
    }

    fn names(&self, request: &str) -> bool {
        self.text("request") == Some(request)
    }

    /// Whether the line is about no particular request, and about one of these services or none.
    fn is_context(&self, services: &[&str]) -> bool {
        let service = self.text("service");
        !self.fields.contains_key("request") && service.is_none_or(|s| services.contains(&s))
    }

    fn render(&self, start: i64, out: &mut String) {
        // Writing to a string can't fail.
        let _ = write!(
            out,
            "{:>6} ms {}: {}",
            self.at - start,
            self.host,
            self.payload
        );
        for (key, value) in &self.fields {
            let _ = match value.as_str() {
                Some(text) => write!(out, "\n          {key} = {text}"),
                None => write!(out, "\n          {key} = {value}"),
            };
        }
        out.push('\n');
    }
}
