//! Counts the operations that a host granted to workspaces.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use goldcrest_types::{Allowance, AllowanceAnswer, Name, Timestamp};

use super::rules::{Part, Rules};

/// Number of entries into which a window's grants are combined.
const ENTRIES_PER_WINDOW: u32 = 250;

/// Number of entries for the assumed grants of a predecessor.
const ASSUMED_ENTRIES: u32 = 50;

/// Share of what a part grants in a window from which on it is nearly full.
const NEARLY_FULL: f64 = 0.9;

/// Operations that were granted at about the same time.
#[derive(Debug)]
struct Entry {
    /// When the first of them was granted.
    first: Timestamp,
    /// When the last of them was granted.
    last: Timestamp,
    granted: u32,
    /// Operations that a predecessor may have granted.
    assumed: f64,
}

/// The grants to one workspace in the last window, the oldest first. Times are those of the host's clock
/// plus one window, because a predecessor's grants may lie before the clock's start.
#[derive(Debug)]
struct Log {
    entries: VecDeque<Entry>,
    /// Number of counters among which the allowance is divided.
    parts: usize,
}

/// The grants of a host that counts operations.
#[derive(Debug)]
pub(super) struct Counter {
    rules: Rules,
    logs: BTreeMap<Name, Log>,
}

impl Counter {
    pub fn new(rules: Rules) -> Self {
        Self {
            rules,
            logs: BTreeMap::new(),
        }
    }

    /// Forgets the grants to the workspaces for which `keep` returns false.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&Name) -> bool,
    {
        self.logs.retain(|workspace, _| keep(workspace));
    }

    /// Grants up to `count` operations, as one of `parts` counters of the workspace, which it has been
    /// since `since`.
    pub fn take(
        &mut self,
        workspace: &Name,
        allowance: Allowance,
        count: u32,
        parts: usize,
        since: Timestamp,
        now: Timestamp,
    ) -> AllowanceAnswer {
        let part = self.rules.part(allowance, parts);
        let now = now + part.window;
        let log = self.logs.entry(workspace.clone()).or_insert_with(|| {
            let mut log = Log {
                entries: VecDeque::new(),
                parts,
            };
            log.assume(&part, since + part.window, 1.0);
            log
        });
        if parts < log.parts {
            // Another counter has left, which may just have granted its part.
            log.assume(&part, now, 1.0 - to_f64(parts) / to_f64(log.parts));
        }
        log.parts = parts;
        log.expire(now, part.window);
        let granted = count.min(log.room(&part, now));
        log.add(granted, now, part.window / ENTRIES_PER_WINDOW);
        let wait = if granted < count {
            log.wait(&part, now)
        } else {
            Duration::ZERO
        };
        AllowanceAnswer::Granted {
            count: granted,
            wait,
            nearly_full: log.granted() >= part.sustained * NEARLY_FULL,
        }
    }
}

impl Log {
    /// Assumes that a `share` of all that a part allows was granted up to `at`.
    fn assume(&mut self, part: &Part, at: Timestamp, share: f64) {
        let entry = |at: Timestamp, operations: f64| Entry {
            first: at,
            last: at,
            granted: 0,
            assumed: operations * share,
        };
        let step = part.window / ASSUMED_ENTRIES;
        let each = part.reserve / f64::from(ASSUMED_ENTRIES);
        for number in (0..ASSUMED_ENTRIES).rev() {
            self.entries
                .push_back(entry(at.before(step * number), each));
        }
        self.entries.push_back(entry(at, part.spike));
        self.entries
            .make_contiguous()
            .sort_by_key(|entry| entry.last);
    }

    fn expire(&mut self, now: Timestamp, window: Duration) {
        while self
            .entries
            .front()
            .is_some_and(|e| now.since(e.last) >= window)
        {
            self.entries.pop_front();
        }
    }

    /// Returns how many operations may be granted now.
    fn room(&self, part: &Part, now: Timestamp) -> u32 {
        let mut room = part.spike.min(part.sustained);
        let (mut granted, mut all) = (0.0, 0.0);
        for entry in self.entries.iter().rev() {
            granted += f64::from(entry.granted);
            all += f64::from(entry.granted) + entry.assumed;
            let limit = part.within(now.since(entry.last)) - all;
            room = room.min(part.sustained - granted).min(limit);
        }
        floor(room)
    }

    /// Returns how many operations were granted in the window.
    fn granted(&self) -> f64 {
        let entries = self.entries.iter();
        entries.map(|entry| f64::from(entry.granted)).sum()
    }

    /// Returns the time until another operation may be granted.
    fn wait(&self, part: &Part, now: Timestamp) -> Duration {
        let mut wait = Duration::ZERO;
        let (mut granted, mut all) = (1.0, 1.0);
        for entry in self.entries.iter().rev() {
            granted += f64::from(entry.granted);
            all += f64::from(entry.granted) + entry.assumed;
            let needed = if granted > part.sustained {
                part.window
            } else {
                part.time_for(all)
            };
            wait = wait.max(needed.saturating_sub(now.since(entry.last)));
        }
        wait
    }

    fn add(&mut self, granted: u32, now: Timestamp, step: Duration) {
        if granted == 0 {
            return;
        }
        let last = self.entries.back_mut();
        match last.filter(|e| now.since(e.first) < step && e.granted > 0) {
            Some(entry) => {
                entry.last = now;
                entry.granted += granted;
            }
            None => self.entries.push_back(Entry {
                first: now,
                last: now,
                granted,
                assumed: 0.0,
            }),
        }
    }
}

/// Rounds down, with regard to errors of rounding.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped before"
)]
fn floor(operations: f64) -> u32 {
    const ROUNDING_ERROR: f64 = 1e-6;
    (operations + ROUNDING_ERROR).clamp(0.0, f64::from(u32::MAX)) as u32
}

#[expect(clippy::cast_precision_loss, reason = "counters are few")]
fn to_f64(number: usize) -> f64 {
    number as f64
}
