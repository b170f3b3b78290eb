//! Converts a group's state and its routing decisions to the types of the operator interface.

use goldcrest_decide::{
    group::{Explanation, Group},
    promote::Stage,
    route::SkipReason,
};
use goldcrest_operators::{EndpointStatus, GroupStatus, ReadRoute, SkippedEndpoint};
use goldcrest_types::{Acknowledge, Name, Role};

/// Returns the status of a group as this host sees it.
pub(crate) fn group_status(group: &Group) -> GroupStatus {
    let primary = group.primary().map(|(ix, _)| ix.index());
    let endpoints = group
        .views()
        .iter()
        .enumerate()
        .map(|(i, v)| EndpointStatus {
            name: v.name.clone(),
            primary: primary == Some(i) && v.role == Role::Primary,
            reachable: v.is_reachable(),
            leaving: v.leaving,
            term: v.mark.term.0,
            position: v.mark.position.0,
            load: v.load,
        });
    let counts = group.counts();
    GroupStatus {
        database: group.plan().name.clone(),
        endpoints: endpoints.collect(),
        acknowledge: Name::from(match group.plan().acknowledge {
            Acknowledge::Majority => "majority",
            Acknowledge::Primary => "primary",
        }),
        rank: group.plan().rank,
        stage: group
            .stage()
            .filter(|stage| **stage != Stage::Watching)
            .map(|stage| Name::from(stage_name(stage))),
        write_blocker: group.write_blocker().map(Name::from),
        unfinished: group.unfinished(),
        replica_reads: counts.replica_reads,
        primary_reads: counts.primary_reads,
        rounds: counts.rounds,
        retries: counts.retries,
        refused: counts.refused,
        unknown: counts.unknown,
        attempts: counts.attempts,
        desynchronized: counts.desynchronized,
    }
}

/// Converts the trace of a routing decision.
pub(crate) fn read_route(explanation: Explanation) -> ReadRoute {
    let skipped = explanation.skipped.into_iter();
    ReadRoute {
        chosen: explanation.chosen,
        waits: explanation.waits,
        skipped: skipped
            .map(|(endpoint, reason)| SkippedEndpoint {
                endpoint,
                reason: Name::from(skip_reason_name(reason)),
            })
            .collect(),
    }
}

fn stage_name(stage: &Stage) -> &'static str {
    match stage {
        Stage::Watching => "watching",
        Stage::Claiming => "claiming",
        Stage::HandingOver { .. } => "handing over",
        Stage::Sealing { .. } => "sealing",
        Stage::Promoting { .. } => "promoting",
    }
}

fn skip_reason_name(reason: SkipReason) -> &'static str {
    match reason {
        SkipReason::Unreachable => "down",
        SkipReason::Leaving => "leaving",
        SkipReason::Behind => "behind",
        SkipReason::Outranked => "outranked",
    }
}
