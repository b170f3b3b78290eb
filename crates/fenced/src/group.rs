//! The task of one group: feeds its decisions with messages, and carries out what they say.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use compio::time::timeout_at;
use flume::{Receiver, Sender};
use futures_util::{FutureExt, pin_mut, select_biased};
use goldcrest_decide::fenced::{Action, Cluster, ClusterPlan, Event};
use goldcrest_types::{
    Answer, ConnectionCommand, ConnectionId, ConnectionNotice, EndpointIx, Floor, Guard, Name,
    Outcome, Pin, Refusal, Reply, RequestId, Role, SessionCommand, Statement, StatementResult,
    StoreNotice, SuccessionCommand, Timestamp, Verdict,
};
use smallvec::SmallVec;
use spdlog::info;

use crate::{
    Account, Control, Ended, Handle, Link, Listed, Measured, Surroundings, decisions::Decisions,
    relay, trace::Request,
};

/// Starts a group's task on this thread's runtime.
#[must_use]
pub fn start(plan: ClusterPlan, surroundings: Surroundings) -> Handle {
    let (asks, asked) = flume::unbounded();
    let (control, controlled) = flume::unbounded();
    let (notices, inbox) = flume::unbounded();
    let (answers, answered) = flume::unbounded();
    let inputs = Inputs {
        asked,
        controlled,
        inbox,
        answered,
    };
    let relay = relay::start(
        plan.name.clone(),
        relay::Surroundings {
            clock: surroundings.clock,
            connect: Rc::clone(&surroundings.connect_host),
            group: asks.clone(),
        },
    );
    let task = Task {
        cluster: Cluster::new(plan),
        surroundings,
        addresses: BTreeMap::new(),
        links: BTreeMap::new(),
        requests: HashMap::new(),
        held: HashMap::new(),
        notices,
        answers,
        decisions: Decisions::default(),
    };
    compio::runtime::spawn(task.run(inputs)).detach();
    Handle {
        asks,
        control,
        relay,
    }
}

struct Inputs {
    asked: Receiver<SessionCommand<Statement>>,
    controlled: Receiver<Control>,
    inbox: Receiver<(ConnectionId, ConnectionNotice)>,
    answered: Receiver<StoreNotice>,
}

enum Input {
    Ask(SessionCommand<Statement>),
    Control(Control),
    Notice(ConnectionId, ConnectionNotice),
    Store(StoreNotice),
    Over,
}

impl Inputs {
    async fn next(&self) -> Input {
        let ask = self.asked.recv_async().fuse();
        let control = self.controlled.recv_async().fuse();
        let notice = self.inbox.recv_async().fuse();
        let store = self.answered.recv_async().fuse();
        pin_mut!(ask, control, notice, store);
        select_biased! {
            got = notice => got.map_or(Input::Over, |(id, notice)| Input::Notice(id, notice)),
            got = store => got.map_or(Input::Over, Input::Store),
            got = control => got.map_or(Input::Over, Input::Control),
            got = ask => got.map_or(Input::Over, Input::Ask),
        }
    }
}

/// A connection to an endpoint.
struct Open {
    endpoint: Name,
    commands: Sender<ConnectionCommand>,
}

struct Task {
    cluster: Cluster,
    surroundings: Surroundings,
    addresses: BTreeMap<Name, SocketAddr>,
    links: BTreeMap<ConnectionId, Open>,
    requests: HashMap<RequestId, Request>,
    held: HashMap<RequestId, StatementResult>,
    notices: Sender<(ConnectionId, ConnectionNotice)>,
    answers: Sender<StoreNotice>,
    decisions: Decisions,
}

