//! What forwarding nodes tell each other: how many they are, what they have under way, what engines keep, and what the
//! metadata store has told.
//!
//! | module | job |
//! |---|---|
//! | [`client`] | reports to the node above, several times a second |
//! | [`server`] | takes reports, and answers them |
//! | [`intake`] | takes in what the node above has told |
//!
//! The store's answers are passed on as they came, so that each node reads them as if it had asked itself. A node that
//! hears of nobody, or of nothing recent, asks the store itself.

pub mod client;
pub mod intake;
pub mod server;

use paddlemount_core::forwarding::{fleet::Fleet, news::NewsLog, relay_log::RelayLog};
use paddlemount_protocol::{fleet::Member, identity::Revision, time::Timestamp};

/// What a node knows of the others, and what it has to pass on.
#[derive(Debug)]
pub struct Peers {
    /// The others.
    pub fleet: Fleet,
    /// News of what engines keep.
    pub news: NewsLog,
    /// The store's answers.
    pub relay: RelayLog,
    /// The newest revision of the store that a node above has heard of.
    pub newest: Option<Revision>,
    /// When the last report was sent whose answer told what the store has told.
    pub relayed_at: Option<Timestamp>,
}

impl Peers {
    /// A node that knows nobody yet; `log` is a number drawn for this process.
    pub fn new(me: Member, log: u64) -> Self {
        Self {
            fleet: Fleet::new(me),
            news: NewsLog::new(log),
            relay: RelayLog::default(),
            newest: None,
            relayed_at: None,
        }
    }
}
