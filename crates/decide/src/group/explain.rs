//! Explains how a read would be routed.

use goldcrest_types::{Class, Floor, Kind, Mark, Name, RequestHead, RequestId, Timestamp};
use smallvec::SmallVec;

use super::Group;
use crate::{
    fence::majority,
    route::{Choice, SkipReason},
};

/// A routing decision with the reasons for each endpoint that was not chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// The endpoint that would serve the read, if any.
    pub chosen: Option<Name>,
    /// Whether the read would wait for a replica.
    pub waits: bool,
    /// The endpoints that were not chosen, with the reasons.
    pub skipped: SmallVec<[(Name, SkipReason); 4]>,
}

impl Group {
    /// Why no write can run at present, or `None` if writes can run.
    #[must_use]
    pub fn write_blocker(&self) -> Option<&'static str> {
        if self.writable_primary().is_some() {
            return None;
        }
        let reachable = self.views.iter().filter(|v| v.is_reachable()).count();
        if reachable < majority(self.size()) {
            return Some("no majority of the group's endpoints can be reached");
        }
        Some("no primary is confirmed")
    }

    /// The head of an example read with this floor, for [`Group::explain`].
    #[must_use]
    pub fn sample_read(floor: Mark) -> RequestHead {
        RequestHead {
            id: RequestId(u64::MAX),
            workspace: Name::default(),
            database: Name::default(),
            priority: 0,
            kind: Kind::Read,
            class: Class::Short,
            floor: Floor::At(floor),
            max_age: None,
            pin: None,
            idempotent: false,
            arrived: Timestamp::ZERO,
            start_by: Timestamp::ZERO,
            deadline: Timestamp::ZERO,
        }
    }

    /// Explains how a read with this head would be routed now.
    ///
    /// An unknown floor is treated as the lowest mark, as if the session had written nothing.
    #[must_use]
    pub fn explain(&self, head: &RequestHead) -> Explanation {
        let floor = match head.floor {
            Floor::At(mark) => mark,
            Floor::Unknown => Mark::default(),
        };
        let floors = self.floors(head, floor).unwrap_or_default();
        let route = self.route(floors, true);
        let name = |ix: goldcrest_types::EndpointIx| self.views.get(ix.index()).map(|v| &v.name);
        let chosen = match route.choice {
            Choice::Serve(ix) => name(ix).cloned(),
            Choice::Wait | Choice::Unavailable => None,
        };
        let skipped = route.skipped.iter();
        Explanation {
            chosen,
            waits: route.choice == Choice::Wait,
            skipped: skipped
                .filter_map(|(ix, reason)| Some((name(*ix)?.clone(), *reason)))
                .collect(),
        }
    }
}
