//! One caller's session: a task that owns its socket and its state.

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
    batch::{Batch, Statements},
    local, refusals,
    startup::{self, Greeted},
};

/// How long a session that ends waits for its caller to close.
const DRAIN_LIMIT: Duration = Duration::from_millis(500);

/// The parameter that carries the session's token.
const TOKEN_PARAMETER: &str = "goldcrest.session";

/// What a cancel request must show.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Key {
    pub pid: i32,
    pub secret: i32,
}

/// A message to a session's task.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Order {
    /// Cancel what runs.
    Cancel,
    /// End as soon as no transaction is open.
    Stop,
}

/// A statement on its way to an endpoint.
#[derive(Debug)]
pub(crate) struct Work {
    pub kind: Kind,
    pub dirty: bool,
    pub control: bool,
    pub body: Bytes,
}

pub(crate) struct Task {
    pub wire: PgStream,
    pub front: FrontendConfig,
    pub state: Session,
    pub statements: Statements,
    pub batch: Batch,
    pub tx: TxState,
    group: Sender<SessionCommand>,
    numbers: RequestIds,
    replies: (Sender<Reply>, Receiver<Reply>),
    orders: Receiver<Order>,
    stopping: bool,
    told: bool,
}

/// Serves a caller until it leaves.
pub(crate) async fn run(
    greeted: Greeted,
    front: FrontendConfig,
    key: Key,
    number: u64,
    orders: Receiver<Order>,
) {
    let Some(group) = (front.find_group)(&greeted.database) else {
        return;
    };
    let mut task = Task {
        wire: greeted.wire,
        state: Session::new(greeted.workspace, greeted.database),
        statements: Statements::new(front.limits.prepared),
        front,
        batch: Batch::default(),
        tx: TxState::Idle,
        group,
        numbers: RequestIds::new(number),
        replies: flume::bounded(1),
        orders,
        stopping: false,
        told: false,
    };
    if let Err(error) = task.serve(greeted.options, key).await {
        debug!("session {} ended: {}", number, error);
        if error.is_fatal() {
            startup::refuse(&mut task.wire, &error).await;
            // The caller may be sending its next request right now, and must see the reason.
            let _ = timeout(DRAIN_LIMIT, task.wire.drain()).await;
        }
    }
    task.release();
}

enum Input {
    Readable,
    Order(Order),
    Late,
}

impl Task {
    async fn serve(&mut self, options: Vec<(String, String)>, key: Key) -> Result<(), ClientError> {
        for (name, value) in options {
            self.start_option(&name, &value)?;
        }
        self.welcome(key).await?;
        while let Some(frame) = self.next_frame().await? {
            let more = self.take(&frame).await?;
            if !more {
                return Ok(());
            }
        }
        Err(ClientError::Stopping)
    }

    /// Settings of the proxy are taken at once, others are kept for the endpoint's side.
    fn start_option(&mut self, name: &str, value: &str) -> Result<(), ClientError> {
        if let Some(own) = name.strip_prefix("goldcrest.") {
            return local::change(self, own, value);
        }
        let quoted = value.replace('\'', "''");
        let statement = format!("SET {name} = '{quoted}'");
        self.state.keep_setting(name.into(), statement.into())?;
        Ok(())
    }

