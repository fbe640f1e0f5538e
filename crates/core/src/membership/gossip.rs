//! Piggybacked gossip: changed member records and items of other components.

use std::collections::BTreeMap;

use paddlemount_protocol::{
    identity::NodeId,
    peer::{
        encoded_bytes,
        membership::{
            MAX_PIGGYBACK_BYTES, MAX_PIGGYBACK_ITEM_BYTES, MAX_UPDATE_BYTES, MemberRecord, MemberState,
            PiggybackItem, Topic,
        },
    },
};

use super::MemberTable;

/// A changed record is sent this many times the binary logarithm of the number of members.
const TRANSMISSION_FACTOR: u32 = 3;

/// Queue of changed records, and the current items.
#[derive(Debug, Default)]
pub(super) struct Dissemination {
    remaining: BTreeMap<NodeId, u32>,
    items: BTreeMap<Topic, PiggybackItem>,
    last_topic: Option<Topic>,
}

impl Dissemination {
    /// Queues the record of `node` for enough transmissions to reach about all of `members`.
    pub(super) fn enqueue(&mut self, node: &NodeId, members: usize) {
        let rounds = usize::BITS - members.leading_zeros();
        self.remaining.insert(node.clone(), rounds.max(1) * TRANSMISSION_FACTOR);
    }

    pub(super) fn forget(&mut self, node: &NodeId) {
        self.remaining.remove(node);
    }

    /// Replaces the item of a topic; an oversized item is dropped.
    pub(super) fn offer(&mut self, item: PiggybackItem) {
        if encoded_bytes(&item) <= MAX_PIGGYBACK_ITEM_BYTES {
            self.items.insert(item.topic, item);
        }
    }

    /// Returns records for `receiver` within [`MAX_UPDATE_BYTES`]: first the receiver's own record if it is
    /// not alive, so that the receiver can refute it, then the least often sent ones.
    pub(super) fn updates_for(&mut self, receiver: &MemberRecord, table: &MemberTable) -> Vec<MemberRecord> {
        let receiver_record = table.get(&receiver.node).filter(|record| record.state != MemberState::Alive);
        let mut updates: Vec<MemberRecord> = receiver_record.cloned().into_iter().collect();
        let mut used: usize = updates.iter().map(encoded_bytes).sum();
        let mut queue: Vec<(u32, NodeId)> =
            self.remaining.iter().map(|(node, remaining)| (*remaining, node.clone())).collect();
        queue.sort_unstable_by(|left, right| right.cmp(left));
        for (_, node) in queue {
            let Some(record) = table.get(&node) else { continue };
            let bytes = encoded_bytes(record) + 1;
            if used + bytes > MAX_UPDATE_BYTES {
                break;
            }
            used += bytes;
            updates.push(record.clone());
            self.count_transmission(&node);
        }
        updates
    }

    fn count_transmission(&mut self, node: &NodeId) {
        let Some(remaining) = self.remaining.get_mut(node) else { return };
        *remaining -= 1;
        if *remaining == 0 {
            self.remaining.remove(node);
        }
    }

    /// Returns as many items as fit into [`MAX_PIGGYBACK_BYTES`], starting after the topic sent last.
    pub(super) fn items(&mut self) -> Vec<PiggybackItem> {
        let after = self.items.values().filter(|item| Some(item.topic) > self.last_topic);
        let before = self.items.values().filter(|item| Some(item.topic) <= self.last_topic);
        let mut used = 0;
        let mut chosen = Vec::new();
        for item in after.chain(before) {
            used += encoded_bytes(item) + 1;
            if used > MAX_PIGGYBACK_BYTES {
                break;
            }
            chosen.push(item.clone());
        }
        self.last_topic = chosen.last().map(|item| item.topic);
        chosen
    }
}
