//! The host's controller task: tracks the other hosts, follows the configuration, handles
//! operators' requests and stops the host gracefully.

mod change;
mod configure;
mod convert;
mod gossip;
mod operate;
mod stop;

use std::{collections::BTreeMap, rc::Rc};

use compio::time::timeout_at;
use flume::{Receiver, Sender};
use futures_util::{FutureExt, pin_mut, select_biased};
use goldcrest_decide::{
    configuration::{self, ConfigFollower},
    fleet::{self, Members},
};
use goldcrest_frontend::FrontendHandle;
use goldcrest_operators::{Accepted, ChangeError};
use goldcrest_peers::{Connection, GossipMessage, PeerConnections, WireHead};
use goldcrest_platform_client::Client;
use goldcrest_settings::Settings;
use goldcrest_types::Name;

use crate::{Clock, group::GroupHandle};

pub(crate) use self::change::CurrentRow;

/// A command to the host's controller.
#[derive(Debug)]
pub enum HostCommand {
    /// Stop gracefully, and reply when no session is left or the grace time is over.
    Stop(Sender<()>),
    /// Reply once the host accepts clients.
    Ready(Sender<()>),
    /// Cut the host off from all other hosts, or end the cut.
    #[cfg(feature = "faults")]
    Cut(bool),
}

/// The result of a call that the controller spawned.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// A peer answered a direct or indirect ping. Carries the connection if it was opened for this
    /// ping.
    PingAnswered(Name, GossipMessage, Option<Connection>),
    /// A peer did not answer a direct ping.
    PingFailed(Name, std::net::SocketAddr),
    /// A peer answered a join request, with the hosts that it knows.
    Joined(GossipMessage),
    /// The configuration row was read; `None` if no change was ever made.
    Polled(Option<WireHead>),
    /// A fetch of the declaration with this hash ended, with its text if it was found.
    Fetched(Name, Option<String>),
    /// An operator's change was made, was refused, or has an unknown outcome.
    Changed(Box<ChangeOutcome>),
}

/// The result of an operator's change, and where to report it.
#[derive(Debug)]
pub(crate) struct ChangeOutcome {
    /// The new configuration row, and the declaration if the change stored one.
    pub result: Result<(CurrentRow, Option<String>), ChangeError>,
    pub reply: Sender<Result<Accepted, ChangeError>>,
}

enum Input {
    Command(HostCommand),
    Peer(goldcrest_peers::PeerRequest),
    Operator(goldcrest_operators::OperatorRequest),
    Outcome(Outcome),
    Tick,
    Closed,
}

/// Whether a host is starting, serving clients or leaving the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The host does not know yet which configuration is in force.
    Starting,
    /// The host accepts clients.
    Serving,
    /// The host is stopping gracefully.
    Leaving,
}

/// The channels that the controller receives from.
pub(crate) struct Inputs {
    pub commands: Receiver<HostCommand>,
    pub peer_requests: Receiver<goldcrest_peers::PeerRequest>,
    pub operator_requests: Receiver<goldcrest_operators::OperatorRequest>,
    pub outcomes: Receiver<Outcome>,
}

/// The controller's state.
pub(crate) struct Controller {
    /// The host's settings with the declaration in force.
    pub settings: Rc<Settings>,
    pub clock: Clock,
    pub platform: Client,
    pub frontend: FrontendHandle,
    /// The database groups, by database name.
    pub groups: BTreeMap<Name, GroupHandle>,
    pub members: Members,
    /// Decides which configuration is in force.
    pub follower: ConfigFollower,
    /// Open connections to peers.
    pub peers: PeerConnections,
    /// The text of the declaration in force, if it did not come from the settings file.
    pub declaration: Option<String>,
    pub outcomes: Sender<Outcome>,
    /// Bytes sent to and received from other hosts, estimated.
    pub gossip_bytes: u64,
    /// Whether a seed has answered a join request.
    pub joined: bool,
    pub phase: Phase,
    /// Where to reply once the host accepts clients.
    pub ready_waiters: Vec<Sender<()>>,
    /// Whether the host is cut off from all other hosts, by an injected fault.
    pub cut: bool,
}

impl Controller {
    /// Runs until the host's handles are dropped.
    pub(crate) async fn run(mut self, inputs: Inputs) {
        loop {
            match self.next(&inputs).await {
                Input::Command(HostCommand::Stop(done)) => {
                    self.begin_stop(done);
                }
                Input::Command(HostCommand::Ready(reply)) => {
                    self.ready_waiters.push(reply);
                    self.report_ready();
                }
                #[cfg(feature = "faults")]
                Input::Command(HostCommand::Cut(cut)) => self.cut = cut,
                // A request that is dropped without a reply fails at the peer.
                Input::Peer(_) if self.cut => {}
                Input::Peer(request) => self.handle_peer_request(request),
                Input::Operator(request) => self.handle_operator_request(request).await,
                Input::Outcome(outcome) => self.handle_outcome(outcome),
                Input::Tick => self.tick(),
                Input::Closed => return,
            }
        }
    }

    async fn next(&self, inputs: &Inputs) -> Input {
        let due = self.clock.instant(self.members.wake());
        timeout_at(due, inputs.next()).await.unwrap_or(Input::Tick)
    }

    fn tick(&mut self) {
        self.gossip_step(fleet::Event::Tick);
        self.join();
        self.poll();
    }

    fn handle_outcome(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::PingAnswered(name, message, connection) => {
                self.handle_ping_answer(name, message, connection);
            }
            Outcome::PingFailed(name, address) => {
                self.peers.remove(address);
                self.gossip_step(fleet::Event::TimedOut(name));
            }
            Outcome::Joined(message) => {
                self.joined = true;
                self.handle_gossip(message);
            }
            Outcome::Polled(head) => self.handle_poll(head.as_ref()),
            Outcome::Fetched(hash, text) => self.handle_declaration(&hash, text),
            Outcome::Changed(change) => self.handle_change(*change),
        }
    }

    fn head(&self) -> Option<&configuration::ConfigHead> {
        self.follower.current()
    }
}

impl Inputs {
    async fn next(&self) -> Input {
        let command = self.commands.recv_async().fuse();
        let peer = self.peer_requests.recv_async().fuse();
        let operator = self.operator_requests.recv_async().fuse();
        let outcome = self.outcomes.recv_async().fuse();
        pin_mut!(command, peer, operator, outcome);
        select_biased! {
            item = command => item.map_or(Input::Closed, Input::Command),
            item = outcome => item.map_or(Input::Closed, Input::Outcome),
            item = peer => item.map_or(Input::Closed, Input::Peer),
            item = operator => item.map_or(Input::Closed, Input::Operator),
        }
    }
}
