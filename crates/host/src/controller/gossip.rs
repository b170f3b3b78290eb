//! Gossip between hosts: pings, joining, and updates about members and the configuration.

use std::net::SocketAddr;

use goldcrest_decide::fleet::{self, Action, Event, PING_TIMEOUT};
use goldcrest_peers::{Connection, GossipMessage, PROTOCOL_VERSION, PeerError, PeerRequest};
use goldcrest_types::Name;
use spdlog::debug;

use super::{Controller, Outcome, Phase, convert};
use crate::group::GroupControl;

/// The number of hosts that watch each group.
const WATCHERS_PER_GROUP: usize = 3;

/// The number of seeds that a joining host contacts at once.
const JOIN_SEEDS: usize = 3;

impl Controller {
    /// Passes an event to the membership decisions and carries out the actions that they return.
    pub(super) fn gossip_step(&mut self, event: Event) {
        let actions = self.members.step(event, self.clock.now());
        for action in actions {
            match action {
                Action::Ping(name, address) => self.ping(name, address),
                Action::RequestPing {
                    helper,
                    target,
                    address,
                } => self.ping_indirectly(helper, target, address),
                Action::Changed => self.rank_groups(),
            }
        }
    }

    /// Sends join requests to the seeds, until one answers.
    pub(super) fn join(&mut self) {
        // A host that knows no other live host joins again.
        self.joined &= self.members.live().count() > 1 || self.settings.host.seeds.is_empty();
        if self.joined || self.cut {
            return;
        }
        let own = self.settings.host.peers;
        let seeds = self.settings.host.seeds.iter().copied();
        let seeds: Vec<SocketAddr> = seeds.filter(|s| *s != own).collect();
        if seeds.is_empty() {
            self.joined = true;
            return;
        }
        for seed in seeds.into_iter().take(JOIN_SEEDS) {
            let message = self.gossip_message(None);
            let outcomes = self.outcomes.clone();
            compio::runtime::spawn(async move {
                if let Ok(answer) = request_join(seed, message).await {
                    // The controller stops only together with its host.
                    let _ = outcomes.send(Outcome::Joined(answer));
                }
            })
            .detach();
        }
    }

    fn gossip_message(&mut self, to: Option<&Name>) -> GossipMessage {
        let updates = self.members.updates_for(to);
        let message = GossipMessage {
            version: PROTOCOL_VERSION,
            updates: updates.into_iter().map(convert::wire_update).collect(),
            serving: self.phase != Phase::Starting,
            head: self.head().map(convert::wire_head),
        };
        self.gossip_bytes += message_bytes(&message);
        message
    }

    fn ping(&mut self, name: Name, address: SocketAddr) {
        let message = self.gossip_message(Some(&name));
        let existing = self.peers.get(address);
        let outcomes = self.outcomes.clone();
        if self.cut {
            // The controller stops only together with its host.
            let _ = outcomes.send(Outcome::PingFailed(name, address));
            return;
        }
        compio::runtime::spawn(async move {
            let is_new = existing.is_none();
            let outcome = match ping(existing, address, message).await {
                Ok((answer, connection)) => {
                    Outcome::PingAnswered(name, answer, is_new.then_some(connection))
                }
                Err(error) => {
                    debug!("{} did not answer a ping: {}", name, error);
                    Outcome::PingFailed(name, address)
                }
            };
            let _ = outcomes.send(outcome);
        })
        .detach();
    }

    /// Sends another host a request to ping a host that did not answer a direct ping.
    fn ping_indirectly(&mut self, helper: SocketAddr, target: Name, address: SocketAddr) {
        let message = self.gossip_message(Some(&target));
        let outcomes = self.outcomes.clone();
        if self.cut {
            return;
        }
        compio::runtime::spawn(async move {
            let limit = PING_TIMEOUT * 2;
            let call = async {
                let connection = Connection::open(helper).await?;
                connection.ping_indirect(address, message, limit).await
            };
            if let Ok(answer) = call.await {
                let _ = outcomes.send(Outcome::PingAnswered(target, answer, None));
            }
        })
        .detach();
    }

    pub(super) fn handle_ping_answer(
        &mut self,
        name: Name,
        message: GossipMessage,
        connection: Option<Connection>,
    ) {
        if let Some(connection) = connection
            && let Some(sender) = message.updates.first()
        {
            self.peers.insert(sender.address, &connection);
        }
        self.gossip_step(Event::Answered(name));
        self.handle_gossip(message);
    }

    /// Processes the member updates and the configuration head of a peer.
    pub(super) fn handle_gossip(&mut self, message: GossipMessage) {
        self.gossip_bytes += message_bytes(&message);
        let from = message.updates.first().map(|u| u.address);
        let updates = message
            .updates
            .into_iter()
            .map(convert::member_update)
            .collect();
        self.gossip_step(Event::Updates(updates));
        match message.head.as_ref().and_then(convert::head) {
            Some(head) => self.handle_head(head, from),
            // The peer serves clients without a head, so no change was ever made.
            None if message.serving && self.head().is_none() => self.serve(),
            None => {}
        }
    }

    pub(super) fn handle_peer_request(&mut self, request: PeerRequest) {
        match request {
            PeerRequest::Ping(message, reply) => {
                let from = message.updates.first().map(|u| u.name.clone());
                self.handle_gossip(message);
                let answer = self.gossip_message(from.as_ref());
                // The peer may have stopped waiting.
                let _ = reply.send(answer);
            }
            PeerRequest::Join(message, reply) => {
                self.handle_gossip(message);
                let mut answer = self.gossip_message(None);
                let updates = self.members.join_updates();
                answer.updates = updates.into_iter().map(convert::wire_update).collect();
                let _ = reply.send(answer);
            }
            PeerRequest::Document(hash, reply) => {
                let current = self.head().is_some_and(|h| h.hash == hash);
                let _ = reply.send(self.declaration.clone().filter(|_| current));
            }
        }
    }

    /// Sends each group the rank of this host among the group's watchers.
    pub(crate) fn rank_groups(&self) {
        let own = &self.settings.host.name;
        for (database, group) in &self.groups {
            let live = self.members.live().map(Name::as_str);
            let rank = fleet::rank(own, live, database, WATCHERS_PER_GROUP);
            // A group's task stops only together with its host.
            let _ = group.control.send(GroupControl::Rank(rank));
        }
    }
}

async fn ping(
    existing: Option<Connection>,
    address: SocketAddr,
    message: GossipMessage,
) -> Result<(GossipMessage, Connection), PeerError> {
    let connection = match existing {
        Some(connection) => connection,
        None => Connection::open(address).await?,
    };
    let answer = connection.ping(message, PING_TIMEOUT).await?;
    Ok((answer, connection))
}

async fn request_join(
    seed: SocketAddr,
    message: GossipMessage,
) -> Result<GossipMessage, PeerError> {
    let connection = Connection::open(seed).await?;
    connection.join(message, PING_TIMEOUT * 5).await
}

/// Estimates the size of a gossip message on the wire with its framing, in bytes.
fn message_bytes(message: &GossipMessage) -> u64 {
    const FRAMING_BYTES: usize = 120;
    const HEAD_BYTES: usize = 80;
    const UPDATE_BYTES: usize = 40;
    let updates = message
        .updates
        .iter()
        .map(|u| UPDATE_BYTES + u.name.len() + u.zone.len());
    (FRAMING_BYTES + HEAD_BYTES + updates.sum::<usize>()) as u64
}
