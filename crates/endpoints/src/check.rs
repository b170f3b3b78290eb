//! The task for term checks, seals and promotions.

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
    EndpointError, EndpointTarget, adapter,
    connect::{self, Ready},
};

/// How long an endpoint may take to answer on this connection.
const ANSWER_LIMIT: Duration = Duration::from_millis(400);

/// The largest message on this connection, in bytes.
const MESSAGE_BYTES: usize = 64 << 10;

struct Asked {
    command: EndpointCommand,
    at: Instant,
    row: Option<Vec<Option<String>>>,
}

/// Runs until the commands' sender is gone.
pub(crate) async fn run(
    target: EndpointTarget,
    commands: Receiver<EndpointCommand>,
    notices: Sender<(EndpointIx, EndpointNotice)>,
) {
    while let Ok(command) = commands.recv_async().await {
        let mut asked = VecDeque::new();
        if let Err(error) = serve(&target, command, &commands, &notices, &mut asked).await {
            debug!("checks of {} stopped: {}", target.name, error);
        }
        // What came meanwhile is as old as what failed: the group asks again.
        let asked = asked.into_iter().map(|a| a.command);
        for command in asked.chain(commands.drain()) {
            fail(target.ix, &command, &notices);
        }
    }
}

/// Serves commands on one connection until it fails.
async fn serve(
    target: &EndpointTarget,
    first: EndpointCommand,
    commands: &Receiver<EndpointCommand>,
    notices: &Sender<(EndpointIx, EndpointNotice)>,
    asked: &mut VecDeque<Asked>,
) -> Result<(), EndpointError> {
    asked.push_back(Asked::new(first));
    let set_up = timeout(ANSWER_LIMIT, connect::connect(target, MESSAGE_BYTES));
    let mut ready = set_up.await.map_err(|_| EndpointError::Timeout)??;
    if let Some(first) = asked.front() {
        ready
            .wire
            .send(connect::query(&text(&first.command))?)
            .await?;
    }
    loop {
        match step(&ready, commands, asked).await? {
            Step::Ask(command) => {
                let query = connect::query(&text(&command))?;
                asked.push_back(Asked::new(command));
                ready.wire.send(query).await?;
            }
            Step::Read => {
                ready.wire.fill().await?;
                take_answers(target.ix, &mut ready, asked, notices)?;
            }
            Step::Stop => return Ok(()),
        }
    }
}

enum Step {
    Ask(EndpointCommand),
    Read,
    Stop,
}

/// Waits for a command or an answer, as long as the oldest open question allows.
async fn step(
    ready: &Ready,
    commands: &Receiver<EndpointCommand>,
    asked: &VecDeque<Asked>,
) -> Result<Step, EndpointError> {
    let wait = wait(ready, commands);
    let Some(oldest) = asked.front() else {
        return wait.await;
    };
    let left = ANSWER_LIMIT.saturating_sub(oldest.at.elapsed());
    timeout(left, wait)
        .await
        .map_err(|_| EndpointError::Timeout)?
}

async fn wait(ready: &Ready, commands: &Receiver<EndpointCommand>) -> Result<Step, EndpointError> {
    let readable = ready.wire.ready().fuse();
    let command = commands.recv_async().fuse();
    pin_mut!(readable, command);
    select_biased! {
        got = readable => {
            got?;
            Ok(Step::Read)
        }
        got = command => Ok(got.map_or(Step::Stop, Step::Ask)),
    }
}

fn take_answers(
    ix: EndpointIx,
    ready: &mut Ready,
    asked: &mut VecDeque<Asked>,
    notices: &Sender<(EndpointIx, EndpointNotice)>,
) -> Result<(), EndpointError> {
    while let Some(frame) = ready.wire.try_next()? {
        match frame.decode_backend()? {
            PgWireBackendMessage::DataRow(row) => {
                if let Some(oldest) = asked.front_mut() {
                    oldest.row = Some(text_columns(&row));
                }
            }
            PgWireBackendMessage::ErrorResponse(e) => return Err(connect::refused(&e)),
            PgWireBackendMessage::ReadyForQuery(_) => {
                let Some(done) = asked.pop_front() else {
                    return Err(EndpointError::Unexpected("an answer that nobody asked for"));
                };
                let notice = notice(&done)?;
                // The group that listens owns these tasks.
                let _ = notices.send((ix, notice));
            }
            _ => {}
        }
    }
    Ok(())
}

fn notice(done: &Asked) -> Result<EndpointNotice, EndpointError> {
    let row = done.row.as_deref().unwrap_or_default();
    match &done.command {
        EndpointCommand::Check(round) => {
            Ok(EndpointNotice::Reported(*round, adapter::report(row)?))
        }
        EndpointCommand::Seal { attempt, .. } => {
            Ok(EndpointNotice::Sealed(*attempt, adapter::seal_reply(row)?))
        }
        EndpointCommand::Promote { attempt, .. } => {
            let accepted = adapter::promote_reply(row)?;
            Ok(EndpointNotice::Promoted(*attempt, accepted))
        }
        _ => Err(EndpointError::Unexpected("not a command for this task")),
    }
}

/// Reports a check as unanswered. Seals and promotions are left to their own time limits, since
/// they may have taken effect.
fn fail(ix: EndpointIx, command: &EndpointCommand, notices: &Sender<(EndpointIx, EndpointNotice)>) {
    if let EndpointCommand::Check(round) = command {
        let _ = notices.send((ix, EndpointNotice::CheckFailed(*round)));
    }
}

fn text(command: &EndpointCommand) -> String {
    match command {
        EndpointCommand::Seal { term, attempt } => adapter::seal_query(*term, *attempt),
        EndpointCommand::Promote { term, attempt } => adapter::promote_query(*term, *attempt),
        _ => adapter::status_query(),
    }
}

impl Asked {
    fn new(command: EndpointCommand) -> Self {
        Self {
            command,
            at: Instant::now(),
            row: None,
        }
    }
}
