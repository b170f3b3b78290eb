//! The connections to owners: when they are opened, checked and given up.

use goldcrest_types::{Name, RequestId, Timestamp};
use smallvec::SmallVec;

use super::{
    Action, Actions, IDLE_LIMIT, LEAVING_FOR, LinkId, PING_LIMIT, QUIET_LIMIT, RETRY_FIRST,
    RETRY_LAST, Relay,
};

/// A connection to an owner.
#[derive(Debug, Clone)]
pub(super) struct Link {
    pub id: LinkId,
    pub owner: Name,
    /// Since when it has owed an answer and said nothing.
    pub asked: Option<Timestamp>,
    /// When it was asked whether it lives.
    pub pinged: Option<Timestamp>,
    /// When it last had a request or a transaction.
    pub used: Timestamp,
}

impl Relay {
    /// The connection to a host, opened if there is none.
    pub(super) fn link_to(&mut self, owner: &Name, now: Timestamp, out: &mut Actions) -> LinkId {
        if let Some(link) = self.links.iter().find(|l| l.owner == *owner) {
            return link.id;
        }
        self.next_link += 1;
        let id = LinkId(self.next_link);
        self.links.push(Link {
            id,
            owner: owner.clone(),
            asked: None,
            pinged: None,
            used: now,
        });
        out.push(Action::Open(id, owner.clone()));
        id
    }

    fn link(&mut self, id: LinkId) -> Option<&mut Link> {
        self.links.iter_mut().find(|l| l.id == id)
    }

    pub(super) fn note_sent(&mut self, id: LinkId, now: Timestamp) {
        if let Some(link) = self.link(id) {
            link.asked = link.asked.or(Some(now));
            link.used = now;
        }
    }

    /// Notes that a connection said something.
    pub(super) fn note_heard(&mut self, id: LinkId, now: Timestamp, out: &mut Actions) {
        let due = self.calls.values().any(|c| c.link == id);
        let Some(link) = self.link(id) else { return };
        link.pinged = None;
        link.asked = due.then_some(now);
        let name = link.owner.clone();
        let owner = self.owners.iter_mut().find(|o| o.name == name);
        if let Some(owner) = owner
            && owner.failures > 0
        {
            owner.failures = 0;
            out.push(Action::Reach(name, true));
        }
    }

    /// Passes over a host that is stopping. Its open transactions go on.
    pub(super) fn note_leaving(&mut self, id: LinkId, now: Timestamp) {
        let Some(name) = self.link(id).map(|l| l.owner.clone()) else {
            return;
        };
        if let Some(owner) = self.owners.iter_mut().find(|o| o.name == name) {
            owner.retry = now + LEAVING_FOR;
        }
    }

    /// Gives up a connection, and decides on what was under way there.
    pub(super) fn closed(&mut self, id: LinkId, sent: bool, now: Timestamp, out: &mut Actions) {
        let Some(at) = self.links.iter().position(|l| l.id == id) else {
            return;
        };
        let link = self.links.remove(at);
        self.note_failure(&link.owner, now, out);
        self.holds.retain(|_, hold| hold.link != id);
        let lost: SmallVec<[RequestId; 4]> = self
            .calls
            .iter()
            .filter(|(_, call)| call.link == id)
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            if let Some(call) = self.calls.remove(&id) {
                self.lost(call, sent, now, out);
            }
        }
    }

    fn note_failure(&mut self, name: &Name, now: Timestamp, out: &mut Actions) {
        let Some(owner) = self.owners.iter_mut().find(|o| o.name == *name) else {
            return;
        };
        if owner.failures == 0 {
            out.push(Action::Reach(name.clone(), false));
        }
        let pause = RETRY_FIRST * (1 << owner.failures.min(3));
        owner.failures += 1;
        owner.retry = owner.retry.max(now + pause.min(RETRY_LAST));
    }

    /// Asks quiet connections whether they live, gives up silent ones, and closes those that
    /// nobody uses.
    pub(super) fn check_links(&mut self, now: Timestamp, out: &mut Actions) {
        let mut silent: SmallVec<[LinkId; 2]> = SmallVec::new();
        let mut unused: SmallVec<[LinkId; 2]> = SmallVec::new();
        for at in 0..self.links.len() {
            let id = self.links[at].id;
            if self.is_used(id) {
                self.links[at].used = now;
            }
            let link = &mut self.links[at];
            match (link.asked, link.pinged) {
                (_, Some(pinged)) if now.since(pinged) >= PING_LIMIT => silent.push(id),
                (Some(asked), None) if now.since(asked) >= QUIET_LIMIT => {
                    link.pinged = Some(now);
                    out.push(Action::Ping(id));
                }
                _ if now.since(link.used) >= IDLE_LIMIT => unused.push(id),
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
        self.calls.values().any(|c| c.link == id) || self.holds.values().any(|h| h.link == id)
    }

    pub(super) fn link_due(&self, link: &Link, now: Timestamp) -> Timestamp {
        match (link.asked, link.pinged) {
            (_, Some(pinged)) => pinged + PING_LIMIT,
            (Some(asked), None) => asked + QUIET_LIMIT,
            _ if self.is_used(link.id) => now + IDLE_LIMIT,
            _ => link.used + IDLE_LIMIT,
        }
    }
}
