//! The task of one database group: turns messages into events of the decision core, and carries out
//! the actions that it returns.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use compio::time::timeout_at;
use flume::{Receiver, Sender};
use futures_util::{FutureExt, pin_mut, select_biased};
use goldcrest_decide::{
    group::{Action, AnswerHead, EndpointPlan, Event, Group},
    promote,
};
use goldcrest_endpoints::EndpointHandle;
use goldcrest_operators::{GroupStatus, ReadRoute};
use goldcrest_platform_client::{ClaimReply, Client, GroupRow, claim_term, record_primary};
use goldcrest_types::{
    Acknowledge, Answer, AttemptId, EndpointCommand, EndpointIx, EndpointNotice, Floor, Mark, Name,
    Pin, Refusal, Reply, Request, RequestId, SessionCommand, Term,
};
use spdlog::{debug, info};

use crate::{Clock, status};

/// A message to a group's task from its host.
#[derive(Debug)]
pub enum GroupControl {
    /// Reply with the group's state.
    Status(Sender<GroupStatus>),
    /// Set this host's rank among the group's watchers; `None` if it is not one of them.
    Rank(Option<u32>),
    /// Set the rule for acknowledging commits.
    Acknowledge(Acknowledge),
    /// Update an endpoint to the declaration in force, or add it if its index is new.
    Endpoint(EndpointIx, EndpointPlan, SocketAddr),
    /// Reply with the route that a read with this floor would take.
    Explain(Mark, Sender<ReadRoute>),
}

/// The handle of a group's task. The task stops when all handles are dropped.
#[derive(Debug, Clone)]
pub struct GroupHandle {
    /// Commands from sessions.
    pub commands: Sender<SessionCommand>,
    /// Messages from the host.
    pub control: Sender<GroupControl>,
}

/// Starts the tasks of an endpoint with this index, name and address.
pub(crate) type Connect = Box<dyn Fn(EndpointIx, Name, SocketAddr) -> EndpointHandle>;

/// What a group's task is started with.
pub(crate) struct Parts {
    pub host: Name,
    pub clock: Clock,
    pub group: Group,
    /// Starts the tasks of endpoints that are added later.
    pub connect: Connect,
    /// The endpoints' handles, in the order of their indexes.
    pub endpoints: Vec<EndpointHandle>,
    pub notices: Receiver<(EndpointIx, EndpointNotice)>,
    pub platform: Client,
}

/// Starts a group's task on this thread's runtime.
pub(crate) fn start(parts: Parts) -> GroupHandle {
    let (commands, command_rx) = flume::unbounded();
    let (control, control_rx) = flume::unbounded();
    let (results, result_rx) = flume::unbounded();
    let inputs = Inputs {
        command_rx,
        control_rx,
        result_rx,
        notices: parts.notices,
    };
    let task = Task {
        host: parts.host,
        clock: parts.clock,
        group: parts.group,
        connect: parts.connect,
        endpoints: parts.endpoints,
        platform: parts.platform,
        results,
        requests: HashMap::new(),
        answers: HashMap::new(),
    };
    compio::runtime::spawn(task.run(inputs)).detach();
    GroupHandle { commands, control }
}

/// The channels that the task receives from.
struct Inputs {
    command_rx: Receiver<SessionCommand>,
    control_rx: Receiver<GroupControl>,
    /// Results of calls to the platform that the task spawned.
    result_rx: Receiver<Event>,
    notices: Receiver<(EndpointIx, EndpointNotice)>,
}

enum Input {
    Command(SessionCommand),
    Control(GroupControl),
    Result(Event),
    Notice(EndpointIx, EndpointNotice),
    Closed,
}

impl Inputs {
    async fn next(&self) -> Input {
        let command = self.command_rx.recv_async().fuse();
        let control = self.control_rx.recv_async().fuse();
        let result = self.result_rx.recv_async().fuse();
        let notice = self.notices.recv_async().fuse();
        pin_mut!(command, control, result, notice);
        select_biased! {
            item = notice => item.map_or(Input::Closed, |(ix, notice)| Input::Notice(ix, notice)),
            item = result => item.map_or(Input::Closed, Input::Result),
            item = control => item.map_or(Input::Closed, Input::Control),
            item = command => item.map_or(Input::Closed, Input::Command),
        }
    }
}

