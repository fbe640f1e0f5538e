//! Gossip between nodes about the segments that engines and cache stores hold.
//!
//! Each node queues its updates until the parent has acknowledged them, and numbers the updates of all nodes
//! for its children. Both buffers are bounded: a dropped update only costs a slower answer. Updates about
//! stores are sent first: while a segment is known to be stored, no node prefills or stores it again, whereas
//! the caches of engines change within seconds.

use std::collections::{BTreeSet, VecDeque};

use paddlemount_protocol::{fleet::CachedSegmentUpdate, identity::EngineId};

/// The maximum number of updates in the log.
const MAX_LOGGED: usize = 4_096;
/// The maximum number of queued updates about engines, and as many about stores.
const MAX_QUEUED: usize = 1_024;
/// The maximum number of updates in one message.
const MAX_BATCH: usize = 384;
/// The maximum number of updates sent to all children together in one round of reports. With about 60 bytes
/// each and five rounds a second, this bounds the traffic of a small link.
const MAX_PER_ROUND: usize = 8_192;
/// The number of updates allowed in one message even with many children.
const MIN_BATCH: usize = 64;

/// The updates queued for the parent, and the log for the children.
#[derive(Debug)]
pub struct GossipLog {
    /// The identity of this log, drawn when the process starts.
    id: u64,
    log: VecDeque<CachedSegmentUpdate>,
    /// The sequence number of the newest update in the log.
    last_sequence: u64,
    stores: BTreeSet<EngineId>,
    from_stores: VecDeque<CachedSegmentUpdate>,
    from_engines: VecDeque<CachedSegmentUpdate>,
    /// Sent to the parent, not yet acknowledged.
    in_flight: Vec<CachedSegmentUpdate>,
}

impl GossipLog {
    /// An empty log.
    pub const fn new(id: u64) -> Self {
        Self {
            id,
            log: VecDeque::new(),
            last_sequence: 0,
            stores: BTreeSet::new(),
            from_stores: VecDeque::new(),
            from_engines: VecDeque::new(),
            in_flight: Vec::new(),
        }
    }

    /// The identity of this log.
    pub const fn id(&self) -> u64 {
        self.id
    }

    /// The sequence number of the newest update in the log.
    pub const fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Sets the stores, whose updates are sent first.
    pub fn set_stores(&mut self, stores: BTreeSet<EngineId>) {
        self.stores = stores;
    }

    /// Queues an update of this subtree for the parent.
    pub fn enqueue(&mut self, update: CachedSegmentUpdate) {
        let queue =
            if self.stores.contains(&update.engine) { &mut self.from_stores } else { &mut self.from_engines };
        if queue.len() >= MAX_QUEUED {
            queue.pop_front();
        }
        queue.push_back(update);
    }

    /// The updates to send to the parent now; they are sent again until [`acknowledge`](Self::acknowledge) is
    /// called.
    pub fn next_batch(&mut self) -> Vec<CachedSegmentUpdate> {
        while self.in_flight.len() < MAX_BATCH {
            let Some(next) = self.from_stores.pop_front().or_else(|| self.from_engines.pop_front()) else {
                break;
            };
            self.in_flight.push(next);
        }
        self.in_flight.clone()
    }

    /// Whether updates are queued or unacknowledged.
    pub fn has_pending(&self) -> bool {
        !(self.in_flight.is_empty() && self.from_stores.is_empty() && self.from_engines.is_empty())
    }

    /// Discards the last batch, which the parent has received.
    pub fn acknowledge(&mut self) {
        self.in_flight.clear();
    }

    /// Takes all queued updates, if this node is the root.
    pub fn drain(&mut self) -> Vec<CachedSegmentUpdate> {
        self.in_flight
            .drain(..)
            .chain(self.from_stores.drain(..))
            .chain(self.from_engines.drain(..))
            .collect()
    }

    /// Appends updates to the log for the children.
    pub fn append(&mut self, updates: impl IntoIterator<Item = CachedSegmentUpdate>) {
        for update in updates {
            self.last_sequence += 1;
            self.log.push_back(update);
            if self.log.len() > MAX_LOGGED {
                self.log.pop_front();
            }
        }
    }

    /// The updates after `cursor` of the log `id`, and the sequence number of the last of them, for one of
    /// `readers`. A reader of another log starts at the end of this one: it has received the same updates
    /// elsewhere, and all readers arrive at once when the root changes.
    pub fn since(&self, id: u64, cursor: u64, readers: usize) -> (Vec<CachedSegmentUpdate>, u64) {
        let first = self.last_sequence - self.log.len() as u64;
        let after = if id == self.id { cursor.clamp(first, self.last_sequence) } else { self.last_sequence };
        let skipped = (after - first) as usize;
        let max = (MAX_PER_ROUND / readers.max(1)).clamp(MIN_BATCH, MAX_BATCH);
        let updates: Vec<CachedSegmentUpdate> = self.log.iter().skip(skipped).take(max).cloned().collect();
        let end = after + updates.len() as u64;
        (updates, end)
    }
}
