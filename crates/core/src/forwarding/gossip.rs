//! News of what engines and stores keep, on its way between nodes.
//!
//! A node remembers what it has learned until the node above has taken it, and numbers what came from above for the
//! nodes below. Both are bounded: what falls out is only learned later, by a slower answer. News of stores goes first:
//! a part that is known to lie there is neither read again nor handed over again by anyone, for as long as the store
//! keeps it, while what an engine keeps changes within seconds.

use std::collections::{BTreeSet, VecDeque};

use paddlemount_protocol::{fleet::KeptNews, identity::EngineId};

/// News that is numbered and remembered.
const MAX_LOGGED: usize = 4_096;
/// News of engines that waits for the node above, and of stores as much again.
const MAX_QUEUED: usize = 1_024;
/// News in one message.
const MAX_BATCH: usize = 384;
/// News that a node sends to all that report to it together, in one round of their reports: some 60 bytes each, five
/// rounds a second, on links that carry 1 MB a second.
const MAX_PER_ROUND: usize = 8_192;
/// News in one message, however many nodes report.
const MIN_BATCH: usize = 64;

/// News at one node.
#[derive(Debug)]
pub struct GossipLog {
    /// The identity of this log, drawn at the process's start.
    id: u64,
    log: VecDeque<KeptNews>,
    /// The number of the last one logged.
    last_sequence: u64,
    stores: BTreeSet<EngineId>,
    from_stores: VecDeque<KeptNews>,
    from_engines: VecDeque<KeptNews>,
    /// Told to the node above, which has not answered yet.
    in_flight: Vec<KeptNews>,
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

    /// Its identity.
    pub const fn id(&self) -> u64 {
        self.id
    }

    /// The number of the last news logged.
    pub const fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Sets the stores, whose news goes first.
    pub fn set_stores(&mut self, stores: BTreeSet<EngineId>) {
        self.stores = stores;
    }

    /// Something was learned at this node or below it, to be told above.
    pub fn enqueue(&mut self, update: KeptNews) {
        let queue =
            if self.stores.contains(&update.engine) { &mut self.from_stores } else { &mut self.from_engines };
        if queue.len() >= MAX_QUEUED {
            queue.pop_front();
        }
        queue.push_back(update);
    }

    /// What the node above is told now; told again until it is [`taken`](Self::taken).
    pub fn next_batch(&mut self) -> Vec<KeptNews> {
        while self.in_flight.len() < MAX_BATCH {
            let Some(next) = self.from_stores.pop_front().or_else(|| self.from_engines.pop_front()) else {
                break;
            };
            self.in_flight.push(next);
        }
        self.in_flight.clone()
    }

    /// Whether something waits to be told above.
    pub fn has_pending(&self) -> bool {
        !(self.in_flight.is_empty() && self.from_stores.is_empty() && self.from_engines.is_empty())
    }

    /// The node above has taken the last report.
    pub fn acknowledge(&mut self) {
        self.in_flight.clear();
    }

    /// Takes all that waits, where this node is the root.
    pub fn drain(&mut self) -> Vec<KeptNews> {
        self.in_flight
            .drain(..)
            .chain(self.from_stores.drain(..))
            .chain(self.from_engines.drain(..))
            .collect()
    }

    /// Numbers news for the nodes below.
    pub fn append(&mut self, updates: impl IntoIterator<Item = KeptNews>) {
        for update in updates {
            self.last_sequence += 1;
            self.log.push_back(update);
            if self.log.len() > MAX_LOGGED {
                self.log.pop_front();
            }
        }
    }

    /// The news behind `cursor` of the log `id`, and the number of the last of them, for one of `readers`. A reader of another log begins
    /// with what comes next: it has heard the same news elsewhere, and all readers come at once where a root changes.
    pub fn since(&self, id: u64, cursor: u64, readers: usize) -> (Vec<KeptNews>, u64) {
        let first = self.last_sequence - self.log.len() as u64;
        let after = if id == self.id { cursor.clamp(first, self.last_sequence) } else { self.last_sequence };
        let skipped = (after - first) as usize;
        let max = (MAX_PER_ROUND / readers.max(1)).clamp(MIN_BATCH, MAX_BATCH);
        let updates: Vec<KeptNews> = self.log.iter().skip(skipped).take(max).cloned().collect();
        let end = after + updates.len() as u64;
        (updates, end)
    }
}
