//! New requests, and requests that end early.

use std::time::Duration;

use goldcrest_types::{
    EndpointIx, Floor, Guard, Kind, Lease, Mark, Name, NotRun, Refusal, RequestHead, RequestId,
    Timestamp, TxStart,
};
use smallvec::SmallVec;

use super::{Action, Actions, Cluster, Running, Waiting, members::LinkState};
use crate::retry::{self, LossOutcome, READ_ATTEMPTS};

/// How much later a statement's turn comes for each unit of its expected cost: work of 13 ms lets
/// work of 2.5 ms go first that came up to 0.25 s later.
const COST_WEIGHT: u32 = 25;

/// A new cost counts one part in this many.
const COST_PARTS: u32 = 16;

/// How long after it was sent the answer to abandoned work may still come. Above the longest
/// statement timeout in use (1.2 s), within which the endpoint itself ends it.
pub(super) const ABANDONED_LIMIT: Duration = Duration::from_millis(1_500);

impl Cluster {
    pub(super) fn ask(
        &mut self,
        head: RequestHead,
        opening: TxStart,
        now: Timestamp,
        out: &mut Actions,
    ) {
        self.budget.record_request();
        if head.kind == Kind::Read {
            self.read = Some(now);
        }
        let ask = Waiting {
            turn: head.start_by,
            since: head.arrived.before(head.max_age.unwrap_or_default()),
            head,
            opening,
            tries: 0,
            sent: false,
            avoid: SmallVec::new(),
            cause: NotRun::Late,
        };
        match ask.head.pin {
            Some(pin) => self.run_held(ask, pin.endpoint, pin.lease, now, out),
            None => self.wait(ask),
        }
    }

    /// Queues a request by the moment at which it must have started and by its expected cost.
    ///
    /// Answers the load at a crest, where more work waits than endpoints can run: short work goes
    /// before long, which moves up as it ages.
    pub(super) fn wait(&mut self, mut ask: Waiting) {
        let cost = self.costs.get(&ask.head.workspace).copied();
        ask.turn = ask.head.start_by + cost.unwrap_or_default() * COST_WEIGHT;
        let at = self.waiting.partition_point(|w| w.turn <= ask.turn);
        self.waiting.insert(at, ask);
    }

    /// Learns what a workspace's statements take at an endpoint.
    pub(super) fn note_cost(&mut self, workspace: &Name, took: Duration) {
        let known = self.costs.entry(workspace.clone()).or_insert(took);
        *known = (*known * (COST_PARTS - 1) + took) / COST_PARTS;
    }

    fn run_held(
        &mut self,
        ask: Waiting,
        endpoint: EndpointIx,
        lease: Lease,
        now: Timestamp,
        out: &mut Actions,
    ) {
        let link = self.member(endpoint).and_then(|m| {
            let held = m.links.iter().find(|l| l.state == LinkState::Held(lease));
            held.map(|l| l.id)
        });
        let Some(link) = link else {
            return refuse(ask.head.id, Refusal::TransactionLost, out);
        };
        let run = Running {
            ask,
            endpoint,
            link,
            lease,
            guard: Guard::None,
            sent: now,
        };
        self.run(run, out);
    }

    pub(super) fn run(&mut self, run: Running, out: &mut Actions) {
        let id = run.ask.head.id;
        self.set_link(run.link, LinkState::Busy(id, run.lease));
        out.push(Action::Run(run.link, id, run.guard));
        self.running.insert(id, run);
    }

    pub(super) fn cancel(&mut self, id: RequestId, out: &mut Actions) {
        self.waiting.retain(|w| w.head.id != id);
        if let Some(run) = self.running.remove(&id) {
            self.drop_link(run.link);
            out.push(Action::Close(run.link));
        }
    }

    /// Ends a transaction that its session gives up.
    pub(super) fn release(
        &mut self,
        endpoint: EndpointIx,
        lease: Lease,
        now: Timestamp,
        out: &mut Actions,
    ) {
        let Some(member) = self.member_mut(endpoint) else {
            return;
        };
        let mut links = member.links.iter_mut();
        let Some(link) = links.find(|l| l.state == LinkState::Held(lease)) else {
            return;
        };
        link.state = LinkState::Own(now);
        out.push(Action::Rollback(link.id));
    }

