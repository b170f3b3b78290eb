//! Dispatches requests to endpoints, or queues them until they can be dispatched.

use goldcrest_types::{
    EndpointIx, Floor, Kind, Lease, Mark, NotRun, Refusal, RequestHead, RequestId, Role, Survival,
    Timestamp,
};
use smallvec::SmallVec;

use super::{Action, Actions, Group, Sent, Wait, Waiting};
use crate::{
    retry::RETRY_AFTER,
    route::{self, CATCH_UP_LIMIT, Candidate, Choice, ReadRequirement, Route, SkipReason},
};

impl Group {
    pub(super) fn on_request(&mut self, head: RequestHead, now: Timestamp, out: &mut Actions) {
        self.budget.record_request();
        self.requested_at = Some(now);
        if let Some(pin) = head.pin {
            return self.send(head, pin.endpoint, pin.lease, 0, out);
        }
        self.dispatch(head, 0, now, out);
    }

    /// Sends a request to an endpoint that may serve it, or queues it.
    pub(super) fn dispatch(
        &mut self,
        head: RequestHead,
        attempts: u8,
        now: Timestamp,
        out: &mut Actions,
    ) {
        match head.kind {
            Kind::Read => self.dispatch_read(head, attempts, now, out),
            Kind::Begin => self.dispatch_begin(head, attempts, now, out),
            Kind::Write | Kind::Commit | Kind::Rollback => self.dispatch_write(head, attempts, out),
        }
    }

    fn dispatch_read(
        &mut self,
        head: RequestHead,
        attempts: u8,
        now: Timestamp,
        out: &mut Actions,
    ) {
        let Floor::At(floor) = head.floor else {
            return self.enqueue(head, attempts, Wait::Floor { since: now }, out);
        };
        if self.history.survival(floor) == Survival::Lost {
            return refuse_lost_write(head.id, floor, out);
        }
        let Some(floors) = self.floors(&head, floor) else {
            return self.enqueue(head, attempts, Wait::Age { since: now }, out);
        };
        let may_wait = now.since(head.arrived) < CATCH_UP_LIMIT;
        let route = self.route(floors, may_wait);
        match route.choice {
            Choice::Serve(ix) => {
                self.count_eligible_read(ix, &route);
                self.rotation = self.rotation.wrapping_add(1);
                let lease = Lease(head.id.0);
                self.send(head, ix, lease, attempts, out);
            }
            Choice::Wait | Choice::Unavailable => self.enqueue(head, attempts, Wait::Endpoint, out),
        }
    }

    fn dispatch_begin(
        &mut self,
        head: RequestHead,
        attempts: u8,
        now: Timestamp,
        out: &mut Actions,
    ) {
        let Floor::At(floor) = head.floor else {
            return self.enqueue(head, attempts, Wait::Floor { since: now }, out);
        };
        if self.history.survival(floor) == Survival::Lost {
            return refuse_lost_write(head.id, floor, out);
        }
        let up_to_date = self.writable_primary().filter(|ix| {
            let view = self.views.get(ix.index());
            view.is_some_and(|v| self.history.covers(v.mark, floor))
        });
        let Some(ix) = up_to_date else {
            return self.enqueue(head, attempts, Wait::Primary, out);
        };
        let lease = Lease(head.id.0);
        self.send(head, ix, lease, attempts, out);
    }

    fn dispatch_write(&mut self, head: RequestHead, attempts: u8, out: &mut Actions) {
        if let Floor::At(floor) = head.floor
            && self.history.survival(floor) == Survival::Lost
        {
            return refuse_lost_write(head.id, floor, out);
        }
        let Some(ix) = self.writable_primary() else {
            return self.enqueue(head, attempts, Wait::Primary, out);
        };
        let lease = Lease(head.id.0);
        self.send(head, ix, lease, attempts, out);
    }

    /// The marks that the serving endpoint must contain. `None` if no confirmed position is recent
    /// enough for the read's maximum age.
    pub(super) fn floors(&self, head: &RequestHead, floor: Mark) -> Option<SmallVec<[Mark; 2]>> {
        let mut floors = SmallVec::from_iter([floor]);
        if let Some(age) = head.max_age {
            let since = head.arrived.before(age);
            floors.push(self.rounds.confirmed_since(since, &self.history)?);
        }
        Some(floors)
    }

    pub(super) fn route(&self, floors: SmallVec<[Mark; 2]>, may_wait: bool) -> Route {
        let need = ReadRequirement {
            floors,
            history: &self.history,
            may_wait,
        };
        let candidates: SmallVec<[Candidate; 4]> = self.candidates().collect();
        route::choose(&candidates, &need, self.rotation)
    }

    fn candidates(&self) -> impl Iterator<Item = Candidate> + '_ {
        let views = self.views.iter().enumerate();
        views.filter_map(|(i, v)| Some(v.candidate(EndpointIx(u16::try_from(i).ok()?))))
    }

    pub(super) fn send(
        &mut self,
        head: RequestHead,
        endpoint: EndpointIx,
        lease: Lease,
        attempts: u8,
        out: &mut Actions,
    ) {
        if let Some(view) = self.view(endpoint) {
            view.load += 1;
            let replica = view.role == Role::Replica;
            self.count_read(&head, replica);
        }
        let id = head.id;
        out.push(Action::Send {
            id,
            endpoint,
            lease,
        });
        let sent = Sent {
            head,
            endpoint,
            lease,
            attempts: attempts + 1,
        };
        self.sent.insert(id, sent);
    }

    /// Counts a read that at least one replica was eligible to serve.
    fn count_eligible_read(&mut self, chosen: EndpointIx, route: &Route) {
        let outranked = route
            .skipped
            .iter()
            .filter(|(_, r)| *r == SkipReason::Outranked);
        let mut eligible = outranked.map(|(ix, _)| *ix).chain([chosen]);
        let role = |ix: EndpointIx| self.views.get(ix.index()).map(|v| v.role);
        if eligible.any(|ix| role(ix) == Some(Role::Replica)) {
            self.counts.replica_eligible += 1;
        }
    }

    fn count_read(&mut self, head: &RequestHead, replica: bool) {
        match (head.kind, head.pin, replica) {
            (Kind::Read, None, true) => self.counts.replica_reads += 1,
            (Kind::Read, None, false) => self.counts.primary_reads += 1,
            _ => {}
        }
    }

    fn enqueue(&mut self, head: RequestHead, attempts: u8, wait: Wait, out: &mut Actions) {
        if attempts >= crate::retry::MAX_ATTEMPTS {
            return self.refuse(&head, NotRun::Behind, out);
        }
        self.waiting.insert(
            head.id,
            Waiting {
                head,
                wait,
                attempts,
            },
        );
    }

    pub(super) fn refuse(&mut self, head: &RequestHead, reason: NotRun, out: &mut Actions) {
        self.counts.refused += 1;
        out.push(Action::Refuse {
            id: head.id,
            refusal: Refusal::NotRun {
                reason,
                retry: (reason != NotRun::Cancelled).then_some(RETRY_AFTER),
            },
            floor: head.floor,
        });
    }
}

/// Refuses a request whose session relies on a write that a failover dropped. The floor is reset, so
/// that it is determined again for the session's next request.
fn refuse_lost_write(id: RequestId, floor: Mark, out: &mut Actions) {
    out.push(Action::Refuse {
        id,
        refusal: Refusal::WriteLost { floor },
        floor: Floor::Unknown,
    });
}
