//! The administration interface's view of the other nodes.

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
    pub node: NodeId,
    /// Its peer address.
    pub address: SocketAddr,
}

/// All other nodes that are not known to have left: those of this region by membership, those of other
/// regions by the machine list.
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

/// Submits a configuration change and waits until it is in force, refused, or its outcome is unknown.
pub async fn submit_change(state: &NodeState, request: ChangeRequest) -> ChangeOutcome {
    state.peers.change(state, request).await
}
