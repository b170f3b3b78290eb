//! Decides which host runs the requests of a group whose connections other hosts own.
//!
//! Answers the load of [`crate::owners`]: requests go to the group's owner in this region, to the
//! next one when that is silent or leaves, and to this host's own connections when none is left.

mod links;

use std::{collections::BTreeMap, time::Duration};

use goldcrest_types::{
    EndpointIx, Kind, Lease, Name, NotRun, Pin, Refusal, RequestHead, RequestId, Timestamp, TxStart,
};
use smallvec::SmallVec;

use self::links::Link;
use crate::{
    owners::Ranking,
    retry::{self, LossOutcome, READ_ATTEMPTS, RetryBudget},
};

/// How long a connection to an owner may say nothing while answers are due before it is asked
/// whether it lives. Ten times the round trip between zones, above most answers.
const QUIET_LIMIT: Duration = Duration::from_millis(150);

/// How long that question may stay unanswered. A slow host takes some hundred milliseconds.
const PING_LIMIT: Duration = Duration::from_millis(350);

/// The first pause before a host that failed is tried again; each failure doubles it.
const RETRY_FIRST: Duration = Duration::from_millis(500);

/// The longest such pause.
const RETRY_LAST: Duration = Duration::from_secs(4);

/// How long a host that is stopping gets no requests. Longer than it takes to stop.
const LEAVING_FOR: Duration = Duration::from_secs(6);

/// How long an owner's answer may be under way after its deadline.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// How long a connection that nobody uses stays open.
const IDLE_LIMIT: Duration = Duration::from_secs(10);

/// The shortest time between two ticks.
const MIN_STEP: Duration = Duration::from_millis(2);

/// The number of a connection to an owner, unique on its host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub u64);

impl LinkId {
    /// Stands for this host's own connections to the endpoints.
    pub const OWN: Self = Self(0);
}

/// What a reply tells that decisions look at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replied {
    /// The open transaction, as its owner numbers it.
    pub pin: Option<Pin>,
    /// Why the request was not run, if it was refused as such.
    pub not_run: Option<NotRun>,
}

/// Something that happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// A session asks for a statement to be run.
    Ask(RequestHead, TxStart),
    /// A session no longer wants its statement.
    Cancel(RequestId),
    /// A session gives up its open transaction.
    Release(Lease),
    /// The group's owners in order of preference. This host itself is left out.
    Owners(Ranking),
    /// A reply came.
    Replied(LinkId, RequestId, Replied),
    /// The host of a connection lives.
    Alive(LinkId),
    /// A connection is gone or could not be opened. Tells whether a request may have been sent.
    Closed(LinkId, bool),
    /// The clock moved.
    Tick,
}

/// Something for the relay's task to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Open a connection to a host. Requests may be sent on it at once.
    Open(LinkId, Name),
    /// Close a connection.
    Close(LinkId),
    /// Send a request, with the pin that its owner knows.
    Send(LinkId, RequestId, Option<Pin>),
    /// Cancel a request.
    Cancel(LinkId, RequestId),
    /// Give up a transaction.
    Release(LinkId, Pin),
    /// Ask whether the host lives.
    Ping(LinkId),
    /// Give the reply to the session, with the pin that the session is to know.
    Deliver(RequestId, Option<Pin>),
    /// Tell the session why it gets no answer.
    Refuse(RequestId, Refusal),
    /// A host no longer answers, or answers again.
    Reach(Name, bool),
}

/// The actions of one step.
pub type Actions = SmallVec<[Action; 4]>;

/// A host that may own the group.
#[derive(Debug, Clone)]
struct Owner {
    name: Name,
    failures: u32,
    retry: Timestamp,
}

/// A request that was sent and not answered.
#[derive(Debug, Clone)]
struct Call {
    head: RequestHead,
    opening: TxStart,
    link: LinkId,
    sent: Timestamp,
    /// Whether an earlier try may have run.
    tried: bool,
    tries: u8,
}

