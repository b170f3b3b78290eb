//! The messages of the extended protocol between two syncs.

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

const TARGET_STATEMENT: u8 = b'S';

/// A prepared statement of a session. It lives here and on no connection.
#[derive(Debug, Clone)]
pub(crate) struct Prepared {
    pub sql: String,
    pub oids: Vec<u32>,
    pub parsed: Classification,
}

/// The prepared statements of a session, at most `limit` with a name.
#[derive(Debug)]
pub(crate) struct Statements {
    limit: usize,
    by_name: HashMap<String, Prepared>,
}

impl Statements {
    /// No statements.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            by_name: HashMap::new(),
        }
    }

    /// Finds a statement.
    pub(crate) fn get(&self, name: &str) -> Result<&Prepared, ClientError> {
        let found = self.by_name.get(name);
        found.ok_or_else(|| ClientError::NoStatement(name.to_owned()))
    }

    fn add(&mut self, name: &str, prepared: Prepared) -> Result<(), ClientError> {
        let full = self.by_name.len() >= self.limit;
        if full && !self.by_name.contains_key(name) {
            return Err(ClientError::TooManyPrepared(self.limit));
        }
        self.by_name.insert(name.to_owned(), prepared);
        Ok(())
    }

    /// Forgets closed statements.
    pub(crate) fn close(&mut self, names: &[String]) {
        for name in names {
            self.by_name.remove(name);
        }
    }
}

/// What a batch comes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Nothing for an endpoint.
    Nothing,
    /// Work for an endpoint.
    Work {
        kind: Kind,
        dirty: bool,
        control: bool,
    },
    /// A statement that the proxy answers.
    Own(Classification),
    /// A setting of the session on the endpoint's side.
    Keep { name: Name, sql: String },
}

/// A batch up to its sync.
#[derive(Debug)]
pub(crate) struct Finished {
    pub messages: Vec<PgWireFrontendMessage>,
    /// Statements to forget once the batch is encoded.
    pub closed: Vec<String>,
    pub purpose: Purpose,
}

/// The messages since the last sync.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    messages: Vec<PgWireFrontendMessage>,
    used: Vec<(Classification, String)>,
    portals: HashMap<String, (Classification, String)>,
    closed: Vec<String>,
    described: bool,
    error: Option<ClientError>,
    bytes: usize,
}

impl Batch {
    /// Takes in a message. After an error the rest up to the sync is passed over.
    pub(crate) fn push(
        &mut self,
        message: PgWireFrontendMessage,
        size: usize,
        limit: usize,
        statements: &mut Statements,
    ) {
        if self.error.is_some() {
            return;
        }
        self.bytes += size;
        let taken = if self.bytes > limit {
            Err(ClientError::Unsupported(
                "the messages up to a sync are over the size limit",
            ))
        } else {
            self.take(&message, statements)
        };
        match taken {
            Ok(()) => self.messages.push(message),
            Err(error) => self.error = Some(error),
        }
    }

    /// Ends the batch.
    pub(crate) fn finish(&mut self) -> Result<Finished, ClientError> {
        let done = std::mem::take(self);
        // Portals live until the transaction ends; their statements are needed to route executions.
        self.portals = done.portals;
        if let Some(error) = done.error {
            return Err(error);
        }
        let purpose = purpose(&done.used, done.described, &done.messages)?;
        Ok(Finished {
            messages: done.messages,
            closed: done.closed,
            purpose,
        })
    }

    /// Forgets the portals at the end of a transaction.
    pub(crate) fn forget_portals(&mut self) {
        self.portals.clear();
    }

    fn take(
        &mut self,
        message: &PgWireFrontendMessage,
        statements: &mut Statements,
    ) -> Result<(), ClientError> {
        match message {
            PgWireFrontendMessage::Parse(parse) => self.take_parse(parse, statements),
            PgWireFrontendMessage::Bind(bind) => self.take_bind(bind, statements),
            PgWireFrontendMessage::Describe(describe) => self.take_describe(describe, statements),
            PgWireFrontendMessage::Execute(execute) => {
                self.take_execute(execute);
                Ok(())
            }
            PgWireFrontendMessage::Close(close) => {
                self.take_close(close);
                Ok(())
            }
            PgWireFrontendMessage::Flush(_) => Err(ClientError::Unsupported(
                "flush without sync is not supported",
            )),
            _ => Err(ClientError::Protocol("a message of the extended protocol")),
        }
    }

