//! The exchange between forwarding nodes: their number and load, cached segments, and the state of the store.
//!
//! | module | content |
//! |---|---|
//! | [`client`] | finds a place in the tree of nodes, and reports to the parent several times a second |
//! | [`server`] | admits other nodes, and answers their reports |
//! | [`digest_updates`] | applies what the parent answers |
//! | `newer_facts` | exchanges newer facts after the store was restored from a backup |
//! | [`snapshot`] | transfers the whole known state of the store |
//!
//! The store's state is relayed as facts, with the age of their proof. A node without a recent relay queries
//! the store itself.

pub mod client;
pub mod digest_updates;
mod newer_facts;
pub mod server;
pub mod snapshot;

use paddlemount_core::forwarding::{fleet::Fleet, gossip::GossipLog};
use paddlemount_protocol::{fleet::Member, time::Timestamp};

use crate::node::Node;

/// What a node knows of other nodes, and what it passes on to them.
#[derive(Debug)]
pub struct Peers {
    pub fleet: Fleet,
    /// Changes of cached segments, for gossip.
    pub gossip: GossipLog,
    /// When the last report was sent whose answer relayed the store.
    pub relayed_at: Option<Timestamp>,
    /// The last snapshot that was created for other nodes.
    pub(crate) snapshot: Option<snapshot::Snapshot>,
}

impl Peers {
    /// The state of a node that knows no other node and accepts up to `fan_in` children; `log` is a random
    /// id.
    pub fn new(local: Member, fan_in: usize, log: u64) -> Self {
        Self {
            fleet: Fleet::new(local, fan_in),
            gossip: GossipLog::new(log),
            relayed_at: None,
            snapshot: None,
        }
    }
}

impl Node {
    /// Whether this node has a parent.
    pub(crate) fn has_parent(&self) -> bool {
        self.peers.as_ref().is_some_and(|peers| peers.borrow().fleet.uplink.parent().is_some())
    }
}
