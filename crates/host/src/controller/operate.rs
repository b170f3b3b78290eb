//! Answers operators.

use goldcrest_decide::{configuration::Preset, fleet::Health};
use goldcrest_frontend::FrontendCommand;
use goldcrest_operators::{
    Accepted, ActiveDeclaration, Call, ChangeError, ChangeRequest, ExplainRequest, HostStatus,
    MemberStatus, ReadRoute,
};
use goldcrest_types::{Mark, Name};

use super::{ChangeOutcome, Controller, Outcome, Phase, change, convert};
use crate::group::GroupControl;

impl Controller {
    pub(super) async fn operator(&mut self, call: Call) {
        // Whoever asked may have given up, in each of these.
        match call {
            Call::Health(reply) => {
                let _ = reply.send(self.phase == Phase::Serving);
            }
            Call::Status(reply) => {
                let _ = reply.send(self.status().await);
            }
            Call::Declaration(reply) => {
                let _ = reply.send(self.fleet());
            }
            Call::Change(request, reply) => self.change(request, reply),
            Call::Audit(reply) => {
                let platform = self.platform.clone();
                compio::runtime::spawn(async move {
                    let _ = reply.send(change::audit(&platform).await);
                })
                .detach();
            }
            Call::Explain(request, reply) => {
                let _ = reply.send(self.explain(&request).await);
            }
        }
    }

    fn change(&self, request: ChangeRequest, reply: flume::Sender<Result<Accepted, ChangeError>>) {
        let platform = self.platform.clone();
        let settings = std::rc::Rc::clone(&self.settings);
        let outcomes = self.outcomes.clone();
        compio::runtime::spawn(async move {
            let result = change::change(&platform, &settings, request).await;
            let outcome = ChangeOutcome { result, reply };
            // The controller ends only with its host.
            let _ = outcomes.send(Outcome::Changed(Box::new(outcome)));
        })
        .detach();
    }

    /// Puts an accepted change in force here at once; the others hear of it in the next greeting.
    pub(super) fn changed(&mut self, outcome: ChangeOutcome) {
        let ChangeOutcome { result, reply } = outcome;
        let told = match result {
            Ok((row, text)) => {
                if let Some(head) = convert::head(&change::wire_head(&row)) {
                    self.offered(head, None);
                }
                if let Some(text) = text {
                    self.fetched(&row.hash, Some(text));
                }
                Ok(Accepted {
                    revision: row.revision,
                })
            }
            Err(refused) => Err(refused),
        };
        let _ = reply.send(told);
    }

    fn fleet(&self) -> ActiveDeclaration {
        let held = self.head();
        let text = self.text.clone();
        let own = || self.settings.declaration().to_toml().unwrap_or_default();
        ActiveDeclaration {
            revision: held.map_or(0, |h| h.revision),
            preset: Name::from(held.map_or(Preset::Ordinary, |h| h.preset).name()),
            text: text.unwrap_or_else(own),
        }
    }

    async fn status(&self) -> HostStatus {
        let mut groups = Vec::new();
        for group in self.groups.values() {
            let (reply, answer) = flume::bounded(1);
            let asked = group.control.send(GroupControl::Status(reply));
            if asked.is_ok()
                && let Ok(status) = answer.recv_async().await
            {
                groups.push(status);
            }
        }
        let (reply, sessions) = flume::bounded(1);
        self.front.send(FrontendCommand::Count(reply));
        let members = self.members.all().map(|n| MemberStatus {
            host: n.name.clone(),
            zone: n.zone.clone(),
            health: Name::from(health_name(n.health)),
        });
        let ActiveDeclaration {
            revision, preset, ..
        } = self.fleet();
        HostStatus {
            host: self.settings.host.name.clone(),
            zone: self.settings.host.zone.clone(),
            revision,
            preset,
            sessions: sessions.recv_async().await.unwrap_or(0),
            gossip: self.gossip,
            members: members.collect(),
            groups,
        }
    }

    async fn explain(&self, request: &ExplainRequest) -> Option<ReadRoute> {
        let group = self.groups.get(&request.database)?;
        let floor = Mark::new(request.term, request.position);
        let (reply, answer) = flume::bounded(1);
        let asked = group.control.send(GroupControl::Explain(floor, reply));
        asked.ok()?;
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
