//! One connection for requests: a task that owns its socket and runs one request at a time.

use std::sync::Arc;

use flume::{Receiver, Sender};
use futures_util::{FutureExt, pin_mut, select_biased};
use goldcrest_types::{Answer, ConnectionId, Kind, Name, Request, RequestId, TxState};
use smallvec::SmallVec;
use spdlog::{debug, warn};

use crate::{
    EndpointError, EndpointTarget,
    answer::{self, Exchange, Progress},
    connect::{self, Connected},
    dialect, idempotency,
};

/// A command to a connection's task.
#[derive(Debug)]
pub(crate) enum ConnectionCommand {
    /// Run a request.
    Run(Arc<Request>),
    /// Cancel the running request.
    Cancel,
}

/// How a request ended.
#[derive(Debug)]
pub(crate) enum Completion {
    /// The endpoint answered.
    Answered(Answer),
    /// The connection was lost. The flag is true if any byte may have been sent.
    Lost(bool),
    /// Nothing of the request was sent, since the connection can't be used.
    Unsent,
    /// The answer exceeded the size limit.
    Oversized,
}

/// An event that a connection's task reports.
#[derive(Debug)]
pub(crate) enum Event {
    /// The connection is ready for requests.
    Opened,
    /// The connection could not be opened.
    OpenFailed,
    /// A request ended.
    Completed(RequestId, Completion),
    /// An answer did not belong to the running request. The connection is closed next.
    Desynchronized,
    /// The connection is closed.
    Closed,
}

/// The session state that earlier requests left on a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
enum ConnectionState {
    /// Nothing.
    Clean,
    /// The settings of one session and nothing else.
    Settings(SessionSettings),
    /// State that the proxy did not track.
    Unknown,
}

/// A session's settings and the workspace that they belong to.
#[derive(Debug, Clone, PartialEq, Eq)]
struct SessionSettings {
    workspace: Name,
    settings: SmallVec<[Name; 2]>,
}

/// Opens a connection and carries out commands until it is lost or their sender is dropped.
pub(crate) async fn run(
    target: EndpointTarget,
    id: ConnectionId,
    commands: Receiver<ConnectionCommand>,
    events: Sender<(ConnectionId, Event)>,
) {
    let send_event = |event| {
        // The endpoint's task runs longer than its connections.
        let _ = events.send((id, event));
    };
    // The margin leaves room for the header of a row as large as the limit.
    match connect::connect(&target, target.answer_bytes + 1024).await {
        Ok(connected) => {
            send_event(Event::Opened);
            let mut connection = Connection {
                target,
                connected,
                session_state: ConnectionState::Clean,
                running: None,
                previous: None,
            };
            if let Err(error) = connection.serve(&commands, &send_event).await {
                debug!("connection to {} closed: {}", connection.target.name, error);
                if matches!(error, EndpointError::Desynchronized(_)) {
                    connection.log_desynchronized(id, &error);
                    send_event(Event::Desynchronized);
                }
            }
            send_event(Event::Closed);
        }
        Err(error) => {
            debug!("no connection to {}: {}", target.name, error);
            send_event(Event::OpenFailed);
        }
    }
}

/// The state of a connection's task.
struct Connection {
    target: EndpointTarget,
    connected: Connected,
    session_state: ConnectionState,
    /// The request that is running.
    running: Option<RequestId>,
    /// The request that was answered last.
    previous: Option<RequestId>,
}

impl Connection {
    async fn serve<F>(
        &mut self,
        commands: &Receiver<ConnectionCommand>,
        send_event: &F,
    ) -> Result<(), EndpointError>
    where
        F: Fn(Event),
    {
        loop {
            let Some(command) = self.next_command(commands).await? else {
                return Ok(());
            };
            let ConnectionCommand::Run(request) = command else {
                continue;
            };
            let id = request.head.id;
            self.running = Some(id);
            let mut sent = false;
            match self.run_request(&request, commands, &mut sent).await {
                Ok(Some(answer)) => send_event(Event::Completed(id, Completion::Answered(answer))),
                Ok(None) => {
                    send_event(Event::Completed(id, Completion::Oversized));
                    return Ok(());
                }
                Err(error) => {
                    let completion = match error {
                        EndpointError::Refused { .. } => Completion::Lost(sent),
                        _ if sent => Completion::Lost(true),
                        _ => Completion::Unsent,
                    };
                    send_event(Event::Completed(id, completion));
                    return Err(error);
                }
            }
            self.previous = self.running.take();
        }
    }

    fn log_desynchronized(&self, id: ConnectionId, error: &EndpointError) {
        let request = |id: Option<RequestId>| id.map_or_else(String::new, |id| id.to_string());
        warn!("connection closed: {}", error, kv: {
            endpoint = self.target.name.as_str(),
            connection = id.0,
            request = request(self.running).as_str(),
            previous = request(self.previous).as_str(),
        });
    }

