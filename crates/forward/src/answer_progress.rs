//! Records how the answer to a request progresses.

use paddlemount_core::forwarding::choice::Choice;
use paddlemount_protocol::time::Timestamp;

use crate::{
    exchange::Exchange,
    metrics::{Counter, Distribution, kind_label},
};

impl Exchange {
    /// Records that the first part of the answer's body arrived.
    pub fn record_first_chunk(&mut self, choice: &Choice) {
        let now = self.node.now();
        if self.record.first_chunk_at.is_none() {
            self.record.first_chunk_at = Some(now);
            let kind = kind_label(self.route.kind);
            self.node.metrics.observe(Distribution::FirstByte(kind), now.saturating_since(self.arrived));
        }
        self.record_source_time(choice, now);
        self.record_start_time(now);
        self.record_forecast_outcome(choice, now);
        if let (Some(prompt), Some(scope)) = (&self.head.prompt, &choice.scope) {
            let mut updates =
                self.node.state.borrow_mut().chooser.record_prefill(&choice.backend, scope, prompt, now);
            if let Some(store) = &choice.save_to {
                let mut state = self.node.state.borrow_mut();
                updates.extend(state.chooser.record_prefill(&store.id, scope, prompt, now));
            }
            self.node.publish(updates);
        }
    }

    /// Records the time to the first event by the source of the prefix, for comparing sources.
    fn record_source_time(&self, choice: &Choice, now: Timestamp) {
        let (Some(kind), Some(sent_at)) = (choice.import_source, self.sent_at) else { return };
        let mut state = self.node.state.borrow_mut();
        state.chooser.source_times.record(kind, now.saturating_since(sent_at));
    }

    /// Records a further part of a stream.
    pub fn record_chunk(&mut self) {
        let now = self.node.now();
        if let Some(before) = self.record.last_chunk_at.replace(now) {
            self.record.longest_gap = self.record.longest_gap.max(now.saturating_since(before));
        }
    }

    /// Records that the stream continues at another back end.
    pub fn record_resume(&mut self) {
        self.record.resumed += 1;
        self.node.metrics.count(Counter::Resumed);
    }
}
