//! Decides which host runs the requests of a group whose connections are owned by other hosts.
//!
//! See [`crate::owners`] for why hosts own groups. Requests go to the group's owner in this region,
//! and to the next owner when that one does not respond or is shutting down. Only a host that is
//! itself next uses its own connections. Without any owner requests are refused at once: if each
//! host opened connections of its own, the endpoints would reject most of them.

mod events;
mod links;

use std::{collections::BTreeMap, time::Duration};

use goldcrest_types::{
    EndpointIx, Kind, Lease, Name, NotRun, Pin, Refusal, RequestHead, RequestId, Timestamp, TxStart,
};
use smallvec::SmallVec;

pub use self::events::{Action, Actions, Event, LinkId, ReplySummary};
use self::links::Link;
use crate::{
    owners::Ranking,
    retry::{self, LossOutcome, MAX_ATTEMPTS, RetryBudget},
};

/// How long a link may be silent while answers are due before the owner is pinged. Ten times the
/// round trip between zones, and longer than most statements take.
const SILENCE_LIMIT: Duration = Duration::from_millis(150);

/// How long a ping may stay unanswered before its link is closed. A slow host may take several hundred
/// milliseconds to answer.
const PING_TIMEOUT: Duration = Duration::from_millis(350);

/// Pause after the first failure of an owner; each further failure doubles it.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Upper limit of the pause after failures.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(4);

/// How long a host that is shutting down gets no requests. Longer than a shutdown takes.
const LEAVING_PAUSE: Duration = Duration::from_secs(6);

/// How long after a request's deadline the owner's reply may still arrive.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// How long a link stays open without a request or a transaction.
const IDLE_LIMIT: Duration = Duration::from_secs(10);

/// How long a silent link stays open after its last request, for a reply that comes late.
const LATE_ANSWER_LIMIT: Duration = Duration::from_secs(1);

/// An event that comes this much later than it was due shows that this host stood still.
const STALL_LIMIT: Duration = Duration::from_millis(100);

/// How long replies are awaited after this host stood still, even past their deadlines: they may
/// have arrived meanwhile.
const RESUME_MARGIN: Duration = Duration::from_millis(100);

/// How long after the last request failed owners are still pinged.
const DEMAND_WINDOW: Duration = Duration::from_secs(10);

/// Shortest interval between two ticks.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(2);

/// A host that may own the group.
#[derive(Debug, Clone)]
struct Owner {
    name: Name,
    /// Failures since something last arrived from the host. After a failure it gets requests only
    /// once it has answered a ping.
    failures: u32,
    /// The host gets neither new requests nor a ping before this time.
    retry_at: Timestamp,
}

/// A request that was sent and has no reply yet.
#[derive(Debug, Clone)]
struct PendingRequest {
    head: RequestHead,
    tx_start: TxStart,
    link: LinkId,
    sent_at: Timestamp,
    /// Whether an earlier attempt may have run.
    maybe_run: bool,
    attempts: u8,
}

/// The link and the owner's pin of an open transaction.
#[derive(Debug, Clone, Copy)]
struct OpenTransaction {
    link: LinkId,
    pin: Pin,
}

/// One host's state of a group that other hosts own.
#[derive(Debug, Clone)]
pub struct Relay {
    /// Name of this host.
    own: Name,
    owners: SmallVec<[Owner; 3]>,
    links: SmallVec<[Link; 2]>,
    pending: BTreeMap<RequestId, PendingRequest>,
    transactions: BTreeMap<Lease, OpenTransaction>,
    budget: RetryBudget,
    next_link: u64,
    /// When the last request arrived.
    last_request: Option<Timestamp>,
    /// When the next event is due at the latest. A later event shows that this host stood still.
    due: Option<Timestamp>,
    /// When this host last continued after it stood still.
    resumed_at: Timestamp,
}

impl Relay {
    /// Creates the relay of the host named `own`, without owners.
    #[must_use]
    pub fn new(own: Name) -> Self {
        Self {
            own,
            owners: SmallVec::new(),
            links: SmallVec::new(),
            pending: BTreeMap::new(),
            transactions: BTreeMap::new(),
            budget: RetryBudget::new(),
            next_link: 0,
            last_request: None,
            due: None,
            resumed_at: Timestamp::ZERO,
        }
    }

    /// Processes an event and returns the actions to carry out.
    pub fn step(&mut self, event: Event, now: Timestamp) -> Actions {
        let mut out = Actions::new();
        self.detect_stall(now);
        match event {
            Event::Request(head, tx_start) => self.accept_request(head, tx_start, now, &mut out),
            Event::Cancel(id) => self.cancel(id, &mut out),
            Event::Release(lease) => self.release(lease, &mut out),
            Event::Owners(ranking) => self.update_owners(ranking),
            Event::Replied(link, id, summary) => self.replied(link, id, &summary, now, &mut out),
            Event::Pong(link) => self.record_activity(link, now, &mut out),
            Event::Closed(link, sent) => self.closed(link, sent, now, &mut out),
            Event::Tick => {}
        }
        self.expire(now, &mut out);
        self.check_links(now, &mut out);
        self.ping_failed_owners(now, &mut out);
        self.due = Some(self.wake(now));
        out
    }