impl Task {
    async fn run(mut self, inputs: Inputs) {
        loop {
            let wake = self.cluster.wake(self.surroundings.clock.now());
            let instant = self.surroundings.clock.instant(wake);
            match timeout_at(instant, inputs.next()).await {
                Ok(Input::Over) => return,
                Ok(input) => self.take(input),
                Err(_) => self.step(Event::Tick),
            }
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Ask(SessionCommand::Run(statement, reply)) => {
                let (head, opening) = (statement.head.clone(), statement.opening);
                self.requests
                    .insert(head.id, Request::new(statement, reply));
                self.step(Event::Ask(head, opening));
            }
            Input::Ask(SessionCommand::Cancel(id)) => {
                self.requests.remove(&id);
                self.step(Event::Cancel(id));
            }
            Input::Ask(SessionCommand::Release(endpoint, lease)) => {
                self.step(Event::Release(endpoint, lease));
            }
            Input::Control(Control::Members(listed)) => self.list(listed),
            Input::Control(Control::Hold(holding)) => self.step(Event::Hold(holding)),
            Input::Control(Control::Account(reply)) => {
                // The asking task may have given up.
                let _ = reply.send(self.account());
            }
            Input::Notice(id, notice) => self.notice(id, notice),
            Input::Store(notice) => self.step(Event::Store(notice)),
            Input::Over => {}
        }
    }

    fn list(&mut self, listed: Vec<Listed>) {
        let mut plans = SmallVec::new();
        self.addresses.clear();
        for Listed { plan, address } in listed {
            self.addresses.insert(plan.name.clone(), address);
            plans.push(plan);
        }
        self.step(Event::Members(plans));
    }

    fn notice(&mut self, id: ConnectionId, notice: ConnectionNotice) {
        match &notice {
            ConnectionNotice::Answered(request, ran) => {
                self.note_answer(id, *request, ran);
                self.held.insert(*request, ran.clone());
            }
            ConnectionNotice::Closed(under_way) => {
                if let Some((request, _)) = under_way {
                    self.note_lost(id, *request);
                }
                self.links.remove(&id);
            }
            ConnectionNotice::OpenFailed(_) => {
                self.links.remove(&id);
            }
            _ => {}
        }
        self.step(Event::Connection(id, notice));
    }

    fn step(&mut self, event: Event) {
        let now = self.surroundings.clock.now();
        for action in self.cluster.step(event, now) {
            self.act(action);
        }
        self.decisions.endpoints(&self.cluster, now);
        if let Some(span) = self.decisions.leadership(&self.cluster, now) {
            self.measure(Measured::Leaderless, span);
        }
    }

    fn note_answer(&mut self, link: ConnectionId, id: RequestId, ran: &StatementResult) {
        let now = self.surroundings.clock.now();
        let noted = self.requests.get_mut(&id);
        let noted = noted.and_then(|r| r.note_answer(link, &ran.verdict, now));
        if let Some((sent, leads)) = noted {
            self.measure(Measured::Endpoint { leads }, now.since(sent));
        }
    }

    fn note_lost(&mut self, link: ConnectionId, id: RequestId) {
        let now = self.surroundings.clock.now();
        if let Some(request) = self.requests.get_mut(&id) {
            request.note_lost(link, now);
        }
    }

    fn measure(&self, what: Measured, span: Duration) {
        (self.surroundings.measure)(&self.cluster.plan().name, what, span);
    }

    /// Counts how long a request took in all, and until it was first sent.
    fn measure_end(&self, request: &Request, ended: Ended, now: Timestamp) {
        let head = &request.statement.head;
        let kind = head.kind;
        self.measure(Measured::Request { kind, ended }, now.since(head.arrived));
        if let Some(sent) = request.first_sent() {
            self.measure(Measured::Queue, sent.since(head.arrived));
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Open(id, endpoint) => self.open(id, endpoint),
            Action::Close(id) => {
                self.links.remove(&id);
            }
            Action::Run(id, request, guard) => {
                self.run_statement(id, request, guard);
            }
            Action::Probe(id) => self.command(id, ConnectionCommand::Probe),
            Action::Rollback(id) => self.command(id, ConnectionCommand::Rollback),
            Action::Report(id) => self.command(id, ConnectionCommand::Report),
            Action::StepDown(id, term) => self.command(id, ConnectionCommand::StepDown(term)),
            Action::Deliver { id, floor, pin } => self.deliver(id, floor, pin),
            Action::Discard(id) => {
                self.held.remove(&id);
            }
            Action::Refuse(id, refusal) => self.refuse(id, refusal),
            Action::Succession(command) => self.succession(command),
            Action::Leader(endpoint, term) => {
                Decisions::leads(&self.cluster, &self.name(endpoint), term.0);
            }
        }
    }

