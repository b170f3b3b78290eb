//! Decides which operations run within the allowance of their workspace, which counts on all hosts
//! together.
//!
//! Up to three hosts count the operations of a workspace. Each grants its part of the allowance, so
//! they need no agreement, and a host that asks them in turn finds all that is left.
//!
//! The load that this answers: a workspace that asks many times its usual for some seconds, while
//! hosts are lost, start together or can't reach each other.

mod asker;
mod counter;
mod listing;
mod roster;
mod rules;

use std::{collections::BTreeMap, time::Duration};

use goldcrest_types::{Allowance, AllowanceAnswer, AllowanceAsk, Name, Timestamp};
use smallvec::SmallVec;

use self::{asker::Asker, counter::Counter, roster::Roster};
pub use self::{
    listing::{LIST_LIFETIME, LISTED_TIME, Listed, Listing, START_TIME},
    roster::{Counters, Member},
    rules::{COUNTERS, Rules},
};

/// The number of an operation that waits for a decision.
pub type AskId = u64;

/// The number of a call to a counter.
pub type CallId = u64;

/// Whether an operation may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It runs, and must be sent within the time if there is one.
    Run(Option<Duration>),
    /// The allowance is used up. The client may return after the time.
    Refuse(Duration),
    /// No counter could be reached. The client may return after the time.
    Unreachable(Duration),
}

/// What to do after a step.
#[derive(Debug)]
pub enum Action {
    /// Call a counter on another host.
    Call(CallId, Name, Vec<AllowanceAsk>),
    /// Tell a session the decision, and which counters were asked for it.
    Decide(AskId, Decision, Counters),
    /// Report a counter that did not answer in time.
    Silent(Name),
    /// Report a host that does not count the workspace that it was asked about.
    Abstained(Name),
}

/// The actions of a step.
pub type Actions = SmallVec<[Action; 4]>;

/// A host's part in the allowances: what it grants as a counter, and what it asks for its sessions.
#[derive(Debug)]
pub struct Allowances {
    rules: Rules,
    roster: Roster,
    /// The allowances by workspace, once a configuration is known.
    limits: Option<BTreeMap<Name, Allowance>>,
    counter: Counter,
    asker: Asker,
    /// The counters that were chosen from the roster, by workspace.
    chosen: BTreeMap<Name, Counters>,
    /// When a host begins to count, so that others may be chosen.
    chosen_until: Option<Timestamp>,
}

impl Allowances {
    /// Creates the part of a host that knows no other host and no configuration.
    #[must_use]
    pub fn new(own: Name, rules: Rules) -> Self {
        Self {
            rules,
            roster: Roster::new(own),
            limits: None,
            counter: Counter::new(rules),
            asker: Asker::default(),
            chosen: BTreeMap::new(),
            chosen_until: None,
        }
    }

    /// Applies a list of the live hosts, on which this host may count until `valid_until`.
    pub fn set_hosts(&mut self, members: Vec<Member>, valid_until: Timestamp, now: Timestamp) {
        let next = self.roster.replaced(members, valid_until, now);
        let (rules, limits) = (self.rules, self.limits.as_ref());
        let counts = |roster: &Roster, workspace: &Name| {
            let allowance = limits.and_then(|limits| limits.get(workspace));
            let Some(allowance) = allowance else {
                return false;
            };
            let counters = roster.counters(workspace, rules.counters(*allowance), now);
            roster.counts_since(&counters, now).is_some()
        };
        let previous = &self.roster;
        self.counter
            .retain(|workspace| counts(previous, workspace) && counts(&next, workspace));
        self.roster = next;
        self.chosen.clear();
        self.chosen_until = self.roster.next_change(now);
    }

    /// Applies the allowances of a configuration.
    pub fn set_limits(&mut self, limits: BTreeMap<Name, Allowance>) {
        self.limits = Some(limits);
        self.chosen.clear();
    }

    /// Answers what another host asks.
    pub fn answer(&mut self, asks: &[AllowanceAsk], now: Timestamp) -> Vec<AllowanceAnswer> {
        asks.iter().map(|ask| self.count(ask, now)).collect()
    }

    fn count(&mut self, ask: &AllowanceAsk, now: Timestamp) -> AllowanceAnswer {
        let Some(limits) = &self.limits else {
            return AllowanceAnswer::Abstained;
        };
        let Some(allowance) = limits.get(&ask.workspace).copied() else {
            // The asking host has another version of the configuration.
            return AllowanceAnswer::Granted {
                count: ask.count,
                wait: Duration::ZERO,
                nearly_full: false,
            };
        };
        let counters = self.counters(&ask.workspace, allowance, now);
        let Some(since) = self.roster.counts_since(&counters, now) else {
            return AllowanceAnswer::Abstained;
        };
        let parts = counters.len();
        self.counter
            .take(&ask.workspace, allowance, ask.count, parts, since, now)
    }

    fn counters(&mut self, workspace: &Name, allowance: Allowance, now: Timestamp) -> Counters {
        if self.chosen_until.is_some_and(|until| until <= now) {
            self.chosen.clear();
            self.chosen_until = self.roster.next_change(now);
        }
        if let Some(chosen) = self.chosen.get(workspace) {
            return chosen.clone();
        }
        let count = self.rules.counters(allowance);
        let chosen = self.roster.counters(workspace, count, now);
        self.chosen.insert(workspace.clone(), chosen.clone());
        chosen
    }

    /// Asks whether an operation of a workspace may run.
    pub fn ask(&mut self, id: AskId, workspace: &Name, now: Timestamp) -> Actions {
        let limits = self.limits.as_ref();
        let Some(allowance) = limits.and_then(|limits| limits.get(workspace)).copied() else {
            return SmallVec::from_iter([Action::Decide(id, Decision::Run(None), Counters::new())]);
        };
        let mut counters = self.counters(workspace, allowance, now);
        let own = self.roster.own();
        let region = self.roster.region(own);
        // The nearest first: this host, then one of its region, then the others in turn.
        let others = u64::try_from(counters.len().max(1)).unwrap_or(1);
        let turn = usize::try_from(id % others).unwrap_or_default();
        counters.rotate_left(turn);
        counters.sort_by_key(|host| (host != own, self.roster.region(host) != region));
        self.asker.ask(id, workspace.clone(), counters, now)
    }

    /// Applies the answers to a call, or `None` if it has failed.
    pub fn answered(
        &mut self,
        call: CallId,
        answers: Option<&[AllowanceAnswer]>,
        now: Timestamp,
    ) -> Actions {
        self.asker.answered(call, answers, now)
    }

    /// Does what is due at `now`, and sends what was to be asked since the last call. What goes to one
    /// counter goes in one call.
    pub fn tick(&mut self, now: Timestamp) -> Actions {
        let actions = self.asker.tick(now);
        self.send(actions, now)
    }

    /// When the next step is due.
    #[must_use]
    pub fn wake(&self) -> Option<Timestamp> {
        self.asker.wake()
    }

    /// Adds the calls that are due. What this host counts itself is answered at once.
    fn send(&mut self, mut actions: Actions, now: Timestamp) -> Actions {
        loop {
            let calls = self.asker.take_calls();
            if calls.is_empty() {
                return actions;
            }
            for (call, host, asks) in calls {
                if host == *self.roster.own() {
                    let answers = self.answer(&asks, now);
                    actions.extend(self.asker.answered(call, Some(&answers), now));
                } else {
                    actions.push(Action::Call(call, host, asks));
                }
            }
        }
    }
}
