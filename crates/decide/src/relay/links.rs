//! Opens, checks and closes the links to owners.

use goldcrest_types::{Name, RequestId, Timestamp};
use smallvec::SmallVec;

use super::{
    Action, Actions, IDLE_LIMIT, LEAVING_PAUSE, LinkId, MAX_RETRY_PAUSE, MIN_RETRY_PAUSE,
    PING_TIMEOUT, Relay, SILENCE_LIMIT,
};

/// A link: a connection to an owner.
#[derive(Debug, Clone)]
pub(super) struct Link {
    pub id: LinkId,
    pub owner: Name,
    /// Time since which a reply has been due and nothing has arrived.
    pub waiting_since: Option<Timestamp>,
    /// When a ping was sent that has no answer yet.
    pub pinged_at: Option<Timestamp>,
    /// When it last carried a request or a transaction.
    pub last_used: Timestamp,
}

impl Relay {
    /// Returns the link to a host, and opens one if there is none.
    pub(super) fn link_to(&mut self, owner: &Name, now: Timestamp, out: &mut Actions) -> LinkId {
        if let Some(link) = self.links.iter().find(|l| l.owner == *owner) {
            return link.id;
        }
        self.next_link += 1;
        let id = LinkId(self.next_link);
        self.links.push(Link {
            id,
            owner: owner.clone(),
            waiting_since: None,
            pinged_at: None,
            last_used: now,
        });
        out.push(Action::Open(id, owner.clone()));
        id
    }

    fn link(&mut self, id: LinkId) -> Option<&mut Link> {
        self.links.iter_mut().find(|l| l.id == id)
    }

    /// Records that a request was sent on a link.
    pub(super) fn record_sent(&mut self, id: LinkId, now: Timestamp) {
        if let Some(link) = self.link(id) {
            link.waiting_since = link.waiting_since.or(Some(now));
            link.last_used = now;
        }
    }

    /// Records that something arrived on a link.
    pub(super) fn record_activity(&mut self, id: LinkId, now: Timestamp, out: &mut Actions) {
        let due = self.pending.values().any(|p| p.link == id);
        let Some(link) = self.link(id) else { return };
        link.pinged_at = None;
        link.waiting_since = due.then_some(now);
        let name = link.owner.clone();
        let owner = self.owners.iter_mut().find(|o| o.name == name);
        if let Some(owner) = owner
            && owner.failures > 0
        {
            owner.failures = 0;
            out.push(Action::Reachable(name, true));
        }
    }

    /// Pauses new requests to a host that is shutting down. Its open transactions continue.
    pub(super) fn record_leaving(&mut self, id: LinkId, now: Timestamp) {
        let Some(name) = self.link(id).map(|l| l.owner.clone()) else {
            return;
        };
        if let Some(owner) = self.owners.iter_mut().find(|o| o.name == name) {
            owner.retry_at = now + LEAVING_PAUSE;
        }
    }

    /// Removes a link, and retries or refuses the requests that were pending on it.
    pub(super) fn closed(&mut self, id: LinkId, sent: bool, now: Timestamp, out: &mut Actions) {
        let Some(at) = self.links.iter().position(|l| l.id == id) else {
            return;
        };
        let link = self.links.remove(at);
        self.record_failure(&link.owner, now, out);
        self.transactions
            .retain(|_, transaction| transaction.link != id);
        let lost: SmallVec<[RequestId; 4]> = self
            .pending
            .iter()
            .filter(|(_, request)| request.link == id)
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            if let Some(request) = self.pending.remove(&id) {
                self.request_lost(request, sent, now, out);
            }
        }
    }

    fn record_failure(&mut self, name: &Name, now: Timestamp, out: &mut Actions) {
        let Some(owner) = self.owners.iter_mut().find(|o| o.name == *name) else {
            return;
        };
        if owner.failures == 0 {
            out.push(Action::Reachable(name.clone(), false));
        }
        let pause = MIN_RETRY_PAUSE * (1 << owner.failures.min(3));
        owner.failures += 1;
        owner.retry_at = owner.retry_at.max(now + pause.min(MAX_RETRY_PAUSE));
    }

    /// Pings the owners of silent links, closes links whose ping timed out, and closes unused
    /// links.
    pub(super) fn check_links(&mut self, now: Timestamp, out: &mut Actions) {
        let mut silent: SmallVec<[LinkId; 2]> = SmallVec::new();
        let mut unused: SmallVec<[LinkId; 2]> = SmallVec::new();
        for at in 0..self.links.len() {
            let id = self.links[at].id;
            if self.is_used(id) {
                self.links[at].last_used = now;
            }
            let link = &mut self.links[at];
            match (link.waiting_since, link.pinged_at) {
                (_, Some(pinged_at)) if now.since(pinged_at) >= PING_TIMEOUT => silent.push(id),
                (Some(waiting_since), None) if now.since(waiting_since) >= SILENCE_LIMIT => {
                    link.pinged_at = Some(now);
                    out.push(Action::Ping(id));
                }
                _ if now.since(link.last_used) >= IDLE_LIMIT => unused.push(id),
                _ => {}
            }
        }
        for id in silent {
            out.push(Action::Close(id));
            self.closed(id, true, now, out);
        }
        for id in unused {
            out.push(Action::Close(id));
            self.links.retain(|l| l.id != id);
        }
    }

    fn is_used(&self, id: LinkId) -> bool {
        self.pending.values().any(|p| p.link == id)
            || self.transactions.values().any(|t| t.link == id)
    }

    /// Returns when a link must be pinged or closed if nothing happens on it.
    pub(super) fn link_deadline(&self, link: &Link, now: Timestamp) -> Timestamp {
        match (link.waiting_since, link.pinged_at) {
            (_, Some(pinged_at)) => pinged_at + PING_TIMEOUT,
            (Some(waiting_since), None) => waiting_since + SILENCE_LIMIT,
            _ if self.is_used(link.id) => now + IDLE_LIMIT,
            _ => link.last_used + IDLE_LIMIT,
        }
    }
}
