//! How the tables of the store reach all hosts of a fleet, simulated without a network.

use std::{collections::BTreeMap, fmt::Write, time::Duration};

use bytes::Bytes;
use goldcrest_decide::{
    owners::Candidate,
    tables::{AGE_LIMIT, Answers, Choice, Publisher, Source, Sources, plan},
};
use goldcrest_types::{Name, StoreVersion, TableQuery, TableReply, Timestamp};
use rstest::rstest;

const REGIONS: [&str; 3] = ["east", "north", "west"];

/// Duration of one step of the simulation.
const STEP: Duration = Duration::from_millis(20);

/// How long a call to an unreachable store or host takes to fail, beyond the time for which it may
/// be held.
const FAILURE_TIME: Duration = Duration::from_millis(500);

/// The pause of a host after an answer of the store.
const FEED_PAUSE: Duration = Duration::from_millis(300);

fn candidates(count: usize) -> Vec<Candidate> {
    let each = (0..count).map(|number| Candidate {
        host: Name::from(number.to_string()),
        region: Name::from(REGIONS[number % REGIONS.len()]),
        capacity: if number % 16 < 3 { 0.5 } else { 0.12 },
    });
    each.collect()
}

fn rows(pairs: &[(&str, &str)]) -> BTreeMap<Name, Bytes> {
    let each = pairs.iter();
    each.map(|(key, value)| (Name::from(*key), Bytes::from(value.to_string())))
        .collect()
}

fn version(change: u64) -> StoreVersion {
    StoreVersion::new(0, change)
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// What a host does about the table.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Activity {
    Idle,
    Pause(Timestamp),
    AskingStore { asked: Timestamp, until: Timestamp },
    AskingHost { host: usize, until: Timestamp },
}

/// A host that follows the table.
struct Follower {
    sources: Sources,
    publisher: Publisher,
    activity: Activity,
    version: u64,
    known: Option<(usize, goldcrest_types::TableCursor)>,
    /// Whether the host stands still.
    frozen: bool,
    /// Whether the host does not reach the store.
    cut: bool,
}

