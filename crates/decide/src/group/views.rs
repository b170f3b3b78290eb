//! What a host knows of each endpoint of a group.

use std::time::Duration;

use goldcrest_types::{EndpointIx, Mark, Name, Position, Report, Role, Term, Timestamp};

use super::{EndpointPlan, Group};
use crate::{fence::is_primary, promote::Watcher, route::Candidate};

/// Checks in a row that an endpoint may miss before it counts as down.
const MISSED_LIMIT: u8 = 2;

/// What is known of one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointView {
    /// Its name.
    pub name: Name,
    /// Its part in the group.
    pub role: Role,
    /// The highest term that it promised.
    pub promised: Term,
    /// What it has applied.
    pub mark: Mark,
    /// What it has received.
    pub held: Position,
    /// Whether it hears its primary.
    pub connected: bool,
    /// Whether it is being retired.
    pub leaving: bool,
    /// Whether it counts as down.
    pub down: bool,
    /// Requests sent to it and not answered.
    pub load: u32,
    /// When it last answered anything.
    pub answered_at: Option<Timestamp>,
    distance: Duration,
    slots: u32,
    missed: u8,
    rate: u64,
    advanced: Timestamp,
}

impl EndpointView {
    /// An endpoint of which nothing is known.
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
            distance: plan.distance,
            slots: plan.slots,
            missed: 0,
            rate: 0,
            advanced: Timestamp::ZERO,
        }
    }

    /// Takes in a check's answer.
    pub(super) fn report(&mut self, report: &Report, now: Timestamp) {
        self.promised = self.promised.max(report.promised);
        self.held = report.held;
        self.connected = report.connected;
        self.heard(report.applied, report.role, now);
        if !is_primary(report) {
            self.role = Role::Replica;
        }
    }

    /// Takes in a mark that the endpoint gave with an answer.
    pub(super) fn heard(&mut self, mark: Mark, role: Role, now: Timestamp) {
        self.answered_at = Some(now);
        self.missed = 0;
        self.down = false;
        // Answers on different connections may cross, so within a term a mark only grows.
        if mark.term < self.mark.term {
            return;
        }
        self.role = role;
        if mark > self.mark {
            self.note_rate(mark, now);
            self.mark = mark;
        }
    }

    /// Notes a check without an answer.
    pub(super) fn miss(&mut self) {
        self.missed = self.missed.saturating_add(1);
        self.down |= self.missed >= MISSED_LIMIT;
    }

    /// Notes that no connection can be made.
    pub(super) fn unreachable(&mut self) {
        self.missed = MISSED_LIMIT;
        self.down = true;
    }

    /// Whether the endpoint answered its last check.
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
            distance: self.distance,
            rate: self.rate,
        }
    }

    fn note_rate(&mut self, mark: Mark, now: Timestamp) {
        let gained = mark.position.0.saturating_sub(self.mark.position.0);
        let micros = u64::try_from(now.since(self.advanced).as_micros()).unwrap_or(u64::MAX);
        let fresh = gained.saturating_mul(1_000_000) / micros.max(1000);
        self.rate = (self.rate * 3 + fresh) / 4;
        self.advanced = now;
    }
}

impl Group {
    pub(super) fn view(&mut self, ix: EndpointIx) -> Option<&mut EndpointView> {
        self.views.get_mut(ix.index())
    }

    pub(super) fn size(&self) -> usize {
        self.views.len()
    }

    /// The endpoint that takes writes: primary of the highest term that any endpoint promised.
    pub(super) fn writable(&self) -> Option<EndpointIx> {
        let ix = self.primary?;
        let view = self.views.get(ix.index())?;
        let current = self.promised() == view.mark.term;
        (current && view.role == Role::Primary && view.is_reachable()).then_some(ix)
    }

    pub(super) fn promised(&self) -> Term {
        let terms = self.views.iter().map(|v| v.promised.max(v.mark.term));
        terms.max().unwrap_or_default()
    }

    pub(super) fn set_leaving(&mut self, endpoint: EndpointIx, leaving: bool) {
        if let Some(view) = self.view(endpoint) {
            view.leaving = leaving;
        }
    }

    pub(super) fn grow(&mut self, endpoint: EndpointPlan) {
        self.views.push(EndpointView::new(&endpoint));
        self.plan.endpoints.push(endpoint);
    }

    /// Takes up or gives up the watch. An attempt under way is finished first.
    pub(super) fn set_rank(&mut self, rank: Option<u32>) {
        self.plan.rank = rank;
        match (&mut self.watch, rank) {
            (Some(watch), Some(rank)) => watch.set_rank(rank),
            (None, Some(rank)) => self.watch = Some(Watcher::new(rank, self.plan.seed)),
            (Some(watch), None) if !watch.is_active() => self.watch = None,
            _ => {}
        }
    }

    pub(super) fn unload(&mut self, endpoint: EndpointIx) {
        if let Some(view) = self.view(endpoint) {
            view.load = view.load.saturating_sub(1);
        }
    }
}
