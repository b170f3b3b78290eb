//! The task that runs term checks, seals and promotions on an endpoint.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use compio::time::timeout;
use flume::{Receiver, Sender};
use futures_util::{FutureExt, pin_mut, select_biased};
use goldcrest_types::{EndpointCommand, EndpointIx, EndpointNotice};
use goldcrest_wire::text_columns;
use pgwire::messages::PgWireBackendMessage;
use spdlog::{debug, warn};

use crate::{
    EndpointError, EndpointTarget,
    connect::{self, Connected},
    dialect,
};

/// How long an endpoint may take to answer a query on this connection.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// The largest message on this connection, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 10;

/// A command that was sent to the endpoint and is not yet answered.
struct PendingQuery {
    command: EndpointCommand,
    /// A number that the answer repeats, unique on its connection.
    nonce: u64,
    sent_at: Instant,
    /// The row of the answer, once it has arrived.
    row: Option<Vec<Option<String>>>,
}

/// Runs until the sender of `commands` is dropped.
pub(crate) async fn run(
    target: EndpointTarget,
    commands: Receiver<EndpointCommand>,
    notices: Sender<(EndpointIx, EndpointNotice)>,
) {
    let mut unsent = None;
    while let Some(command) = next_command(&mut unsent, &commands).await {
        let mut pending = VecDeque::new();
        let inputs = (&commands, &mut unsent);
        let Err(error) = serve(&target, command, inputs, &notices, &mut pending).await else {
            continue;
        };
        debug!("the check connection to {} failed: {}", target.name, error);
        if matches!(error, EndpointError::Desynchronized(_)) {
            report_desynchronized(&target, &error, &pending, &notices);
        }
        if pending.is_empty() {
            continue;
        }
        // Commands that arrived meanwhile fail as well: they are as old as the failed ones, and the
        // group repeats its checks.
        let pending = pending.into_iter().map(|p| p.command);
        for command in pending.chain(commands.drain()) {
            report_unanswered(target.ix, &command, &notices);
        }
    }
}

/// Returns the command that could not be sent, or else waits for the next one.
async fn next_command(
    unsent: &mut Option<EndpointCommand>,
    commands: &Receiver<EndpointCommand>,
) -> Option<EndpointCommand> {
    match unsent.take() {
        Some(command) => Some(command),
        None => commands.recv_async().await.ok(),
    }
}

/// Carries out commands on one connection until it fails or their sender is dropped. A command that
/// finds the connection unusable is left in `unsent`.
async fn serve(
    target: &EndpointTarget,
    first: EndpointCommand,
    (commands, unsent): (&Receiver<EndpointCommand>, &mut Option<EndpointCommand>),
    notices: &Sender<(EndpointIx, EndpointNotice)>,
    pending: &mut VecDeque<PendingQuery>,
) -> Result<(), EndpointError> {
    pending.push_back(PendingQuery::new(first, 0));
    let connecting = timeout(ANSWER_TIMEOUT, connect::connect(target, MAX_MESSAGE_BYTES));
    let mut connected = connecting.await.map_err(|_| EndpointError::Timeout)??;
    connected.check_quiet().await?;
    if let Some(first) = pending.front() {
        let query = connect::encode_query(&query_text(first))?;
        connected.stream.send(query).await?;
    }
    let mut sent = 1;
    loop {
        match next_step_in_time(&connected, commands, pending).await? {
            Step::Send(command) if pending.is_empty() && connected.stream.has_input() => {
                *unsent = Some(command);
                connected.check_quiet().await?;
            }
            Step::Send(command) => {
                let query = PendingQuery::new(command, sent);
                let text = connect::encode_query(&query_text(&query))?;
                sent += 1;
                pending.push_back(query);
                connected.stream.send(text).await?;
            }
            Step::Read if pending.is_empty() => connected.check_quiet().await?,
            Step::Read => {
                connected.stream.fill().await?;
                read_answers(target.ix, &mut connected, pending, notices)?;
            }
            Step::Stop => return Ok(()),
        }
    }
}

enum Step {
    Send(EndpointCommand),
    Read,
    Stop,
}

/// Waits for a command or an answer, up to the deadline of the oldest pending query.
async fn next_step_in_time(
    connected: &Connected,
    commands: &Receiver<EndpointCommand>,
    pending: &VecDeque<PendingQuery>,
) -> Result<Step, EndpointError> {
    let next = next_step(connected, commands);
    let Some(oldest) = pending.front() else {
        return next.await;
    };
    let left = ANSWER_TIMEOUT.saturating_sub(oldest.sent_at.elapsed());
    timeout(left, next)
        .await
        .map_err(|_| EndpointError::Timeout)?
}

