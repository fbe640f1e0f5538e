//! Ranks by which all nodes order back ends alike, without a word between them.

use xxhash_rust::xxh3::xxh3_64;

use super::backends::BackendId;

/// The rank of a back end.
pub fn rank(id: &BackendId) -> u64 {
    xxh3_64(id.as_str().as_bytes())
}

/// The rank of what has `rank` for one subject, such as a part of a prompt. Like a hash of both, in a few steps: it is
/// computed for each back end of a pool and each request. The steps are those of the finalizer of SplitMix64.
pub const fn rank_for(rank: u64, subject: u64) -> u64 {
    let mut mixed = rank ^ subject.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}
