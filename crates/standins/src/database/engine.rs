//! The SQL engine of a node: SQLite, with concurrent transactions of several sessions.
//!
//! A transaction acquires the write lock with its first write. Until then its reads return the
//! newest committed state.

use std::collections::BTreeMap;

use goldcrest_types::TxState;
use rusqlite::{Connection, functions::FunctionFlags, params_from_iter};
use tempfile::TempDir;

use super::{
    control::{ControlCall, UNNAMED_COLUMN, extra_column},
    peers::{SessionKey, Statement},
    values::{OID_FLOAT8, OID_INT8, OID_TEXT, SqlError, Value},
};

/// The name of a column and the OID of its type.
pub(super) type Column = (String, u32);

/// The result of a statement.
#[derive(Debug, Clone, Default)]
pub(super) struct QueryResult {
    /// The command tag.
    pub tag: String,
    pub columns: Vec<Column>,
    pub rows: Vec<Vec<Value>>,
    /// The statements of the transaction that this one committed, to be replicated.
    pub committed: Vec<String>,
}

/// The transaction that holds the write lock.
struct Writer {
    key: SessionKey,
    connection: Connection,
    /// The statements that have written, with their parameters filled in.
    statements: Vec<String>,
}

/// The database of a node, and the transactions and settings of its sessions.
pub(super) struct Engine {
    directory: TempDir,
    /// The connection that reads the committed state and runs writes outside transactions.
    main: Connection,
    /// The transaction that holds the write lock, if any.
    writer: Option<Writer>,
    /// The state of each open transaction.
    open: BTreeMap<SessionKey, TxState>,
    /// The settings of each session, by name in upper case.
    settings: BTreeMap<SessionKey, BTreeMap<String, String>>,
}

impl Engine {
    pub(super) fn new() -> rusqlite::Result<Self> {
        let directory =
            TempDir::new().map_err(|e| rusqlite::Error::ToSqlConversionFailure(Box::new(e)))?;
        let main = connect(&directory)?;
        Ok(Self {
            directory,
            main,
            writer: None,
            open: BTreeMap::new(),
            settings: BTreeMap::new(),
        })
    }

    /// Runs a statement. Returns `None` if another session's transaction holds the write lock.
    pub(super) fn run(
        &mut self,
        key: SessionKey,
        statement: &Statement,
        writable: bool,
    ) -> Option<Result<QueryResult, SqlError>> {
        let mut words = statement.sql.split_whitespace();
        let word = words.next().unwrap_or_default().to_uppercase();
        let second = words.next().unwrap_or_default().to_uppercase();
        let result = match word.trim_end_matches(';') {
            "" => Ok(QueryResult::default()),
            "BEGIN" | "START" => Ok(self.begin(key)),
            "COMMIT" | "END" => self.commit(key, writable),
            "ROLLBACK" | "ABORT" if second != "TO" => {
                self.abort(key);
                Ok(with_tag("ROLLBACK"))
            }
            "SET" => self.set(key, &statement.sql),
            "SHOW" => Ok(self.show(key, &second)),
            "DISCARD" => {
                self.settings.remove(&key);
                Ok(with_tag("DISCARD ALL"))
            }
            _ => self.query(key, statement, writable)?,
        };
        Some(self.finish(key, result))
    }

    /// Rolls back a session's transaction.
    pub(super) fn abort(&mut self, key: SessionKey) {
        self.open.remove(&key);
        if self.writer.as_ref().is_some_and(|w| w.key == key) {
            // Dropping the connection rolls back.
            self.writer = None;
        }
    }

    /// Applies the statements of a replicated transaction.
    pub(super) fn apply(&mut self, statements: &[String]) {
        let run = || -> rusqlite::Result<()> {
            let tx = self.main.unchecked_transaction()?;
            for sql in statements {
                tx.execute_batch(sql)?;
            }
            tx.commit()
        };
        if let Err(error) = run() {
            spdlog::error!("applying a replicated transaction failed: {}", error);
        }
    }

