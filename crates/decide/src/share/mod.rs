//! Divides the connections of an endpoint among the live hosts.
//!
//! An endpoint may accept few connections while hosts need very different numbers of them: each
//! host gets one, and the rest is divided in proportion to the hosts' demand.

use goldcrest_types::Name;
use smallvec::SmallVec;

/// At most this fraction of the connections is kept in reserve: a third.
const MAX_RESERVE_DIVISOR: usize = 3;

/// At least this fraction of the connections is kept in reserve for hosts that start: a twelfth.
const MIN_RESERVE_DIVISOR: usize = 12;

/// Assumed demand of a host that has not reported any, in connections. One keeps the share of a new
/// host small.
const UNKNOWN_DEMAND: f64 = 1.0;

/// A host's demand for connections.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// Name of the host.
    pub host: Name,
    /// Connections that it keeps busy, on average.
    pub need: f64,
}

/// Returns the demand of a host that takes over when one of `hosts` fails: their average.
#[must_use]
pub fn standby(hosts: &[Demand]) -> Demand {
    let needs: SmallVec<[f64; 8]> = hosts.iter().map(weight).collect();
    let mean = needs.iter().sum::<f64>() / proportional_part(needs.len().max(1), 1.0, 1.0);
    Demand {
        host: Name::new(),
        need: mean,
    }
}

/// Returns how many of an endpoint's `total` connections `host` may hold.
///
/// Shares are whole numbers whose sum does not exceed the total. If there are more hosts than
/// connections, each host may still open one, and the endpoint rejects those beyond its limit.
#[must_use]
pub fn share(total: usize, hosts: &[Demand], host: &str) -> usize {
    let usable = total - reserve(total, hosts.len());
    let spare = usable.saturating_sub(hosts.len());
    let known = hosts.iter().any(|d| d.host == host);
    if spare == 0 || !known {
        return 1;
    }
    let weights: SmallVec<[f64; 8]> = hosts.iter().map(weight).collect();
    let sum: f64 = weights.iter().sum();
    let exact_part = |at: usize| proportional_part(spare, weights[at], sum);
    let mut ranked: SmallVec<[usize; 8]> = (0..hosts.len()).collect();
    // What rounding leaves over goes to the largest remainders, and among equal ones by host name.
    ranked.sort_by(|a, b| {
        let (a_remainder, b_remainder) = (exact_part(*a).fract(), exact_part(*b).fract());
        b_remainder
            .total_cmp(&a_remainder)
            .then_with(|| hosts[*a].host.cmp(&hosts[*b].host))
    });
    let floor = |at: usize| round_down(exact_part(at));
    let assigned: usize = (0..hosts.len()).map(floor).sum();
    let left = spare.saturating_sub(assigned);
    let Some(own) = hosts.iter().position(|d| d.host == host) else {
        return 1;
    };
    let extra = ranked.iter().take(left).any(|at| *at == own);
    1 + floor(own) + usize::from(extra)
}

/// Returns the number of connections that are kept in reserve: one for each host.
///
/// After a power failure an endpoint still counts the lost connections of the affected hosts for
/// some seconds. The reserve allows hosts that restart at once to open one connection each in the
/// meantime.
fn reserve(total: usize, hosts: usize) -> usize {
    let wanted = hosts
        .min(total / MAX_RESERVE_DIVISOR)
        .max(total / MIN_RESERVE_DIVISOR);
    wanted.min(total.saturating_sub(1))
}

/// Returns how many connections beyond its share a host may open to an endpoint that accepts them:
/// half of the reserve, so that one busy host leaves room for hosts that start.
#[must_use]
pub fn borrowable(total: usize, hosts: usize) -> usize {
    reserve(total, hosts) / 2
}

/// Returns how many connections a host may open to an endpoint that may still count the lost
/// connections of a power failure.
///
/// `hosts` counts the standby. The part that is kept for it, and half of the reserve, were not in use
/// before the failure: that room is divided among all, with a margin.
#[must_use]
pub fn settling(total: usize, hosts: usize) -> usize {
    let spare = (total - reserve(total, hosts)) / hosts.max(1);
    (spare / hosts.max(1)).max(1)
}

fn weight(demand: &Demand) -> f64 {
    if demand.need.is_finite() && demand.need > 0.0 {
        demand.need
    } else {
        UNKNOWN_DEMAND
    }
}

#[expect(clippy::cast_precision_loss, reason = "connections are few")]
fn proportional_part(spare: usize, weight: f64, sum: f64) -> f64 {
    spare as f64 * weight / sum
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a part of a small number, never negative"
)]
fn round_down(exact_part: f64) -> usize {
    exact_part as usize
}
