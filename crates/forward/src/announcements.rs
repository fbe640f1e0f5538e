//! What back ends announce in their answers: draining, back-off and limits. A node observes it, shares it
//! with other nodes and applies it.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use paddlemount_core::{
    back_off::{self, MAX_BACK_OFF},
    forwarding::{
        announcements::{BackOff, DrainingEffect},
        backends::BackendId,
        choice::Choice,
    },
};
use paddlemount_protocol::{fleet::BackendProcess, identity::ServiceId, time::Timestamp};

use crate::{
    journal::Event,
    metrics::{Counter, Gauge},
    node::Node,
    ports::{AnswerHead, RequestedBackOff},
};

/// How an announcement reached this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnnouncementSource {
    Answer,
    Gossip,
}

impl AnnouncementSource {
    /// The name in log lines.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Gossip => "told",
        }
    }
}

/// Adds jitter to a retry delay of `min`, so that refused callers do not return together.
pub(crate) fn with_jitter(min: Duration) -> Duration {
    back_off::with_jitter(min, rand::random())
}

impl Node {
    /// The current process of a back end. An answer's announcements apply to the process that the request was
    /// sent to.
    pub(crate) fn process_of(&self, id: &BackendId) -> BackendProcess {
        self.state.borrow().backends.process_of(id)
    }

    /// Applies what a response of a back end's own interface announces; its body may announce draining too. A
    /// refusal of such a call does not concern requests: the back-off it asks for is returned and not
    /// applied.
    pub(crate) fn observe_call(
        &self,
        process: &BackendProcess,
        answer: &Response<Bytes>,
        body_says_leaving: bool,
    ) -> Option<Duration> {
        let parsed = self.platform.read_answer(answer.status(), answer.headers());
        let leaving = parsed.leaving || body_says_leaving;
        let back_off = match parsed.back_off {
            Some(RequestedBackOff::For(time)) => Some(time.min(MAX_BACK_OFF)),
            Some(RequestedBackOff::Unreadable(_)) | None => None,
        };
        self.observe_answer(process, &AnswerHead { leaving, back_off: None, ..parsed }, None);
        back_off
    }

    /// Applies what an answer of `process` announces, whatever its status. If another process answered, its
    /// announcements are ignored. `sent_at` is when the request was sent; it is `None` for a back end's own
    /// interfaces, which need not repeat a limit that is in force.
    pub(crate) fn observe_answer(
        &self,
        process: &BackendProcess,
        parsed: &AnswerHead,
        sent_at: Option<Timestamp>,
    ) {
        self.record_unknown_headers(&process.id, &parsed.unknown);
        let is_other = match &parsed.backend {
            Some(backend) => *backend != process.id,
            None => parsed.misdirected,
        };
        if is_other {
            return;
        }
        if parsed.leaving {
            self.observe_draining(process, AnnouncementSource::Answer);
        }
        match &parsed.back_off {
            Some(RequestedBackOff::For(time)) => self.observe_back_off(process, *time),
            Some(RequestedBackOff::Unreadable(value)) => {
                self.journal.log(&Event::RestUnreadable { backend: process.id.as_str(), value });
            }
            None => {}
        }
        self.observe_limit(process, parsed.limit.as_ref(), sent_at);
        self.observe_brittleness(process, parsed.bearable_rejections.as_ref(), sent_at);
    }

    /// Applies draining announcements received from other nodes.
    pub(crate) fn merge_draining_gossip(&self, processes: &[BackendProcess]) {
        for process in processes {
            self.observe_draining(process, AnnouncementSource::Gossip);
        }
    }

    fn observe_draining(&self, process: &BackendProcess, source: AnnouncementSource) {
        let mut state = self.state.borrow_mut();
        let service = state.backends.get(&process.id).map(|known| known.entry.service.clone());
        match state.backends.observe_draining(process, self.now()) {
            DrainingEffect::Known => return,
            DrainingEffect::Leaves => {}
            DrainingEffect::Dropped => {
                state.forget(&process.id, self.now());
                self.pool.borrow_mut().close(&process.id);
            }
        }
        drop(state);
        let service = service.as_ref().map(ServiceId::as_str);
        let backend = process.id.as_str();
        self.journal.log(&Event::BackendLeaving { backend, service, heard: source.name() });
    }

    fn observe_back_off(&self, process: &BackendProcess, requested: Duration) {
        let now = self.now();
        let back_off =
            self.state.borrow_mut().backends.announcements.observe_back_off(process, requested, now);
        let Some(BackOff { until, begins, is_cut }) = back_off else { return };
        self.metrics.count(Counter::BackOffsRequested);
        if begins || is_cut {
            let for_ms = until.saturating_since(now).as_millis() as u64;
            self.journal.log(&Event::BackendRests { backend: process.id.as_str(), for_ms, is_cut });
        }
    }

    /// Whether the chosen back end still accepts requests: it may have announced otherwise while a connection
    /// was opened.
    pub(crate) fn still_accepts(&self, choice: &Choice) -> bool {
        let state = self.state.borrow();
        let known = state.backends.get(&choice.backend);
        known.is_some_and(|backend| {
            state.takes_requests(backend, self.now())
                || (choice.is_continuation && state.takes_continuations(backend, self.now()))
        })
    }

    /// Removes expired announcements and logs back-offs that have ended.
    pub(crate) fn expire_announcements(&self) {
        let ended = self.state.borrow_mut().backends.announcements.expire(self.now());
        for backend in &ended {
            self.journal.log(&Event::BackendRested { backend: backend.as_str() });
        }
    }

    /// The numbers of back ends in back-off, draining and limited, and of requests that may still arrive at these.
    pub(crate) fn announcement_gauges(&self) -> [Gauge; 4] {
        let state = self.state.borrow();
        let backed_off = state.backends.announcements.count_backed_off(self.now());
        let leaving = state.backends.iter().filter(|backend| backend.state.is_leaving()).count();
        [
            Gauge { name: "paddlemount_forward_backends_resting", value: backed_off as f64 },
            Gauge { name: "paddlemount_forward_backends_leaving", value: leaving as f64 },
            Gauge {
                name: "paddlemount_forward_backends_limited",
                value: state.backends.announcements.count_limited() as f64,
            },
            Gauge {
                name: "paddlemount_forward_undated_permits",
                value: f64::from(state.backends.announcements.count_undated()),
            },
        ]
    }
}
