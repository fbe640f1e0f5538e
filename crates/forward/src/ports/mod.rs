//! What a platform's translation has to offer.
//!
//! An implementation turns typed calls into HTTP requests, HTTP answers into typed facts, and a caller's head into the
//! product's terms. It keeps no state, sets no timer, repeats nothing and chooses nothing.

mod heads;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

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
    identity::{FencingToken, ModelId, NodeId, Revision, WeightsVersion},
    quarantine::{QuarantinedRequest, RequestFingerprint},
};
use serde::{Deserialize, Serialize};

pub use heads::{AdvertisedLimit, AnswerHead, CopiedRun, Dispatch, RequestHead, RequestedBackOff};

/// The identity of a lease that the store has granted.
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
    /// Lists what exists, one page.
    List {
        /// The last key of the page before.
        after: Option<String>,
    },
    /// Reads who leads. The answer may be old, and costs little.
    FindLeader,
    /// Asks for a lease.
    Grant {
        /// Its life without renewal.
        ttl: Duration,
    },
    /// Renews a lease.
    Renew(StoreLease),
    /// Ends a lease and removes what is bound to it.
    End(StoreLease),
    /// Takes the leadership, bound to a lease, where nobody has it or an earlier process of this node had it.
    Lead {
        /// The token of that earlier process.
        replaces: Option<FencingToken>,
        /// Who takes it.
        holder: NodeId,
        /// Where it takes other nodes' reports.
        peers: Option<SocketAddr>,
        /// The lease.
        lease: StoreLease,
    },
    /// Records how many nodes there are, for those that start before they are counted.
    RecordFleetSize {
        /// The number.
        nodes: u32,
    },
    /// Records how lately a version of weights was named, bound to a lease.
    RecordTarget {
        /// The version, and how long ago it was named at most when the lease is over.
        target: RecentTargetVersion,
        /// The lease.
        lease: StoreLease,
    },
    /// Holds a request back at all nodes for as long as a lease lasts, where none does so yet.
    Hold {
        /// The request.
        request: Box<QuarantinedRequest>,
        /// The lease.
        lease: StoreLease,
    },
    /// Holds a request back no longer.
    Release(RequestFingerprint),
}

impl StoreCall {
    /// What the call is for, as metrics name it.
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
            Self::RecordTarget { .. } => "record_naming",
            Self::Hold { .. } => "hold",
            Self::Release(_) => "release",
        }
    }
}

/// What the store answered.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreAnswer {
    /// Facts, up to a revision.
    Facts {
        /// What is now so, in order.
        facts: Vec<Fact>,
        /// The revision up to which it was told.
        revision: Revision,
        /// The last key, where there are further pages.
        more_after: Option<String>,
    },
    /// The changes after the asked revision are no longer known: list anew.
    HistoryLost,
    /// A lease is granted or renewed.
    Lease {
        /// The lease.
        lease: StoreLease,
        /// Its life from the call's arrival.
        ttl: Duration,
    },
    /// The change was made.
    Done {
        /// Its revision.
        revision: Revision,
    },
    /// The condition did not hold; nothing was done.
    Conflict,
    /// There is no such lease.
    NoLease,
    /// Nothing was done: too many calls, or an outage.
    Refused(StatusCode),
}

/// A fact that the store told. NodeCount pass facts on to each other as JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fact {
    /// The operator's document.
    Document(Box<Document>),
    /// A back end's entry.
    Backend(BackendEntry),
    /// A back end's entry is gone.
    BackendGone(BackendId),
    /// The operator has named a version of a model's weights.
    #[serde(rename = "weights_named")]
    TargetVersion {
        /// The model.
        model: ModelId,
        /// The version.
        version: WeightsVersion,
    },
    /// A node has the leadership.
    Leader {
        /// The node.
        holder: NodeId,
        /// The fencing token of its orders.
        token: FencingToken,
        /// Where it takes other nodes' reports.
        peers: Option<SocketAddr>,
    },
    /// Nobody has the leadership.
    NoLeader,
    /// A root has counted so many nodes.
    FleetSize(u32),
    /// A leader has recorded how lately a version of weights was named: before what a listing proves that shows the record.
    #[serde(rename = "naming_record")]
    TargetRecord(RecentTargetVersion),
    /// A request is held back.
    #[serde(rename = "held")]
    Quarantined(Box<QuarantinedRequest>),
    /// A request is no longer held back.
    Released(RequestFingerprint),
    /// An item could not be understood. What was known of it before still holds, unless it is a back end's entry: that
    /// one names none any more.
    Unreadable {
        /// The item's key.
        key: String,
        /// What is wrong with it.
        problem: String,
        /// The back end whose entry it would be.
        backend: Option<BackendId>,
    },
}

