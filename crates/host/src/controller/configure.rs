//! Follows the configuration and puts it in force on this host.

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
    host::{front, start_group},
    plan::endpoint_plan,
};

impl Controller {
    /// Looks at the platform's table from time to time.
    pub(super) fn poll(&mut self) {
        if !self.follower.poll_due(self.clock.now()) {
            return;
        }
        let platform = self.platform.clone();
        let outcomes = self.outcomes.clone();
        compio::runtime::spawn(async move {
            if let Ok(found) = change::current(&platform).await {
                let head = found.map(|(row, _)| change::wire_head(&row));
                // The controller ends only with its host.
                let _ = outcomes.send(Outcome::Polled(head));
            }
        })
        .detach();
    }

    pub(super) fn polled(&mut self, head: Option<&WireHead>) {
        match head.and_then(convert::head) {
            Some(head) => self.offered(head, None),
            // Nothing was ever changed: the settings file's declaration is in force.
            None => self.serve(),
        }
    }

    /// Looks at a configuration that a peer or the table showed.
    pub(super) fn offered(&mut self, head: ConfigHead, from: Option<SocketAddr>) {
        let revision = head.revision;
        match self.follower.offer(head, self.clock.now()) {
            Offer::Stale => {}
            Offer::Adopted => {
                info!("revision {} is in force", revision);
                self.put_in_force();
            }
            Offer::Fetch(hash) => self.fetch(hash, from),
        }
    }

    /// Fetches a document from the peer that showed it, else from the object store.
    fn fetch(&mut self, hash: Name, from: Option<SocketAddr>) {
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

    pub(super) fn fetched(&mut self, hash: &Name, text: Option<String>) {
        let Some(text) = text else {
            warn!("configuration {} can't be fetched yet", hash);
            return;
        };
        if change::hash_of(&text) != *hash {
            warn!("a document does not match its hash {}", hash);
            return;
        }
        let settings = match self.settings.with_declaration_text(hash, &text) {
            Ok(settings) => settings,
            Err(error) => {
                warn!("configuration {} can't be used: {}", hash, error);
                return;
            }
        };
        if self.follower.fetched(hash) {
            self.adopt(settings, text);
        }
    }

    /// Puts a declaration in force.
    pub(super) fn adopt(&mut self, settings: Settings, text: String) {
        let revision = self.head().map_or(0, |h| h.revision);
        info!("revision {} is in force", revision);
        self.settings = Rc::new(settings);
        self.text = Some(text);
        self.put_in_force();
    }

    fn put_in_force(&mut self) {
        let settings = Rc::clone(&self.settings);
        let preset = self.head().map_or(Preset::Ordinary, |h| h.preset);
        let preset = settings.presets.named(preset.name());
        for service in &settings.services {
            let rule = preset.acknowledge.unwrap_or(service.acknowledge);
            for database in &service.databases {
                let group = self.groups.entry(database.name.clone()).or_insert_with(|| {
                    start_group(&settings, service, database, self.clock, &self.platform)
                });
                // A group ends only with its host, here and below.
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
        self.front.send(FrontendCommand::Update(front(
            &settings,
            &self.groups,
            self.clock,
        )));
        self.serve();
    }

    /// Lets callers in, once it is known which configuration is in force.
    pub(super) fn serve(&mut self) {
        if self.phase == Phase::Starting {
            self.phase = Phase::Serving;
            self.front.send(FrontendCommand::Admit);
        }
        self.tell_ready();
    }

    pub(super) fn tell_ready(&mut self) {
        if self.phase != Phase::Starting {
            for reply in self.awaited.drain(..) {
                // Whoever waited may be gone.
                let _ = reply.send(());
            }
        }
    }
}
