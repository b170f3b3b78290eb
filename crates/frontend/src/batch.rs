//! Batches of the extended protocol: the messages up to a `Sync`.

use std::collections::HashMap;

use goldcrest_types::{Kind, Name};
use pgwire::messages::{
    PgWireFrontendMessage,
    extendedquery::{Bind, Close, Describe, Execute, Parse},
};

use crate::{
    ClientError,
    classify::{Classification, classify},
};

/// The target type of `Describe` and `Close` messages that name a statement, not a portal.
const TARGET_STATEMENT: u8 = b'S';

/// The bytes that each prepared statement and portal takes besides its texts.
const KEPT_OVERHEAD: usize = 128;

/// A prepared statement of a session. It is held in the proxy and not on a connection to an
/// endpoint.
#[derive(Debug, Clone)]
pub(crate) struct PreparedStatement {
    pub sql: String,
    pub type_oids: Vec<u32>,
    pub classification: Classification,
}

/// The prepared statements of a session, at most `limit` of them.
#[derive(Debug)]
pub(crate) struct PreparedStatements {
    limit: usize,
    by_name: HashMap<String, PreparedStatement>,
}

impl PreparedStatements {
    /// Creates an empty set that holds at most `limit` statements.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            by_name: HashMap::new(),
        }
    }

    /// Looks up a statement by its name.
    pub(crate) fn get(&self, name: &str) -> Result<&PreparedStatement, ClientError> {
        let found = self.by_name.get(name);
        found.ok_or_else(|| ClientError::NoStatement(name.to_owned()))
    }

    fn add(&mut self, name: &str, prepared: PreparedStatement) -> Result<(), ClientError> {
        let full = self.by_name.len() >= self.limit;
        if full && !self.by_name.contains_key(name) {
            return Err(ClientError::TooManyPrepared(self.limit));
        }
        self.by_name.insert(name.to_owned(), prepared);
        Ok(())
    }

    /// Returns the bytes of the statements' texts, which are also held in parsed form.
    pub(crate) fn bytes(&self) -> usize {
        let texts = self.by_name.iter();
        texts
            .map(|(name, p)| name.len() + p.sql.len() + 4 * p.type_oids.len() + KEPT_OVERHEAD)
            .sum()
    }

    /// Removes closed statements.
    pub(crate) fn close(&mut self, names: &[String]) {
        for name in names {
            self.by_name.remove(name);
        }
    }
}

/// How a batch is executed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// It only closes statements and portals, and the proxy answers it.
    CloseOnly,
    /// Forward it to an endpoint.
    Forward {
        kind: Kind,
        dirty: bool,
        tx_control: bool,
    },
    /// The proxy answers it.
    Local(Classification),
    /// Apply a session setting on an endpoint and record it.
    SessionSetting { name: Name, sql: String },
}

/// A complete batch, without its `Sync`.
#[derive(Debug)]
pub(crate) struct FinishedBatch {
    pub messages: Vec<PgWireFrontendMessage>,
    /// Names of the statements to remove once the batch is encoded.
    pub closed: Vec<String>,
    pub purpose: Purpose,
}

/// The messages since the last `Sync`.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    messages: Vec<PgWireFrontendMessage>,
    /// The classification and SQL text of each executed statement, and of each described one that
    /// the proxy answers.
    executed: Vec<(Classification, String)>,
    /// The classification and SQL text of each portal's statement, by the portal's name.
    portals: HashMap<String, (Classification, String)>,
    /// The names of the statements that the batch closes.
    closed: Vec<String>,
    /// Whether an endpoint must answer a message of the batch, even if nothing is executed there.
    needs_endpoint: bool,
    /// The first error. The messages after it are ignored.
    error: Option<ClientError>,
    /// The size of the messages so far, in bytes.
    bytes: usize,
}

impl Batch {
    /// Adds a message of `size` bytes. A batch of more than `limit` bytes is an error. After an
    /// error, messages up to the `Sync` are ignored.
    pub(crate) fn push(
        &mut self,
        message: PgWireFrontendMessage,
        size: usize,
        limit: usize,
        statements: &mut PreparedStatements,
    ) {
        if self.error.is_some() {
            return;
        }
        self.bytes += size;
        let recorded = if self.bytes > limit {
            Err(ClientError::Unsupported(
                "the messages up to a sync are over the size limit",
            ))
        } else {
            self.record(&message, statements)
        };
        match recorded {
            Ok(()) => self.messages.push(message),
            Err(error) => self.error = Some(error),
        }
    }

    /// Returns the bytes of the messages since the last `Sync`.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the bytes of the portals' statements.
    pub(crate) fn portal_bytes(&self) -> usize {
        let portals = self.portals.iter();
        portals
            .map(|(name, (_, sql))| name.len() + sql.len() + KEPT_OVERHEAD)
            .sum()
    }

    /// Whether messages were added since the last `Sync`.
    pub(crate) fn is_pending(&self) -> bool {
        !self.messages.is_empty() || self.error.is_some()
    }

    /// Refuses the batch, unless it already has an error.
    pub(crate) fn refuse(&mut self, error: ClientError) {
        self.error.get_or_insert(error);
    }

    /// Completes the batch.
    pub(crate) fn finish(&mut self) -> Result<FinishedBatch, ClientError> {
        let finished = std::mem::take(self);
        // Portals exist until the transaction ends, and later executions are routed by their
        // statements.
        self.portals = finished.portals;
        if let Some(error) = finished.error {
            return Err(error);
        }
        let purpose = purpose(
            &finished.executed,
            finished.needs_endpoint,
            &finished.messages,
        )?;
        Ok(FinishedBatch {
            messages: finished.messages,
            closed: finished.closed,
            purpose,
        })
    }

