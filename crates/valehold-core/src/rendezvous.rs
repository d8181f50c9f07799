//! Rendezvous hashing: which of several members is responsible for a key.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of a member for a key.
///
/// The member with the greatest weight is responsible. When a member goes,
/// only the keys that it was responsible for move.
pub fn weight(key: &str, member: &str) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(member.as_bytes(), seed)
}

/// Returns the member responsible for a key, or `None` without members.
///
/// # Example
///
/// ```
/// use valehold_core::rendezvous::owner;
///
/// let members = ["a", "b", "c"];
/// let chosen = *owner("engine-7", &members).unwrap();
/// let without: Vec<_> =
///     members.into_iter().filter(|m| *m != chosen).collect();
/// assert_ne!(owner("engine-7", &without), Some(&chosen));
/// ```
pub fn owner<'a, M: AsRef<str>>(key: &str, members: &'a [M]) -> Option<&'a M> {
    members.iter().max_by_key(|member| weight(key, member.as_ref()))
}

/// Returns up to `count` members for a key, the responsible one first.
pub fn owners<'a, M: AsRef<str>>(
    key: &str,
    members: &'a [M],
    count: usize,
) -> Vec<&'a M> {
    let mut ranked: Vec<&M> = members.iter().collect();
    ranked
        .sort_by_key(|member| std::cmp::Reverse(weight(key, member.as_ref())));
    ranked.truncate(count);
    ranked
}
