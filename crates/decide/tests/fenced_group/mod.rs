//! Drives the decisions of one host for a fenced group, and logs events and actions as text.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod peak;
pub mod pool;
pub mod simulation;
pub mod synchronous;

use std::time::Duration;

use goldcrest_decide::fenced::{Event, FencedGroup, GroupConfig, MemberInfo};
use goldcrest_types::{
    Claim, Class, ConnectionId, ConnectionNotice, EndpointIx, Floor, Kind, Lease, Mark, Name,
    OpenError, Pin, ReplicationStatus, RequestHead, RequestId, Role, StatementResult, Term,
    Timestamp, TxStart, TxState, Verdict,
};

/// A host's group with a simulated clock.
pub struct Harness {
    pub group: FencedGroup,
    pub now: Timestamp,
    log: Vec<String>,
}

/// An endpoint as discovery lists it, with its one-way latency.
pub fn member(name: &str, latency_ms: u64, claims_primary: bool) -> MemberInfo {
    MemberInfo {
        name: Name::from(name),
        incarnation: 1,
        latency: Duration::from_millis(latency_ms),
        leaving: false,
        claims_primary,
    }
}

/// A request that arrives at `now` and must be sent within 700 ms.
pub fn head(id: u64, kind: Kind, age_ms: u64, now: Timestamp) -> RequestHead {
    RequestHead {
        id: RequestId(id),
        workspace: Name::new(),
        database: Name::from("orders"),
        priority: 0,
        kind,
        class: Class::Short,
        floor: Floor::At(Mark::default()),
        max_age: Some(Duration::from_millis(age_ms)),
        pin: None,
        idempotent: false,
        arrived: now,
        start_by: now + Duration::from_millis(700),
        deadline: now + Duration::from_millis(800),
    }
}

/// A group whose leader has an idle connection (0) and has just reported its position, and whose
/// near replica has an idle connection (1).
pub fn ready() -> Harness {
    let mut harness = Harness::new();
    harness.read(1, 0);
    harness.opened(0);
    harness.probed(0, Some(Mark::new(1, 5)));
    harness.opened(1);
    harness.answered(1, 1, Verdict::Done, TxState::Idle);
    harness.clear_log();
    harness
}

/// The lease that a survey runs under.
pub fn claim() -> Claim {
    Claim {
        holder: Name::from("host-1"),
        token: 7,
    }
}

/// Makes the leader unresponsive for long enough to be suspected, while replicas answer.
pub fn suspected() -> Harness {
    fail_leader(ready())
}

/// Makes the leader unresponsive until this host claims the lease.
pub fn fail_leader(mut harness: Harness) -> Harness {
    harness.write(2);
    harness.notice(0, ConnectionNotice::Closed(Some((RequestId(2), true))));
    harness.write(3);
    harness.wait(200);
    let mut connection = 2;
    while !harness.log().contains("Claim") && connection < 12 {
        harness.notice(
            connection,
            ConnectionNotice::OpenFailed(OpenError::Unreachable),
        );
        connection += 1;
        harness.wait(400);
    }
    harness.clear_log();
    harness
}

/// An endpoint's status that is not paused, at term 1.
pub fn status(role: Role, held: Mark) -> ReplicationStatus {
    ReplicationStatus {
        role,
        term: Term(1),
        held,
        paused: Term(0),
    }
}

/// An endpoint's answer to a report command.
pub fn report(role: Role, held: Mark) -> ConnectionNotice {
    ConnectionNotice::Reported(Some(status(role, held)))
}

impl Harness {
    /// Creates a group with a distant leader (endpoint 0), a near replica (1) and a distant replica (2).
    pub fn new() -> Self {
        Self::with_config(GroupConfig {
            name: Name::from("orders"),
            share: 3,
            drain: Duration::from_secs(5),
            settled_at: Timestamp::ZERO,
            limited: false,
        })
    }

    /// The same with another configuration.
    pub fn with_config(config: GroupConfig) -> Self {
        let mut harness = Self {
            group: FencedGroup::new(config),
            now: Timestamp::from_millis(10_000),
            log: Vec::new(),
        };
        harness.set_members(vec![
            member("leader", 12, true),
            member("near", 1, false),
            member("far", 12, false),
        ]);
        harness
    }

    pub fn set_members(&mut self, members: Vec<MemberInfo>) {
        self.event("members", Event::Members(members.into()));
    }

    /// Lets time pass. The group gets each tick that it asks for.
    pub fn wait(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        loop {
            self.now = self.group.wake(self.now).min(end);
            if self.now == end {
                return self.event("tick", Event::Tick);
            }
            self.quiet_event("tick", Event::Tick);
        }
    }

    /// Lets the host stand still for a while.
    pub fn stand_still(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
        self.event("tick", Event::Tick);
    }

    /// Handles an event, which is logged only if it causes actions.
    fn quiet_event(&mut self, what: &str, event: Event) {
        let before = self.log.len();
        self.event(what, event);
        if self.log.len() == before + 1 {
            self.log.truncate(before);
        }
    }

    pub fn event(&mut self, what: &str, event: Event) {
        let at = self.now.millis();
        let actions = self.group.step(event, self.now);
        let lines: Vec<String> = actions.iter().map(|a| format!("{a:?}")).collect();
        self.log.push(format!("{at} {what}"));
        self.log.extend(lines.iter().map(|t| format!("      {t}")));
    }

    pub fn read(&mut self, id: u64, age_ms: u64) {
        let head = head(id, Kind::Read, age_ms, self.now);
        self.event(&format!("read {id}"), Event::Request(head, TxStart::None));
    }

    pub fn write(&mut self, id: u64) {
        let head = head(id, Kind::Write, 0, self.now);
        self.event(&format!("write {id}"), Event::Request(head, TxStart::None));
    }

    pub fn begin(&mut self, id: u64, kind: Kind) {
        let head = head(id, kind, 0, self.now);
        self.event(
            &format!("begin {id}"),
            Event::Request(head, TxStart::ReadWrite),
        );
    }

    pub fn in_transaction(&mut self, id: u64, kind: Kind, lease: u64) {
        let mut head = head(id, kind, 0, self.now);
        head.pin = Some(Pin {
            endpoint: EndpointIx(0),
            lease: Lease(lease),
        });
        self.event(&format!("next {id}"), Event::Request(head, TxStart::None));
    }

    pub fn notice(&mut self, connection: u64, notice: ConnectionNotice) {
        let what = format!("connection {connection}: {notice:?}");
        self.event(&what, Event::Connection(ConnectionId(connection), notice));
    }

    pub fn opened(&mut self, connection: u64) {
        self.notice(connection, ConnectionNotice::Opened(Some(Mark::new(1, 5))));
    }

    pub fn probed(&mut self, connection: u64, mark: Option<Mark>) {
        self.notice(connection, ConnectionNotice::Probed(mark));
    }

    pub fn answered(&mut self, connection: u64, id: u64, verdict: Verdict, tx: TxState) {
        let result = StatementResult {
            verdict,
            body: bytes::Bytes::new(),
            mark: Some(Mark::new(1, 5)),
            led: false,
            tx,
        };
        self.notice(
            connection,
            ConnectionNotice::Answered(RequestId(id), result),
        );
    }

    /// Clears the log.
    pub fn clear_log(&mut self) {
        self.log.clear();
    }

    pub fn log(&self) -> String {
        self.log.join("\n")
    }
}
