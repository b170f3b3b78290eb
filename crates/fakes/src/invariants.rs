//! What must always hold, checked on a world's records and logs. All tests use these checks.

use std::collections::{BTreeMap, BTreeSet};

use goldcrest_decide::group::STEP_INTERVAL;
use goldcrest_types::{Acknowledge, Timestamp};

use crate::{
    clients::{ClientOutcome, Op, Record},
    world::World,
};

/// Every breach of a promise in the world's history, in words.
#[must_use]
pub fn violations(world: &World) -> Vec<String> {
    let mut out = Vec::new();
    acked_writes_survive(world, &mut out);
    writes_run_once(world, &mut out);
    refusals_are_true(world, &mut out);
    replaced_primaries_are_mute(world, &mut out);
    transactions_are_whole(world, &mut out);
    reads_are_consistent(world, &mut out);
    requests_end(world, &mut out);
    out
}

/// The writes that a request was acknowledged for.
fn acked(record: &Record) -> Vec<u64> {
    match (&record.outcome, record.op) {
        (Some((_, ClientOutcome::Done(_))), Op::Write(id)) => vec![id],
        (Some((_, ClientOutcome::Done(_))), Op::Commit) => record.covers.clone(),
        _ => Vec::new(),
    }
}

/// Acknowledged writes that the newest log does not have.
#[must_use]
pub fn lost_writes(world: &World) -> Vec<u64> {
    let last: BTreeSet<u64> = world.newest_log().into_iter().flatten().collect();
    let acked = world.records().iter().flat_map(acked);
    acked.filter(|id| !last.contains(id)).collect()
}

/// With majority acknowledgement, no failover loses an acknowledged write.
fn acked_writes_survive(world: &World, out: &mut Vec<String>) {
    if world.plan().acknowledge != Acknowledge::Majority {
        return;
    }
    let lost = lost_writes(world).into_iter();
    out.extend(lost.map(|id| format!("acknowledged write {id} is gone")));
}

/// No write stands twice in a log.
fn writes_run_once(world: &World, out: &mut Vec<String>) {
    for (endpoint, log) in world.logs().into_iter().enumerate() {
        let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
        for id in log.into_iter().flatten() {
            *counts.entry(id).or_default() += 1;
        }
        for (id, count) in counts.into_iter().filter(|(_, n)| *n > 1) {
            out.push(format!(
                "write {id} ran {count} times on endpoint {endpoint}"
            ));
        }
    }
    for (id, runs) in world.commit_counts() {
        let free = world
            .records()
            .iter()
            .any(|r| r.op == Op::Write(*id) && r.idempotent);
        if *runs > 1 && !free {
            out.push(format!("write {id} was committed {runs} times"));
        }
    }
}

/// What was refused as "not run" was never committed anywhere.
fn refusals_are_true(world: &World, out: &mut Vec<String>) {
    for record in world.records() {
        let refused = matches!(
            record.outcome,
            Some((_, ClientOutcome::NotRun(_) | ClientOutcome::TransactionLost))
        );
        let writes = match record.op {
            Op::Write(id) => vec![id],
            Op::TransactionWrite(_) | Op::Commit => record.covers.clone(),
            _ => Vec::new(),
        };
        for id in writes
            .iter()
            .filter(|id| world.commit_counts().contains_key(id))
        {
            if refused {
                out.push(format!(
                    "write {id} was refused and has run ({})",
                    record.id
                ));
            }
        }
    }
}

/// No commit is acknowledged that came after a later term's promotion.
fn replaced_primaries_are_mute(world: &World, out: &mut Vec<String>) {
    let acked: BTreeSet<u64> = world.records().iter().flat_map(acked).collect();
    for (id, term, at) in world.commits() {
        let replaced = world
            .promotions()
            .iter()
            .filter(|(_, later)| later > term)
            .map(|(when, _)| *when)
            .min();
        let late = replaced.is_some_and(|when: Timestamp| when <= *at);
        if !late || !acked.contains(id) {
            continue;
        }
        let mut commits = world.commits().iter();
        if !commits.any(|(other, t, _)| other == id && t > term) {
            out.push(format!("write {id} was acknowledged by a replaced primary"));
        }
    }
}

/// Each committed transaction holds the writes of one client, and all that it wrote.
fn transactions_are_whole(world: &World, out: &mut Vec<String>) {
    for writers in world.mixed_entries() {
        out.push(format!("a transaction holds work of clients {writers:?}"));
    }
    let commits = world.records().iter().filter(|r| r.op == Op::Commit);
    let by_write: BTreeMap<u64, &Record> = commits
        .flat_map(|r| r.covers.iter().map(move |w| (*w, r)))
        .collect();
    for entry in world.logs().into_iter().flatten() {
        let owner = entry.first().and_then(|w| by_write.get(w));
        if owner.is_some_and(|r| r.covers != entry) {
            out.push(format!("the transaction of writes {entry:?} is torn"));
        }
    }
}

/// Each read sees the client's acknowledged writes, and all that the client saw before.
fn reads_are_consistent(world: &World, out: &mut Vec<String>) {
    out.extend(world.stale_reads().iter().cloned());
}

/// Each request ends by its deadline, which hosts look at once in a step.
fn requests_end(world: &World, out: &mut Vec<String>) {
    for record in world.records() {
        let limit = record.sent_at + world.plan().answer_limit + STEP_INTERVAL;
        let late = match &record.outcome {
            Some((at, _)) => *at > limit,
            None => world.now() > limit,
        };
        if late {
            out.push(format!("{} was left without an answer in time", record.id));
        }
    }
}