    /// Returns the columns of a statement's result.
    pub(super) fn describe(&self, sql: &str) -> Result<Vec<Column>, SqlError> {
        if let Some(call) = ControlCall::parse(sql) {
            let names = call.columns().iter();
            let names = names.chain(extra_column(sql).map(|_| &UNNAMED_COLUMN));
            return Ok(names.map(|n| ((*n).to_owned(), OID_TEXT)).collect());
        }
        let word = sql.split_whitespace().next().unwrap_or_default();
        match word.to_uppercase().trim_end_matches(';') {
            "" | "BEGIN" | "START" | "COMMIT" | "END" | "ROLLBACK" | "ABORT" | "SET"
            | "DISCARD" => Ok(Vec::new()),
            "SHOW" => Ok(vec![("setting".to_owned(), OID_TEXT)]),
            _ => {
                let prepared = self.main.prepare(sql)?;
                Ok(columns(&prepared))
            }
        }
    }

    fn begin(&mut self, key: SessionKey) -> QueryResult {
        self.open.entry(key).or_insert(TxState::Open);
        with_tag("BEGIN")
    }

    fn commit(&mut self, key: SessionKey, writable: bool) -> Result<QueryResult, SqlError> {
        if self.open.remove(&key) == Some(TxState::Failed) {
            self.abort(key);
            return Ok(with_tag("ROLLBACK"));
        }
        let Some(writer) = self.writer.take_if(|w| w.key == key) else {
            return Ok(with_tag("COMMIT"));
        };
        if !writable {
            return Err(SqlError::new("25006", "this endpoint may not commit"));
        }
        writer.connection.execute_batch("COMMIT")?;
        Ok(QueryResult {
            committed: writer.statements,
            ..with_tag("COMMIT")
        })
    }

    fn set(&mut self, key: SessionKey, sql: &str) -> Result<QueryResult, SqlError> {
        let rest = sql
            .trim()
            .trim_end_matches(';')
            .get(3..)
            .unwrap_or_default();
        let pair = rest.split_once('=').or_else(|| rest.split_once(" TO "));
        let Some((name, value)) = pair else {
            return Err(SqlError::new("42601", "SET takes a name and a value"));
        };
        let value = value.trim().trim_matches('\'').to_owned();
        let settings = self.settings.entry(key).or_default();
        settings.insert(name.trim().to_uppercase(), value);
        Ok(with_tag("SET"))
    }

    fn show(&self, key: SessionKey, name: &str) -> QueryResult {
        let settings = self.settings.get(&key);
        let value = settings.and_then(|s| s.get(name.trim_end_matches(';')));
        QueryResult {
            columns: vec![("setting".to_owned(), OID_TEXT)],
            rows: vec![vec![Value::Text(value.cloned().unwrap_or_default())]],
            ..with_tag("SHOW")
        }
    }

    fn query(
        &mut self,
        key: SessionKey,
        statement: &Statement,
        writable: bool,
    ) -> Option<Result<QueryResult, SqlError>> {
        if self.open.get(&key) == Some(&TxState::Failed) {
            let text = "the transaction is aborted until its end";
            return Some(Err(SqlError::new("25P02", text)));
        }
        let readonly = match self.connection(key).prepare(&statement.sql) {
            Ok(prepared) => prepared.readonly(),
            Err(error) => return Some(Err(error.into())),
        };
        if readonly {
            return Some(query(self.connection(key), statement).map(|(result, _)| result));
        }
        if !writable {
            return Some(Err(SqlError::new("25006", "this endpoint takes no writes")));
        }
        if self.writer.as_ref().is_some_and(|w| w.key != key) {
            return None;
        }
        if self.open.contains_key(&key) {
            return Some(self.write_in_transaction(key, statement));
        }
        let outcome = query(&self.main, statement);
        Some(outcome.map(|(result, sql)| QueryResult {
            committed: vec![sql],
            ..result
        }))
    }