/// A fleet with a store whose table changes.
struct Fleet {
    now: Timestamp,
    version: u64,
    down: bool,
    hosts: Vec<Follower>,
    calls: u64,
    messages: u64,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let all = candidates(count);
        let hosts = all.iter().enumerate().map(|(number, own)| {
            let mut sources = Sources::new();
            sources.update(plan(&own.host, &own.region, &all));
            Follower {
                sources,
                publisher: Publisher::new(number as u64),
                activity: Activity::Idle,
                version: 0,
                known: None,
                frozen: false,
                cut: false,
            }
        });
        Self {
            now: at(1_000),
            version: 1,
            down: false,
            hosts: hosts.collect(),
            calls: 0,
            messages: 0,
        }
    }

    /// The hosts that read the store.
    fn readers(&self) -> Vec<usize> {
        let reads = |number: &usize| {
            let choice = self.hosts[*number].sources.next(self.now);
            matches!(choice, Choice::Ask(Source::Store, _))
        };
        (0..self.hosts.len()).filter(reads).collect()
    }

    fn table(&self) -> BTreeMap<Name, Bytes> {
        rows(&[("config", &self.version.to_string())])
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            for number in 0..self.hosts.len() {
                if !self.hosts[number].frozen {
                    self.advance(number);
                }
            }
        }
    }

    fn advance(&mut self, number: usize) {
        let now = self.now;
        let answers = self.hosts[number].publisher.answer_due(now);
        self.deliver(number, answers);
        match self.hosts[number].activity.clone() {
            Activity::Pause(until) if now < until => {}
            Activity::Idle | Activity::Pause(_) => self.ask(number),
            Activity::AskingStore { asked, until } => self.wait_for_store(number, asked, until),
            Activity::AskingHost { host, until } => {
                if now >= until {
                    self.fail(number, &Source::Host(Name::from(host.to_string())));
                }
            }
        }
    }

    fn ask(&mut self, number: usize) {
        let now = self.now;
        match self.hosts[number].sources.next(now) {
            Choice::Wait(until) => self.hosts[number].activity = Activity::Pause(until),
            Choice::Ask(Source::Store, wait) => {
                self.calls += 1;
                self.hosts[number].activity = Activity::AskingStore {
                    asked: now,
                    until: now + wait,
                };
            }
            Choice::Ask(Source::Host(name), wait) => {
                self.messages += 1;
                let host: usize = name.parse().unwrap();
                let asking = &mut self.hosts[number];
                asking.activity = Activity::AskingHost {
                    host,
                    until: now + wait + FAILURE_TIME,
                };
                let query = TableQuery {
                    known: asking.known.filter(|(from, _)| *from == host).map(|k| k.1),
                    version: version(asking.version),
                    wait,
                };
                if !self.hosts[host].frozen {
                    let answers = self.hosts[host].publisher.query(number as u64, query, now);
                    self.deliver(host, answers);
                }
            }
        }
    }

    fn wait_for_store(&mut self, number: usize, asked: Timestamp, until: Timestamp) {
        let now = self.now;
        let host = &self.hosts[number];
        if host.cut || self.down {
            if now.since(asked) >= FAILURE_TIME {
                self.fail(number, &Source::Store);
            }
            return;
        }
        if now < until && host.version == self.version {
            return;
        }
        let table = self.table();
        let host = &mut self.hosts[number];
        host.version = self.version;
        host.known = None;
        host.sources.answered(&Source::Store, Duration::ZERO);
        host.activity = Activity::Pause(now + FEED_PAUSE);
        let answers = host
            .publisher
            .publish(&table, version(self.version), now, now);
        self.deliver(number, answers);
    }

    fn fail(&mut self, number: usize, source: &Source) {
        let now = self.now;
        let host = &mut self.hosts[number];
        host.sources.failed(source, 0.5, now);
        host.activity = Activity::Idle;
    }

    fn deliver(&mut self, from: usize, answers: Answers) {
        for (number, reply) in answers {
            let number = usize::try_from(number).unwrap();
            let waits = matches!(self.hosts[number].activity, Activity::AskingHost { host, .. } if host == from);
            if waits && !self.hosts[number].frozen {
                self.messages += 1;
                self.replied(number, from, reply);
            }
        }
    }

    fn replied(&mut self, number: usize, from: usize, reply: Option<TableReply>) {
        let now = self.now;
        let source = Source::Host(Name::from(from.to_string()));
        let Some(reply) = reply else {
            return self.fail(number, &source);
        };
        let host = &mut self.hosts[number];
        let known = version(host.version);
        assert!(reply.version >= known || reply.age > Duration::ZERO);
        if !host.sources.answered(&source, reply.age) || reply.version < known {
            return self.fail(number, &source);
        }
        let table = rows(&[("config", &reply.version.to_string())]);
        host.version = reply.version.change;
        host.known = Some((from, reply.cursor));
        host.activity = Activity::Idle;
        let confirmed_at = now.before(reply.age);
        let answers = host
            .publisher
            .publish(&table, reply.version, confirmed_at, now);
        self.deliver(number, answers);
    }

    /// Changes the table, and returns how long it takes until all hosts know it that run and reach
    /// the store.
    fn change(&mut self) -> Duration {
        self.version += 1;
        let start = self.now;
        let knows = |fleet: &Self| {
            let mut hosts = fleet.hosts.iter().filter(|h| !h.frozen && !h.cut);
            hosts.all(|host| host.version == fleet.version)
        };
        while !knows(self) && self.now.since(start) < Duration::from_secs(30) {
            self.run(STEP);
        }
        self.now.since(start)
    }
}

#[rstest]
#[case::small(9)]
#[case::thirty(30)]
#[case::three_hundred(300)]
#[case::target(2_900)]
fn calls_to_the_store_do_not_grow_with_the_fleet(#[case] count: usize) {
    let mut fleet = Fleet::new(count);
    let readers = fleet.readers().len();
    fleet.run(Duration::from_secs(5));
    (fleet.calls, fleet.messages) = (0, 0);
    fleet.run(Duration::from_secs(20));
    let (calls, messages) = (fleet.calls, fleet.messages);
    let delay = fleet.change();
    let summary = format!(
        "{count} hosts, {readers} read the store: {calls} calls in 20 s, {} messages a host, change known in {delay:?}",
        messages / count as u64
    );
    assert!(delay < Duration::from_secs(1), "{summary}");
    insta::assert_snapshot!(format!("calls_{count}"), summary);
}

