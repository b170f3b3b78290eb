//! Decides where a host reads a table: from the store, or from a host that follows it.

use std::time::Duration;

use goldcrest_types::{Name, Timestamp};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::owners::{Candidate, ranking};

/// Smallest fleet in which hosts follow each other. In a smaller one, readers would save few calls.
const MIN_FLEET: usize = 24;

/// Hosts of a region that read the store. With two of them, the loss of one costs no call.
const READERS: usize = 2;

/// Age above which a state does not count as current. A reader hears from the store each 1.3 s.
pub const AGE_LIMIT: Duration = Duration::from_secs(2);

/// How long the store holds the question of a host of a small fleet. With the margin of a call it
/// is below 5 s, the time after which a store that has recovered counts as stable: a call that was
/// lost in the outage is never answered, and must time out by then.
const STORE_WAIT: Duration = Duration::from_millis(3_800);

/// How long the store holds the question of a reader, whose followers must know within
/// [`AGE_LIMIT`] whether it still hears from the store.
const READER_WAIT: Duration = Duration::from_secs(1);

/// How long the store holds the first question after a failure.
const STORE_WAIT_AFTER_FAILURE: Duration = Duration::from_millis(300);

/// How long a host holds the question of another one. With [`AGE_LIMIT`] and one call to the next
/// source it is below 4 s, within which a change must be known (5 s in large fleets).
const HOST_WAIT: Duration = Duration::from_millis(1_500);

/// Pause after the first failure of the store for a host that reads it, and the longest such pause.
const READER_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// The same for another host.
const HOST_PAUSE: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(2));

/// The same for the store as the last resort. While it is down, a whole fleet asks it.
const FALLBACK_PAUSE: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(8));

/// Where a table is read.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The platform's store.
    Store,
    /// Another host.
    Host(Name),
}

/// Sources in order of preference.
pub type Plan = SmallVec<[Source; 4]>;

/// Returns where the host `own` of `region` reads tables.
#[must_use]
pub fn plan(own: &str, region: &str, candidates: &[Candidate]) -> Plan {
    let mut plan = Plan::new();
    if candidates.len() < MIN_FLEET {
        plan.push(Source::Store);
        return plan;
    }
    let mut hosts = ranking("store readers", region, candidates);
    let readers = hosts.len().min(READERS);
    if hosts[..readers].iter().any(|host| host == own) {
        plan.push(Source::Store);
    } else if readers > 0 {
        // Half of the followers prefer each reader.
        let turn = xxh3_64(own.as_bytes()) % u64::try_from(readers).unwrap_or(1);
        hosts[..readers].rotate_left(usize::try_from(turn).unwrap_or_default());
    }
    let others = hosts.into_iter().filter(|host| host != own);
    plan.extend(others.map(Source::Host));
    if !plan.contains(&Source::Store) {
        plan.push(Source::Store);
    }
    plan
}

/// What to do next for a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Ask this source, which may hold the question for the given time.
    Ask(Source, Duration),
    /// Wait until this time.
    Wait(Timestamp),
}

/// A source with its failures.
#[derive(Debug, Clone)]
struct Entry {
    source: Source,
    /// Failures since its last current answer.
    failures: u32,
    /// It is not asked before this time.
    retry_at: Timestamp,
}

/// The sources of one table.
#[derive(Debug, Clone)]
pub struct Sources {
    entries: SmallVec<[Entry; 4]>,
}

impl Sources {
    /// Starts with the store alone, while the other hosts are unknown.
    #[must_use]
    pub fn new() -> Self {
        let mut sources = Self {
            entries: SmallVec::new(),
        };
        sources.update(std::iter::once(Source::Store).collect());
        sources
    }

    /// Applies a new plan. Sources that stay keep their failures.
    pub fn update(&mut self, plan: Plan) {
        let known = std::mem::take(&mut self.entries);
        let entries = plan.into_iter().map(|source| {
            let old = known.iter().find(|entry| entry.source == source).cloned();
            old.unwrap_or(Entry {
                source,
                failures: 0,
                retry_at: Timestamp::ZERO,
            })
        });
        self.entries = entries.collect();
    }

    /// Chooses the first source whose pause is over.
    #[must_use]
    pub fn next(&self, now: Timestamp) -> Choice {
        let ready = self.entries.iter().position(|entry| entry.retry_at <= now);
        let Some(at) = ready else {
            let retries = self.entries.iter().map(|entry| entry.retry_at);
            return Choice::Wait(retries.min().unwrap_or(now));
        };
        let entry = &self.entries[at];
        // A preferred source is asked again as soon as its pause is over.
        let preferred = self.entries[..at].iter().map(|entry| entry.retry_at);
        let limit = preferred.min().map_or(Duration::MAX, |due| due.since(now));
        let limit = limit.max(STORE_WAIT_AFTER_FAILURE);
        Choice::Ask(entry.source.clone(), self.wait(entry).min(limit))
    }

    fn wait(&self, entry: &Entry) -> Duration {
        match (&entry.source, entry.failures) {
            (Source::Store, 0) if self.entries.len() == 1 => STORE_WAIT,
            (Source::Store, 0) => READER_WAIT,
            (Source::Store, _) => STORE_WAIT_AFTER_FAILURE,
            (Source::Host(_), 0) => HOST_WAIT,
            (Source::Host(_), _) => Duration::ZERO,
        }
    }

    /// Records an answer with a state of the given age. Returns whether the state is current.
    pub fn answered(&mut self, source: &Source, age: Duration) -> bool {
        let Some(entry) = self.entry(source) else {
            return age <= AGE_LIMIT;
        };
        if age <= AGE_LIMIT {
            entry.failures = 0;
            entry.retry_at = Timestamp::ZERO;
        }
        age <= AGE_LIMIT
    }

    /// Records that a source did not answer, or has no current state. `jitter`, from zero to one,
    /// shortens the pause, so that hosts do not all ask again at once.
    pub fn failed(&mut self, source: &Source, jitter: f64, now: Timestamp) {
        let preferred = self.entries.first().map(|entry| entry.source.clone());
        let Some(entry) = self.entry(source) else {
            return;
        };
        let (first, longest) = match source {
            Source::Host(_) => HOST_PAUSE,
            Source::Store if preferred.as_ref() == Some(source) => READER_PAUSE,
            Source::Store => FALLBACK_PAUSE,
        };
        let pause = (first * (1 << entry.failures.min(3))).min(longest);
        entry.failures += 1;
        entry.retry_at = now + pause.mul_f64(1.0 - jitter / 2.0);
    }

    fn entry(&mut self, source: &Source) -> Option<&mut Entry> {
        self.entries
            .iter_mut()
            .find(|entry| entry.source == *source)
    }
}

impl Default for Sources {
    fn default() -> Self {
        Self::new()
    }
}
