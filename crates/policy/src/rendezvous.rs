//! Rendezvous hashing: every daemon computes the same order of members for a key, without state.

use xxhash_rust::xxh3;

/// Hashes the id of a member, such as a daemon or replica, for [`weight`].
pub fn hash_member(id: &str) -> u64 {
    xxh3::xxh3_64(id.as_bytes())
}

/// The weight of a member for a key. The member with the greatest weight is the key's first home.
pub fn weight(key: u64, member: u64) -> u64 {
    // Mixes both words fully, so that similar keys do not get the same order of members.
    let mut word = key ^ member.rotate_left(32);
    word = (word ^ (word >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    word = (word ^ (word >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53) ^ member;
    word = (word ^ (word >> 29)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    word ^ (word >> 32)
}

/// Returns the indices of the first `count` homes of `key` among `members`, greatest weight first.
/// Without one of the members, only the keys that it was a home of get another.
pub fn homes(key: u64, members: &[u64], count: usize) -> Vec<usize> {
    let mut top: Vec<(u64, usize)> = Vec::with_capacity(count + 1);
    for (index, member) in members.iter().enumerate() {
        let entry = (weight(key, *member), index);
        if top.len() == count && top.last().is_some_and(|it| entry <= *it) {
            continue;
        }
        let at = top.partition_point(|it| *it > entry);
        top.insert(at, entry);
        top.truncate(count);
    }
    top.into_iter().map(|(_, index)| index).collect()
}
