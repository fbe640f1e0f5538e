//! When a caller's connection closes: the decision of `core`, made again whenever its input may have changed.

use paddlemount_core::forwarding::caller_connection::{
    ConnectionAction, ConnectionState, StopStage, next_action,
};
use paddlemount_protocol::time::Timestamp;
use tokio::sync::watch;

use crate::caller_stream::{CallerSocket, ConnectionHost};

/// How a connection closes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseMode {
    /// The HTTP library ends it, after what it may have begun meanwhile.
    Graceful,
    /// The library is left: it would wait for the rest of a head, or for what runs at the end of the process.
    Immediate,
}

impl<H: ConnectionHost> CallerSocket<H> {
    /// Waits until the connection is to close, in a planned stop that `stage` tells of.
    pub async fn until_close(&self, mut stage: watch::Receiver<StopStage>) -> CloseMode {
        loop {
            let current = *stage.borrow_and_update();
            let recheck_at = match self.decide(current) {
                ConnectionAction::Close => return CloseMode::Graceful,
                ConnectionAction::Abort => return CloseMode::Immediate,
                ConnectionAction::KeepOpen(recheck_at) => recheck_at,
            };
            tokio::select! {
                Ok(()) = stage.changed() => {}
                () = self.request_ended.notified() => {}
                () = self.wait_until(recheck_at) => {}
            }
        }
    }

    /// Decides on the connection. The system is asked for unread bytes only where nothing else keeps it open.
    fn decide(&self, stage: StopStage) -> ConnectionAction {
        let (state, idle_timeout, now) = (self.state(), self.host().idle_timeout(), self.now());
        match next_action(state, stage, idle_timeout, now) {
            ConnectionAction::KeepOpen(recheck_at) => ConnectionAction::KeepOpen(recheck_at),
            ConnectionAction::Close | ConnectionAction::Abort => next_action(
                ConnectionState { is_readable: self.is_readable(), ..state },
                stage,
                idle_timeout,
                now,
            ),
        }
    }

    async fn wait_until(&self, at: Option<Timestamp>) {
        match at {
            // One timer a connection, and no look at the clock between: a connection that rests longer since the machine
            // was suspended harms nobody, and a node has thousands of them.
            Some(at) => tokio::time::sleep(at.saturating_since(self.now())).await,
            None => std::future::pending().await,
        }
    }
}
