//! What forwarding nodes tell each other: how many they are, what they have under way, what engines keep, and what the
//! metadata store has told.
//!
//! | module | job |
//! |---|---|
//! | [`client`] | finds a place in the tree of nodes, and reports several times a second |
//! | [`server`] | takes nodes in, takes their reports, and answers them |
//! | [`digest_updates`] | takes in what the node above has told |
//! | [`newer_facts`] | what neighbours tell each other after the store has come back from an older copy |
//! | [`snapshot`] | gives and takes all that is known of the store |
//!
//! What the store has told is passed on as facts, with the age of its proof. A node that hears of nobody, or of nothing
//! recent, asks the store itself.

pub mod client;
pub mod digest_updates;
mod newer_facts;
pub mod server;
pub mod snapshot;

use paddlemount_core::forwarding::{fleet::Fleet, gossip::GossipLog};
use paddlemount_protocol::{fleet::Member, time::Timestamp};

use crate::node::Node;

/// What a node knows of the others, and what it has to pass on.
#[derive(Debug)]
pub struct Peers {
    /// The others.
    pub fleet: Fleet,
    /// News of what engines keep.
    pub gossip: GossipLog,
    /// When the last report was sent whose answer told what the store has told.
    pub relayed_at: Option<Timestamp>,
    /// The last snapshot that was made for other nodes.
    pub(crate) snapshot: Option<snapshot::Snapshot>,
}

impl Peers {
    /// A node that knows nobody yet and takes in `fan_in` others; `log` is a number drawn for this process.
    pub fn new(me: Member, fan_in: usize, log: u64) -> Self {
        Self { fleet: Fleet::new(me, fan_in), gossip: GossipLog::new(log), relayed_at: None, snapshot: None }
    }
}

impl Node {
    /// Whether this node reports to another one.
    pub(crate) fn has_parent(&self) -> bool {
        self.peers.as_ref().is_some_and(|peers| peers.borrow().fleet.uplink.parent().is_some())
    }
}
