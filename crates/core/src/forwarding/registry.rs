//! Whether an entry that has vanished from the registry says that its back end is gone.
//!
//! While the store is away back ends cannot renew their entries, and these lapse. They are written anew within about
//! two seconds of the store's return; what is still missing then is gone.
//!
//! | state | an entry vanishes | a call fails | a call is answered |
//! |---|---|---|---|
//! | serving | its back end is gone | away | serving |
//! | away | it is doubted | away | returning |
//! | returning, for [`RETURN`] | it is doubted | away | returning, then serving |
//!
//! A back end that is doubted at the end of the return is gone.

use std::time::Duration;

use paddlemount_protocol::{fleet::RegistryState, time::Timestamp};

/// How long after the store's return entries that lapsed meanwhile may still be missing: two seconds by the users'
/// letter, and the time in which a node hears of them.
const RETURN: Duration = Duration::from_millis(2_300);

/// What a node knows of the registry's own state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Registry {
    /// It answers, and has done so for a while.
    #[default]
    Serving,
    /// The last call to it failed.
    Away,
    /// It answers again.
    Returning {
        /// Its first answer after a failure.
        since: Timestamp,
    },
}

impl Registry {
    /// A call failed or was refused.
    pub const fn failed(&mut self) {
        *self = Self::Away;
    }

    /// A call was answered.
    pub fn answered(&mut self, now: Timestamp) {
        *self = match *self {
            Self::Away => Self::Returning { since: now },
            Self::Returning { since } if now.saturating_since(since) >= RETURN => Self::Serving,
            other => other,
        };
    }

    /// What the nodes below are told, which do not ask the store themselves.
    pub fn report(self, now: Timestamp) -> RegistryState {
        match self {
            Self::Serving => RegistryState::Serving,
            Self::Away => RegistryState::Away,
            Self::Returning { since } => {
                RegistryState::Returning { for_ms: now.saturating_since(since).as_millis() as u64 }
            }
        }
    }

    /// Goes by what a node that asks the store has told.
    pub fn follow(&mut self, told: RegistryState, now: Timestamp) {
        *self = match told {
            RegistryState::Serving => Self::Serving,
            RegistryState::Away => Self::Away,
            RegistryState::Returning { for_ms } => {
                Self::Returning { since: now - Duration::from_millis(for_ms) }
            }
        };
    }

    /// Whether entries may be missing only because they could not be renewed.
    pub fn may_lack_entries(self, now: Timestamp) -> bool {
        match self {
            Self::Serving => false,
            Self::Away => true,
            Self::Returning { since } => now.saturating_since(since) < RETURN,
        }
    }
}
