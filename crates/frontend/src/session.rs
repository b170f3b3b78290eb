//! One client's session: a task that owns its socket and its state.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use compio::time::timeout;
use flume::{Receiver, Sender};
use futures_util::{FutureExt, pin_mut, select_biased};
use goldcrest_decide::session::{RequestIds, Session};
use goldcrest_types::{
    Answer, Class, Kind, NotRun, Refusal, Reply, Request, RequestHead, RequestId, SessionCommand,
    TxState,
};
use goldcrest_wire::{Frame, PgStream, encode_backend};
use pgwire::messages::{
    PgWireBackendMessage,
    startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey},
};
use spdlog::debug;

use crate::{
    ClientError, FrontendConfig,
    batch::{Batch, PreparedStatements},
    classify::{Classification, classify},
    local, refusals,
    startup::{self, AdmittedClient},
};

/// How long a session that ends with an error waits for its client to close the connection.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// The `ParameterStatus` that reports the session's token to the client.
const TOKEN_PARAMETER: &str = "goldcrest.session";

/// The process id and secret that a cancel request must name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct CancelKey {
    pub pid: i32,
    pub secret: i32,
}

/// A message from the accepting task that interrupts a session.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Interrupt {
    /// Cancel the running request.
    Cancel,
    /// Close the session as soon as no transaction is open.
    Stop,
}

/// Statements to be forwarded to an endpoint as one request.
#[derive(Debug)]
pub(crate) struct ForwardedRequest {
    pub kind: Kind,
    /// Whether it may leave state behind on its connection.
    pub dirty: bool,
    /// Whether it opens or ends a transaction.
    pub tx_control: bool,
    /// The encoded messages.
    pub body: Bytes,
}

/// The state of a session's task.
pub(crate) struct SessionTask {
    pub stream: PgStream,
    pub config: FrontendConfig,
    pub state: Session,
    pub statements: PreparedStatements,
    pub batch: Batch,
    pub tx: TxState,
    group: Sender<SessionCommand>,
    request_ids: RequestIds,
    replies: (Sender<Reply>, Receiver<Reply>),
    interrupts: Receiver<Interrupt>,
    /// Whether the session must end as soon as no transaction is open.
    stopping: bool,
    /// Whether the client has received a token in this session.
    token_sent: bool,
}

/// Serves a client until it disconnects or the session must end.
pub(crate) async fn run(
    client: AdmittedClient,
    config: FrontendConfig,
    key: CancelKey,
    number: u64,
    interrupts: Receiver<Interrupt>,
) {
    let Some(group) = (config.find_group)(&client.database) else {
        return;
    };
    let mut task = SessionTask {
        stream: client.stream,
        state: Session::new(client.workspace, client.database),
        statements: PreparedStatements::new(config.limits.prepared),
        config,
        batch: Batch::default(),
        tx: TxState::Idle,
        group,
        request_ids: RequestIds::new(number),
        replies: flume::bounded(1),
        interrupts,
        stopping: false,
        token_sent: false,
    };
    if let Err(error) = task.serve(client.options, key).await {
        debug!("session {} ended: {}", number, error);
        let error = error.or_overloaded();
        if matches!(error, ClientError::Overloaded) {
            // It is not held open for the client to read why.
            startup::send_error(&mut task.stream, &error).await;
        } else if error.is_fatal() {
            startup::send_error(&mut task.stream, &error).await;
            // Closing a socket with unread input resets it, and the client, which may be sending
            // its next request, would lose the error message.
            let _ = timeout(DRAIN_TIMEOUT, task.stream.drain()).await;
        }
    }
    task.release_pin();
}

enum Input {
    Readable,
    Interrupt(Interrupt),
    IdleTimeout,
}

impl SessionTask {
    async fn serve(
        &mut self,
        options: Vec<(String, String)>,
        key: CancelKey,
    ) -> Result<(), ClientError> {
        for (name, value) in options {
            self.apply_option(&name, &value)?;
        }
        self.send_startup_reply(key).await?;
        while let Some(frame) = self.next_frame().await? {
            let more = self.handle_message(&frame).await?;
            drop(frame);
            self.count_held()?;
            if !more {
                return Ok(());
            }
        }
        Err(ClientError::Stopping)
    }

