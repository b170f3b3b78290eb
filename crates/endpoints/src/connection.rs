//! One connection for work: a task that owns its socket and runs one request at a time.

use std::sync::Arc;

use flume::{Receiver, Sender};
use futures_util::{FutureExt, pin_mut, select_biased};
use goldcrest_types::{Answer, ConnectionId, Name, Request, RequestId, TxState};
use smallvec::SmallVec;
use spdlog::debug;

use crate::{
    EndpointError, EndpointTarget, adapter,
    connect::{self, Ready},
    relay::{self, Collected, Progress},
    repeat,
};

/// A message to a connection's task.
#[derive(Debug)]
pub(crate) enum Order {
    /// Run a request.
    Run(Arc<Request>),
    /// Cancel what runs.
    Cancel,
}

/// How a request ended.
#[derive(Debug)]
pub(crate) enum End {
    /// With an answer.
    Answered(Answer),
    /// The connection broke. The flag tells whether any byte may have been sent.
    Lost(bool),
    /// The answer outgrew the limit.
    Oversized,
}

/// A message from a connection's task.
#[derive(Debug)]
pub(crate) enum Word {
    /// It is ready for work.
    Opened,
    /// It could not be set up.
    OpenFailed,
    /// A request ended.
    Ended(RequestId, End),
    /// The connection is closed.
    Closed,
}

/// What a connection holds of earlier work.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Left {
    /// Nothing.
    Clean,
    /// The settings of a session.
    Settings(Identity),
    /// Something that the proxy did not follow.
    Unknown,
}

/// Whose state a connection holds.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Identity {
    workspace: Name,
    settings: SmallVec<[Name; 2]>,
}

/// Opens a connection and serves orders until it breaks or the orders' sender is gone.
pub(crate) async fn run(
    target: EndpointTarget,
    id: ConnectionId,
    orders: Receiver<Order>,
    words: Sender<(ConnectionId, Word)>,
) {
    let say = |word| {
        // The endpoint's task outlives its connections.
        let _ = words.send((id, word));
    };
    // Room for the frame's header beside a row as large as the limit.
    match connect::connect(&target, target.answer_bytes + 1024).await {
        Ok(ready) => {
            say(Word::Opened);
            let mut connection = Connection {
                target,
                ready,
                left: Left::Clean,
            };
            if let Err(error) = connection.serve(&orders, &say).await {
                debug!("connection to {} closed: {}", connection.target.name, error);
            }
            say(Word::Closed);
        }
        Err(error) => {
            debug!("no connection to {}: {}", target.name, error);
            say(Word::OpenFailed);
        }
    }
}

struct Connection {
    target: EndpointTarget,
    ready: Ready,
    left: Left,
}

impl Connection {
    async fn serve<F>(&mut self, orders: &Receiver<Order>, say: &F) -> Result<(), EndpointError>
    where
        F: Fn(Word),
    {
        loop {
            let Some(order) = self.idle(orders).await? else {
                return Ok(());
            };
            let Order::Run(request) = order else {
                continue;
            };
            let id = request.head.id;
            let mut sent = false;
            match self.run_request(&request, orders, &mut sent).await {
                Ok(Some(answer)) => say(Word::Ended(id, End::Answered(answer))),
                Ok(None) => {
                    say(Word::Ended(id, End::Oversized));
                    return Ok(());
                }
                Err(error) => {
                    say(Word::Ended(id, End::Lost(sent)));
                    return Err(error);
                }
            }
        }
    }

    /// Waits for an order. Anything that an idle connection receives ends it, for it would be an
    /// answer without an owner.
    async fn idle(&mut self, orders: &Receiver<Order>) -> Result<Option<Order>, EndpointError> {
        let readable = self.ready.wire.ready().fuse();
        let order = orders.recv_async().fuse();
        pin_mut!(readable, order);
        select_biased! {
            got = order => Ok(got.ok()),
            got = readable => {
                got?;
                Err(EndpointError::Unexpected("closed or spoke while idle"))
            }
        }
    }

    async fn run_request(
        &mut self,
        request: &Request,
        orders: &Receiver<Order>,
        sent: &mut bool,
    ) -> Result<Option<Answer>, EndpointError> {
        if request.head.pin.is_none() {
            self.adopt(request).await?;
        }
        if request.dirty {
            self.left = Left::Unknown;
        }
        *sent = true;
        if let Some(repeat) = &request.idempotency_key
            && request.head.pin.is_none()
        {
            let Ready { wire, told, .. } = &mut self.ready;
            let limit = self.target.answer_bytes;
            return repeat::run(wire, told, request, repeat, limit).await;
        }
        self.ready.wire.send(request.body.clone()).await?;
        self.collect(orders).await
    }

    /// Brings the connection into the session's state: clean, with the session's own settings.
    async fn adopt(&mut self, request: &Request) -> Result<(), EndpointError> {
        let wanted = Identity {
            workspace: request.head.workspace.clone(),
            settings: request.settings.clone(),
        };
        if matches!(&self.left, Left::Settings(held) if *held == wanted) {
            return Ok(());
        }
        let Ready { wire, told, .. } = &mut self.ready;
        if self.left != Left::Clean {
            relay::run_own(wire, told, adapter::reset_query()).await?;
        }
        for setting in &wanted.settings {
            let set = relay::run_own(wire, told, setting).await?;
            if set.tx != TxState::Idle {
                return Err(EndpointError::Unexpected("a setting opened a transaction"));
            }
        }
        self.left = Left::Settings(wanted);
        Ok(())
    }

    async fn collect(&mut self, orders: &Receiver<Order>) -> Result<Option<Answer>, EndpointError> {
        let limit = self.target.answer_bytes;
        let mut collected = Collected::default();
        loop {
            while let Some(frame) = self.ready.wire.try_next()? {
                match collected.take(&frame, &mut self.ready.told, limit)? {
                    Progress::More => {}
                    Progress::Whole(answer) => return Ok(Some(answer)),
                    Progress::Oversized => return Ok(None),
                }
            }
            self.wait_readable(orders).await?;
            self.ready.wire.fill().await?;
        }
    }

    /// Waits for the answer, and passes on a cancel meanwhile.
    async fn wait_readable(&self, orders: &Receiver<Order>) -> Result<(), EndpointError> {
        loop {
            let readable = self.ready.wire.ready().fuse();
            let order = orders.recv_async().fuse();
            pin_mut!(readable, order);
            select_biased! {
                got = readable => return Ok(got?),
                got = order => match got {
                    Ok(Order::Cancel) => self.pass_cancel(),
                    Ok(Order::Run(_)) => {
                        return Err(EndpointError::Unexpected("two requests at once"));
                    }
                    Err(_) => {
                        self.pass_cancel();
                        return Err(EndpointError::Unexpected("abandoned"));
                    }
                },
            }
        }
    }

    fn pass_cancel(&self) {
        let Some(key) = self.ready.key.clone() else {
            return;
        };
        let address = self.target.address;
        compio::runtime::spawn(async move {
            if let Err(error) = connect::cancel(address, key).await {
                debug!("cancel at {} failed: {}", address, error);
            }
        })
        .detach();
    }
}
