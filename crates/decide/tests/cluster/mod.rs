//! Drives one host's decisions for a fenced group by hand, and renders what they say.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod play;

use std::time::Duration;

use goldcrest_decide::fenced::{Cluster, ClusterPlan, Event, MemberInfo};
use goldcrest_types::{
    Class, ConnectionId, ConnectionNotice, EndpointIx, Floor, Kind, Lease, Mark, Name, Pin,
    RequestHead, RequestId, StatementResult, Timestamp, TxStart, TxState, Verdict,
};

/// A host's group with a clock of its own.
pub struct Stage {
    pub cluster: Cluster,
    pub now: Timestamp,
    log: Vec<String>,
}

/// An endpoint as discovery lists it.
pub fn member(name: &str, latency_ms: u64, leads: bool) -> MemberInfo {
    MemberInfo {
        name: Name::from(name),
        incarnation: 1,
        latency: Duration::from_millis(latency_ms),
        leaving: false,
        leads,
    }
}

/// A request that arrives at `now` and must start within 700 ms.
pub fn head(id: u64, kind: Kind, age_ms: u64, now: Timestamp) -> RequestHead {
    RequestHead {
        id: RequestId(id),
        workspace: Name::from("orders"),
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

impl Stage {
    /// A group of a leader far away, a near replica and another far replica.
    pub fn new() -> Self {
        let plan = ClusterPlan {
            name: Name::from("orders"),
            share: 3,
            drain: Duration::from_secs(5),
        };
        let mut stage = Self {
            cluster: Cluster::new(plan),
            now: Timestamp::from_millis(10_000),
            log: Vec::new(),
        };
        stage.list(vec![
            member("leader", 12, true),
            member("near", 1, false),
            member("far", 12, false),
        ]);
        stage
    }

    pub fn list(&mut self, members: Vec<MemberInfo>) {
        self.event("members", Event::Members(members.into()));
    }

    pub fn wait(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
        self.event("tick", Event::Tick);
    }

    pub fn event(&mut self, what: &str, event: Event) {
        let at = self.now.millis();
        let actions = self.cluster.step(event, self.now);
        let told: Vec<String> = actions.iter().map(|a| format!("{a:?}")).collect();
        self.log.push(format!("{at} {what}"));
        self.log.extend(told.iter().map(|t| format!("      {t}")));
    }

    pub fn read(&mut self, id: u64, age_ms: u64) {
        let head = head(id, Kind::Read, age_ms, self.now);
        self.event(&format!("read {id}"), Event::Ask(head, TxStart::None));
    }

    pub fn write(&mut self, id: u64) {
        let head = head(id, Kind::Write, 0, self.now);
        self.event(&format!("write {id}"), Event::Ask(head, TxStart::None));
    }

    pub fn begin(&mut self, id: u64, kind: Kind) {
        let head = head(id, kind, 0, self.now);
        self.event(&format!("begin {id}"), Event::Ask(head, TxStart::ReadWrite));
    }

    pub fn in_transaction(&mut self, id: u64, kind: Kind, lease: u64) {
        let mut head = head(id, kind, 0, self.now);
        head.pin = Some(Pin {
            endpoint: EndpointIx(0),
            lease: Lease(lease),
        });
        self.event(&format!("next {id}"), Event::Ask(head, TxStart::None));
    }

    pub fn notice(&mut self, link: u64, notice: ConnectionNotice) {
        let what = format!("connection {link}: {notice:?}");
        self.event(&what, Event::Connection(ConnectionId(link), notice));
    }

    pub fn opened(&mut self, link: u64) {
        self.notice(link, ConnectionNotice::Opened(Some(Mark::new(1, 5))));
    }

    pub fn probed(&mut self, link: u64, mark: Option<Mark>) {
        self.notice(link, ConnectionNotice::Probed(mark));
    }

    pub fn ran(&mut self, link: u64, id: u64, verdict: Verdict, tx: TxState) {
        let ran = StatementResult {
            verdict,
            body: bytes::Bytes::new(),
            mark: Some(Mark::new(1, 5)),
            led: false,
            tx,
        };
        self.notice(link, ConnectionNotice::Answered(RequestId(id), ran));
    }

    /// Leaves out what was said so far.
    pub fn forget(&mut self) {
        self.log.clear();
    }

    pub fn said(&self) -> String {
        self.log.join("\n")
    }
}
