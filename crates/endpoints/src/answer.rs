//! Collects the answer to a request, and runs the proxy's own statements on a connection.

use bytes::{Bytes, BytesMut};
use goldcrest_types::{Answer, Name, Outcome, TxState};
use goldcrest_wire::{Frame, split_frame, text_columns};
use pgwire::messages::PgWireBackendMessage;

use crate::{
    EndpointError,
    connect::{self, Connected},
    dialect::{self, ReportedState},
    grammar::{Grammar, TAG_COMPLETE, TAG_ERROR, TAG_PARAMETER, TAG_READY, TAG_ROW},
    marker::Marker,
};

/// The largest answer to one of the proxy's own statements, in bytes.
const INTERNAL_LIMIT: usize = 1 << 20;

/// A request that was sent with a marker, and its answer so far.
#[derive(Debug)]
pub(crate) struct Exchange {
    grammar: Grammar,
    buffer: AnswerBuffer,
    /// The complete answer. The marker's answer follows it.
    answer: Option<Answer>,
    marker: Marker,
}

/// An answer that is being received.
#[derive(Debug, Default)]
struct AnswerBuffer {
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
    /// The answer is complete, and it is the only one.
    Complete(Answer),
    /// The answer exceeded the size limit.
    Oversized,
}

impl Exchange {
    /// Sends a request with a marker behind it in one write. Nothing is sent when there is unread
    /// input.
    pub(crate) async fn start(
        connected: &mut Connected,
        request: &Bytes,
    ) -> Result<Self, EndpointError> {
        connected.check_quiet().await?;
        let marker = connected.markers.next_marker()?;
        let mut joined = BytesMut::with_capacity(request.len() + marker.request().len());
        joined.extend_from_slice(request);
        joined.extend_from_slice(marker.request());
        connected.stream.send(joined.freeze()).await?;
        Ok(Self {
            grammar: Grammar::new(request),
            buffer: AnswerBuffer::default(),
            answer: None,
            marker,
        })
    }

    /// Adds a frame. Status parameters of the group update `state` and are not part of the answer.
    pub(crate) fn add_frame(
        &mut self,
        frame: &Frame,
        state: &mut ReportedState,
        limit: usize,
    ) -> Result<Progress, EndpointError> {
        let applied = frame.tag() == TAG_PARAMETER && apply_parameter(frame, state)?;
        if let Some(answer) = self.answer.take() {
            if self.marker.add_frame(frame, answer.tx)? {
                return Ok(Progress::Complete(answer));
            }
            self.answer = Some(answer);
            return Ok(Progress::More);
        }
        if applied {
            return Ok(Progress::More);
        }
        self.grammar.accept(frame)?;
        if frame.tag() == TAG_READY {
            self.answer = Some(self.buffer.finish(frame, *state)?);
            return Ok(Progress::More);
        }
        self.buffer.add_frame(frame, limit)
    }

    /// Receives the answer. Returns `None` when it exceeds `limit` bytes.
    pub(crate) async fn finish(
        mut self,
        connected: &mut Connected,
        limit: usize,
    ) -> Result<Option<Answer>, EndpointError> {
        loop {
            let frame = connected.stream.next().await?;
            match self.add_frame(&frame, &mut connected.state, limit)? {
                Progress::More => {}
                Progress::Complete(answer) => return Ok(Some(answer)),
                Progress::Oversized => return Ok(None),
            }
        }
    }
}

impl AnswerBuffer {
    fn add_frame(&mut self, frame: &Frame, limit: usize) -> Result<Progress, EndpointError> {
        match frame.tag() {
            TAG_ERROR => self.record_error(frame)?,
            TAG_COMPLETE => self.completed = true,
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
    connected: &mut Connected,
    text: &str,
) -> Result<Rows, EndpointError> {
    let exchange = Exchange::start(connected, &connect::encode_query(text)?).await?;
    let Some(answer) = exchange.finish(connected, INTERNAL_LIMIT).await? else {
        return Err(EndpointError::Unexpected("an answer within the limit"));
    };
    read_rows(answer)
}

/// Runs one of the proxy's own statements, which must leave the transaction in the given state.
pub(crate) async fn run_expecting(
    connected: &mut Connected,
    text: &str,
    tx: TxState,
) -> Result<Rows, EndpointError> {
    let rows = run_internal(connected, text).await?;
    if rows.tx != tx {
        return Err(EndpointError::Unexpected("another transaction state"));
    }
    Ok(rows)
}

/// Decodes the rows of an answer, or its error.
fn read_rows(mut answer: Answer) -> Result<Rows, EndpointError> {
    let mut rows = Vec::new();
    while let Some(frame) = split_frame(&mut answer.body) {
        if !matches!(frame.tag(), TAG_ROW | TAG_ERROR) {
            continue;
        }
        match frame.decode_backend()? {
            PgWireBackendMessage::DataRow(row) => rows.push(text_columns(&row)),
            PgWireBackendMessage::ErrorResponse(e) => return Err(connect::endpoint_error(&e)),
            _ => {}
        }
    }
    Ok(Rows {
        rows,
        tx: answer.tx,
    })
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