/// Large fleets have 5 s and more to put a change in force.
const CHANGE_LIMIT: Duration = Duration::from_secs(4);

#[rstest]
#[case::frozen_readers("frozen", |host: &mut Follower| host.frozen = true)]
#[case::readers_without_the_store("cut", |host: &mut Follower| host.cut = true)]
fn a_change_is_known_in_time_although_the_readers_fail(
    #[case] name: &str,
    #[case] harm: fn(&mut Follower),
) {
    let mut summary = String::new();
    for failed in 1..=6 {
        let mut fleet = Fleet::new(300);
        fleet.run(Duration::from_secs(5));
        for reader in fleet.readers().into_iter().take(failed) {
            harm(&mut fleet.hosts[reader]);
        }
        let delay = fleet.change();
        assert!(delay < CHANGE_LIMIT, "{failed} readers: {delay:?}");
        writeln!(summary, "{failed} readers: {delay:?}").unwrap();
    }
    insta::assert_snapshot!(format!("readers_{name}"), summary);
}

/// A third of the hosts is turned away by the store, all readers among them.
#[test]
fn hosts_that_reach_the_store_replace_readers_that_do_not() {
    let mut fleet = Fleet::new(300);
    fleet.run(Duration::from_secs(5));
    let readers = fleet.readers();
    for number in (0..300).filter(|number| number % 4 == 0 || readers.contains(number)) {
        fleet.hosts[number].cut = true;
    }
    let delay = fleet.change();
    assert!(delay < CHANGE_LIMIT, "{delay:?}");
    fleet.run(Duration::from_secs(5));
    fleet.calls = 0;
    fleet.run(Duration::from_secs(10));
    insta::assert_snapshot!(format!("{delay:?}, then {} calls in 10 s", fleet.calls));
}

#[test]
fn an_outage_of_the_store_brings_no_flood_of_calls() {
    let mut fleet = Fleet::new(300);
    fleet.run(Duration::from_secs(5));
    (fleet.down, fleet.calls) = (true, 0);
    fleet.run(Duration::from_secs(10));
    let during = fleet.calls;
    (fleet.down, fleet.calls) = (false, 0);
    let delay = fleet.change();
    assert!(delay < CHANGE_LIMIT, "{delay:?}");
    let summary = format!("{during} calls in 10 s without the store, change known in {delay:?}");
    // Each host asks less than once in 3 s.
    assert!(during < 1_000, "{summary}");
    insta::assert_snapshot!(summary);
}

/// A reader that stood still has old rows, and what it says of them must not count as current.
#[test]
fn a_reader_that_stood_still_does_not_bring_old_rows_back() {
    let mut fleet = Fleet::new(300);
    fleet.run(Duration::from_secs(5));
    let reader = fleet.readers()[0];
    fleet.hosts[reader].frozen = true;
    fleet.change();
    fleet.hosts[reader].frozen = false;
    fleet.hosts[reader].cut = true;
    for _ in 0..100 {
        fleet.run(STEP);
        let mut others = fleet.hosts.iter().enumerate();
        assert!(others.all(|(number, host)| number == reader || host.version == fleet.version));
    }
}

fn query(known: Option<&TableReply>, change: u64, wait: u64) -> TableQuery {
    TableQuery {
        known: known.map(|reply| reply.cursor),
        version: version(change),
        wait: Duration::from_millis(wait),
    }
}

/// A publisher that has read three versions of a table.
fn published() -> (Publisher, TableReply) {
    let mut publisher = Publisher::new(7);
    publisher.publish(
        &rows(&[("a", "1"), ("b", "1")]),
        version(10),
        at(1_000),
        at(1_000),
    );
    let mut answers = publisher.query(1, query(None, 0, 0), at(1_100));
    let first = answers.remove(0).1.unwrap();
    publisher.publish(
        &rows(&[("a", "2"), ("c", "1")]),
        version(12),
        at(1_200),
        at(1_200),
    );
    (publisher, first)
}

