//! Headers of back ends' answers that nothing reads: what they say is told once, so that it is noticed on the first day.

use std::{cell::RefCell, collections::BTreeSet};

use http::HeaderName;
use paddlemount_core::forwarding::backends::BackendId;

use crate::{journal::Event, metrics::Counter, node::Node};

/// Names that are remembered, and told, in the life of a process. Back ends choose them: there may be any number.
const MOST_NAMES: usize = 64;

/// Names of headers that were met and not understood.
#[derive(Debug, Default)]
pub struct UnknownHeaders(RefCell<BTreeSet<String>>);

impl UnknownHeaders {
    /// Whether `name` is met for the first time and there is room to remember it.
    fn is_first(&self, name: &HeaderName) -> bool {
        let mut names = self.0.borrow_mut();
        !names.contains(name.as_str()) && names.len() < MOST_NAMES && names.insert(name.as_str().to_owned())
    }
}

impl Node {
    /// Counts headers of an answer of `backend` that nothing reads, and logs each name once. Values stay out of the log: they
    /// may be a caller's.
    pub(crate) fn note_unknown_headers(&self, backend: &BackendId, names: &[HeaderName]) {
        for name in names {
            self.metrics.count(Counter::UnknownAnswerHeaders);
            if self.unknown_headers.is_first(name) {
                self.journal
                    .tell(&Event::AnswerHeaderUnknown { name: name.as_str(), backend: backend.as_str() });
            }
        }
    }
}
