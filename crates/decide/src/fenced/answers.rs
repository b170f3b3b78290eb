//! What happens on connections.

use goldcrest_types::{
    ConnectionId, ConnectionNotice, EndpointIx, Floor, Guard, Kind, Lease, Mark, NotRun, OpenError,
    Pin, RequestId, StatementResult, Timestamp, TxStart, TxState, Verdict,
};

use super::{
    Action, Actions, Cluster, Running,
    members::{Link, LinkState},
};

/// Tries of a request that endpoints did not run.
const NOT_RUN_TRIES: u8 = 12;

impl Cluster {
    pub(super) fn connection(
        &mut self,
        link: ConnectionId,
        notice: ConnectionNotice,
        now: Timestamp,
        out: &mut Actions,
    ) {
        let Some(endpoint) = self.owner(link) else {
            return;
        };
        match notice {
            ConnectionNotice::Opened(mark) => self.opened(endpoint, link, mark, now),
            ConnectionNotice::OpenFailed(error) => self.open_failed(endpoint, link, error, now),
            ConnectionNotice::Answered(id, ran) => self.ran(link, id, &ran, now, out),
            ConnectionNotice::Closed(under_way) => {
                self.closed(endpoint, link, under_way, now, out);
            }
            ConnectionNotice::Probed(mark) => self.probed(endpoint, link, mark, now, out),
            ConnectionNotice::RolledBack => self.set_link(link, LinkState::Idle(now)),
            ConnectionNotice::Reported(report) => {
                self.set_link(link, LinkState::Idle(now));
                self.note_report(endpoint, report, now);
            }
        }
    }

    fn opened(
        &mut self,
        endpoint: EndpointIx,
        link: ConnectionId,
        mark: Option<Mark>,
        now: Timestamp,
    ) {
        self.counts.opened += 1;
        self.set_link(link, LinkState::Idle(now));
        if let Some(member) = self.member_mut(endpoint) {
            member.note_success(mark);
        }
    }

    fn open_failed(
        &mut self,
        endpoint: EndpointIx,
        link: ConnectionId,
        error: OpenError,
        now: Timestamp,
    ) {
        self.drop_link(link);
        if error == OpenError::Full {
            self.counts.full += 1;
        }
        let Some(member) = self.member_mut(endpoint) else {
            return;
        };
        match error {
            OpenError::Full => member.note_full(now),
            OpenError::WrongEndpoint | OpenError::Unreachable => member.note_failure(now),
        }
    }

    fn closed(
        &mut self,
        endpoint: EndpointIx,
        link: ConnectionId,
        under_way: Option<(RequestId, bool)>,
        now: Timestamp,
        out: &mut Actions,
    ) {
        self.counts.lost += 1;
        self.drop_link(link);
        if let Some(member) = self.member_mut(endpoint) {
            member.note_failure(now);
        }
        let current = |run: &Running| run.link == link;
        if let Some((id, sent)) = under_way
            && self.running.get(&id).is_some_and(current)
        {
            self.lost(id, sent, now, out);
        }
    }

    fn probed(
        &mut self,
        endpoint: EndpointIx,
        link: ConnectionId,
        mark: Option<Mark>,
        now: Timestamp,
        out: &mut Actions,
    ) {
        let asked = self.link(link).and_then(|l| match l.state {
            LinkState::Own(asked) => Some(asked),
            _ => None,
        });
        self.set_link(link, LinkState::Idle(now));
        if let Some(member) = self.member_mut(endpoint) {
            member.note_success(mark);
        }
        match mark {
            Some(mark) => self.proved(endpoint, mark, asked.unwrap_or(now), out),
            None => self.denied(endpoint, now),
        }
    }

    /// Takes in a proof of leadership with the leader's position.
    fn proved(&mut self, endpoint: EndpointIx, mark: Mark, asked: Timestamp, out: &mut Actions) {
        let old = self.samples.newest().map(|(_, newest)| newest.term);
        if old.is_some_and(|term| mark.term < term) {
            return;
        }
        self.samples.note(asked, mark);
        if let Some(member) = self.member_mut(endpoint) {
            member.denied = None;
        }
        if self.leader != Some(endpoint) || old != Some(mark.term) {
            self.leader = Some(endpoint);
            out.push(Action::Leader(endpoint, mark.term));
        }
        self.note_leader(endpoint);
    }

    fn denied(&mut self, endpoint: EndpointIx, now: Timestamp) {
        if let Some(member) = self.member_mut(endpoint) {
            member.denied = Some(now);
        }
        if self.leader == Some(endpoint) {
            self.forget_leader(now);
        }
    }

    fn link(&self, id: ConnectionId) -> Option<&Link> {
        let mut links = self.members.iter().flat_map(|m| m.links.iter());
        links.find(|l| l.id == id)
    }

    fn ran(
        &mut self,
        link: ConnectionId,
        id: RequestId,
        ran: &StatementResult,
        now: Timestamp,
        out: &mut Actions,
    ) {
        let Some(run) = self.take_run(link, id, ran, now) else {
            return self.ran_late(link, id, ran, now, out);
        };
        let open = ran.tx != TxState::Idle;
        let state = if open {
            LinkState::Held(run.lease)
        } else {
            LinkState::Idle(now)
        };
        self.set_link(link, state);
        let lag = ran.mark.and_then(|mark| self.samples.age(mark, true, now));
        if let Some(member) = self.member_mut(run.endpoint) {
            member.note_success(ran.mark);
            if let Some(mark) = ran.mark {
                member.note_trail(mark, lag, now);
            }
        }
        if let (true, Some(mark)) = (ran.led, ran.mark) {
            self.proved(run.endpoint, mark, run.sent, out);
        }
        match &ran.verdict {
            Verdict::Done => self.done(&run, ran, now, out),
            Verdict::Failed(_) | Verdict::Refused(_) => deliver(&run, ran, out),
            Verdict::Busy | Verdict::Behind | Verdict::NotPrimary => {
                self.not_run(run, ran, now, out);
            }
            Verdict::Unconfirmed => {
                self.denied(run.endpoint, now);
                self.refuse_unknown(id, "the endpoint was replaced as it answered", out);
            }
        }
    }

