//! Rendezvous hashing: every host computes by itself which hosts are responsible for a key.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The rank of `host` among `hosts` for `key`, 0 first, if it is among the first `count`.
///
/// When a host joins or leaves, only the keys that it is responsible for are reassigned.
pub fn rank<'a, I>(host: &str, hosts: I, key: &str, count: usize) -> Option<u32>
where
    I: IntoIterator<Item = &'a str>,
{
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    let weight = |name: &str| (xxh3_64_with_seed(name.as_bytes(), seed), name.len());
    let own = (weight(host), host);
    let better = hosts
        .into_iter()
        .filter(|other| *other != host && (weight(other), *other) > own);
    let rank = better.take(count).count();
    (rank < count).then(|| u32::try_from(rank).ok()).flatten()
}
