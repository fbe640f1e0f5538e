//! Events of a simulated cluster.

use paddlemount_protocol::{
    engine::{CacheEventBatch, CacheSnapshot, EngineStatus, KvTransfer, LoadReport, Precondition, Priority},
    identity::Incarnation,
};

/// One attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct AttemptKey {
    /// Counts from 0.
    pub(super) request: u64,
    /// Counts from 1.
    pub(super) number: u32,
}

/// An event of the simulation.
pub(super) enum Event {
    /// A caller sends the next request.
    Send,
    /// A request arrives at a node.
    ArriveAtNode {
        request: u64,
    },
    /// An attempt arrives at an engine.
    ArriveAtEngine {
        key: AttemptKey,
        engine: usize,
        sent: Box<Dispatch>,
    },
    /// A step of an engine is due.
    Step {
        engine: usize,
    },
    /// A message of an engine arrives at a node.
    Answer {
        key: AttemptKey,
        engine: usize,
        answer: Answer,
    },
    /// A status request arrives at an engine.
    RequestStatus {
        node: usize,
        engine: usize,
        recurring: bool,
    },
    /// A status arrives at a node.
    StatusArrives {
        node: usize,
        status: Box<EngineStatus>,
    },
    /// A node's status request times out.
    EngineUnresponsive {
        node: usize,
        engine: usize,
    },
    /// A read of an engine's feed arrives at the engine.
    ReadFeed {
        node: usize,
        engine: usize,
    },
    /// A batch of a feed arrives at a node.
    FeedArrives {
        node: usize,
        engine: usize,
        batch: Box<CacheEventBatch>,
    },
    /// A page of a snapshot arrives at a node.
    SnapshotArrives {
        node: usize,
        engine: usize,
        page: Box<CacheSnapshot>,
    },
    /// A timer of a node's admission fires.
    AdmissionTick {
        node: usize,
    },
    Fault {
        position: usize,
    },
    /// A crashed engine restarts.
    EngineRestart {
        engine: usize,
    },
}

/// An attempt as a node sends it to an engine.
pub(super) struct Dispatch {
    pub(super) precondition: Precondition,
    pub(super) import: Option<KvTransfer>,
    pub(super) priority: Priority,
}

/// A message of an engine to a node.
#[derive(Clone, Copy, Debug)]
pub(super) enum Answer {
    /// Refused without having run.
    Refused,
    /// The attempt entered the batch.
    Started {
        incarnation: Incarnation,
        cached_tokens: u32,
        load: LoadReport,
    },
    FirstToken,
    /// The answer is complete.
    Ended {
        load: LoadReport,
    },
    /// The connection broke, or the engine failed.
    Failed {
        engine_lost: bool,
    },
}
