//! Structured log lines on standard output, bounded and never blocking.
//!
//! Each line is one JSON object. Lines go through a bounded queue to a thread that writes them; where the reader of
//! standard output stops, lines are dropped and counted, and the count is told in a line of its own. The library that
//! the other commands log with writes where it is called, and would hold up the one thread that serves requests.

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
use paddlemount_protocol::quarantine::QuarantinedRequest;
use serde::Serialize;

use crate::{answers::Reason, clock::SteadyClock};

/// Lines that wait at most.
const QUEUE_LINES: usize = 4_096;
/// How long the writer waits for further lines before it writes.
const GATHER: Duration = Duration::from_millis(50);
/// Bytes that are written at once, about.
const BATCH_BYTES: usize = 64 << 10;

/// What a line tells. Keys of callers are never among it. `docs/operations/logs.md` lists the fields of each event.
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
    /// A signal to stop came.
    Stopping { running: usize },
    /// Callers are no longer taken; idle connections close.
    CallersClosing { open: usize, running: usize },
    /// A caller's connection could not be taken, as when descriptors have run out.
    CallerNotTaken { problem: String },
    /// A caller's connection was closed with bytes in it that nobody had read.
    ClosedUnread { bytes: usize, open_ms: u64, stopping: bool },
    /// The process ends.
    Stopped { running: usize, after_ms: u64 },
    /// The settings file was read again.
    SettingsReloaded { changed: bool },
    /// The settings file cannot be used; the settings before it hold on.
    SettingsRejected { problem: String },
    /// The metadata store stopped answering, or answers nonsense.
    StoreLost { call: &'static str, problem: String, age_ms: Option<u64> },
    /// It answers again.
    StoreRegained { after_ms: u64 },
    /// The store forgot changes: all is listed anew.
    StoreListed { items: usize, revision: u64 },
    /// The store has come back from an older copy: what followed it is gone, and revisions are given out again.
    StoreRestored { era: u64, before: u64, revision: Option<u64> },
    /// A configuration is in force here.
    ConfigurationApplied { version: u64, before: Option<u64>, routes: usize, revision: u64 },
    /// A configuration is older than the one in force, and is passed over.
    ConfigurationPassedOver { version: u64, in_force: u64 },
    /// An item cannot be understood; what was known of it holds on, unless it was a back end's entry.
    ItemUnreadable { key: &'a str, problem: &'a str },
    /// A back end's entry changed.
    BackendChanged {
        backend: &'a str,
        service: &'a str,
        change: &'static str,
        weights: Option<u64>,
        revision: u64,
    },
    /// Another process has a back end's address: it gets no work until its own entry changes.
    BackendReplaced { backend: &'a str, by: &'a str, shown_by: &'static str },
    /// A back end leaves, as an answer of it says or another node has told: it gets no work unless nobody else is left.
    BackendLeaving { backend: &'a str, service: Option<&'a str>, heard: &'static str },
    /// A back end has asked this node for a time without requests, or for more of it than it is granted.
    BackendRests { backend: &'a str, for_ms: u64, is_cut: bool },
    /// A back end's time without requests is over.
    BackendRested { backend: &'a str },
    /// A back end has asked for a time without requests in words that mean nothing: it gets none.
    RestUnreadable { backend: &'a str, value: &'a str },
    /// A back end takes so many requests a second from all nodes together; `own_per_second` are this node's part at the moment.
    BackendLimited { backend: &'a str, per_second: f64, own_per_second: f64, heard: &'static str },
    /// A back end is limited no longer.
    BackendUnlimited { backend: &'a str, heard: &'static str },
    /// A back end has named a limit in words that mean nothing: what held before holds on.
    LimitUnreadable { backend: &'a str, value: &'a str },
    /// Answers of back ends carry a header that nothing reads; told once for each name.
    AnswerHeaderUnknown { name: &'a str, backend: &'a str },
    /// What a back end keeps is followed by its feed, or no longer.
    FeedChanged { backend: &'a str, change: &'static str, detail: String },
    /// A version of weights was named, `at_most_ms` ago at most where that is known.
    WeightsNamed {
        model: &'a str,
        version: u64,
        revision: u64,
        learned: &'static str,
        at_most_ms: Option<u64>,
    },
    /// Whether callers are taken has changed.
    ReadinessChanged { ready: bool, why: &'static str, age_ms: Option<u64> },
    /// Another node is reported to from now on; `level` nodes stand above.
    ParentChanged { parent: &'a str, level: usize },
    /// A node that reported here is to report elsewhere.
    ChildReferred { child: &'a str, to: &'a str },
    /// All that the store holds was taken of the node above.
    SnapshotTaken { items: usize, revision: u64, age_ms: u64 },
    /// What the node above gave cannot be read; nothing of it is taken.
    SnapshotUnreadable { bytes: usize },
    /// What the node above told of the store cannot be read; nothing of it is taken.
    ChangesUnreadable { problem: String },
    /// Another node tells of something that this one does not know; told once for each kind.
    FactUnknown { kind: &'a str },
    /// The node above did not answer a report.
    ParentFailed { parent: &'a str, problem: String },
    /// The number of nodes that may act, where it is known.
    NodesCounted { nodes: Option<u32>, before: Option<u32> },
    /// This node leads.
    LeadershipGained { token: u64 },
    /// This node no longer leads.
    LeadershipLost { token: u64, why: &'static str },
    /// An order was given, or its end is known.
    Order {
        backend: &'a str,
        model: &'a str,
        version: u64,
        sequence: Option<u64>,
        token: u64,
        outcome: &'a str,
        after_ms: u64,
    },
    /// A try ended without an answer that could be passed on.
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
        budget_left: u64,
    },
    /// A back end ended while it ran a request.
    RunCrashed { fingerprint: String, route: &'a str, tenant: Option<&'a str>, backend: &'a str, ran_ms: u64 },
    /// A run of a request that was suspected came to its end at a node below.
    RunCleared { fingerprint: String },
    /// Back ends ended under a request again and again: none gets it from now on.
    RequestHeld { held: &'a HeldLine, known_by: &'static str, for_s: u64 },
    /// A request is no longer held back.
    RequestReleased { fingerprint: String, why: &'static str },
    /// What is to be held back could not be written to the metadata store, and is tried again.
    QuarantineNotWritten { problem: String },
    /// A request ended.
    Request(Box<RequestLine<'a>>),
    /// Lines were dropped since the last one.
    LinesDropped { count: u64 },
}

/// A request that ended, with the inputs that decided it.
#[derive(Debug, Serialize)]
pub struct RequestLine<'a> {
    /// The caller's identity for this try.
    pub request: &'a str,
    /// The route, where one fits.
    pub route: Option<&'a str>,
    /// The tenant.
    pub tenant: Option<&'a str>,
    /// What the tenant's quota looked like where it refused the request.
    pub quota: Option<QuotaLine>,
    /// How it ended.
    pub outcome: &'static str,
    /// The status that the caller got.
    pub status: Option<u16>,
    /// Why the node itself answered.
    pub reason: Option<Reason>,
    /// What the caller asks for, where that is held back.
    pub fingerprint: Option<String>,
    /// The version of the configuration.
    pub configuration: Option<u64>,
    /// The age of the proof that it is the newest.
    pub configuration_age_ms: Option<u64>,
    /// Back ends that were sent the request.
    pub attempts: u32,
    /// The back end of the last try.
    pub backend: Option<&'a str>,
    /// Back ends that might have got it.
    pub candidates: usize,
    /// The cost by which the back end was chosen.
    pub cost: u64,
    /// Tokens that the back end was expected to read.
    pub expected_tokens: u64,
    /// Tokens of the prefix that it was believed to hold.
    pub held_tokens: u32,
    /// Tokens of the prefix that nobody was believed to keep.
    pub cold_tokens: u32,
    /// Tokens that the answer is guessed to have: by the caller, else the most that it allows.
    pub guessed_tokens: Option<u32>,
    /// The last shared part of the prompt.
    pub subject: Option<String>,
    /// Whether the back end is where such a part is read first.
    pub at_home: bool,
    /// Whether another back end or the store was named to import the prefix from.
    pub imported: bool,
    /// The version of the weights asked for.
    pub weights: Option<u64>,
    /// Milliseconds to the first byte of the answer's body.
    pub first_ms: Option<u64>,
    /// The longest pause between two parts of a stream, in milliseconds.
    pub longest_gap_ms: u64,
    /// Milliseconds from the arrival to the end.
    pub total_ms: u64,
    /// Times that a stream went on at another back end.
    pub resumed: u32,
}

/// What decided that a tenant's quota is used up.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct QuotaLine {
    /// Units a second that the operator allows.
    pub per_second: f64,
    /// Units that might still be granted over all nodes that share the level; below 0 where too many were.
    pub level: i64,
    /// Units a second that callers ask for at these nodes.
    pub demand: u64,
    /// The part of all nodes that share the level.
    pub part: f64,
    /// Milliseconds since another node told; none where this node goes by what it and those below it have granted.
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

/// A request that is held back, and why; nothing but its fingerprint where only that is known.
#[derive(Debug, Default, Serialize)]
pub struct HeldLine {
    /// What the caller asks for.
    pub fingerprint: String,
    /// The route.
    pub route: Option<String>,
    /// The tenant.
    pub tenant: Option<String>,
    /// The back ends that ended under it.
    pub backends: Vec<String>,
    /// The node that concluded it.
    pub found_by: Option<String>,
}

impl From<&QuarantinedRequest> for HeldLine {
    fn from(request: &QuarantinedRequest) -> Self {
        Self {
            fingerprint: request.fingerprint.to_string(),
            route: Some(request.route.clone()),
            tenant: request.tenant.as_ref().map(|tenant| tenant.as_str().to_owned()),
            backends: request.engines.iter().map(|engine| engine.as_str().to_owned()).collect(),
            found_by: Some(request.found_by.as_str().to_owned()),
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

/// Takes lines.
#[derive(Debug)]
pub struct Journal {
    node: String,
    clock: SteadyClock,
    queue: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Journal {
    /// A journal whose lines go to standard output.
    pub fn to_standard_output(node: &str, clock: SteadyClock) -> Self {
        Self::to(node, clock, std::io::stdout())
    }

    /// A journal whose lines go to `output`, on a thread of its own.
    pub fn to(node: &str, clock: SteadyClock, output: impl Write + Send + 'static) -> Self {
        let (queue, lines) = sync_channel(QUEUE_LINES);
        let writer = std::thread::Builder::new().name("journal".into()).stack_size(64 << 10);
        // Without the thread nothing is told, and the router serves on.
        let _ = writer.spawn(move || write_lines(&lines, output));
        Self { node: node.into(), clock, queue, dropped: Arc::default() }
    }

    /// Tells an event.
    pub fn log(&self, event: &Event<'_>) {
        let dropped = self.dropped.load(Ordering::Relaxed);
        if dropped > 0 && self.offer(&Event::LinesDropped { count: dropped }) {
            self.dropped.fetch_sub(dropped, Ordering::Relaxed);
        }
        if !self.offer(event) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Lines that were dropped and not yet told of.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn offer(&self, event: &Event<'_>) -> bool {
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
        std::thread::sleep(GATHER);
        while batch.len() < BATCH_BYTES {
            let Ok(line) = lines.try_recv() else { break };
            batch.extend_from_slice(&line);
        }
        // A closed standard output loses lines, never requests.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
        batch.clear();
        batch.shrink_to(BATCH_BYTES);
    }
}
