//! Structured log lines on standard output, with a bounded queue and without blocking.
//!
//! Each line is a JSON object. Lines go through a bounded queue to a writer thread. If the reader of standard
//! output stalls, lines are dropped, and a line of its own reports their number. A logger that writes in the
//! calling thread would block the one thread that serves requests.

use std::{
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use paddlemount_core::limits::ledger::QuotaView;
use serde::Serialize;

use crate::{answers::Reason, clock::SteadyClock, quarantine_line::QuarantineLine};

/// The maximum number of queued lines.
const QUEUE_LINES: usize = 4_096;
/// How long the writer waits for further lines before it writes.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// The approximate number of bytes per write.
const BATCH_BYTES: usize = 64 << 10;

/// The event of a log line. It never contains callers' keys. `docs/operations/logs.md` lists the fields of
/// each event.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// The process has started and listens.
    Started {
        zone: &'a str,
        callers: String,
        readiness: String,
        metrics: Option<String>,
        peers: Option<String>,
        software: &'static str,
    },
    /// A stop signal arrived.
    Stopping { running: usize },
    /// Connections of callers are no longer accepted, and idle ones close.
    CallersClosing { open: usize, running: usize },
    /// A caller's connection could not be accepted, for example when file descriptors have run out.
    CallerNotTaken { problem: String },
    /// A caller's connection was closed with unread bytes.
    ClosedUnread { bytes: usize, open_ms: u64, stopping: bool },
    /// The process ends.
    Stopped { running: usize, after_ms: u64 },
    /// The settings were reloaded.
    SettingsReloaded { changed: bool },
    /// The settings file is invalid; the previous settings stay in force.
    SettingsRejected { problem: String },
    /// The metadata store stopped answering, or its answers are invalid.
    StoreLost { call: &'static str, problem: String, age_ms: Option<u64> },
    /// The store answers again.
    StoreRegained { after_ms: u64 },
    /// The store was listed.
    StoreListed { items: usize, revision: u64 },
    /// The store was restored from a backup: later changes are lost, and revisions are assigned again.
    StoreRestored { era: u64, before: u64, revision: Option<u64> },
    /// A configuration is in force.
    ConfigurationApplied { version: u64, before: Option<u64>, routes: usize, revision: u64 },
    /// A configuration is older than the one in force, and ignored.
    ConfigurationPassedOver { version: u64, in_force: u64 },
    /// An entry could not be parsed. The previous state still holds, except for a back end's entry.
    ItemUnreadable { key: &'a str, problem: &'a str },
    /// A back end's entry changed; `software` is its version, if known.
    BackendChanged {
        backend: &'a str,
        service: &'a str,
        change: &'static str,
        weights: Option<u64>,
        software: Option<&'a str>,
        revision: u64,
    },
    /// Another process has a back end's address: it gets no requests until its own entry changes.
    BackendReplaced { backend: &'a str, by: &'a str, shown_by: &'static str },
    /// A back end is draining, by its own answer or by gossip: it gets requests only if no other is left.
    BackendLeaving { backend: &'a str, service: Option<&'a str>, heard: &'static str },
    /// A back end asked this node for a back-off, or for a longer one than it is granted.
    BackendRests { backend: &'a str, for_ms: u64, is_cut: bool },
    /// Answers of a back end had heads or framing without end, one after the other: it gets no requests for a while.
    BackendOversized { backend: &'a str, for_ms: u64 },
    /// A back end's back-off has ended.
    BackendRested { backend: &'a str },
    /// A back end asked for a back-off in a form that cannot be parsed; it is ignored.
    RestUnreadable { backend: &'a str, value: &'a str },
    /// An engine that several nodes suspect sends nothing, so this node avoids it; or it answers again.
    EngineSilent { backend: &'a str, silent: bool },
    /// A back end advertised a limit over all nodes; `own_per_second` is this node's current share.
    BackendLimited { backend: &'a str, per_second: f64, own_per_second: f64, heard: &'static str },
    /// A back end is no longer limited.
    BackendUnlimited { backend: &'a str, heard: &'static str },
    /// Requests wait for the room of a pool of engines, or were rejected; logged once a second at most.
    PoolContended {
        service: &'a str,
        limit: u32,
        share: f64,
        held: u32,
        waiting: usize,
        contention: Option<f64>,
        rejected: u64,
    },
    /// Back ends of a service bear only so many rejections a second; `None` if no longer.
    ServiceBrittle { service: &'a str, bearable_rejections: Option<f64> },
    /// A back end advertised a limit that cannot be parsed; the previous one stays in force.
    LimitUnreadable { backend: &'a str, value: &'a str },
    /// Answers of back ends carry an unknown header; logged once per name.
    AnswerHeaderUnknown { name: &'a str, backend: &'a str },
    /// Forecasts for a service came into use or are no longer used, or another share of its engines is
    /// preferred for prompts of `long_tokens` or more.
    ForecastChanged { service: &'a str, trusted: bool, long_tokens: Option<u32>, long_share: Option<f64> },
    /// A cache feed is followed, or no longer.
    FeedChanged { backend: &'a str, change: &'static str, detail: String },
    /// A target version was announced, at most `at_most_ms` ago if known.
    WeightsNamed {
        model: &'a str,
        version: u64,
        revision: u64,
        learned: &'static str,
        at_most_ms: Option<u64>,
    },
    /// Readiness has changed.
    ReadinessChanged { ready: bool, why: &'static str, age_ms: Option<u64> },
    /// The node has a new parent; `level` is the number of its ancestors.
    ParentChanged { parent: &'a str, level: usize },
    /// A child was referred to another parent.
    ChildReferred { child: &'a str, to: &'a str },
    /// A snapshot of the store was taken from the parent.
    SnapshotTaken { items: usize, revision: u64, age_ms: u64 },
    /// The parent's snapshot cannot be parsed, and is ignored.
    SnapshotUnreadable { bytes: usize },
    /// Relayed changes of the store cannot be parsed, and are ignored.
    ChangesUnreadable { problem: String },
    /// Another node sent an unknown kind of fact; logged once per kind.
    FactUnknown { kind: &'a str },
    /// The parent did not answer a report.
    ParentFailed { parent: &'a str, problem: String },
    /// The known number of nodes changed.
    NodesCounted { nodes: Option<u32>, before: Option<u32> },
    /// This node's share of the retries in a window besides the earned ones is first known or has changed: from which
    /// number of nodes it is derived, whether the node has been counted for long enough to take all of its share, and
    /// what the store has answered to a process that asks for a part of it to begin with.
    RetryReserve {
        reserve: f64,
        before: Option<f64>,
        nodes: Option<u32>,
        settled: bool,
        grant: &'static str,
        counted: Option<u32>,
        recorded: Option<u32>,
    },
    /// This node leads.
    LeadershipGained { token: u64 },
    /// This node no longer leads.
    LeadershipLost { token: u64, why: &'static str },
    /// An order was given, or an update has ended.
    Order {
        backend: &'a str,
        model: &'a str,
        version: u64,
        sequence: Option<u64>,
        token: u64,
        outcome: &'a str,
        after_ms: u64,
    },
    /// An attempt ended without an answer to relay; `software` is the back end's version, if known.
    AttemptEnded {
        request: &'a str,
        attempt: u32,
        backend: &'a str,
        end: &'static str,
        detail: String,
        next: &'static str,
        after_ms: u64,
        reused: bool,
        fingerprint: Option<String>,
        service: &'a str,
        answered_by: Option<&'a str>,
        software: Option<String>,
        unread: bool,
        budget_left: u64,
    },
    /// An engine has gone silent, or is heard again; `quiet_ms` is the time without a byte.
    EngineSilence {
        backend: &'a str,
        is_silent: bool,
        quiet_ms: u64,
        waiting: usize,
        unanswered_connects: u32,
        reported: bool,
    },
    /// This node reaches no back end of a service; `failed` of them were tried.
    ServicePathLost { service: &'a str, failed: usize },
    /// Back ends of a service are reached again.
    ServicePathRegained { service: &'a str, after_ms: u64 },
    /// A back end crashed while it ran a request.
    RunCrashed {
        fingerprint: String,
        route: &'a str,
        tenant: Option<&'a str>,
        backend: &'a str,
        ran_ms: u64,
        segments: Vec<String>,
    },
    /// A run of a suspect request completed, as reported by a child.
    RunCleared { fingerprint: String },
    /// A request is quarantined because back ends crashed repeatedly while running it.
    RequestHeld { held: &'a QuarantineLine, known_by: &'static str, for_s: u64 },
    /// A request with a quarantined segment runs, to see whether it crashes a back end.
    TrialRun { fingerprint: String },
    /// A request is no longer quarantined.
    RequestReleased { fingerprint: String, why: &'static str },
    /// A change of the quarantine could not be written to the metadata store; the write is retried.
    QuarantineNotWritten { problem: String },
    /// A request ended.
    Request(Box<RequestLine<'a>>),
    /// Lines were dropped since the last one.
    LinesDropped { count: u64 },
}

/// A request that ended, with the inputs of the routing decision.
#[derive(Debug, Serialize)]
pub struct RequestLine<'a> {
    /// The caller's id of the request.
    pub request: &'a str,
    /// The route, if one matches.
    pub route: Option<&'a str>,
    pub tenant: Option<&'a str>,
    /// The state of the tenant's quota, if it refused the request.
    pub quota: Option<QuotaLine>,
    pub outcome: &'static str,
    /// The status code that the caller received.
    pub status: Option<u16>,
    /// Why the node itself answered.
    pub reason: Option<Reason>,
    /// The request's fingerprint, if it is quarantined.
    pub fingerprint: Option<String>,
    /// The version of the configuration.
    pub configuration: Option<u64>,
    /// The age of the proof that the configuration is current.
    pub configuration_age_ms: Option<u64>,
    /// The number of back ends that were sent the request.
    pub attempts: u32,
    /// The back end of the last attempt.
    pub backend: Option<&'a str>,
    /// The node that served the request instead, as this node reached no back end.
    pub through: Option<&'a str>,
    /// The number of eligible back ends.
    pub candidates: usize,
    /// The cost by which the back end was chosen.
    pub cost: u64,
    /// Tokens that the back end was expected to prefill.
    pub expected_tokens: u64,
    /// Tokens of the prefix that were expected in its cache.
    pub held_tokens: u32,
    /// Tokens of the prefix that were expected in no cache.
    pub cold_tokens: u32,
    /// Estimated length of the answer: by the caller, otherwise the maximum that it allows.
    pub guessed_tokens: Option<u32>,
    /// The last shared segment of the prompt.
    pub subject: Option<String>,
    /// Whether the back end is the preferred engine of that segment.
    pub at_home: bool,
    /// Whether an import of the prefix was forecast to pay, and why not.
    pub import: Option<&'static str>,
    /// Likewise, saving it to the cache store.
    pub save: Option<&'static str>,
    /// Likewise, copying the run.
    pub copy: Option<&'static str>,
    /// Whether the prefix was to be imported from another back end or a store.
    pub imported: bool,
    /// The requested version of the weights.
    pub weights: Option<u64>,
    /// Milliseconds for which the request waited for room at the engines; `None` if it did not ask for room.
    pub waited_ms: Option<u64>,
    /// The forecast time from sending to the first event, in milliseconds.
    pub forecast_ms: Option<u64>,
    /// Milliseconds to the first byte of the answer's body.
    pub first_ms: Option<u64>,
    /// The longest gap between two parts of a stream, in milliseconds.
    pub longest_gap_ms: u64,
    /// Milliseconds from the arrival to the end.
    pub total_ms: u64,
    /// How often a stream continued at another back end.
    pub resumed: u32,
    /// The software version that began the stream, if known.
    pub software: Option<&'a str>,
    /// The caller's id of the attempt that brought the stream's first event, if it takes one up and names it.
    pub resumes: Option<&'a str>,
    /// The last event that the caller has, if it takes a stream up.
    pub resumes_after: Option<u64>,
    /// Where it was found what began that stream: a record `here` or at an `other_node`, `handed_on` with the request,
    /// the `only_version`, or `nowhere`.
    pub origin_found: Option<&'static str>,
    /// Milliseconds since that record was written or confirmed.
    pub origin_age_ms: Option<u64>,
}

/// The state of a quota that is used up.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct QuotaLine {
    /// The quota in units per second.
    pub per_second: f64,
    /// Units that may still be granted by all nodes that share the level; negative after too many grants.
    pub level: i64,
    /// The requested units per second at these nodes.
    pub demand: u64,
    /// The fraction of all nodes that share the level.
    pub part: f64,
    /// Milliseconds since another node's report; `None` if this node goes by its own and its descendants'
    /// grants.
    pub told_age_ms: Option<u64>,
}

impl From<QuotaView> for QuotaLine {
    fn from(view: QuotaView) -> Self {
        Self {
            per_second: view.per_second,
            level: view.level as i64,
            demand: view.demand as u64,
            part: view.fraction,
            told_age_ms: view.report_age.map(|age| age.as_millis() as u64),
        }
    }
}

#[derive(Serialize)]
struct Line<'a> {
    time_ms: u64,
    steady_ms: u64,
    node: &'a str,
    #[serde(flatten)]
    event: &'a Event<'a>,
}

/// Writes log lines in the background.
#[derive(Debug)]
pub struct Journal {
    node: String,
    clock: SteadyClock,
    queue: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Journal {
    /// A journal that writes to standard output.
    pub fn to_standard_output(node: &str, clock: SteadyClock) -> Self {
        Self::to(node, clock, std::io::stdout())
    }

    /// A journal that writes to `output`, on its own thread.
    pub fn to(node: &str, clock: SteadyClock, output: impl Write + Send + 'static) -> Self {
        let (queue, lines) = sync_channel(QUEUE_LINES);
        let writer = std::thread::Builder::new().name("journal".into()).stack_size(64 << 10);
        // Without the thread nothing is logged, and the router still serves.
        let _ = writer.spawn(move || write_lines(&lines, output));
        Self { node: node.into(), clock, queue, dropped: Arc::default() }
    }

    /// Logs an event, or counts it as dropped.
    pub fn log(&self, event: &Event<'_>) {
        let dropped = self.dropped.load(Ordering::Relaxed);
        if dropped > 0 && self.enqueue(&Event::LinesDropped { count: dropped }) {
            self.dropped.fetch_sub(dropped, Ordering::Relaxed);
        }
        if !self.enqueue(event) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Dropped lines that are not reported yet.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn enqueue(&self, event: &Event<'_>) -> bool {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let line = Line {
            time_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
            steady_ms: self.clock.now().as_millis(),
            node: &self.node,
            event,
        };
        let Ok(mut bytes) = serde_json::to_vec(&line) else { return false };
        bytes.push(b'\n');
        match self.queue.try_send(bytes) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }
}

fn write_lines(lines: &Receiver<Vec<u8>>, mut output: impl Write) {
    let mut batch = Vec::new();
    while let Ok(line) = lines.recv() {
        batch.extend_from_slice(&line);
        std::thread::sleep(BATCH_DELAY);
        while batch.len() < BATCH_BYTES {
            let Ok(line) = lines.try_recv() else { break };
            batch.extend_from_slice(&line);
        }
        // A closed standard output loses lines, but no requests.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
        batch.clear();
        batch.shrink_to(BATCH_BYTES);
    }
}
