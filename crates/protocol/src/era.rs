//! Revisions of a metadata store that may come back from an older copy.
//!
//! A store that comes back from a copy gives revisions out again, and says so by an era that is one higher. Whatever takes a
//! revision for something that only rises, as fencing tokens and conditions on what is known do, needs both in one number: the
//! era in the upper bits, the store's own number in the lower ones. A store that has never come back, or that knows nothing of
//! eras, is in era 0, where a revision is the store's own number.

use crate::identity::{FencingToken, Revision};

/// Bits of the store's own number: a store that changes 10,000 times a second uses them up in three years. With eras up to
/// 8,000 the whole number is below 2^53, which JSON readers take exactly.
const NUMBER_BITS: u32 = 40;
const NUMBER_MASK: u64 = (1 << NUMBER_BITS) - 1;

/// How often a store has come back from a copy, as it counts it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(pub u64);

impl StoreEra {
    /// The era that a store tells; none where it cannot be one: a store does not come back so often.
    pub const fn new(era: u64) -> Option<Self> {
        if era < 1 << (u64::BITS - NUMBER_BITS) { Some(Self(era)) } else { None }
    }
}

impl Revision {
    /// The revision of `number` in an era.
    pub const fn in_era(era: StoreEra, number: u64) -> Self {
        Self(era.0 << NUMBER_BITS | number & NUMBER_MASK)
    }

    /// Its era.
    pub const fn era(self) -> StoreEra {
        StoreEra(self.0 >> NUMBER_BITS)
    }

    /// The store's own number of it.
    pub const fn number(self) -> u64 {
        self.0 & NUMBER_MASK
    }
}

impl From<Revision> for FencingToken {
    fn from(revision: Revision) -> Self {
        Self(revision.0)
    }
}

impl From<FencingToken> for Revision {
    fn from(token: FencingToken) -> Self {
        Self(token.0)
    }
}
