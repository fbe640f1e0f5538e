//! What the events of a relayed stream tell about its back end.

use std::time::Duration;

use super::Relay;

/// Time from a run's first event to a later one that shows that no segment of its prompt crashes engines.
const HARMLESS_AFTER: Duration = Duration::from_secs(2);

impl Relay {
    pub(super) fn record_first_event(&mut self) {
        if self.has_event {
            return;
        }
        self.has_event = true;
        self.has_relayed = true;
        let software = self.upstream.as_ref().and_then(|upstream| upstream.software.clone());
        self.exchange.record_stream_origin(software, self.choice.intermediary.is_none());
        if let Some(upstream) = &mut self.upstream {
            upstream.load.record_first_chunk();
        }
        self.exchange.record_first_chunk(&self.choice);
    }

    /// Records that the back end goes on writing.
    pub(super) fn record_writing(&mut self) {
        let first = *self.first_event_at.get_or_insert(self.received_at);
        if !self.shown_harmless && self.received_at.saturating_since(first) >= HARMLESS_AFTER {
            self.shown_harmless = true;
            self.exchange.segments_served();
        }
    }

    /// Records that the back end has sent something.
    pub(super) fn record_contact(&self) {
        let contact = self.upstream.as_ref().and_then(|upstream| upstream.load.contact.as_ref());
        match contact {
            Some(contact) if self.has_event => contact.record_event(self.exchange.route.target_gap),
            Some(contact) => contact.record_head(),
            None => {}
        }
    }
}
