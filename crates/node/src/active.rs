//! Counts the active requests of a node and refuses new ones while it drains.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use paddlemount_core::forwarding::caller_connection::StopStage;
use paddlemount_forward::request_bodies::BodyAccount;
use tokio::sync::{Notify, watch};

/// Tracks active requests; refuses new ones above a limit or while the node drains.
#[derive(Debug)]
pub struct ActiveRequests {
    limit: usize,
    count: AtomicUsize,
    /// Requests received since the start, including refused ones.
    arrivals: AtomicUsize,
    /// The stage of a graceful stop.
    stage: watch::Sender<StopStage>,
    /// Notified when no request is active any more.
    idle: Notify,
}

/// Why a request is refused on arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryRefusal {
    Draining,
    /// The limit of concurrent requests is reached.
    Full,
}

/// Counts one request as active until it is dropped.
#[derive(Debug)]
pub struct ActiveGuard {
    requests: Arc<ActiveRequests>,
    /// The memory of the request's body, once it has been received.
    body: Option<BodyAccount>,
}

impl ActiveGuard {
    /// Keeps the account of the request's body until the request has ended.
    pub fn hold(&mut self, body: BodyAccount) {
        self.body = Some(body);
    }
}

impl ActiveRequests {
    /// Allows `limit` concurrent requests.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            count: AtomicUsize::new(0),
            arrivals: AtomicUsize::new(0),
            stage: watch::Sender::new(StopStage::Serving),
            idle: Notify::new(),
        }
    }

    /// Counts a new request as active.
    ///
    /// # Errors
    ///
    /// The reason to refuse the request, which has not run.
    pub fn enter(self: &Arc<Self>) -> Result<ActiveGuard, EntryRefusal> {
        // The request is counted before the stage is read, so a drain that sees a count of zero knows that no
        // later request can pass.
        let before = self.count.fetch_add(1, Ordering::SeqCst);
        self.arrivals.fetch_add(1, Ordering::SeqCst);
        let guard = ActiveGuard { requests: Arc::clone(self), body: None };
        if self.is_draining() {
            return Err(EntryRefusal::Draining);
        }
        if before >= self.limit {
            return Err(EntryRefusal::Full);
        }
        Ok(guard)
    }

    /// The number of active requests.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }

    /// Requests received since the start, including refused ones.
    pub fn arrivals(&self) -> usize {
        self.arrivals.load(Ordering::SeqCst)
    }

    /// Whether the node refuses new requests.
    pub fn is_draining(&self) -> bool {
        *self.stage.borrow() != StopStage::Serving
    }

    /// Starts refusing new requests.
    pub fn start_draining(&self) {
        self.stage.send_replace(StopStage::Draining);
    }

    /// Subscribes to the stage of a graceful stop.
    pub fn stage(&self) -> watch::Receiver<StopStage> {
        self.stage.subscribe()
    }

    /// Waits until no request is active.
    pub async fn wait_until_idle(&self) {
        loop {
            let idle = self.idle.notified();
            tokio::pin!(idle);
            idle.as_mut().enable();
            if self.count() == 0 {
                return;
            }
            idle.await;
        }
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        if self.requests.count.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.requests.idle.notify_waiters();
        }
    }
}
