//! The rules by which a member of a database group keeps its log.

use goldcrest_types::{
    AttemptId, EndpointIx, History, Mark, Position, Report, Role, SealReply, Term, TermStart,
};

/// A primary's word that it lives, and how far its log goes.
#[derive(Debug, Clone)]
pub struct Heartbeat {
    /// The primary.
    pub from: EndpointIx,
    /// The terms of its log.
    pub history: History,
    /// The entries that it holds.
    pub position: Position,
}

/// What a heartbeat meant to a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatOutcome {
    /// The replica lacks entries after this position.
    pub fetch: Option<Position>,
    /// Applied entries were dropped: the state must be built anew from the log.
    pub rebuild: bool,
}

/// One member of a group, with entries of type `E`.
#[derive(Debug, Clone)]
pub struct Replica<E> {
    /// Its index in the group.
    pub ix: EndpointIx,
    /// Its part.
    pub role: Role,
    /// The term whose log it follows.
    pub term: Term,
    /// The highest term that it promised.
    pub promised: Term,
    /// The entries that it holds.
    pub log: Vec<E>,
    /// How many of them it has applied.
    pub applied: usize,
    history: History,
    attempt: Option<AttemptId>,
}

impl<E> Replica<E>
where
    E: Clone,
{
    /// A member of a new group. The first one is primary of term 1.
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

    /// Whether it takes writes.
    #[must_use]
    pub fn is_writable(&self) -> bool {
        self.role == Role::Primary && self.promised == self.term
    }

    /// The entries that it holds.
    #[must_use]
    pub fn held(&self) -> Position {
        Position(self.log.len() as u64)
    }

    /// What it has applied.
    #[must_use]
    pub fn mark(&self) -> Mark {
        Mark {
            term: self.term,
            position: Position(self.applied as u64),
        }
    }

    /// Its answer to a term check.
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

    /// Commits an entry as primary.
    pub fn append(&mut self, entry: E) {
        self.log.push(entry);
        self.applied = self.log.len();
    }

    /// Promises a term to one attempt.
    pub fn seal(&mut self, term: Term, attempt: AttemptId) -> SealReply {
        let again = term == self.promised && self.attempt == Some(attempt);
        if term <= self.promised && !again {
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

    /// Whether a promotion would be accepted.
    #[must_use]
    pub fn may_promote(&self, term: Term, attempt: AttemptId) -> bool {
        let promised = self.promised == term && self.attempt == Some(attempt);
        promised && (self.term != term || self.role == Role::Primary)
    }

    /// Becomes primary of a promised term. The calling task must have applied the whole log first.
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

    /// The word of a primary that it lives.
    #[must_use]
    pub fn heartbeat(&self) -> Option<Heartbeat> {
        (self.role == Role::Primary).then(|| Heartbeat {
            from: self.ix,
            history: self.history.clone(),
            position: self.held(),
        })
    }

    /// Takes a primary's word. Nothing means that the primary is replaced.
    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat) -> Option<HeartbeatOutcome> {
        let term = heartbeat.history.latest();
        if term < self.promised || term < self.term {
            return None;
        }
        let rebuild = term > self.term && self.follow(heartbeat.history.clone());
        let fetch = (self.held() < heartbeat.position).then(|| self.held());
        Some(HeartbeatOutcome { fetch, rebuild })
    }

    /// The entries after a position, if this member ships them.
    #[must_use]
    pub fn entries_after(&self, after: Position) -> Option<Vec<E>> {
        if self.role != Role::Primary {
            return None;
        }
        Some(self.log.get(index(after)..)?.to_vec())
    }

    /// Takes entries that the primary of `term` holds after a position.
    pub fn on_entries(&mut self, term: Term, after: Position, entries: Vec<E>) {
        if term != self.term || term < self.promised || self.role == Role::Primary {
            return;
        }
        let Some(known) = self.log.len().checked_sub(index(after)) else {
            return;
        };
        self.log.extend(entries.into_iter().skip(known));
    }

    /// Takes up the log of a newer primary. Returns whether applied entries were dropped.
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

/// The number of entries that two logs have in common, by the starts of their terms.
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
