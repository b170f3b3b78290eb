//! The task of one group: passes messages to its decisions, and carries out the resulting actions.

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
use goldcrest_decide::{
    concurrency::Limit,
    fenced::{Action, Event, FencedGroup, GroupConfig, Member},
};
use goldcrest_types::{
    Answer, ConnectionCommand, ConnectionId, ConnectionNotice, EndpointIx, Floor, Guard, Name,
    Outcome, Pin, Refusal, ReplicationStatus, Reply, RequestId, Role, SessionCommand, Statement,
    StatementResult, StoreNotice, SuccessionCommand, Timestamp, Verdict,
};
use smallvec::SmallVec;
use spdlog::info;

use crate::{
    Control, DiscoveredEndpoint, DurationKind, EndpointConnection, Environment, GroupStats, Handle,
    RequestOutcome, decision_log::DecisionLog, relay, trace::Request,
};

/// Starts a group's task on this thread's runtime.
#[must_use]
pub fn start(config: GroupConfig, environment: Environment) -> Handle {
    let (commands, session_commands) = flume::unbounded();
    let (control, control_messages) = flume::unbounded();
    let (notices, connection_notices) = flume::unbounded();
    let (store_notices, store_answers) = flume::unbounded();
    let inputs = Inputs {
        session_commands,
        control_messages,
        connection_notices,
        store_answers,
    };
    let relay = relay::start(
        config.name.clone(),
        relay::Environment {
            clock: environment.clock,
            host: environment.host.clone(),
            connect: Rc::clone(&environment.connect_host),
            group: commands.clone(),
        },
    );
    let task = Task {
        group: FencedGroup::new(config),
        environment,
        addresses: BTreeMap::new(),
        connections: BTreeMap::new(),
        requests: HashMap::new(),
        held_answers: HashMap::new(),
        notices,
        store_notices,
        decision_log: DecisionLog::default(),
    };
    compio::runtime::spawn(task.run(inputs)).detach();
    Handle {
        commands,
        control,
        relay,
    }
}

struct Inputs {
    session_commands: Receiver<SessionCommand<Statement>>,
    control_messages: Receiver<Control>,
    connection_notices: Receiver<(ConnectionId, ConnectionNotice)>,
    store_answers: Receiver<StoreNotice>,
}

enum Input {
    Session(SessionCommand<Statement>),
    Control(Control),
    Notice(ConnectionId, ConnectionNotice),
    Store(StoreNotice),
    Closed,
}

impl Inputs {
    async fn next(&self) -> Input {
        let command = self.session_commands.recv_async().fuse();
        let control = self.control_messages.recv_async().fuse();
        let notice = self.connection_notices.recv_async().fuse();
        let store = self.store_answers.recv_async().fuse();
        pin_mut!(command, control, notice, store);
        select_biased! {
            got = notice => got.map_or(Input::Closed, |(id, notice)| Input::Notice(id, notice)),
            got = store => got.map_or(Input::Closed, Input::Store),
            got = control => got.map_or(Input::Closed, Input::Control),
            got = command => got.map_or(Input::Closed, Input::Session),
        }
    }
}

/// An open connection to an endpoint.
struct OpenConnection {
    endpoint: Name,
    commands: Sender<ConnectionCommand>,
}

struct Task {
    group: FencedGroup,
    environment: Environment,
    addresses: BTreeMap<Name, SocketAddr>,
    connections: BTreeMap<ConnectionId, OpenConnection>,
    requests: HashMap<RequestId, Request>,
    /// Answers that wait for the decision whether they are delivered.
    held_answers: HashMap<RequestId, StatementResult>,
    notices: Sender<(ConnectionId, ConnectionNotice)>,
    store_notices: Sender<StoreNotice>,
    decision_log: DecisionLog,
}

