//! Counters and histograms in the Prometheus text format. Labels come from fixed sets.

use std::{cell::RefCell, collections::BTreeMap, fmt::Write};

use paddlemount_core::forwarding::document::RouteKind;

/// The histograms' bucket bounds, in seconds.
const TIME_BUCKETS: [f64; 12] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 0.8, 1.5, 3.0, 6.0];

/// A counter, with its labels.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Counter {
    /// Requests by kind of route and outcome.
    Requests {
        kind: &'static str,
        outcome: &'static str,
    },
    /// Attempts without an answer to relay, by how they ended.
    Attempts(&'static str),
    /// Requests that were sent to a second back end.
    Retries,
    /// Retries that the budget did not allow.
    RetriesRefused,
    /// Answers stating that the request reached another back end, or one with other weights.
    Misdirected,
    /// Refusals in which back ends asked for a back-off.
    BackOffsRequested,
    OversizedAnswers,
    /// Requests refused because all eligible back ends are limited.
    RefusedForLimits,
    /// Requests rejected because the engines have no room, by reason.
    RejectedForRoom(&'static str),
    /// Requests not sent to the chosen back end because its limit was used up meanwhile.
    DeferredForLimits,
    /// Facts from other nodes that this version does not know.
    UnknownFacts,
    /// Headers of back ends' answers that nothing reads.
    UnknownAnswerHeaders,
    /// Streams that continued at another back end.
    Resumed,
    /// Calls to the store by purpose and outcome.
    StoreCalls {
        purpose: &'static str,
        outcome: &'static str,
    },
    /// Orders by outcome.
    Orders(&'static str),
    /// Reports to the parent by outcome.
    PeerCalls(&'static str),
    /// Snapshots of the store sent to other nodes.
    SnapshotsServed,
    /// Snapshots of the store taken from another node.
    SnapshotsReceived,
    /// Restores of the store from a backup.
    StoreRestores,
    /// Observations of this node that an engine is silent or full.
    EngineConditions(&'static str),
    /// Entries on engines' performance in reports to the parent or in answers to children.
    PerformanceEntries(&'static str),
    /// New connections to back ends.
    Connections,
    /// Idle connections that were replaced, as the request must not run twice and the engine had not been
    /// heard lately.
    ConnectionsRenewed,
    /// Engines that this node recognised as silent.
    EnginesSilent,
    /// Silent engines that sent something again.
    EnginesHeardAgain,
    /// Streams that left a silent engine.
    StreamsLeft,
    /// Requests with a prefix to import.
    Imports,
    /// Weighed transfers of cached tokens, requested or not, by kind and verdict.
    Transfers {
        kind: &'static str,
        verdict: &'static str,
    },
    /// Ignored entries of reports on quotas, with unknown tenants or impossible numbers.
    QuotaReportsIgnored,
    /// Runs of this node's requests during which back ends crashed.
    RunsCrashed,
    /// Completed runs of suspect requests, as reported by children.
    RunsCleared,
    /// Requests that this node learned to be quarantined.
    RequestsHeld,
    /// Requests handed on to another node, by how that ended.
    HandedOn(&'static str),
    /// Requests that other nodes have handed on to this one.
    TakenOver,
    /// Callers' connections that were closed with unread bytes.
    ClosedUnread,
    /// Callers' take-ups of streams, by whether it was known what began them.
    TakeUps(&'static str),
    /// Records of streams sent to other nodes, by outcome.
    StreamRecordsSent(&'static str),
    /// Answers without framing that count as broken, as nothing shows that they are whole.
    UnframedBroken,
}

impl Counter {
    const fn name(self) -> &'static str {
        match self {
            Self::Requests { .. } => "paddlemount_forward_requests_total",
            Self::Attempts(_) => "paddlemount_forward_attempts_failed_total",
            Self::Retries => "paddlemount_forward_retries_total",
            Self::RetriesRefused => "paddlemount_forward_retries_refused_total",
            Self::Misdirected => "paddlemount_forward_misdirected_total",
            Self::BackOffsRequested => "paddlemount_forward_rests_asked_total",
            Self::OversizedAnswers => "paddlemount_forward_oversized_answers_total",
            Self::RefusedForLimits => "paddlemount_forward_refused_for_limits_total",
            Self::RejectedForRoom(_) => "paddlemount_forward_room_rejected_total",
            Self::DeferredForLimits => "paddlemount_forward_deferred_for_limits_total",
            Self::UnknownFacts => "paddlemount_forward_unknown_facts_total",
            Self::UnknownAnswerHeaders => "paddlemount_forward_unknown_answer_headers_total",
            Self::Resumed => "paddlemount_forward_streams_resumed_total",
            Self::StoreCalls { .. } => "paddlemount_forward_store_calls_total",
            Self::Orders(_) => "paddlemount_forward_orders_total",
            Self::PeerCalls(_) => "paddlemount_forward_peer_calls_total",
            Self::SnapshotsServed => "paddlemount_forward_snapshots_given_total",
            Self::SnapshotsReceived => "paddlemount_forward_snapshots_taken_total",
            Self::StoreRestores => "paddlemount_forward_store_restores_total",
            Self::EngineConditions(_) => "paddlemount_forward_engine_conditions_total",
            Self::PerformanceEntries(_) => "paddlemount_forward_performance_entries_total",
            Self::Connections => "paddlemount_forward_connections_opened_total",
            Self::ConnectionsRenewed => "paddlemount_forward_connections_renewed_total",
            Self::EnginesSilent => "paddlemount_forward_engines_silent_total",
            Self::EnginesHeardAgain => "paddlemount_forward_engines_heard_again_total",
            Self::StreamsLeft => "paddlemount_forward_streams_left_total",
            Self::Imports => "paddlemount_forward_imports_total",
            Self::Transfers { .. } => "paddlemount_forward_transfers_weighed_total",
            Self::QuotaReportsIgnored => "paddlemount_forward_spending_passed_over_total",
            Self::RunsCrashed => "paddlemount_forward_runs_crashed_total",
            Self::RunsCleared => "paddlemount_forward_runs_cleared_total",
            Self::RequestsHeld => "paddlemount_forward_requests_held_total",
            Self::HandedOn(_) => "paddlemount_forward_requests_handed_on_total",
            Self::TakenOver => "paddlemount_forward_requests_taken_over_total",
            Self::ClosedUnread => "paddlemount_forward_connections_closed_unread_total",
            Self::TakeUps(_) => "paddlemount_forward_take_ups_total",
            Self::StreamRecordsSent(_) => "paddlemount_forward_stream_records_sent_total",
            Self::UnframedBroken => "paddlemount_forward_unframed_answers_broken_total",
        }
    }

    fn labels(self) -> String {
        match self {
            Self::Requests { kind, outcome } => format!("{{kind=\"{kind}\",outcome=\"{outcome}\"}}"),
            Self::RejectedForRoom(reason) => format!("{{reason=\"{reason}\"}}"),
            Self::EngineConditions(condition) => format!("{{condition=\"{condition}\"}}"),
            Self::PerformanceEntries(message) => format!("{{message=\"{message}\"}}"),
            Self::Attempts(end) | Self::HandedOn(end) => format!("{{end=\"{end}\"}}"),
            Self::StoreCalls { purpose, outcome } => {
                format!("{{purpose=\"{purpose}\",outcome=\"{outcome}\"}}")
            }
            Self::Transfers { kind, verdict } => format!("{{kind=\"{kind}\",verdict=\"{verdict}\"}}"),
            Self::Orders(outcome)
            | Self::PeerCalls(outcome)
            | Self::TakeUps(outcome)
            | Self::StreamRecordsSent(outcome) => {
                format!("{{outcome=\"{outcome}\"}}")
            }
            Self::Retries
            | Self::RetriesRefused
            | Self::SnapshotsServed
            | Self::SnapshotsReceived
            | Self::Misdirected
            | Self::BackOffsRequested
            | Self::OversizedAnswers
            | Self::RefusedForLimits
            | Self::DeferredForLimits
            | Self::UnknownFacts
            | Self::UnknownAnswerHeaders
            | Self::Resumed
            | Self::StoreRestores
            | Self::Connections
            | Self::ConnectionsRenewed
            | Self::EnginesSilent
            | Self::EnginesHeardAgain
            | Self::StreamsLeft
            | Self::Imports
            | Self::QuotaReportsIgnored
            | Self::RunsCrashed
            | Self::RunsCleared
            | Self::RequestsHeld
            | Self::TakenOver
            | Self::UnframedBroken
            | Self::ClosedUnread => String::new(),
        }
    }
}

/// A histogram of durations, with its label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distribution {
    /// From a request's arrival to the first byte of its answer's body, by kind of route.
    FirstByte(&'static str),
    /// From a request's arrival until it was first sent to a back end.
    RoutingDelay,
    StoreCall,
    /// A report to the parent.
    PeerCall,
    /// The time until a first event as a multiple of its forecast; its bounds are multiples, not seconds.
    ForecastRatio,
}

impl Distribution {
    const fn name(self) -> &'static str {
        match self {
            Self::FirstByte(_) => "paddlemount_forward_first_byte_seconds",
            Self::RoutingDelay => "paddlemount_forward_added_seconds",
            Self::StoreCall => "paddlemount_forward_store_call_seconds",
            Self::PeerCall => "paddlemount_forward_peer_call_seconds",
            Self::ForecastRatio => "paddlemount_forward_forecast_ratio",
        }
    }

    fn labels(self) -> String {
        match self {
            Self::FirstByte(kind) => format!("kind=\"{kind}\","),
            Self::RoutingDelay | Self::StoreCall | Self::PeerCall | Self::ForecastRatio => String::new(),
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Histogram {
    buckets: [u64; TIME_BUCKETS.len()],
    count: u64,
    sum: f64,
}

/// All metrics of a node.
#[derive(Debug, Default)]
pub struct Metrics {
    counters: RefCell<BTreeMap<Counter, u64>>,
    histograms: RefCell<BTreeMap<Distribution, Histogram>>,
}

/// A current value that is exported with the metrics.
#[derive(Clone, Copy, Debug)]
pub struct Gauge {
    pub name: &'static str,
    pub value: f64,
}

impl Metrics {
    /// Increments a counter.
    pub fn count(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Adds to a counter.
    pub fn add(&self, counter: Counter, number: u64) {
        *self.counters.borrow_mut().entry(counter).or_default() += number;
    }

    /// Records a duration.
    pub fn observe(&self, distribution: Distribution, time: std::time::Duration) {
        self.observe_value(distribution, time.as_secs_f64());
    }

    /// Records a value in the unit of the distribution.
    pub fn observe_value(&self, distribution: Distribution, value: f64) {
        let mut histograms = self.histograms.borrow_mut();
        let histogram = histograms.entry(distribution).or_default();
        histogram.count += 1;
        histogram.sum += value;
        for (bucket, bound) in histogram.buckets.iter_mut().zip(TIME_BUCKETS) {
            *bucket += u64::from(value <= bound);
        }
    }

    /// Renders all metrics as text.
    pub fn render(&self, gauges: &[Gauge]) -> String {
        let mut text = String::new();
        for (counter, value) in self.counters.borrow().iter() {
            let _ = writeln!(text, "{}{} {value}", counter.name(), counter.labels());
        }
        for (distribution, histogram) in self.histograms.borrow().iter() {
            render_histogram(&mut text, *distribution, histogram);
        }
        for gauge in gauges {
            let _ = writeln!(text, "{} {}", gauge.name, gauge.value);
        }
        text
    }
}

fn render_histogram(text: &mut String, distribution: Distribution, histogram: &Histogram) {
    let (name, labels) = (distribution.name(), distribution.labels());
    for (bucket, bound) in histogram.buckets.iter().zip(TIME_BUCKETS) {
        let _ = writeln!(text, "{name}_bucket{{{labels}le=\"{bound}\"}} {bucket}");
    }
    let _ = writeln!(text, "{name}_bucket{{{labels}le=\"+Inf\"}} {}", histogram.count);
    let labels = labels.trim_end_matches(',');
    let labels = if labels.is_empty() { String::new() } else { format!("{{{labels}}}") };
    let _ = writeln!(text, "{name}_sum{labels} {}", histogram.sum);
    let _ = writeln!(text, "{name}_count{labels} {}", histogram.count);
}

/// The label of a kind of route.
pub const fn kind_label(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Repeatable => "repeatable",
        RouteKind::AtMostOnce => "at_most_once",
        RouteKind::Stream { resumable: true } => "resumable_stream",
        RouteKind::Stream { resumable: false } => "stream",
    }
}