    /// Waits for a command. Input on an idle connection belongs to no request and closes the
    /// connection.
    async fn next_command(
        &mut self,
        commands: &Receiver<ConnectionCommand>,
    ) -> Result<Option<ConnectionCommand>, EndpointError> {
        loop {
            {
                let readable = self.connected.stream.ready().fuse();
                let command = commands.recv_async().fuse();
                pin_mut!(readable, command);
                select_biased! {
                    got = command => return Ok(got.ok()),
                    got = readable => got?,
                }
            }
            self.connected.check_quiet().await?;
        }
    }

    /// Runs a request. Returns `None` if its answer exceeds the size limit. Sets `sent` before the
    /// first byte of the request may be sent.
    async fn run_request(
        &mut self,
        request: &Request,
        commands: &Receiver<ConnectionCommand>,
        sent: &mut bool,
    ) -> Result<Option<Answer>, EndpointError> {
        if request.head.pin.is_none() {
            self.apply_session(request).await?;
        }
        if request.dirty {
            self.session_state = ConnectionState::Unknown;
        }
        self.connected.check_quiet().await?;
        *sent = true;
        let limit = self.target.answer_bytes;
        let answer = if let Some(key) = &request.idempotency_key
            && request.head.pin.is_none()
        {
            idempotency::run(&mut self.connected, request, key, limit).await?
        } else {
            let exchange = Exchange::start(&mut self.connected, &request.body).await?;
            self.collect(exchange, commands).await?
        };
        if answer.as_ref().is_some_and(|a| !fits_read(request, a)) {
            let text = "a read that opened or ended a transaction";
            return Err(EndpointError::Desynchronized(text));
        }
        Ok(answer)
    }

    /// Resets the connection and applies the session's settings, unless it has exactly these.
    async fn apply_session(&mut self, request: &Request) -> Result<(), EndpointError> {
        let wanted = SessionSettings {
            workspace: request.head.workspace.clone(),
            settings: request.settings.clone(),
        };
        if matches!(&self.session_state, ConnectionState::Settings(applied) if *applied == wanted) {
            return Ok(());
        }
        let connected = &mut self.connected;
        if self.session_state != ConnectionState::Clean {
            answer::run_expecting(connected, dialect::reset_query(), TxState::Idle).await?;
        }
        for setting in &wanted.settings {
            answer::run_expecting(connected, setting, TxState::Idle).await?;
        }
        self.session_state = ConnectionState::Settings(wanted);
        Ok(())
    }

    /// Collects the answer to the running request. Returns `None` if it exceeds the size limit.
    async fn collect(
        &mut self,
        mut exchange: Exchange,
        commands: &Receiver<ConnectionCommand>,
    ) -> Result<Option<Answer>, EndpointError> {
        let limit = self.target.answer_bytes;
        loop {
            while let Some(frame) = self.connected.stream.try_next()? {
                match exchange.add_frame(&frame, &mut self.connected.state, limit)? {
                    Progress::More => {}
                    Progress::Complete(answer) => return Ok(Some(answer)),
                    Progress::Oversized => return Ok(None),
                }
            }
            self.wait_readable(commands).await?;
            self.connected.stream.fill().await?;
        }
    }

    /// Waits for input from the endpoint, and sends it a cancel request if a cancel command arrives
    /// meanwhile.
    async fn wait_readable(
        &self,
        commands: &Receiver<ConnectionCommand>,
    ) -> Result<(), EndpointError> {
        loop {
            let readable = self.connected.stream.ready().fuse();
            let command = commands.recv_async().fuse();
            pin_mut!(readable, command);
            select_biased! {
                got = readable => return Ok(got?),
                got = command => match got {
                    Ok(ConnectionCommand::Cancel) => self.send_cancel(),
                    Ok(ConnectionCommand::Run(_)) => {
                        return Err(EndpointError::Unexpected("two requests at once"));
                    }
                    Err(_) => {
                        self.send_cancel();
                        return Err(EndpointError::Unexpected("abandoned"));
                    }
                },
            }
        }
    }

    fn send_cancel(&self) {
        let Some(key) = self.connected.key.clone() else {
            return;
        };
        let address = self.target.address;
        compio::runtime::spawn(async move {
            if let Err(error) = connect::cancel(address, key).await {
                debug!("the cancel request to {} failed: {}", address, error);
            }
        })
        .detach();
    }
}

/// Whether the transaction state after an answer is one that a read may leave.
fn fits_read(request: &Request, answer: &Answer) -> bool {
    let open = answer.tx != TxState::Idle;
    request.head.kind != Kind::Read || open == request.head.pin.is_some()
}