    /// Applies a setting from the start-up options. A setting of the proxy takes effect here; any
    /// other is recorded for the connections to endpoints.
    fn apply_option(&mut self, name: &str, value: &str) -> Result<(), ClientError> {
        if let Some(setting) = name.strip_prefix("goldcrest.") {
            return local::apply_setting(self, setting, value);
        }
        let quoted = value.replace('\'', "''");
        let statement = format!("SET {name} = '{quoted}'");
        let Classification::SessionSetting { name } = classify(&statement) else {
            let reason = "a start-up option must be the name and the value of a setting";
            return Err(ClientError::Protocol(reason));
        };
        self.state.keep_setting(name, statement.into())?;
        Ok(())
    }

    async fn send_startup_reply(&mut self, key: CancelKey) -> Result<(), ClientError> {
        let parameter = |name: &str, value: &str| {
            let status = ParameterStatus::new(name.to_owned(), value.to_owned());
            PgWireBackendMessage::ParameterStatus(status)
        };
        let secret = SecretKey::I32(key.secret);
        let messages = [
            PgWireBackendMessage::Authentication(Authentication::Ok),
            parameter("server_version", "15.0 (goldcrestusher)"),
            parameter("server_encoding", "UTF8"),
            parameter("client_encoding", "UTF8"),
            parameter("DateStyle", "ISO, MDY"),
            parameter("integer_datetimes", "on"),
            parameter("standard_conforming_strings", "on"),
            PgWireBackendMessage::BackendKeyData(BackendKeyData::new(key.pid, secret)),
            refusals::ready_for_query(TxState::Idle),
        ];
        self.stream.send(encode_backend(messages)?).await?;
        Ok(())
    }

    /// Reads the next message. Returns `None` when the host stops and no transaction is open.
    async fn next_frame(&mut self) -> Result<Option<Frame>, ClientError> {
        loop {
            if let Some(frame) = self.stream.try_next()? {
                return Ok(Some(frame));
            }
            if self.stopping && self.tx == TxState::Idle {
                return Ok(None);
            }
            match self.next_input().await? {
                Input::Readable => self.stream.fill().await?,
                Input::Interrupt(Interrupt::Stop) => self.stopping = true,
                Input::Interrupt(Interrupt::Cancel) => {}
                Input::IdleTimeout => return Err(ClientError::IdleTransaction),
            }
        }
    }

    async fn next_input(&self) -> Result<Input, ClientError> {
        let wait = async {
            let readable = self.stream.ready().fuse();
            let interrupt = self.interrupts.recv_async().fuse();
            pin_mut!(readable, interrupt);
            select_biased! {
                got = interrupt => Ok(Input::Interrupt(got.unwrap_or(Interrupt::Stop))),
                got = readable => {
                    got?;
                    Ok(Input::Readable)
                }
            }
        };
        if self.tx == TxState::Idle {
            return wait.await;
        }
        let limit = self.config.limits.idle_timeout;
        timeout(limit, wait).await.unwrap_or(Ok(Input::IdleTimeout))
    }

    /// Sends a request to the group and its answer to the client. `restore` removes from the
    /// answer's body what the client did not request. Returns whether the request ran without
    /// error.
    pub(crate) async fn forward<F>(
        &mut self,
        forwarded: ForwardedRequest,
        restore: F,
    ) -> Result<bool, ClientError>
    where
        F: FnOnce(Bytes) -> Bytes,
    {
        let reply = self.request(forwarded).await;
        let floor_changed = self.state.apply_reply(&reply);
        match reply.result {
            Ok(answer) => self.send_answer(answer, floor_changed, restore).await,
            Err(refusal) => {
                self.send_refusal(&refusal, floor_changed).await?;
                Ok(false)
            }
        }
    }

    async fn send_answer<F>(
        &mut self,
        answer: Answer,
        floor_changed: bool,
        restore: F,
    ) -> Result<bool, ClientError>
    where
        F: FnOnce(Bytes) -> Bytes,
    {
        self.tx = answer.tx;
        if self.tx == TxState::Idle {
            self.batch.clear_portals();
        }
        let mut body = restore(answer.body);
        if floor_changed || !self.token_sent {
            // Token and answer go out in one write: a second small write would cost as much as the
            // first.
            let mut joined = BytesMut::from(self.token_message()?.as_ref());
            joined.extend_from_slice(&body);
            body = joined.freeze();
        }
        self.stream.send(body).await?;
        Ok(answer.outcome == goldcrest_types::Outcome::Done)
    }

