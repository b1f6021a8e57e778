//! Rendezvous hashing: ranks members for a name without shared state.

use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

/// Returns the hash of a name, as `score` takes it for names and for members.
pub fn hash_name(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Returns the score of a member for a name; the highest score ranks first.
pub fn score(name_hash: u64, member_hash: u64) -> u64 {
    xxh3_64_with_seed(&member_hash.to_le_bytes(), name_hash)
}

/// Returns the index of the member that ranks first for a name among the members that `is_eligible` accepts.
pub fn first_ranked(
    name_hash: u64,
    members: &[u64],
    is_eligible: impl Fn(usize) -> bool,
) -> Option<usize> {
    let candidates = (0..members.len()).filter(|&index| is_eligible(index));
    candidates.max_by_key(|&index| score(name_hash, members[index]))
}

/// Returns the indices of all members in the order of their ranks, the first ranked member first.
pub fn ranking(name_hash: u64, members: &[u64]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..members.len()).collect();
    order.sort_by_key(|&index| std::cmp::Reverse(score(name_hash, members[index])));
    order
}