async fn next_step(
    connected: &Connected,
    commands: &Receiver<EndpointCommand>,
) -> Result<Step, EndpointError> {
    let readable = connected.stream.ready().fuse();
    let command = commands.recv_async().fuse();
    pin_mut!(readable, command);
    select_biased! {
        got = readable => {
            got?;
            Ok(Step::Read)
        }
        got = command => Ok(got.map_or(Step::Stop, Step::Send)),
    }
}

fn read_answers(
    ix: EndpointIx,
    connected: &mut Connected,
    pending: &mut VecDeque<PendingQuery>,
    notices: &Sender<(EndpointIx, EndpointNotice)>,
) -> Result<(), EndpointError> {
    while let Some(frame) = connected.stream.try_next()? {
        let message = frame.decode_backend()?;
        if let PgWireBackendMessage::ParameterStatus(_) | PgWireBackendMessage::NoticeResponse(_) =
            message
        {
            continue;
        }
        let Some(oldest) = pending.front_mut() else {
            return Err(EndpointError::Desynchronized(
                "an answer that nobody asked for",
            ));
        };
        match message {
            PgWireBackendMessage::DataRow(row) => oldest.add_row(text_columns(&row))?,
            PgWireBackendMessage::ErrorResponse(e) => return Err(connect::endpoint_error(&e)),
            PgWireBackendMessage::ReadyForQuery(_) => {
                let notice = notice(oldest)?;
                pending.pop_front();
                // The group that receives the notices owns these tasks.
                let _ = notices.send((ix, notice));
            }
            PgWireBackendMessage::RowDescription(_) | PgWireBackendMessage::CommandComplete(_) => {}
            _ => {
                return Err(EndpointError::Desynchronized(
                    "a message of another kind of answer",
                ));
            }
        }
    }
    Ok(())
}

fn notice(answered: &PendingQuery) -> Result<EndpointNotice, EndpointError> {
    let Some(row) = answered.row.as_deref() else {
        return Err(EndpointError::Desynchronized("an answer without a row"));
    };
    match &answered.command {
        EndpointCommand::Check(round) => Ok(EndpointNotice::Reported(
            *round,
            dialect::parse_report(row)?,
        )),
        EndpointCommand::Seal { attempt, .. } => Ok(EndpointNotice::Sealed(
            *attempt,
            dialect::parse_seal_reply(row)?,
        )),
        EndpointCommand::Promote { attempt, .. } => {
            let accepted = dialect::parse_promote_reply(row)?;
            Ok(EndpointNotice::Promoted(*attempt, accepted))
        }
        _ => Err(EndpointError::Unexpected("not a command for this task")),
    }
}

/// Reports a check as unanswered. Seals and promotions may have taken effect, and are left to the
/// group's timeouts.
fn report_unanswered(
    ix: EndpointIx,
    command: &EndpointCommand,
    notices: &Sender<(EndpointIx, EndpointNotice)>,
) {
    if let EndpointCommand::Check(round) = command {
        let _ = notices.send((ix, EndpointNotice::CheckFailed(*round)));
    }
}

/// Logs and reports that the answers on the connection were out of step with the queries.
fn report_desynchronized(
    target: &EndpointTarget,
    error: &EndpointError,
    pending: &VecDeque<PendingQuery>,
    notices: &Sender<(EndpointIx, EndpointNotice)>,
) {
    let waiting = pending.front().map(|p| format!("{:?}", p.command));
    warn!("check connection closed: {}", error, kv: {
        endpoint = target.name.as_str(),
        request = waiting.as_deref().unwrap_or_default(),
    });
    let _ = notices.send((target.ix, EndpointNotice::Desynchronized));
}

fn query_text(query: &PendingQuery) -> String {
    let nonce = query.nonce;
    match &query.command {
        EndpointCommand::Seal { term, attempt } => dialect::seal_query(*term, *attempt, nonce),
        EndpointCommand::Promote { term, attempt } => {
            dialect::promote_query(*term, *attempt, nonce)
        }
        _ => dialect::status_query(nonce),
    }
}

impl PendingQuery {
    fn new(command: EndpointCommand, nonce: u64) -> Self {
        Self {
            command,
            nonce,
            sent_at: Instant::now(),
            row: None,
        }
    }

    /// Records the row of the answer, without the nonce.
    fn add_row(&mut self, mut row: Vec<Option<String>>) -> Result<(), EndpointError> {
        if !dialect::take_nonce(&mut row, self.nonce) || self.row.is_some() {
            return Err(EndpointError::Desynchronized("the answer to another query"));
        }
        self.row = Some(row);
        Ok(())
    }
}
