//! The connections to an endpoint by workspace: which workspace waits for one, and which connection is
//! closed for it.

use goldcrest_types::{ConnectionId, Name, Timestamp};

use super::{
    Eviction, Member,
    members::{Connection, ConnectionState},
};

impl Member {
    /// Returns an idle connection of a workspace.
    pub(super) fn idle_for(&self, workspace: &Name) -> Option<ConnectionId> {
        let mut connections = self.connections.iter();
        let idle = connections.find(|c| c.is_idle() && c.workspace == *workspace);
        idle.map(|c| c.id)
    }

    /// Whether an idle connection may run a statement of its own workspace, and is not kept for another
    /// one. A connection that was just opened runs at least one statement.
    pub(super) fn may_use(&self, connection: ConnectionId) -> bool {
        let idle = self.connections.iter().filter(|c| c.is_idle());
        let mut opened = idle.clone().filter(|c| !c.answered);
        idle.count() > self.overdue.len() || opened.any(|c| c.id == connection)
    }

    /// Keeps an idle connection for a workspace without one, up to `limit` of them, if it may replace it.
    pub(super) fn keep_idle_for(&mut self, workspace: &Name, limit: usize, now: Timestamp) {
        let kept = self.overdue.contains(workspace) || self.serves(workspace);
        if !kept && self.overdue.len() < limit && self.may_replace(now) {
            self.overdue.push(workspace.clone());
        }
    }

    /// Whether a connection of a workspace is open or being set up.
    pub(super) fn serves(&self, workspace: &Name) -> bool {
        self.connections.iter().any(|c| c.workspace == *workspace)
    }

    /// Returns the number of connections that are being set up for a workspace.
    pub(super) fn opening_for(&self, workspace: &Name) -> usize {
        let opening =
            |c: &&Connection| c.state == ConnectionState::Opening && c.workspace == *workspace;
        self.connections.iter().filter(opening).count()
    }

    /// Forgets the requests that were queued during the last dispatch.
    pub(super) fn clear_queue(&mut self) {
        self.queued = 0;
        self.queued_for.clear();
        self.overdue.clear();
    }

    /// Counts a queued request. Returns how many of its workspace are queued.
    pub(super) fn count_queued(&mut self, workspace: &Name) -> usize {
        self.queued += 1;
        let mut counts = self.queued_for.iter_mut();
        if let Some((_, count)) = counts.find(|(name, _)| name == workspace) {
            *count += 1;
            return *count;
        }
        self.queued_for.push((workspace.clone(), 1));
        1
    }

    /// Whether a connection may be closed in order to open another one.
    pub(super) fn may_replace(&self, now: Timestamp) -> bool {
        !self.unlisted && now >= self.full_until && self.may_try(now)
    }

    /// Removes and returns the idle connection of another workspace that was not used for the longest
    /// time.
    pub(super) fn evict_for(&mut self, workspace: &Name, now: Timestamp) -> Option<Eviction> {
        let others = self.connections.iter().enumerate();
        let others = others.filter_map(|(at, c)| match c.state {
            ConnectionState::Idle(since) if !c.faulty && c.workspace != *workspace => {
                Some((since, c.id, at))
            }
            _ => None,
        });
        let (since, _, at) = others.min()?;
        let connection = self.connections.remove(at);
        Some(Eviction {
            connection: connection.id,
            endpoint: self.ix,
            from: connection.workspace,
            to: workspace.clone(),
            idle: now.since(since),
        })
    }
}
