//! Decides when a caller's connection closes, and decides again whenever an input of that decision may have
//! changed.

use paddlemount_core::forwarding::caller_connection::{
    ConnectionAction, ConnectionState, StopStage, next_action,
};
use paddlemount_protocol::time::Timestamp;
use tokio::sync::watch;

use crate::caller_stream::{CallerSocket, ConnectionHost};

/// How a connection closes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseMode {
    /// The HTTP library finishes what it has started, then closes.
    Graceful,
    /// The connection is dropped: the HTTP library would wait for the rest of a head, or for a run that
    /// outlasts the process.
    Immediate,
}

impl<H: ConnectionHost> CallerSocket<H> {
    /// Waits until the connection should close, given the `stage` of a planned stop.
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
                () = self.state_changed.notified() => {}
                () = self.wait_until(recheck_at) => {}
            }
        }
    }

    /// Decides about the connection. The kernel is asked for unread bytes only if nothing else keeps the
    /// connection open.
    fn decide(&self, stage: StopStage) -> ConnectionAction {
        let (state, timeouts, now) = (self.state(), self.host().timeouts(), self.now());
        match next_action(state, stage, timeouts, now) {
            ConnectionAction::KeepOpen(recheck_at) => ConnectionAction::KeepOpen(recheck_at),
            ConnectionAction::Close | ConnectionAction::Abort => next_action(
                ConnectionState { is_readable: self.is_readable(), ..state },
                stage,
                timeouts,
                now,
            ),
        }
    }

    async fn wait_until(&self, at: Option<Timestamp>) {
        match at {
            // A plain sleep keeps one timer per connection. After a suspend of the machine a connection may
            // stay idle for longer, which is harmless.
            Some(at) => tokio::time::sleep(at.saturating_since(self.now())).await,
            None => std::future::pending().await,
        }
    }
}
