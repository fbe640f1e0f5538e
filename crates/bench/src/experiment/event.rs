//! Events of a simulated cluster.

use paddlemount_protocol::{
    engine::{CacheEventBatch, CacheSnapshot, EngineStatus, KvTransfer, LoadReport, Precondition, Priority},
    identity::Incarnation,
};

/// One try of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct AttemptKey {
    /// The request, counted from 0.
    pub(super) request: u64,
    /// The try, counted from 1.
    pub(super) number: u32,
}

/// What happens at one moment.
pub(super) enum Event {
    /// A caller sends the next request.
    Send,
    /// A request reaches a node.
    ArriveAtNode { request: u64 },
    /// A try reaches an engine.
    ArriveAtEngine { key: AttemptKey, engine: usize, sent: Box<Dispatch> },
    /// An engine has something to do.
    Step { engine: usize },
    /// A message of an engine reaches a node.
    Answer { key: AttemptKey, engine: usize, answer: Answer },
    /// A node asks an engine for its status.
    RequestStatus { node: usize, engine: usize, recurring: bool },
    /// A status reaches a node.
    StatusArrives { node: usize, status: Box<EngineStatus> },
    /// A node learns that an engine does not answer.
    EngineUnresponsive { node: usize, engine: usize },
    /// A node reads an engine's feed.
    ReadFeed { node: usize, engine: usize },
    /// Part of a feed reaches a node.
    FeedArrives { node: usize, engine: usize, batch: Box<CacheEventBatch> },
    /// A page of a snapshot reaches a node.
    SnapshotArrives { node: usize, engine: usize, page: Box<CacheSnapshot> },
    /// A node's admission is due.
    AdmissionTick { node: usize },
    /// A fault of the scenario begins.
    Fault { position: usize },
    /// A crashed engine is back.
    EngineRestart { engine: usize },
}

/// What a node sends to an engine.
pub(super) struct Dispatch {
    pub(super) precondition: Precondition,
    pub(super) import: Option<KvTransfer>,
    pub(super) priority: Priority,
}

/// What an engine sends to a node.
#[derive(Clone, Copy, Debug)]
pub(super) enum Answer {
    /// It was refused, and has not run there.
    Refused,
    /// It entered the batch.
    Started { incarnation: Incarnation, cached_tokens: u32, load: LoadReport },
    /// The first token of this try.
    FirstToken,
    /// The whole answer.
    Ended { load: LoadReport },
    /// The connection broke, or the engine gave up.
    Failed { engine_lost: bool },
}
