//! Asks the counters of a workspace whether an operation may run.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use goldcrest_types::{AllowanceAnswer, AllowanceAsk, Name, Timestamp};
use smallvec::SmallVec;

use super::{Action, Actions, AskId, CallId, Decision, roster::Counters};

/// How long a counter may take before the next one is asked: twice the round trip between regions.
const ANSWER_TIME: Duration = Duration::from_millis(60);

/// How long an operation waits for its counters.
const DECISION_TIME: Duration = Duration::from_millis(300);

/// How long a counter that was silent or abstained is asked only if no other one is left.
const AVOID_TIME: Duration = Duration::from_secs(1);

/// How long an operation may wait for an endpoint whose workspace has all but used up its allowance. If
/// those of a longer time arrived at once, more than the allowance would run in a window.
const SEND_TIME: Duration = Duration::from_millis(200);

/// When a client may return if no counter can be reached.
const UNREACHABLE_RETRY: Duration = Duration::from_millis(500);

/// The shortest time over which refused clients return, so that they don't return at once.
const MIN_SPREAD: Duration = Duration::from_millis(200);

/// An operation that waits for a decision.
#[derive(Debug)]
struct Pending {
    workspace: Name,
    /// Counters in the order in which they are asked.
    counters: Counters,
    tried: Counters,
    /// Calls without an answer.
    waiting: SmallVec<[CallId; 3]>,
    since: Timestamp,
    /// When the next counter is asked.
    next_at: Timestamp,
    /// The shortest time that a counter gave until another operation may run.
    wait: Option<Duration>,
}

/// A call to a counter in progress.
#[derive(Debug)]
struct Call {
    host: Name,
    asks: SmallVec<[(Name, SmallVec<[AskId; 4]>); 2]>,
}

/// The operations of a host that wait for their counters.
#[derive(Debug, Default)]
pub(super) struct Asker {
    pending: BTreeMap<AskId, Pending>,
    calls: HashMap<CallId, Call>,
    next_call: CallId,
    /// What is to be sent, by host.
    outbox: BTreeMap<Name, Vec<AskId>>,
    /// Until when a counter has refused the operations of a workspace.
    full: HashMap<(Name, Name), Timestamp>,
    /// Until when a host that does not count the operations of a workspace is avoided.
    absent: HashMap<(Name, Name), Timestamp>,
    /// Until when a silent counter is avoided.
    avoided: HashMap<Name, Timestamp>,
}

impl Asker {
    pub fn ask(
        &mut self,
        id: AskId,
        workspace: Name,
        counters: Counters,
        now: Timestamp,
    ) -> Actions {
        let pending = Pending {
            workspace,
            counters,
            tried: Counters::new(),
            waiting: SmallVec::new(),
            since: now,
            next_at: now + ANSWER_TIME,
            wait: None,
        };
        self.pending.insert(id, pending);
        let mut actions = Actions::new();
        self.advance(id, now, &mut actions);
        actions
    }

    /// Returns the calls that are due: all that is to be asked of a counter goes into one.
    pub fn take_calls(&mut self) -> SmallVec<[(CallId, Name, Vec<AllowanceAsk>); 2]> {
        let mut calls = SmallVec::new();
        for (host, ids) in std::mem::take(&mut self.outbox) {
            let mut call = Call {
                host: host.clone(),
                asks: SmallVec::new(),
            };
            self.next_call += 1;
            for id in ids {
                let Some(pending) = self.pending.get_mut(&id) else {
                    continue;
                };
                pending.waiting.push(self.next_call);
                match call.asks.iter_mut().find(|(w, _)| *w == pending.workspace) {
                    Some((_, ids)) => ids.push(id),
                    None => call
                        .asks
                        .push((pending.workspace.clone(), SmallVec::from_slice(&[id]))),
                }
            }
            if call.asks.is_empty() {
                continue;
            }
            let asks = call.asks.iter().map(|(workspace, ids)| AllowanceAsk {
                workspace: workspace.clone(),
                count: u32::try_from(ids.len()).unwrap_or(u32::MAX),
            });
            calls.push((self.next_call, host, asks.collect()));
            self.calls.insert(self.next_call, call);
        }
        calls
    }

