//! Accepts, queues, cancels and expires requests.

use std::time::Duration;

use goldcrest_types::{
    EndpointIx, Floor, Guard, Kind, Lease, Mark, Name, NotRun, Refusal, RequestHead, RequestId,
    Timestamp, TxStart,
};
use smallvec::SmallVec;

use super::{
    Action, Actions, FencedGroup, RunningRequest, WaitingRequest, members::ConnectionState,
};
use crate::retry::{self, LossOutcome, MAX_ATTEMPTS};

/// Weight of the moving average of costs: a new value counts one part in this many.
const COST_SMOOTHING: u32 = 16;

/// How long after sending an abandoned statement its answer is still expected. Longer than the
/// longest statement timeout in use (1.2 s), after which the endpoint itself ends the statement.
pub(super) const ABANDONED_LIMIT: Duration = Duration::from_millis(1_500);

impl FencedGroup {
    /// Accepts a request: runs it on the connection of its transaction, or queues it.
    pub(super) fn accept_request(
        &mut self,
        head: RequestHead,
        tx_start: TxStart,
        now: Timestamp,
        out: &mut Actions,
    ) {
        self.budget.record_request();
        if head.kind == Kind::Read {
            self.last_read = Some(now);
        }
        self.last_workspace.clone_from(&head.workspace);
        let request = WaitingRequest {
            queue_key: head.start_by,
            since: head.arrived.before(head.max_age.unwrap_or_default()),
            head,
            tx_start,
            attempts: 0,
            maybe_run: false,
            avoid: SmallVec::new(),
            reason: NotRun::Late,
            held_back: false,
        };
        match request.head.pin {
            Some(pin) => self.run_held(request, pin.endpoint, pin.lease, now, out),
            None if self.refuse_hopeless(&request, now, out) => {}
            None => self.wait(request),
        }
    }

    /// Queues a request at its place.
    ///
    /// Under a load peak, when more work waits than the endpoints can run, urgent and short statements
    /// are thus served before others, and those move forward as they age.
    pub(super) fn wait(&mut self, mut request: WaitingRequest) {
        request.queue_key = self.queue_key(&request);
        let at = self
            .waiting
            .partition_point(|w| w.queue_key <= request.queue_key);
        self.waiting.insert(at, request);
    }

    /// Updates the average time that a database's statements take at an endpoint.
    pub(super) fn record_cost(&mut self, database: &Name, elapsed: Duration) {
        let average = self.costs.entry(database.clone()).or_insert(elapsed);
        *average = (*average * (COST_SMOOTHING - 1) + elapsed) / COST_SMOOTHING;
    }

    /// Runs a request on the connection that holds its open transaction.
    fn run_held(
        &mut self,
        request: WaitingRequest,
        endpoint: EndpointIx,
        lease: Lease,
        now: Timestamp,
        out: &mut Actions,
    ) {
        let connection = self.member(endpoint).and_then(|m| {
            let held = m
                .connections
                .iter()
                .find(|c| c.state == ConnectionState::Held(lease));
            let held = held.filter(|c| c.workspace == request.head.workspace);
            held.map(|c| c.id)
        });
        let Some(connection) = connection else {
            return refuse(request.head.id, Refusal::TransactionLost, out);
        };
        let run = RunningRequest {
            request,
            endpoint,
            connection,
            lease,
            guard: Guard::None,
            sent_at: now,
        };
        self.run(run, out);
    }

    /// Sends a request on its connection.
    pub(super) fn run(&mut self, run: RunningRequest, out: &mut Actions) {
        let id = run.request.head.id;
        self.set_state(run.connection, ConnectionState::Busy(id, run.lease));
        out.push(Action::Run(run.connection, id, run.guard));
        self.running.insert(id, run);
    }

    /// Drops a request. If it was sent, its connection is closed.
    pub(super) fn cancel(&mut self, id: RequestId, out: &mut Actions) {
        self.waiting.retain(|w| w.head.id != id);
        if let Some(run) = self.running.remove(&id) {
            self.drop_connection(run.connection);
            out.push(Action::Close(run.connection));
        }
    }

