//! What clients make a host hold: one budget a host, and an account for each connection.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    fmt, io,
    rc::Rc,
    time::Duration,
};

use compio::time::sleep;
use flume::{Receiver, Sender};
use goldcrest_clock::Clock;
use goldcrest_decide::budget::{BASE_BYTES, Budget, Decision, Decisions, HolderId, Reason, Use};
use goldcrest_observe::RateLimiter;
use spdlog::info;

/// Interval between checks for slow clients.
const TICK: Duration = Duration::from_millis(250);

/// Limit for log lines about closed connections.
const LINES_PER_SECOND: u32 = 10;

/// A decision about one connection.
#[derive(Debug, Clone, Copy)]
enum Notice {
    Granted,
    Closed,
}

struct State {
    budget: Budget,
    /// The channels of the connections' accounts.
    accounts: BTreeMap<HolderId, Sender<Notice>>,
    /// Connections closed or not accepted so far, by reason.
    closed: BTreeMap<Reason, u64>,
    log_limit: RateLimiter,
}

/// The budget of a host, on this thread. Clones share it.
#[derive(Clone)]
pub struct HostBudget {
    clock: Clock,
    state: Rc<RefCell<State>>,
}

impl fmt::Debug for HostBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HostBudget").finish_non_exhaustive()
    }
}

impl HostBudget {
    /// Starts the budget of a process with this memory in bytes and this number of descriptors, on
    /// this thread's runtime. What is not given is not limited.
    #[must_use]
    pub fn start(clock: Clock, memory: Option<u64>, descriptors: Option<u64>) -> Self {
        let state = State {
            budget: Budget::new(memory, descriptors),
            accounts: BTreeMap::new(),
            closed: BTreeMap::new(),
            log_limit: RateLimiter::new(LINES_PER_SECOND),
        };
        let budget = Self {
            clock,
            state: Rc::new(RefCell::new(state)),
        };
        let ticking = Rc::downgrade(&budget.state);
        compio::runtime::spawn(async move {
            loop {
                sleep(TICK).await;
                let Some(state) = ticking.upgrade() else {
                    return;
                };
                let budget = Self { clock, state };
                budget.change(|b| b.tick(clock.now()));
            }
        })
        .detach();
        budget
    }

    /// Opens the account of a client's connection. `None` if the host takes no further one.
    #[must_use]
    pub fn admit(&self) -> Option<Account> {
        let (id, decisions) = self.state.borrow_mut().budget.connect();
        self.carry_out(&decisions);
        if id.is_none() {
            self.record(None, Reason::Connections);
        }
        id.map(|id| self.account(id))
    }

    /// Opens the account of a connection to an endpoint.
    #[must_use]
    pub fn attach(&self) -> Account {
        let id = self.state.borrow_mut().budget.attach();
        self.account(id)
    }

    /// Returns how many connections were closed or not accepted for each reason.
    #[must_use]
    pub fn closed(&self) -> [(Reason, u64); Reason::ALL.len()] {
        let state = self.state.borrow();
        let count = |reason| state.closed.get(&reason).copied().unwrap_or_default();
        Reason::ALL.map(|reason| (reason, count(reason)))
    }

    /// Returns the bytes that are held for clients, as they are counted, and their connections.
    #[must_use]
    pub fn used(&self) -> (usize, usize) {
        let budget = &self.state.borrow().budget;
        (budget.used(), budget.clients())
    }

    fn account(&self, id: HolderId) -> Account {
        let (sender, notices) = flume::unbounded();
        self.state.borrow_mut().accounts.insert(id, sender);
        Account {
            id,
            budget: self.clone(),
            notices,
            closed: Cell::new(false),
            held: Cell::new(0),
            running: Cell::new(false),
        }
    }

    fn change<F>(&self, step: F)
    where
        F: FnOnce(&mut Budget) -> Decisions,
    {
        let decisions = step(&mut self.state.borrow_mut().budget);
        self.carry_out(&decisions);
    }

    fn carry_out(&self, decisions: &[Decision]) {
        for decision in decisions {
            let (id, notice) = match *decision {
                Decision::Grant(id) => (id, Notice::Granted),
                Decision::Close(id, reason) => {
                    self.record(Some(id), reason);
                    (id, Notice::Closed)
                }
            };
            if let Some(account) = self.state.borrow().accounts.get(&id) {
                // The account is removed with its connection.
                let _ = account.send(notice);
            }
        }
    }

    /// Counts and logs a connection that is closed or not accepted.
    fn record(&self, id: Option<HolderId>, reason: Reason) {
        let mut state = self.state.borrow_mut();
        *state.closed.entry(reason).or_default() += 1;
        let Some(dropped) = state.log_limit.admit(self.clock.now()) else {
            return;
        };
        info!("a client's connection is closed to keep within the host's limits", kv: {
            reason = reason.label(),
            connection = id.map_or(-1, |id| i64::try_from(id.0).unwrap_or(-1)),
            held = state.budget.used(),
            clients = state.budget.clients(),
            dropped = dropped,
        });
    }
}

