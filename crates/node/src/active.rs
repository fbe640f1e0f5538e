//! Requests that a node is working on, and whether it takes new ones.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use paddlemount_core::forwarding::caller_connection::StopStage;
use tokio::sync::{Notify, watch};

/// Counts running requests; refuses new ones above a bound or while the node drains.
#[derive(Debug)]
pub struct ActiveRequests {
    limit: usize,
    count: AtomicUsize,
    /// Requests that have come so far, refused ones too.
    arrivals: AtomicUsize,
    /// How far a planned stop has come.
    stage: watch::Sender<StopStage>,
    changed: Notify,
}

/// Why a request may not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryRefusal {
    /// The node is stopping.
    Draining,
    /// As many requests run as the settings allow.
    Full,
}

/// One running request; dropped at its end.
#[derive(Debug)]
pub struct ActiveGuard {
    requests: Arc<ActiveRequests>,
}

impl ActiveRequests {
    /// Room for `limit` requests at the same time.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            count: AtomicUsize::new(0),
            arrivals: AtomicUsize::new(0),
            stage: watch::Sender::new(StopStage::Serving),
            changed: Notify::new(),
        }
    }

    /// Counts a new request.
    ///
    /// # Errors
    ///
    /// The request must be refused as not run.
    pub fn enter(self: &Arc<Self>) -> Result<ActiveGuard, EntryRefusal> {
        // The request is counted before the stage is read: a drain that sees a count of zero
        // therefore knows that no later request gets past it.
        let before = self.count.fetch_add(1, Ordering::SeqCst);
        self.arrivals.fetch_add(1, Ordering::SeqCst);
        let guard = ActiveGuard { requests: Arc::clone(self) };
        if self.is_draining() {
            return Err(EntryRefusal::Draining);
        }
        if before >= self.limit {
            return Err(EntryRefusal::Full);
        }
        Ok(guard)
    }

    /// Requests that run now.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }

    /// Requests that have come so far, refused ones too.
    pub fn arrivals(&self) -> usize {
        self.arrivals.load(Ordering::SeqCst)
    }

    /// Whether the node takes no new requests.
    pub fn is_draining(&self) -> bool {
        *self.stage.borrow() != StopStage::Serving
    }

    /// Refuses new requests from now on.
    pub fn start_draining(&self) {
        self.stage.send_replace(StopStage::Draining);
    }

    /// Tells how far a planned stop has come.
    pub fn stage(&self) -> watch::Receiver<StopStage> {
        self.stage.subscribe()
    }

    /// Waits until no request runs.
    pub async fn wait_until_idle(&self) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.count() == 0 {
                return;
            }
            changed.await;
        }
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        if self.requests.count.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.requests.changed.notify_waiters();
        }
    }
}