impl Fact {
    /// What it is about; nothing where it tells of no state.
    pub fn subject(&self) -> Option<EntryKey> {
        Some(match self {
            Self::Document(_) => EntryKey::Document,
            Self::Backend(entry) => EntryKey::Backend(entry.id.clone()),
            Self::BackendGone(id) => EntryKey::Backend(id.clone()),
            Self::TargetVersion { model, .. } => EntryKey::TargetWeights(model.clone()),
            Self::Leader { .. } | Self::NoLeader => EntryKey::Leader,
            Self::FleetSize(_) => EntryKey::FleetSize,
            Self::Quarantined(request) => EntryKey::Quarantined(request.fingerprint),
            Self::Released(fingerprint) => EntryKey::Quarantined(*fingerprint),
            // NodeCount tell each other what follows from it.
            Self::TargetRecord(_) => return None,
            Self::Unreadable { backend, .. } => EntryKey::Backend(backend.clone()?),
        })
    }
}

/// An answer that could not be understood.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct InvalidAnswer(pub String);

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightsOrder {
    /// The engine.
    pub backend: BackendId,
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: WeightsVersion,
    /// What becomes of the requests that run there.
    pub mode: LoadMode,
    /// Who gives the order.
    pub holder: NodeId,
    /// The token of its leadership.
    pub token: FencingToken,
    /// The number of orders that the engine has taken, as a condition.
    pub sequence: u64,
}

/// What an engine answered to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is being carried out.
    Accepted,
    /// It held already.
    AlreadyHolds,
    /// Another order is under way, or others were taken before.
    Conflict,
    /// A higher fencing token was seen.
    Fenced,
    /// Another back end has the address.
    OtherBackend,
    /// It makes no sense to the engine.
    Rejected(StatusCode),
}

/// Entries of a feed of kept parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheFeedPage {
    /// The life of the process that keeps them; another one keeps nothing of what was told before.
    pub incarnation: u64,
    /// From where to read on.
    pub next: u64,
    /// Entries were lost before these.
    pub gap: bool,
    /// What is kept now, in order.
    pub segments: Vec<CachedSegment>,
}

/// An answer of a feed of kept parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedAnswer {
    /// Entries.
    Page(CacheFeedPage),
    /// Too many read the feed already.
    TooManyReaders,
}

/// A platform's translation.
pub trait Platform {
    /// A call to the store as an HTTP request.
    fn store_request(&self, call: &StoreCall) -> Request<Bytes>;

    /// How often the store has come back from an older copy, by any of its answers; none where it tells nothing of it.
    fn store_era(&self, answer: &Response<Bytes>) -> Option<StoreEra>;

    /// The store's answer to `call`.
    fn store_answer(&self, call: &StoreCall, answer: &Response<Bytes>) -> Result<StoreAnswer, InvalidAnswer>;

    /// A request for an engine's report.
    fn report_request(&self) -> Request<Bytes>;

    /// An engine's report.
    fn report_answer(&self, answer: &Response<Bytes>) -> Result<EngineReport, InvalidAnswer>;

    /// An order to an engine.
    fn order_request(&self, order: &WeightsOrder) -> Request<Bytes>;

    /// An engine's answer to an order.
    fn order_answer(&self, answer: &Response<Bytes>) -> OrderAnswer;

    /// A request for a feed's entries behind `after`, that waits for some.
    fn feed_request(&self, after: u64, wait: Duration) -> Request<Bytes>;

    /// A feed's entries.
    fn feed_answer(&self, answer: &Response<Bytes>) -> Result<FeedAnswer, InvalidAnswer>;

    /// A request for all that is kept.
    fn cache_list_request(&self) -> Request<Bytes>;

    /// All that is kept.
    fn cache_list_answer(&self, answer: &Response<Bytes>) -> Result<CacheFeedPage, InvalidAnswer>;

    /// What a caller's head says.
    fn read_request(&self, headers: &HeaderMap) -> RequestHead;

    /// Sets the headers of a request to a back end; `headers` holds the caller's, less those of the connection.
    fn write_request(&self, headers: &mut HeaderMap, dispatch: &Dispatch<'_>);

    /// What the head of a back end's answer says.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;
}

/// Versions of weights by model, as reports and entries tell them.
pub type WeightsByModel = BTreeMap<ModelId, WeightsVersion>;
