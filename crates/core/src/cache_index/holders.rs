//! Compact sets of the engines that hold a prefix.

use paddlemount_protocol::time::Timestamp;

use super::CacheEpochId;

/// Maximum number of engines recorded per prefix; a further one replaces the least recently used.
pub(super) const MAX_HOLDERS: usize = 64;

/// Times are stored in units of 2^13 microseconds, or 8.2 ms, and wrap after 407 days.
const TIME_SHIFT: u32 = 13;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Holder {
    pub(super) epoch: CacheEpochId,
    used: u32,
}

impl Holder {
    pub(super) const fn new(epoch: CacheEpochId, now: Timestamp) -> Self {
        Self { epoch, used: (now.0 >> TIME_SHIFT) as u32 }
    }

    pub(super) const fn age_micros(self, now: Timestamp) -> u64 {
        let steps = ((now.0 >> TIME_SHIFT) as u32).wrapping_sub(self.used);
        // A clock that steps back yields a huge difference, which counts as zero.
        if steps > u32::MAX / 2 { 0 } else { (steps as u64) << TIME_SHIFT }
    }
}

/// Several holders, boxed because that takes one word in [`Holders`] instead of three.
pub(super) struct HolderList(Vec<Holder>);

/// The holders of one prefix. Most prefixes have a single one, which needs no allocation.
pub(super) enum Holders {
    None,
    One(Holder),
    Many(Box<HolderList>),
}

impl Holders {
    pub(super) fn as_slice(&self) -> &[Holder] {
        match self {
            Self::None => &[],
            Self::One(holder) => std::slice::from_ref(holder),
            Self::Many(holders) => &holders.0,
        }
    }

    /// Adds or updates a holder. Returns the number of records added.
    pub(super) fn put(&mut self, holder: Holder) -> usize {
        match self {
            Self::None => {
                *self = Self::One(holder);
                1
            }
            Self::One(present) if present.epoch == holder.epoch => {
                *present = holder;
                0
            }
            Self::One(present) => {
                *self = Self::Many(Box::new(HolderList(vec![*present, holder])));
                1
            }
            Self::Many(holders) => put_in_list(&mut holders.0, holder),
        }
    }

    /// Updates a holder if it is present.
    pub(super) fn renew(&mut self, holder: Holder) {
        let present = match self {
            Self::None => None,
            Self::One(present) => Some(present),
            Self::Many(holders) => holders.0.iter_mut().find(|present| present.epoch == holder.epoch),
        };
        if let Some(present) = present.filter(|present| present.epoch == holder.epoch) {
            *present = holder;
        }
    }

    pub(super) fn remove(&mut self, epoch: CacheEpochId) -> Option<Holder> {
        match self {
            Self::None => None,
            Self::One(holder) => {
                let found = (holder.epoch == epoch).then_some(*holder);
                if found.is_some() {
                    *self = Self::None;
                }
                found
            }
            Self::Many(holders) => {
                let index = holders.0.iter().position(|holder| holder.epoch == epoch)?;
                Some(holders.0.swap_remove(index))
            }
        }
    }

    pub(super) fn retain(&mut self, keep: impl Fn(&Holder) -> bool) {
        match self {
            Self::None => {}
            Self::One(holder) => {
                if !keep(holder) {
                    *self = Self::None;
                }
            }
            Self::Many(holders) => holders.0.retain(|holder| keep(holder)),
        }
    }

    pub(super) fn heap_bytes(&self) -> usize {
        match self {
            Self::None | Self::One(_) => 0,
            Self::Many(holders) => size_of::<HolderList>() + holders.0.capacity() * size_of::<Holder>(),
        }
    }
}

fn put_in_list(holders: &mut Vec<Holder>, holder: Holder) -> usize {
    if let Some(present) = holders.iter_mut().find(|present| present.epoch == holder.epoch) {
        *present = holder;
        return 0;
    }
    if holders.len() < MAX_HOLDERS {
        holders.push(holder);
        return 1;
    }
    let oldest = holders.iter_mut().max_by_key(|present| holder.used.wrapping_sub(present.used));
    if let Some(oldest) = oldest {
        *oldest = holder;
    }
    0
}
