//! The host's own task: it knows the other hosts, follows the configuration, answers operators, and
//! stops the host gracefully.

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

/// An order to the host.
#[derive(Debug)]
pub enum HostOrder {
    /// Stop gracefully, and say so when it is done.
    Stop(Sender<()>),
    /// Say when callers are let in.
    Ready(Sender<()>),
    /// Reach no other host, or reach them again.
    #[cfg(feature = "faults")]
    Cut(bool),
}

/// Something that a spawned call brought back.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// A peer answered a ping.
    Answered(Name, GossipMessage, Option<Connection>),
    /// A peer did not answer a direct ping.
    Silent(Name, std::net::SocketAddr),
    /// A peer introduced other hosts.
    Introduced(GossipMessage),
    /// The table was looked at.
    Polled(Option<WireHead>),
    /// A document came, with its hash.
    Fetched(Name, Option<String>),
    /// A change was decided.
    Changed(Box<ChangeOutcome>),
}

/// The end of an operator's change.
#[derive(Debug)]
pub(crate) struct ChangeOutcome {
    pub result: Result<(CurrentRow, Option<String>), ChangeError>,
    pub reply: Sender<Result<Accepted, ChangeError>>,
}

enum Input {
    Order(HostOrder),
    Peer(goldcrest_peers::PeerRequest),
    Operator(goldcrest_operators::Call),
    Outcome(Outcome),
    Tick,
    Over,
}

/// What a host is at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It does not know yet which configuration is in force.
    Starting,
    /// It lets callers in.
    Serving,
    /// It is stopping.
    Leaving,
}

/// The channels that the controller listens to.
pub(crate) struct Inputs {
    pub orders: Receiver<HostOrder>,
    pub peers: Receiver<goldcrest_peers::PeerRequest>,
    pub operators: Receiver<goldcrest_operators::Call>,
    pub outcomes: Receiver<Outcome>,
}

/// The controller's state.
pub(crate) struct Controller {
    pub settings: Rc<Settings>,
    pub clock: Clock,
    pub platform: Client,
    pub front: FrontendHandle,
    pub groups: BTreeMap<Name, GroupHandle>,
    pub members: Members,
    pub follower: ConfigFollower,
    pub peers: PeerConnections,
    pub text: Option<String>,
    pub outcomes: Sender<Outcome>,
    pub gossip: u64,
    pub joined: bool,
    pub phase: Phase,
    pub awaited: Vec<Sender<()>>,
    pub cut: bool,
}

impl Controller {
    /// Runs until the host's orders end.
    pub(crate) async fn run(mut self, inputs: Inputs) {
        loop {
            match self.next(&inputs).await {
                Input::Order(HostOrder::Stop(done)) => {
                    self.begin_stop(done);
                }
                Input::Order(HostOrder::Ready(reply)) => {
                    self.awaited.push(reply);
                    self.tell_ready();
                }
                #[cfg(feature = "faults")]
                Input::Order(HostOrder::Cut(cut)) => self.cut = cut,
                // A call that is dropped unanswered fails at the peer.
                Input::Peer(_) if self.cut => {}
                Input::Peer(call) => self.peer(call),
                Input::Operator(call) => self.operator(call).await,
                Input::Outcome(outcome) => self.outcome(outcome),
                Input::Tick => self.tick(),
                Input::Over => return,
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

    fn outcome(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Answered(name, greeting, connection) => {
                self.answered(name, greeting, connection);
            }
            Outcome::Silent(name, address) => {
                self.peers.remove(address);
                self.gossip_step(fleet::Event::TimedOut(name));
            }
            Outcome::Introduced(greeting) => {
                self.joined = true;
                self.greeted(greeting);
            }
            Outcome::Polled(head) => self.polled(head.as_ref()),
            Outcome::Fetched(hash, text) => self.fetched(&hash, text),
            Outcome::Changed(change) => self.changed(*change),
        }
    }

    fn head(&self) -> Option<&configuration::ConfigHead> {
        self.follower.current()
    }
}

impl Inputs {
    async fn next(&self) -> Input {
        let order = self.orders.recv_async().fuse();
        let peer = self.peers.recv_async().fuse();
        let operator = self.operators.recv_async().fuse();
        let outcome = self.outcomes.recv_async().fuse();
        pin_mut!(order, peer, operator, outcome);
        select_biased! {
            got = order => got.map_or(Input::Over, Input::Order),
            got = outcome => got.map_or(Input::Over, Input::Outcome),
            got = peer => got.map_or(Input::Over, Input::Peer),
            got = operator => got.map_or(Input::Over, Input::Operator),
        }
    }
}
