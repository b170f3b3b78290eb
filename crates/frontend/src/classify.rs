//! Classifies SQL text: read, write, transaction control, or a setting.
//!
//! A statement that can't be parsed, or can't be proved to be a read, is forwarded unchanged as a
//! write.

use std::ops::ControlFlow;

use goldcrest_types::{Kind, Name};
use sqlparser::{
    ast::{
        Expr, ObjectName, Query, Set, SetExpr, Statement, TableFactor, visit_expressions,
        visit_relations,
    },
    dialect::PostgreSqlDialect,
    parser::Parser,
};

/// The namespace of the proxy's own settings.
const SETTING_PREFIX: &str = "goldcrest";

/// The setting that decides whether a backslash escapes a quote in a literal. The proxy reads and
/// writes literals on the assumption that it is on.
const LITERAL_SETTING: &str = "standard_conforming_strings";

/// Names that only the proxy itself may use on endpoints.
const RESERVED_NAMES: [&str; 3] = ["group_seal", "group_promote", "goldcrest_request"];

/// Functions that neither write nor leave state behind on the connection.
const READ_ONLY_FUNCTIONS: [&str; 46] = [
    "abs",
    "age",
    "avg",
    "ceil",
    "char_length",
    "coalesce",
    "concat",
    "count",
    "current_database",
    "current_date",
    "current_schema",
    "current_timestamp",
    "current_user",
    "date_part",
    "date_trunc",
    "dense_rank",
    "extract",
    "first_value",
    "floor",
    "format",
    "greatest",
    "lag",
    "last_value",
    "lead",
    "least",
    "left",
    "length",
    "lower",
    "max",
    "min",
    "mod",
    "now",
    "nullif",
    "pg_sleep",
    "rank",
    "replace",
    "round",
    "row_number",
    "substr",
    "substring",
    "sum",
    "to_char",
    "trim",
    "upper",
    "version",
    "group_status",
];

/// How the proxy handles a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Classification {
    /// It is forwarded to an endpoint.
    Forward {
        /// Whether it reads, writes, or begins or ends a transaction.
        kind: Kind,
        /// Whether it may leave state behind on its connection.
        dirty: bool,
        /// Whether it opens or ends a transaction.
        tx_control: bool,
    },
    /// It changes a session setting of the endpoints.
    SessionSetting {
        /// The setting's name.
        name: Name,
    },
    /// It changes one of the proxy's own settings.
    ProxySetting {
        /// The setting's name without the `goldcrest.` prefix.
        name: Name,
        /// The setting's new value.
        value: Name,
    },
    /// It reads the session's token.
    ShowToken,
    /// The proxy does not support it, for the given reason.
    Unsupported(&'static str),
}

/// Classifies the text of one query, which may hold several statements.
#[must_use]
pub fn classify(sql: &str) -> Classification {
    let lower = sql.to_lowercase();
    if RESERVED_NAMES.iter().any(|name| lower.contains(name)) {
        return Classification::Unsupported("the statement names something that is reserved");
    }
    let Ok(statements) = Parser::parse_sql(&PostgreSqlDialect {}, sql) else {
        return Classification::Forward {
            kind: Kind::Write,
            dirty: true,
            tx_control: true,
        };
    };
    match statements.as_slice() {
        [] => forward(Kind::Read),
        [one] => classify_one(one),
        many => classify_all(many),
    }
}

fn forward(kind: Kind) -> Classification {
    Classification::Forward {
        kind,
        dirty: false,
        tx_control: matches!(kind, Kind::Begin | Kind::Commit | Kind::Rollback),
    }
}

fn dirty_write() -> Classification {
    Classification::Forward {
        kind: Kind::Write,
        dirty: true,
        tx_control: false,
    }
}

fn classify_one(statement: &Statement) -> Classification {
    match statement {
        Statement::Query(query) => classify_query(statement, query),
        Statement::Insert(_)
        | Statement::Update { .. }
        | Statement::Delete(_)
        | Statement::Merge { .. }
        | Statement::Truncate { .. }
        | Statement::CreateIndex(_)
        | Statement::CreateView { .. }
        | Statement::AlterTable { .. }
        | Statement::Drop { .. }
        | Statement::Savepoint { .. }
        | Statement::ReleaseSavepoint { .. } => classify_write(statement),
        Statement::CreateTable(table) if !table.temporary => forward(Kind::Write),
        Statement::StartTransaction { .. } => forward(Kind::Begin),
        Statement::Commit { .. } => forward(Kind::Commit),
        Statement::Rollback { savepoint, .. } if savepoint.is_none() => forward(Kind::Rollback),
        Statement::Rollback { .. } => forward(Kind::Write),
        Statement::Set(set) => classify_set(set),
        Statement::ShowVariable { variable } => classify_show(variable),
        Statement::Explain { analyze: false, .. } => forward(Kind::Read),
        Statement::Copy { .. } => Classification::Unsupported("COPY is not supported"),
        Statement::Prepare { .. } | Statement::Execute { .. } | Statement::Deallocate { .. } => {
            Classification::Unsupported(
                "use the protocol's prepared statements in place of PREPARE",
            )
        }
        Statement::LISTEN { .. } | Statement::UNLISTEN { .. } => {
            Classification::Unsupported("LISTEN is not supported")
        }
        Statement::Declare { .. } | Statement::Fetch { .. } => {
            Classification::Unsupported("cursors are not supported")
        }
        _ => dirty_write(),
    }
}

