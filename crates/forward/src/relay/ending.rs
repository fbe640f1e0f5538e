//! Whether the end of a body ends its stream.

use super::Relay;
use crate::{metrics::Counter, unframed::still_listens};

impl Relay {
    /// Why the end of the body does not end the stream; `None` if it does.
    pub(super) async fn cut_off(&self) -> Option<&'static str> {
        // Whatever the framing says: a back end may have ended while it wrote the event.
        if self.splitter.has_partial_event() {
            return Some("ended in the middle of an event");
        }
        if self.upstream.as_ref().is_none_or(|upstream| upstream.framed) {
            return None;
        }
        let cut_off = self.unframed_cut_off().await;
        if cut_off.is_some() {
            self.exchange.node.metrics.count(Counter::UnframedBroken);
        }
        cut_off
    }

    async fn unframed_cut_off(&self) -> Option<&'static str> {
        if !self.has_event {
            return Some("ended before its first event, and has no length");
        }
        let listens = still_listens(&self.exchange.node, &self.choice, self.exchange.deadline).await;
        (!listens).then_some("the back end ended with its stream, which has no length")
    }
}