#[test]
fn a_known_state_is_answered_with_the_difference() {
    let (mut publisher, first) = published();
    let news = publisher.query(2, query(Some(&first), 10, 1_000), at(1_300));
    publisher.publish(
        &rows(&[("a", "2"), ("b", "9")]),
        version(13),
        at(1_400),
        at(1_400),
    );
    let again = publisher.query(3, query(Some(&first), 10, 1_000), at(1_500));
    insta::assert_snapshot!(format!("{first:?}\n{news:?}\n{again:?}"));
}

#[test]
fn a_query_without_news_is_held_until_its_time_and_tells_the_age() {
    let (mut publisher, _) = published();
    let newest = publisher.query(2, query(None, 0, 0), at(1_300)).remove(0).1;
    let held = publisher.query(3, query(newest.as_ref(), 12, 500), at(1_300));
    assert!(held.is_empty());
    assert_eq!(publisher.wake(), Some(at(1_800)));
    let overdue = publisher.answer_due(at(1_800));
    insta::assert_snapshot!(format!("{overdue:?}"));
}

#[test]
fn a_query_for_a_newer_version_waits_for_it() {
    let (mut publisher, first) = published();
    let held = publisher.query(2, query(Some(&first), 15, 500), at(1_300));
    assert!(held.is_empty());
    let answers = publisher.publish(&rows(&[("a", "2")]), version(15), at(1_350), at(1_350));
    insta::assert_snapshot!(format!("{answers:?}"));
}

#[rstest]
#[case::unread(Publisher::new(7), None)]
#[case::another_publisher(published().0, Some(99))]
fn a_state_that_the_publisher_does_not_know_gets_the_whole_table(
    #[case] mut publisher: Publisher,
    #[case] epoch: Option<u64>,
) {
    let (_, mut first) = published();
    first.cursor.epoch = epoch.unwrap_or(first.cursor.epoch);
    let answers = publisher.query(2, query(Some(&first), 0, 0), at(1_300));
    insta::assert_snapshot!(format!("whole_{epoch:?}"), format!("{answers:?}"));
}

/// A configuration of 250 KB that a reader sends to a hundred followers takes seconds of its link.
#[test]
fn rows_that_are_too_large_are_left_to_the_store_and_later_changes_are_passed_on() {
    let (mut publisher, first) = published();
    let large = "x".repeat(250_000);
    let table = rows(&[("a", &large), ("c", "1")]);
    publisher.publish(&table, version(13), at(1_300), at(1_300));
    let mut answers = publisher.query(2, query(Some(&first), 10, 0), at(1_400));
    answers.extend(publisher.query(3, query(None, 0, 0), at(1_400)));
    let known = answers[0].1.clone();
    publisher.publish(
        &rows(&[("a", &large), ("c", "2")]),
        version(14),
        at(1_500),
        at(1_500),
    );
    answers.extend(publisher.query(4, query(known.as_ref(), 13, 0), at(1_500)));
    insta::assert_snapshot!(format!("{answers:?}"));
}

#[test]
fn rows_of_a_lower_version_are_not_published() {
    let (mut publisher, first) = published();
    publisher.publish(&rows(&[("a", "1")]), version(11), at(1_250), at(1_250));
    let news = publisher.query(2, query(Some(&first), 10, 0), at(1_300));
    assert_eq!(news[0].1.as_ref().unwrap().version, version(12));
}

/// Hosts that read tables from others kept the rows from before a restore: those after it, of a lower
/// counter, were taken for older ones.
#[test]
fn rows_of_a_restored_store_replace_newer_ones_of_the_era_before() {
    let (mut publisher, first) = published();
    let restored = StoreVersion::new(1, 4);
    publisher.publish(&rows(&[("a", "1")]), restored, at(1_250), at(1_250));
    // A late answer from before the restore.
    publisher.publish(&rows(&[("a", "2")]), version(13), at(1_260), at(1_260));
    let news = publisher.query(2, query(Some(&first), 12, 0), at(1_300));
    insta::assert_snapshot!(format!("{news:?}"));
}

#[test]
fn an_old_state_is_not_taken_for_current() {
    let mut sources = Sources::new();
    let old = AGE_LIMIT + Duration::from_millis(1);
    assert!(!sources.answered(&Source::Store, old));
    assert!(sources.answered(&Source::Store, AGE_LIMIT));
}
