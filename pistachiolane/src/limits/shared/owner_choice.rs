//! Choice of a limit's owner among the members.

/// Returns the owner of a limit: the member with the highest weight by rendezvous hashing, so that a member
/// that comes or goes changes the owner only of the limits that it owns.
pub fn choose_owner(limit: u64, members: impl Iterator<Item = u64>) -> Option<u64> {
    members.max_by_key(|node| (mix(limit ^ mix(*node)), *node))
}

/// The finalizer of splitmix64. All nodes must compute the same weights, which the hasher of the standard library
/// does not promise between releases.
fn mix(value: u64) -> u64 {
    let z = value.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}
