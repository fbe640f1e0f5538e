//! Logs each unknown header of back ends' answers once, so that new ones are noticed.

use http::HeaderName;
use paddlemount_core::forwarding::backends::BackendId;

use crate::{journal::Event, metrics::Counter, node::Node};

impl Node {
    /// Counts the unknown headers of an answer of `backend`, and logs each name once. Values are not logged,
    /// because they may be a caller's.
    pub(crate) fn record_unknown_headers(&self, backend: &BackendId, names: &[HeaderName]) {
        for name in names {
            self.metrics.count(Counter::UnknownAnswerHeaders);
            if self.unknown_headers.is_first(name.as_str()) {
                self.journal
                    .log(&Event::AnswerHeaderUnknown { name: name.as_str(), backend: backend.as_str() });
            }
        }
    }
}
