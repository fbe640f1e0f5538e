//! The interface that a platform adapter implements.
//!
//! An adapter translates typed calls into HTTP requests, HTTP responses into typed facts, and request heads
//! into typed values. It keeps no state, sets no timers, does not retry and makes no choices.

mod heads;

use std::{collections::BTreeMap, fmt::Display, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use paddlemount_core::forwarding::{
    backends::{BackendEntry, BackendId},
    change_log::EntryKey,
    document::Document,
    prefixes::CachedSegment,
    rollout::{EngineReport, LoadMode},
};
use paddlemount_protocol::{
    era::StoreEra,
    fleet::RecentTargetVersion,
    identity::{FencingToken, ModelId, NodeId, Revision, ServiceId, SoftwareVersion, WeightsVersion},
    quarantine::{QuarantinedRequest, RequestFingerprint},
};
use serde::{Deserialize, Serialize};

pub use heads::{AdvertisedLimit, AnswerHead, CopiedRun, Dispatch, RequestHead, RequestedBackOff};

/// The id of a lease granted by the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLease(pub u64);

/// A call to the metadata store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreCall {
    /// Waits for changes after a revision.
    Watch {
        /// The revision up to which all is known.
        after: Revision,
        /// How long to wait for a change.
        wait: Duration,
    },
    /// Lists one page of all entries.
    List {
        /// The last key of the previous page.
        after: Option<String>,
    },
    /// Reads the leader. The answer may be outdated, and the call is cheap.
    FindLeader,
    /// Requests a lease.
    Grant {
        /// Its time to live.
        ttl: Duration,
    },
    Renew(StoreLease),
    /// Ends a lease and removes the entries bound to it.
    End(StoreLease),
    /// Acquires leadership, bound to a lease, if nobody has it or an earlier process of this node has it.
    Lead {
        /// The token of that earlier process.
        replaces: Option<FencingToken>,
        /// The node that acquires it.
        holder: NodeId,
        /// Where it accepts reports of other nodes.
        peers: Option<SocketAddr>,
        lease: StoreLease,
    },
    /// Records the number of nodes, for nodes that start before they are counted.
    RecordFleetSize {
        nodes: u32,
    },
    /// Reads the record that the store has kept what was written to it.
    FindWitness,
    /// Records that the store has lost nothing for a while, in this era, bound to a lease.
    RecordWitness {
        era: StoreEra,
        lease: StoreLease,
    },
    /// Takes the reserve of a node's retry budgets while a lease lasts, unless a process of it has it already. The
    /// first start of all nodes does not count against later processes, as none came before it.
    ReserveRetries {
        node: NodeId,
        first_start: bool,
        lease: StoreLease,
    },
    /// Records how recently a target version was announced, bound to a lease.
    RecordTarget {
        /// The version, and an upper bound of its age when the lease ends.
        target: RecentTargetVersion,
        lease: StoreLease,
    },
    /// Quarantines a request at all nodes while a lease lasts, unless it is already.
    Quarantine {
        request: Box<QuarantinedRequest>,
        lease: StoreLease,
    },
    /// Releases a request from quarantine.
    Release(RequestFingerprint),
}

impl StoreCall {
    /// The call's purpose as a metric label.
    pub const fn purpose(&self) -> &'static str {
        match self {
            Self::Watch { .. } => "watch",
            Self::List { .. } => "list",
            Self::FindLeader => "find_leader",
            Self::Grant { .. } => "grant",
            Self::Renew(_) => "renew",
            Self::End(_) => "end",
            Self::Lead { .. } => "lead",
            Self::RecordFleetSize { .. } => "record_fleet_size",
            Self::FindWitness => "find_witness",
            Self::RecordWitness { .. } => "record_witness",
            Self::ReserveRetries { .. } => "reserve_retries",
            Self::RecordTarget { .. } => "record_naming",
            Self::Quarantine { .. } => "hold",
            Self::Release(_) => "release",
        }
    }
}

/// An answer of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreAnswer {
    /// Facts, up to a revision.
    Facts {
        /// The facts in order.
        facts: Vec<Fact>,
        /// The revision up to which they are complete.
        revision: Revision,
        /// The last key, if there are further pages.
        more_after: Option<String>,
    },
    /// The changes after the requested revision are gone: list again.
    HistoryLost,
    /// A lease was granted or renewed.
    Lease {
        lease: StoreLease,
        /// Its time to live from the arrival of the call.
        ttl: Duration,
    },
    /// The change was made.
    Done { revision: Revision },
    /// The condition did not hold; nothing was done.
    Conflict,
    /// The lease does not exist.
    NoLease,
    /// Nothing was done: too many calls, or an outage.
    Refused(StatusCode),
}

/// A fact from the store. Nodes pass facts on to each other as JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fact {
    /// The operator's document.
    Document(Box<Document>),
    /// A back end's entry.
    Backend(BackendEntry),
    /// A back end's entry was removed.
    BackendGone(BackendId),
    /// The operator announced a target version of a model's weights.
    #[serde(rename = "weights_named")]
    TargetVersion { model: ModelId, version: WeightsVersion },
    /// A node leads.
    Leader {
        holder: NodeId,
        /// The fencing token of its orders.
        token: FencingToken,
        /// Where it accepts reports of other nodes.
        peers: Option<SocketAddr>,
    },
    /// No node leads.
    NoLeader,
    /// The number of nodes that a root recorded.
    FleetSize(u32),
    /// When the store created the entry of a back end with this version of its software.
    SoftwareCreated { service: ServiceId, software: Option<SoftwareVersion>, created: Revision },
    /// A leader recorded that the store has lost nothing for a while, in this era.
    StoreWitnessed(StoreEra),
    /// A leader recorded how recently a target version was announced. The age counts back from the proof of
    /// the listing that contains the record.
    #[serde(rename = "naming_record")]
    TargetRecord(RecentTargetVersion),
    /// A request is quarantined.
    #[serde(rename = "held")]
    Quarantined(Box<QuarantinedRequest>),
    /// A request is no longer quarantined.
    Released(RequestFingerprint),
    /// An entry could not be parsed. The previous state stays in force, except that a back end's entry
    /// counts as removed.
    Unreadable {
        key: String,
        problem: String,
        /// The back end whose entry it is, if it is one.
        backend: Option<BackendId>,
    },
}

