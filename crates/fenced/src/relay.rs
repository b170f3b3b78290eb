//! The task that relays a group's requests to the hosts that own its connections: passes messages
//! to the relay's decisions, and carries out the resulting actions.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
};

use compio::time::timeout_at;
use flume::{Receiver, Sender};
use futures_util::{FutureExt, pin_mut, select_biased};
use goldcrest_clock::Clock;
use goldcrest_decide::relay::{Action, Event, LinkId, Relay, ReplySummary};
use goldcrest_types::{
    Floor, Name, Pin, Refusal, RelayCommand, RelayNotice, Reply, RequestId, SessionCommand,
    Statement,
};
use smallvec::SmallVec;
use spdlog::{info, warn};

use crate::{
    decision_log::{DecisionLog, RelayedRequest},
    directory::Owner,
};

/// What the task of a link, a connection to another host, needs.
pub struct HostLink {
    /// Service whose group the other host owns.
    pub service: Name,
    /// Address of the other host.
    pub address: SocketAddr,
    /// Commands for the link. It is closed when the sender is dropped.
    pub commands: Receiver<RelayCommand>,
    /// Reports an event of the link.
    pub notify: Box<dyn Fn(RelayNotice)>,
}

/// The handle of a relay's task. The task ends when all handles are dropped.
#[derive(Debug, Clone)]
pub(crate) struct Handle {
    /// Commands of sessions.
    pub commands: Sender<SessionCommand<Statement>>,
    /// Lists of the group's owners, in order of preference.
    pub owners: Sender<Vec<Owner>>,
}

/// What a relay's task needs from its host.
pub(crate) struct Environment {
    pub clock: Clock,
    /// Name of this host.
    pub host: Name,
    /// Starts the task of a link.
    pub connect: Rc<dyn Fn(HostLink)>,
    /// Commands to this host's own group.
    pub group: Sender<SessionCommand<Statement>>,
}

/// Starts the relay of a service on this thread's runtime.
pub(crate) fn start(service: Name, environment: Environment) -> Handle {
    let (commands, session_commands) = flume::unbounded();
    let (owners, owner_lists) = flume::unbounded();
    let (notices, link_notices) = flume::unbounded();
    let (local_sender, local_replies) = flume::unbounded();
    let inputs = Inputs {
        session_commands,
        owner_lists,
        link_notices,
        local_replies,
    };
    let task = Task {
        service,
        relay: Relay::new(environment.host.clone()),
        environment,
        addresses: BTreeMap::new(),
        links: BTreeMap::new(),
        requests: HashMap::new(),
        held_replies: HashMap::new(),
        notices,
        local_sender,
        decision_log: DecisionLog::default(),
    };
    compio::runtime::spawn(task.run(inputs)).detach();
    Handle { commands, owners }
}

struct Inputs {
    session_commands: Receiver<SessionCommand<Statement>>,
    owner_lists: Receiver<Vec<Owner>>,
    link_notices: Receiver<(LinkId, RelayNotice)>,
    local_replies: Receiver<Reply>,
}

enum Input {
    Session(SessionCommand<Statement>),
    Owners(Vec<Owner>),
    Notice(LinkId, RelayNotice),
    Closed,
}

impl Inputs {
    async fn next(&self) -> Input {
        let command = self.session_commands.recv_async().fuse();
        let owners = self.owner_lists.recv_async().fuse();
        let notice = self.link_notices.recv_async().fuse();
        let local = self.local_replies.recv_async().fuse();
        pin_mut!(command, owners, notice, local);
        select_biased! {
            got = notice => got.map_or(Input::Closed, |(link, notice)| Input::Notice(link, notice)),
            got = local => got.map_or(Input::Closed, |reply| {
                Input::Notice(LinkId::OWN, RelayNotice::Replied(reply))
            }),
            got = owners => got.map_or(Input::Closed, Input::Owners),
            got = command => got.map_or(Input::Closed, Input::Session),
        }
    }
}

/// An open link to another host.
struct OpenLink {
    host: Name,
    commands: Sender<RelayCommand>,
}

/// A request that waits for its reply.
struct Request {
    statement: Arc<Statement>,
    reply: Sender<Reply>,
    /// Hosts that it was sent to.
    hosts: SmallVec<[Name; 2]>,
}

struct Task {
    service: Name,
    relay: Relay,
    environment: Environment,
    addresses: BTreeMap<Name, SocketAddr>,
    links: BTreeMap<LinkId, OpenLink>,
    requests: HashMap<RequestId, Request>,
    /// Replies that wait for the decision whether they are delivered.
    held_replies: HashMap<RequestId, Reply>,
    notices: Sender<(LinkId, RelayNotice)>,
    /// Where this host's own group sends its replies.
    local_sender: Sender<Reply>,
    decision_log: DecisionLog,
}

impl Task {
    async fn run(mut self, inputs: Inputs) {
        loop {
            let wake = self.relay.wake(self.environment.clock.now());
            let instant = self.environment.clock.instant(wake);
            match timeout_at(instant, inputs.next()).await {
                Ok(Input::Session(command)) => self.handle_command(command),
                Ok(Input::Owners(owners)) => self.update_owners(owners),
                Ok(Input::Notice(link, notice)) => self.handle_notice(link, notice),
                Ok(Input::Closed) => return,
                Err(_) => self.step(Event::Tick),
            }
        }
    }

