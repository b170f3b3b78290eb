//! The parts of a host's memory that clients can fill, and what each purpose costs.

use super::Use;

/// The share of a host's memory that clients can make it hold.
const CLIENT_DIVISOR: u64 = 2;

/// The bytes that a connection may hold without a grant. This covers an ordinary statement, so that a
/// crowd of large messages keeps no ordinary client waiting.
pub const BASE_BYTES: usize = 8 << 10;

/// Messages of up to this size, in bytes, are counted by their size; larger ones by the largest size.
const MEDIUM_BYTES: usize = 64 << 10;

/// The read buffer of the largest message in bytes: 1 MiB and what is read behind it.
const LARGE_BYTES: usize = (1 << 20) + (64 << 10);

/// How often a message is held at most while it is received and run: in the read buffer, as a
/// statement, as a message to an endpoint, and as a frame to another host.
const MESSAGE_COPIES: usize = 4;

/// How often an answer is held at most: as it is received, whose buffer grows by doubling.
const ANSWER_COPIES: usize = 2;

/// A part of the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Pool {
    /// Messages of medium size.
    Medium,
    /// Large messages.
    Large,
    /// Answers.
    Answers,
    /// Values and prepared statements of sessions.
    Kept,
    /// What connections to endpoints remember of the sessions that they served.
    Remembered,
}

const POOLS: usize = 5;

/// The bytes in use of each part.
#[derive(Debug, Clone, Default)]
pub(super) struct Pools {
    sizes: [Option<usize>; POOLS],
    used: [usize; POOLS],
}

/// An amount of one part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Charge {
    pub pool: Pool,
    pub bytes: usize,
}

impl Pools {
    /// Divides the part of `memory` bytes that is for clients.
    pub(super) fn new(memory: Option<u64>) -> Self {
        let Some(memory) = memory else {
            return Self::default();
        };
        let total = usize::try_from(memory / CLIENT_DIVISOR).unwrap_or(usize::MAX);
        // A single message and its answer are always served.
        let large = (total / 2).max(MESSAGE_COPIES * LARGE_BYTES);
        let answers = (total / 4).max(ANSWER_COPIES * LARGE_BYTES);
        let sizes = [total / 8, large, answers, total / 8, total / 8].map(Some);
        Self {
            sizes,
            used: [0; POOLS],
        }
    }

    /// Whether a part has room for `more` bytes.
    pub(super) fn has_room(&self, pool: Pool, more: usize) -> bool {
        let used = self.used[pool as usize];
        // An empty part takes anything, so that no single request waits forever.
        self.sizes[pool as usize].is_none_or(|size| used == 0 || used.saturating_add(more) <= size)
    }

    /// Whether a part holds more than its size.
    pub(super) fn is_over(&self, pool: Pool) -> bool {
        self.sizes[pool as usize].is_some_and(|size| self.used[pool as usize] > size)
    }

    pub(super) fn take(&mut self, charge: Charge) {
        self.used[charge.pool as usize] += charge.bytes;
    }

    pub(super) fn give_back(&mut self, charge: Charge) {
        let used = &mut self.used[charge.pool as usize];
        *used = used.saturating_sub(charge.bytes);
    }

    /// The bytes in use.
    pub(super) fn used(&self) -> usize {
        self.used.iter().sum()
    }
}

/// Returns what `bytes` for a purpose cost, if they need a grant.
pub(super) fn charge(purpose: Use, bytes: usize) -> Option<Charge> {
    if bytes <= BASE_BYTES {
        return None;
    }
    let (pool, bytes) = match purpose {
        Use::Message if bytes <= MEDIUM_BYTES => (Pool::Medium, MESSAGE_COPIES * bytes),
        Use::Message => (Pool::Large, MESSAGE_COPIES * bytes.max(LARGE_BYTES)),
        Use::Answer => (Pool::Answers, ANSWER_COPIES * bytes.next_power_of_two()),
        Use::Kept => (Pool::Kept, bytes),
        Use::Remembered => (Pool::Remembered, bytes),
    };
    Some(Charge { pool, bytes })
}

/// Whether a charge that is held covers another one.
pub(super) fn covers(held: Option<Charge>, charge: Charge) -> bool {
    held.is_some_and(|held| {
        let is_larger = held.pool == Pool::Large && charge.pool == Pool::Medium;
        is_larger || held.pool == charge.pool && held.bytes >= charge.bytes
    })
}
