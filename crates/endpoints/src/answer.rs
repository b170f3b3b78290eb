//! Collects the answer to a request, and runs the proxy's own statements on a connection.

use bytes::{Bytes, BytesMut};
use goldcrest_types::{Answer, Name, Outcome, TxState};
use goldcrest_wire::{Frame, PgStream, text_columns};
use pgwire::messages::PgWireBackendMessage;

use crate::{
    EndpointError, connect,
    dialect::{self, ReportedState},
};

const TAG_PARAMETER: u8 = b'S';
const TAG_READY: u8 = b'Z';
const TAG_ERROR: u8 = b'E';
const TAG_COMPLETE: u8 = b'C';
const TAG_COPY_IN: u8 = b'G';

/// An answer that is being received.
#[derive(Debug, Default)]
pub(crate) struct AnswerBuffer {
    body: BytesMut,
    /// The SQLSTATE of the first error.
    code: Option<String>,
    /// Whether any statement completed.
    completed: bool,
}

/// The state of an answer after a frame was added.
#[derive(Debug)]
pub(crate) enum Progress {
    /// More frames follow.
    More,
    /// The answer is complete.
    Complete(Answer),
    /// The answer exceeded the size limit.
    Oversized,
}

impl AnswerBuffer {
    /// Adds a frame. Status parameters of the group update `state` and are not part of the answer.
    pub(crate) fn add_frame(
        &mut self,
        frame: &Frame,
        state: &mut ReportedState,
        limit: usize,
    ) -> Result<Progress, EndpointError> {
        match frame.tag() {
            TAG_READY => return self.finish(frame, *state).map(Progress::Complete),
            TAG_PARAMETER if apply_parameter(frame, state)? => return Ok(Progress::More),
            TAG_ERROR => self.record_error(frame)?,
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

    fn record_error(&mut self, frame: &Frame) -> Result<(), EndpointError> {
        if self.code.is_some() {
            return Ok(());
        }
        if let PgWireBackendMessage::ErrorResponse(e) = frame.decode_backend()? {
            self.code = Some(dialect::code_and_text(&e).0);
        }
        Ok(())
    }

    fn finish(&mut self, frame: &Frame, state: ReportedState) -> Result<Answer, EndpointError> {
        let PgWireBackendMessage::ReadyForQuery(ready) = frame.decode_backend()? else {
            return Err(EndpointError::Unexpected("a ready message"));
        };
        self.body.extend_from_slice(frame.bytes());
        Ok(Answer {
            outcome: self.outcome(),
            body: std::mem::take(&mut self.body).freeze(),
            mark: state.mark,
            role: state.role,
            tx: dialect::tx_state(ready.status),
        })
    }

    /// Determines the outcome. A statement that completed before an error may have been committed,
    /// and the request then counts as run.
    fn outcome(&self) -> Outcome {
        match &self.code {
            None => Outcome::Done,
            Some(code) if dialect::is_declined(code) && !self.completed => Outcome::Declined,
            Some(code) => Outcome::Failed {
                code: Name::from(code.as_str()),
            },
        }
    }
}

/// Updates `state` from a status parameter of the group. Returns false for any other parameter.
fn apply_parameter(frame: &Frame, state: &mut ReportedState) -> Result<bool, EndpointError> {
    let PgWireBackendMessage::ParameterStatus(p) = frame.decode_backend()? else {
        return Ok(false);
    };
    Ok(dialect::apply_parameter(state, &p.name, &p.value))
}

/// The rows of one of the proxy's own statements, and the transaction status after it.
#[derive(Debug)]
pub(crate) struct Rows {
    pub rows: Vec<Vec<Option<String>>>,
    pub tx: TxState,
}

/// Runs one of the proxy's own statements.
pub(crate) async fn run_internal(
    stream: &mut PgStream,
    state: &mut ReportedState,
    text: &str,
) -> Result<Rows, EndpointError> {
    stream.send(connect::encode_query(text)?).await?;
    read_rows(stream, state).await
}

/// Reads the rows of a statement up to its `ReadyForQuery`.
pub(crate) async fn read_rows(
    stream: &mut PgStream,
    state: &mut ReportedState,
) -> Result<Rows, EndpointError> {
    let mut rows = Vec::new();
    let mut error = None;
    loop {
        match stream.next().await?.decode_backend()? {
            PgWireBackendMessage::DataRow(row) => rows.push(text_columns(&row)),
            PgWireBackendMessage::ErrorResponse(e) => error = Some(connect::endpoint_error(&e)),
            PgWireBackendMessage::ParameterStatus(p) => {
                dialect::apply_parameter(state, &p.name, &p.value);
            }
            PgWireBackendMessage::ReadyForQuery(ready) => {
                let tx = dialect::tx_state(ready.status);
                return error.map_or(Ok(Rows { rows, tx }), Err);
            }
            _ => {}
        }
    }
}

/// Builds an answer that the proxy gives in place of the endpoint.
pub(crate) fn proxy_answer(body: Bytes, state: ReportedState) -> Answer {
    Answer {
        outcome: Outcome::Done,
        body,
        mark: state.mark,
        role: state.role,
        tx: TxState::Idle,
    }
}
