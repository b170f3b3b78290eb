//! Rewrites a batch so that it depends on no prepared statement of its connection.
//!
//! Each prepared statement is parsed again, as the unnamed statement, right before its use. The
//! endpoint's answers to the added messages are removed before the client gets them.

use bytes::{Bytes, BytesMut};
use goldcrest_wire::{encode_frontend, split_frame};
use pgwire::messages::{
    PgWireFrontendMessage,
    extendedquery::{Close, Parse, Sync},
};
use smallvec::SmallVec;

use crate::{ClientError, batch::PreparedStatements};

/// The target type of `Describe` and `Close` messages that name a statement, not a portal.
const TARGET_STATEMENT: u8 = b'S';
const TAG_PARSE_COMPLETE: u8 = b'1';

/// A rewritten and encoded batch.
#[derive(Debug)]
pub(crate) struct Rewritten {
    /// The encoded messages.
    pub body: Bytes,
    /// For each `Parse` in order, whether it was added here.
    pub added: SmallVec<[bool; 4]>,
}

/// Rewrites a batch and encodes it with a `Sync`.
pub(crate) fn rewrite(
    messages: Vec<PgWireFrontendMessage>,
    statements: &PreparedStatements,
) -> Result<Rewritten, ClientError> {
    let mut out = Vec::with_capacity(messages.len() + 2);
    let mut added = SmallVec::new();
    // The client's name of the statement that the unnamed statement currently holds.
    let mut unnamed_holds: Option<String> = None;
    for message in messages {
        match message {
            PgWireFrontendMessage::Parse(mut parse) => {
                unnamed_holds = Some(parse.name.take().unwrap_or_default());
                added.push(false);
                out.push(PgWireFrontendMessage::Parse(parse));
            }
            PgWireFrontendMessage::Bind(mut bind) => {
                let name = bind.statement_name.take().unwrap_or_default();
                ensure_parsed(&name, &mut unnamed_holds, statements, &mut out, &mut added)?;
                out.push(PgWireFrontendMessage::Bind(bind));
            }
            PgWireFrontendMessage::Describe(mut describe)
                if describe.target_type == TARGET_STATEMENT =>
            {
                let name = describe.name.take().unwrap_or_default();
                ensure_parsed(&name, &mut unnamed_holds, statements, &mut out, &mut added)?;
                out.push(PgWireFrontendMessage::Describe(describe));
            }
            PgWireFrontendMessage::Close(close) if close.target_type == TARGET_STATEMENT => {
                unnamed_holds = None;
                let close_unnamed = Close::new(TARGET_STATEMENT, None);
                out.push(PgWireFrontendMessage::Close(close_unnamed));
            }
            other => out.push(other),
        }
    }
    out.push(PgWireFrontendMessage::Sync(Sync::new()));
    Ok(Rewritten {
        body: encode_frontend(out)?,
        added,
    })
}

/// Adds a `Parse` of a statement, unless the unnamed statement already holds it.
fn ensure_parsed(
    name: &str,
    unnamed_holds: &mut Option<String>,
    statements: &PreparedStatements,
    out: &mut Vec<PgWireFrontendMessage>,
    added: &mut SmallVec<[bool; 4]>,
) -> Result<(), ClientError> {
    if unnamed_holds.as_deref() == Some(name) {
        return Ok(());
    }
    let prepared = statements.get(name)?;
    let parse = Parse::new(None, prepared.sql.clone(), prepared.type_oids.clone());
    out.push(PgWireFrontendMessage::Parse(parse));
    added.push(true);
    *unnamed_holds = Some(name.to_owned());
    Ok(())
}

/// Removes the answers to added `Parse` messages from an answer.
pub(crate) fn strip_added(body: Bytes, added: &[bool]) -> Bytes {
    if !added.contains(&true) {
        return body;
    }
    let mut out = BytesMut::with_capacity(body.len());
    let mut flags = added.iter();
    let mut rest = body;
    while let Some(frame) = split_frame(&mut rest) {
        let drop = frame.tag() == TAG_PARSE_COMPLETE && flags.next() == Some(&true);
        if !drop {
            out.extend_from_slice(frame.bytes());
        }
    }
    out.freeze()
}
