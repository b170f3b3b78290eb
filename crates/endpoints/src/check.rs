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
use spdlog::debug;

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
    while let Ok(command) = commands.recv_async().await {
        let mut pending = VecDeque::new();
        if let Err(error) = serve(&target, command, &commands, &notices, &mut pending).await {
            debug!("the check connection to {} failed: {}", target.name, error);
        }
        // Commands that arrived meanwhile fail as well: they are as old as the failed ones, and the
        // group repeats its checks.
        let pending = pending.into_iter().map(|p| p.command);
        for command in pending.chain(commands.drain()) {
            report_unanswered(target.ix, &command, &notices);
        }
    }
}

/// Carries out commands on one connection until it fails or their sender is dropped.
async fn serve(
    target: &EndpointTarget,
    first: EndpointCommand,
    commands: &Receiver<EndpointCommand>,
    notices: &Sender<(EndpointIx, EndpointNotice)>,
    pending: &mut VecDeque<PendingQuery>,
) -> Result<(), EndpointError> {
    pending.push_back(PendingQuery::new(first));
    let connecting = timeout(ANSWER_TIMEOUT, connect::connect(target, MAX_MESSAGE_BYTES));
    let mut connected = connecting.await.map_err(|_| EndpointError::Timeout)??;
    if let Some(first) = pending.front() {
        connected
            .stream
            .send(connect::encode_query(&query_text(&first.command))?)
            .await?;
    }
    loop {
        match next_step_in_time(&connected, commands, pending).await? {
            Step::Send(command) => {
                let query = connect::encode_query(&query_text(&command))?;
                pending.push_back(PendingQuery::new(command));
                connected.stream.send(query).await?;
            }
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
        match frame.decode_backend()? {
            PgWireBackendMessage::DataRow(row) => {
                if let Some(oldest) = pending.front_mut() {
                    oldest.row = Some(text_columns(&row));
                }
            }
            PgWireBackendMessage::ErrorResponse(e) => return Err(connect::endpoint_error(&e)),
            PgWireBackendMessage::ReadyForQuery(_) => {
                let Some(answered) = pending.pop_front() else {
                    return Err(EndpointError::Unexpected("an answer that nobody asked for"));
                };
                let notice = notice(&answered)?;
                // The group that receives the notices owns these tasks.
                let _ = notices.send((ix, notice));
            }
            _ => {}
        }
    }
    Ok(())
}

fn notice(answered: &PendingQuery) -> Result<EndpointNotice, EndpointError> {
    let row = answered.row.as_deref().unwrap_or_default();
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

fn query_text(command: &EndpointCommand) -> String {
    match command {
        EndpointCommand::Seal { term, attempt } => dialect::seal_query(*term, *attempt),
        EndpointCommand::Promote { term, attempt } => dialect::promote_query(*term, *attempt),
        _ => dialect::status_query(),
    }
}

impl PendingQuery {
    fn new(command: EndpointCommand) -> Self {
        Self {
            command,
            sent_at: Instant::now(),
            row: None,
        }
    }
}
