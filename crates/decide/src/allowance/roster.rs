//! Chooses the hosts that count the operations of a workspace.

use goldcrest_types::{Name, Timestamp};
use smallvec::SmallVec;

use super::rules::COUNTERS;
use crate::owners::{Candidate, score};

/// The counters of a workspace.
pub type Counters = SmallVec<[Name; COUNTERS]>;

/// A host that may count operations.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// The host.
    pub candidate: Candidate,
    /// When it may begin to count, by this host's clock. By then every host that counts knows it.
    pub from: Timestamp,
}

/// The live hosts, as this host knows them.
#[derive(Debug)]
pub(super) struct Roster {
    own: Name,
    members: Vec<Member>,
    /// When this host must stop counting unless it has a newer list by then.
    valid_until: Timestamp,
    /// Since when the list has been the same and valid.
    since: Timestamp,
}

impl Roster {
    pub const fn new(own: Name) -> Self {
        Self {
            own,
            members: Vec::new(),
            valid_until: Timestamp::ZERO,
            since: Timestamp::ZERO,
        }
    }

    pub const fn own(&self) -> &Name {
        &self.own
    }

    /// Returns the region of a host.
    pub fn region(&self, host: &str) -> Option<&Name> {
        let member = self.members.iter().find(|m| m.candidate.host == host);
        member.map(|m| &m.candidate.region)
    }

    /// Returns the roster that follows with a newer list.
    pub fn replaced(&self, members: Vec<Member>, valid_until: Timestamp, now: Timestamp) -> Self {
        let same = |a: &Member, b: &Member| a.candidate == b.candidate;
        let unchanged = members.len() == self.members.len()
            && members.iter().zip(&self.members).all(|(a, b)| same(a, b));
        Self {
            own: self.own.clone(),
            members,
            valid_until: valid_until.max(self.valid_until),
            since: if unchanged && self.is_valid(now) {
                self.since
            } else {
                now
            },
        }
    }

    /// Whether this host may count operations.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        now < self.valid_until
    }

    /// Returns the counters of a workspace: the best of each region, then the best of the rest.
    ///
    /// A host that is chosen among some hosts is chosen among fewer of them too. So hosts with lists of
    /// different age that count at the same time are among the counters by the newest list.
    pub fn counters(&self, workspace: &str, count: usize, now: Timestamp) -> Counters {
        let key = ["allowance\0", workspace].concat();
        let known = self.members.iter().filter(|m| m.from <= now);
        let mut scored: SmallVec<[(f64, &Candidate); 16]> = known
            .map(|m| (score(&key, &m.candidate), &m.candidate))
            .collect();
        scored.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.host.cmp(&b.1.host)));
        let mut regions: SmallVec<[&Name; 8]> = SmallVec::new();
        let mut rest: SmallVec<[&Candidate; 16]> = SmallVec::new();
        let mut chosen: SmallVec<[&Candidate; 16]> = SmallVec::new();
        for (_, candidate) in scored {
            if regions.contains(&&candidate.region) {
                rest.push(candidate);
            } else {
                regions.push(&candidate.region);
                chosen.push(candidate);
            }
        }
        let chosen = chosen.into_iter().chain(rest).take(count);
        chosen.map(|candidate| candidate.host.clone()).collect()
    }

    /// When a host that is listed begins to count, which may change the counters.
    pub fn next_change(&self, now: Timestamp) -> Option<Timestamp> {
        let times = self.members.iter().map(|m| m.from);
        times.filter(|from| *from > now).min()
    }

    /// Returns since when this host has counted, if it is one of the given counters.
    pub fn counts_since(&self, counters: &Counters, now: Timestamp) -> Option<Timestamp> {
        if !self.is_valid(now) || !counters.contains(&self.own) {
            return None;
        }
        let own = self.members.iter().find(|m| m.candidate.host == self.own)?;
        Some(self.since.max(own.from))
    }
}