/// Where a transaction is open.
#[derive(Debug, Clone, Copy)]
struct Hold {
    link: LinkId,
    pin: Pin,
}

/// One host's state for a group that other hosts own.
#[derive(Debug, Clone, Default)]
pub struct Relay {
    owners: SmallVec<[Owner; 3]>,
    links: SmallVec<[Link; 2]>,
    calls: BTreeMap<RequestId, Call>,
    holds: BTreeMap<Lease, Hold>,
    budget: RetryBudget,
    next_link: u64,
}

impl Relay {
    /// Takes an event and returns what to do.
    pub fn step(&mut self, event: Event, now: Timestamp) -> Actions {
        let mut out = Actions::new();
        match event {
            Event::Ask(head, opening) => self.ask(head, opening, now, &mut out),
            Event::Cancel(id) => self.cancel(id, &mut out),
            Event::Release(lease) => self.release(lease, &mut out),
            Event::Owners(ranking) => self.renew_owners(ranking),
            Event::Replied(link, id, replied) => self.replied(link, id, &replied, now, &mut out),
            Event::Alive(link) => self.note_heard(link, now, &mut out),
            Event::Closed(link, sent) => self.closed(link, sent, now, &mut out),
            Event::Tick => {}
        }
        self.expire(now, &mut out);
        self.check_links(now, &mut out);
        out
    }

    /// When [`Event::Tick`] is due.
    #[must_use]
    pub fn wake(&self, now: Timestamp) -> Timestamp {
        let links = self.links.iter().map(|l| self.link_due(l, now));
        let calls = self.calls.values().map(Call::expiry);
        let due = links.chain(calls).min();
        due.unwrap_or(now + IDLE_LIMIT).max(now + MIN_STEP)
    }

    /// Requests under way.
    #[must_use]
    pub fn load(&self) -> usize {
        self.calls.len()
    }

    fn ask(&mut self, head: RequestHead, opening: TxStart, now: Timestamp, out: &mut Actions) {
        self.budget.record_request();
        let mut call = Call {
            head,
            opening,
            link: LinkId::OWN,
            sent: now,
            tried: false,
            tries: 0,
        };
        let Some(pin) = call.head.pin else {
            return self.place(call, now, out);
        };
        let Some(hold) = self.holds.get(&pin.lease).copied() else {
            return out.push(Action::Refuse(call.head.id, Refusal::TransactionLost));
        };
        call.link = hold.link;
        self.send(call, Some(hold.pin), now, out);
    }

    /// Sends a request that belongs to no open transaction to the preferred host.
    fn place(&mut self, mut call: Call, now: Timestamp, out: &mut Actions) {
        let owner = self.owners.iter().find(|o| o.retry <= now);
        call.link = match owner.map(|o| o.name.clone()) {
            Some(name) => self.link_to(&name, now, out),
            None => LinkId::OWN,
        };
        self.send(call, None, now, out);
    }

    fn send(&mut self, mut call: Call, pin: Option<Pin>, now: Timestamp, out: &mut Actions) {
        call.sent = now;
        call.tries += 1;
        out.push(Action::Send(call.link, call.head.id, pin));
        self.note_sent(call.link, now);
        self.calls.insert(call.head.id, call);
    }

    fn cancel(&mut self, id: RequestId, out: &mut Actions) {
        if let Some(call) = self.calls.remove(&id) {
            out.push(Action::Cancel(call.link, id));
            if let Some(pin) = call.head.pin {
                self.holds.remove(&pin.lease);
            }
        }
    }

    fn release(&mut self, lease: Lease, out: &mut Actions) {
        if let Some(hold) = self.holds.remove(&lease) {
            out.push(Action::Release(hold.link, hold.pin));
        }
    }

    fn renew_owners(&mut self, ranking: Ranking) {
        let known = std::mem::take(&mut self.owners);
        self.owners = ranking
            .into_iter()
            .map(|name| {
                let old = known.iter().find(|o| o.name == name).cloned();
                old.unwrap_or(Owner {
                    name,
                    failures: 0,
                    retry: Timestamp::ZERO,
                })
            })
            .collect();
    }