    async fn welcome(&mut self, key: Key) -> Result<(), ClientError> {
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
            refusals::ready(TxState::Idle),
        ];
        self.wire.send(encode_backend(messages)?).await?;
        Ok(())
    }

    /// The next message, or nothing when the host stops and no transaction is open.
    async fn next_frame(&mut self) -> Result<Option<Frame>, ClientError> {
        loop {
            if let Some(frame) = self.wire.try_next()? {
                return Ok(Some(frame));
            }
            if self.stopping && self.tx == TxState::Idle {
                return Ok(None);
            }
            match self.input().await? {
                Input::Readable => self.wire.fill().await?,
                Input::Order(Order::Stop) => self.stopping = true,
                Input::Order(Order::Cancel) => {}
                Input::Late => return Err(ClientError::IdleTransaction),
            }
        }
    }

    async fn input(&self) -> Result<Input, ClientError> {
        let wait = async {
            let readable = self.wire.ready().fuse();
            let order = self.orders.recv_async().fuse();
            pin_mut!(readable, order);
            select_biased! {
                got = order => Ok(Input::Order(got.unwrap_or(Order::Stop))),
                got = readable => {
                    got?;
                    Ok(Input::Readable)
                }
            }
        };
        if self.tx == TxState::Idle {
            return wait.await;
        }
        let limit = self.front.limits.idle_timeout;
        timeout(limit, wait).await.unwrap_or(Ok(Input::Late))
    }

    /// Sends work to the group and its answer to the caller. Returns whether it ran without error.
    pub(crate) async fn relay<F>(&mut self, work: Work, restore: F) -> Result<bool, ClientError>
    where
        F: FnOnce(Bytes) -> Bytes,
    {
        let reply = self.ask(work).await;
        let changed = self.state.apply_reply(&reply);
        match reply.result {
            Ok(answer) => self.give(answer, changed, restore).await,
            Err(refusal) => {
                self.refuse(&refusal, changed).await?;
                Ok(false)
            }
        }
    }

    async fn give<F>(
        &mut self,
        answer: Answer,
        changed: bool,
        restore: F,
    ) -> Result<bool, ClientError>
    where
        F: FnOnce(Bytes) -> Bytes,
    {
        self.tx = answer.tx;
        if self.tx == TxState::Idle {
            self.batch.forget_portals();
        }
        let mut body = restore(answer.body);
        if changed || !self.told {
            // One write carries both, for a second small one costs as much as the answer.
            let mut joined = BytesMut::from(self.token_message()?.as_ref());
            joined.extend_from_slice(&body);
            body = joined.freeze();
        }
        self.wire.send(body).await?;
        Ok(answer.outcome == goldcrest_types::Outcome::Done)
    }

    async fn refuse(&mut self, refusal: &Refusal, changed: bool) -> Result<(), ClientError> {
        self.tx = TxState::Idle;
        self.batch.forget_portals();
        if changed {
            let token = self.token_message()?;
            self.wire.send(token).await?;
        }
        let messages = [
            refusals::refusal_message(refusal),
            refusals::ready(TxState::Idle),
        ];
        self.wire.send(encode_backend(messages)?).await?;
        Ok(())
    }

    fn token_message(&mut self) -> Result<Bytes, ClientError> {
        self.told = true;
        let status = ParameterStatus::new(TOKEN_PARAMETER.to_owned(), self.token());
        let message = PgWireBackendMessage::ParameterStatus(status);
        Ok(encode_backend([message])?)
    }

    /// The session's token.
    pub(crate) fn token(&self) -> String {
        let signer = &self.front.signer;
        signer.sign(&self.state.workspace, self.state.floors())
    }

    async fn ask(&mut self, work: Work) -> Reply {
        let pin = self.state.pin;
        let request = self.request(work);
        let id = request.head.id;
        let asked = SessionCommand::Run(Arc::new(request), self.replies.0.clone());
        if self.group.send(asked).is_err() {
            return self.stopped(id);
        }
        let reply = loop {
            match self.reply_or_order().await {
                Ok(reply) if reply.id == id => break reply,
                Ok(_) => {}
                Err(Order::Stop) => self.stopping = true,
                Err(Order::Cancel) => {
                    // The group ends only with its host.
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

    async fn reply_or_order(&self) -> Result<Reply, Order> {
        let reply = self.replies.1.recv_async().fuse();
        let order = async {
            match self.orders.recv_async().await {
                Ok(order) => order,
                // The accepting task is gone; the reply still comes.
                Err(_) => std::future::pending().await,
            }
        }
        .fuse();
        pin_mut!(reply, order);
        select_biased! {
            got = reply => Ok(got.unwrap_or_else(|_| self.stopped(RequestId(0)))),
            got = order => Err(got),
        }
    }

    fn stopped(&self, id: RequestId) -> Reply {
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

    fn request(&mut self, work: Work) -> Request {
        let now = (self.front.now)();
        let class = self.state.class.unwrap_or(Class::Short);
        let (start_by, deadline) = self.front.limits.request_limits.apply(class, now);
        let idempotency_key = match work.kind {
            Kind::Write => self.state.idempotency_key.take(),
            _ => None,
        };
        let head = RequestHead {
            id: self.numbers.take(),
            workspace: self.state.workspace.clone(),
            kind: work.kind,
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
            dirty: work.dirty,
            body: work.body,
        }
    }

    /// Gives up an open transaction, which rolls it back.
    fn release(&mut self) {
        if let Some(pin) = self.state.pin.take() {
            // The group ends only with its host.
            let _ = self
                .group
                .send(SessionCommand::Release(pin.endpoint, pin.lease));
        }
    }
}
