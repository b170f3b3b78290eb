//! Heartbeats and news between hosts.

use std::net::SocketAddr;

use goldcrest_decide::fleet::{self, Action, Event, PING_TIMEOUT};
use goldcrest_peers::{Connection, GossipMessage, PROTOCOL_VERSION, PeerError, PeerRequest};
use goldcrest_types::Name;
use spdlog::debug;

use super::{Controller, Outcome, Phase, convert};
use crate::group::GroupControl;

/// Hosts that watch each group.
const WATCHERS: usize = 3;

/// Peers that a newcomer asks for hosts at once.
const JOIN_SEEDS: usize = 3;

impl Controller {
    pub(super) fn gossip_step(&mut self, event: Event) {
        let actions = self.members.step(event, self.clock.now());
        for action in actions {
            match action {
                Action::Ping(name, address) => self.ping(name, address),
                Action::RequestPing {
                    helper,
                    target,
                    address,
                } => self.ask_help(helper, target, address),
                Action::Changed => self.rank_groups(),
            }
        }
    }

    /// Asks seeds and the platform's list for hosts, until one answers.
    pub(super) fn join(&mut self) {
        // A host that knows no live host asks again.
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
            let greeting = self.greeting(None);
            let outcomes = self.outcomes.clone();
            compio::runtime::spawn(async move {
                if let Ok(introduced) = introduce(seed, greeting).await {
                    // The controller ends only with its host.
                    let _ = outcomes.send(Outcome::Introduced(introduced));
                }
            })
            .detach();
        }
    }

    fn greeting(&mut self, to: Option<&Name>) -> GossipMessage {
        let news = self.members.updates_for(to);
        let greeting = GossipMessage {
            version: PROTOCOL_VERSION,
            updates: news.into_iter().map(convert::wire_news).collect(),
            serving: self.phase != Phase::Starting,
            head: self.head().map(convert::wire_head),
        };
        self.gossip += size_of_greeting(&greeting);
        greeting
    }

    fn ping(&mut self, name: Name, address: SocketAddr) {
        let greeting = self.greeting(Some(&name));
        let kept = self.peers.get(address);
        let outcomes = self.outcomes.clone();
        if self.cut {
            // The controller ends only with its host.
            let _ = outcomes.send(Outcome::Silent(name, address));
            return;
        }
        compio::runtime::spawn(async move {
            let fresh = kept.is_none();
            let outcome = match ping(kept, address, greeting).await {
                Ok((answer, connection)) => {
                    Outcome::Answered(name, answer, fresh.then_some(connection))
                }
                Err(error) => {
                    debug!("{} did not answer a ping: {}", name, error);
                    Outcome::Silent(name, address)
                }
            };
            let _ = outcomes.send(outcome);
        })
        .detach();
    }

    fn ask_help(&mut self, helper: SocketAddr, target: Name, address: SocketAddr) {
        let greeting = self.greeting(Some(&target));
        let outcomes = self.outcomes.clone();
        if self.cut {
            return;
        }
        compio::runtime::spawn(async move {
            let limit = PING_TIMEOUT * 2;
            let asked = async {
                let connection = Connection::open(helper).await?;
                connection.ping_indirect(address, greeting, limit).await
            };
            if let Ok(answer) = asked.await {
                let _ = outcomes.send(Outcome::Answered(target, answer, None));
            }
        })
        .detach();
    }

    pub(super) fn answered(
        &mut self,
        name: Name,
        greeting: GossipMessage,
        connection: Option<Connection>,
    ) {
        if let Some(connection) = connection
            && let Some(own) = greeting.updates.first()
        {
            self.peers.insert(own.address, &connection);
        }
        self.gossip_step(Event::Answered(name));
        self.greeted(greeting);
    }

    /// Takes in a peer's news and its configuration.
    pub(super) fn greeted(&mut self, greeting: GossipMessage) {
        self.gossip += size_of_greeting(&greeting);
        let from = greeting.updates.first().map(|n| n.address);
        let news = greeting.updates.into_iter().map(convert::news).collect();
        self.gossip_step(Event::Updates(news));
        match greeting.head.as_ref().and_then(convert::head) {
            Some(head) => self.offered(head, from),
            // The peer knows that nothing was ever changed.
            None if greeting.serving && self.head().is_none() => self.serve(),
            None => {}
        }
    }

    pub(super) fn peer(&mut self, call: PeerRequest) {
        match call {
            PeerRequest::Ping(greeting, reply) => {
                let from = greeting.updates.first().map(|n| n.name.clone());
                self.greeted(greeting);
                let answer = self.greeting(from.as_ref());
                // The peer may have given up.
                let _ = reply.send(answer);
            }
            PeerRequest::Join(greeting, reply) => {
                self.greeted(greeting);
                let mut answer = self.greeting(None);
                let known = self.members.join_updates();
                answer.updates = known.into_iter().map(convert::wire_news).collect();
                let _ = reply.send(answer);
            }
            PeerRequest::Document(hash, reply) => {
                let held = self.head().is_some_and(|h| h.hash == hash);
                let _ = reply.send(self.text.clone().filter(|_| held));
            }
        }
    }

    /// Gives this host its rank among the watchers of each group.
    pub(crate) fn rank_groups(&self) {
        let own = &self.settings.host.name;
        for (database, group) in &self.groups {
            let live = self.members.live().map(Name::as_str);
            let rank = fleet::rank(own, live, database, WATCHERS);
            // A group ends only with its host.
            let _ = group.control.send(GroupControl::Rank(rank));
        }
    }
}

async fn ping(
    kept: Option<Connection>,
    address: SocketAddr,
    greeting: GossipMessage,
) -> Result<(GossipMessage, Connection), PeerError> {
    let connection = match kept {
        Some(connection) => connection,
        None => Connection::open(address).await?,
    };
    let answer = connection.ping(greeting, PING_TIMEOUT).await?;
    Ok((answer, connection))
}

async fn introduce(seed: SocketAddr, greeting: GossipMessage) -> Result<GossipMessage, PeerError> {
    let connection = Connection::open(seed).await?;
    connection.join(greeting, PING_TIMEOUT * 5).await
}

/// About the bytes of a greeting on the wire, with its framing.
fn size_of_greeting(greeting: &GossipMessage) -> u64 {
    const FRAMING: usize = 120;
    const HEAD: usize = 80;
    const NEWS: usize = 40;
    let news = greeting
        .updates
        .iter()
        .map(|n| NEWS + n.name.len() + n.zone.len());
    (FRAMING + HEAD + news.sum::<usize>()) as u64
}
