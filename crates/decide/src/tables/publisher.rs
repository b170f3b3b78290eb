//! Answers the questions of other hosts for a table that this host follows.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use goldcrest_types::{
    Name, StoreVersion, TableCursor, TableQuery, TableReply, TableUpdate, Timestamp,
};
use smallvec::SmallVec;

/// Removed keys that are remembered. Hosts that know an older state get the whole table.
const MAX_REMOVED: usize = 256;

/// Rows beyond this size in bytes are left to the store. A reader that sends them to half of its region
/// would need seconds of its network link, and its followers would give up meanwhile.
const MAX_UPDATE_BYTES: usize = 64 << 10;

/// Identifies a query at its publisher.
pub type QueryId = u64;

/// Answers to queries. `None` if the table has not been read yet.
pub type Answers = SmallVec<[(QueryId, Option<TableReply>); 4]>;

/// A row with the number of the change that wrote it.
#[derive(Debug, Clone)]
struct StampedRow {
    value: Bytes,
    change: u64,
}

/// A query that waits for news.
#[derive(Debug, Clone)]
struct WaitingQuery {
    id: QueryId,
    query: TableQuery,
    until: Timestamp,
}

/// The published state of one table.
#[derive(Debug, Clone)]
pub struct Publisher {
    /// Where the table stands.
    cursor: TableCursor,
    rows: BTreeMap<Name, StampedRow>,
    /// Removed keys with the numbers of the changes, oldest first.
    removed: VecDeque<(u64, Name)>,
    /// The last change whose removed key was forgotten.
    forgotten: u64,
    /// The version of the store that the rows are of.
    version: StoreVersion,
    /// When the store last confirmed the rows, or `None` before it did.
    confirmed_at: Option<Timestamp>,
    waiting: Vec<WaitingQuery>,
}

impl Publisher {
    /// Creates the publisher of a table that has not been read. `epoch` is a random number.
    #[must_use]
    pub fn new(epoch: u64) -> Self {
        Self {
            cursor: TableCursor { epoch, change: 0 },
            rows: BTreeMap::new(),
            removed: VecDeque::new(),
            forgotten: 0,
            version: StoreVersion::default(),
            confirmed_at: None,
            waiting: Vec::new(),
        }
    }

    /// Publishes the rows of the store's `version`, which the store confirmed at `confirmed_at`.
    /// Rows of a lower version than the published ones are ignored. After a restore of the store all its
    /// versions are higher.
    pub fn publish(
        &mut self,
        rows: &BTreeMap<Name, Bytes>,
        version: StoreVersion,
        confirmed_at: Timestamp,
        now: Timestamp,
    ) -> Answers {
        if version < self.version {
            return Answers::new();
        }
        self.version = version;
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
        let next = self.cursor.change + 1;
        let gone: SmallVec<[Name; 4]> = self
            .rows
            .keys()
            .filter(|key| !rows.contains_key(*key))
            .cloned()
            .collect();
        let mut changed = !gone.is_empty();
        for key in gone {
            self.rows.remove(&key);
            self.removed.push_back((next, key));
        }
        while self.removed.len() > MAX_REMOVED {
            if let Some((change, _)) = self.removed.pop_front() {
                self.forgotten = change;
            }
        }
        for (key, value) in rows {
            if self.rows.get(key).is_none_or(|row| row.value != *value) {
                changed = true;
                let row = StampedRow {
                    value: value.clone(),
                    change: next,
                };
                self.rows.insert(key.clone(), row);
            }
        }
        if changed {
            self.cursor.change = next;
        }
        self.answer_due(now)
    }

    /// Takes a query, which is answered at once if there is news for it.
    pub fn query(&mut self, id: QueryId, query: TableQuery, now: Timestamp) -> Answers {
        self.waiting.push(WaitingQuery {
            id,
            query,
            until: now + query.wait,
        });
        self.answer_due(now)
    }

    /// Answers the queries that have waited for as long as they may, and those with news.
    pub fn answer_due(&mut self, now: Timestamp) -> Answers {
        let waiting = std::mem::take(&mut self.waiting);
        let mut answers = Answers::new();
        for waiting in waiting {
            if now >= waiting.until || self.has_news(&waiting.query) {
                answers.push((waiting.id, self.reply(&waiting.query, now)));
            } else {
                self.waiting.push(waiting);
            }
        }
        answers
    }

    /// Returns when the next query has waited for as long as it may.
    #[must_use]
    pub fn wake(&self) -> Option<Timestamp> {
        self.waiting.iter().map(|waiting| waiting.until).min()
    }

    fn has_news(&self, query: &TableQuery) -> bool {
        let current = self.confirmed_at.is_some() && self.version >= query.version;
        current && query.known != Some(self.cursor)
    }

    fn reply(&self, query: &TableQuery, now: Timestamp) -> Option<TableReply> {
        Some(TableReply {
            cursor: self.cursor,
            version: self.version,
            age: now.since(self.confirmed_at?),
            update: self.update(query.known),
        })
    }

    fn update(&self, known: Option<TableCursor>) -> TableUpdate {
        let rows = self.rows.iter();
        let pair = |(key, row): (&Name, &StampedRow)| (key.clone(), row.value.clone());
        let known = known.filter(|known| {
            let known_here = known.epoch == self.cursor.epoch;
            known_here && (self.forgotten..=self.cursor.change).contains(&known.change)
        });
        let since = known.map(|known| known.change);
        let changed = rows.filter(|(_, row)| since.is_none_or(|change| row.change > change));
        let size: usize = changed.clone().map(|(_, row)| row.value.len()).sum();
        if size > MAX_UPDATE_BYTES {
            return TableUpdate::TooLarge;
        }
        let Some(known) = known else {
            return TableUpdate::Whole(changed.map(pair).collect());
        };
        let removed = self.removed.iter();
        let removed = removed.filter(|(change, key)| {
            // A key that was written again is among the changed rows.
            *change > known.change && !self.rows.contains_key(key)
        });
        TableUpdate::Changes(
            changed.map(pair).collect(),
            removed.map(|(_, key)| key.clone()).collect(),
        )
    }
}
