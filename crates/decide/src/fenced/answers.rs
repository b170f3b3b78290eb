//! Handles notices from the tasks of connections.

use goldcrest_types::{
    ConnectionId, ConnectionNotice, EndpointIx, Floor, Guard, Kind, Lease, Mark, NotRun, OpenError,
    Pin, RequestId, StatementResult, Timestamp, TxStart, TxState, Verdict,
};

use super::{
    Action, Actions, FencedGroup, READ_RETRY_TIMEOUT, RunningRequest,
    members::{Connection, ConnectionState},
};

/// Maximum number of attempts of a request that endpoints decline to run.
const NOT_RUN_ATTEMPTS: u8 = 12;

impl FencedGroup {
    /// Handles a notice of the task of connection `from`.
    pub(super) fn handle_notice(
        &mut self,
        from: ConnectionId,
        notice: ConnectionNotice,
        now: Timestamp,
        out: &mut Actions,
    ) {
        let Some(endpoint) = self.endpoint_of(from) else {
            return;
        };
        match notice {
            ConnectionNotice::Opened(mark) => self.opened(endpoint, from, mark, now),
            ConnectionNotice::OpenFailed(error) => self.open_failed(endpoint, from, error, now),
            ConnectionNotice::Answered(id, result) => {
                self.record_use(from);
                self.answered(from, id, &result, now, out);
            }
            ConnectionNotice::Closed(under_way) => {
                self.closed(endpoint, from, under_way, now, out);
            }
            ConnectionNotice::OutOfStep(fault) => self.out_of_step(endpoint, from, fault),
            ConnectionNotice::Probed(mark) => {
                self.record_use(from);
                self.probed(endpoint, from, mark, now, out);
            }
            ConnectionNotice::RolledBack => self.set_state(from, ConnectionState::Idle(now)),
            ConnectionNotice::Reported(status) => {
                let status = status.filter(|_| self.counts_for_survey(from));
                self.set_state(from, ConnectionState::Idle(now));
                self.record_report(endpoint, status, None, now);
            }
            ConnectionNotice::Paused(term, status) => {
                let status = status.filter(|_| self.counts_for_survey(from));
                self.set_state(from, ConnectionState::Idle(now));
                self.record_report(endpoint, status, Some(term), now);
            }
            ConnectionNotice::Resumed(done) => {
                self.set_state(from, ConnectionState::Idle(now));
                if done {
                    self.resumed(endpoint);
                }
            }
        }
    }

    fn opened(
        &mut self,
        endpoint: EndpointIx,
        connection: ConnectionId,
        mark: Option<Mark>,
        now: Timestamp,
    ) {
        self.counts.opened += 1;
        self.set_state(connection, ConnectionState::Idle(now));
        if let Some(member) = self.member_mut(endpoint) {
            member.record_success(mark);
        }
    }

    fn open_failed(
        &mut self,
        endpoint: EndpointIx,
        connection: ConnectionId,
        error: OpenError,
        now: Timestamp,
    ) {
        self.drop_connection(connection);
        if error == OpenError::Full {
            self.counts.full += 1;
        }
        let share = self.share_at(now);
        let Some(member) = self.member_mut(endpoint) else {
            return;
        };
        match error {
            OpenError::Full => member.record_full(share, now),
            OpenError::WrongEndpoint | OpenError::Unreachable => member.record_failure(now),
        }
    }

    fn probed(
        &mut self,
        endpoint: EndpointIx,
        connection: ConnectionId,
        mark: Option<Mark>,
        now: Timestamp,
        out: &mut Actions,
    ) {
        let requested_at = self.requested_at(connection);
        self.set_state(connection, ConnectionState::Idle(now));
        if let Some(member) = self.member_mut(endpoint) {
            member.record_success(mark);
        }
        match mark {
            Some(mark) => self.record_leader(endpoint, mark, requested_at.unwrap_or(now), out),
            None => self.record_denial(endpoint, now),
        }
    }

    /// Records a proof of leadership with the leader's log position. A proof of an older term is
    /// ignored.
    fn record_leader(
        &mut self,
        endpoint: EndpointIx,
        mark: Mark,
        requested_at: Timestamp,
        out: &mut Actions,
    ) {
        let old = self.samples.newest().map(|(_, newest)| newest.term);
        if old.is_some_and(|term| mark.term < term) {
            return;
        }
        self.samples.record(requested_at, mark);
        self.record_absent_marks(requested_at, mark);
        if let Some(member) = self.member_mut(endpoint) {
            member.denied_at = None;
        }
        if self.leader != Some(endpoint) || old != Some(mark.term) {
            self.leader = Some(endpoint);
            out.push(Action::LeaderProved(endpoint, mark.term));
        }
        self.leader_proved(endpoint);
    }

