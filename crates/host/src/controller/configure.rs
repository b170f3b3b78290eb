//! Follows changes of the configuration and applies them to this host.

use std::{net::SocketAddr, rc::Rc};

use goldcrest_decide::{
    configuration::{ConfigHead, FETCH_TIMEOUT, Offer, Preset},
    fleet,
};
use goldcrest_frontend::FrontendCommand;
use goldcrest_peers::{Connection, WireHead};
use goldcrest_settings::Settings;
use goldcrest_types::{EndpointIx, Name};
use spdlog::{info, warn};

use super::{Controller, Outcome, Phase, change, convert};
use crate::{
    group::GroupControl,
    host::{frontend_config, start_group},
    plan::endpoint_plan,
};

impl Controller {
    /// Reads the configuration row from the platform's table when a poll is due.
    pub(super) fn poll(&mut self) {
        if !self.follower.poll_due(self.clock.now()) {
            return;
        }
        let platform = self.platform.clone();
        let outcomes = self.outcomes.clone();
        compio::runtime::spawn(async move {
            if let Ok(found) = change::current(&platform).await {
                let head = found.map(|(row, _)| change::wire_head(&row));
                // The controller stops only together with its host.
                let _ = outcomes.send(Outcome::Polled(head));
            }
        })
        .detach();
    }

    pub(super) fn handle_poll(&mut self, head: Option<&WireHead>) {
        match head.and_then(convert::head) {
            Some(head) => self.handle_head(head, None),
            // No change was ever made: the declaration of the settings file is in force.
            None => self.serve(),
        }
    }

    /// Handles the head of a configuration that a peer or the platform's table reported.
    pub(super) fn handle_head(&mut self, head: ConfigHead, from: Option<SocketAddr>) {
        let revision = head.revision;
        match self.follower.offer(head, self.clock.now()) {
            Offer::Stale => {}
            Offer::Adopted => {
                info!("revision {} is in force", revision);
                self.apply();
            }
            Offer::Fetch(hash) => self.fetch_declaration(hash, from),
        }
    }

    /// Fetches a declaration from the peer that reported it, or else from the object store.
    fn fetch_declaration(&mut self, hash: Name, from: Option<SocketAddr>) {
        let platform = self.platform.clone();
        let outcomes = self.outcomes.clone();
        compio::runtime::spawn(async move {
            let mut text = None;
            if let Some(peer) = from
                && let Ok(connection) = Connection::open(peer).await
            {
                let answer = connection.document(hash.clone(), FETCH_TIMEOUT / 2).await;
                text = answer.ok().flatten();
            }
            if text.is_none()
                && let Ok(Some(bytes)) = platform.object(&hash).await
            {
                text = String::from_utf8(bytes).ok();
            }
            let _ = outcomes.send(Outcome::Fetched(hash, text));
        })
        .detach();
    }

    /// Applies a fetched declaration, if it is still the wanted one and can be used.
    pub(super) fn handle_declaration(&mut self, hash: &Name, text: Option<String>) {
        let Some(text) = text else {
            warn!("declaration {} can't be fetched yet", hash);
            return;
        };
        if change::hash_of(&text) != *hash {
            warn!("a fetched declaration does not match its hash {}", hash);
            return;
        }
        let settings = match self.settings.with_declaration_text(hash, &text) {
            Ok(settings) => settings,
            Err(error) => {
                warn!("declaration {} can't be used: {}", hash, error);
                return;
            }
        };
        if self.follower.fetched(hash) {
            self.adopt(settings, text);
        }
    }

    /// Replaces the settings and applies them. Keeps the declaration's text for peers that fetch
    /// it.
    pub(super) fn adopt(&mut self, settings: Settings, text: String) {
        let revision = self.head().map_or(0, |h| h.revision);
        info!("revision {} is in force", revision);
        self.settings = Rc::new(settings);
        self.declaration = Some(text);
        self.apply();
    }

    /// Applies the settings and the preset in force to the groups and the front end.
    fn apply(&mut self) {
        let settings = Rc::clone(&self.settings);
        let preset = self.head().map_or(Preset::Ordinary, |h| h.preset);
        let preset = settings.presets.named(preset.name());
        for service in &settings.services {
            let rule = preset.acknowledge.unwrap_or(service.acknowledge);
            for database in &service.databases {
                let group = self.groups.entry(database.name.clone()).or_insert_with(|| {
                    start_group(&settings, service, database, self.clock, &self.platform)
                });
                // A group's task stops only together with its host, so no send here can fail.
                let acknowledge = GroupControl::Acknowledge(rule.into());
                let _ = group.control.send(acknowledge);
                for (i, endpoint) in database.endpoints.iter().enumerate() {
                    let ix = EndpointIx(u16::try_from(i).unwrap_or(u16::MAX));
                    let plan = endpoint_plan(&settings, service, endpoint);
                    let control = GroupControl::Endpoint(ix, plan, endpoint.address);
                    let _ = group.control.send(control);
                }
            }
        }
        self.rank_groups();
        self.gossip_step(fleet::Event::Announce);
        self.frontend.send(FrontendCommand::Update(frontend_config(
            &settings,
            &self.groups,
            self.clock,
        )));
        self.serve();
    }

    /// Accepts clients, once it is known which configuration is in force.
    pub(super) fn serve(&mut self) {
        if self.phase == Phase::Starting {
            self.phase = Phase::Serving;
            self.frontend.send(FrontendCommand::Admit);
        }
        self.report_ready();
    }

    pub(super) fn report_ready(&mut self) {
        if self.phase != Phase::Starting {
            for reply in self.ready_waiters.drain(..) {
                // The waiting side may have been dropped.
                let _ = reply.send(());
            }
        }
    }
}
