//! The messages that the answer to a request may hold, and their order.

use std::collections::VecDeque;

use bytes::Bytes;
use goldcrest_wire::{Frame, split_frame};

use crate::EndpointError;

const TAG_QUERY: u8 = b'Q';
const TAG_PARSE: u8 = b'P';
const TAG_BIND: u8 = b'B';
const TAG_DESCRIBE: u8 = b'D';
const TAG_EXECUTE: u8 = b'E';
const TAG_CLOSE: u8 = b'C';
/// The target type of a `Describe` that names a statement, not a portal.
const TARGET_STATEMENT: u8 = b'S';

pub(crate) const TAG_PARAMETER: u8 = b'S';
pub(crate) const TAG_READY: u8 = b'Z';
pub(crate) const TAG_ERROR: u8 = b'E';
pub(crate) const TAG_COMPLETE: u8 = b'C';
pub(crate) const TAG_COLUMNS: u8 = b'T';
pub(crate) const TAG_ROW: u8 = b'D';
pub(crate) const TAG_NOTICE: u8 = b'N';
const TAG_NOTIFICATION: u8 = b'A';
const TAG_EMPTY: u8 = b'I';
const TAG_SUSPENDED: u8 = b's';
const TAG_NO_DATA: u8 = b'n';
const TAG_PARAMETERS: u8 = b't';
const TAG_PARSED: u8 = b'1';
const TAG_BOUND: u8 = b'2';
const TAG_CLOSED: u8 = b'3';
/// `CopyInResponse`, `CopyOutResponse` and `CopyBothResponse`.
const TAGS_COPY: &[u8] = b"GHW";

/// What the answer to one message of the extended protocol consists of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    /// One message with this tag.
    One(u8),
    /// A `RowDescription` or `NoData`.
    Columns,
    /// Rows, and how their statement ended.
    Rows,
}

#[derive(Debug)]
enum Request {
    /// A simple query.
    Query {
        /// The largest number of statements that it may hold.
        statements: usize,
        /// The number of statements that were completed.
        completed: usize,
    },
    /// A batch of the extended protocol, with what is still to come of its answer.
    Batch(VecDeque<Part>),
}

/// Checks the messages of one answer up to its `ReadyForQuery`.
#[derive(Debug)]
pub(crate) struct Grammar {
    request: Request,
    /// The number of rows of the result that is being received, if its columns are known.
    rows: Option<u64>,
    failed: bool,
}

impl Grammar {
    /// The grammar of the answer to a request, which is a simple query or a batch with its `Sync`.
    pub(crate) fn new(request: &Bytes) -> Self {
        let mut rest = request.clone();
        let mut parts = VecDeque::new();
        let mut query = None;
        while let Some(frame) = split_frame(&mut rest) {
            match frame.tag() {
                TAG_QUERY => query = Some(count_statements(frame.payload())),
                TAG_PARSE => parts.push_back(Part::One(TAG_PARSED)),
                TAG_BIND => parts.push_back(Part::One(TAG_BOUND)),
                TAG_DESCRIBE => {
                    if frame.payload().first() == Some(&TARGET_STATEMENT) {
                        parts.push_back(Part::One(TAG_PARAMETERS));
                    }
                    parts.push_back(Part::Columns);
                }
                TAG_EXECUTE => parts.push_back(Part::Rows),
                TAG_CLOSE => parts.push_back(Part::One(TAG_CLOSED)),
                _ => {}
            }
        }
        let request = match query {
            Some(statements) => Request::Query {
                statements,
                completed: 0,
            },
            None => Request::Batch(parts),
        };
        Self {
            request,
            rows: None,
            failed: false,
        }
    }

    /// Checks the next message.
    pub(crate) fn accept(&mut self, frame: &Frame) -> Result<(), EndpointError> {
        let accepted = match frame.tag() {
            TAG_NOTICE | TAG_PARAMETER | TAG_NOTIFICATION => true,
            tag if TAGS_COPY.contains(&tag) => {
                return Err(EndpointError::Unexpected("copy is not supported"));
            }
            _ if self.failed => frame.tag() == TAG_READY,
            TAG_ERROR => {
                self.failed = true;
                true
            }
            _ => match &mut self.request {
                Request::Query {
                    statements,
                    completed,
                } => accept_in_query(frame, *statements, completed, &mut self.rows),
                Request::Batch(parts) => accept_in_batch(frame, parts, &mut self.rows),
            },
        };
        if !accepted {
            return Err(EndpointError::Desynchronized(
                "a message that does not follow the ones before it",
            ));
        }
        Ok(())
    }
}

fn accept_in_query(
    frame: &Frame,
    statements: usize,
    completed: &mut usize,
    rows: &mut Option<u64>,
) -> bool {
    match frame.tag() {
        TAG_COLUMNS => rows.replace(0).is_none() && *completed < statements,
        TAG_ROW => count_row(rows),
        TAG_COMPLETE => {
            *completed += 1;
            *completed <= statements && has_row_count(frame, rows.take())
        }
        TAG_EMPTY => {
            *completed += 1;
            *completed == 1 && rows.is_none()
        }
        TAG_READY => *completed > 0 && rows.is_none(),
        _ => false,
    }
}

fn accept_in_batch(frame: &Frame, parts: &mut VecDeque<Part>, rows: &mut Option<u64>) -> bool {
    match (parts.front(), frame.tag()) {
        (Some(Part::Rows), TAG_ROW) => {
            rows.get_or_insert(0);
            return count_row(rows);
        }
        (Some(Part::Rows), TAG_COMPLETE) if !has_row_count(frame, rows.take()) => return false,
        (Some(Part::Rows), TAG_SUSPENDED) => *rows = None,
        (Some(Part::Rows), TAG_EMPTY) if rows.is_some() => return false,
        (Some(Part::Rows), TAG_COMPLETE | TAG_EMPTY)
        | (Some(Part::Columns), TAG_COLUMNS | TAG_NO_DATA) => {}
        (Some(Part::One(wanted)), tag) if *wanted == tag => {}
        (None, TAG_READY) => return true,
        _ => return false,
    }
    parts.pop_front();
    true
}

fn count_row(rows: &mut Option<u64>) -> bool {
    let Some(count) = rows else {
        return false;
    };
    *count += 1;
    true
}

/// Whether the tag of a `SELECT` names the number of rows that came before it.
fn has_row_count(complete: &Frame, rows: Option<u64>) -> bool {
    let tag = complete.payload().strip_suffix(&[0]);
    let count = tag.and_then(|t| t.strip_prefix(b"SELECT "));
    let (Some(rows), Some(count)) = (rows, count) else {
        return true;
    };
    str::from_utf8(count).is_ok_and(|c| c.parse() == Ok(rows))
}

/// An upper bound of the number of statements in the text of a simple query.
fn count_statements(payload: &[u8]) -> usize {
    let ends = |byte: &u8| byte.is_ascii_whitespace() || matches!(byte, b';' | 0);
    let trailing = payload.iter().rev().take_while(|b| ends(b)).count();
    let text = &payload[..payload.len() - trailing];
    text.split(|b| *b == b';').count()
}
