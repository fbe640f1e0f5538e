//! Revisions of a metadata store that may be restored from a backup.
//!
//! A restored store issues the same revision numbers again and signals this by incrementing its era. Fencing
//! tokens and conditional writes need revisions that never decrease, so [`Revision`] combines both: the era
//! in the upper bits, the store's own number in the lower ones. A store without eras is in era 0, where a
//! revision equals the store's own number.

use serde::{Deserialize, Serialize};

use crate::identity::{FencingToken, Revision};

/// Bits of the store's own number, enough for three years at 10,000 changes a second. Up to era 8,000 the
/// combined number stays below 2^53, which JSON readers represent exactly.
const NUMBER_BITS: u32 = 40;
const NUMBER_MASK: u64 = (1 << NUMBER_BITS) - 1;

/// How many times a store has been restored from a backup, by its own count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

impl StoreEra {
    /// Returns `None` if the era does not fit into the bits reserved for it.
    pub const fn new(era: u64) -> Option<Self> {
        if era < 1 << (u64::BITS - NUMBER_BITS) { Some(Self(era)) } else { None }
    }
}

impl Revision {
    /// Combines the store's own number with its era.
    pub const fn in_era(era: StoreEra, number: u64) -> Self {
        Self(era.0 << NUMBER_BITS | number & NUMBER_MASK)
    }

    /// The era that the revision belongs to.
    pub const fn era(self) -> StoreEra {
        StoreEra(self.0 >> NUMBER_BITS)
    }

    /// The store's own number for this revision.
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