    /// Applies the answers to a call, in the order of its asks. Without answers the call has failed.
    pub fn answered(
        &mut self,
        id: CallId,
        answers: Option<&[AllowanceAnswer]>,
        now: Timestamp,
    ) -> Actions {
        let mut actions = Actions::new();
        let Some(call) = self.calls.remove(&id) else {
            return actions;
        };
        match answers {
            Some(_) => self.avoided.remove(&call.host),
            None => self.avoided.insert(call.host.clone(), now + AVOID_TIME),
        };
        let missing = AllowanceAnswer::Abstained;
        for (number, (workspace, asks)) in call.asks.iter().enumerate() {
            let answer = answers.and_then(|a| a.get(number)).unwrap_or(&missing);
            let mut send_within = None;
            let granted = match answer {
                AllowanceAnswer::Granted {
                    count,
                    wait,
                    nearly_full,
                } => {
                    send_within = nearly_full.then_some(SEND_TIME);
                    if usize::try_from(*count).unwrap_or(usize::MAX) < asks.len() {
                        let until = now + *wait;
                        self.full
                            .insert((workspace.clone(), call.host.clone()), until);
                    }
                    usize::try_from(*count).unwrap_or(usize::MAX)
                }
                AllowanceAnswer::Abstained => 0,
            };
            let abstained = answers.is_some() && *answer == missing;
            if abstained {
                let key = (workspace.clone(), call.host.clone());
                self.absent.insert(key, now + AVOID_TIME);
                actions.push(Action::Abstained(call.host.clone()));
            }
            for (place, ask) in asks.iter().enumerate() {
                let Some(pending) = self.pending.get_mut(ask) else {
                    continue;
                };
                pending.waiting.retain(|call| *call != id);
                if place < granted {
                    if let Some(pending) = self.pending.remove(ask) {
                        let used_up = self.others_full(&pending, &call.host, now);
                        let decision = Decision::Run(send_within.filter(|_| used_up));
                        actions.push(Action::Decide(*ask, decision, pending.tried));
                    }
                } else {
                    self.advance(*ask, now, &mut actions);
                }
            }
        }
        actions
    }

    /// Whether all other counters of an operation's workspace are full.
    fn others_full(&self, pending: &Pending, host: &Name, now: Timestamp) -> bool {
        let mut others = pending.counters.iter().filter(|other| *other != host);
        others.all(|other| {
            let until = self.full.get(&(pending.workspace.clone(), other.clone()));
            until.is_some_and(|until| *until > now)
        })
    }

    /// Asks the next counter of the operations whose counter is silent, and decides those that have
    /// waited long enough.
    pub fn tick(&mut self, now: Timestamp) -> Actions {
        let mut actions = Actions::new();
        let due: SmallVec<[AskId; 8]> = self
            .pending
            .iter()
            .filter(|(_, p)| p.next_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let Some(pending) = self.pending.get_mut(&id) else {
                continue;
            };
            pending.next_at = now + ANSWER_TIME;
            let late = now.since(pending.since) >= DECISION_TIME;
            for call in &pending.waiting {
                if let Some(call) = self.calls.get(call)
                    && self
                        .avoided
                        .insert(call.host.clone(), now + AVOID_TIME)
                        .is_none_or(|until| until <= now)
                {
                    actions.push(Action::Silent(call.host.clone()));
                }
            }
            if late {
                self.decide(id, &mut actions);
            } else {
                self.advance(id, now, &mut actions);
            }
        }
        if self.pending.is_empty() {
            self.full.retain(|_, until| *until > now);
            self.absent.retain(|_, until| *until > now);
            self.avoided.retain(|_, until| *until > now);
        }
        actions
    }

    /// When the next step is due.
    pub fn wake(&self) -> Option<Timestamp> {
        self.pending.values().map(|p| p.next_at).min()
    }

    /// Has the next counter asked, or decides if none is left.
    fn advance(&mut self, id: AskId, now: Timestamp, actions: &mut Actions) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let mut avoided = None;
        let mut untried = pending.counters.clone();
        untried.retain(|host| !pending.tried.contains(host));
        let mut next = None;
        for host in &untried {
            let key = (pending.workspace.clone(), host.clone());
            if let Some(until) = self.full.get(&key).filter(|until| **until > now) {
                let wait = until.since(now);
                pending.wait = Some(pending.wait.map_or(wait, |known| known.min(wait)));
                continue;
            }
            let silent = self.avoided.get(host).is_some_and(|until| *until > now);
            if silent || self.absent.get(&key).is_some_and(|until| *until > now) {
                avoided = avoided.or(Some(host));
                continue;
            }
            next = Some(host);
            break;
        }
        // One that was silent is asked again if no other one has an answer.
        let next = next.or(avoided.filter(|_| pending.wait.is_none())).cloned();
        if let Some(host) = next {
            pending.tried.push(host.clone());
            pending.next_at = now + ANSWER_TIME;
            self.outbox.entry(host).or_default().push(id);
            return;
        }
        let refused_by = |host: &Name| self.full.get(&(pending.workspace.clone(), host.clone()));
        let waits = pending
            .tried
            .iter()
            .filter_map(refused_by)
            .map(|until| until.since(now));
        pending.wait = waits.chain(pending.wait).min();
        if pending.waiting.is_empty() {
            self.decide(id, actions);
        }
    }

    /// Refuses an operation that no counter has granted.
    fn decide(&mut self, id: AskId, actions: &mut Actions) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let decision = pending
            .wait
            .map_or(Decision::Unreachable(UNREACHABLE_RETRY), |wait| {
                Decision::Refuse(spread(wait, id))
            });
        actions.push(Action::Decide(id, decision, pending.tried));
    }
}

/// The time after which a refused client returns: from `wait` to about twice as long.
fn spread(wait: Duration, id: AskId) -> Duration {
    /// Successive multiples of the golden ratio fill an interval evenly.
    const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
    let bits = id.wrapping_mul(GOLDEN_RATIO) >> 32;
    let fraction = f64::from(u32::try_from(bits).unwrap_or_default()) / f64::from(u32::MAX);
    wait + wait.max(MIN_SPREAD).mul_f64(fraction)
}
