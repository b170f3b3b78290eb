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
    Control, DiscoveredEndpoint, DurationKind, EndpointConnection, Environment, GroupStats, Handle,
    RequestOutcome, decisions::Decisions, relay, trace::Request,
};

/// Starts a group's task on this thread's runtime.
#[must_use]
pub fn start(plan: ClusterPlan, environment: Environment) -> Handle {
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
        relay::Environment {
            clock: environment.clock,
            connect: Rc::clone(&environment.connect_host),
            group: asks.clone(),
        },
    );
    let task = Task {
        cluster: Cluster::new(plan),
        environment,
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
    environment: Environment,
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
            let wake = self.cluster.wake(self.environment.clock.now());
            let instant = self.environment.clock.instant(wake);
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
            Input::Control(Control::Stats(reply)) => {
                // The asking task may have given up.
                let _ = reply.send(self.account());
            }
            Input::Notice(id, notice) => self.notice(id, notice),
            Input::Store(notice) => self.step(Event::Store(notice)),
            Input::Over => {}
        }
    }

    fn list(&mut self, listed: Vec<DiscoveredEndpoint>) {
        let mut members = SmallVec::new();
        self.addresses.clear();
        for DiscoveredEndpoint { info, address } in listed {
            self.addresses.insert(info.name.clone(), address);
            members.push(info);
        }
        self.step(Event::Members(members));
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
        let now = self.environment.clock.now();
        for action in self.cluster.step(event, now) {
            self.act(action);
        }
        self.decisions.endpoints(&self.cluster, now);
        if let Some(span) = self.decisions.leadership(&self.cluster, now) {
            self.measure(DurationKind::Leaderless, span);
        }
    }

    fn note_answer(&mut self, link: ConnectionId, id: RequestId, ran: &StatementResult) {
        let now = self.environment.clock.now();
        let noted = self.requests.get_mut(&id);
        let noted = noted.and_then(|r| r.note_answer(link, &ran.verdict, now));
        if let Some((sent, leads)) = noted {
            self.measure(DurationKind::Endpoint { leads }, now.since(sent));
        }
    }

    fn note_lost(&mut self, link: ConnectionId, id: RequestId) {
        let now = self.environment.clock.now();
        if let Some(request) = self.requests.get_mut(&id) {
            request.note_lost(link, now);
        }
    }

    fn measure(&self, what: DurationKind, span: Duration) {
        (self.environment.record_duration)(&self.cluster.plan().name, what, span);
    }

    /// Counts how long a request took in all, and until it was first sent.
    fn measure_end(&self, request: &Request, outcome: RequestOutcome, now: Timestamp) {
        let head = &request.statement.head;
        let kind = head.kind;
        self.measure(
            DurationKind::Request { kind, outcome },
            now.since(head.arrived),
        );
        if let Some(sent) = request.first_sent() {
            self.measure(DurationKind::Queue, sent.since(head.arrived));
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
        let now = self.environment.clock.now();
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
        (self.environment.connect)(EndpointConnection {
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
        (self.environment.succession)(service, command, self.answers.clone());
    }

    fn deliver(&mut self, id: RequestId, floor: Floor, pin: Option<Pin>) {
        let Some(ran) = self.held.remove(&id) else {
            return;
        };
        if let Some(request) = self.requests.get(&id) {
            let now = self.environment.clock.now();
            let outcome = match ran.verdict {
                Verdict::Done => RequestOutcome::Served,
                _ => RequestOutcome::Failed,
            };
            self.measure_end(request, outcome, now);
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
        let now = self.environment.clock.now();
        if let Some(request) = self.requests.get(&id) {
            let outcome = match refusal {
                Refusal::NotRun { .. } => RequestOutcome::Refused,
                Refusal::Unknown { .. } => RequestOutcome::Unknown,
                _ => RequestOutcome::Failed,
            };
            self.measure_end(request, outcome, now);
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

    fn account(&self) -> GroupStats {
        let (waiting, running) = self.cluster.load();
        let age = self.cluster.sample_age(self.environment.clock.now());
        GroupStats {
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