    /// Takes the run that an answer belongs to. A read that is tried elsewhere is served by whoever
    /// answers first.
    fn take_run(
        &mut self,
        link: ConnectionId,
        id: RequestId,
        ran: &StatementResult,
        now: Timestamp,
    ) -> Option<Running> {
        let Some(current) = self.running.get(&id).map(|run| run.link) else {
            return self.take_waiting(link, id, ran, now);
        };
        if current == link {
            return self.running.remove(&id);
        }
        if ran.verdict != Verdict::Done {
            return None;
        }
        let endpoint = self.owner(link)?;
        let mut run = self.running.remove(&id)?;
        self.set_link(current, LinkState::Abandoned(run.sent));
        (run.link, run.endpoint) = (link, endpoint);
        Some(run)
    }

    /// Takes a request that waits for its next try, if its first one has been answered after all.
    fn take_waiting(
        &mut self,
        link: ConnectionId,
        id: RequestId,
        ran: &StatementResult,
        now: Timestamp,
    ) -> Option<Running> {
        let at = self.waiting.iter().position(|w| w.head.id == id)?;
        let endpoint = self.owner(link)?;
        (ran.verdict == Verdict::Done).then(|| Running {
            ask: self.waiting.remove(at),
            endpoint,
            link,
            lease: Lease(id.0),
            guard: Guard::None,
            sent: now,
        })
    }

    /// Takes an answer that nobody waits for any longer.
    fn ran_late(
        &mut self,
        link: ConnectionId,
        id: RequestId,
        ran: &StatementResult,
        now: Timestamp,
        out: &mut Actions,
    ) {
        out.push(Action::Discard(id));
        if ran.tx == TxState::Idle {
            return self.set_link(link, LinkState::Idle(now));
        }
        self.set_link(link, LinkState::Own(now));
        out.push(Action::Rollback(link));
    }

    fn done(&mut self, run: &Running, ran: &StatementResult, now: Timestamp, out: &mut Actions) {
        self.counts.answered += 1;
        if run.ask.head.kind == Kind::Read {
            match run.guard {
                Guard::Contains(_) if self.leader != Some(run.endpoint) => {
                    self.counts.replica += 1;
                }
                _ => self.counts.primary += 1,
            }
        }
        let took = now.since(run.sent);
        let mut own = took;
        if let Some(member) = self.member_mut(run.endpoint) {
            member.note_service(took);
            own = took.saturating_sub(member.info.latency * 2);
        }
        self.note_cost(&run.ask.head.workspace, own);
        deliver(run, ran, out);
    }

    /// A request that an endpoint did not run is tried again, unless it belongs to a transaction
    /// that is already open.
    fn not_run(&mut self, run: Running, ran: &StatementResult, now: Timestamp, out: &mut Actions) {
        let reason = self.note_not_run(&run, &ran.verdict, now);
        if run.ask.head.pin.is_some() {
            return deliver(&run, ran, out);
        }
        let mut ask = run.ask;
        ask.tries += 1;
        ask.cause = reason;
        if reason == NotRun::Behind && self.leader == Some(run.endpoint) {
            // The mark was rolled back: only a newer sample tells what the log holds now.
            ask.since = now;
        } else if reason == NotRun::Behind {
            ask.avoid.push(run.endpoint);
        }
        if ask.tries >= NOT_RUN_TRIES || now >= ask.head.start_by {
            return self.refuse_waiting(&ask, reason, out);
        }
        out.push(Action::Discard(ask.head.id));
        self.wait(ask);
    }

    fn note_not_run(&mut self, run: &Running, verdict: &Verdict, now: Timestamp) -> NotRun {
        match verdict {
            Verdict::NotPrimary => {
                self.denied(run.endpoint, now);
                NotRun::NoPrimary
            }
            Verdict::Behind => {
                self.counts.behind += 1;
                NotRun::Behind
            }
            _ => {
                self.counts.busy += 1;
                if let Some(member) = self.member_mut(run.endpoint) {
                    member.note_busy(now);
                }
                NotRun::Late
            }
        }
    }
}

/// Passes an answer on to its session.
fn deliver(run: &Running, ran: &StatementResult, out: &mut Actions) {
    let head = &run.ask.head;
    let single = head.pin.is_none() && run.ask.opening == TxStart::None;
    let wrote = head.kind == Kind::Commit || (head.kind == Kind::Write && single);
    let floor = match (ran.mark, ran.verdict == Verdict::Done && wrote) {
        (Some(mark), true) => Floor::At(mark),
        _ => Floor::Unknown,
    };
    let lease = run.lease;
    let pin = (ran.tx != TxState::Idle).then_some(Pin {
        endpoint: run.endpoint,
        lease,
    });
    out.push(Action::Deliver {
        id: head.id,
        floor,
        pin,
    });
}