    async fn send_refusal(
        &mut self,
        refusal: &Refusal,
        floor_changed: bool,
    ) -> Result<(), ClientError> {
        self.tx = TxState::Idle;
        self.batch.clear_portals();
        if floor_changed {
            let token = self.token_message()?;
            self.stream.send(token).await?;
        }
        let messages = [
            refusals::refusal_message(refusal),
            refusals::ready_for_query(TxState::Idle),
        ];
        self.stream.send(encode_backend(messages)?).await?;
        Ok(())
    }

    fn token_message(&mut self) -> Result<Bytes, ClientError> {
        self.token_sent = true;
        let status = ParameterStatus::new(TOKEN_PARAMETER.to_owned(), self.token());
        let message = PgWireBackendMessage::ParameterStatus(status);
        Ok(encode_backend([message])?)
    }

    /// Signs the session's current token.
    pub(crate) fn token(&self) -> String {
        let signer = &self.config.signer;
        signer.sign(&self.state.workspace, self.state.floors())
    }

    async fn request(&mut self, forwarded: ForwardedRequest) -> Reply {
        let pin = self.state.pin;
        let request = self.build_request(forwarded);
        let id = request.head.id;
        let command = SessionCommand::Run(Arc::new(request), self.replies.0.clone());
        if self.group.send(command).is_err() {
            return self.stopped_reply(id);
        }
        let reply = loop {
            match self.reply_or_interrupt().await {
                Ok(reply) if reply.id == id => break reply,
                Ok(_) => {}
                Err(Interrupt::Stop) => self.stopping = true,
                Err(Interrupt::Cancel) => {
                    // The group runs as long as the host.
                    let _ = self.group.send(SessionCommand::Cancel(id));
                }
            }
        };
        if let Some(pin) = pin
            && reply.result.is_err()
        {
            let _ = self
                .group
                .send(SessionCommand::Release(pin.endpoint, pin.lease));
        }
        reply
    }

    async fn reply_or_interrupt(&self) -> Result<Reply, Interrupt> {
        let reply = self.replies.1.recv_async().fuse();
        let interrupt = async {
            match self.interrupts.recv_async().await {
                Ok(interrupt) => interrupt,
                // The accepting task has ended; the reply still arrives.
                Err(_) => std::future::pending().await,
            }
        }
        .fuse();
        pin_mut!(reply, interrupt);
        select_biased! {
            got = reply => Ok(got.unwrap_or_else(|_| self.stopped_reply(RequestId(0)))),
            got = interrupt => Err(got),
        }
    }

    fn stopped_reply(&self, id: RequestId) -> Reply {
        Reply {
            id,
            result: Err(Refusal::NotRun {
                reason: NotRun::Stopping,
                retry: None,
            }),
            floor: self.state.floor(),
            pin: None,
        }
    }

    fn build_request(&mut self, forwarded: ForwardedRequest) -> Request {
        let now = (self.config.now)();
        let class = self.state.class.unwrap_or(Class::Short);
        let (start_by, deadline) = self.config.limits.request_limits.apply(class, now);
        let idempotency_key = match forwarded.kind {
            Kind::Write => self.state.idempotency_key.take(),
            _ => None,
        };
        let head = RequestHead {
            id: self.request_ids.take(),
            workspace: self.state.workspace.clone(),
            database: self.state.database.clone(),
            priority: 0,
            kind: forwarded.kind,
            class,
            floor: self.state.floor(),
            max_age: self.state.max_age,
            pin: self.state.pin,
            idempotent: idempotency_key.is_some(),
            arrived: now,
            start_by,
            deadline,
        };
        Request {
            head,
            idempotency_key,
            settings: self.state.settings.iter().map(|(_, s)| s.clone()).collect(),
            dirty: forwarded.dirty,
            body: forwarded.body,
        }
    }

    /// Releases the connection of an open transaction, which rolls the transaction back.
    fn release_pin(&mut self) {
        if let Some(pin) = self.state.pin.take() {
            // The group runs as long as the host.
            let _ = self
                .group
                .send(SessionCommand::Release(pin.endpoint, pin.lease));
        }
    }
}
