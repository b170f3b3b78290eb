//! The task that passes a group's requests to the hosts that own its connections: feeds the relay's
//! decisions with messages, and carries out what they say.

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
use goldcrest_decide::relay::{Action, Event, LinkId, Relay, Replied};
use goldcrest_types::{
    Floor, Name, Pin, Refusal, RelayCommand, RelayNotice, Reply, RequestId, SessionCommand,
    Statement,
};
use smallvec::SmallVec;
use spdlog::{info, warn};

use crate::{
    decisions::{Decisions, Relayed},
    directory::Owner,
};

/// What the task of a connection to another host needs.
pub struct HostLink {
    /// The service whose group the other host owns.
    pub service: Name,
    /// Where the other host listens.
    pub address: SocketAddr,
    /// What to do. The connection is closed when the sender is gone.
    pub commands: Receiver<RelayCommand>,
    /// Tells what happens.
    pub notify: Box<dyn Fn(RelayNotice)>,
}

/// The handle of a relay's task. The task ends when all handles are gone.
#[derive(Debug, Clone)]
pub(crate) struct Handle {
    /// Where sessions ask.
    pub asks: Sender<SessionCommand<Statement>>,
    /// Where the directory names the group's owners, in order of preference.
    pub owners: Sender<Vec<Owner>>,
}

/// What a relay's task borrows from its environment.
pub(crate) struct Environment {
    pub clock: Clock,
    /// Starts the task of a connection.
    pub connect: Rc<dyn Fn(HostLink)>,
    /// This host's own group.
    pub group: Sender<SessionCommand<Statement>>,
}

/// Starts the relay of a service on this thread's runtime.
pub(crate) fn start(service: Name, environment: Environment) -> Handle {
    let (asks, asked) = flume::unbounded();
    let (owners, named) = flume::unbounded();
    let (notices, inbox) = flume::unbounded();
    let (own, own_replies) = flume::unbounded();
    let inputs = Inputs {
        asked,
        named,
        inbox,
        own_replies,
    };
    let task = Task {
        service,
        relay: Relay::default(),
        environment,
        addresses: BTreeMap::new(),
        links: BTreeMap::new(),
        requests: HashMap::new(),
        held: HashMap::new(),
        notices,
        own,
        decisions: Decisions::default(),
    };
    compio::runtime::spawn(task.run(inputs)).detach();
    Handle { asks, owners }
}

struct Inputs {
    asked: Receiver<SessionCommand<Statement>>,
    named: Receiver<Vec<Owner>>,
    inbox: Receiver<(LinkId, RelayNotice)>,
    own_replies: Receiver<Reply>,
}

enum Input {
    Ask(SessionCommand<Statement>),
    Owners(Vec<Owner>),
    Notice(LinkId, RelayNotice),
    Over,
}

impl Inputs {
    async fn next(&self) -> Input {
        let ask = self.asked.recv_async().fuse();
        let owners = self.named.recv_async().fuse();
        let notice = self.inbox.recv_async().fuse();
        let own = self.own_replies.recv_async().fuse();
        pin_mut!(ask, owners, notice, own);
        select_biased! {
            got = notice => got.map_or(Input::Over, |(link, notice)| Input::Notice(link, notice)),
            got = own => got.map_or(Input::Over, |reply| {
                Input::Notice(LinkId::OWN, RelayNotice::Replied(reply))
            }),
            got = owners => got.map_or(Input::Over, Input::Owners),
            got = ask => got.map_or(Input::Over, Input::Ask),
        }
    }
}

/// A connection to another host.
struct Open {
    host: Name,
    commands: Sender<RelayCommand>,
}

/// A request that waits for its reply.
struct Request {
    statement: Arc<Statement>,
    reply: Sender<Reply>,
    /// The hosts that it was sent to.
    hosts: SmallVec<[Name; 2]>,
}

struct Task {
    service: Name,
    relay: Relay,
    environment: Environment,
    addresses: BTreeMap<Name, SocketAddr>,
    links: BTreeMap<LinkId, Open>,
    requests: HashMap<RequestId, Request>,
    held: HashMap<RequestId, Reply>,
    notices: Sender<(LinkId, RelayNotice)>,
    /// Where this host's own group replies.
    own: Sender<Reply>,
    decisions: Decisions,
}

impl Task {
    async fn run(mut self, inputs: Inputs) {
        loop {
            let wake = self.relay.wake(self.environment.clock.now());
            let instant = self.environment.clock.instant(wake);
            match timeout_at(instant, inputs.next()).await {
                Ok(Input::Ask(ask)) => self.ask(ask),
                Ok(Input::Owners(owners)) => self.owners(owners),
                Ok(Input::Notice(link, notice)) => self.notice(link, notice),
                Ok(Input::Over) => return,
                Err(_) => self.step(Event::Tick),
            }
        }
    }

