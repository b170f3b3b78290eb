//! Determines which settings to send on a connection before a session's statement runs there.

use goldcrest_types::{Name, Setting};
use smallvec::SmallVec;

/// A connection with more settings and prepared statements than this is reset.
const PREPARED_LIMIT: usize = 32;

/// The settings and prepared statements that are in force on a connection.
#[derive(Debug, Clone, Default)]
pub struct Applied(SmallVec<[Setting; 4]>);

/// What to send on a connection before a statement.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Changes {
    /// Whether to reset the connection first.
    pub reset: bool,
    /// The names of prepared statements to drop before they are prepared again.
    pub drop: SmallVec<[Name; 2]>,
    /// The statements that put the missing settings in force.
    pub apply: SmallVec<[Name; 2]>,
}

impl Applied {
    /// Puts `wanted` in force and returns what to send for that. Other session values are removed by
    /// a reset, except inside a transaction, where a connection cannot be reset.
    pub fn change(&mut self, wanted: &[Setting], in_transaction: bool) -> Changes {
        let mut changes = Changes {
            reset: !in_transaction && self.must_reset(wanted),
            ..Changes::default()
        };
        if changes.reset {
            self.0.clear();
        }
        for setting in wanted {
            if !self.0.contains(setting) {
                self.apply(setting, &mut changes);
            }
        }
        changes
    }

    /// Whether the connection has values that `wanted` lacks, or too many settings.
    fn must_reset(&self, wanted: &[Setting]) -> bool {
        let is_foreign = |s: &Setting| match s {
            Setting::Value(name, _) => !wanted
                .iter()
                .any(|w| matches!(w, Setting::Value(other, _) if other == name)),
            Setting::Prepared(..) => false,
        };
        self.0.len() > PREPARED_LIMIT || self.0.iter().any(is_foreign)
    }

    fn apply(&mut self, setting: &Setting, changes: &mut Changes) {
        let known = self.0.iter().position(|s| same_name(s, setting));
        if let Some(at) = known {
            let old = self.0.remove(at);
            if let Setting::Prepared(name, _) = old {
                changes.drop.push(name);
            }
        }
        self.0.push(setting.clone());
        let (Setting::Value(_, text) | Setting::Prepared(_, text)) = setting;
        changes.apply.push(text.clone());
    }
}

fn same_name(a: &Setting, b: &Setting) -> bool {
    match (a, b) {
        (Setting::Value(a, _), Setting::Value(b, _))
        | (Setting::Prepared(a, _), Setting::Prepared(b, _)) => a == b,
        _ => false,
    }
}
