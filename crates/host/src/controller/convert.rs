//! Turns decisions' values into messages of peers, and back.

use goldcrest_decide::{
    fleet::{Health, News},
    preset::{Head, Preset},
};
use goldcrest_peers::{WireHead, WireHealth, WireMemberUpdate};
use goldcrest_types::{ChangeId, Name};

pub(super) fn wire_news(news: News) -> WireMemberUpdate {
    WireMemberUpdate {
        name: news.name,
        zone: news.zone,
        address: news.address,
        incarnation: news.incarnation,
        health: match news.health {
            Health::Live => WireHealth::Live,
            Health::Suspect => WireHealth::Suspect,
            Health::Leaving => WireHealth::Leaving,
            Health::Gone => WireHealth::Failed,
        },
    }
}

pub(super) fn news(wire: WireMemberUpdate) -> News {
    News {
        name: wire.name,
        zone: wire.zone,
        address: wire.address,
        incarnation: wire.incarnation,
        health: match wire.health {
            WireHealth::Live => Health::Live,
            WireHealth::Suspect => Health::Suspect,
            WireHealth::Leaving => Health::Leaving,
            WireHealth::Failed => Health::Gone,
        },
    }
}

pub(super) fn wire_head(head: &Head) -> WireHead {
    WireHead {
        revision: head.revision,
        hash: head.hash.clone(),
        preset: Name::from(head.preset.name()),
        change: head.change.0,
    }
}

/// The head in a message. Nothing when it names a preset that this build does not know.
pub(super) fn head(wire: &WireHead) -> Option<Head> {
    Some(Head {
        revision: wire.revision,
        hash: wire.hash.clone(),
        preset: Preset::of_name(&wire.preset)?,
        change: ChangeId(wire.change),
    })
}
