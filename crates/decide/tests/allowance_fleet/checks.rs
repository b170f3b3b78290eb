//! What must hold of the operations that ran.

use super::{Fleet, RULES, Workspace};

impl Workspace {
    /// Creates a workspace that asks for a share of its limit, evenly, mostly at one host.
    pub fn new(name: &str, rate: f64, burst: f64, share: f64) -> Self {
        let allowance = goldcrest_types::Allowance { rate, burst };
        Self {
            name: name.into(),
            allowance,
            usual: RULES.limit(allowance) * share / RULES.window.as_secs_f64(),
            home: 0,
            hot: (1.0, 0),
            asked: Vec::new(),
            ran: Vec::new(),
            hurried: 0,
            refused: Vec::new(),
            unreachable: Vec::new(),
        }
    }

    /// Counts the operations in a list from `start` on, before `end`, in milliseconds.
    pub fn count(times: &[u64], start: u64, end: u64) -> usize {
        times.partition_point(|t| *t < end) - times.partition_point(|t| *t < start)
    }
}

impl Fleet {
    /// Returns the windows in which more operations ran than the bound, with the number and the bound.
    /// A lower limit binds one window after the last host has taken it up.
    pub fn broken_windows(&self) -> Vec<String> {
        let window = u64::try_from(RULES.window.as_millis()).unwrap();
        // Hosts that the store does not reach still go by an older one.
        let running = self.hosts.iter().filter_map(|h| h.running.as_ref());
        let applied = running.map(|r| r.applied);
        let oldest = applied.min().unwrap_or_default();
        let mut broken = Vec::new();
        for workspace in &self.workspaces {
            for (first, start) in workspace.ran.iter().enumerate() {
                let ran = &workspace.ran[first..];
                let count = ran.partition_point(|t| *t < start + window);
                let in_force = self
                    .versions
                    .iter()
                    .enumerate()
                    .filter(|(number, (_, end))| *number >= oldest || *end >= *start);
                let factor = in_force.map(|(_, (f, _))| *f).fold(0.0, f64::max);
                let allowance = goldcrest_types::Allowance {
                    rate: workspace.allowance.rate * factor,
                    burst: workspace.allowance.burst * factor,
                };
                let bound = RULES.limit(allowance) + RULES.tolerance(allowance);
                if f64::from(u32::try_from(count).unwrap()) > bound {
                    broken.push(format!(
                        "{} at {start}: {count} of {bound:.0}",
                        workspace.name
                    ));
                }
            }
        }
        broken
    }
}
