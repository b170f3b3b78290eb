//! Handles operators' requests.

use goldcrest_decide::{configuration::Preset, fleet::Health};
use goldcrest_frontend::FrontendCommand;
use goldcrest_operators::{
    Accepted, ActiveDeclaration, ChangeError, ChangeRequest, ExplainRequest, HostStatus,
    MemberStatus, OperatorRequest, ReadRoute,
};
use goldcrest_types::{Mark, Name};

use super::{ChangeOutcome, Controller, Outcome, Phase, change, convert};
use crate::group::GroupControl;

impl Controller {
    pub(super) async fn handle_operator_request(&mut self, request: OperatorRequest) {
        // The operator's connection may have been closed, so replies that can't be sent are
        // ignored.
        match request {
            OperatorRequest::Health(reply) => {
                let _ = reply.send(self.phase == Phase::Serving);
            }
            OperatorRequest::Status(reply) => {
                let _ = reply.send(self.status().await);
            }
            OperatorRequest::Declaration(reply) => {
                let _ = reply.send(self.active_declaration());
            }
            OperatorRequest::Change(request, reply) => self.change(request, reply),
            OperatorRequest::Audit(reply) => {
                let platform = self.platform.clone();
                compio::runtime::spawn(async move {
                    let _ = reply.send(change::audit(&platform).await);
                })
                .detach();
            }
            OperatorRequest::Explain(request, reply) => {
                let _ = reply.send(self.explain(&request).await);
            }
        }
    }

    /// Makes a change in a task of its own, which reports the result as an outcome.
    fn change(&self, request: ChangeRequest, reply: flume::Sender<Result<Accepted, ChangeError>>) {
        let platform = self.platform.clone();
        let settings = std::rc::Rc::clone(&self.settings);
        let outcomes = self.outcomes.clone();
        compio::runtime::spawn(async move {
            let result = change::change(&platform, &settings, request).await;
            let outcome = ChangeOutcome { result, reply };
            // The controller stops only together with its host.
            let _ = outcomes.send(Outcome::Changed(Box::new(outcome)));
        })
        .detach();
    }

    /// Applies an accepted change on this host at once. Other hosts receive it with the next gossip
    /// message.
    pub(super) fn handle_change(&mut self, outcome: ChangeOutcome) {
        let ChangeOutcome { result, reply } = outcome;
        let answer = match result {
            Ok((row, text)) => {
                if let Some(head) = convert::head(&change::wire_head(&row)) {
                    self.handle_head(head, None);
                }
                if let Some(text) = text {
                    self.handle_declaration(&row.hash, Some(text));
                }
                Ok(Accepted {
                    revision: row.revision,
                })
            }
            Err(error) => Err(error),
        };
        let _ = reply.send(answer);
    }

    fn active_declaration(&self) -> ActiveDeclaration {
        let head = self.head();
        let text = self.declaration.clone();
        let from_settings = || self.settings.declaration().to_toml().unwrap_or_default();
        ActiveDeclaration {
            revision: head.map_or(0, |h| h.revision),
            preset: Name::from(head.map_or(Preset::Ordinary, |h| h.preset).name()),
            text: text.unwrap_or_else(from_settings),
        }
    }

    async fn status(&self) -> HostStatus {
        let mut groups = Vec::new();
        for group in self.groups.values() {
            let (reply, answer) = flume::bounded(1);
            let sent = group.control.send(GroupControl::Status(reply));
            if sent.is_ok()
                && let Ok(status) = answer.recv_async().await
            {
                groups.push(status);
            }
        }
        let (reply, sessions) = flume::bounded(1);
        self.frontend.send(FrontendCommand::Count(reply));
        let members = self.members.all().map(|m| MemberStatus {
            host: m.name.clone(),
            zone: m.zone.clone(),
            health: Name::from(health_name(m.health)),
        });
        let ActiveDeclaration {
            revision, preset, ..
        } = self.active_declaration();
        HostStatus {
            host: self.settings.host.name.clone(),
            zone: self.settings.host.zone.clone(),
            revision,
            preset,
            sessions: sessions.recv_async().await.unwrap_or(0),
            gossip_bytes: self.gossip_bytes,
            members: members.collect(),
            groups,
        }
    }

    async fn explain(&self, request: &ExplainRequest) -> Option<ReadRoute> {
        let group = self.groups.get(&request.database)?;
        let floor = Mark::new(request.term, request.position);
        let (reply, answer) = flume::bounded(1);
        let sent = group.control.send(GroupControl::Explain(floor, reply));
        sent.ok()?;
        answer.recv_async().await.ok()
    }
}

fn health_name(health: Health) -> &'static str {
    match health {
        Health::Live => "live",
        Health::Suspect => "suspect",
        Health::Leaving => "leaving",
        Health::Failed => "gone",
    }
}