    /// Rolls back an open transaction that its session no longer needs.
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
        let mut connections = member.connections.iter_mut();
        let Some(connection) = connections.find(|c| c.state == ConnectionState::Held(lease)) else {
            return;
        };
        connection.state = ConnectionState::Internal(now);
        out.push(Action::Rollback(connection.id));
    }

    /// Refuses waiting requests that can no longer start, and ends the wait for overdue answers.
    pub(super) fn expire(&mut self, now: Timestamp, out: &mut Actions) {
        let late = |w: &mut WaitingRequest| w.head.start_by <= now;
        let expired: SmallVec<[WaitingRequest; 4]> = self.waiting.extract_if(.., late).collect();
        for request in expired {
            self.refuse_waiting(&request, request.reason, out);
        }
        let timed_out: SmallVec<[RequestId; 4]> = self
            .running
            .iter()
            .filter(|(_, run)| self.expiry(run) <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in timed_out {
            self.time_out(id, now, out);
        }
    }

    /// Ends a running request that its endpoint has not answered in time.
    fn time_out(&mut self, id: RequestId, now: Timestamp, out: &mut Actions) {
        let Some(run) = self.running.get(&id) else {
            return;
        };
        let run = run.clone();
        let (connection, endpoint, sent) = (run.connection, run.endpoint, run.sent_at);
        self.record_unanswered(&run, now);
        self.record_failed(&run, now);
        // The connection stays open until the statement ends: setting up a new one would take a
        // slot of a busy endpoint.
        self.set_state(connection, ConnectionState::Abandoned(sent));
        if let Some(member) = self.member_mut(endpoint) {
            member.record_busy(now);
        }
        self.request_lost(id, true, now, out);
    }

    /// Closes connections whose abandoned statement was not answered within [`ABANDONED_LIMIT`].
    pub(super) fn close_abandoned(&mut self, now: Timestamp, out: &mut Actions) {
        for member in &mut self.members {
            let before = member.connections.len();
            member.connections.retain(|connection| {
                let expired = matches!(connection.state, ConnectionState::Abandoned(since)
                    if now.since(since) >= ABANDONED_LIMIT);
                if expired {
                    out.push(Action::Close(connection.id));
                }
                !expired
            });
            if member.connections.len() < before {
                member.record_failure(now);
            }
        }
    }

    /// Retries or refuses a request whose connection was lost. `sent` tells whether it may have
    /// reached the endpoint.
    pub(super) fn request_lost(
        &mut self,
        id: RequestId,
        sent: bool,
        now: Timestamp,
        out: &mut Actions,
    ) {
        let Some(run) = self.running.remove(&id) else {
            return;
        };
        let mut request = run.request;
        request.maybe_run |= sent;
        let outcome = match (request.tx_start, request.head.kind) {
            (TxStart::None, _) | (_, Kind::Commit) => retry::after_loss(&request.head, sent),
            // The endpoint rolls back a transaction that was just opened when its connection
            // closes.
            _ => LossOutcome::Retry,
        };
        match outcome {
            LossOutcome::Retry
                if now < request.head.start_by && self.may_repeat(&request, sent, now) =>
            {
                request.attempts += 1;
                request.reason = NotRun::Unreachable;
                request.avoid.push(run.endpoint);
                self.wait(request);
            }
            LossOutcome::Retry => self.refuse_waiting(&request, NotRun::Unreachable, out),
            LossOutcome::ReadFailed => refuse(id, Refusal::Timeout, out),
            LossOutcome::Unknown => self.refuse_unknown(id, "the endpoint's answer was lost", out),
            LossOutcome::TransactionLost => refuse(id, Refusal::TransactionLost, out),
        }
    }

    /// Whether the limit of attempts and the retry budget allow another attempt.
    fn may_repeat(&mut self, request: &WaitingRequest, sent: bool, now: Timestamp) -> bool {
        request.attempts < MAX_ATTEMPTS && (!sent || self.budget.try_spend(now))
    }

    pub(super) fn refuse_unknown(&mut self, id: RequestId, detail: &str, out: &mut Actions) {
        self.counts.unknown += 1;
        let detail = detail.into();
        refuse(id, Refusal::Unknown { detail }, out);
    }

    /// Refuses a request that has no attempt under way.
    ///
    /// Only a request that was never sent is reported as not run. If an earlier attempt opened a
    /// transaction, that one is rolled back.
    pub(super) fn refuse_waiting(
        &mut self,
        request: &WaitingRequest,
        reason: NotRun,
        out: &mut Actions,
    ) {
        self.refuse_until(request, reason, retry::RETRY_AFTER, out);
    }

    /// The same with the time after which the client is to return.
    pub(super) fn refuse_until(
        &mut self,
        request: &WaitingRequest,
        reason: NotRun,
        retry: Duration,
        out: &mut Actions,
    ) {
        self.counts.refused += 1;
        let refusal = match (request.maybe_run, request.tx_start) {
            (false, _) => Refusal::NotRun {
                reason,
                retry: Some(retry),
            },
            (true, TxStart::None) => Refusal::Timeout,
            (true, _) => Refusal::TransactionLost,
        };
        refuse(request.head.id, refusal, out);
    }

    /// Returns the log position that a read must contain, or `None` while no sample of the leader is
    /// recent enough.
    pub(super) fn read_floor(&self, request: &WaitingRequest) -> Option<Mark> {
        let others = self.samples.floor(request.since)?;
        Some(match request.head.floor {
            Floor::At(own) => others.max(self.samples.current(own)),
            Floor::Unknown => others,
        })
    }
}

fn refuse(id: RequestId, refusal: Refusal, out: &mut Actions) {
    out.push(Action::Discard(id));
    out.push(Action::Refuse(id, refusal));
}
