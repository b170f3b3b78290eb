//! Parsing of statement texts, and the description of results.

use std::time::Duration;

use pgwire::messages::{
    PgWireBackendMessage,
    data::{FieldDescription, NoData, RowDescription},
};
use sqlparser::{dialect::PostgreSqlDialect, parser::Parser};

use super::engine::Column;

/// Splits a query into its statements. A query that can't be parsed stays whole.
pub(super) fn split_statements(sql: &str) -> Vec<String> {
    if !sql.trim().trim_end_matches(';').contains(';') {
        let one = sql.trim().trim_end_matches(';').to_owned();
        return if one.is_empty() {
            Vec::new()
        } else {
            vec![one]
        };
    }
    match Parser::parse_sql(&PostgreSqlDialect {}, sql) {
        Ok(parts) => parts.iter().map(ToString::to_string).collect(),
        Err(_) => vec![sql.to_owned()],
    }
}

/// Returns the first word of a statement in upper case.
pub(super) fn first_word(sql: &str) -> String {
    let word = sql.split_whitespace().next().unwrap_or_default();
    word.trim_end_matches(';').to_uppercase()
}

/// Returns the duration of the first `pg_sleep(seconds)` in a statement.
pub(super) fn sleep_duration(sql: &str) -> Option<Duration> {
    let lower = sql.to_lowercase();
    let (_, rest) = lower.split_once("pg_sleep(")?;
    let (seconds, _) = rest.split_once(')')?;
    Duration::try_from_secs_f64(seconds.trim().parse().ok()?).ok()
}

/// Returns the number of the highest placeholder, such as 2 for `$2`.
pub(super) fn placeholder_count(sql: &str) -> usize {
    let numbers = sql.split('$').skip(1).filter_map(|rest| {
        let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
        digits.parse().ok()
    });
    numbers.max().unwrap_or(0)
}

/// Returns the format code of a column: none means text, and a single one applies to all.
pub(super) fn column_format(formats: &[i16], column: usize) -> i16 {
    match formats {
        [] => 0,
        [one] => *one,
        many => many.get(column).copied().unwrap_or(0),
    }
}

/// Returns the message that describes the columns of a result.
pub(super) fn row_description(columns: &[Column], formats: &[i16]) -> PgWireBackendMessage {
    if columns.is_empty() {
        return PgWireBackendMessage::NoData(NoData::new());
    }
    let fields = columns.iter().enumerate().map(|(i, (name, oid))| {
        FieldDescription::new(name.clone(), 0, 0, *oid, -1, -1, column_format(formats, i))
    });
    PgWireBackendMessage::RowDescription(RowDescription::new(fields.collect()))
}
