//! Converts between the types of the decision core and the messages of peers.

use goldcrest_decide::{
    configuration::{ConfigHead, Preset},
    fleet::{Health, MemberUpdate},
};
use goldcrest_peers::{WireHead, WireHealth, WireMemberUpdate};
use goldcrest_types::{ChangeId, Name};

pub(super) fn wire_update(update: MemberUpdate) -> WireMemberUpdate {
    WireMemberUpdate {
        name: update.name,
        zone: update.zone,
        address: update.address,
        incarnation: update.incarnation,
        health: match update.health {
            Health::Live => WireHealth::Live,
            Health::Suspect => WireHealth::Suspect,
            Health::Leaving => WireHealth::Leaving,
            Health::Failed => WireHealth::Failed,
        },
    }
}

pub(super) fn member_update(wire: WireMemberUpdate) -> MemberUpdate {
    MemberUpdate {
        name: wire.name,
        zone: wire.zone,
        address: wire.address,
        incarnation: wire.incarnation,
        health: match wire.health {
            WireHealth::Live => Health::Live,
            WireHealth::Suspect => Health::Suspect,
            WireHealth::Leaving => Health::Leaving,
            WireHealth::Failed => Health::Failed,
        },
    }
}

pub(super) fn wire_head(head: &ConfigHead) -> WireHead {
    WireHead {
        revision: head.revision,
        hash: head.hash.clone(),
        preset: Name::from(head.preset.name()),
        change: head.change.0,
    }
}

/// Converts a received head. Returns `None` if it names a preset that this build does not know.
pub(super) fn head(wire: &WireHead) -> Option<ConfigHead> {
    Some(ConfigHead {
        revision: wire.revision,
        hash: wire.hash.clone(),
        preset: Preset::from_name(&wire.preset)?,
        change: ChangeId(wire.change),
    })
}