impl Fact {
    /// The key of the entry that the fact is about; `None` if it describes no state.
    pub fn entry_key(&self) -> Option<EntryKey> {
        Some(match self {
            Self::Document(_) => EntryKey::Document,
            Self::Backend(entry) => EntryKey::Backend(entry.id.clone()),
            Self::BackendGone(id) => EntryKey::Backend(id.clone()),
            Self::TargetVersion { model, .. } => EntryKey::TargetWeights(model.clone()),
            Self::Leader { .. } | Self::NoLeader => EntryKey::Leader,
            Self::FleetSize(_) => EntryKey::FleetSize,
            Self::Quarantined(request) => EntryKey::Quarantined(request.fingerprint),
            Self::Released(fingerprint) => EntryKey::Quarantined(*fingerprint),
            // Nodes share the proofs derived from it instead.
            Self::TargetRecord(_) => return None,
            // Read by processes that start.
            Self::StoreWitnessed(_) | Self::SoftwareCreated { .. } => return None,
            Self::Unreadable { backend, .. } => EntryKey::Backend(backend.clone()?),
        })
    }
}

/// The length of the description of a problem at most, in bytes: parsers may quote what they could not read.
const MAX_PROBLEM_BYTES: usize = 256;

/// An answer that could not be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct InvalidAnswer(String);

impl InvalidAnswer {
    /// Describes the problem; long descriptions are cut.
    pub fn new(problem: impl Display) -> Self {
        let mut text = problem.to_string();
        let end = (0..=MAX_PROBLEM_BYTES).rev().find(|end| text.is_char_boundary(*end));
        text.truncate(end.unwrap_or(0));
        Self(text)
    }
}

/// An order to an engine to load weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightsOrder {
    pub backend: BackendId,
    pub model: ModelId,
    pub version: WeightsVersion,
    /// What happens to the requests that run there.
    pub mode: LoadMode,
    /// The node that gives the order.
    pub holder: NodeId,
    /// The token of its leadership.
    pub token: FencingToken,
    /// The number of orders that the engine must have accepted so far.
    pub sequence: u64,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine executes it.
    Accepted,
    /// The engine has these weights already.
    AlreadyHolds,
    /// Another order is in progress, or the sequence number does not match.
    Conflict,
    /// The engine has seen a higher fencing token.
    Fenced,
    /// Another back end has the address.
    OtherBackend,
    /// The engine cannot execute it.
    Rejected(StatusCode),
}

/// Entries of a cache feed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheFeedPage {
    /// The incarnation of the process; another incarnation has none of the earlier segments.
    pub incarnation: u64,
    /// The position to read from next.
    pub next: u64,
    /// Whether entries before these were lost.
    pub gap: bool,
    /// The cached segments, in order.
    pub segments: Vec<CachedSegment>,
}

/// An answer of a cache feed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedAnswer {
    Page(CacheFeedPage),
    /// The feed has too many readers.
    TooManyReaders,
}

/// The adapter of a platform.
pub trait Platform {
    /// The HTTP request of a call to the store.
    fn store_request(&self, call: &StoreCall) -> Request<Bytes>;

    /// How often the store was restored from a backup, as stated in an answer; `None` if this one does not
    /// state it.
    fn store_era(&self, answer: &Response<Bytes>) -> Option<StoreEra>;

    /// Parses the store's answer to `call`.
    fn store_answer(&self, call: &StoreCall, answer: &Response<Bytes>) -> Result<StoreAnswer, InvalidAnswer>;

    /// The request for an engine's report.
    fn report_request(&self) -> Request<Bytes>;

    /// Parses an engine's report.
    fn report_answer(&self, answer: &Response<Bytes>) -> Result<EngineReport, InvalidAnswer>;

    /// The request that carries an order to an engine.
    fn order_request(&self, order: &WeightsOrder) -> Request<Bytes>;

    /// Parses an engine's answer to an order.
    fn order_answer(&self, answer: &Response<Bytes>) -> OrderAnswer;

    /// The request for a feed's entries after `after`; the feed waits up to `wait` for some.
    fn feed_request(&self, after: u64, wait: Duration) -> Request<Bytes>;

    /// Parses entries of a feed.
    fn feed_answer(&self, answer: &Response<Bytes>) -> Result<FeedAnswer, InvalidAnswer>;

    /// The request for all cached segments.
    fn cache_list_request(&self) -> Request<Bytes>;

    /// Parses the list of all cached segments.
    fn cache_list_answer(&self, answer: &Response<Bytes>) -> Result<CacheFeedPage, InvalidAnswer>;

    /// Reads the head of a caller's request.
    fn read_request(&self, headers: &HeaderMap) -> RequestHead;

    /// Sets the headers of a request to a back end. `headers` holds the caller's, without hop-by-hop headers.
    fn write_request(&self, headers: &mut HeaderMap, dispatch: &Dispatch<'_>);

    /// Reads the head of a back end's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;
}

/// Versions of weights by model, as in reports and entries.
pub type WeightsByModel = BTreeMap<ModelId, WeightsVersion>;