    /// Ends what has waited or run for too long.
    pub(super) fn expire(&mut self, now: Timestamp, out: &mut Actions) {
        let late = |w: &mut Waiting| w.head.start_by <= now;
        let expired: SmallVec<[Waiting; 4]> = self.waiting.extract_if(.., late).collect();
        for ask in expired {
            self.refuse_waiting(&ask, ask.cause, out);
        }
        let over: SmallVec<[RequestId; 4]> = self
            .running
            .iter()
            .filter(|(_, run)| run.expiry() <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.give_up(id, now, out);
        }
    }

    /// Gives up a request that its endpoint has not answered in time.
    fn give_up(&mut self, id: RequestId, now: Timestamp, out: &mut Actions) {
        let Some(run) = self.running.get(&id) else {
            return;
        };
        let (link, endpoint, sent) = (run.link, run.endpoint, run.sent);
        // Slow work keeps its connection: a new one would take a slot of a busy endpoint.
        self.set_link(link, LinkState::Abandoned(sent));
        if let Some(member) = self.member_mut(endpoint) {
            member.note_busy(now);
        }
        self.lost(id, true, now, out);
    }

    /// Closes connections whose abandoned work is never answered.
    pub(super) fn close_abandoned(&mut self, now: Timestamp, out: &mut Actions) {
        for member in &mut self.members {
            let before = member.links.len();
            member.links.retain(|link| {
                let over = matches!(link.state, LinkState::Abandoned(since)
                    if now.since(since) >= ABANDONED_LIMIT);
                if over {
                    out.push(Action::Close(link.id));
                }
                !over
            });
            if member.links.len() < before {
                member.note_failure(now);
            }
        }
    }

    /// Decides on a request whose connection is gone.
    pub(super) fn lost(&mut self, id: RequestId, sent: bool, now: Timestamp, out: &mut Actions) {
        let Some(run) = self.running.remove(&id) else {
            return;
        };
        let mut ask = run.ask;
        ask.sent |= sent;
        let fate = match (ask.opening, ask.head.kind) {
            (TxStart::None, _) | (_, Kind::Commit) => retry::after_loss(&ask.head, sent),
            // A transaction that was just opened is rolled back with its connection.
            _ => LossOutcome::Retry,
        };
        match fate {
            LossOutcome::Retry if now < ask.head.start_by && self.may_repeat(&ask, sent, now) => {
                ask.tries += 1;
                ask.cause = NotRun::Unreachable;
                ask.avoid.push(run.endpoint);
                self.wait(ask);
            }
            LossOutcome::Retry => self.refuse_waiting(&ask, NotRun::Unreachable, out),
            LossOutcome::ReadFailed => refuse(id, Refusal::Timeout, out),
            LossOutcome::Unknown => self.refuse_unknown(id, "the endpoint's answer was lost", out),
            LossOutcome::TransactionLost => refuse(id, Refusal::TransactionLost, out),
        }
    }

    fn may_repeat(&mut self, ask: &Waiting, sent: bool, now: Timestamp) -> bool {
        ask.tries < READ_ATTEMPTS && (!sent || self.budget.try_spend(now))
    }

    pub(super) fn refuse_unknown(&mut self, id: RequestId, detail: &str, out: &mut Actions) {
        self.counts.unknown += 1;
        let detail = detail.into();
        refuse(id, Refusal::Unknown { detail }, out);
    }

    /// Refuses a request that has no try under way. Only one that was never sent has not run for
    /// certain; a transaction that an earlier try opened is rolled back.
    pub(super) fn refuse_waiting(&mut self, ask: &Waiting, reason: NotRun, out: &mut Actions) {
        self.counts.refused += 1;
        let refusal = match (ask.sent, ask.opening) {
            (false, _) => Refusal::NotRun {
                reason,
                retry: Some(retry::RETRY_AFTER),
            },
            (true, TxStart::None) => Refusal::Timeout,
            (true, _) => Refusal::TransactionLost,
        };
        refuse(ask.head.id, refusal, out);
    }

    /// What a read must contain, if a sample of the leader is recent enough to tell.
    pub(super) fn read_floor(&self, ask: &Waiting) -> Option<Mark> {
        let others = self.samples.floor(ask.since)?;
        Some(match ask.head.floor {
            Floor::At(own) => others.max(self.samples.current(own)),
            Floor::Unknown => others,
        })
    }
}

fn refuse(id: RequestId, refusal: Refusal, out: &mut Actions) {
    out.push(Action::Discard(id));
    out.push(Action::Refuse(id, refusal));
}
