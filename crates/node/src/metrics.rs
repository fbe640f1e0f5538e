//! The metrics of one node, in the Prometheus text format.

use std::collections::BTreeMap;

use metrics::{Counter, Gauge, Histogram, Key, KeyName, Level, Metadata, Recorder};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle, PrometheusRecorder};
use paddlemount_core::request::ModelRequest;
use paddlemount_protocol::refusal::{Outcome, Refusal, RefusalCode};

/// Upper bounds of the latency buckets, in seconds.
const TIME_BUCKETS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.78, 1.0, 2.5, 5.0, 10.0];
const METADATA: Metadata<'static> = Metadata::new(module_path!(), Level::INFO, Some(module_path!()));

/// The metrics of a node. Labels come from fixed sets, so their number is bounded.
pub struct NodeMetrics {
    pub requests: RequestMetrics,
    recorder: PrometheusRecorder,
    handle: PrometheusHandle,
}

/// The metrics of model requests.
pub struct RequestMetrics {
    /// Seconds from a request's arrival to its first token.
    pub first_token: Histogram,
    /// Requests that were answered completely.
    pub completed: Counter,
    attempts: Counter,
    late_frames: Counter,
    duplicate_frames: Counter,
    frame_gaps: Counter,
    refused: BTreeMap<RefusalCode, [Counter; 2]>,
}

/// The label of each refusal code.
const REFUSAL_LABELS: [(RefusalCode, &str); 18] = [
    (RefusalCode::InvalidRequest, "invalid_request"),
    (RefusalCode::Unauthenticated, "unauthenticated"),
    (RefusalCode::Forbidden, "forbidden"),
    (RefusalCode::NotFound, "not_found"),
    (RefusalCode::TooLarge, "too_large"),
    (RefusalCode::QuotaExceeded, "quota_exceeded"),
    (RefusalCode::Overloaded, "overloaded"),
    (RefusalCode::DeadlineExceeded, "deadline_exceeded"),
    (RefusalCode::Unavailable, "unavailable"),
    (RefusalCode::Draining, "draining"),
    (RefusalCode::PreconditionFailed, "precondition_failed"),
    (RefusalCode::Fenced, "fenced"),
    (RefusalCode::Conflict, "conflict"),
    (RefusalCode::KeyReused, "key_reused"),
    (RefusalCode::KeyTooOld, "key_too_old"),
    (RefusalCode::InProgress, "in_progress"),
    (RefusalCode::BackendFailed, "backend_failed"),
    (RefusalCode::Internal, "internal"),
];

impl RequestMetrics {
    fn new(recorder: &PrometheusRecorder) -> Self {
        let counter = |name, labels: &[_]| recorder.register_counter(&key(name, labels), &METADATA);
        let frames = "paddlemount_irregular_frames_total";
        Self {
            first_token: recorder
                .register_histogram(&key("paddlemount_time_to_first_token_seconds", &[]), &METADATA),
            completed: counter("paddlemount_requests_completed_total", &[]),
            attempts: counter("paddlemount_attempts_total", &[]),
            late_frames: counter(frames, &[("kind", "late")]),
            duplicate_frames: counter(frames, &[("kind", "duplicate")]),
            frame_gaps: counter(frames, &[("kind", "gap")]),
            refused: REFUSAL_LABELS
                .into_iter()
                .map(|(code, label)| {
                    let of = |outcome| {
                        counter(
                            "paddlemount_requests_refused_total",
                            &[("code", label), ("outcome", outcome)],
                        )
                    };
                    (code, [of("not_run"), of("unknown")])
                })
                .collect(),
        }
    }

    /// Counts a refusal.
    pub fn record_refusal(&self, refusal: &Refusal) {
        if let Some([not_run, unknown]) = self.refused.get(&refusal.code) {
            if refusal.outcome == Outcome::NotRun { not_run } else { unknown }.increment(1);
        }
    }

    /// Counts the attempts and irregular frames of one request.
    pub fn record_exchange(&self, request: &ModelRequest) {
        let anomalies = request.anomalies();
        self.attempts.increment(u64::from(request.attempts()));
        self.late_frames.increment(u64::from(anomalies.late));
        self.duplicate_frames.increment(u64::from(anomalies.duplicate));
        self.frame_gaps.increment(u64::from(anomalies.gap));
    }
}

impl Default for NodeMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl NodeMetrics {
    /// Creates metrics with all values at zero.
    pub fn new() -> Self {
        let builder = PrometheusBuilder::new();
        let recorder = match builder.set_buckets(&TIME_BUCKETS) {
            Ok(builder) => builder.build_recorder(),
            Err(error) => {
                log::error!("cannot set the histogram buckets: {error}");
                PrometheusBuilder::new().build_recorder()
            }
        };
        let handle = recorder.handle();
        Self { requests: RequestMetrics::new(&recorder), recorder, handle }
    }

    /// A counter with the given name and labels.
    pub fn counter(&self, name: &'static str, labels: &[(&'static str, &'static str)]) -> Counter {
        self.recorder.register_counter(&key(name, labels), &METADATA)
    }

    /// A gauge with the given name and labels.
    pub fn gauge(&self, name: &'static str, labels: &[(&'static str, &'static str)]) -> Gauge {
        self.recorder.register_gauge(&key(name, labels), &METADATA)
    }

    /// A histogram with the given name and labels.
    pub fn histogram(&self, name: &'static str, labels: &[(&'static str, &'static str)]) -> Histogram {
        self.recorder.register_histogram(&key(name, labels), &METADATA)
    }

    /// A counter with label values known only at run time. The caller bounds their number.
    pub fn counter_of(&self, name: &'static str, labels: Vec<metrics::Label>) -> Counter {
        self.recorder.register_counter(&Key::from_parts(name, labels), &METADATA)
    }

    /// A histogram with label values known only at run time. The caller bounds their number.
    pub fn histogram_of(&self, name: &'static str, labels: Vec<metrics::Label>) -> Histogram {
        self.recorder.register_histogram(&Key::from_parts(name, labels), &METADATA)
    }

    /// Sets the help text of a counter.
    pub fn describe_counter(&self, name: &'static str, help: &'static str) {
        self.recorder.describe_counter(KeyName::from_const_str(name), None, help.into());
    }

    /// Renders all metrics as text.
    pub fn render(&self) -> String {
        self.handle.render()
    }
}

fn key(name: &'static str, labels: &[(&'static str, &'static str)]) -> Key {
    let labels: Vec<metrics::Label> =
        labels.iter().map(|(name, value)| metrics::Label::from_static_parts(name, value)).collect();
    Key::from_parts(name, labels)
}
