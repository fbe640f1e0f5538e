//! Reports the runs of a request to the quarantine.

use std::time::Duration;

use http::header;
use paddlemount_core::{
    forwarding::choice::Choice,
    quarantine::{Crash, Origin},
};
use paddlemount_protocol::quarantine::RequestFingerprint;

use crate::exchange::Exchange;

impl Exchange {
    /// How long this request stays quarantined; `None` if it is not.
    pub(crate) fn quarantined_for(&mut self) -> Option<Duration> {
        if !self.node.state.borrow().quarantine.may_be_quarantined(self.origin().hash()) {
            return None;
        }
        let fingerprint = self.fingerprint();
        let quarantined_for = self.node.quarantined_for(&fingerprint)?;
        self.record.fingerprint = Some(fingerprint);
        Some(quarantined_for)
    }

    /// Reports a completed run, which clears the request.
    pub(crate) fn run_completed(&self) {
        self.node.run_completed(self.fingerprint());
    }

    /// Reports that the connection broke during the run.
    pub(crate) fn report_broken_run(&self, choice: &Choice) {
        // A planned stop of a back end cuts off long runs and is not a crash.
        if self.node.state.borrow().backends.is_leaving(&choice.backend) {
            return;
        }
        let crash = Crash {
            fingerprint: self.fingerprint(),
            engine: choice.backend.clone(),
            route: self.route.name.clone(),
            tenant: self.record.tenant.as_ref().map(|tenant| tenant.name.clone()),
            began: self.sent_at.unwrap_or(self.arrived),
            ended: self.node.now(),
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
