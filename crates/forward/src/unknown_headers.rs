//! Headers of back ends' answers that nothing reads: what they say is told once, so that it is noticed on the first day.

use http::HeaderName;
use paddlemount_core::forwarding::backends::BackendId;

use crate::{journal::Event, metrics::Counter, node::Node};

impl Node {
    /// Counts headers of an answer of `backend` that nothing reads, and logs each name once. Values stay out of the log: they
    /// may be a caller's.
    pub(crate) fn note_unknown_headers(&self, backend: &BackendId, names: &[HeaderName]) {
        for name in names {
            self.metrics.count(Counter::UnknownAnswerHeaders);
            if self.unknown_headers.is_first(name.as_str()) {
                self.journal
                    .log(&Event::AnswerHeaderUnknown { name: name.as_str(), backend: backend.as_str() });
            }
        }
    }
}
