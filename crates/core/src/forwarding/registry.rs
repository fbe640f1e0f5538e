//! Decides whether a vanished registry entry means that its back end is gone.
//!
//! While the store is unavailable, back ends cannot renew their entries, and these expire. They are written
//! again within about two seconds after the store recovers; an entry that is still missing then is gone.
//!
//! | state | an entry vanishes | a call fails | a call succeeds |
//! |---|---|---|---|
//! | serving | its back end is gone | unavailable | serving |
//! | unavailable | its back end is a suspect | unavailable | recovering |
//! | recovering, for `RENEWAL_TIMEOUT` | its back end is a suspect | unavailable | recovering or serving |
//!
//! A back end that is still a suspect when the registry serves again is gone.

use std::time::Duration;

use paddlemount_protocol::{fleet::RegistryState, time::Timestamp};

/// How long after the store recovers expired entries may still be missing: the two seconds in which they are
/// renewed, and the time for a node to receive them.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(2_300);

/// The availability of the registry, as this node knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Registry {
    #[default]
    Serving,
    /// The last call failed.
    Unavailable,
    /// Calls succeed again.
    Recovering {
        /// The first success after a failure.
        since: Timestamp,
    },
}

impl Registry {
    /// Records that a call failed or was refused.
    pub const fn failed(&mut self) {
        *self = Self::Unavailable;
    }

    /// Records that a call succeeded.
    pub fn answered(&mut self, now: Timestamp) {
        *self = match *self {
            Self::Unavailable => Self::Recovering { since: now },
            Self::Recovering { since } if now.saturating_since(since) >= RENEWAL_TIMEOUT => Self::Serving,
            other => other,
        };
    }

    /// The state to report to the descendants, which do not call the store themselves.
    pub fn report(self, now: Timestamp) -> RegistryState {
        match self {
            Self::Serving => RegistryState::Serving,
            Self::Unavailable => RegistryState::Unavailable,
            Self::Recovering { since } => {
                RegistryState::Recovering { for_ms: now.saturating_since(since).as_millis() as u64 }
            }
        }
    }

    /// Adopts the state that a node with access to the store has reported.
    pub fn follow(&mut self, reported: RegistryState, now: Timestamp) {
        *self = match reported {
            RegistryState::Serving => Self::Serving,
            RegistryState::Unavailable => Self::Unavailable,
            RegistryState::Recovering { for_ms } => {
                Self::Recovering { since: now - Duration::from_millis(for_ms) }
            }
        };
    }

    /// Whether entries may be missing because they could not be renewed.
    pub fn may_lack_entries(self, now: Timestamp) -> bool {
        match self {
            Self::Serving => false,
            Self::Unavailable => true,
            Self::Recovering { since } => now.saturating_since(since) < RENEWAL_TIMEOUT,
        }
    }
}
