//! Bounds of what operators' questions may cost a node.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use paddlemount_protocol::refusal::{Refusal, RefusalCode};

/// Statements of operators that a node answers at the same time.
pub const MAX_QUERIES: usize = 8;
/// Questions of other members that a node answers at the same time.
pub const MAX_MEMBER_QUERIES: usize = 16;
/// Streams of `watch` at the same time.
pub const MAX_WATCHERS: usize = 16;
/// Rows that one member gives for one question.
pub const MAX_MEMBER_ROWS: usize = 2_000;
/// Rows that one member gives for one question, however many members there are.
pub const MIN_MEMBER_ROWS: usize = 50;
/// Rows of all members that one answer is made from.
pub const MAX_ANSWER_ROWS: usize = 40_000;
/// How long members may take, where the operator states no deadline.
pub const DEFAULT_QUERY_DEADLINE: Duration = Duration::from_secs(2);
/// How long members may take at most.
pub const MAX_QUERY_DEADLINE: Duration = Duration::from_secs(30);

/// Rows that each of `members` members may give.
pub fn rows_per_member(members: usize) -> usize {
    (MAX_ANSWER_ROWS / members.max(1)).clamp(MIN_MEMBER_ROWS, MAX_MEMBER_ROWS)
}

/// Places for work of one kind.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: usize,
    name: &'static str,
    in_use: Arc<AtomicUsize>,
}

/// A place that is taken; free again when dropped.
#[derive(Debug)]
pub struct ConcurrencyGuard {
    in_use: Arc<AtomicUsize>,
}

impl ConcurrencyLimit {
    /// So many places, all free.
    pub fn new(name: &'static str, limit: usize) -> Self {
        Self { limit, name, in_use: Arc::default() }
    }

    /// Takes a place.
    ///
    /// # Errors
    ///
    /// [`RefusalCode::Overloaded`] where none is free.
    pub fn acquire(&self) -> Result<ConcurrencyGuard, Refusal> {
        let guard = ConcurrencyGuard { in_use: Arc::clone(&self.in_use) };
        if self.in_use.fetch_add(1, Ordering::SeqCst) < self.limit {
            return Ok(guard);
        }
        drop(guard);
        let message =
            format!("this node works on {} {} already; try again or ask another node", self.limit, self.name);
        Err(Refusal::not_run(RefusalCode::Overloaded, message).with_retry_after(Duration::from_secs(1)))
    }

    /// Places taken.
    pub fn in_use(&self) -> usize {
        self.in_use.load(Ordering::SeqCst)
    }
}

impl Drop for ConcurrencyGuard {
    fn drop(&mut self) {
        self.in_use.fetch_sub(1, Ordering::SeqCst);
    }
}

/// All bounds of a node's administration interface.
#[derive(Clone, Debug)]
pub struct AdminLimits {
    /// Statements of operators.
    pub queries: ConcurrencyLimit,
    /// Questions of other members.
    pub member_queries: ConcurrencyLimit,
    /// Streams of `watch`.
    pub watchers: ConcurrencyLimit,
}

impl Default for AdminLimits {
    fn default() -> Self {
        Self {
            queries: ConcurrencyLimit::new("queries", MAX_QUERIES),
            member_queries: ConcurrencyLimit::new("questions of members", MAX_MEMBER_QUERIES),
            watchers: ConcurrencyLimit::new("watchers", MAX_WATCHERS),
        }
    }
}