    fn take_parse(
        &mut self,
        parse: &Parse,
        statements: &mut Statements,
    ) -> Result<(), ClientError> {
        let parsed = classify(&parse.query);
        if let Classification::Unsupported(why) = parsed {
            return Err(ClientError::Unsupported(why));
        }
        self.described |= matches!(
            parsed,
            Classification::Work { .. } | Classification::Keep { .. }
        );
        let name = parse.name.as_deref().unwrap_or_default();
        self.closed.retain(|closed| closed != name);
        let prepared = Prepared {
            sql: parse.query.clone(),
            oids: parse.type_oids.clone(),
            parsed,
        };
        statements.add(name, prepared)
    }

    fn take_bind(&mut self, bind: &Bind, statements: &Statements) -> Result<(), ClientError> {
        let prepared = statements.get(bind.statement_name.as_deref().unwrap_or_default())?;
        let portal = bind.portal_name.clone().unwrap_or_default();
        let used = (prepared.parsed.clone(), prepared.sql.clone());
        self.portals.insert(portal, used);
        Ok(())
    }

    fn take_describe(
        &mut self,
        describe: &Describe,
        statements: &Statements,
    ) -> Result<(), ClientError> {
        if describe.target_type != TARGET_STATEMENT {
            return Ok(());
        }
        let prepared = statements.get(describe.name.as_deref().unwrap_or_default())?;
        if matches!(
            prepared.parsed,
            Classification::Work { .. } | Classification::Keep { .. }
        ) {
            self.described = true;
        } else {
            self.used
                .push((prepared.parsed.clone(), prepared.sql.clone()));
        }
        Ok(())
    }

    /// Notes a closed statement. It is needed until the batch is encoded.
    fn take_close(&mut self, close: &Close) {
        if close.target_type == TARGET_STATEMENT {
            self.closed.push(close.name.clone().unwrap_or_default());
        }
    }

    fn take_execute(&mut self, execute: &Execute) {
        let portal = execute.name.as_deref().unwrap_or_default();
        if let Some(used) = self.portals.get(portal) {
            self.used.push(used.clone());
        } else {
            // An unknown portal: the endpoint says so.
            self.described = true;
        }
    }
}

fn purpose(
    used: &[(Classification, String)],
    described: bool,
    messages: &[PgWireFrontendMessage],
) -> Result<Purpose, ClientError> {
    let mut out: Option<Purpose> = None;
    for (parsed, sql) in used {
        out = Some(match (out, parsed) {
            (
                None,
                Classification::Work {
                    kind,
                    dirty,
                    control,
                },
            ) => Purpose::Work {
                kind: *kind,
                dirty: *dirty,
                control: *control,
            },
            (None, Classification::Keep { name }) => Purpose::Keep {
                name: name.clone(),
                sql: sql.clone(),
            },
            (None, own) => Purpose::Own(own.clone()),
            (Some(Purpose::Own(a)), b) if a == *b && !described => Purpose::Own(a),
            (
                Some(Purpose::Work {
                    kind,
                    dirty,
                    control,
                }),
                Classification::Work {
                    kind: k,
                    dirty: d,
                    control: c,
                },
            ) => Purpose::Work {
                kind: joined(kind, *k),
                dirty: dirty | d,
                control: control | c,
            },
            _ => {
                return Err(ClientError::Unsupported(
                    "a setting must be a request of its own",
                ));
            }
        });
    }
    let only_close = messages
        .iter()
        .all(|m| matches!(m, PgWireFrontendMessage::Close(_)));
    Ok(match out {
        Some(purpose) => purpose,
        None if only_close && !described => Purpose::Nothing,
        None if described => Purpose::Work {
            kind: Kind::Read,
            dirty: false,
            control: false,
        },
        None => Purpose::Own(Classification::ShowToken),
    })
}

/// The kind of two statements together.
fn joined(a: Kind, b: Kind) -> Kind {
    match (a, b) {
        (Kind::Read, Kind::Read) => Kind::Read,
        (Kind::Commit, _) | (_, Kind::Commit) => Kind::Commit,
        _ => Kind::Write,
    }
}
