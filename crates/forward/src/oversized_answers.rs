//! Leaves back ends whose answers have heads or framing without end.

use paddlemount_core::forwarding::choice::Choice;

use crate::{exchange::Exchange, journal::Event, metrics::Counter, node::Node};

impl Node {
    /// Records an answer that broke off because more bytes arrived that are no data than are read.
    pub(crate) fn record_oversized_answer(&self, choice: &Choice) {
        self.metrics.count(Counter::OversizedAnswers);
        let (process, now) = (self.process_of(&choice.backend), self.now());
        let mut state = self.state.borrow_mut();
        let Some(back_off) = state.oversized_answers.record(&process) else { return };
        state.backends.announcements.observe_back_off(&process, back_off, now);
        drop(state);
        let for_ms = back_off.as_millis() as u64;
        self.journal.log(&Event::BackendOversized { backend: process.id.as_str(), for_ms });
    }
}

impl Exchange {
    /// Records that the chosen back end has completed its answer.
    pub(crate) fn record_complete_answer(&self) {
        let Some(choice) = self.record.choice.as_ref().filter(|choice| choice.intermediary.is_none()) else {
            return;
        };
        let process = self.node.process_of(&choice.backend);
        self.node.state.borrow_mut().oversized_answers.record_complete(&process);
    }
}