    /// Removes the portals at the end of a transaction.
    pub(crate) fn clear_portals(&mut self) {
        self.portals.clear();
    }

    fn record(
        &mut self,
        message: &PgWireFrontendMessage,
        statements: &mut PreparedStatements,
    ) -> Result<(), ClientError> {
        match message {
            PgWireFrontendMessage::Parse(parse) => self.record_parse(parse, statements),
            PgWireFrontendMessage::Bind(bind) => self.record_bind(bind, statements),
            PgWireFrontendMessage::Describe(describe) => self.record_describe(describe, statements),
            PgWireFrontendMessage::Execute(execute) => {
                self.record_execute(execute);
                Ok(())
            }
            PgWireFrontendMessage::Close(close) => {
                self.record_close(close);
                Ok(())
            }
            PgWireFrontendMessage::Flush(_) => Err(ClientError::Unsupported(
                "flush without sync is not supported",
            )),
            _ => Err(ClientError::Protocol("a message of the extended protocol")),
        }
    }

    fn record_parse(
        &mut self,
        parse: &Parse,
        statements: &mut PreparedStatements,
    ) -> Result<(), ClientError> {
        let classification = classify(&parse.query);
        if let Classification::Unsupported(reason) = classification {
            return Err(ClientError::Unsupported(reason));
        }
        self.needs_endpoint |= matches!(
            classification,
            Classification::Forward { .. } | Classification::SessionSetting { .. }
        );
        let name = parse.name.as_deref().unwrap_or_default();
        self.closed.retain(|closed| closed != name);
        let prepared = PreparedStatement {
            sql: parse.query.clone(),
            type_oids: parse.type_oids.clone(),
            classification,
        };
        statements.add(name, prepared)
    }

    fn record_bind(
        &mut self,
        bind: &Bind,
        statements: &PreparedStatements,
    ) -> Result<(), ClientError> {
        let prepared = statements.get(bind.statement_name.as_deref().unwrap_or_default())?;
        let portal = bind.portal_name.clone().unwrap_or_default();
        let statement = (prepared.classification.clone(), prepared.sql.clone());
        self.portals.insert(portal, statement);
        Ok(())
    }

    fn record_describe(
        &mut self,
        describe: &Describe,
        statements: &PreparedStatements,
    ) -> Result<(), ClientError> {
        if describe.target_type != TARGET_STATEMENT {
            return Ok(());
        }
        let prepared = statements.get(describe.name.as_deref().unwrap_or_default())?;
        if matches!(
            prepared.classification,
            Classification::Forward { .. } | Classification::SessionSetting { .. }
        ) {
            self.needs_endpoint = true;
        } else {
            self.executed
                .push((prepared.classification.clone(), prepared.sql.clone()));
        }
        Ok(())
    }

    /// Records a closed statement, which is still needed until the batch is encoded.
    fn record_close(&mut self, close: &Close) {
        if close.target_type == TARGET_STATEMENT {
            self.closed.push(close.name.clone().unwrap_or_default());
        }
    }

    fn record_execute(&mut self, execute: &Execute) {
        let portal = execute.name.as_deref().unwrap_or_default();
        if let Some(statement) = self.portals.get(portal) {
            self.executed.push(statement.clone());
        } else {
            // The endpoint reports the unknown portal to the client.
            self.needs_endpoint = true;
        }
    }
}

/// Determines how a batch is executed, from the statements that it executes.
fn purpose(
    executed: &[(Classification, String)],
    needs_endpoint: bool,
    messages: &[PgWireFrontendMessage],
) -> Result<Purpose, ClientError> {
    let mut out: Option<Purpose> = None;
    for (classification, sql) in executed {
        out = Some(match (out, classification) {
            (
                None,
                Classification::Forward {
                    kind,
                    dirty,
                    tx_control,
                },
            ) => Purpose::Forward {
                kind: *kind,
                dirty: *dirty,
                tx_control: *tx_control,
            },
            (None, Classification::SessionSetting { name }) => Purpose::SessionSetting {
                name: name.clone(),
                sql: sql.clone(),
            },
            (None, local) => Purpose::Local(local.clone()),
            (Some(Purpose::Local(a)), b) if a == *b && !needs_endpoint => Purpose::Local(a),
            (
                Some(Purpose::Forward {
                    kind,
                    dirty,
                    tx_control,
                }),
                Classification::Forward {
                    kind: k,
                    dirty: d,
                    tx_control: c,
                },
            ) => Purpose::Forward {
                kind: combined_kind(kind, *k),
                dirty: dirty | d,
                tx_control: tx_control | c,
            },
            _ => {
                return Err(ClientError::Unsupported(
                    "a setting must be a request of its own",
                ));
            }
        });
    }
    let closes_only = messages
        .iter()
        .all(|m| matches!(m, PgWireFrontendMessage::Close(_)));
    Ok(match out {
        Some(purpose) => purpose,
        None if closes_only && !needs_endpoint => Purpose::CloseOnly,
        None if needs_endpoint => Purpose::Forward {
            kind: Kind::Read,
            dirty: false,
            tx_control: false,
        },
        None => Purpose::Local(Classification::ShowToken),
    })
}

/// The kind of two statements that run as one request.
fn combined_kind(a: Kind, b: Kind) -> Kind {
    match (a, b) {
        (Kind::Read, Kind::Read) => Kind::Read,
        (Kind::Commit, _) | (_, Kind::Commit) => Kind::Commit,
        _ => Kind::Write,
    }
}