    fn handle_command(&mut self, command: SessionCommand<Statement>) {
        match command {
            SessionCommand::Run(statement, reply) => {
                let (head, tx_start) = (statement.head.clone(), statement.tx_start);
                let request = Request {
                    statement,
                    reply,
                    hosts: SmallVec::new(),
                };
                self.requests.insert(head.id, request);
                self.step(Event::Request(head, tx_start));
            }
            SessionCommand::Cancel(id) => {
                self.requests.remove(&id);
                self.step(Event::Cancel(id));
            }
            SessionCommand::Release(_, lease) => self.step(Event::Release(lease)),
        }
    }

    fn update_owners(&mut self, owners: Vec<Owner>) {
        let names = owners.iter().map(|owner| owner.host.clone()).collect();
        self.addresses = owners.into_iter().map(|o| (o.host, o.address)).collect();
        self.step(Event::Owners(names));
    }

    fn handle_notice(&mut self, link: LinkId, notice: RelayNotice) {
        match notice {
            RelayNotice::Replied(reply) => {
                let summary = ReplySummary {
                    pin: reply.pin,
                    not_run: match &reply.result {
                        Err(Refusal::NotRun { reason, .. }) => Some(*reason),
                        _ => None,
                    },
                };
                let id = reply.id;
                self.held_replies.insert(id, reply);
                self.step(Event::Replied(link, id, summary));
                // Drops a reply that no session waits for.
                self.held_replies.remove(&id);
            }
            RelayNotice::Pong => self.step(Event::Pong(link)),
            RelayNotice::Closed(sent) => {
                self.links.remove(&link);
                self.step(Event::Closed(link, sent));
            }
        }
    }

    fn step(&mut self, event: Event) {
        let now = self.environment.clock.now();
        for action in self.relay.step(event, now) {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Open(link, host) => self.open(link, &host),
            Action::Close(link) => {
                self.links.remove(&link);
            }
            Action::Send(link, id, pin) => self.send(link, id, pin),
            Action::Cancel(LinkId::OWN, id) => self.send_local(SessionCommand::Cancel(id)),
            Action::Cancel(link, id) => self.command(link, RelayCommand::Cancel(id)),
            Action::Release(LinkId::OWN, pin) => {
                self.send_local(SessionCommand::Release(pin.endpoint, pin.lease));
            }
            Action::Release(link, pin) => self.command(link, RelayCommand::Release(pin)),
            Action::Ping(link) => self.command(link, RelayCommand::Ping),
            Action::Deliver(id, pin) => {
                if let Some(reply) = self.held_replies.remove(&id) {
                    self.reply(Reply { pin, ..reply });
                }
            }
            Action::Refuse(id, refusal) => self.refuse(id, refusal),
            Action::Reachable(host, true) => info!("host regained", kv: {
                service = self.service.as_str(), host = host.as_str()
            }),
            Action::Reachable(host, false) => warn!("host lost", kv: {
                service = self.service.as_str(), host = host.as_str()
            }),
        }
    }

    fn open(&mut self, link: LinkId, host: &Name) {
        let notices = self.notices.clone();
        let notify = move |notice| {
            // Sending can't fail while this task runs, which owns the link's task.
            let _ = notices.send((link, notice));
        };
        let Some(address) = self.addresses.get(host) else {
            return notify(RelayNotice::Closed(false));
        };
        let (commands, receiver) = flume::unbounded();
        let open = OpenLink {
            host: host.clone(),
            commands,
        };
        self.links.insert(link, open);
        (self.environment.connect)(HostLink {
            service: self.service.clone(),
            address: *address,
            commands: receiver,
            notify: Box::new(notify),
        });
    }

    fn send(&mut self, link: LinkId, id: RequestId, pin: Option<Pin>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let host = self.links.get(&link).map(|open| open.host.clone());
        request
            .hosts
            .push(host.unwrap_or_else(|| Name::from("this host")));
        let statement = Arc::clone(&request.statement);
        if link != LinkId::OWN {
            return self.command(link, RelayCommand::Run(statement, pin));
        }
        let mut local = (*statement).clone();
        local.head.pin = pin;
        self.send_local(SessionCommand::Run(local.into(), self.local_sender.clone()));
    }

    fn command(&self, link: LinkId, command: RelayCommand) {
        if let Some(open) = self.links.get(&link) {
            // The task of a closed link sends its own notice.
            let _ = open.commands.send(command);
        }
    }

    fn send_local(&self, command: SessionCommand<Statement>) {
        // The group runs for as long as its host.
        let _ = self.environment.group.send(command);
    }

    fn refuse(&mut self, id: RequestId, refusal: Refusal) {
        let now = self.environment.clock.now();
        if let Some(request) = self.requests.get(&id) {
            let relayed = RelayedRequest {
                statement: &request.statement,
                service: &self.service,
                hosts: &request.hosts,
                running: self.relay.load(),
            };
            self.decision_log.relay_refused(&relayed, &refusal, now);
        }
        self.reply(Reply {
            id,
            result: Err(refusal),
            floor: Floor::Unknown,
            pin: None,
        });
    }

    fn reply(&mut self, reply: Reply) {
        if let Some(request) = self.requests.remove(&reply.id) {
            // The session may have ended.
            let _ = request.reply.send(reply);
        }
    }
}
