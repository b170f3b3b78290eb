//! Shares the connections of an endpoint among the hosts that are alive.
//!
//! Answers the load where an endpoint takes few connections and hosts need very different numbers
//! of them: each host gets one, and the rest go by the hosts' demand.

use goldcrest_types::Name;
use smallvec::SmallVec;

/// The part of the connections that stays free at most: a third.
const RESERVE_MOST: usize = 3;

/// The part that stays free at least, for a host that starts.
const RESERVE_LEAST: usize = 12;

/// The demand of a host that has told none yet, in connections. One keeps newcomers small.
const UNKNOWN_DEMAND: f64 = 1.0;

/// A host and what it needs.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// The host.
    pub host: Name,
    /// The connections that it keeps busy, on average.
    pub need: f64,
}

/// What a host needs that takes over when one of these fails: as much as they do on average.
#[must_use]
pub fn standby(hosts: &[Demand]) -> Demand {
    let needs: SmallVec<[f64; 8]> = hosts.iter().map(weight).collect();
    let mean = needs.iter().sum::<f64>() / portion(needs.len().max(1), 1.0, 1.0);
    Demand {
        host: Name::new(),
        need: mean,
    }
}

/// How many of an endpoint's `total` connections `host` may hold.
///
/// Shares are whole and add up to no more than the total. With more hosts than connections each
/// may still open one, and the endpoint turns away what is too much.
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
    let exact = |at: usize| portion(spare, weights[at], sum);
    let mut order: SmallVec<[usize; 8]> = (0..hosts.len()).collect();
    // What rounding leaves over goes to the largest remainders, by name where they are equal.
    order.sort_by(|a, b| {
        let (a_rest, b_rest) = (exact(*a).fract(), exact(*b).fract());
        b_rest
            .total_cmp(&a_rest)
            .then_with(|| hosts[*a].host.cmp(&hosts[*b].host))
    });
    let floor = |at: usize| whole(exact(at));
    let given: usize = (0..hosts.len()).map(floor).sum();
    let left = spare.saturating_sub(given);
    let Some(own) = hosts.iter().position(|d| d.host == host) else {
        return 1;
    };
    let extra = order.iter().take(left).any(|at| *at == own);
    1 + floor(own) + usize::from(extra)
}

/// The connections that stay free: one for each host.
///
/// Answers the load after a loss of power. An endpoint counts the dead connections of such hosts
/// for some seconds more, and hosts that are back at once find room for one each meanwhile.
fn reserve(total: usize, hosts: usize) -> usize {
    let wanted = hosts.min(total / RESERVE_MOST).max(total / RESERVE_LEAST);
    wanted.min(total.saturating_sub(1))
}

fn weight(demand: &Demand) -> f64 {
    if demand.need.is_finite() && demand.need > 0.0 {
        demand.need
    } else {
        UNKNOWN_DEMAND
    }
}

#[expect(clippy::cast_precision_loss, reason = "connections are few")]
fn portion(spare: usize, weight: f64, sum: f64) -> f64 {
    spare as f64 * weight / sum
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a part of a small number, never negative"
)]
fn whole(exact: f64) -> usize {
    exact as usize
}