    fn run_statement(&mut self, link: ConnectionId, id: RequestId, guard: Guard) {
        let now = self.surroundings.clock.now();
        let (Some(request), Some(open)) = (self.requests.get_mut(&id), self.links.get(&link))
        else {
            return;
        };
        let leads = self.cluster.leader();
        let leads = leads.is_some_and(|m| *m.name() == open.endpoint);
        request.note_sent(link, open.endpoint.clone(), leads, guard, now);
        let statement = Arc::clone(&request.statement);
        self.command(link, ConnectionCommand::Run(statement, guard));
    }

    fn open(&mut self, id: ConnectionId, endpoint: EndpointIx) {
        let name = self.name(endpoint);
        let Some(address) = self.addresses.get(&name) else {
            return;
        };
        let (commands, orders) = flume::unbounded();
        let open = Open {
            endpoint: name.clone(),
            commands,
        };
        self.links.insert(id, open);
        (self.surroundings.connect)(Link {
            id,
            service: self.cluster.plan().name.clone(),
            endpoint: name,
            address: *address,
            commands: orders,
            notices: self.notices.clone(),
        });
    }

    fn command(&self, id: ConnectionId, command: ConnectionCommand) {
        if let Some(link) = self.links.get(&id) {
            // A connection that just ended tells so itself.
            let _ = link.commands.send(command);
        }
    }

    fn succession(&self, command: SuccessionCommand) {
        let service = self.cluster.plan().name.clone();
        info!("succession: {:?}", command, kv: { service = service.as_str() });
        (self.surroundings.succession)(service, command, self.answers.clone());
    }

    fn deliver(&mut self, id: RequestId, floor: Floor, pin: Option<Pin>) {
        let Some(ran) = self.held.remove(&id) else {
            return;
        };
        if let Some(request) = self.requests.get(&id) {
            let now = self.surroundings.clock.now();
            let ended = match ran.verdict {
                Verdict::Done => Ended::Served,
                _ => Ended::Failed,
            };
            self.measure_end(request, ended, now);
            self.decisions
                .answered(request, &ran.verdict, &self.cluster, now);
        }
        let answer = Answer {
            outcome: match ran.verdict {
                Verdict::Done => Outcome::Done,
                Verdict::NotPrimary => Outcome::Declined,
                Verdict::Failed(code) | Verdict::Refused(code) => Outcome::Failed { code },
                Verdict::Busy | Verdict::Behind | Verdict::Unconfirmed => {
                    Outcome::Failed { code: Name::new() }
                }
            },
            body: ran.body,
            mark: ran.mark.unwrap_or_default(),
            role: if ran.led {
                Role::Primary
            } else {
                Role::Replica
            },
            tx: ran.tx,
        };
        self.reply(id, Ok(answer), floor, pin);
    }

    fn refuse(&mut self, id: RequestId, refusal: Refusal) {
        let now = self.surroundings.clock.now();
        if let Some(request) = self.requests.get(&id) {
            let ended = match refusal {
                Refusal::NotRun { .. } => Ended::Refused,
                Refusal::Unknown { .. } => Ended::Unknown,
                _ => Ended::Failed,
            };
            self.measure_end(request, ended, now);
            self.decisions
                .refused(request, &refusal, &self.cluster, now);
        }
        self.reply(id, Err(refusal), Floor::Unknown, None);
    }

    fn reply(
        &mut self,
        id: RequestId,
        result: Result<Answer, Refusal>,
        floor: Floor,
        pin: Option<Pin>,
    ) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        // The session may be gone.
        let _ = request.reply.send(Reply {
            id,
            result,
            floor,
            pin,
        });
    }

    fn name(&self, endpoint: EndpointIx) -> Name {
        let mut members = self.cluster.members().iter();
        let member = members.find(|m| m.ix == endpoint);
        member.map(|m| m.name().clone()).unwrap_or_default()
    }

    fn account(&self) -> Account {
        let (waiting, running) = self.cluster.load();
        let age = self.cluster.sample_age(self.surroundings.clock.now());
        Account {
            name: self.cluster.plan().name.clone(),
            counts: self.cluster.counts(),
            waiting,
            running,
            connections: self.links.len(),
            need: f64::from(self.cluster.need()),
            sample_age: age.map(|a| a.as_millis()),
        }
    }
}
