//! News of what engines and stores keep, on its way between nodes.
//!
//! A node remembers what it has learned until the node above has taken it, and numbers what came from above for the
//! nodes below. Both are bounded: what falls out is only learned later, by a slower answer. News of stores goes first:
//! a part that is known to lie there is neither read again nor handed over again by anyone, for as long as the store
//! keeps it, while what an engine keeps changes within seconds.

use std::collections::{BTreeSet, VecDeque};

use paddlemount_protocol::{fleet::KeptNews, identity::EngineId};

/// News that is numbered and remembered.
const MOST_LOGGED: usize = 4_096;
/// News of engines that waits for the node above, and of stores as much again.
const MOST_WAITING: usize = 1_024;
/// News in one message.
const MOST_AT_ONCE: usize = 384;
/// News that a node sends to all that report to it together, in one round of their reports: some 60 bytes each, five
/// rounds a second, on links that carry 1 MB a second.
const MOST_TO_ALL: usize = 8_192;
/// News in one message, however many nodes report.
const LEAST_AT_ONCE: usize = 64;

/// News at one node.
#[derive(Debug)]
pub struct GossipLog {
    /// The identity of this log, drawn at the process's start.
    id: u64,
    logged: VecDeque<KeptNews>,
    /// The number of the last one logged.
    last: u64,
    stores: BTreeSet<EngineId>,
    of_stores: VecDeque<KeptNews>,
    of_engines: VecDeque<KeptNews>,
    /// Told to the node above, which has not answered yet.
    on_the_way: Vec<KeptNews>,
}

impl GossipLog {
    /// An empty log.
    pub const fn new(id: u64) -> Self {
        Self {
            id,
            logged: VecDeque::new(),
            last: 0,
            stores: BTreeSet::new(),
            of_stores: VecDeque::new(),
            of_engines: VecDeque::new(),
            on_the_way: Vec::new(),
        }
    }

    /// Its identity.
    pub const fn id(&self) -> u64 {
        self.id
    }

    /// The number of the last news logged.
    pub const fn last_sequence(&self) -> u64 {
        self.last
    }

    /// Sets the stores, whose news goes first.
    pub fn set_stores(&mut self, stores: BTreeSet<EngineId>) {
        self.stores = stores;
    }

    /// Something was learned at this node or below it, to be told above.
    pub fn enqueue(&mut self, news: KeptNews) {
        let queue =
            if self.stores.contains(&news.engine) { &mut self.of_stores } else { &mut self.of_engines };
        if queue.len() >= MOST_WAITING {
            queue.pop_front();
        }
        queue.push_back(news);
    }

    /// What the node above is told now; told again until it is [`taken`](Self::taken).
    pub fn next_batch(&mut self) -> Vec<KeptNews> {
        while self.on_the_way.len() < MOST_AT_ONCE {
            let Some(next) = self.of_stores.pop_front().or_else(|| self.of_engines.pop_front()) else {
                break;
            };
            self.on_the_way.push(next);
        }
        self.on_the_way.clone()
    }

    /// Whether something waits to be told above.
    pub fn has_pending(&self) -> bool {
        !(self.on_the_way.is_empty() && self.of_stores.is_empty() && self.of_engines.is_empty())
    }

    /// The node above has taken the last report.
    pub fn acknowledge(&mut self) {
        self.on_the_way.clear();
    }

    /// Takes all that waits, where this node is the root.
    pub fn drain(&mut self) -> Vec<KeptNews> {
        self.on_the_way.drain(..).chain(self.of_stores.drain(..)).chain(self.of_engines.drain(..)).collect()
    }

    /// Numbers news for the nodes below.
    pub fn append(&mut self, news: impl IntoIterator<Item = KeptNews>) {
        for one in news {
            self.last += 1;
            self.logged.push_back(one);
            if self.logged.len() > MOST_LOGGED {
                self.logged.pop_front();
            }
        }
    }

    /// The news behind `cursor` of the log `id`, and the number of the last of them, for one of `readers`. A reader of another log begins
    /// with what comes next: it has heard the same news elsewhere, and all readers come at once where a root changes.
    pub fn since(&self, id: u64, cursor: u64, readers: usize) -> (Vec<KeptNews>, u64) {
        let first = self.last - self.logged.len() as u64;
        let after = if id == self.id { cursor.clamp(first, self.last) } else { self.last };
        let skipped = (after - first) as usize;
        let most = (MOST_TO_ALL / readers.max(1)).clamp(LEAST_AT_ONCE, MOST_AT_ONCE);
        let news: Vec<KeptNews> = self.logged.iter().skip(skipped).take(most).cloned().collect();
        let upto = after + news.len() as u64;
        (news, upto)
    }
}
