//! The attempts of a request, for the log line that is written at its end.

use std::{fmt::Write, sync::Arc};

use flume::Sender;
use goldcrest_types::{ConnectionId, Guard, Name, Reply, Statement, Timestamp, Verdict};
use smallvec::SmallVec;

/// A request that waits for its reply.
#[derive(Debug)]
pub(crate) struct Request {
    pub statement: Arc<Statement>,
    pub reply: Sender<Reply>,
    attempts: SmallVec<[Attempt; 2]>,
}

/// One attempt of a request.
#[derive(Debug)]
struct Attempt {
    endpoint: Name,
    is_leader: bool,
    guard: Guard,
    connection: ConnectionId,
    sent_at: Timestamp,
    end: Option<(Timestamp, End)>,
}

/// How an attempt ended.
#[derive(Debug)]
enum End {
    Answered(Verdict),
    Lost,
}

impl Request {
    pub(crate) fn new(statement: Arc<Statement>, reply: Sender<Reply>) -> Self {
        Self {
            statement,
            reply,
            attempts: SmallVec::new(),
        }
    }

    /// Records that the request was sent.
    pub(crate) fn record_sent(
        &mut self,
        connection: ConnectionId,
        endpoint: Name,
        is_leader: bool,
        guard: Guard,
        now: Timestamp,
    ) {
        self.attempts.push(Attempt {
            endpoint,
            is_leader,
            guard,
            connection,
            sent_at: now,
            end: None,
        });
    }

    /// Records an answer. Returns when its attempt was sent, and whether it was sent to the leader.
    pub(crate) fn record_answer(
        &mut self,
        connection: ConnectionId,
        verdict: &Verdict,
        now: Timestamp,
    ) -> Option<(Timestamp, bool)> {
        let is_open = |a: &&mut Attempt| a.connection == connection && a.end.is_none();
        let attempt = self.attempts.iter_mut().find(is_open)?;
        attempt.end = Some((now, End::Answered(verdict.clone())));
        Some((attempt.sent_at, attempt.is_leader))
    }

    /// Records that the connection of an attempt was lost.
    pub(crate) fn record_lost(&mut self, connection: ConnectionId, now: Timestamp) {
        for attempt in &mut self.attempts {
            if attempt.connection == connection && attempt.end.is_none() {
                attempt.end = Some((now, End::Lost));
            }
        }
    }

    /// Returns when the request was first sent.
    pub(crate) fn first_sent(&self) -> Option<Timestamp> {
        self.attempts.first().map(|a| a.sent_at)
    }

    /// Formats the attempts in order, with times in milliseconds since the request arrived.
    pub(crate) fn attempts(&self) -> String {
        let arrived = self.statement.head.arrived;
        let since = |at: Timestamp| at.since(arrived).as_millis();
        let mut text = String::new();
        for attempt in &self.attempts {
            if !text.is_empty() {
                text.push_str("; ");
            }
            let role = if attempt.is_leader {
                "leader"
            } else {
                "replica"
            };
            // Writing to a string can't fail.
            let _ = write!(text, "{} ({role}", attempt.endpoint);
            if let Guard::Contains(mark) = attempt.guard {
                let _ = write!(text, ", floor {}.{}", mark.term.0, mark.position.0);
            }
            let _ = write!(text, ") sent at {} ms", since(attempt.sent_at));
            let _ = match &attempt.end {
                Some((at, End::Answered(verdict))) => {
                    write!(text, ", {verdict:?} at {} ms", since(*at))
                }
                Some((at, End::Lost)) => write!(text, ", connection lost at {} ms", since(*at)),
                None => write!(text, ", not answered"),
            };
        }
        text
    }
}
