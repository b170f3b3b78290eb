//! The task of a host that counts operations against allowances, and its calls to the counters on
//! other hosts.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use compio::time::{timeout, timeout_at};
use flume::{Receiver, Sender};
use futures_util::{FutureExt, pin_mut, select_biased};
use goldcrest_clock::Clock;
use goldcrest_decide::allowance::{
    Action, Actions, Allowances, AskId, CallId, Counters, Decision, Member, Rules,
};
use goldcrest_types::{Allowance, AllowanceAnswer, AllowanceAsk, Name, Timestamp};
use spdlog::debug;
use tarpc::client::NewClient;

use super::{
    RelayServiceClient,
    client::{new_client, open},
};
use crate::client::{call_context, with_timeout};

/// How long a call may take. Nothing waits for it by then, but its answer tells that the host is
/// reached again.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// How long a connection without calls stays open.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// The time between two checks of a task that waits for nothing.
const IDLE_INTERVAL: Duration = Duration::from_hours(1);

/// A message to the task.
#[derive(Debug)]
pub enum AllowanceInput {
    /// Asks whether an operation of a workspace may run.
    Ask(Name, Sender<Decision>),
    /// Other hosts ask this one as a counter.
    Query(Vec<AllowanceAsk>, Sender<Vec<AllowanceAnswer>>),
    /// The live hosts.
    Hosts(CounterHosts),
    /// The allowances of the configuration in force, by workspace.
    Limits(BTreeMap<Name, Allowance>),
}

/// The hosts that may count.
#[derive(Debug, Clone)]
pub struct CounterHosts {
    /// The hosts, in a fixed order.
    pub members: Vec<Member>,
    /// Their addresses.
    pub addresses: BTreeMap<Name, SocketAddr>,
    /// Until when this host may count on the word of this list.
    pub valid_until: Timestamp,
}

