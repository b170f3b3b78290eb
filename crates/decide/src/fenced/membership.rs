//! Tracks the endpoints that discovery lists, and closes idle connections.

use goldcrest_types::{EndpointIx, Timestamp};
use smallvec::SmallVec;

use super::{
    Action, Actions, FencedGroup, IDLE_LIMIT, Member, MemberInfo,
    members::{BORROW_IDLE, ConnectionState},
};
use crate::concurrency::Limit;

impl FencedGroup {
    /// Applies the list of endpoints from discovery.
    pub(super) fn update_members(
        &mut self,
        discovered: SmallVec<[MemberInfo; 4]>,
        now: Timestamp,
        out: &mut Actions,
    ) {
        let restarted: SmallVec<[EndpointIx; 4]> = self
            .members
            .iter()
            .filter(|m| {
                let mut listed = discovered.iter().filter(|p| p.name == m.info.name);
                listed.any(|p| p.incarnation != m.info.incarnation)
            })
            .map(|m| m.ix)
            .collect();
        for ix in restarted {
            self.remove_member(ix, now, out);
        }
        let dropped: SmallVec<[EndpointIx; 4]> = self
            .members
            .iter()
            .filter(|m| !discovered.iter().any(|p| p.name == m.info.name))
            .map(|m| m.ix)
            .collect();
        for ix in dropped {
            self.unlist(ix, now);
        }
        for info in discovered {
            self.record_present(&info.name);
            let known = self.members.iter_mut().find(|m| m.info.name == info.name);
            match known {
                Some(member) => member.update(info, now),
                None => self.add_member(info, now),
            }
        }
    }

    /// Records that discovery does not list an endpoint.
    fn unlist(&mut self, ix: EndpointIx, now: Timestamp) {
        let Some(member) = self.member_mut(ix) else {
            return;
        };
        let listed = !member.unlisted;
        member.unlist(now);
        if listed {
            self.record_absent(ix, now);
        }
    }

    fn add_member(&mut self, info: MemberInfo, now: Timestamp) {
        let ix = EndpointIx(self.next_member);
        self.next_member = self.next_member.wrapping_add(1);
        let limit = self.config.limited.then(|| Limit::new(info.latency * 2));
        let mut member = Member::new(info, ix, now);
        member.limit = limit;
        self.members.push(member);
    }

    /// Removes an endpoint with its connections. Requests that run there are treated as lost.
    pub(super) fn remove_member(&mut self, ix: EndpointIx, now: Timestamp, out: &mut Actions) {
        let Some(at) = self.members.iter().position(|m| m.ix == ix) else {
            return;
        };
        let member = self.members.remove(at);
        for connection in member.connections {
            out.push(Action::Close(connection.id));
            if let ConnectionState::Busy(id, _) = connection.state {
                self.request_lost(id, true, now, out);
            }
        }
        if self.leader == Some(ix) {
            self.clear_leader(now);
        }
    }

    /// Removes endpoints that are no longer listed once nothing runs there. Such a leader goes on
    /// leading until it is replaced, or until it may get no more writes.
    pub(super) fn remove_unlisted(&mut self, now: Timestamp) {
        let drain = self.config.drain;
        let drained = |m: &Member| {
            let since = m.leaving_since.map(|at| now.since(at));
            m.unlisted && since.is_some_and(|since| since >= drain)
        };
        if self.leader().is_some_and(drained) {
            self.clear_leader(now);
        }
        let leader = self.leader;
        self.members
            .retain(|m| !m.unlisted || !m.connections.is_empty() || Some(m.ix) == leader);
    }

    /// Records that no leader is known from now on.
    pub(super) fn clear_leader(&mut self, now: Timestamp) {
        self.leader = None;
        self.leaderless_since = now;
    }

    /// Closes idle connections that exceed this host's share, lead to an endpoint that is shutting
    /// down, or have been idle for too long. One connection per endpoint stays open.
    pub(super) fn close_idle(&mut self, now: Timestamp, out: &mut Actions) {
        let (share, drain) = (self.config.share, self.config.drain);
        // A survey also pauses replicas that are shutting down.
        let surveys = self.succession.is_active() || !self.succession.paused.is_empty();
        let surveyed = self.sync_replicas > 0 && surveys;
        for member in &mut self.members {
            let limit = share + member.borrowed;
            let mut surplus = member.connections.len().saturating_sub(limit);
            let mut borrowed = member.connections.len().saturating_sub(share);
            let is_leader = self.leader == Some(member.ix);
            let leaving = member.leaving_since.is_some_and(|at| {
                (!is_leader && !surveyed) || (member.unlisted && now.since(at) >= drain)
            });
            let mut beyond_one = member.connections.len().saturating_sub(1);
            member.connections.retain(|connection| {
                let ConnectionState::Idle(since) = connection.state else {
                    return true;
                };
                let old = beyond_one > 0 && now.since(since) >= IDLE_LIMIT;
                let unneeded = borrowed > 0 && now.since(since) >= BORROW_IDLE;
                if old || leaving || surplus > 0 || unneeded {
                    beyond_one = beyond_one.saturating_sub(1);
                    surplus = surplus.saturating_sub(1);
                    borrowed = borrowed.saturating_sub(1);
                    out.push(Action::Close(connection.id));
                    return false;
                }
                true
            });
            if member.queued == 0 {
                member.queue_ended(share);
            }
        }
    }
}
