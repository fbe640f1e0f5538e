//! Limits on the cost of the administration interface.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use paddlemount_protocol::refusal::{Refusal, RefusalCode};

/// Concurrent statements of operators.
pub const MAX_QUERIES: usize = 8;
/// Concurrent queries of other members.
pub const MAX_MEMBER_QUERIES: usize = 16;
/// Concurrent `watch` streams.
pub const MAX_WATCHERS: usize = 16;
/// Maximum rows that one member returns for a query.
pub const MAX_MEMBER_ROWS: usize = 2_000;
/// Rows that one member may always return, however many members there are.
pub const MIN_MEMBER_ROWS: usize = 50;
/// Rows of all members in one answer.
pub const MAX_ANSWER_ROWS: usize = 40_000;
/// Default deadline for the members' replies.
pub const DEFAULT_QUERY_DEADLINE: Duration = Duration::from_secs(2);
/// Maximum deadline for the members' replies.
pub const MAX_QUERY_DEADLINE: Duration = Duration::from_secs(30);

/// The rows that each of `members` members may return.
pub fn rows_per_member(members: usize) -> usize {
    (MAX_ANSWER_ROWS / members.max(1)).clamp(MIN_MEMBER_ROWS, MAX_MEMBER_ROWS)
}

/// Limits the concurrency of one kind of work.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: usize,
    name: &'static str,
    in_use: Arc<AtomicUsize>,
}

/// Counts one unit of work until it is dropped.
#[derive(Debug)]
pub struct ConcurrencyGuard {
    in_use: Arc<AtomicUsize>,
}

impl ConcurrencyLimit {
    /// Allows `limit` concurrent units of work.
    pub fn new(name: &'static str, limit: usize) -> Self {
        Self { limit, name, in_use: Arc::default() }
    }

    /// Starts a unit of work.
    ///
    /// # Errors
    ///
    /// [`RefusalCode::Overloaded`] if the limit is reached.
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

    /// The units of work in progress.
    pub fn in_use(&self) -> usize {
        self.in_use.load(Ordering::SeqCst)
    }
}

impl Drop for ConcurrencyGuard {
    fn drop(&mut self) {
        self.in_use.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The concurrency limits of the administration interface.
#[derive(Clone, Debug)]
pub struct AdminLimits {
    pub queries: ConcurrencyLimit,
    pub member_queries: ConcurrencyLimit,
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
