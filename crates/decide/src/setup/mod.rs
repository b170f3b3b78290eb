//! Determines which settings to send on a connection before a session's statement runs there.

use goldcrest_types::{Name, Setting};
use smallvec::SmallVec;

/// A connection with more settings and prepared statements than this is reset.
const PREPARED_LIMIT: usize = 32;

/// The settings and prepared statements that are in force on a connection.
///
/// Only changes that the endpoint has confirmed are recorded. An endpoint may refuse a change, for
/// instance in a transaction that failed when the endpoint was replaced as the primary.
#[derive(Debug, Clone, Default)]
pub struct Applied {
    confirmed: SmallVec<[Setting; 4]>,
    /// Whether `confirmed` may be wrong, because the endpoint refused a change since the last reset or what was
    /// in force was forgotten.
    uncertain: bool,
}

/// A message that changes what is in force on a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Remove all settings and prepared statements.
    Reset,
    /// Drop the prepared statement of this name.
    Drop(Name),
    /// Put a setting in force.
    Apply(Setting),
}

/// The messages to send on a connection before a statement, in order.
pub type Changes = SmallVec<[Change; 2]>;

impl Applied {
    /// Returns what to send so that `wanted` is in force. Other session values are removed by a
    /// reset, except inside a transaction, where a connection cannot be reset.
    #[must_use]
    pub fn changes(&self, wanted: &[Setting], in_transaction: bool) -> Changes {
        let reset = !in_transaction && self.must_reset(wanted);
        let known: &[Setting] = if reset { &[] } else { &self.confirmed };
        let mut changes = Changes::new();
        if reset {
            changes.push(Change::Reset);
        }
        // Prepared statements of the same names go first, as a name can't be prepared twice.
        for setting in wanted {
            if let Some(Setting::Prepared(name, _)) = replaced(known, setting) {
                changes.push(Change::Drop(name.clone()));
            }
        }
        let missing = wanted.iter().filter(|s| !known.contains(s));
        changes.extend(missing.cloned().map(Change::Apply));
        changes
    }

    /// Records the endpoint's answer to a change.
    pub fn record(&mut self, change: &Change, accepted: bool) {
        match change {
            Change::Reset if accepted => *self = Self::default(),
            Change::Reset => {}
            Change::Drop(name) => self
                .confirmed
                .retain(|s| !matches!(s, Setting::Prepared(known, _) if known == name)),
            Change::Apply(setting) => {
                self.confirmed.retain(|s| !same_name(s, setting));
                if accepted {
                    self.confirmed.push(setting.clone());
                }
            }
        }
        self.uncertain |= !accepted;
    }

    /// Returns the bytes of the settings that are remembered.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.confirmed.iter().map(Setting::bytes).sum()
    }

    /// Forgets what is in force. The connection is reset before the next statement outside a transaction.
    pub fn forget(&mut self) {
        self.confirmed = SmallVec::new();
        self.uncertain = true;
    }

    /// Whether the endpoint refused a change since the last reset, or what is in force was forgotten.
    #[must_use]
    pub fn is_uncertain(&self) -> bool {
        self.uncertain
    }

    /// Whether the connection has values that `wanted` lacks, too many settings, or settings that are
    /// not known for certain.
    fn must_reset(&self, wanted: &[Setting]) -> bool {
        let is_foreign = |s: &Setting| match s {
            Setting::Value(name, _) => !wanted
                .iter()
                .any(|w| matches!(w, Setting::Value(other, _) if other == name)),
            Setting::Prepared(..) => false,
        };
        self.uncertain
            || self.confirmed.len() > PREPARED_LIMIT
            || self.confirmed.iter().any(is_foreign)
    }
}

/// Returns the setting in `known` that has the name of `setting` and differs from it.
fn replaced<'a>(known: &'a [Setting], setting: &Setting) -> Option<&'a Setting> {
    known
        .iter()
        .find(|s| same_name(s, setting) && *s != setting)
}

fn same_name(a: &Setting, b: &Setting) -> bool {
    match (a, b) {
        (Setting::Value(a, _), Setting::Value(b, _))
        | (Setting::Prepared(a, _), Setting::Prepared(b, _)) => a == b,
        _ => false,
    }
}