    /// Records that an endpoint denied being the leader. If it was taken for the leader, none is known
    /// any more.
    fn record_denial(&mut self, endpoint: EndpointIx, now: Timestamp) {
        if let Some(member) = self.member_mut(endpoint) {
            member.denied_at = Some(now);
        }
        if self.leader == Some(endpoint) {
            self.clear_leader(now);
        }
    }

    /// Returns when the group's own query on a connection was sent.
    pub(super) fn requested_at(&self, connection: ConnectionId) -> Option<Timestamp> {
        match self.connection(connection)?.state {
            ConnectionState::Internal(requested_at) => Some(requested_at),
            _ => None,
        }
    }

    pub(super) fn connection(&self, id: ConnectionId) -> Option<&Connection> {
        let mut connections = self.members.iter().flat_map(|m| m.connections.iter());
        connections.find(|c| c.id == id)
    }

    fn answered(
        &mut self,
        connection: ConnectionId,
        id: RequestId,
        result: &StatementResult,
        now: Timestamp,
        out: &mut Actions,
    ) {
        let Some(run) = self.take_running(connection, id, result) else {
            return self.late_answer(connection, id, result, now, out);
        };
        let in_transaction = result.tx != TxState::Idle;
        let state = if in_transaction {
            ConnectionState::Held(run.lease)
        } else {
            ConnectionState::Idle(now)
        };
        self.set_state(connection, state);
        let lag = result
            .mark
            .and_then(|mark| self.samples.age(mark, true, now));
        if let Some(member) = self.member_mut(run.endpoint) {
            member.record_success(result.mark);
            if let Some(mark) = result.mark {
                member.record_lag(mark, lag, now);
            }
        }
        if let (true, Some(mark)) = (result.led, result.mark) {
            self.record_leader(run.endpoint, mark, run.sent_at, out);
        }
        match &result.verdict {
            Verdict::Done => self.statement_succeeded(&run, result, now, out),
            Verdict::Failed(_) => {
                self.record_failed(&run, now);
                deliver(&run, result, out);
            }
            Verdict::Refused(_) => deliver(&run, result, out),
            Verdict::Busy | Verdict::Behind | Verdict::NotPrimary => {
                self.statement_not_run(run, result, now, out);
            }
            Verdict::Unconfirmed => {
                self.record_denial(run.endpoint, now);
                self.refuse_unknown(id, "the endpoint was replaced as it answered", out);
            }
        }
    }

    /// Removes and returns the running request that an answer belongs to. Of two attempts of a read,
    /// the first success counts.
    fn take_running(
        &mut self,
        connection: ConnectionId,
        id: RequestId,
        result: &StatementResult,
    ) -> Option<RunningRequest> {
        let Some(current) = self.running.get(&id).map(|run| run.connection) else {
            return self.take_waiting(connection, id, result);
        };
        if current == connection {
            return self.running.remove(&id);
        }
        if result.verdict != Verdict::Done {
            return None;
        }
        let (endpoint, sent_at) = self.earlier_attempt(connection)?;
        let mut run = self.running.remove(&id)?;
        self.set_state(current, ConnectionState::Abandoned(run.sent_at));
        (run.connection, run.endpoint, run.sent_at) = (connection, endpoint, sent_at);
        Some(run)
    }

    /// Removes and returns a waiting request whose earlier attempt succeeded after all.
    fn take_waiting(
        &mut self,
        connection: ConnectionId,
        id: RequestId,
        result: &StatementResult,
    ) -> Option<RunningRequest> {
        let at = self.waiting.iter().position(|w| w.head.id == id)?;
        let (endpoint, sent_at) = self.earlier_attempt(connection)?;
        (result.verdict == Verdict::Done).then(|| RunningRequest {
            request: self.waiting.remove(at),
            endpoint,
            connection,
            lease: Lease(id.0),
            guard: Guard::None,
            sent_at,
        })
    }

