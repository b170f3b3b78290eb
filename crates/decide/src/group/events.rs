//! What happens to a group, and what it says to do.

use goldcrest_types::{
    Acknowledge, EndpointIx, Floor, Lease, Mark, Outcome, Pin, Refusal, Report, RequestHead,
    RequestId, Role, RoundId, Term, TxState,
};
use smallvec::SmallVec;

use super::EndpointPlan;
use crate::promote;

/// The part of an answer that decisions look at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// How the request ended.
    pub outcome: Outcome,
    /// What the endpoint had applied after it.
    pub mark: Mark,
    /// The endpoint's part.
    pub role: Role,
    /// Whether a transaction is open.
    pub tx: TxState,
}

/// Something that happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// A session asks.
    Request(RequestHead),
    /// A session cancels its request.
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
    /// A request's connection broke, or none could be had.
    Lost {
        /// The request.
        id: RequestId,
        /// The endpoint.
        endpoint: EndpointIx,
        /// Whether any byte of the request may have been sent.
        sent: bool,
    },
    /// An answer outgrew the limit, and its connection was closed.
    Oversized {
        /// The request.
        id: RequestId,
        /// The endpoint.
        endpoint: EndpointIx,
        /// The limit in bytes.
        limit: usize,
    },
    /// An endpoint answered a check.
    Reported {
        /// The endpoint.
        endpoint: EndpointIx,
        /// The round.
        round: RoundId,
        /// The answer.
        report: Report,
    },
    /// An endpoint did not answer a check.
    CheckFailed {
        /// The endpoint.
        endpoint: EndpointIx,
        /// The round.
        round: RoundId,
    },
    /// Something happened to a promotion.
    Promotion(promote::Event),
    /// An endpoint is being retired, or is back.
    Leaving {
        /// The endpoint.
        endpoint: EndpointIx,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// Another rule for acknowledging is in force.
    Acknowledge(Acknowledge),
    /// The group has a further endpoint.
    EndpointAdded(EndpointPlan),
    /// This host's rank among the group's watchers changed.
    RankChanged(Option<u32>),
    /// The clock moved.
    Tick,
}

/// Something for the group's task to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a request to an endpoint.
    Send {
        /// The request.
        id: RequestId,
        /// The endpoint.
        endpoint: EndpointIx,
        /// The connection's hold: an old one for a statement of an open transaction.
        lease: Lease,
    },
    /// Give the held answer to the session.
    Deliver {
        /// The request.
        id: RequestId,
        /// The session's floor from now on.
        floor: Floor,
        /// The open transaction.
        pin: Option<Pin>,
    },
    /// Tell the session why it gets no answer.
    Refuse {
        /// The request.
        id: RequestId,
        /// Why.
        refusal: Refusal,
        /// The session's floor from now on.
        floor: Floor,
    },
    /// Drop the held answer of a request that is sent again.
    Discard(RequestId),
    /// Ask an endpoint to cancel a request.
    Cancel {
        /// The request.
        id: RequestId,
        /// The endpoint.
        endpoint: EndpointIx,
    },
    /// Cancel a request and close its connection: nobody waits for its answer.
    Abandon {
        /// The request.
        id: RequestId,
        /// The endpoint.
        endpoint: EndpointIx,
    },
    /// Send a check to an endpoint.
    Check {
        /// The endpoint.
        endpoint: EndpointIx,
        /// The round.
        round: RoundId,
    },
    /// A step of a promotion.
    Promotion(promote::Action),
    /// A new primary took over.
    PrimaryChanged {
        /// The endpoint.
        endpoint: EndpointIx,
        /// Its term.
        term: Term,
    },
}

/// The actions of one step.
pub type Actions = SmallVec<[Action; 8]>;
