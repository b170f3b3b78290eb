//! Processes answers and lost connections, and decides what the session receives.

use goldcrest_types::{
    Consistency, EndpointIx, Floor, Kind, Mark, Name, Outcome, Pin, Refusal, RequestId, Timestamp,
    TxState,
};

use super::{Action, Actions, AnswerHead, Group, Sent};
use crate::retry::{LossOutcome, MAX_ATTEMPTS, after_loss};

impl Group {
    pub(super) fn on_answer(
        &mut self,
        id: RequestId,
        endpoint: EndpointIx,
        answer: &AnswerHead,
        now: Timestamp,
        out: &mut Actions,
    ) {
        if let Some(view) = self.view(endpoint) {
            view.apply_answer(answer.mark, answer.role, now);
        }
        let Some(sent) = self.take_sent(id, endpoint) else {
            return out.push(Action::Discard(id));
        };
        self.decrement_load(endpoint);
        if answer.outcome == Outcome::Declined {
            return self.on_declined(sent, now, out);
        }
        if answer.tx != TxState::Idle {
            let floor = self.floor_after_read(sent.head.floor, answer.mark);
            return deliver_in_transaction(&sent, floor, out);
        }
        match sent.head.kind {
            Kind::Read if sent.head.pin.is_none() => self.end_read(sent, answer.mark, now, out),
            Kind::Rollback => deliver(&sent, sent.head.floor, out),
            _ => self.await_fence(sent.head, answer.mark, None, now),
        }
    }

    /// Delivers a read if its endpoint still contains all that the read must see, or retries it.
    ///
    /// The endpoint was eligible when the read was sent, and a log is truncated only at a change of
    /// term, so checking the mark after the read is enough.
    fn end_read(&mut self, sent: Sent, mark: Mark, now: Timestamp, out: &mut Actions) {
        let Floor::At(floor) = sent.head.floor else {
            return self.retry(sent, now, out);
        };
        let floors = self.floors(&sent.head, floor);
        let satisfied = floors.is_some_and(|all| all.iter().all(|&f| self.history.covers(mark, f)));
        if !satisfied {
            return self.retry(sent, now, out);
        }
        let floor = self.floor_after_read(sent.head.floor, mark);
        deliver(&sent, floor, out);
    }

    /// The floor of a session after a read at `mark`. An unknown floor stays unknown until a term
    /// check confirms a mark.
    fn floor_after_read(&self, floor: Floor, mark: Mark) -> Floor {
        match (self.plan.consistency, floor) {
            (Consistency::Monotonic, Floor::At(_)) => floor.raised(mark),
            _ => floor,
        }
    }

    /// Handles an endpoint's refusal to run a request because its role or term had changed.
    fn on_declined(&mut self, sent: Sent, now: Timestamp, out: &mut Actions) {
        self.primary = self.primary.filter(|ix| *ix != sent.endpoint);
        if sent.head.pin.is_some() {
            return refuse(&sent, Refusal::TransactionLost, out);
        }
        out.push(Action::Discard(sent.head.id));
        let Sent { head, .. } = sent;
        self.dispatch(head, 0, now, out);
    }

    pub(super) fn on_loss(
        &mut self,
        id: RequestId,
        endpoint: EndpointIx,
        bytes_sent: bool,
        now: Timestamp,
        out: &mut Actions,
    ) {
        let Some(sent) = self.take_sent(id, endpoint) else {
            return;
        };
        self.decrement_load(endpoint);
        if !bytes_sent && let Some(view) = self.view(endpoint) {
            view.mark_unreachable();
        }
        self.resolve_loss(sent, bytes_sent, now, out);
    }

    /// Retries or refuses a request whose connection was lost.
    pub(super) fn resolve_loss(
        &mut self,
        sent: Sent,
        bytes_sent: bool,
        now: Timestamp,
        out: &mut Actions,
    ) {
        match after_loss(&sent.head, bytes_sent) {
            LossOutcome::Retry => self.retry(sent, now, out),
            LossOutcome::Unknown => {
                let detail = Name::from("the connection to the endpoint broke after sending");
                self.refuse_unknown(&sent.head, detail, out);
            }
            LossOutcome::TransactionLost => refuse(&sent, Refusal::TransactionLost, out),
            LossOutcome::ReadFailed => refuse(&sent, Refusal::Timeout, out),
        }
    }

