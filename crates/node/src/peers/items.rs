//! Piggybacked items that arrive on probes.

use paddlemount_protocol::{
    identity::NodeId,
    peer::membership::{PiggybackItem, Topic},
};

use crate::state::NodeState;

/// Passes an item to the component that owns its topic.
pub fn dispatch(state: &NodeState, from: &NodeId, item: PiggybackItem) {
    match item.topic {
        Topic::Quotas => state.overload.receive_quota_item(&item, state.clock.now()),
        Topic::Crashes => state.quarantine.receive_item(&item, state.clock.now()),
        topic => log::trace!("ignored an item from {from} with topic {topic:?}"),
    }
}
