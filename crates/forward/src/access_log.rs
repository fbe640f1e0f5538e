//! The log line and the counters of a request that has ended.

use std::{sync::Arc, time::Duration};

use paddlemount_core::{
    forwarding::{
        attempt::AttemptHistory,
        choice::Choice,
        document::{Route, Tenant},
    },
    limits::ledger::QuotaView,
};
use paddlemount_protocol::{
    identity::{NodeId, SoftwareVersion},
    quarantine::RequestFingerprint,
    time::Timestamp,
};

use crate::{
    answers::{Reason, Refusal},
    journal::{Event, QuotaLine, RequestLine},
    metrics::{Counter, kind_label},
    node::Node,
    streams::TakeUp,
};

/// The back end answered in full.
pub(crate) const ANSWERED: &str = "answered";
/// The stream was relayed to its end.
pub(crate) const STREAMED: &str = "streamed";
/// The request did not run; the caller may retry.
pub(crate) const REFUSED: &str = "refused";
/// The request is quarantined because back ends crashed repeatedly while running it.
pub(crate) const QUARANTINED: &str = "held_back";
/// The request was still running when the grace period of a planned stop ended.
const CUT_BY_STOP: &str = "cut_by_stop";
/// The caller closed its connection before the end.
const CALLER_LEFT: &str = "caller_left";
/// The request exceeds its tenant's quota.
const OVER_QUOTA: &str = "over_quota";

/// What is logged about a request once it has ended.
#[derive(Debug, Default)]
pub struct RequestRecord {
    pub(crate) id: Option<String>,
    pub(crate) route: Option<Arc<Route>>,
    pub(crate) tenant: Option<Arc<Tenant>>,
    pub(crate) quota: Option<QuotaView>,
    pub(crate) outcome: Option<&'static str>,
    pub(crate) status: Option<u16>,
    pub(crate) reason: Option<Reason>,
    pub(crate) fingerprint: Option<RequestFingerprint>,
    pub(crate) configuration: Option<u64>,
    pub(crate) configuration_age: Option<Duration>,
    pub(crate) choice: Option<Choice>,
    /// How long the request waited for room at engines.
    pub(crate) waited: Option<Duration>,
    pub(crate) first_chunk_at: Option<Timestamp>,
    pub(crate) last_chunk_at: Option<Timestamp>,
    pub(crate) longest_gap: Duration,
    /// Estimated length of the answer.
    pub(crate) estimated_tokens: Option<u32>,
    pub(crate) resumed: u32,
    /// How the caller's take-up of a stream learned where it began.
    pub(crate) take_up: Option<TakeUp>,
    /// The caller's id of the attempt that brought the stream's first event.
    pub(crate) resumes: Option<String>,
    /// The software version that began the stream.
    pub(crate) software: Option<SoftwareVersion>,
}

impl RequestRecord {
    /// Records that the node refused the request before it chose a back end.
    pub(crate) fn refuse(
        &mut self,
        node: &Node,
        arrived: Timestamp,
        Refusal { reason, retry_after }: Refusal,
    ) {
        self.reason = Some(reason);
        self.status = Some(reason.status().as_u16());
        self.outcome = Some(match (reason, retry_after) {
            (Reason::QuotaExceeded, _) => OVER_QUOTA,
            (_, Some(_)) => REFUSED,
            (_, None) => "rejected",
        });
        self.log(node, arrived, AttemptHistory::default());
    }

    /// Whether the caller received a complete answer from a back end.
    pub(crate) fn is_served(&self) -> bool {
        matches!(self.outcome, Some(ANSWERED | STREAMED))
    }

    /// Counts the request and logs how it ended.
    pub(crate) fn log(&self, node: &Node, arrived: Timestamp, history: AttemptHistory) {
        // Without an outcome, the connection was closed by the caller or with the process.
        let without_outcome = if node.grace_elapsed.get() { CUT_BY_STOP } else { CALLER_LEFT };
        let outcome = self.outcome.unwrap_or(without_outcome);
        let kind = self.route.as_ref().map_or("none", |route| kind_label(route.kind));
        node.metrics.count(Counter::Requests { kind, outcome });
        let since = |at: Timestamp| at.saturating_since(arrived).as_millis() as u64;
        let choice = self.choice.as_ref();
        let line = RequestLine {
            request: self.id.as_deref().unwrap_or_default(),
            route: self.route.as_ref().map(|route| route.name.as_str()),
            tenant: self.tenant.as_ref().map(|tenant| tenant.name.as_str()),
            quota: self.quota.map(QuotaLine::from),
            outcome,
            status: self.status,
            reason: self.reason,
            fingerprint: self.fingerprint.map(|fingerprint| fingerprint.to_string()),
            configuration: self.configuration,
            configuration_age_ms: self.configuration_age.map(|age| age.as_millis() as u64),
            attempts: history.sent,
            backend: choice
                .filter(|choice| choice.intermediary.is_none())
                .map(|choice| choice.backend.as_str()),
            through: choice.and_then(|choice| choice.intermediary.as_ref()).map(NodeId::as_str),
            candidates: choice.map_or(0, |choice| choice.eligible),
            cost: choice.map_or(0, |choice| choice.cost),
            expected_tokens: choice.map_or(0, |choice| choice.expected_tokens),
            held_tokens: choice.map_or(0, |choice| choice.cached_tokens),
            cold_tokens: choice.map_or(0, |choice| choice.uncached_tokens),
            guessed_tokens: self.estimated_tokens,
            subject: choice
                .and_then(|choice| choice.last_shared_segment)
                .map(|segment| format!("{:x}", segment.0)),
            at_home: choice.is_some_and(|choice| choice.is_preferred),
            import: choice.and_then(|choice| choice.transfers.import.verdict.label()),
            save: choice.and_then(|choice| choice.transfers.save.verdict.label()),
            copy: choice.and_then(|choice| choice.transfers.copy.verdict.label()),
            imported: choice.is_some_and(|choice| choice.import_from.is_some()),
            weights: choice.and_then(|choice| choice.scope.as_ref()).map(|scope| scope.weights.0),
            waited_ms: self.waited.map(|waited| waited.as_millis() as u64),
            forecast_ms: choice
                .and_then(|choice| choice.forecast)
                .map(|forecast| forecast.as_millis() as u64),
            first_ms: self.first_chunk_at.map(since),
            longest_gap_ms: self.longest_gap.as_millis() as u64,
            total_ms: since(node.now()),
            resumed: self.resumed,
            software: self.software.as_ref().map(SoftwareVersion::as_str),
            resumes: self.resumes.as_deref(),
            resumes_after: self.take_up.as_ref().map(|take_up| take_up.after),
            origin_found: self.take_up.as_ref().map(|take_up| take_up.found),
            origin_age_ms: self
                .take_up
                .as_ref()
                .and_then(|take_up| take_up.age)
                .map(|age| age.as_millis() as u64),
        };
        node.journal.log(&Event::Request(Box::new(line)));
    }
}
