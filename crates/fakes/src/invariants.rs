//! The guarantees of the system, checked on the records and logs of a finished simulation. All
//! simulation tests use these checks.

use std::collections::{BTreeMap, BTreeSet};

use goldcrest_decide::group::STEP_INTERVAL;
use goldcrest_types::{Acknowledge, Timestamp};

use crate::{
    clients::{ClientOutcome, Op, Record},
    world::World,
};

/// Returns a description of each violated guarantee.
#[must_use]
pub fn violations(world: &World) -> Vec<String> {
    let mut out = Vec::new();
    check_acknowledged_writes(world, &mut out);
    check_single_commit(world, &mut out);
    check_refused_writes(world, &mut out);
    check_replaced_primaries(world, &mut out);
    check_transactions_atomic(world, &mut out);
    check_reads(world, &mut out);
    check_deadlines(world, &mut out);
    out
}

/// Returns the writes that the outcome of a request acknowledged.
fn acknowledged_writes(record: &Record) -> Vec<u64> {
    match (&record.outcome, record.op) {
        (Some((_, ClientOutcome::Done(_))), Op::Write(id)) => vec![id],
        (Some((_, ClientOutcome::Done(_))), Op::Commit) => record.tx_writes.clone(),
        _ => Vec::new(),
    }
}

/// Returns the acknowledged writes that the newest log lacks.
#[must_use]
pub fn lost_writes(world: &World) -> Vec<u64> {
    let last: BTreeSet<u64> = world.newest_log().into_iter().flatten().collect();
    let acknowledged = world.records().iter().flat_map(acknowledged_writes);
    acknowledged.filter(|id| !last.contains(id)).collect()
}

/// Checks that no failover loses an acknowledged write, under majority acknowledgement.
fn check_acknowledged_writes(world: &World, out: &mut Vec<String>) {
    if world.plan().acknowledge != Acknowledge::Majority {
        return;
    }
    let lost = lost_writes(world).into_iter();
    out.extend(lost.map(|id| format!("acknowledged write {id} is lost")));
}

/// Checks that no log contains a write twice, and that no write is committed twice, unless it
/// carries a request id.
fn check_single_commit(world: &World, out: &mut Vec<String>) {
    for (endpoint, log) in world.logs().into_iter().enumerate() {
        let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
        for id in log.into_iter().flatten() {
            *counts.entry(id).or_default() += 1;
        }
        for (id, count) in counts.into_iter().filter(|(_, n)| *n > 1) {
            out.push(format!(
                "write {id} is {count} times in the log of endpoint {endpoint}"
            ));
        }
    }
    for (id, count) in world.commit_counts() {
        let idempotent = world
            .records()
            .iter()
            .any(|r| r.op == Op::Write(*id) && r.idempotent);
        if *count > 1 && !idempotent {
            out.push(format!("write {id} was committed {count} times"));
        }
    }
}

/// Checks that no endpoint ever committed a write that was refused as not run.
fn check_refused_writes(world: &World, out: &mut Vec<String>) {
    for record in world.records() {
        let refused = matches!(
            record.outcome,
            Some((_, ClientOutcome::NotRun(_) | ClientOutcome::TransactionLost))
        );
        let writes = match record.op {
            Op::Write(id) => vec![id],
            Op::TransactionWrite(_) | Op::Commit => record.tx_writes.clone(),
            _ => Vec::new(),
        };
        for id in writes
            .iter()
            .filter(|id| world.commit_counts().contains_key(id))
        {
            if refused {
                out.push(format!(
                    "write {id} was refused but committed ({})",
                    record.id
                ));
            }
        }
    }
}

/// Checks that no commit is acknowledged that was made after the promotion of a later term, unless
/// the write was committed in a later term too.
fn check_replaced_primaries(world: &World, out: &mut Vec<String>) {
    let acknowledged: BTreeSet<u64> = world
        .records()
        .iter()
        .flat_map(acknowledged_writes)
        .collect();
    for (id, term, at) in world.commits() {
        let replaced = world
            .promotions()
            .iter()
            .filter(|(_, later)| later > term)
            .map(|(when, _)| *when)
            .min();
        let late = replaced.is_some_and(|when: Timestamp| when <= *at);
        if !late || !acknowledged.contains(id) {
            continue;
        }
        let mut commits = world.commits().iter();
        if !commits.any(|(other, t, _)| other == id && t > term) {
            out.push(format!("write {id} was acknowledged by a replaced primary"));
        }
    }
}

/// Checks that each committed transaction contains the writes of one client, and all of them.
fn check_transactions_atomic(world: &World, out: &mut Vec<String>) {
    for writers in world.mixed_entries() {
        out.push(format!(
            "a transaction contains writes of clients {writers:?}"
        ));
    }
    let commits = world.records().iter().filter(|r| r.op == Op::Commit);
    let by_write: BTreeMap<u64, &Record> = commits
        .flat_map(|r| r.tx_writes.iter().map(move |w| (*w, r)))
        .collect();
    for entry in world.logs().into_iter().flatten() {
        let commit = entry.first().and_then(|w| by_write.get(w));
        if commit.is_some_and(|r| r.tx_writes != entry) {
            out.push(format!("the transaction of writes {entry:?} is incomplete"));
        }
    }
}

/// Checks that each read returns the client's acknowledged writes and, with monotonic reads, all
/// that earlier reads returned, and that each answer belongs to a request that ran.
fn check_reads(world: &World, out: &mut Vec<String>) {
    out.extend(world.anomalies().iter().cloned());
}

/// Checks that each request ends by its deadline, or up to a step interval later, since hosts
/// check deadlines once a step.
fn check_deadlines(world: &World, out: &mut Vec<String>) {
    for record in world.records() {
        let limit = record.sent_at + world.plan().answer_limit + STEP_INTERVAL;
        let late = match &record.outcome {
            Some((at, _)) => *at > limit,
            None => world.now() > limit,
        };
        if late {
            out.push(format!("{} had no outcome by its deadline", record.id));
        }
    }
}