    /// Sends a request again if the retry budget and [`MAX_ATTEMPTS`] allow it.
    fn retry(&mut self, sent: Sent, now: Timestamp, out: &mut Actions) {
        let exhausted = sent.attempts >= MAX_ATTEMPTS || !self.budget.try_spend(now);
        if exhausted && sent.head.kind == Kind::Read {
            return refuse(&sent, Refusal::Timeout, out);
        }
        if exhausted {
            let detail = Name::from("the retry budget is spent");
            return self.refuse_unknown(&sent.head, detail, out);
        }
        self.counts.retries += 1;
        out.push(Action::Discard(sent.head.id));
        let Sent { head, attempts, .. } = sent;
        self.dispatch(head, attempts, now, out);
    }

    pub(super) fn on_oversized(
        &mut self,
        id: RequestId,
        endpoint: EndpointIx,
        limit: usize,
        out: &mut Actions,
    ) {
        let Some(sent) = self.take_sent(id, endpoint) else {
            return;
        };
        self.decrement_load(endpoint);
        match (sent.head.pin.is_some(), sent.head.kind) {
            (true, kind) if kind != Kind::Commit => refuse(&sent, Refusal::TransactionLost, out),
            (false, Kind::Read) => refuse(&sent, Refusal::TooLarge { limit }, out),
            _ => {
                let detail = Name::from("the answer outgrew the limit");
                self.refuse_unknown(&sent.head, detail, out);
            }
        }
    }

    /// Ends the requests whose endpoint is down or replaced, or whose deadline has passed.
    pub(super) fn expire_sent(&mut self, now: Timestamp, out: &mut Actions) {
        let ended: Vec<RequestId> = self
            .sent
            .iter()
            .filter(|(_, s)| now >= s.head.deadline || self.is_stranded(s))
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.end_request(id, now, out);
        }
    }

    /// Whether a request's endpoint is down and its answer need not be awaited: it is a read that
    /// another endpoint can serve, or the primary was replaced.
    fn is_stranded(&self, sent: &Sent) -> bool {
        let Some(view) = self.views.get(sent.endpoint.index()) else {
            return true;
        };
        let read = sent.head.kind == Kind::Read && sent.head.pin.is_none();
        let replaced = self.writable_primary().is_some_and(|p| p != sent.endpoint);
        view.down && (read || replaced)
    }

    /// Ends a sent request without its answer: retries or refuses it.
    fn end_request(&mut self, id: RequestId, now: Timestamp, out: &mut Actions) {
        let Some(sent) = self.sent.remove(&id) else {
            return;
        };
        let endpoint = sent.endpoint;
        self.decrement_load(endpoint);
        out.push(Action::Abandon { id, endpoint });
        if now < sent.head.deadline {
            return self.resolve_loss(sent, true, now, out);
        }
        match (sent.head.pin.is_some(), sent.head.kind) {
            (false, Kind::Read) => refuse(&sent, Refusal::Timeout, out),
            (true, kind) if kind != Kind::Commit => refuse(&sent, Refusal::TransactionLost, out),
            _ => {
                let detail = Name::from("the endpoint did not answer in time");
                self.refuse_unknown(&sent.head, detail, out);
            }
        }
    }

    fn take_sent(&mut self, id: RequestId, endpoint: EndpointIx) -> Option<Sent> {
        self.sent.get(&id).filter(|s| s.endpoint == endpoint)?;
        self.sent.remove(&id)
    }
}

fn deliver(sent: &Sent, floor: Floor, out: &mut Actions) {
    out.push(Action::Deliver {
        id: sent.head.id,
        floor,
        pin: None,
    });
}

/// Delivers an answer inside an open transaction.
fn deliver_in_transaction(sent: &Sent, floor: Floor, out: &mut Actions) {
    let pin = Pin {
        endpoint: sent.endpoint,
        lease: sent.lease,
    };
    out.push(Action::Deliver {
        id: sent.head.id,
        floor,
        pin: Some(pin),
    });
}

fn refuse(sent: &Sent, refusal: Refusal, out: &mut Actions) {
    out.push(Action::Refuse {
        id: sent.head.id,
        refusal,
        floor: sent.head.floor,
    });
}
