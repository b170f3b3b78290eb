//! Opens, checks and closes the links to owners.
//!
//! An owner that is silent may only have been slow. It gets no new requests until it answers again,
//! but what it may be running stays with it until the deadline: a write is neither given up nor sent
//! elsewhere. Only reads are sent to another host as well, and the first reply counts.

use goldcrest_types::{Name, RequestId, Timestamp};
use smallvec::SmallVec;

use super::{
    Action, Actions, DEMAND_WINDOW, IDLE_LIMIT, LATE_ANSWER_LIMIT, LEAVING_PAUSE, LinkId,
    MAX_RETRY_PAUSE, MIN_RETRY_PAUSE, Owner, PING_TIMEOUT, Relay, SILENCE_LIMIT,
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
    /// Whether a ping went unanswered since something last arrived.
    pub silent: bool,
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
            silent: false,
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
        link.silent = false;
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

    /// Pings the owners of links on which a reply is overdue, stops the use of links whose ping
    /// timed out, and closes unused links.
    pub(super) fn check_links(&mut self, now: Timestamp, out: &mut Actions) {
        let mut silent: SmallVec<[LinkId; 2]> = SmallVec::new();
        let mut unused: SmallVec<[LinkId; 2]> = SmallVec::new();
        for at in 0..self.links.len() {
            let id = self.links[at].id;
            let used = self.is_used(id);
            if used {
                self.links[at].last_used = now;
            }
            let link = &mut self.links[at];
            match (link.waiting_since, link.pinged_at) {
                _ if link.silent && !used && now.since(link.last_used) >= LATE_ANSWER_LIMIT => {
                    unused.push(id);
                }
                (_, Some(pinged_at)) if now.since(pinged_at) >= PING_TIMEOUT => silent.push(id),
                (Some(waiting_since), None)
                    if !link.silent && now.since(waiting_since) >= SILENCE_LIMIT =>
                {
                    link.pinged_at = Some(now);
                    out.push(Action::Ping(id));
                }
                _ if now.since(link.last_used) >= IDLE_LIMIT => unused.push(id),
                _ => {}
            }
        }
        for id in silent {
            self.suspend(id, now, out);
        }
        for id in unused {
            out.push(Action::Close(id));
            self.links.retain(|l| l.id != id);
        }
    }

    /// Sends no new requests to the owner of a silent link. Reads that wait on it are sent to
    /// another owner.
    fn suspend(&mut self, id: LinkId, now: Timestamp, out: &mut Actions) {
        let Some(link) = self.link(id) else { return };
        (link.silent, link.pinged_at) = (true, None);
        let name = link.owner.clone();
        self.record_failure(&name, now, out);
        let elsewhere = self.available_owner(now).is_some();
        let reads: SmallVec<[RequestId; 4]> = self
            .pending
            .iter()
            .filter(|(_, p)| elsewhere && p.link == id && p.may_retry_elsewhere())
            .map(|(id, _)| *id)
            .collect();
        for read in reads {
            if let Some(request) = self.pending.remove(&read) {
                self.request_lost(request, true, now, out);
            }
        }
    }

    /// Pings owners that failed, once their pause is over and while there are requests.
    pub(super) fn ping_failed_owners(&mut self, now: Timestamp, out: &mut Actions) {
        let due = |o: &&Owner| self.ping_due(o, now).is_some_and(|at| at <= now);
        let failed: SmallVec<[Name; 2]> = self
            .owners
            .iter()
            .filter(due)
            .map(|o| o.name.clone())
            .collect();
        for name in failed {
            let id = self.link_to(&name, now, out);
            if let Some(link) = self.link(id) {
                link.pinged_at = Some(now);
                link.last_used = now;
                // The link stays open for the answer.
                link.silent = false;
            }
            out.push(Action::Ping(id));
        }
    }

    /// Returns when a failed owner is to be pinged, or `None` if it is not to be pinged.
    pub(super) fn ping_due(&self, owner: &Owner, now: Timestamp) -> Option<Timestamp> {
        let recent = self.last_request?;
        let pinged = self
            .links
            .iter()
            .any(|l| l.owner == owner.name && l.pinged_at.is_some());
        let wanted = owner.failures > 0 && !pinged && now.since(recent) < DEMAND_WINDOW;
        wanted.then_some(owner.retry_at)
    }

    /// Counts the silence of all links from `now` on.
    pub(super) fn restart_silence(&mut self, now: Timestamp) {
        for link in &mut self.links {
            link.waiting_since = link.waiting_since.map(|_| now);
            link.pinged_at = link.pinged_at.map(|_| now);
        }
    }

    fn is_used(&self, id: LinkId) -> bool {
        self.pending.values().any(|p| p.link == id)
            || self.transactions.values().any(|t| t.link == id)
    }

    /// Returns when a link must be pinged, suspended or closed if nothing happens on it.
    pub(super) fn link_deadline(&self, link: &Link, now: Timestamp) -> Timestamp {
        match (link.waiting_since, link.pinged_at) {
            (_, Some(pinged_at)) => pinged_at + PING_TIMEOUT,
            (Some(waiting_since), None) if !link.silent => waiting_since + SILENCE_LIMIT,
            _ if self.is_used(link.id) => now + IDLE_LIMIT,
            _ if link.silent => link.last_used + LATE_ANSWER_LIMIT,
            _ => link.last_used + IDLE_LIMIT,
        }
    }
}