    fn write_in_transaction(
        &mut self,
        key: SessionKey,
        statement: &Statement,
    ) -> Result<QueryResult, SqlError> {
        if self.writer.is_none() {
            let connection = connect(&self.directory)?;
            connection.execute_batch("BEGIN IMMEDIATE")?;
            self.writer = Some(Writer {
                key,
                connection,
                statements: Vec::new(),
            });
        }
        let Some(writer) = &mut self.writer else {
            return Err(SqlError::new("XX000", "no write lock"));
        };
        let (result, sql) = query(&writer.connection, statement)?;
        writer.statements.push(sql);
        Ok(result)
    }

    /// Returns the connection that sees the session's own uncommitted writes.
    fn connection(&self, key: SessionKey) -> &Connection {
        match &self.writer {
            Some(writer) if writer.key == key => &writer.connection,
            _ => &self.main,
        }
    }

    fn finish(
        &mut self,
        key: SessionKey,
        result: Result<QueryResult, SqlError>,
    ) -> Result<QueryResult, SqlError> {
        if result.is_err() {
            self.fail(key);
        }
        result
    }

    /// Marks an open transaction as failed, so that it can only be rolled back.
    pub(super) fn fail(&mut self, key: SessionKey) {
        if let Some(state) = self.open.get_mut(&key) {
            *state = TxState::Failed;
        }
    }

    /// Returns the transaction state of a session.
    pub(super) fn state(&self, key: SessionKey) -> TxState {
        self.open.get(&key).copied().unwrap_or_default()
    }
}

fn connect(directory: &TempDir) -> rusqlite::Result<Connection> {
    let connection = Connection::open(directory.path().join("node.db"))?;
    connection.execute_batch("PRAGMA journal_mode = MEMORY; PRAGMA synchronous = OFF;")?;
    connection.create_scalar_function("pg_sleep", 1, FunctionFlags::SQLITE_UTF8, |_| {
        Ok(rusqlite::types::Null)
    })?;
    Ok(connection)
}

fn with_tag(tag: &str) -> QueryResult {
    QueryResult {
        tag: tag.to_owned(),
        ..QueryResult::default()
    }
}

/// Runs a statement. Returns its result, and its text with the parameters filled in.
fn query(
    connection: &Connection,
    statement: &Statement,
) -> Result<(QueryResult, String), SqlError> {
    let mut prepared = connection.prepare(&statement.sql)?;
    let columns = columns(&prepared);
    let count = prepared.parameter_count();
    let width = columns.len();
    let mut rows = Vec::new();
    let parameters = statement.parameters.iter().take(count);
    let mut cursor = prepared.query(params_from_iter(parameters))?;
    while let Some(row) = cursor.next()? {
        let cells = (0..width).map(|i| row.get_ref(i).map(Value::from_sqlite));
        rows.push(cells.collect::<rusqlite::Result<Vec<Value>>>()?);
    }
    drop(cursor);
    let readonly = prepared.readonly();
    let sql = prepared.expanded_sql().unwrap_or_default();
    let affected = if readonly {
        rows.len() as u64
    } else {
        connection.changes()
    };
    let result = QueryResult {
        tag: command_tag(&statement.sql, affected),
        columns,
        rows,
        ..QueryResult::default()
    };
    Ok((result, sql))
}

fn command_tag(sql: &str, count: u64) -> String {
    let mut words = sql.split_whitespace().map(str::to_uppercase);
    let word = words.next().unwrap_or_default();
    match word.as_str() {
        "INSERT" => format!("INSERT 0 {count}"),
        "UPDATE" | "DELETE" => format!("{word} {count}"),
        "CREATE" | "DROP" | "ALTER" => {
            format!("{word} {}", words.next().unwrap_or_default())
        }
        _ => format!("SELECT {count}"),
    }
}

fn columns(prepared: &rusqlite::Statement<'_>) -> Vec<Column> {
    let columns = prepared.columns();
    let described = columns.iter().map(|c| {
        let declared = c.decl_type().unwrap_or_default().to_uppercase();
        (c.name().to_owned(), oid(&declared))
    });
    described.collect()
}

fn oid(declared: &str) -> u32 {
    match declared {
        d if d.contains("INT") => OID_INT8,
        d if d.contains("REAL") || d.contains("DOUBLE") || d.contains("FLOAT") => OID_FLOAT8,
        _ => OID_TEXT,
    }
}
