//! Which endpoints there are, and how long connections to them stay open.

use goldcrest_types::{EndpointIx, Timestamp};
use smallvec::SmallVec;

use super::{Action, Actions, Cluster, IDLE_LIMIT, Member, MemberInfo, members::LinkState};

impl Cluster {
    /// Takes in the endpoints that discovery lists.
    pub(super) fn renew_members(
        &mut self,
        discovered: SmallVec<[MemberInfo; 4]>,
        now: Timestamp,
        out: &mut Actions,
    ) {
        let listed = |m: &Member| {
            let same =
                |p: &&MemberInfo| p.name == m.info.name && p.incarnation == m.info.incarnation;
            discovered.iter().any(|p| same(&p))
        };
        let gone: SmallVec<[EndpointIx; 4]> = self
            .members
            .iter()
            .filter(|m| !listed(m))
            .map(|m| m.ix)
            .collect();
        for ix in gone {
            self.remove_member(ix, now, out);
        }
        for info in discovered {
            let known = self.members.iter_mut().find(|m| m.info.name == info.name);
            match known {
                Some(member) => member.renew(info, now),
                None => self.add_member(info, now),
            }
        }
    }

    fn add_member(&mut self, info: MemberInfo, now: Timestamp) {
        let ix = EndpointIx(self.next_member);
        self.next_member = self.next_member.wrapping_add(1);
        self.members.push(Member::new(info, ix, now));
    }

    /// Forgets an endpoint. What runs there ends when its connections do.
    pub(super) fn remove_member(&mut self, ix: EndpointIx, now: Timestamp, out: &mut Actions) {
        let Some(at) = self.members.iter().position(|m| m.ix == ix) else {
            return;
        };
        let member = self.members.remove(at);
        for link in member.links {
            out.push(Action::Close(link.id));
            if let LinkState::Busy(id, _) = link.state {
                self.lost(id, true, now, out);
            }
        }
        if self.leader == Some(ix) {
            self.forget_leader(now);
        }
    }

    pub(super) fn forget_leader(&mut self, now: Timestamp) {
        self.leader = None;
        self.leaderless = now;
    }

    /// Closes connections that have waited for work for long, all but one an endpoint, those above
    /// this host's share, and those to endpoints that leave.
    pub(super) fn close_idle(&mut self, now: Timestamp, out: &mut Actions) {
        let share = self.plan.share;
        for member in &mut self.members {
            let mut surplus = member.links.len().saturating_sub(share);
            let leaving = member.leaving.is_some() && self.leader != Some(member.ix);
            let mut beyond_one = member.links.len().saturating_sub(1);
            member.links.retain(|link| {
                let LinkState::Idle(since) = link.state else {
                    return true;
                };
                let old = beyond_one > 0 && now.since(since) >= IDLE_LIMIT;
                if old || leaving || surplus > 0 {
                    beyond_one = beyond_one.saturating_sub(1);
                    surplus = surplus.saturating_sub(1);
                    out.push(Action::Close(link.id));
                    return false;
                }
                true
            });
        }
    }
}
