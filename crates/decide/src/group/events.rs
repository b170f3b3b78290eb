//! The events that a group processes and the actions that it returns.

use goldcrest_types::{
    Acknowledge, EndpointIx, Floor, Lease, Mark, Outcome, Pin, Refusal, Report, RequestHead,
    RequestId, Role, RoundId, Term, TxState,
};
use smallvec::SmallVec;

use super::EndpointPlan;
use crate::promote;

/// The part of an answer that decisions depend on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// How the request ended.
    pub outcome: Outcome,
    /// What the endpoint had applied after the request.
    pub mark: Mark,
    /// The endpoint's role.
    pub role: Role,
    /// The state of the connection's transaction.
    pub tx: TxState,
}

/// An input to [`Group::step`](super::Group::step).
#[derive(Debug, Clone)]
pub enum Event {
    /// A session made a request.
    Request(RequestHead),
    /// A session cancelled its request.
    Cancel(RequestId),
    /// An endpoint answered.
    Answered {
        /// The request.
        id: RequestId,
        /// The endpoint.
        endpoint: EndpointIx,
        /// The answer's head.
        answer: AnswerHead,
    },
    /// A request's connection broke, or none could be opened.
    Lost {
        /// The request.
        id: RequestId,
        /// The endpoint.
        endpoint: EndpointIx,
        /// Whether any byte of the request may have been sent.
        sent: bool,
    },
    /// An answer exceeded the size limit, and its connection was closed.
    Oversized {
        /// The request.
        id: RequestId,
        /// The endpoint.
        endpoint: EndpointIx,
        /// The limit in bytes.
        limit: usize,
    },
    /// A connection was closed because an answer on it did not belong to the running request.
    Desynchronized,
    /// An endpoint answered a term check.
    Reported {
        /// The endpoint.
        endpoint: EndpointIx,
        /// The round.
        round: RoundId,
        /// The answer.
        report: Report,
    },
    /// An endpoint did not answer a term check.
    CheckFailed {
        /// The endpoint.
        endpoint: EndpointIx,
        /// The round.
        round: RoundId,
    },
    /// An event for the promotion watcher.
    Promotion(promote::Event),
    /// An endpoint is being retired, or no longer is.
    Leaving {
        /// The endpoint.
        endpoint: EndpointIx,
        /// Whether it is being retired.
        leaving: bool,
    },
    /// The rule for acknowledging commits changed.
    Acknowledge(Acknowledge),
    /// An endpoint was added to the group.
    EndpointAdded(EndpointPlan),
    /// This host's rank among the group's watchers changed; `None` if it is no longer one.
    RankChanged(Option<u32>),
    /// The time returned by [`Group::wake`](super::Group::wake) has come.
    Tick,
}

/// An output of [`Group::step`](super::Group::step) that the group's task carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a request to an endpoint.
    Send {
        /// The request.
        id: RequestId,
        /// The endpoint.
        endpoint: EndpointIx,
        /// The lease on the connection; that of the open transaction for a statement inside one.
        lease: Lease,
    },
    /// Deliver the buffered answer to the session.
    Deliver {
        /// The request.
        id: RequestId,
        /// The session's floor from now on.
        floor: Floor,
        /// The transaction that is open after the request, if any.
        pin: Option<Pin>,
    },
    /// Refuse a request towards its session.
    Refuse {
        /// The request.
        id: RequestId,
        /// Why the client gets no answer.
        refusal: Refusal,
        /// The session's floor from now on.
        floor: Floor,
    },
    /// Drop the buffered answer of a request that is sent again or has already been refused.
    Discard(RequestId),
    /// Cancel a request at its endpoint.
    Cancel {
        /// The request.
        id: RequestId,
        /// The endpoint.
        endpoint: EndpointIx,
    },
    /// Cancel a request and close its connection, as its answer is no longer needed.
    Abandon {
        /// The request.
        id: RequestId,
        /// The endpoint.
        endpoint: EndpointIx,
    },
    /// Send a term check to an endpoint.
    Check {
        /// The endpoint.
        endpoint: EndpointIx,
        /// The round.
        round: RoundId,
    },
    /// Carry out a step of a promotion.
    Promotion(promote::Action),
    /// Another endpoint is the primary now.
    PrimaryChanged {
        /// The endpoint.
        endpoint: EndpointIx,
        /// Its term.
        term: Term,
    },
}

/// The actions of one step.
pub type Actions = SmallVec<[Action; 8]>;
