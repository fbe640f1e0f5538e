//! News of what engines keep, on its way between nodes.
//!
//! A node remembers what it has learned until the node above has taken it, and numbers what came from above for the
//! nodes below. Both are bounded: what falls out is only learned later, by a slower answer.

use std::collections::VecDeque;

use paddlemount_protocol::fleet::KeptNews;

/// News that is numbered and remembered.
const MOST_LOGGED: usize = 2_048;
/// News that waits for the node above.
const MOST_WAITING: usize = 1_024;
/// News in one message.
const MOST_AT_ONCE: usize = 128;

/// News at one node.
#[derive(Debug)]
pub struct NewsLog {
    /// The identity of this log, drawn at the process's start.
    id: u64,
    logged: VecDeque<KeptNews>,
    /// The number of the last one logged.
    last: u64,
    waiting: VecDeque<KeptNews>,
}

impl NewsLog {
    /// An empty log.
    pub const fn new(id: u64) -> Self {
        Self { id, logged: VecDeque::new(), last: 0, waiting: VecDeque::new() }
    }

    /// Its identity.
    pub const fn id(&self) -> u64 {
        self.id
    }

    /// The number of the last news logged.
    pub const fn last(&self) -> u64 {
        self.last
    }

    /// Something was learned at this node or below it, to be told above.
    pub fn learned(&mut self, news: KeptNews) {
        if self.waiting.len() >= MOST_WAITING {
            self.waiting.pop_front();
        }
        self.waiting.push_back(news);
    }

    /// What the node above is to be told next.
    pub fn waiting(&self) -> Vec<KeptNews> {
        self.waiting.iter().take(MOST_AT_ONCE).cloned().collect()
    }

    /// The node above has taken the oldest `count`.
    pub fn taken(&mut self, count: usize) {
        self.waiting.drain(..count.min(self.waiting.len()));
    }

    /// Takes all that waits, where this node is the root.
    pub fn drain(&mut self) -> Vec<KeptNews> {
        self.waiting.drain(..).collect()
    }

    /// Numbers news for the nodes below.
    pub fn log(&mut self, news: impl IntoIterator<Item = KeptNews>) {
        for one in news {
            self.last += 1;
            self.logged.push_back(one);
            if self.logged.len() > MOST_LOGGED {
                self.logged.pop_front();
            }
        }
    }

    /// The news behind `cursor` of the log `id`, and the number of the last of them. A reader of another log begins
    /// with what comes next: it has heard the same news elsewhere, and all readers come at once where a root changes.
    pub fn since(&self, id: u64, cursor: u64) -> (Vec<KeptNews>, u64) {
        let first = self.last - self.logged.len() as u64;
        let after = if id == self.id { cursor.clamp(first, self.last) } else { self.last };
        let skipped = (after - first) as usize;
        let news: Vec<KeptNews> = self.logged.iter().skip(skipped).take(MOST_AT_ONCE).cloned().collect();
        let upto = after + news.len() as u64;
        (news, upto)
    }
}
