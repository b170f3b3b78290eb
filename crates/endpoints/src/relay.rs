//! Sends one request on a connection and collects its whole answer.

use bytes::{Bytes, BytesMut};
use goldcrest_types::{Answer, Name, Outcome, TxState};
use goldcrest_wire::{Frame, PgStream, text_columns};
use pgwire::messages::PgWireBackendMessage;

use crate::{
    EndpointError,
    adapter::{self, Told},
    connect,
};

const TAG_PARAMETER: u8 = b'S';
const TAG_READY: u8 = b'Z';
const TAG_ERROR: u8 = b'E';
const TAG_COMPLETE: u8 = b'C';
const TAG_COPY_IN: u8 = b'G';

/// An answer while it comes in.
#[derive(Debug, Default)]
pub(crate) struct Collected {
    body: BytesMut,
    code: Option<String>,
    completed: bool,
}

/// What a frame did to an answer.
#[derive(Debug)]
pub(crate) enum Progress {
    /// More frames follow.
    More,
    /// The answer is whole.
    Whole(Answer),
    /// The answer outgrew the limit.
    Oversized,
}

impl Collected {
    /// Takes in a frame.
    pub(crate) fn take(
        &mut self,
        frame: &Frame,
        told: &mut Told,
        limit: usize,
    ) -> Result<Progress, EndpointError> {
        match frame.tag() {
            TAG_READY => return self.finish(frame, *told).map(Progress::Whole),
            TAG_PARAMETER if note(frame, told)? => return Ok(Progress::More),
            TAG_ERROR => self.note_error(frame)?,
            TAG_COMPLETE => self.completed = true,
            TAG_COPY_IN => return Err(EndpointError::Unexpected("copy is not supported")),
            _ => {}
        }
        if self.body.len() + frame.bytes().len() > limit {
            return Ok(Progress::Oversized);
        }
        self.body.extend_from_slice(frame.bytes());
        Ok(Progress::More)
    }

    fn note_error(&mut self, frame: &Frame) -> Result<(), EndpointError> {
        if self.code.is_some() {
            return Ok(());
        }
        if let PgWireBackendMessage::ErrorResponse(e) = frame.decode_backend()? {
            self.code = Some(adapter::code_and_text(&e).0);
        }
        Ok(())
    }

    fn finish(&mut self, frame: &Frame, told: Told) -> Result<Answer, EndpointError> {
        let PgWireBackendMessage::ReadyForQuery(ready) = frame.decode_backend()? else {
            return Err(EndpointError::Unexpected("a ready message"));
        };
        self.body.extend_from_slice(frame.bytes());
        Ok(Answer {
            outcome: self.outcome(),
            body: std::mem::take(&mut self.body).freeze(),
            mark: told.mark,
            role: told.role,
            tx: adapter::tx_state(ready.status),
        })
    }

    /// A statement that completed before the error may have been committed.
    fn outcome(&self) -> Outcome {
        match &self.code {
            None => Outcome::Done,
            Some(code) if adapter::is_declined(code) && !self.completed => Outcome::Declined,
            Some(code) => Outcome::Failed {
                code: Name::from(code.as_str()),
            },
        }
    }
}

/// Takes in a parameter of the group. Returns false for any other parameter.
fn note(frame: &Frame, told: &mut Told) -> Result<bool, EndpointError> {
    let PgWireBackendMessage::ParameterStatus(p) = frame.decode_backend()? else {
        return Ok(false);
    };
    Ok(adapter::note(told, &p.name, &p.value))
}

/// The rows and the end of a statement that the proxy runs for itself.
#[derive(Debug)]
pub(crate) struct Rows {
    pub rows: Vec<Vec<Option<String>>>,
    pub tx: TxState,
}

/// Runs a statement of the proxy's own.
pub(crate) async fn run_own(
    wire: &mut PgStream,
    told: &mut Told,
    text: &str,
) -> Result<Rows, EndpointError> {
    wire.send(connect::query(text)?).await?;
    rows(wire, told).await
}

/// Reads the rows of a statement up to its end.
pub(crate) async fn rows(wire: &mut PgStream, told: &mut Told) -> Result<Rows, EndpointError> {
    let mut rows = Vec::new();
    let mut error = None;
    loop {
        match wire.next().await?.decode_backend()? {
            PgWireBackendMessage::DataRow(row) => rows.push(text_columns(&row)),
            PgWireBackendMessage::ErrorResponse(e) => error = Some(connect::refused(&e)),
            PgWireBackendMessage::ParameterStatus(p) => {
                adapter::note(told, &p.name, &p.value);
            }
            PgWireBackendMessage::ReadyForQuery(ready) => {
                let tx = adapter::tx_state(ready.status);
                return error.map_or(Ok(Rows { rows, tx }), Err);
            }
            _ => {}
        }
    }
}

/// An answer of the proxy's own in place of an endpoint's.
pub(crate) fn own_answer(body: Bytes, told: Told) -> Answer {
    Answer {
        outcome: Outcome::Done,
        body,
        mark: told.mark,
        role: told.role,
        tx: TxState::Idle,
    }
}