struct Task {
    host: Name,
    clock: Clock,
    group: Group,
    connect: Connect,
    /// In the order of the endpoints' indexes.
    endpoints: Vec<EndpointHandle>,
    platform: Client,
    results: Sender<Event>,
    /// Requests without a reply yet, with the channel to the session that waits for it.
    requests: HashMap<RequestId, (Arc<Request>, Sender<Reply>)>,
    /// Answers that the group has not yet delivered or discarded.
    answers: HashMap<RequestId, Answer>,
}

impl Task {
    async fn run(mut self, inputs: Inputs) {
        self.step(Event::Tick);
        loop {
            let wake = self.group.wake(self.clock.now());
            match timeout_at(self.clock.instant(wake), inputs.next()).await {
                Ok(Input::Closed) => return,
                Ok(input) => self.handle(input),
                Err(_) => self.step(Event::Tick),
            }
        }
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Command(command) => self.handle_command(command),
            Input::Control(control) => self.handle_control(control),
            Input::Result(event) => self.step(event),
            Input::Notice(ix, notice) => self.handle_notice(ix, notice),
            Input::Closed => {}
        }
    }

    fn handle_command(&mut self, command: SessionCommand) {
        match command {
            SessionCommand::Run(request, reply) => {
                let head = request.head.clone();
                self.requests.insert(head.id, (request, reply));
                self.step(Event::Request(head));
            }
            SessionCommand::Cancel(id) => self.step(Event::Cancel(id)),
            SessionCommand::Release(endpoint, lease) => {
                self.command(endpoint, EndpointCommand::Release(lease));
            }
        }
    }

    fn handle_control(&mut self, control: GroupControl) {
        match control {
            GroupControl::Status(reply) => {
                // The receiver may have been dropped.
                let _ = reply.send(status::group_status(&self.group));
            }
            GroupControl::Rank(rank) => self.step(Event::RankChanged(rank)),
            GroupControl::Acknowledge(rule) => self.step(Event::Acknowledge(rule)),
            GroupControl::Endpoint(ix, plan, address) => self.update_endpoint(ix, plan, address),
            GroupControl::Explain(floor, reply) => {
                let head = Group::sample_read(floor);
                let _ = reply.send(status::read_route(self.group.explain(&head)));
            }
        }
    }

    /// Adds an endpoint of the declaration in force, or updates whether it is leaving.
    fn update_endpoint(&mut self, endpoint: EndpointIx, plan: EndpointPlan, address: SocketAddr) {
        if endpoint.index() < self.endpoints.len() {
            let leaving = plan.leaving;
            return self.step(Event::Leaving { endpoint, leaving });
        }
        let handle = (self.connect)(endpoint, plan.name.clone(), address);
        self.endpoints.push(handle);
        self.step(Event::EndpointAdded(plan));
    }

    fn handle_notice(&mut self, endpoint: EndpointIx, notice: EndpointNotice) {
        let event = match notice {
            EndpointNotice::Answered(id, answer) => {
                let head = AnswerHead {
                    outcome: answer.outcome.clone(),
                    mark: answer.mark,
                    role: answer.role,
                    tx: answer.tx,
                };
                self.answers.insert(id, answer);
                Event::Answered {
                    id,
                    endpoint,
                    answer: head,
                }
            }
            EndpointNotice::Lost(id, sent) => Event::Lost { id, endpoint, sent },
            EndpointNotice::Oversized(id, limit) => Event::Oversized {
                id,
                endpoint,
                limit,
            },
            EndpointNotice::Reported(round, report) => Event::Reported {
                endpoint,
                round,
                report,
            },
            EndpointNotice::Desynchronized => Event::Desynchronized,
            EndpointNotice::CheckFailed(round) => Event::CheckFailed { endpoint, round },
            EndpointNotice::Sealed(attempt, reply) => Event::Promotion(promote::Event::Sealed {
                endpoint,
                attempt,
                reply,
            }),
            EndpointNotice::Promoted(attempt, accepted) => {
                Event::Promotion(promote::Event::Promoted {
                    endpoint,
                    attempt,
                    accepted,
                })
            }
        };
        self.step(event);
    }

    fn step(&mut self, event: Event) {
        let now = self.clock.now();
        for action in self.group.step(event, now) {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send {
                id,
                endpoint,
                lease,
            } => {
                let Some((request, _)) = self.requests.get(&id) else {
                    return;
                };
                let command = EndpointCommand::Run {
                    request: Arc::clone(request),
                    lease,
                    held: request.head.pin.is_some(),
                };
                self.command(endpoint, command);
            }
            Action::Deliver { id, floor, pin } => self.deliver(id, floor, pin),
            Action::Refuse { id, refusal, floor } => self.refuse(id, refusal, floor),
            Action::Discard(id) => {
                self.answers.remove(&id);
            }
            Action::Cancel { id, endpoint } => self.command(endpoint, EndpointCommand::Cancel(id)),
            Action::Abandon { id, endpoint } => {
                self.command(endpoint, EndpointCommand::Abandon(id));
            }
            Action::Check { endpoint, round } => {
                self.command(endpoint, EndpointCommand::Check(round));
            }
            Action::Promotion(action) => self.execute_promotion(action),
            Action::PrimaryChanged { endpoint, term } => {
                let name = self.name(endpoint);
                let database = &self.group.plan().name;
                info!("{} is primary of {} in term {}", name, database, term.0);
            }
        }
    }

    fn deliver(&mut self, id: RequestId, floor: Floor, pin: Option<Pin>) {
        if let Some(answer) = self.answers.remove(&id) {
            self.reply(id, Ok(answer), floor, pin);
        }
    }

    fn refuse(&mut self, id: RequestId, refusal: Refusal, floor: Floor) {
        self.answers.remove(&id);
        debug!("request {} refused: {}", id, refusal);
        self.reply(id, Err(refusal), floor, None);
    }

    fn reply(
        &mut self,
        id: RequestId,
        result: Result<Answer, Refusal>,
        floor: Floor,
        pin: Option<Pin>,
    ) {
        let Some((_, reply)) = self.requests.remove(&id) else {
            return;
        };
        // The session may have ended, and nothing waits for the reply.
        let _ = reply.send(Reply {
            id,
            result,
            floor,
            pin,
        });
    }

    fn execute_promotion(&mut self, action: promote::Action) {
        match action {
            promote::Action::Claim { term, attempt } => self.claim(term, attempt),
            promote::Action::Seal {
                endpoint,
                term,
                attempt,
            } => self.command(endpoint, EndpointCommand::Seal { term, attempt }),
            promote::Action::Promote {
                endpoint,
                term,
                attempt,
            } => {
                let name = self.name(endpoint);
                info!("promoting {} in term {}", name, term.0);
                self.command(endpoint, EndpointCommand::Promote { term, attempt });
            }
            promote::Action::Record {
                endpoint,
                term,
                attempt,
            } => self.record(endpoint, term, attempt),
        }
    }

    fn claim(&self, term: Term, attempt: AttemptId) {
        let platform = self.platform.clone();
        let results = self.results.clone();
        let host = self.host.clone();
        let database = self.group.plan().name.clone();
        info!("claiming term {} of {}", term.0, database);
        compio::runtime::spawn(async move {
            let reply = claim_term(&platform, &database, &host, term, attempt).await;
            let event = match reply {
                ClaimReply::Claimed => promote::Event::Claimed(attempt),
                ClaimReply::Taken(term) => promote::Event::ClaimTaken { attempt, term },
                ClaimReply::Unknown => promote::Event::ClaimUnknown(attempt),
            };
            // The group's task may have stopped.
            let _ = results.send(Event::Promotion(event));
        })
        .detach();
    }

    fn record(&self, endpoint: EndpointIx, term: Term, attempt: AttemptId) {
        let platform = self.platform.clone();
        let database = self.group.plan().name.clone();
        let row = GroupRow {
            term: term.0,
            attempt,
            host: self.host.clone(),
            primary: Some(self.name(endpoint)),
        };
        compio::runtime::spawn(async move {
            record_primary(&platform, &database, row).await;
        })
        .detach();
    }

    fn command(&self, endpoint: EndpointIx, command: EndpointCommand) {
        if let Some(handle) = self.endpoints.get(endpoint.index()) {
            handle.send(command);
        }
    }

    fn name(&self, endpoint: EndpointIx) -> Name {
        let view = self.group.views().get(endpoint.index());
        view.map(|v| v.name.clone()).unwrap_or_default()
    }
}
