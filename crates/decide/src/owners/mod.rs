//! Chooses the hosts that own the connections to a group's endpoints.
//!
//! An endpoint may accept fewer connections than there are hosts. With a share of one connection or
//! none, every host would keep opening and closing connections. In that case one host per region
//! owns the group's connections and its queue, and the other hosts send their requests to it.

use goldcrest_types::Name;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

/// Connections to an endpoint that each host needs if there are no owners: one for statements and,
/// at every other host, one for an open transaction.
pub(crate) const CONNECTIONS_PER_HOST: f64 = 1.5;

/// Number of owners that a host knows in order of preference: the owner, its replacement, and a
/// spare in case both fail at the same time.
const RANKING_LENGTH: usize = 3;

/// Exponent of a host's capacity in its weight. All requests of a group pass through its owner, and
/// they would queue for the processor of a small host under a load peak. With the fourth power, a
/// host of four times the capacity owns 256 times as many groups.
const CAPACITY_EXPONENT: i32 = 4;

/// A host that may own groups.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Name of the host.
    pub host: Name,
    /// Region of the host.
    pub region: Name,
    /// Processor time available to it, in cores.
    pub capacity: f64,
}

/// Hosts in order of preference.
pub type Ranking = SmallVec<[Name; RANKING_LENGTH]>;

/// Which hosts hold connections to a group's endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Holders {
    /// Each host holds its own connections.
    Everyone,
    /// One host per region owns the connections.
    Owners(SmallVec<[Name; 8]>),
}

/// Decides which hosts hold connections to a group whose endpoints accept `total` of them.
#[must_use]
pub fn holders(service: &str, total: usize, candidates: &[Candidate]) -> Holders {
    let needed = to_f64(candidates.len()) * CONNECTIONS_PER_HOST;
    if to_f64(total) >= needed {
        return Holders::Everyone;
    }
    let mut regions: SmallVec<[&Name; 8]> = candidates.iter().map(|c| &c.region).collect();
    regions.sort_unstable();
    regions.dedup();
    let first = |region: &Name| ranking(service, region, candidates).into_iter().next();
    Holders::Owners(regions.into_iter().filter_map(first).collect())
}

/// Returns the hosts that run the requests of `region` for a group, in order of preference: the
/// region's owner, those that would replace it, and the owners of the other regions, which are
/// reached when a whole region has failed.
#[must_use]
pub fn failover_order(service: &str, region: &str, candidates: &[Candidate]) -> Ranking {
    let mut order = ranking(service, region, candidates);
    let mut others: SmallVec<[&Name; 8]> = candidates.iter().map(|c| &c.region).collect();
    others.retain(|other| *other != region);
    others.sort_unstable();
    others.dedup();
    let first = |other: &Name| ranking(service, other, candidates).into_iter().next();
    order.extend(others.into_iter().filter_map(first));
    order
}

/// Returns the hosts of `region` that own a group, the current owner first. When a host disappears,
/// only the groups that it owned move.
#[must_use]
pub fn ranking(service: &str, region: &str, candidates: &[Candidate]) -> Ranking {
    let local = candidates.iter().filter(|c| c.region == region);
    let mut scored: SmallVec<[(f64, &Name); 16]> =
        local.map(|c| (score(service, c), &c.host)).collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    let best = scored.into_iter().take(RANKING_LENGTH);
    best.map(|(_, host)| host.clone()).collect()
}

/// Weighted rendezvous hashing, with weights that prefer hosts of high capacity.
pub(crate) fn score(service: &str, candidate: &Candidate) -> f64 {
    let key = [service.as_bytes(), b"\0", candidate.host.as_bytes()].concat();
    let fraction = (unit_interval(xxh3_64(&key))).max(f64::MIN_POSITIVE);
    let weight = candidate.capacity.powi(CAPACITY_EXPONENT);
    weight.max(f64::MIN_POSITIVE) / -fraction.ln()
}

/// Maps a hash to a number from zero to below one.
#[expect(clippy::cast_precision_loss, reason = "53 bits are exact")]
fn unit_interval(hash: u64) -> f64 {
    const BITS: u32 = 53;
    (hash >> (u64::BITS - BITS)) as f64 / (1_u64 << BITS) as f64
}

#[expect(clippy::cast_precision_loss, reason = "hosts and connections are few")]
fn to_f64(number: usize) -> f64 {
    number as f64
}
