//! What a statement does, as far as its text tells.
//!
//! What can't be parsed or proved to be a read is passed on unchanged as a write.

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

/// The prefix of the proxy's own settings.
const OWN_PREFIX: &str = "goldcrest";

/// Names that belong to the proxy's own work on endpoints.
const RESERVED: [&str; 3] = ["group_seal", "group_promote", "goldcrest_request"];

/// Functions that read only and leave nothing behind on the connection.
const PURE: [&str; 46] = [
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

/// What the proxy makes of a statement's text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Classification {
    /// It goes to an endpoint.
    Work {
        /// What it does.
        kind: Kind,
        /// Whether it may leave something behind on its connection.
        dirty: bool,
        /// Whether it opens or ends a transaction.
        control: bool,
    },
    /// It changes a setting of the session on the endpoint's side.
    Keep {
        /// The setting's name.
        name: Name,
    },
    /// It changes a setting of the proxy.
    Change {
        /// The setting's name without its prefix.
        name: Name,
        /// The value.
        value: Name,
    },
    /// It asks for the session's token.
    ShowToken,
    /// It can't be carried through the proxy.
    Unsupported(&'static str),
}

/// Classifies the text of one query, which may hold several statements.
#[must_use]
pub fn classify(sql: &str) -> Classification {
    let lower = sql.to_lowercase();
    if RESERVED.iter().any(|name| lower.contains(name)) {
        return Classification::Unsupported("the statement names something that is reserved");
    }
    let Ok(statements) = Parser::parse_sql(&PostgreSqlDialect {}, sql) else {
        return Classification::Work {
            kind: Kind::Write,
            dirty: true,
            control: true,
        };
    };
    match statements.as_slice() {
        [] => work(Kind::Read),
        [one] => single(one),
        many => several(many),
    }
}

fn work(kind: Kind) -> Classification {
    Classification::Work {
        kind,
        dirty: false,
        control: matches!(kind, Kind::Begin | Kind::Commit | Kind::Rollback),
    }
}

fn dirty_write() -> Classification {
    Classification::Work {
        kind: Kind::Write,
        dirty: true,
        control: false,
    }
}

fn single(statement: &Statement) -> Classification {
    match statement {
        Statement::Query(query) => query_kind(statement, query),
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
        | Statement::ReleaseSavepoint { .. } => statement_write(statement),
        Statement::CreateTable(table) if !table.temporary => work(Kind::Write),
        Statement::StartTransaction { .. } => work(Kind::Begin),
        Statement::Commit { .. } => work(Kind::Commit),
        Statement::Rollback { savepoint, .. } if savepoint.is_none() => work(Kind::Rollback),
        Statement::Rollback { .. } => work(Kind::Write),
        Statement::Set(set) => setting(set),
        Statement::ShowVariable { variable } => show(variable),
        Statement::Explain { analyze: false, .. } => work(Kind::Read),
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

/// Several statements run as one request on one connection.
fn several(statements: &[Statement]) -> Classification {
    let mut kinds = Vec::new();
    let mut soiled = false;
    for statement in statements {
        match single(statement) {
            Classification::Work { kind, dirty, .. } => {
                kinds.push(kind);
                soiled |= dirty;
            }
            Classification::Unsupported(why) => return Classification::Unsupported(why),
            _ => return Classification::Unsupported("a setting must be a query of its own"),
        }
    }
    let control = kinds
        .iter()
        .any(|k| matches!(k, Kind::Begin | Kind::Commit | Kind::Rollback));
    let kind = if kinds.iter().all(|k| *k == Kind::Read) {
        Kind::Read
    } else if kinds.contains(&Kind::Commit) {
        Kind::Commit
    } else {
        Kind::Write
    };
    Classification::Work {
        kind,
        dirty: soiled,
        control,
    }
}

fn statement_write(statement: &Statement) -> Classification {
    Classification::Work {
        kind: Kind::Write,
        dirty: !functions_pure(statement),
        control: false,
    }
}

fn query_kind(statement: &Statement, query: &Query) -> Classification {
    if query_reads(query) && functions_pure(statement) {
        return work(Kind::Read);
    }
    Classification::Work {
        kind: Kind::Write,
        dirty: !functions_pure(statement),
        control: false,
    }
}

fn query_reads(query: &Query) -> bool {
    let tables = query.with.iter().flat_map(|w| &w.cte_tables);
    let mut inner = tables.map(|cte| &cte.query);
    query.locks.is_empty() && inner.all(|q| query_reads(q)) && body_reads(&query.body)
}

fn body_reads(body: &SetExpr) -> bool {
    match body {
        SetExpr::Select(select) => {
            let froms = select.from.iter();
            let mut factors =
                froms.flat_map(|t| t.joins.iter().map(|j| &j.relation).chain([&t.relation]));
            select.into.is_none() && factors.all(factor_reads)
        }
        SetExpr::Query(query) => query_reads(query),
        SetExpr::SetOperation { left, right, .. } => body_reads(left) && body_reads(right),
        SetExpr::Values(_) | SetExpr::Table(_) => true,
        _ => false,
    }
}

fn factor_reads(factor: &TableFactor) -> bool {
    match factor {
        TableFactor::Table { name, args, .. } => args.is_none() || is_pure(name),
        TableFactor::Derived { subquery, .. } => query_reads(subquery),
        TableFactor::NestedJoin { .. } => true,
        _ => false,
    }
}

/// Whether a statement calls only functions that are known to read.
fn functions_pure(statement: &Statement) -> bool {
    let calls = visit_expressions(statement, |e: &Expr| match e {
        Expr::Function(f) if !is_pure(&f.name) => ControlFlow::Break(()),
        Expr::Subquery(q) if !query_reads(q) => ControlFlow::Break(()),
        _ => ControlFlow::Continue(()),
    });
    let relations = visit_relations(statement, |_| ControlFlow::<()>::Continue(()));
    calls.is_continue() && relations.is_continue()
}

fn is_pure(name: &ObjectName) -> bool {
    let last = name.0.last().map(ToString::to_string).unwrap_or_default();
    PURE.contains(&last.to_lowercase().as_str())
}

fn setting(set: &Set) -> Classification {
    match set {
        Set::SingleAssignment {
            scope,
            variable,
            values,
            ..
        } => {
            let local = scope.is_some_and(|s| s.to_string().trim().eq_ignore_ascii_case("local"));
            let values: Vec<String> = values.iter().map(plain).collect();
            assignment(&variable.to_string(), &values.join(", "), local)
        }
        Set::SetTimeZone { local: false, .. } => Classification::Keep {
            name: Name::from("timezone"),
        },
        Set::SetNames { .. } | Set::SetNamesDefault {} => Classification::Keep {
            name: Name::from("names"),
        },
        _ => dirty_write(),
    }
}

fn assignment(variable: &str, value: &str, local: bool) -> Classification {
    let lower = variable.to_lowercase();
    match lower.split_once('.') {
        Some((OWN_PREFIX, name)) => Classification::Change {
            name: Name::from(name),
            value: Name::from(value),
        },
        _ if local => work(Kind::Write),
        _ => Classification::Keep {
            name: Name::from(lower),
        },
    }
}

fn plain(value: &Expr) -> String {
    match value {
        Expr::Value(v) => match v.value.clone().into_string() {
            Some(text) => text,
            None => v.to_string(),
        },
        other => other.to_string(),
    }
}

fn show<T>(variable: &[T]) -> Classification
where
    T: ToString,
{
    let parts: Vec<String> = variable.iter().map(T::to_string).collect();
    if parts.join(".").eq_ignore_ascii_case("goldcrest.session") {
        return Classification::ShowToken;
    }
    work(Kind::Read)
}
