//! The last known state of each endpoint of a group.

use std::time::Duration;

use goldcrest_types::{EndpointIx, Mark, Name, Position, Report, Role, Term, Timestamp};

use super::{EndpointPlan, Group};
use crate::{fence::is_primary, promote::Watcher, route::Candidate};

/// An endpoint counts as down after this many consecutive unanswered checks.
const MISSED_LIMIT: u8 = 2;

/// The last known state of one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointView {
    /// Its name.
    pub name: Name,
    /// Its role in the group.
    pub role: Role,
    /// The highest term that it promised.
    pub promised: Term,
    /// The last entry that it has applied.
    pub mark: Mark,
    /// The log position up to which it has received entries.
    pub held: Position,
    /// Whether it is connected to its primary.
    pub connected: bool,
    /// Whether it is being retired.
    pub leaving: bool,
    /// Whether it counts as down.
    pub down: bool,
    /// The number of requests sent to it and not yet answered.
    pub load: u32,
    /// When it last answered a request or a term check.
    pub answered_at: Option<Timestamp>,
    latency: Duration,
    slots: u32,
    missed_checks: u8,
    /// A moving average of the rate at which it applies its log, in positions per second.
    rate: u64,
    /// When its mark last advanced.
    advanced_at: Timestamp,
}

impl EndpointView {
    /// Creates the view of an endpoint that has not answered yet.
    #[must_use]
    pub fn new(plan: &EndpointPlan) -> Self {
        Self {
            name: plan.name.clone(),
            role: Role::Replica,
            promised: Term::default(),
            mark: Mark::default(),
            held: Position::default(),
            connected: false,
            leaving: plan.leaving,
            down: false,
            load: 0,
            answered_at: None,
            latency: plan.latency,
            slots: plan.slots,
            missed_checks: 0,
            rate: 0,
            advanced_at: Timestamp::ZERO,
        }
    }

    /// Applies the answer to a term check.
    pub(super) fn apply_report(&mut self, report: &Report, now: Timestamp) {
        self.promised = self.promised.max(report.promised);
        self.held = report.held;
        self.connected = report.connected;
        self.apply_answer(report.applied, report.role, now);
        if !is_primary(report) {
            self.role = Role::Replica;
        }
    }

    /// Applies the mark and the role that came with an answer.
    pub(super) fn apply_answer(&mut self, mark: Mark, role: Role, now: Timestamp) {
        self.answered_at = Some(now);
        self.missed_checks = 0;
        self.down = false;
        // Answers on different connections may arrive out of order, so the mark never goes back.
        if mark.term < self.mark.term {
            return;
        }
        self.role = role;
        if mark > self.mark {
            self.update_rate(mark, now);
            self.mark = mark;
        }
    }

    /// Records an unanswered check.
    pub(super) fn record_missed_check(&mut self) {
        self.missed_checks = self.missed_checks.saturating_add(1);
        self.down |= self.missed_checks >= MISSED_LIMIT;
    }

    /// Marks the endpoint as down because no connection can be opened.
    pub(super) fn mark_unreachable(&mut self) {
        self.missed_checks = MISSED_LIMIT;
        self.down = true;
    }

    /// Whether the endpoint has answered and does not count as down.
    #[must_use]
    pub fn is_reachable(&self) -> bool {
        self.answered_at.is_some() && !self.down
    }

    pub(super) fn candidate(&self, ix: EndpointIx) -> Candidate {
        Candidate {
            ix,
            role: self.role,
            mark: self.mark,
            reachable: self.is_reachable(),
            leaving: self.leaving,
            load: self.load,
            slots: self.slots,
            latency: self.latency,
            rate: self.rate,
        }
    }

    fn update_rate(&mut self, mark: Mark, now: Timestamp) {
        let gained = mark.position.0.saturating_sub(self.mark.position.0);
        let micros = u64::try_from(now.since(self.advanced_at).as_micros()).unwrap_or(u64::MAX);
        let latest = gained.saturating_mul(1_000_000) / micros.max(1000);
        self.rate = (self.rate * 3 + latest) / 4;
        self.advanced_at = now;
    }
}

impl Group {
    pub(super) fn view(&mut self, ix: EndpointIx) -> Option<&mut EndpointView> {
        self.views.get_mut(ix.index())
    }

    pub(super) fn size(&self) -> usize {
        self.views.len()
    }

    /// The endpoint that takes writes: the reachable primary of the highest term that any endpoint
    /// promised.
    pub(super) fn writable_primary(&self) -> Option<EndpointIx> {
        let ix = self.primary?;
        let view = self.views.get(ix.index())?;
        let current = self.promised() == view.mark.term;
        (current && view.role == Role::Primary && view.is_reachable()).then_some(ix)
    }

    /// The highest term that any endpoint promised or has in its log.
    pub(super) fn promised(&self) -> Term {
        let terms = self.views.iter().map(|v| v.promised.max(v.mark.term));
        terms.max().unwrap_or_default()
    }

    pub(super) fn set_leaving(&mut self, endpoint: EndpointIx, leaving: bool) {
        if let Some(view) = self.view(endpoint) {
            view.leaving = leaving;
        }
    }

    pub(super) fn add_endpoint(&mut self, endpoint: EndpointPlan) {
        self.views.push(EndpointView::new(&endpoint));
        self.plan.endpoints.push(endpoint);
    }

    /// Starts or stops watching the group. A promotion attempt in progress is finished first.
    pub(super) fn set_rank(&mut self, rank: Option<u32>) {
        self.plan.rank = rank;
        match (&mut self.watcher, rank) {
            (Some(watcher), Some(rank)) => watcher.set_rank(rank),
            (None, Some(rank)) => self.watcher = Some(Watcher::new(rank, self.plan.seed)),
            (Some(watcher), None) if !watcher.is_active() => self.watcher = None,
            _ => {}
        }
    }

    pub(super) fn decrement_load(&mut self, endpoint: EndpointIx) {
        if let Some(view) = self.view(endpoint) {
            view.load = view.load.saturating_sub(1);
        }
    }
}
