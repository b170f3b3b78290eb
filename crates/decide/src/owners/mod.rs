//! Chooses the hosts that hold the connections to a group's endpoints.
//!
//! Answers the load where an endpoint takes fewer connections than there are hosts: shares of one
//! connection or none would make each host open and close connections all the time. Then one host
//! a region owns the group's connections and its queue, and the others send their requests to it.

use goldcrest_types::Name;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

/// The connections to an endpoint that each host needs to go without owners: one for statements
/// and, at every other host, one for an open transaction.
const DIRECT_CONNECTIONS: f64 = 1.5;

/// The owners that a host knows in order of preference: one that fails, and one that replaces it
/// at the same moment.
const RANKED: usize = 3;

/// A host that may own groups.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The host.
    pub host: Name,
    /// Its region.
    pub region: Name,
    /// The processor time that it has, in cores.
    pub capacity: f64,
}

/// Hosts in order of preference.
pub type Ranking = SmallVec<[Name; RANKED]>;

/// Who holds the connections of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Holders {
    /// Each host holds its own.
    Everyone,
    /// One host a region.
    Owners(SmallVec<[Name; 8]>),
}

/// Decides who holds the connections of a group whose endpoints take `total` of them.
#[must_use]
pub fn holders(service: &str, total: usize, candidates: &[Candidate]) -> Holders {
    let needed = count(candidates.len()) * DIRECT_CONNECTIONS;
    if count(total) >= needed {
        return Holders::Everyone;
    }
    let mut regions: SmallVec<[&Name; 8]> = candidates.iter().map(|c| &c.region).collect();
    regions.sort_unstable();
    regions.dedup();
    let first = |region: &Name| ranking(service, region, candidates).into_iter().next();
    Holders::Owners(regions.into_iter().filter_map(first).collect())
}

/// The hosts of `region` that own a group, the present owner first. Each host that goes away moves
/// only what it owned itself.
#[must_use]
pub fn ranking(service: &str, region: &str, candidates: &[Candidate]) -> Ranking {
    let local = candidates.iter().filter(|c| c.region == region);
    let mut scored: SmallVec<[(f64, &Name); 16]> =
        local.map(|c| (score(service, c), &c.host)).collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    let best = scored.into_iter().take(RANKED);
    best.map(|(_, host)| host.clone()).collect()
}

/// Weighted rendezvous hashing: a host wins in proportion to its capacity.
fn score(service: &str, candidate: &Candidate) -> f64 {
    let key = [service.as_bytes(), b"\0", candidate.host.as_bytes()].concat();
    let part = (unit(xxh3_64(&key))).max(f64::MIN_POSITIVE);
    candidate.capacity.max(f64::MIN_POSITIVE) / -part.ln()
}

/// A hash as a number from zero to below one.
#[expect(clippy::cast_precision_loss, reason = "53 bits are exact")]
fn unit(hash: u64) -> f64 {
    const BITS: u32 = 53;
    (hash >> (u64::BITS - BITS)) as f64 / (1_u64 << BITS) as f64
}

#[expect(clippy::cast_precision_loss, reason = "hosts and connections are few")]
fn count(number: usize) -> f64 {
    number as f64
}
