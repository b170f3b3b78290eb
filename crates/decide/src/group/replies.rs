//! Answers, lost answers and what the session gets of them.

use goldcrest_types::{
    Consistency, EndpointIx, Floor, Kind, Mark, Name, Outcome, Pin, Refusal, RequestId, Timestamp,
    TxState,
};

use super::{Action, Actions, AnswerHead, Group, Sent};
use crate::retry::{LossOutcome, READ_ATTEMPTS, after_loss};

impl Group {
    pub(super) fn answered(
        &mut self,
        id: RequestId,
        endpoint: EndpointIx,
        answer: &AnswerHead,
        now: Timestamp,
        out: &mut Actions,
    ) {
        if let Some(view) = self.view(endpoint) {
            view.heard(answer.mark, answer.role, now);
        }
        let Some(sent) = self.owned(id, endpoint) else {
            return out.push(Action::Discard(id));
        };
        self.unload(endpoint);
        if answer.outcome == Outcome::Declined {
            return self.declined(sent, now, out);
        }
        if answer.tx != TxState::Idle {
            let floor = self.floor_after_read(sent.head.floor, answer.mark);
            return deliver_open(&sent, floor, out);
        }
        match sent.head.kind {
            Kind::Read if sent.head.pin.is_none() => self.read_done(sent, answer.mark, now, out),
            Kind::Rollback => deliver(&sent, sent.head.floor, out),
            _ => self.fence(sent.head, answer.mark, None, now),
        }
    }

    /// Delivers a read whose endpoint still contains all that the read must see.
    ///
    /// The endpoint qualified when the read was sent, and a log only shrinks when its term changes,
    /// so it is enough to look at the mark after the read.
    fn read_done(&mut self, sent: Sent, mark: Mark, now: Timestamp, out: &mut Actions) {
        let Floor::At(floor) = sent.head.floor else {
            return self.again(sent, now, out);
        };
        let floors = self.floors(&sent.head, floor);
        let met = floors.is_some_and(|all| all.iter().all(|&f| self.history.covers(mark, f)));
        if !met {
            return self.again(sent, now, out);
        }
        let floor = self.floor_after_read(sent.head.floor, mark);
        deliver(&sent, floor, out);
    }

    /// The floor of a session that read at `mark`. A floor that is not known stays so until a check
    /// confirms a mark.
    fn floor_after_read(&self, floor: Floor, mark: Mark) -> Floor {
        match (self.plan.consistency, floor) {
            (Consistency::Monotonic, Floor::At(_)) => floor.raised(mark),
            _ => floor,
        }
    }

    /// The endpoint ran nothing: its role or term had changed.
    fn declined(&mut self, sent: Sent, now: Timestamp, out: &mut Actions) {
        self.primary = self.primary.filter(|ix| *ix != sent.endpoint);
        if sent.head.pin.is_some() {
            return refuse(&sent, Refusal::TransactionLost, out);
        }
        out.push(Action::Discard(sent.head.id));
        let Sent { head, .. } = sent;
        self.place(head, 0, now, out);
    }

    pub(super) fn lost(
        &mut self,
        id: RequestId,
        endpoint: EndpointIx,
        bytes_sent: bool,
        now: Timestamp,
        out: &mut Actions,
    ) {
        let Some(sent) = self.owned(id, endpoint) else {
            return;
        };
        self.unload(endpoint);
        if !bytes_sent && let Some(view) = self.view(endpoint) {
            view.unreachable();
        }
        self.resolve_loss(sent, bytes_sent, now, out);
    }

    pub(super) fn resolve_loss(
        &mut self,
        sent: Sent,
        bytes_sent: bool,
        now: Timestamp,
        out: &mut Actions,
    ) {
        match after_loss(&sent.head, bytes_sent) {
            LossOutcome::Retry => self.again(sent, now, out),
            LossOutcome::Unknown => {
                let detail = Name::from("the connection to the endpoint broke after sending");
                self.unknown(&sent.head, detail, out);
            }
            LossOutcome::TransactionLost => refuse(&sent, Refusal::TransactionLost, out),
            LossOutcome::ReadFailed => refuse(&sent, Refusal::Timeout, out),
        }
    }

    /// Sends a request again, within the budget and the tries of a read.
    fn again(&mut self, sent: Sent, now: Timestamp, out: &mut Actions) {
        let exhausted = sent.tries >= READ_ATTEMPTS || !self.budget.try_spend(now);
        if exhausted && sent.head.kind == Kind::Read {
            return refuse(&sent, Refusal::Timeout, out);
        }
        if exhausted {
            let detail = Name::from("the retry budget is spent");
            return self.unknown(&sent.head, detail, out);
        }
        self.counts.retries += 1;
        out.push(Action::Discard(sent.head.id));
        let Sent { head, tries, .. } = sent;
        self.place(head, tries, now, out);
    }

    pub(super) fn oversized(
        &mut self,
        id: RequestId,
        endpoint: EndpointIx,
        limit: usize,
        out: &mut Actions,
    ) {
        let Some(sent) = self.owned(id, endpoint) else {
            return;
        };
        self.unload(endpoint);
        match (sent.head.pin.is_some(), sent.head.kind) {
            (true, kind) if kind != Kind::Commit => refuse(&sent, Refusal::TransactionLost, out),
            (false, Kind::Read) => refuse(&sent, Refusal::TooLarge { limit }, out),
            _ => {
                let detail = Name::from("the answer outgrew the limit");
                self.unknown(&sent.head, detail, out);
            }
        }
    }

    /// Ends the requests whose endpoint is down or replaced, or whose time is over.
    pub(super) fn expire_sent(&mut self, now: Timestamp, out: &mut Actions) {
        let over: Vec<RequestId> = self
            .sent
            .iter()
            .filter(|(_, s)| now >= s.head.deadline || self.is_stranded(s))
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.end_sent(id, now, out);
        }
    }

    /// Whether a request waits for an endpoint that is down, or for a replaced primary.
    fn is_stranded(&self, sent: &Sent) -> bool {
        let Some(view) = self.views.get(sent.endpoint.index()) else {
            return true;
        };
        let read = sent.head.kind == Kind::Read && sent.head.pin.is_none();
        let replaced = self.writable().is_some_and(|p| p != sent.endpoint);
        view.down && (read || replaced)
    }

    fn end_sent(&mut self, id: RequestId, now: Timestamp, out: &mut Actions) {
        let Some(sent) = self.sent.remove(&id) else {
            return;
        };
        let endpoint = sent.endpoint;
        self.unload(endpoint);
        out.push(Action::Abandon { id, endpoint });
        if now < sent.head.deadline {
            return self.resolve_loss(sent, true, now, out);
        }
        match (sent.head.pin.is_some(), sent.head.kind) {
            (false, Kind::Read) => refuse(&sent, Refusal::Timeout, out),
            (true, kind) if kind != Kind::Commit => refuse(&sent, Refusal::TransactionLost, out),
            _ => {
                let detail = Name::from("the endpoint did not answer in time");
                self.unknown(&sent.head, detail, out);
            }
        }
    }

    fn owned(&mut self, id: RequestId, endpoint: EndpointIx) -> Option<Sent> {
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
fn deliver_open(sent: &Sent, floor: Floor, out: &mut Actions) {
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
