//! The task that accepts connections and holds the cancel keys of the sessions.

use std::collections::HashMap;

use compio::net::{TcpListener, TcpStream};
use flume::{Receiver, Sender};
use futures_util::{FutureExt, pin_mut, select_biased};
use goldcrest_stream::{accept::Sockets, budget::HostBudget};
use rand::Rng;
use spdlog::debug;

use crate::{
    ClientError, FrontendCommand, FrontendConfig,
    session::{self, CancelKey, Interrupt},
    startup::{self, AdmittedClient, Started},
};

/// An event that a connection's task reports.
enum Event {
    /// A connection finished its start-up.
    Started(Started),
    /// A session ended.
    SessionEnded(CancelKey),
}

enum Input {
    Connection(TcpStream),
    Command(FrontendCommand),
    Event(Event),
    Stopped,
}

/// The state of the accepting task.
struct Acceptor {
    config: FrontendConfig,
    budget: HostBudget,
    /// The interrupt channels of the open sessions.
    sessions: HashMap<CancelKey, Sender<Interrupt>>,
    events: Sender<Event>,
    /// The number of the newest session. Request ids derive from it.
    last_number: u64,
    /// Whether new sessions are admitted. Until then they are refused: the host is starting.
    admitting: bool,
    /// Whether new sessions are refused because the host is stopping.
    draining: bool,
}

/// Accepts connections until the sender of `commands` is dropped.
pub(crate) async fn run(
    listener: TcpListener,
    config: FrontendConfig,
    budget: HostBudget,
    commands: Receiver<FrontendCommand>,
) {
    let (events, event_receiver) = flume::unbounded();
    let mut acceptor = Acceptor {
        config,
        budget,
        sessions: HashMap::new(),
        events,
        last_number: 0,
        admitting: false,
        draining: false,
    };
    let sockets = Sockets::of(listener);
    loop {
        match next_input(&sockets, &commands, &event_receiver).await {
            Input::Connection(socket) => acceptor.start_client(socket),
            Input::Command(command) => acceptor.handle_command(command),
            Input::Event(event) => acceptor.handle_event(event),
            Input::Stopped => return,
        }
    }
}

async fn next_input(
    sockets: &Sockets,
    commands: &Receiver<FrontendCommand>,
    events: &Receiver<Event>,
) -> Input {
    let connection = sockets.next().fuse();
    let command = commands.recv_async().fuse();
    let event = events.recv_async().fuse();
    pin_mut!(connection, command, event);
    select_biased! {
        got = command => got.map_or(Input::Stopped, Input::Command),
        got = event => got.map_or(Input::Stopped, Input::Event),
        got = connection => Input::Connection(got),
    }
}

impl Acceptor {
    /// Runs the start-up of a connection in a task of its own, so that a slow client delays no
    /// other.
    fn start_client(&self, socket: TcpStream) {
        let config = self.config.clone();
        let events = self.events.clone();
        let account = self.budget.admit();
        compio::runtime::spawn(async move {
            match startup::run(socket, &config, account).await {
                Ok(started) => {
                    // The accepting task runs as long as the host.
                    let _ = events.send(Event::Started(started));
                }
                Err(error) => debug!("the start-up of a client connection failed: {}", error),
            }
        })
        .detach();
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Started(Started::Cancel(pid, secret)) => self.cancel(CancelKey { pid, secret }),
            Event::Started(Started::Session(client)) => self.open_session(*client),
            Event::SessionEnded(key) => {
                self.sessions.remove(&key);
            }
        }
    }

    fn cancel(&self, key: CancelKey) {
        if let Some(interrupts) = self.sessions.get(&key) {
            // The session may just have ended and then has nothing to cancel.
            let _ = interrupts.send(Interrupt::Cancel);
        }
    }

    fn open_session(&mut self, mut client: AdmittedClient) {
        if let Some(error) = self.admission_error() {
            compio::runtime::spawn(async move {
                startup::send_error(&mut client.stream, &error).await;
            })
            .detach();
            return;
        }
        if let Some(account) = client.stream.account() {
            account.started();
        }
        let key = self.new_key();
        let (interrupts, receiver) = flume::unbounded();
        self.sessions.insert(key, interrupts);
        self.last_number += 1;
        let task = session::run(client, self.config.clone(), key, self.last_number, receiver);
        let events = self.events.clone();
        compio::runtime::spawn(async move {
            task.await;
            let _ = events.send(Event::SessionEnded(key));
        })
        .detach();
    }

    fn admission_error(&self) -> Option<ClientError> {
        if self.draining {
            return Some(ClientError::Stopping);
        }
        if !self.admitting {
            return Some(ClientError::Starting);
        }
        let limit = self.config.limits.sessions;
        (self.sessions.len() >= limit).then_some(ClientError::TooManySessions(limit))
    }

    fn new_key(&self) -> CancelKey {
        let mut rng = rand::rng();
        loop {
            let key = CancelKey {
                pid: rng.random_range(1..i32::MAX),
                secret: rng.random(),
            };
            if !self.sessions.contains_key(&key) {
                return key;
            }
        }
    }

    fn handle_command(&mut self, command: FrontendCommand) {
        match command {
            FrontendCommand::Update(config) => self.config = config,
            FrontendCommand::Admit => self.admitting = true,
            FrontendCommand::Drain => self.draining = true,
            FrontendCommand::Stop => {
                self.draining = true;
                for interrupts in self.sessions.values() {
                    // The session may just have ended.
                    let _ = interrupts.send(Interrupt::Stop);
                }
            }
            FrontendCommand::Count(reply) => {
                let _ = reply.send(self.sessions.len());
            }
        }
    }
}