/// Classifies several statements that run as one request on one connection.
fn classify_all(statements: &[Statement]) -> Classification {
    let mut kinds = Vec::new();
    let mut any_dirty = false;
    for statement in statements {
        match classify_one(statement) {
            Classification::Forward { kind, dirty, .. } => {
                kinds.push(kind);
                any_dirty |= dirty;
            }
            Classification::Unsupported(reason) => return Classification::Unsupported(reason),
            _ => return Classification::Unsupported("a setting must be a query of its own"),
        }
    }
    let tx_control = kinds
        .iter()
        .any(|k| matches!(k, Kind::Begin | Kind::Commit | Kind::Rollback));
    let kind = if kinds.iter().all(|k| *k == Kind::Read) {
        Kind::Read
    } else if kinds.contains(&Kind::Commit) {
        Kind::Commit
    } else {
        Kind::Write
    };
    Classification::Forward {
        kind,
        dirty: any_dirty,
        tx_control,
    }
}

fn classify_write(statement: &Statement) -> Classification {
    Classification::Forward {
        kind: Kind::Write,
        dirty: !calls_read_only(statement),
        tx_control: false,
    }
}

fn classify_query(statement: &Statement, query: &Query) -> Classification {
    if is_read_query(query) && calls_read_only(statement) {
        return forward(Kind::Read);
    }
    Classification::Forward {
        kind: Kind::Write,
        dirty: !calls_read_only(statement),
        tx_control: false,
    }
}

/// Whether a query and the queries inside it only read, without row locks. Function calls in
/// expressions are checked by [`calls_read_only`].
fn is_read_query(query: &Query) -> bool {
    let tables = query.with.iter().flat_map(|w| &w.cte_tables);
    let mut inner = tables.map(|cte| &cte.query);
    query.locks.is_empty() && inner.all(|q| is_read_query(q)) && is_read_body(&query.body)
}

fn is_read_body(body: &SetExpr) -> bool {
    match body {
        SetExpr::Select(select) => {
            let froms = select.from.iter();
            let mut factors =
                froms.flat_map(|t| t.joins.iter().map(|j| &j.relation).chain([&t.relation]));
            select.into.is_none() && factors.all(is_read_table)
        }
        SetExpr::Query(query) => is_read_query(query),
        SetExpr::SetOperation { left, right, .. } => is_read_body(left) && is_read_body(right),
        SetExpr::Values(_) | SetExpr::Table(_) => true,
        _ => false,
    }
}

fn is_read_table(factor: &TableFactor) -> bool {
    match factor {
        TableFactor::Table { name, args, .. } => args.is_none() || is_read_only_function(name),
        TableFactor::Derived { subquery, .. } => is_read_query(subquery),
        TableFactor::NestedJoin { .. } => true,
        _ => false,
    }
}

/// Whether a statement calls only functions that are known to be read-only.
fn calls_read_only(statement: &Statement) -> bool {
    let calls = visit_expressions(statement, |e: &Expr| match e {
        Expr::Function(f) if !is_read_only_function(&f.name) => ControlFlow::Break(()),
        Expr::Subquery(q) if !is_read_query(q) => ControlFlow::Break(()),
        _ => ControlFlow::Continue(()),
    });
    let relations = visit_relations(statement, |_| ControlFlow::<()>::Continue(()));
    calls.is_continue() && relations.is_continue()
}

fn is_read_only_function(name: &ObjectName) -> bool {
    let last = name.0.last().map(ToString::to_string).unwrap_or_default();
    READ_ONLY_FUNCTIONS.contains(&last.to_lowercase().as_str())
}

fn classify_set(set: &Set) -> Classification {
    match set {
        Set::SingleAssignment {
            scope,
            variable,
            values,
            ..
        } => {
            let local = scope.is_some_and(|s| s.to_string().trim().eq_ignore_ascii_case("local"));
            let values: Vec<String> = values.iter().map(value_text).collect();
            classify_assignment(&variable.to_string(), &values.join(", "), local)
        }
        Set::SetTimeZone { local: false, .. } => Classification::SessionSetting {
            name: Name::from("timezone"),
        },
        Set::SetNames { .. } | Set::SetNamesDefault {} => Classification::SessionSetting {
            name: Name::from("names"),
        },
        _ => dirty_write(),
    }
}

fn classify_assignment(variable: &str, value: &str, local: bool) -> Classification {
    let lower = variable.to_lowercase();
    match lower.split_once('.') {
        Some((SETTING_PREFIX, name)) => Classification::ProxySetting {
            name: Name::from(name),
            value: Name::from(value),
        },
        _ if lower == LITERAL_SETTING && !is_on(value) => {
            Classification::Unsupported("standard_conforming_strings must stay on")
        }
        _ if local => forward(Kind::Write),
        _ => Classification::SessionSetting {
            name: Name::from(lower),
        },
    }
}

fn is_on(value: &str) -> bool {
    let value = value.to_lowercase();
    ["on", "true", "yes", "1", "default"].contains(&value.as_str())
}

/// Returns the text of a setting's value, without quotes.
fn value_text(value: &Expr) -> String {
    match value {
        Expr::Value(v) => match v.value.clone().into_string() {
            Some(text) => text,
            None => v.to_string(),
        },
        other => other.to_string(),
    }
}

fn classify_show<T>(variable: &[T]) -> Classification
where
    T: ToString,
{
    let parts: Vec<String> = variable.iter().map(T::to_string).collect();
    if parts.join(".").eq_ignore_ascii_case("goldcrest.session") {
        return Classification::ShowToken;
    }
    forward(Kind::Read)
}
