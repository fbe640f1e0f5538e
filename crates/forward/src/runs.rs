//! Reports the runs of a request to the quarantine.

use std::time::Duration;

use http::header;
use paddlemount_core::{
    forwarding::choice::Choice,
    quarantine::{Crash, Origin, segment_origin, shared_segments},
};
use paddlemount_protocol::{quarantine::RequestFingerprint, time::Timestamp};

use crate::exchange::Exchange;

impl Exchange {
    /// How long this request stays quarantined, itself or for a segment of its prompt; `None` if it is not, or if
    /// it may run on trial.
    pub(crate) fn quarantined_for(&mut self) -> Option<Duration> {
        let fingerprint = self.quarantined()?;
        if self.may_run_on_trial(fingerprint) {
            return None;
        }
        let quarantined_for = self.node.quarantined_for(&fingerprint)?;
        self.record.fingerprint = Some(fingerprint);
        Some(quarantined_for)
    }

    /// Whether the request runs to see whether a quarantined segment crashes engines: at its first attempt only.
    fn may_run_on_trial(&self, fingerprint: RequestFingerprint) -> bool {
        let is_first = self.history.sent + self.history.not_sent == 0;
        is_first && fingerprint.segment().is_some() && self.node.grant_trial_run(fingerprint)
    }

    /// What is quarantined: the request or a segment of its prompt.
    fn quarantined(&self) -> Option<RequestFingerprint> {
        let (state, now) = (self.node.state.borrow(), self.node.now());
        let quarantine = &state.quarantine;
        if quarantine.may_be_quarantined(self.origin().hash()) {
            let fingerprint = self.fingerprint();
            if quarantine.quarantined(&fingerprint, now).is_some() {
                return Some(fingerprint);
            }
        }
        let prompt = self.head.prompt.as_ref()?;
        if !quarantine.may_be_quarantined(segment_origin(&prompt.model)) {
            return None;
        }
        shared_segments(prompt).find(|segment| quarantine.quarantined(segment, now).is_some())
    }

    /// Reports a completed run, which clears the request.
    pub(crate) fn run_completed(&self) {
        self.node.run_completed(self.fingerprint());
        self.record_complete_answer();
    }

    /// Reports that the answer was written for long enough to show that no segment of the prompt crashes engines.
    pub(crate) fn segments_served(&self) {
        if let Some(prompt) = &self.head.prompt {
            self.node.segments_served(shared_segments(prompt));
        }
    }

    /// The segments of the prompt that may have caused a crash.
    fn suspected_segments(&self, now: Timestamp) -> Vec<RequestFingerprint> {
        let Some(prompt) = &self.head.prompt else { return Vec::new() };
        self.node.state.borrow().quarantine.suspects(shared_segments(prompt), now)
    }

    /// Records the segments of the prompt, which is sent to an engine.
    pub(crate) fn record_prompt(&self) {
        let Some(prompt) = &self.head.prompt else { return };
        let (origin, now) = (segment_origin(&prompt.model), self.node.now());
        self.node.state.borrow_mut().quarantine.record_prompt(origin, shared_segments(prompt), now);
    }

    /// Reports that the connection broke during the run.
    pub(crate) fn report_broken_run(&self, choice: &Choice) {
        // A planned stop of a back end cuts off long runs and is not a crash.
        if self.node.state.borrow().backends.is_leaving(&choice.backend) {
            return;
        }
        let now = self.node.now();
        let crash = Crash {
            fingerprint: self.fingerprint(),
            engine: choice.backend.clone(),
            route: self.route.name.clone(),
            tenant: self.record.tenant.as_ref().map(|tenant| tenant.name.clone()),
            began: self.sent_at.unwrap_or(self.arrived),
            ended: now,
            segments: self.suspected_segments(now),
        };
        self.node.report_broken_run(crash, choice.address);
    }

    /// Identifies the request; the same for each retry by its caller.
    pub(crate) fn fingerprint(&self) -> RequestFingerprint {
        self.origin().fingerprint(&self.body)
    }

    fn origin(&self) -> Origin<'_> {
        let header_host = self.parts.headers.get(header::HOST).and_then(|value| value.to_str().ok());
        Origin {
            method: self.parts.method.as_str(),
            host: header_host.or_else(|| self.parts.uri.host()).unwrap_or_default(),
            path: self.parts.uri.path_and_query().map_or("/", |path| path.as_str()),
            caller: self.record.tenant.as_ref().map_or("", |tenant| tenant.name.as_str()),
        }
    }
}
