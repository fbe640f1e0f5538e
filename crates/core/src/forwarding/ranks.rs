//! Pseudorandom ranks by which all nodes order back ends alike, without coordination.

use xxhash_rust::xxh3::xxh3_64;

use super::backends::BackendId;

/// The rank of a back end.
pub fn rank(id: &BackendId) -> u64 {
    xxh3_64(id.as_str().as_bytes())
}

/// Combines a rank with a subject, such as a segment of a prompt. A cheap substitute for a hash of both, as
/// it is computed for each back end of a pool and each request: the finalizer of SplitMix64.
pub const fn rank_for(rank: u64, subject: u64) -> u64 {
    let mut mixed = rank ^ subject.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}
