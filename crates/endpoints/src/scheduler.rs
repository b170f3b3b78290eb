//! The task of one endpoint, which owns its request queue and its connections.

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
    connection::{self, Completion, ConnectionCommand, Event},
};

/// Runs until the sender of `commands` is dropped.
pub(crate) async fn run(
    target: EndpointTarget,
    commands: Receiver<EndpointCommand>,
    notices: Sender<(EndpointIx, EndpointNotice)>,
) {
    let (checks, receiver) = flume::unbounded();
    compio::runtime::spawn(check::run(target.clone(), receiver, notices.clone())).detach();
    let (events, event_receiver) = flume::unbounded();
    let mut scheduler = Scheduler {
        pool: Pool::new(target.connections),
        target,
        notices,
        checks,
        events,
        requests: HashMap::new(),
        connections: BTreeMap::new(),
    };
    while let Some(input) = next_input(&commands, &event_receiver).await {
        scheduler.handle_input(input);
    }
}

enum Input {
    Command(EndpointCommand),
    Event(ConnectionId, Event),
}

async fn next_input(
    commands: &Receiver<EndpointCommand>,
    events: &Receiver<(ConnectionId, Event)>,
) -> Option<Input> {
    let command = commands.recv_async().fuse();
    let event = events.recv_async().fuse();
    pin_mut!(command, event);
    select_biased! {
        got = event => got.ok().map(|(id, event)| Input::Event(id, event)),
        got = command => got.ok().map(Input::Command),
    }
}

/// The state of an endpoint's task.
struct Scheduler {
    pool: Pool,
    target: EndpointTarget,
    notices: Sender<(EndpointIx, EndpointNotice)>,
    /// The task for term checks, seals and promotions.
    checks: Sender<EndpointCommand>,
    events: Sender<(ConnectionId, Event)>,
    /// The requests that are queued or running.
    requests: HashMap<RequestId, Pending>,
    /// The command channels of the connections that are opening or open.
    connections: BTreeMap<ConnectionId, Sender<ConnectionCommand>>,
}

/// A request that is queued or running.
struct Pending {
    request: Arc<Request>,
    /// Whether a connection turned out to be unusable before the request was sent on it.
    requeued: bool,
}

impl Scheduler {
    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Command(command) => self.handle_command(command),
            Input::Event(id, event) => self.handle_event(id, event),
        }
    }

    fn handle_command(&mut self, command: EndpointCommand) {
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
                self.apply(actions);
            }
            EndpointCommand::Release(lease) => {
                let actions = self.pool.release(lease);
                self.apply(actions);
            }
            check => {
                // The task for checks runs as long as this one.
                let _ = self.checks.send(check);
            }
        }
    }

    fn run(&mut self, request: Arc<Request>, lease: Lease, held: bool) {
        let id = request.head.id;
        let pending = Pending {
            request,
            requeued: false,
        };
        self.requests.insert(id, pending);
        let actions = self.pool.run(id, lease, held);
        self.apply(actions);
    }

    fn cancel(&mut self, id: RequestId) {
        if self.pool.unqueue(id) {
            return self.fail(id);
        }
        let connection = self.pool.running(id);
        if let Some(commands) = connection.and_then(|c| self.connections.get(&c)) {
            let _ = commands.send(ConnectionCommand::Cancel);
        }
    }

    fn handle_event(&mut self, id: ConnectionId, event: Event) {
        if !self.connections.contains_key(&id) {
            return;
        }
        let actions = match event {
            Event::Opened => self.pool.opened(id),
            Event::OpenFailed => {
                self.connections.remove(&id);
                self.pool.open_failed(id)
            }
            Event::Desynchronized => {
                self.notify(EndpointNotice::Desynchronized);
                return;
            }
            Event::Closed => {
                self.connections.remove(&id);
                self.pool.closed(id)
            }
            Event::Completed(request, completion) => self.completed(id, request, completion),
        };
        self.apply(actions);
    }

    fn completed(
        &mut self,
        id: ConnectionId,
        request: RequestId,
        completion: Completion,
    ) -> Actions {
        if matches!(completion, Completion::Unsent) && self.may_requeue(request) {
            return self.pool.requeue(id);
        }
        self.requests.remove(&request);
        let (notice, actions) = match completion {
            Completion::Answered(answer) => {
                let open = answer.tx != goldcrest_types::TxState::Idle;
                let actions = self.pool.finished(id, open);
                (EndpointNotice::Answered(request, answer), actions)
            }
            Completion::Unsent => (EndpointNotice::Lost(request, false), Actions::new()),
            Completion::Lost(sent) => (EndpointNotice::Lost(request, sent), Actions::new()),
            Completion::Oversized => {
                let limit = self.target.answer_bytes;
                (EndpointNotice::Oversized(request, limit), Actions::new())
            }
        };
        self.notify(notice);
        actions
    }

    /// Whether a request that was not sent may run on another connection. It may once, outside a
    /// transaction.
    fn may_requeue(&mut self, id: RequestId) -> bool {
        let Some(pending) = self.requests.get_mut(&id) else {
            return false;
        };
        let first = !std::mem::replace(&mut pending.requeued, true);
        first && pending.request.head.pin.is_none()
    }

    fn apply(&mut self, actions: Actions) {
        for action in actions {
            match action {
                Action::Open(id) => self.open(id),
                Action::Run(request, id) => self.assign(request, id),
                Action::Fail(request) => self.fail(request),
                Action::Close(id) => {
                    self.connections.remove(&id);
                }
            }
        }
    }

    fn open(&mut self, id: ConnectionId) {
        let (commands, receiver) = flume::unbounded();
        self.connections.insert(id, commands);
        let task = connection::run(self.target.clone(), id, receiver, self.events.clone());
        compio::runtime::spawn(task).detach();
    }

    fn assign(&mut self, id: RequestId, connection: ConnectionId) {
        let Some(Pending { request, .. }) = self.requests.get(&id) else {
            return;
        };
        let assigned = self.connections.get(&connection).is_some_and(|commands| {
            commands
                .send(ConnectionCommand::Run(Arc::clone(request)))
                .is_ok()
        });
        if !assigned {
            self.fail(id);
        }
    }

    fn fail(&mut self, id: RequestId) {
        self.requests.remove(&id);
        self.notify(EndpointNotice::Lost(id, false));
    }

    fn notify(&self, notice: EndpointNotice) {
        // The group that receives the notices owns this task.
        let _ = self.notices.send((self.target.ix, notice));
    }
}