    /// Returns the endpoint of an attempt that was given up on this connection, and when it was sent.
    ///
    /// A log position in its answer is known to be current only from then on.
    fn earlier_attempt(&self, connection: ConnectionId) -> Option<(EndpointIx, Timestamp)> {
        let ConnectionState::Abandoned(sent_at) = self.connection(connection)?.state else {
            return None;
        };
        Some((self.endpoint_of(connection)?, sent_at))
    }

    /// Discards an answer whose request is no longer running. A transaction that it left open is
    /// rolled back.
    fn late_answer(
        &mut self,
        connection: ConnectionId,
        id: RequestId,
        result: &StatementResult,
        now: Timestamp,
        out: &mut Actions,
    ) {
        out.push(Action::Discard(id));
        if result.tx == TxState::Idle {
            return self.set_state(connection, ConnectionState::Idle(now));
        }
        self.set_state(connection, ConnectionState::Internal(now));
        out.push(Action::Rollback(connection));
    }

    fn statement_succeeded(
        &mut self,
        run: &RunningRequest,
        result: &StatementResult,
        now: Timestamp,
        out: &mut Actions,
    ) {
        self.counts.answered += 1;
        self.record_answered_write(run);
        if run.request.head.kind == Kind::Read {
            match run.guard {
                Guard::Contains(_) if self.leader != Some(run.endpoint) => {
                    self.counts.replica_reads += 1;
                }
                _ => self.counts.primary_reads += 1,
            }
        }
        self.record_work(&run.request);
        self.record_times(run, now);
        deliver(run, result, out);
    }

    /// Records how long a statement took. A late answer shows an outage instead.
    fn record_times(&mut self, run: &RunningRequest, now: Timestamp) {
        let elapsed = now.since(run.sent_at);
        if run.may_retry_elsewhere() && elapsed > READ_RETRY_TIMEOUT {
            return;
        }
        let mut service_time = elapsed;
        if let Some(member) = self.member_mut(run.endpoint) {
            member.record_service_time(elapsed);
            service_time = elapsed.saturating_sub(member.info.latency * 2);
        }
        self.record_cost(&run.request.head.database, service_time);
        self.record_served(run, service_time, now);
    }

    /// Retries a request that an endpoint did not run, unless it belongs to an open transaction.
    fn statement_not_run(
        &mut self,
        run: RunningRequest,
        result: &StatementResult,
        now: Timestamp,
        out: &mut Actions,
    ) {
        let reason = self.record_not_run(&run, &result.verdict, now);
        if run.request.head.pin.is_some() {
            return deliver(&run, result, out);
        }
        let mut request = run.request;
        request.attempts += 1;
        request.reason = reason;
        if reason == NotRun::Behind && self.leader == Some(run.endpoint) {
            // The required position was rolled back: only a newer sample shows what the log holds
            // now.
            request.since = now;
        } else if reason == NotRun::Behind {
            request.avoid.push(run.endpoint);
        }
        if request.attempts >= NOT_RUN_ATTEMPTS || now >= request.head.start_by {
            return self.refuse_waiting(&request, reason, out);
        }
        out.push(Action::Discard(request.head.id));
        self.wait(request);
    }

    /// Records why an endpoint did not run a request, and returns the reason for the client.
    fn record_not_run(
        &mut self,
        run: &RunningRequest,
        verdict: &Verdict,
        now: Timestamp,
    ) -> NotRun {
        match verdict {
            Verdict::NotPrimary => {
                self.record_denial(run.endpoint, now);
                NotRun::NoPrimary
            }
            Verdict::Behind => {
                self.counts.behind += 1;
                NotRun::Behind
            }
            _ => {
                self.counts.busy += 1;
                self.record_failed(run, now);
                if let Some(member) = self.member_mut(run.endpoint) {
                    member.record_busy(now);
                }
                NotRun::Late
            }
        }
    }
}

/// Delivers an answer to its session.
fn deliver(run: &RunningRequest, result: &StatementResult, out: &mut Actions) {
    let head = &run.request.head;
    let single = head.pin.is_none() && run.request.tx_start == TxStart::None;
    let wrote = head.kind == Kind::Commit || (head.kind == Kind::Write && single);
    let floor = match (result.mark, result.verdict == Verdict::Done && wrote) {
        (Some(mark), true) => Floor::At(mark),
        _ => Floor::Unknown,
    };
    let lease = run.lease;
    let pin = (result.tx != TxState::Idle).then_some(Pin {
        endpoint: run.endpoint,
        lease,
    });
    out.push(Action::Deliver {
        id: head.id,
        floor,
        pin,
    });
}
