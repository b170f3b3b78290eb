//! Handles connections that end, and answers that can't be relied on.

use goldcrest_types::{AnswerFault, ConnectionId, EndpointIx, RequestId, Timestamp};

use super::{Actions, FencedGroup, RunningRequest};

impl FencedGroup {
    pub(super) fn closed(
        &mut self,
        endpoint: EndpointIx,
        connection: ConnectionId,
        under_way: Option<(RequestId, bool)>,
        now: Timestamp,
        out: &mut Actions,
    ) {
        self.counts.lost += 1;
        let known = self.connection(connection);
        let (out_of_step, answered) = known.map_or((false, false), |c| (c.faulty, c.answered));
        self.drop_connection(connection);
        if let Some(member) = self.member_mut(endpoint) {
            match (out_of_step, answered) {
                (false, _) => member.record_failure(now),
                (true, false) => member.record_useless(now),
                (true, true) => {}
            }
        }
        let current = |run: &RunningRequest| run.connection == connection;
        // What the connection's task has not reported was never sent.
        let under_way = under_way.or_else(|| {
            let mut running = self.running.iter();
            let unsent = running.find(|(_, run)| current(run))?;
            Some((*unsent.0, false))
        });
        if let Some((id, sent)) = under_way
            && let Some(run) = self.running.get(&id).filter(|run| current(run))
        {
            if sent {
                self.record_failed(&run.clone(), now);
            }
            self.request_lost(id, sent, now, out);
        }
    }

    /// Records that a message on a connection was answered.
    pub(super) fn record_use(&mut self, connection: ConnectionId) {
        let mut members = self.members.iter_mut();
        if let Some(connection) = members.find_map(|m| m.connection(connection)) {
            connection.answered = true;
        }
    }

    /// Records that the answers on a connection can't be relied on. The endpoint itself is reachable.
    pub(super) fn out_of_step(
        &mut self,
        endpoint: EndpointIx,
        connection: ConnectionId,
        fault: AnswerFault,
    ) {
        let counter = match fault {
            AnswerFault::Unrequested => &mut self.counts.unrequested,
            AnswerFault::Repeated => &mut self.counts.repeated,
            AnswerFault::Mismatched => &mut self.counts.mismatched,
            AnswerFault::Malformed => &mut self.counts.malformed,
            AnswerFault::Unverified => &mut self.counts.unverified,
        };
        *counter += 1;
        let member = self.member_mut(endpoint);
        if let Some(connection) = member.and_then(|m| m.connection(connection)) {
            connection.faulty = true;
        }
    }
}
