//! What happened to a request on its way, for the log line of its end.

use std::{fmt::Write, sync::Arc};

use flume::Sender;
use goldcrest_types::{ConnectionId, Guard, Name, Reply, Statement, Timestamp, Verdict};
use smallvec::SmallVec;

/// A request that waits for its reply.
#[derive(Debug)]
pub(crate) struct Request {
    pub statement: Arc<Statement>,
    pub reply: Sender<Reply>,
    tries: SmallVec<[Try; 2]>,
}

/// One try of a request.
#[derive(Debug)]
struct Try {
    endpoint: Name,
    leads: bool,
    guard: Guard,
    link: ConnectionId,
    sent: Timestamp,
    end: Option<(Timestamp, End)>,
}

/// How a try ended.
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
            tries: SmallVec::new(),
        }
    }

    /// Notes that the request is sent.
    pub(crate) fn note_sent(
        &mut self,
        link: ConnectionId,
        endpoint: Name,
        leads: bool,
        guard: Guard,
        now: Timestamp,
    ) {
        self.tries.push(Try {
            endpoint,
            leads,
            guard,
            link,
            sent: now,
            end: None,
        });
    }

    /// Notes an answer. Returns when its try was sent and whether to the leader.
    pub(crate) fn note_answer(
        &mut self,
        link: ConnectionId,
        verdict: &Verdict,
        now: Timestamp,
    ) -> Option<(Timestamp, bool)> {
        let of_link = |t: &&mut Try| t.link == link && t.end.is_none();
        let tried = self.tries.iter_mut().find(of_link)?;
        tried.end = Some((now, End::Answered(verdict.clone())));
        Some((tried.sent, tried.leads))
    }

    /// Notes that a try's connection is gone.
    pub(crate) fn note_lost(&mut self, link: ConnectionId, now: Timestamp) {
        for tried in &mut self.tries {
            if tried.link == link && tried.end.is_none() {
                tried.end = Some((now, End::Lost));
            }
        }
    }

    /// When the request was first sent.
    pub(crate) fn first_sent(&self) -> Option<Timestamp> {
        self.tries.first().map(|t| t.sent)
    }

    /// The tries in order, with the milliseconds since the request arrived.
    pub(crate) fn tries(&self) -> String {
        let arrived = self.statement.head.arrived;
        let since = |at: Timestamp| at.since(arrived).as_millis();
        let mut told = String::new();
        for tried in &self.tries {
            if !told.is_empty() {
                told.push_str("; ");
            }
            let role = if tried.leads { "leader" } else { "replica" };
            // Writing to a string can't fail.
            let _ = write!(told, "{} ({role}", tried.endpoint);
            if let Guard::Contains(mark) = tried.guard {
                let _ = write!(told, ", floor {}.{}", mark.term.0, mark.position.0);
            }
            let _ = write!(told, ") sent at {} ms", since(tried.sent));
            let _ = match &tried.end {
                Some((at, End::Answered(verdict))) => {
                    write!(told, ", {verdict:?} at {} ms", since(*at))
                }
                Some((at, End::Lost)) => write!(told, ", connection lost at {} ms", since(*at)),
                None => write!(told, ", not answered"),
            };
        }
        told
    }
}