/// What the task reports for logs and metrics.
#[derive(Debug)]
pub enum AllowanceReport<'a> {
    /// An operation of a workspace was decided after a time, with or without another host's word.
    Decided {
        /// The workspace.
        workspace: &'a str,
        /// What was decided.
        decision: Decision,
        /// How long it took.
        after: Duration,
        /// The counters that were asked.
        counters: &'a [Name],
        /// Whether one of them is another host.
        asked_others: bool,
        /// The age of the list of hosts, from which the counters were chosen.
        list_age: Duration,
    },
    /// This host counted for another one: how many operations it granted and how many it did not.
    Counted {
        /// Operations granted.
        granted: u32,
        /// Operations refused.
        refused: u32,
    },
    /// A counter did not answer in time.
    Silent(&'a str),
    /// A host does not count a workspace that it was asked about.
    Abstained(&'a str),
}

/// Messages to the task, which ends when all handles are dropped.
pub type AllowanceHandle = Sender<AllowanceInput>;

/// Starts the task on this thread's runtime. `first` is a random number: where the clients of hosts that
/// start together return is spread by it.
#[must_use]
pub fn start_allowances(
    own: Name,
    rules: Rules,
    clock: Clock,
    first: AskId,
    report: Rc<dyn Fn(AllowanceReport<'_>, Timestamp)>,
) -> AllowanceHandle {
    let (handle, inputs) = flume::unbounded();
    let (answers, received) = flume::unbounded();
    let task = Task {
        allowances: Allowances::new(own.clone(), rules),
        own,
        clock,
        report,
        asks: HashMap::new(),
        next: first,
        addresses: BTreeMap::new(),
        listed_at: Timestamp::ZERO,
        connections: HashMap::new(),
        answers,
    };
    compio::runtime::spawn(task.run(inputs, received)).detach();
    handle
}

/// The answers to a call, or `None` if it has failed.
type CallResult = (CallId, Option<Vec<AllowanceAnswer>>);

/// A call for a connection's task.
type CounterCall = (CallId, Vec<AllowanceAsk>);

/// An operation that waits for a decision.
struct Ask {
    workspace: Name,
    reply: Sender<Decision>,
    since: Timestamp,
}

struct Task {
    own: Name,
    allowances: Allowances,
    clock: Clock,
    report: Rc<dyn Fn(AllowanceReport<'_>, Timestamp)>,
    asks: HashMap<AskId, Ask>,
    next: AskId,
    addresses: BTreeMap<Name, SocketAddr>,
    /// When the list of hosts was read.
    listed_at: Timestamp,
    /// The connections to other hosts, each with its own task.
    connections: HashMap<SocketAddr, Sender<CounterCall>>,
    answers: Sender<CallResult>,
}

enum Input {
    Own(AllowanceInput),
    Answers(CallResult),
    Closed,
}

impl Task {
    async fn run(mut self, inputs: Receiver<AllowanceInput>, received: Receiver<CallResult>) {
        loop {
            let wake = self.allowances.wake();
            let wake = wake.unwrap_or(self.clock.now() + IDLE_INTERVAL);
            let input = next_input(&inputs, &received);
            let input = timeout_at(self.clock.instant(wake), input).await;
            let now = self.clock.now();
            match input {
                Ok(Input::Own(input)) => self.handle(input, now),
                Ok(Input::Answers((call, answers))) => {
                    let actions = self.allowances.answered(call, answers.as_deref(), now);
                    self.execute(actions, now);
                }
                Ok(Input::Closed) => return,
                Err(_) => {}
            }
            // What has arrived meanwhile goes into the same calls.
            while let Ok(input) = inputs.try_recv() {
                self.handle(input, now);
            }
            let actions = self.allowances.tick(now);
            self.execute(actions, now);
        }
    }

    fn handle(&mut self, input: AllowanceInput, now: Timestamp) {
        match input {
            AllowanceInput::Ask(workspace, reply) => {
                self.next = self.next.wrapping_add(1);
                let ask = Ask {
                    workspace: workspace.clone(),
                    reply,
                    since: now,
                };
                self.asks.insert(self.next, ask);
                let actions = self.allowances.ask(self.next, &workspace, now);
                self.execute(actions, now);
            }
            AllowanceInput::Query(asks, reply) => {
                let answers = self.allowances.answer(&asks, now);
                self.report_counted(&asks, &answers, now);
                // The other host may have disconnected.
                let _ = reply.send(answers);
            }
            AllowanceInput::Hosts(hosts) => {
                self.addresses = hosts.addresses;
                self.listed_at = now;
                self.allowances
                    .set_hosts(hosts.members, hosts.valid_until, now);
            }
            AllowanceInput::Limits(limits) => self.allowances.set_limits(limits),
        }
    }

    fn report_counted(&self, asks: &[AllowanceAsk], answers: &[AllowanceAnswer], now: Timestamp) {
        let (mut granted, mut refused) = (0, 0);
        for (ask, answer) in asks.iter().zip(answers) {
            if let AllowanceAnswer::Granted { count, .. } = answer {
                granted += count;
                refused += ask.count.saturating_sub(*count);
            }
        }
        (self.report)(AllowanceReport::Counted { granted, refused }, now);
    }

    fn execute(&mut self, actions: Actions, now: Timestamp) {
        for action in actions {
            match action {
                Action::Call(call, host, asks) => self.call(call, &host, asks),
                Action::Decide(id, decision, counters) => {
                    self.decide(id, decision, &counters, now);
                }
                Action::Silent(host) => (self.report)(AllowanceReport::Silent(&host), now),
                Action::Abstained(host) => (self.report)(AllowanceReport::Abstained(&host), now),
            }
        }
    }

    fn decide(&mut self, id: AskId, decision: Decision, counters: &Counters, now: Timestamp) {
        let Some(ask) = self.asks.remove(&id) else {
            return;
        };
        let report = AllowanceReport::Decided {
            workspace: &ask.workspace,
            decision,
            after: now.since(ask.since),
            counters,
            asked_others: counters.iter().any(|host| *host != self.own),
            list_age: now.since(self.listed_at),
        };
        (self.report)(report, now);
        // The session may have ended.
        let _ = ask.reply.send(decision);
    }

    /// Calls a counter on another host. The connection's task reports the result.
    fn call(&mut self, call: CallId, host: &Name, asks: Vec<AllowanceAsk>) {
        let Some(address) = self.addresses.get(host).copied() else {
            return self.fail(call);
        };
        self.connections.retain(|_, c| !c.is_disconnected());
        let connection = self.connections.entry(address).or_insert_with(|| {
            let (calls, received) = flume::unbounded();
            compio::runtime::spawn(serve(address, received, self.answers.clone())).detach();
            calls
        });
        if connection.send((call, asks)).is_err() {
            self.fail(call);
        }
    }

    /// Has a call fail with the next input.
    fn fail(&self, call: CallId) {
        // This task owns the receiver.
        let _ = self.answers.send((call, None));
    }
}

/// Carries out calls on a connection to another host until it is lost or no call has come for a while.
async fn serve(address: SocketAddr, calls: Receiver<CounterCall>, answers: Sender<CallResult>) {
    match open(address).await {
        Ok(socket) => carry_out(new_client(socket), address, &calls, &answers).await,
        Err(error) => debug!("connecting to the counter at {} failed: {}", address, error),
    }
    for (call, _) in calls.drain() {
        // The host may be stopping.
        let _ = answers.send((call, None));
    }
}

async fn carry_out<D, E>(
    client: NewClient<RelayServiceClient, D>,
    address: SocketAddr,
    calls: &Receiver<CounterCall>,
    answers: &Sender<CallResult>,
) where
    D: Future<Output = Result<(), E>>,
{
    let dispatch = client.dispatch.fuse();
    pin_mut!(dispatch);
    loop {
        let next = timeout(IDLE_TIME, calls.recv_async()).fuse();
        pin_mut!(next);
        let received = select_biased! {
            _ = dispatch => return debug!("the connection to the counter at {} ended", address),
            received = next => received,
        };
        let Ok(Ok((call, asks))) = received else {
            return;
        };
        let (client, answers) = (client.client.clone(), answers.clone());
        compio::runtime::spawn(async move {
            let answer = client.count_operations(call_context(CALL_TIMEOUT), asks);
            let answer = with_timeout(CALL_TIMEOUT, answer).await;
            let answer = answer
                .inspect_err(|error| debug!("asking the counter at {} failed: {}", address, error));
            // The host may be stopping.
            let _ = answers.send((call, answer.ok()));
        })
        .detach();
    }
}

/// Waits for a message to the task or for the result of a call.
async fn next_input(inputs: &Receiver<AllowanceInput>, received: &Receiver<CallResult>) -> Input {
    let input = inputs.recv_async().fuse();
    let answers = received.recv_async().fuse();
    pin_mut!(input, answers);
    select_biased! {
        got = answers => got.map_or(Input::Closed, Input::Answers),
        got = input => got.map_or(Input::Closed, Input::Own),
    }
}
