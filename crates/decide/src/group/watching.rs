//! Passes the group's state to its promotion watcher.

use std::time::Duration;

use goldcrest_types::{EndpointIx, Mark, Role, Timestamp};

use super::{Action, Actions, Group};
use crate::promote::{self, GroupState};

impl Group {
    /// Steps the watcher after the group's state changed.
    pub(super) fn tick_watcher(&mut self, now: Timestamp, out: &mut Actions) {
        self.step_watcher(promote::Event::Tick, now, out);
    }

    /// Passes an event to the watcher, and its actions to the group's task.
    pub(super) fn step_watcher(
        &mut self,
        event: promote::Event,
        now: Timestamp,
        out: &mut Actions,
    ) {
        let state = self.group_state(now);
        let Some(watcher) = &mut self.watcher else {
            return;
        };
        for action in watcher.step(event, &state, now) {
            if matches!(action, promote::Action::Claim { .. }) {
                self.counts.attempts += 1;
            }
            out.push(Action::Promotion(action));
        }
    }

    fn group_state(&self, now: Timestamp) -> GroupState {
        let promised = self.promised();
        let primary = self.primary.filter(|ix| {
            let view = self.views.get(ix.index());
            view.is_some_and(|v| v.role == Role::Primary && v.mark.term == promised)
        });
        let view = primary.and_then(|ix| self.views.get(ix.index()));
        let others = self.views.iter().enumerate();
        let connected = others.filter(|(i, v)| {
            Some(*i) != primary.map(EndpointIx::index) && v.is_reachable() && v.connected
        });
        GroupState {
            size: self.size(),
            promised,
            reachable: self.views.iter().filter(|v| v.is_reachable()).count(),
            primary,
            primary_up: view.is_some_and(super::EndpointView::is_reachable),
            silent_for: view
                .and_then(|v| v.answered_at)
                .map_or(Duration::MAX, |answered_at| now.since(answered_at)),
            connected: connected.count(),
            leaving: view.is_some_and(|v| v.leaving) && self.has_successor(),
            held: self.held_marks(),
        }
    }

    /// Whether some replica can take over from a primary that is being retired.
    fn has_successor(&self) -> bool {
        let mut views = self.views.iter();
        views.any(|v| v.role == Role::Replica && v.is_reachable() && !v.leaving)
    }

    fn held_marks(&self) -> smallvec::SmallVec<[(EndpointIx, Mark); 4]> {
        let views = self.views.iter().enumerate();
        let marks = views.filter_map(|(i, v)| {
            let mark = Mark {
                term: v.mark.term,
                position: v.held,
            };
            Some((EndpointIx(u16::try_from(i).ok()?), mark))
        });
        marks.collect()
    }
}
