//! What the administration interface needs of the other nodes.

use std::{collections::BTreeMap, net::SocketAddr};

use paddlemount_protocol::{
    configuration::{ChangeOutcome, ChangeRequest},
    identity::NodeId,
    peer::membership::MemberState,
};

use crate::state::NodeState;

/// Another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The node.
    pub node: NodeId,
    /// Where it listens to other nodes.
    pub address: SocketAddr,
}

/// All other nodes that are not known to have left: those of this region by membership, and those of
/// other regions by the machine list.
pub fn members(state: &NodeState) -> Vec<Member> {
    let own = &state.settings.node;
    let listed = state.directory.nodes().into_iter().map(|(node, address, _)| (node, address));
    let mut members: BTreeMap<NodeId, SocketAddr> = listed.collect();
    state.peers.inspect(|peers, _| {
        for record in peers.members().all() {
            match record.state {
                MemberState::Left => members.remove(&record.node),
                _ => members.insert(record.node.clone(), record.address),
            };
        }
    });
    members.remove(own);
    members.into_iter().map(|(node, address)| Member { node, address }).collect()
}

/// Makes a change of the configuration and waits until it is in force, refused, or neither can be learnt.
pub async fn submit_change(state: &NodeState, request: ChangeRequest) -> ChangeOutcome {
    state.peers.change(state, request).await
}