    /// Restarts all time limits if this host stood still: what the owners sent meanwhile has not
    /// been read yet.
    fn detect_stall(&mut self, now: Timestamp) {
        if self.due.is_some_and(|due| now > due + STALL_LIMIT) {
            self.resumed_at = now;
            self.restart_silence(now);
        }
    }

    /// Returns the time at which [`Event::Tick`] is due.
    #[must_use]
    pub fn wake(&self, now: Timestamp) -> Timestamp {
        let links = self.links.iter().map(|l| self.link_deadline(l, now));
        let pending = self.pending.values().map(|p| self.expiry(p));
        let pings = self.owners.iter().filter_map(|o| self.ping_due(o, now));
        let due = links.chain(pending).chain(pings).min();
        due.unwrap_or(now + IDLE_LIMIT).max(now + MIN_TICK_INTERVAL)
    }

    /// Returns the number of requests without a reply.
    #[must_use]
    pub fn load(&self) -> usize {
        self.pending.len()
    }

    /// Sends a request on the link of its open transaction, or dispatches it if there is none.
    fn accept_request(
        &mut self,
        head: RequestHead,
        tx_start: TxStart,
        now: Timestamp,
        out: &mut Actions,
    ) {
        self.budget.record_request();
        self.last_request = Some(now);
        let mut request = PendingRequest {
            head,
            tx_start,
            link: LinkId::OWN,
            sent_at: now,
            maybe_run: false,
            attempts: 0,
        };
        let Some(pin) = request.head.pin else {
            return self.dispatch(request, now, out);
        };
        let Some(transaction) = self.transactions.get(&pin.lease).copied() else {
            return out.push(Action::Refuse(request.head.id, Refusal::TransactionLost));
        };
        request.link = transaction.link;
        self.send(request, Some(transaction.pin), now, out);
    }

    /// Sends a request outside of a transaction to the preferred owner that is available, or
    /// refuses it if there is none.
    fn dispatch(&mut self, mut request: PendingRequest, now: Timestamp, out: &mut Actions) {
        let Some(name) = self.available_owner(now) else {
            return refuse_pending(&request, out);
        };
        request.link = if name == self.own {
            LinkId::OWN
        } else {
            self.link_to(&name, now, out)
        };
        self.send(request, None, now, out);
    }

    /// Returns the preferred owner that may get new requests.
    fn available_owner(&self, now: Timestamp) -> Option<Name> {
        let available = |o: &&Owner| o.failures == 0 && o.retry_at <= now;
        self.owners.iter().find(available).map(|o| o.name.clone())
    }

    fn send(
        &mut self,
        mut request: PendingRequest,
        pin: Option<Pin>,
        now: Timestamp,
        out: &mut Actions,
    ) {
        request.sent_at = now;
        request.attempts += 1;
        out.push(Action::Send(request.link, request.head.id, pin));
        self.record_sent(request.link, now);
        self.pending.insert(request.head.id, request);
    }

    fn cancel(&mut self, id: RequestId, out: &mut Actions) {
        if let Some(request) = self.pending.remove(&id) {
            out.push(Action::Cancel(request.link, id));
            if let Some(pin) = request.head.pin {
                self.transactions.remove(&pin.lease);
            }
        }
    }

    fn release(&mut self, lease: Lease, out: &mut Actions) {
        if let Some(transaction) = self.transactions.remove(&lease) {
            out.push(Action::Release(transaction.link, transaction.pin));
        }
    }

    fn update_owners(&mut self, ranking: Ranking) {
        let known = std::mem::take(&mut self.owners);
        self.owners = ranking
            .into_iter()
            .map(|name| {
                let old = known.iter().find(|o| o.name == name).cloned();
                old.unwrap_or(Owner {
                    name,
                    failures: 0,
                    retry_at: Timestamp::ZERO,
                })
            })
            .collect();
    }

    fn replied(
        &mut self,
        link: LinkId,
        id: RequestId,
        summary: &ReplySummary,
        now: Timestamp,
        out: &mut Actions,
    ) {
        let request = self.take_pending(link, id, summary, out);
        self.record_activity(link, now, out);
        let Some(request) = request else {
            // The request was cancelled or sent to another host in the meantime.
            out.extend(summary.pin.map(|pin| Action::Release(link, pin)));
            return;
        };
        if summary.not_run == Some(NotRun::Stopping) && request.head.pin.is_none() {
            self.record_leaving(link, now);
            return self.retry(request, now, out);
        }
        if summary.not_run.is_some() && request.maybe_run {
            // The refusal covers the last attempt only.
            return refuse_pending(&request, out);
        }
        let pin = self.record_transaction(&request, summary.pin);
        out.push(Action::Deliver(id, pin));
    }

