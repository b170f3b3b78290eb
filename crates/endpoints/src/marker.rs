//! Markers: descriptions that follow requests in the same write.
//!
//! The answer to a marker names it, and so shows that exactly one answer came before it.

use std::hash::{BuildHasher, RandomState};

use bytes::Bytes;
use goldcrest_types::TxState;
use goldcrest_wire::{Frame, encode_frontend};
use pgwire::messages::{
    PgWireBackendMessage, PgWireFrontendMessage,
    extendedquery::{Describe, Parse, Sync},
};

use crate::{
    EndpointError, dialect,
    grammar::{Grammar, TAG_COLUMNS, TAG_ERROR, TAG_READY},
};

/// The target type of a `Describe` that names a statement, not a portal.
const TARGET_STATEMENT: u8 = b'S';

/// SQLSTATE `in_failed_sql_transaction`.
const FAILED_TRANSACTION: &str = "25P02";

/// The source of a connection's markers.
#[derive(Debug)]
pub(crate) struct Markers {
    /// A random number, so that no statement of a client can look like a marker.
    key: u64,
    count: u64,
}

/// A marker that was sent, and its answer so far.
#[derive(Debug)]
pub(crate) struct Marker {
    column: String,
    request: Bytes,
    grammar: Grammar,
    recognized: bool,
}

impl Markers {
    pub(crate) fn new() -> Self {
        Self {
            key: RandomState::new().hash_one(0),
            count: 0,
        }
    }

    /// Creates the next marker.
    pub(crate) fn next_marker(&mut self) -> Result<Marker, EndpointError> {
        self.count += 1;
        let column = format!("goldcrest {:016x} {}", self.key, self.count);
        let statement = format!("SELECT NULL AS \"{column}\"");
        let request = encode_frontend([
            PgWireFrontendMessage::Parse(Parse::new(None, statement, Vec::new())),
            PgWireFrontendMessage::Describe(Describe::new(TARGET_STATEMENT, None)),
            PgWireFrontendMessage::Sync(Sync::new()),
        ])?;
        Ok(Marker {
            column,
            grammar: Grammar::new(&request),
            request,
            recognized: false,
        })
    }
}

impl Marker {
    /// The encoded messages.
    pub(crate) fn request(&self) -> &Bytes {
        &self.request
    }

    /// Adds a frame of the marker's answer, which came in this state of the transaction. Returns
    /// true when the answer is complete.
    pub(crate) fn add_frame(&mut self, frame: &Frame, tx: TxState) -> Result<bool, EndpointError> {
        self.grammar.accept(frame)?;
        match frame.tag() {
            TAG_COLUMNS | TAG_ERROR => self.recognized = self.is_own(frame, tx)?,
            TAG_READY => return self.finish(frame, tx),
            _ => {}
        }
        Ok(false)
    }

    fn is_own(&self, frame: &Frame, tx: TxState) -> Result<bool, EndpointError> {
        Ok(match frame.decode_backend()? {
            PgWireBackendMessage::RowDescription(columns) => {
                columns.fields.len() == 1 && columns.fields[0].name == self.column
            }
            // A failed transaction runs nothing, and all of its answers are this error.
            PgWireBackendMessage::ErrorResponse(e) => {
                tx == TxState::Failed && dialect::code_and_text(&e).0 == FAILED_TRANSACTION
            }
            _ => false,
        })
    }

    fn finish(&self, frame: &Frame, tx: TxState) -> Result<bool, EndpointError> {
        let PgWireBackendMessage::ReadyForQuery(ready) = frame.decode_backend()? else {
            return Err(EndpointError::Unexpected("a ready message"));
        };
        if !self.recognized || dialect::tx_state(ready.status) != tx {
            return Err(EndpointError::Desynchronized("an answer too many"));
        }
        Ok(true)
    }
}
