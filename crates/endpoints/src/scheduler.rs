//! The task of one endpoint: its queue and its connections.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use flume::{Receiver, Sender};
use futures_util::{FutureExt, pin_mut, select_biased};
use goldcrest_decide::pool::{Action, Actions, Pool};
use goldcrest_types::{
    ConnectionId, EndpointCommand, EndpointIx, EndpointNotice, Lease, Request, RequestId,
};

use crate::{
    EndpointTarget, check,
    connection::{self, End, Order, Word},
};

/// Runs until the commands' sender is gone.
pub(crate) async fn run(
    target: EndpointTarget,
    commands: Receiver<EndpointCommand>,
    notices: Sender<(EndpointIx, EndpointNotice)>,
) {
    let (checks, inbox) = flume::unbounded();
    compio::runtime::spawn(check::run(target.clone(), inbox, notices.clone())).detach();
    let (words, heard) = flume::unbounded();
    let mut scheduler = Scheduler {
        pool: Pool::new(target.connections),
        target,
        notices,
        checks,
        words,
        requests: HashMap::new(),
        orders: BTreeMap::new(),
    };
    while let Some(input) = next(&commands, &heard).await {
        scheduler.take(input);
    }
}

enum Input {
    Command(EndpointCommand),
    Word(ConnectionId, Word),
}

async fn next(
    commands: &Receiver<EndpointCommand>,
    words: &Receiver<(ConnectionId, Word)>,
) -> Option<Input> {
    let command = commands.recv_async().fuse();
    let word = words.recv_async().fuse();
    pin_mut!(command, word);
    select_biased! {
        got = word => got.ok().map(|(id, word)| Input::Word(id, word)),
        got = command => got.ok().map(Input::Command),
    }
}

struct Scheduler {
    pool: Pool,
    target: EndpointTarget,
    notices: Sender<(EndpointIx, EndpointNotice)>,
    checks: Sender<EndpointCommand>,
    words: Sender<(ConnectionId, Word)>,
    requests: HashMap<RequestId, Arc<Request>>,
    orders: BTreeMap<ConnectionId, Sender<Order>>,
}

impl Scheduler {
    fn take(&mut self, input: Input) {
        match input {
            Input::Command(command) => self.command(command),
            Input::Word(id, word) => self.word(id, word),
        }
    }

    fn command(&mut self, command: EndpointCommand) {
        match command {
            EndpointCommand::Run {
                request,
                lease,
                held,
            } => self.run(request, lease, held),
            EndpointCommand::Cancel(id) => self.cancel(id),
            EndpointCommand::Abandon(id) => {
                self.requests.remove(&id);
                let actions = self.pool.abandon(id);
                self.act(actions);
            }
            EndpointCommand::Release(lease) => {
                let actions = self.pool.release(lease);
                self.act(actions);
            }
            check => {
                // The task for checks lives as long as this one.
                let _ = self.checks.send(check);
            }
        }
    }

    fn run(&mut self, request: Arc<Request>, lease: Lease, held: bool) {
        let id = request.head.id;
        self.requests.insert(id, request);
        let actions = self.pool.run(id, lease, held);
        self.act(actions);
    }

    fn cancel(&mut self, id: RequestId) {
        if self.pool.unqueue(id) {
            return self.fail(id);
        }
        let connection = self.pool.running(id);
        if let Some(orders) = connection.and_then(|c| self.orders.get(&c)) {
            let _ = orders.send(Order::Cancel);
        }
    }

    fn word(&mut self, id: ConnectionId, word: Word) {
        if !self.orders.contains_key(&id) {
            return;
        }
        let actions = match word {
            Word::Opened => self.pool.opened(id),
            Word::OpenFailed => {
                self.orders.remove(&id);
                self.pool.open_failed(id)
            }
            Word::Closed => {
                self.orders.remove(&id);
                self.pool.closed(id)
            }
            Word::Ended(request, end) => self.ended(id, request, end),
        };
        self.act(actions);
    }

    fn ended(&mut self, id: ConnectionId, request: RequestId, end: End) -> Actions {
        self.requests.remove(&request);
        let (notice, actions) = match end {
            End::Answered(answer) => {
                let open = answer.tx != goldcrest_types::TxState::Idle;
                let actions = self.pool.finished(id, open);
                (EndpointNotice::Answered(request, answer), actions)
            }
            End::Lost(sent) => (EndpointNotice::Lost(request, sent), Actions::new()),
            End::Oversized => {
                let limit = self.target.answer_bytes;
                (EndpointNotice::Oversized(request, limit), Actions::new())
            }
        };
        self.tell(notice);
        actions
    }

    fn act(&mut self, actions: Actions) {
        for action in actions {
            match action {
                Action::Open(id) => self.open(id),
                Action::Run(request, id) => self.give(request, id),
                Action::Fail(request) => self.fail(request),
                Action::Close(id) => {
                    self.orders.remove(&id);
                }
            }
        }
    }

    fn open(&mut self, id: ConnectionId) {
        let (orders, inbox) = flume::unbounded();
        self.orders.insert(id, orders);
        let task = connection::run(self.target.clone(), id, inbox, self.words.clone());
        compio::runtime::spawn(task).detach();
    }

    fn give(&mut self, id: RequestId, connection: ConnectionId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let given = self
            .orders
            .get(&connection)
            .is_some_and(|orders| orders.send(Order::Run(Arc::clone(request))).is_ok());
        if !given {
            self.fail(id);
        }
    }

    fn fail(&mut self, id: RequestId) {
        self.requests.remove(&id);
        self.tell(EndpointNotice::Lost(id, false));
    }

    fn tell(&self, notice: EndpointNotice) {
        // The group that listens owns this task.
        let _ = self.notices.send((self.target.ix, notice));
    }
}
