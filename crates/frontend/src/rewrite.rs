//! Turns a batch of named prepared statements into one that needs nothing on the connection.
//!
//! Each statement is parsed again, unnamed, right before its use. The endpoint's answers to the
//! added messages are taken out again.

use bytes::{Bytes, BytesMut};
use goldcrest_wire::encode_frontend;
use pgwire::messages::{
    PgWireFrontendMessage,
    extendedquery::{Close, Parse, Sync},
};
use smallvec::SmallVec;

use crate::{ClientError, batch::Statements};

const TARGET_STATEMENT: u8 = b'S';
const TAG_PARSE_COMPLETE: u8 = b'1';

/// An encoded batch.
#[derive(Debug)]
pub(crate) struct Rewritten {
    pub body: Bytes,
    /// For each parse in order, whether it was added.
    pub added: SmallVec<[bool; 4]>,
}

/// Encodes a batch with its sync.
pub(crate) fn rewrite(
    messages: Vec<PgWireFrontendMessage>,
    statements: &Statements,
) -> Result<Rewritten, ClientError> {
    let mut out = Vec::with_capacity(messages.len() + 2);
    let mut added = SmallVec::new();
    let mut slot: Option<String> = None;
    for message in messages {
        match message {
            PgWireFrontendMessage::Parse(mut parse) => {
                slot = Some(parse.name.take().unwrap_or_default());
                added.push(false);
                out.push(PgWireFrontendMessage::Parse(parse));
            }
            PgWireFrontendMessage::Bind(mut bind) => {
                let name = bind.statement_name.take().unwrap_or_default();
                need(&name, &mut slot, statements, &mut out, &mut added)?;
                out.push(PgWireFrontendMessage::Bind(bind));
            }
            PgWireFrontendMessage::Describe(mut describe)
                if describe.target_type == TARGET_STATEMENT =>
            {
                let name = describe.name.take().unwrap_or_default();
                need(&name, &mut slot, statements, &mut out, &mut added)?;
                out.push(PgWireFrontendMessage::Describe(describe));
            }
            PgWireFrontendMessage::Close(close) if close.target_type == TARGET_STATEMENT => {
                slot = None;
                let unnamed = Close::new(TARGET_STATEMENT, None);
                out.push(PgWireFrontendMessage::Close(unnamed));
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

/// Parses a statement unnamed, unless it was the last one parsed.
fn need(
    name: &str,
    slot: &mut Option<String>,
    statements: &Statements,
    out: &mut Vec<PgWireFrontendMessage>,
    added: &mut SmallVec<[bool; 4]>,
) -> Result<(), ClientError> {
    if slot.as_deref() == Some(name) {
        return Ok(());
    }
    let prepared = statements.get(name)?;
    let parse = Parse::new(None, prepared.sql.clone(), prepared.oids.clone());
    out.push(PgWireFrontendMessage::Parse(parse));
    added.push(true);
    *slot = Some(name.to_owned());
    Ok(())
}

/// Takes the answers to added parses out of an answer.
pub(crate) fn restore(body: Bytes, added: &[bool]) -> Bytes {
    if !added.contains(&true) {
        return body;
    }
    let mut out = BytesMut::with_capacity(body.len());
    let mut flags = added.iter();
    let mut rest = body;
    while rest.len() >= 5 {
        let mut field = [0; 4];
        field.copy_from_slice(&rest[1..5]);
        let size = (u32::from_be_bytes(field) as usize + 1).min(rest.len());
        let frame = rest.split_to(size);
        let drop = frame[0] == TAG_PARSE_COMPLETE && flags.next() == Some(&true);
        if !drop {
            out.extend_from_slice(&frame);
        }
    }
    out.freeze()
}
