//! The control functions of a group: status, seal and promote.

use goldcrest_types::{AttemptId, Role, SealReply, Term};

use super::node::Node;

/// The name of a column that is a literal.
pub(super) const UNNAMED_COLUMN: &str = "?column?";

/// A call of a control function. The seal and promote calls carry the term and the promotion
/// attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ControlCall {
    Status,
    Seal(Term, AttemptId),
    Promote(Term, AttemptId),
}

impl ControlCall {
    /// Parses a statement. Returns `None` if it does not call a control function.
    pub(super) fn parse(sql: &str) -> Option<Self> {
        let sql = sql.trim().trim_end_matches(';');
        let (columns, call) = sql.split_once(" FROM group_")?;
        if columns != "SELECT *" {
            selected_literal(columns)?;
        }
        let (name, rest) = call.split_once('(')?;
        let mut arguments = rest.trim_end_matches(')').split(',').map(parse_number);
        match name {
            "status" => Some(Self::Status),
            "seal" => {
                let (term, attempt) = (arguments.next()??, arguments.next()??);
                Some(Self::Seal(Term(term), AttemptId(attempt)))
            }
            "promote" => {
                let (term, attempt) = (arguments.next()??, arguments.next()??);
                Some(Self::Promote(Term(term), AttemptId(attempt)))
            }
            _ => None,
        }
    }

    /// Returns the column names of the result.
    pub(super) fn columns(self) -> &'static [&'static str] {
        match self {
            Self::Status => &[
                "role", "promised", "term", "applied", "held", "hears", "history",
            ],
            Self::Seal(..) => &["sealed", "term", "position"],
            Self::Promote(..) => &["accepted"],
        }
    }
}

/// Returns the literal that a call of a control function selects besides the function's columns, if
/// it does.
pub(super) fn extra_column(sql: &str) -> Option<&str> {
    let (columns, _) = sql.trim().split_once(" FROM group_")?;
    selected_literal(columns)
}

fn selected_literal(columns: &str) -> Option<&str> {
    columns.strip_prefix("SELECT *, '")?.strip_suffix('\'')
}

fn parse_number(text: &str) -> Option<u64> {
    text.trim().trim_matches('\'').parse().ok()
}

impl Node {
    pub(super) fn run_control(&mut self, call: ControlCall) -> Vec<String> {
        match call {
            ControlCall::Status => self.status(),
            ControlCall::Seal(term, attempt) => self.seal(term, attempt),
            ControlCall::Promote(term, attempt) => vec![format_bool(self.promote(term, attempt))],
        }
    }

    fn status(&self) -> Vec<String> {
        let report = self.replica.report(self.is_connected());
        let role = match report.role {
            Role::Primary => "primary",
            Role::Replica => "replica",
        };
        let starts = report.history.starts().iter();
        let pairs: Vec<String> = starts
            .map(|s| format!("{}:{}", s.term.0, s.start.0))
            .collect();
        vec![
            role.to_owned(),
            report.promised.0.to_string(),
            report.applied.term.0.to_string(),
            report.applied.position.0.to_string(),
            report.held.0.to_string(),
            format_bool(report.connected),
            pairs.join(","),
        ]
    }

    fn seal(&mut self, term: Term, attempt: AttemptId) -> Vec<String> {
        match self.replica.seal(term, attempt) {
            SealReply::Sealed { held } => vec![
                format_bool(true),
                held.term.0.to_string(),
                held.position.0.to_string(),
            ],
            SealReply::Refused { promised } => {
                vec![format_bool(false), promised.0.to_string(), "0".to_owned()]
            }
        }
    }

    fn promote(&mut self, term: Term, attempt: AttemptId) -> bool {
        if !self.replica.accepts_promotion(term, attempt) {
            return false;
        }
        self.apply_all();
        self.replica.promote(term);
        self.send_heartbeat();
        true
    }
}

/// Formats a boolean as PostgreSQL does.
fn format_bool(value: bool) -> String {
    if value { "t" } else { "f" }.to_owned()
}