    fn replied(
        &mut self,
        link: LinkId,
        id: RequestId,
        replied: &Replied,
        now: Timestamp,
        out: &mut Actions,
    ) {
        let current = self.calls.get(&id).is_some_and(|call| call.link == link);
        let call = if current {
            self.calls.remove(&id)
        } else {
            None
        };
        self.note_heard(link, now, out);
        let Some(call) = call else {
            // Sent elsewhere meanwhile, or given up.
            out.extend(replied.pin.map(|pin| Action::Release(link, pin)));
            return;
        };
        if replied.not_run == Some(NotRun::Stopping) && call.head.pin.is_none() {
            self.note_leaving(link, now);
            return self.again(call, now, out);
        }
        if replied.not_run.is_some() && call.tried {
            // True of the last try only.
            return refuse_unrun(&call, out);
        }
        let pin = self.hold(&call, replied.pin);
        out.push(Action::Deliver(id, pin));
    }

    /// Notes where a request's transaction is open now, under a number of this host.
    fn hold(&mut self, call: &Call, pin: Option<Pin>) -> Option<Pin> {
        let lease = call.head.pin.map_or(Lease(call.head.id.0), |p| p.lease);
        let Some(pin) = pin else {
            self.holds.remove(&lease);
            return None;
        };
        let link = call.link;
        self.holds.insert(lease, Hold { link, pin });
        Some(Pin {
            endpoint: EndpointIx(0),
            lease,
        })
    }

    /// Sends a request again that has not run.
    fn again(&mut self, call: Call, now: Timestamp, out: &mut Actions) {
        if now >= call.head.start_by || call.tries >= READ_ATTEMPTS {
            return refuse_unrun(&call, out);
        }
        self.place(call, now, out);
    }

    /// Decides on a request whose owner is gone.
    fn lost(&mut self, mut call: Call, sent: bool, now: Timestamp, out: &mut Actions) {
        call.tried |= sent;
        let id = call.head.id;
        let fate = match (call.opening, call.head.kind) {
            (TxStart::None, _) | (_, Kind::Commit) => retry::after_loss(&call.head, sent),
            // A transaction that was just opened is rolled back with its connection.
            _ => LossOutcome::Retry,
        };
        match fate {
            LossOutcome::Retry if !sent || self.budget.try_spend(now) => self.again(call, now, out),
            LossOutcome::Retry => refuse_unrun(&call, out),
            LossOutcome::ReadFailed => out.push(Action::Refuse(id, Refusal::Timeout)),
            LossOutcome::TransactionLost => out.push(Action::Refuse(id, Refusal::TransactionLost)),
            LossOutcome::Unknown => {
                let detail = Name::from("the answer of the host that ran it was lost");
                out.push(Action::Refuse(id, Refusal::Unknown { detail }));
            }
        }
    }

    /// Ends what was not answered in time.
    fn expire(&mut self, now: Timestamp, out: &mut Actions) {
        let late = |call: &Call| call.expiry() <= now;
        let over: SmallVec<[RequestId; 4]> = self
            .calls
            .iter()
            .filter(|(_, call)| late(call))
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            if let Some(call) = self.calls.remove(&id) {
                out.push(Action::Cancel(call.link, id));
                self.lost(call, true, now, out);
            }
        }
    }
}

impl Call {
    fn expiry(&self) -> Timestamp {
        self.head.deadline + ANSWER_MARGIN
    }
}

/// Refuses a request that has no try under way. Only one that was never sent has not run for
/// certain; a transaction that an earlier try opened is rolled back.
fn refuse_unrun(call: &Call, out: &mut Actions) {
    let refusal = match (call.tried, call.opening) {
        (false, _) => Refusal::NotRun {
            reason: NotRun::Unreachable,
            retry: Some(retry::RETRY_AFTER),
        },
        (true, TxStart::None) => Refusal::Timeout,
        (true, _) => Refusal::TransactionLost,
    };
    out.push(Action::Refuse(call.head.id, refusal));
}