    /// Removes and returns the request that a reply ends. Of the replies of two hosts to a read, the
    /// first that is not a refusal counts.
    fn take_pending(
        &mut self,
        link: LinkId,
        id: RequestId,
        summary: &ReplySummary,
        out: &mut Actions,
    ) -> Option<PendingRequest> {
        let request = self.pending.get(&id)?;
        let other = request.link;
        if other != link {
            if summary.not_run.is_some() || summary.pin.is_some() {
                return None;
            }
            out.push(Action::Cancel(other, id));
        }
        self.pending.remove(&id)
    }

    /// Records where the transaction of a request is open, and returns this host's pin of it.
    fn record_transaction(&mut self, request: &PendingRequest, pin: Option<Pin>) -> Option<Pin> {
        let lease = request
            .head
            .pin
            .map_or(Lease(request.head.id.0), |p| p.lease);
        let Some(pin) = pin else {
            self.transactions.remove(&lease);
            return None;
        };
        let link = request.link;
        self.transactions
            .insert(lease, OpenTransaction { link, pin });
        Some(Pin {
            endpoint: EndpointIx(0),
            lease,
        })
    }

    /// Dispatches a request again, or refuses it if it can no longer start or has been sent too often.
    fn retry(&mut self, request: PendingRequest, now: Timestamp, out: &mut Actions) {
        if now >= request.head.start_by || request.attempts >= MAX_ATTEMPTS {
            return refuse_pending(&request, out);
        }
        self.dispatch(request, now, out);
    }

    /// Retries or refuses a request whose link was lost.
    fn request_lost(
        &mut self,
        mut lost: PendingRequest,
        sent: bool,
        now: Timestamp,
        out: &mut Actions,
    ) {
        lost.maybe_run |= sent;
        let id = lost.head.id;
        let outcome = match (lost.tx_start, lost.head.kind) {
            (TxStart::None, _) | (_, Kind::Commit) => retry::after_loss(&lost.head, sent),
            // The owner rolls back a transaction that was just opened when its connection closes.
            _ => LossOutcome::Retry,
        };
        match outcome {
            LossOutcome::Retry if !sent || self.budget.try_spend(now) => self.retry(lost, now, out),
            LossOutcome::Retry => refuse_pending(&lost, out),
            LossOutcome::ReadFailed => out.push(Action::Refuse(id, Refusal::Timeout)),
            LossOutcome::TransactionLost => out.push(Action::Refuse(id, Refusal::TransactionLost)),
            LossOutcome::Unknown => {
                let detail = Name::from("the answer of the host that ran it was lost");
                out.push(Action::Refuse(id, Refusal::Unknown { detail }));
            }
        }
    }

    /// Ends requests that were not answered in time.
    fn expire(&mut self, now: Timestamp, out: &mut Actions) {
        let late = |request: &PendingRequest| self.expiry(request) <= now;
        let timed_out: SmallVec<[RequestId; 4]> = self
            .pending
            .iter()
            .filter(|(_, request)| late(request))
            .map(|(id, _)| *id)
            .collect();
        for id in timed_out {
            if let Some(request) = self.pending.remove(&id) {
                out.push(Action::Cancel(request.link, id));
                self.request_lost(request, true, now, out);
            }
        }
    }

    /// Returns when the wait for a request's reply ends.
    fn expiry(&self, request: &PendingRequest) -> Timestamp {
        let deadline = request.head.deadline + ANSWER_MARGIN;
        deadline.max(self.resumed_at + RESUME_MARGIN)
    }
}

impl PendingRequest {
    /// Whether the request may be sent to another host although the first one may run it.
    fn may_retry_elsewhere(&self) -> bool {
        self.head.kind == Kind::Read && self.head.pin.is_none()
    }
}

/// Refuses a request that has no attempt under way.
///
/// Only a request that was never sent is reported as not run. If an earlier attempt opened a
/// transaction, that one is rolled back.
fn refuse_pending(request: &PendingRequest, out: &mut Actions) {
    let refusal = match (request.maybe_run, request.tx_start) {
        (false, _) => Refusal::NotRun {
            reason: NotRun::Unreachable,
            retry: Some(retry::RETRY_AFTER),
        },
        (true, TxStart::None) => Refusal::Timeout,
        (true, _) => Refusal::TransactionLost,
    };
    out.push(Action::Refuse(request.head.id, refusal));
}