    fn ask(&mut self, ask: SessionCommand<Statement>) {
        match ask {
            SessionCommand::Run(statement, reply) => {
                let (head, opening) = (statement.head.clone(), statement.opening);
                let request = Request {
                    statement,
                    reply,
                    hosts: SmallVec::new(),
                };
                self.requests.insert(head.id, request);
                self.step(Event::Ask(head, opening));
            }
            SessionCommand::Cancel(id) => {
                self.requests.remove(&id);
                self.step(Event::Cancel(id));
            }
            SessionCommand::Release(_, lease) => self.step(Event::Release(lease)),
        }
    }

    fn owners(&mut self, owners: Vec<Owner>) {
        let names = owners.iter().map(|owner| owner.host.clone()).collect();
        self.addresses = owners.into_iter().map(|o| (o.host, o.address)).collect();
        self.step(Event::Owners(names));
    }

    fn notice(&mut self, link: LinkId, notice: RelayNotice) {
        match notice {
            RelayNotice::Replied(reply) => {
                let replied = Replied {
                    pin: reply.pin,
                    not_run: match &reply.result {
                        Err(Refusal::NotRun { reason, .. }) => Some(*reason),
                        _ => None,
                    },
                };
                let id = reply.id;
                self.held.insert(id, reply);
                self.step(Event::Replied(link, id, replied));
                // One that nobody waits for is dropped.
                self.held.remove(&id);
            }
            RelayNotice::Pong => self.step(Event::Alive(link)),
            RelayNotice::Closed(sent) => {
                self.links.remove(&link);
                self.step(Event::Closed(link, sent));
            }
        }
    }

    fn step(&mut self, event: Event) {
        let now = self.environment.clock.now();
        for action in self.relay.step(event, now) {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Open(link, host) => self.open(link, &host),
            Action::Close(link) => {
                self.links.remove(&link);
            }
            Action::Send(link, id, pin) => self.send(link, id, pin),
            Action::Cancel(LinkId::OWN, id) => self.ask_own(SessionCommand::Cancel(id)),
            Action::Cancel(link, id) => self.command(link, RelayCommand::Cancel(id)),
            Action::Release(LinkId::OWN, pin) => {
                self.ask_own(SessionCommand::Release(pin.endpoint, pin.lease));
            }
            Action::Release(link, pin) => self.command(link, RelayCommand::Release(pin)),
            Action::Ping(link) => self.command(link, RelayCommand::Ping),
            Action::Deliver(id, pin) => {
                if let Some(reply) = self.held.remove(&id) {
                    self.reply(Reply { pin, ..reply });
                }
            }
            Action::Refuse(id, refusal) => self.refuse(id, refusal),
            Action::Reach(host, true) => info!("host regained", kv: {
                service = self.service.as_str(), host = host.as_str()
            }),
            Action::Reach(host, false) => warn!("host lost", kv: {
                service = self.service.as_str(), host = host.as_str()
            }),
        }
    }

    fn open(&mut self, link: LinkId, host: &Name) {
        let notices = self.notices.clone();
        let notify = move |notice| {
            // The relay that listens owns the connection's task.
            let _ = notices.send((link, notice));
        };
        let Some(address) = self.addresses.get(host) else {
            return notify(RelayNotice::Closed(false));
        };
        let (commands, ordered) = flume::unbounded();
        let open = Open {
            host: host.clone(),
            commands,
        };
        self.links.insert(link, open);
        (self.environment.connect)(HostLink {
            service: self.service.clone(),
            address: *address,
            commands: ordered,
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
        let mut own = (*statement).clone();
        own.head.pin = pin;
        self.ask_own(SessionCommand::Run(own.into(), self.own.clone()));
    }

    fn command(&self, link: LinkId, command: RelayCommand) {
        if let Some(open) = self.links.get(&link) {
            // A connection that just ended tells so itself.
            let _ = open.commands.send(command);
        }
    }

    fn ask_own(&self, ask: SessionCommand<Statement>) {
        // The group ends only with its host.
        let _ = self.environment.group.send(ask);
    }

    fn refuse(&mut self, id: RequestId, refusal: Refusal) {
        let now = self.environment.clock.now();
        if let Some(request) = self.requests.get(&id) {
            let relayed = Relayed {
                statement: &request.statement,
                service: &self.service,
                hosts: &request.hosts,
                running: self.relay.load(),
            };
            self.decisions.relay_refused(&relayed, &refusal, now);
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
            // The session may be gone.
            let _ = request.reply.send(reply);
        }
    }
}
