//! The log replication rules of a database group's member.

use goldcrest_types::{
    AttemptId, EndpointIx, History, Mark, Position, Report, Role, SealReply, Term, TermStart,
};

/// A primary's heartbeat, which reports the length and the terms of its log to the replicas.
#[derive(Debug, Clone)]
pub struct Heartbeat {
    /// The primary.
    pub from: EndpointIx,
    /// The terms of the primary's log and their first positions.
    pub history: History,
    /// The number of entries in the primary's log.
    pub position: Position,
}

/// What a replica must do after an accepted heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatOutcome {
    /// Fetch the entries after this position, if set.
    pub fetch: Option<Position>,
    /// Rebuild the applied state from the log, since applied entries were dropped.
    pub rebuild: bool,
}

/// One member of a group, with entries of type `E`.
#[derive(Debug, Clone)]
pub struct Replica<E> {
    /// The member's index in the group.
    pub ix: EndpointIx,
    /// The member's role.
    pub role: Role,
    /// The term of the primary whose log the member follows.
    pub term: Term,
    /// The highest term that the member promised to a promotion attempt.
    pub promised: Term,
    /// The log, applied or not.
    pub log: Vec<E>,
    /// The number of applied entries.
    pub applied: usize,
    history: History,
    attempt: Option<AttemptId>,
}

impl<E> Replica<E>
where
    E: Clone,
{
    /// Creates a member of a new group. The member with index 0 is the primary of term 1.
    #[must_use]
    pub fn new(ix: EndpointIx) -> Self {
        let first = ix == EndpointIx(0);
        Self {
            ix,
            role: if first { Role::Primary } else { Role::Replica },
            term: Term(1),
            promised: Term(1),
            log: Vec::new(),
            applied: 0,
            history: History::from_pairs([(1, 0)]),
            attempt: None,
        }
    }

    /// Whether the member accepts writes: a primary does until it promises a newer term.
    #[must_use]
    pub fn is_writable(&self) -> bool {
        self.role == Role::Primary && self.promised == self.term
    }

    /// Returns the length of the log, applied or not.
    #[must_use]
    pub fn held(&self) -> Position {
        Position(self.log.len() as u64)
    }

    /// Returns the term and the number of applied entries.
    #[must_use]
    pub fn mark(&self) -> Mark {
        Mark {
            term: self.term,
            position: Position(self.applied as u64),
        }
    }

    /// Returns the answer to a term check. `connected` is whether a replica has received a heartbeat
    /// recently.
    #[must_use]
    pub fn report(&self, connected: bool) -> Report {
        Report {
            role: self.role,
            promised: self.promised,
            applied: self.mark(),
            held: self.held(),
            connected: connected || self.role == Role::Primary,
            history: self.history.clone(),
        }
    }

    /// Appends and applies an entry, as primary.
    pub fn append(&mut self, entry: E) {
        self.log.push(entry);
        self.applied = self.log.len();
    }

    /// Promises a term to a promotion attempt. A repeated call of the same attempt succeeds again.
    pub fn seal(&mut self, term: Term, attempt: AttemptId) -> SealReply {
        let repeated = term == self.promised && self.attempt == Some(attempt);
        if term <= self.promised && !repeated {
            return SealReply::Refused {
                promised: self.promised,
            };
        }
        self.promised = term;
        self.attempt = Some(attempt);
        SealReply::Sealed {
            held: Mark {
                term: self.term,
                position: self.held(),
            },
        }
    }

    /// Whether a promotion to the term would be accepted.
    #[must_use]
    pub fn accepts_promotion(&self, term: Term, attempt: AttemptId) -> bool {
        let promised = self.promised == term && self.attempt == Some(attempt);
        promised && (self.term != term || self.role == Role::Primary)
    }

    /// Becomes the primary of a promised term, and marks the whole log as applied. The caller must
    /// have applied its entries first.
    pub fn promote(&mut self, term: Term) {
        if self.term == term {
            return;
        }
        self.applied = self.log.len();
        self.role = Role::Primary;
        self.term = term;
        self.history.push(TermStart {
            term,
            start: self.held(),
        });
    }

    /// Returns the heartbeat to send, if this member is a primary.
    #[must_use]
    pub fn heartbeat(&self) -> Option<Heartbeat> {
        (self.role == Role::Primary).then(|| Heartbeat {
            from: self.ix,
            history: self.history.clone(),
            position: self.held(),
        })
    }

    /// Processes a heartbeat, and follows the log of a newer term. Returns `None` if the sender has
    /// been replaced.
    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat) -> Option<HeartbeatOutcome> {
        let term = heartbeat.history.latest();
        if term < self.promised || term < self.term {
            return None;
        }
        let rebuild = term > self.term && self.follow(heartbeat.history.clone());
        let fetch = (self.held() < heartbeat.position).then(|| self.held());
        Some(HeartbeatOutcome { fetch, rebuild })
    }

    /// Returns the entries after a position, if this member is a primary and its log goes that far.
    #[must_use]
    pub fn entries_after(&self, after: Position) -> Option<Vec<E>> {
        if self.role != Role::Primary {
            return None;
        }
        Some(self.log.get(index(after)..)?.to_vec())
    }

    /// Appends the entries that the primary of `term` has after a position. Ignores entries of
    /// another term, and those that would leave a gap.
    pub fn on_entries(&mut self, term: Term, after: Position, entries: Vec<E>) {
        if term != self.term || term < self.promised || self.role == Role::Primary {
            return;
        }
        let Some(known) = self.log.len().checked_sub(index(after)) else {
            return;
        };
        self.log.extend(entries.into_iter().skip(known));
    }

    /// Follows a newer primary: drops the entries that its log lacks. Returns whether applied
    /// entries were dropped.
    fn follow(&mut self, history: History) -> bool {
        let common = common_prefix(&self.history, &history);
        self.log.truncate(index(common));
        self.role = Role::Replica;
        self.term = history.latest();
        self.promised = self.promised.max(self.term);
        self.history = history;
        let rebuild = self.applied > self.log.len();
        self.applied = self.applied.min(self.log.len());
        rebuild
    }
}

/// Returns the number of entries that two logs have in common, by the starts of their terms.
fn common_prefix(old: &History, new: &History) -> Position {
    let pairs = old.starts().iter().zip(new.starts());
    let shared = pairs.take_while(|(a, b)| a == b).count();
    let ends = [old, new]
        .into_iter()
        .filter_map(|h| h.starts().get(shared));
    ends.map(|s| s.start).min().unwrap_or(Position(u64::MAX))
}

fn index(position: Position) -> usize {
    usize::try_from(position.0).unwrap_or(usize::MAX)
}