impl Task {
    async fn run(mut self, inputs: Inputs) {
        loop {
            let wake = self.group.wake(self.environment.clock.now());
            let instant = self.environment.clock.instant(wake);
            match timeout_at(instant, inputs.next()).await {
                Ok(Input::Closed) => return,
                Ok(input) => self.handle(input),
                Err(_) => self.step(Event::Tick),
            }
        }
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Session(SessionCommand::Run(statement, reply)) => {
                let (head, tx_start) = (statement.head.clone(), statement.tx_start);
                self.requests
                    .insert(head.id, Request::new(statement, reply));
                self.step(Event::Request(head, tx_start));
            }
            Input::Session(SessionCommand::Cancel(id)) => {
                self.requests.remove(&id);
                self.step(Event::Cancel(id));
            }
            Input::Session(SessionCommand::Release(endpoint, lease)) => {
                self.step(Event::Release(endpoint, lease));
            }
            Input::Control(Control::Members(listed)) => self.update_members(listed),
            Input::Control(Control::Assign(assignment)) => self.step(Event::Assign(assignment)),
            Input::Control(Control::Stats(reply)) => {
                // The receiver may have timed out.
                let _ = reply.send(self.stats());
            }
            Input::Notice(id, notice) => self.handle_notice(id, notice),
            Input::Store(notice) => self.step(Event::Store(notice)),
            Input::Closed => {}
        }
    }

    fn update_members(&mut self, listed: Vec<DiscoveredEndpoint>) {
        let mut members = SmallVec::new();
        self.addresses.clear();
        for DiscoveredEndpoint { info, address } in listed {
            self.addresses.insert(info.name.clone(), address);
            members.push(info);
        }
        self.step(Event::Members(members));
    }

    fn handle_notice(&mut self, id: ConnectionId, notice: ConnectionNotice) {
        match &notice {
            ConnectionNotice::Answered(request, result) => {
                self.record_answer(id, *request, result);
                self.held_answers.insert(*request, result.clone());
            }
            ConnectionNotice::Closed(under_way) => {
                if let Some((request, _)) = under_way {
                    self.record_lost(id, *request);
                }
                self.connections.remove(&id);
            }
            ConnectionNotice::OpenFailed(_) => {
                self.connections.remove(&id);
            }
            ConnectionNotice::Reported(status) => self.log_status(id, "reported", *status),
            ConnectionNotice::Paused(term, status) => {
                self.log_status(id, &format!("pause at term {}", term.0), *status);
            }
            ConnectionNotice::Resumed(done) => {
                let answer = if *done { "resumed" } else { "not resumed" };
                self.log_status(id, answer, None);
            }
            _ => {}
        }
        self.step(Event::Connection(id, notice));
    }

    fn step(&mut self, event: Event) {
        let now = self.environment.clock.now();
        for action in self.group.step(event, now) {
            self.execute(action);
        }
        self.decision_log.check_endpoints(&self.group, now);
        self.decision_log.check_limits(&self.group, now);
        if let Some(duration) = self.decision_log.check_leader(&self.group, now) {
            self.record_duration(DurationKind::Leaderless, duration);
        }
    }

    /// Logs an endpoint's answer to a command of a survey.
    fn log_status(&mut self, id: ConnectionId, answer: &str, status: Option<ReplicationStatus>) {
        let Some(open) = self.connections.get(&id) else {
            return;
        };
        let now = self.environment.clock.now();
        let service = &self.group.config().name;
        self.decision_log
            .replication_status(service, &open.endpoint, answer, status, now);
    }

    fn record_answer(&mut self, connection: ConnectionId, id: RequestId, result: &StatementResult) {
        let now = self.environment.clock.now();
        let attempt = self.requests.get_mut(&id);
        let attempt = attempt.and_then(|r| r.record_answer(connection, &result.verdict, now));
        if let Some((sent, is_leader)) = attempt {
            self.record_duration(DurationKind::Endpoint { is_leader }, now.since(sent));
        }
    }

    fn record_lost(&mut self, connection: ConnectionId, id: RequestId) {
        let now = self.environment.clock.now();
        if let Some(request) = self.requests.get_mut(&id) {
            request.record_lost(connection, now);
        }
    }

    fn record_duration(&self, kind: DurationKind, duration: Duration) {
        (self.environment.record_duration)(&self.group.config().name, kind, duration);
    }

    /// Records the total duration of a request, and the time until it was first sent.
    fn record_request_end(&self, request: &Request, outcome: RequestOutcome, now: Timestamp) {
        let head = &request.statement.head;
        let kind = head.kind;
        self.record_duration(
            DurationKind::Request { kind, outcome },
            now.since(head.arrived),
        );
        if let Some(sent) = request.first_sent() {
            self.record_duration(DurationKind::Queue, sent.since(head.arrived));
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Open(id, endpoint, workspace) => self.open(id, endpoint, workspace),
            Action::Close(id) => {
                self.connections.remove(&id);
            }
            Action::Evict(eviction) => {
                self.connections.remove(&eviction.connection);
                let now = self.environment.clock.now();
                self.decision_log.evicted(&eviction, &self.group, now);
            }
            Action::Run(id, request, guard) => {
                self.run_statement(id, request, guard);
            }
            Action::Probe(id) => self.command(id, ConnectionCommand::Probe),
            Action::Rollback(id) => self.command(id, ConnectionCommand::Rollback),
            Action::Report(id) => self.command(id, ConnectionCommand::Report),
            Action::Pause(id, term) => self.command(id, ConnectionCommand::Pause(term)),
            Action::Resume(id) => self.command(id, ConnectionCommand::Resume),
            Action::StepDown(id, term) => self.command(id, ConnectionCommand::StepDown(term)),
            Action::Deliver { id, floor, pin } => self.deliver(id, floor, pin),
            Action::Discard(id) => {
                self.held_answers.remove(&id);
            }
            Action::Refuse(id, refusal) => self.refuse(id, refusal),
            Action::Succession(command) => self.send_succession(command),
            Action::LeaderProved(endpoint, term) => {
                DecisionLog::leader_proved(&self.group, &self.name(endpoint), term.0);
            }
        }
    }

    fn run_statement(&mut self, connection: ConnectionId, id: RequestId, guard: Guard) {
        let now = self.environment.clock.now();
        let (Some(request), Some(open)) = (
            self.requests.get_mut(&id),
            self.connections.get(&connection),
        ) else {
            return;
        };
        let is_leader = self.group.leader();
        let is_leader = is_leader.is_some_and(|m| *m.name() == open.endpoint);
        request.record_sent(connection, open.endpoint.clone(), is_leader, guard, now);
        let statement = Arc::clone(&request.statement);
        self.command(connection, ConnectionCommand::Run(statement, guard));
    }

    fn open(&mut self, id: ConnectionId, endpoint: EndpointIx, workspace: Name) {
        let name = self.name(endpoint);
        let Some(address) = self.addresses.get(&name) else {
            return;
        };
        let (commands, receiver) = flume::unbounded();
        let open = OpenConnection {
            endpoint: name.clone(),
            commands,
        };
        self.connections.insert(id, open);
        (self.environment.connect)(EndpointConnection {
            id,
            service: self.group.config().name.clone(),
            endpoint: name,
            workspace,
            address: *address,
            commands: receiver,
            notices: self.notices.clone(),
        });
    }

    fn command(&self, id: ConnectionId, command: ConnectionCommand) {
        if let Some(connection) = self.connections.get(&id) {
            // The task of a closed connection sends its own notice.
            let _ = connection.commands.send(command);
        }
    }

    fn send_succession(&self, command: SuccessionCommand) {
        let service = self.group.config().name.clone();
        info!("succession: {:?}", command, kv: { service = service.as_str() });
        (self.environment.succession)(service, command, self.store_notices.clone());
    }

    fn deliver(&mut self, id: RequestId, floor: Floor, pin: Option<Pin>) {
        let Some(result) = self.held_answers.remove(&id) else {
            return;
        };
        if let Some(request) = self.requests.get(&id) {
            let now = self.environment.clock.now();
            let outcome = match result.verdict {
                Verdict::Done => RequestOutcome::Served,
                _ => RequestOutcome::Failed,
            };
            self.record_request_end(request, outcome, now);
            self.decision_log
                .answered(request, &result.verdict, &self.group, now);
        }
        let answer = Answer {
            outcome: match result.verdict {
                Verdict::Done => Outcome::Done,
                Verdict::NotPrimary => Outcome::Declined,
                Verdict::Failed(code) | Verdict::Refused(code) => Outcome::Failed { code },
                Verdict::Busy | Verdict::Behind | Verdict::Unconfirmed => {
                    Outcome::Failed { code: Name::new() }
                }
            },
            body: result.body,
            mark: result.mark.unwrap_or_default(),
            role: if result.led {
                Role::Primary
            } else {
                Role::Replica
            },
            tx: result.tx,
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
            self.record_request_end(request, outcome, now);
            self.decision_log
                .refused(request, &refusal, &self.group, now);
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
        // The session may have ended.
        let _ = request.reply.send(Reply {
            id,
            result,
            floor,
            pin,
        });
    }

    fn name(&self, endpoint: EndpointIx) -> Name {
        let mut members = self.group.members().iter();
        let member = members.find(|m| m.ix == endpoint);
        member.map(|m| m.name().clone()).unwrap_or_default()
    }

    fn stats(&self) -> GroupStats {
        let (waiting, running) = self.group.load();
        let age = self.group.sample_age(self.environment.clock.now());
        let limits = self.group.members().iter().filter_map(Member::limit);
        let limits = limits.map(Limit::current);
        GroupStats {
            name: self.group.config().name.clone(),
            counts: self.group.counts(),
            waiting,
            running,
            connections: self.connections.len(),
            lowest_limit: limits.min(),
            need: f64::from(self.group.need()),
            sample_age: age.map(|a| a.as_millis()),
        }
    }
}