/// What one connection makes its host hold. Dropping it gives everything back.
#[derive(Debug)]
pub struct Account {
    id: HolderId,
    budget: HostBudget,
    notices: Receiver<Notice>,
    closed: Cell<bool>,
    /// The bytes that were last granted for a message or an answer.
    held: Cell<usize>,
    /// Whether a message is complete and runs.
    running: Cell<bool>,
}

impl Account {
    /// Notes that the client has a session.
    pub fn started(&self) {
        self.running.set(true);
        self.budget.state.borrow_mut().budget.started(self.id);
    }

    /// Waits until the connection may hold `bytes` for a purpose. Dropping the future loses nothing.
    ///
    /// # Errors
    ///
    /// If the connection is to be closed.
    pub async fn reserve(&self, purpose: Use, bytes: usize) -> io::Result<()> {
        if bytes <= self.held.get() {
            return Ok(());
        }
        loop {
            if self.closed.get() {
                return Err(overloaded());
            }
            if self.request(purpose, bytes) {
                self.held.set(bytes);
                return Ok(());
            }
            self.next_notice().await?;
        }
    }

    /// Requests that the connection may hold `bytes`. Returns whether it may at once.
    fn request(&self, purpose: Use, bytes: usize) -> bool {
        let now = self.budget.clock.now();
        let mut state = self.budget.state.borrow_mut();
        state.budget.request(self.id, purpose, bytes, now)
    }

    /// Waits until the connection is to be closed.
    pub async fn overloaded(&self) -> io::Error {
        loop {
            if let Err(error) = self.next_notice().await {
                return error;
            }
        }
    }

    async fn next_notice(&self) -> io::Result<()> {
        if self.closed.get() {
            return Err(overloaded());
        }
        match self.notices.recv_async().await {
            Ok(Notice::Granted) => Ok(()),
            Ok(Notice::Closed) | Err(_) => {
                self.closed.set(true);
                Err(overloaded())
            }
        }
    }

    /// Notes that a message is complete and runs.
    pub fn run(&self) {
        self.running.set(true);
        self.budget.state.borrow_mut().budget.run(self.id);
    }

    /// Notes that a message that ran is over, and only `bytes` of the next one are held. Returns whether
    /// the read buffer must give up memory.
    pub fn finish_message(&self, bytes: usize) -> bool {
        if !self.running.replace(false) {
            return false;
        }
        let shrinks = self.held.replace(bytes) > BASE_BYTES;
        let now = self.budget.clock.now();
        self.budget
            .change(|b| b.finish_message(self.id, bytes, now));
        shrinks
    }

    /// Notes that an answer of `bytes` is being sent.
    pub fn send(&self, bytes: usize) {
        let now = self.budget.clock.now();
        self.budget.change(|b| b.send(self.id, bytes, now));
    }

    /// Notes that an answer was sent.
    pub fn finish_answer(&self) {
        self.budget.change(|b| b.finish_answer(self.id));
    }

    /// Notes that a connection to an endpoint holds no answer.
    pub fn release(&self) {
        if self.held.replace(0) > 0 {
            self.finish_answer();
        }
    }

    /// Requests bytes for a message that was received in one piece. Returns false if there is no room.
    #[must_use]
    pub fn try_reserve(&self, bytes: usize) -> bool {
        let now = self.budget.clock.now();
        let mut state = self.budget.state.borrow_mut();
        state.budget.request(self.id, Use::Message, bytes, now)
    }

    /// Keeps `bytes` of a session until it ends, in place of those before. Returns false if there is no room.
    #[must_use]
    pub fn keep(&self, bytes: usize) -> bool {
        self.keep_for(Use::Kept, bytes)
    }

    /// Counts `bytes` that a connection to an endpoint remembers, in place of those before. Returns false if
    /// there is no room.
    #[must_use]
    pub fn remember(&self, bytes: usize) -> bool {
        self.keep_for(Use::Remembered, bytes)
    }

    fn keep_for(&self, purpose: Use, bytes: usize) -> bool {
        let mut state = self.budget.state.borrow_mut();
        state.budget.keep(self.id, purpose, bytes)
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.budget.state.borrow_mut().accounts.remove(&self.id);
        self.budget.change(|b| b.remove(self.id));
    }
}

/// Whether an error says that the host closes a connection to keep within its limits.
#[must_use]
pub fn is_overloaded(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::OutOfMemory
}

fn overloaded() -> io::Error {
    io::Error::new(
        io::ErrorKind::OutOfMemory,
        "the host closes it to keep within its memory and descriptors",
    )
}
