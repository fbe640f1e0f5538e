//! Messages into and out of a [`Router`](super::Router).

use std::collections::BTreeMap;

use paddlemount_protocol::{
    engine::{
        CacheEventBatch, CacheSnapshot, EngineRefusal, EngineStatus, ExportRequest, KvTransfer, LoadReport,
        Precondition, Priority,
    },
    identity::{
        AdapterId, AttemptId, EngineId, Incarnation, ModelId, PoolId, RequestId, TenantId, WeightsVersion,
        ZoneId,
    },
    prefix::{BlockHash, CacheScope},
};
use serde::Serialize;

use crate::health::HealthSettings;

/// Settings of a [`Router`](super::Router).
#[derive(Clone, Debug, PartialEq)]
pub struct RouterSettings {
    /// The zone of this node; engines in other zones cost their distance.
    pub zone: ZoneId,
    /// Seed of all random choices. Placement of unknown prefixes doesn't depend on it.
    pub seed: u64,
    /// One-way network distance in milliseconds to zones that differ from `other_zone_ms`.
    pub distances: BTreeMap<ZoneId, f64>,
    /// One-way network distance in milliseconds to any other zone.
    pub other_zone_ms: f64,
    /// Pairs of prefix and engine that the cache_index holds at most.
    pub cache_index_records: usize,
    /// Prefixes whose request rates are counted at most.
    pub popularity_records: usize,
    /// Bytes of kept cache that an engine imports in a second.
    pub import_bytes_per_second: f64,
    /// Bytes that all engines together may export in a second, as arranged by this node.
    pub export_bytes_per_second: f64,
    /// When engines that fail are left out.
    pub health: HealthSettings,
    /// Mechanisms in use.
    pub mechanisms: Mechanisms,
}

/// Pairs of prefix and engine that a node believes in by default; at most 48 MB.
pub const DEFAULT_CACHE_INDEX_RECORDS: usize = 600_000;
/// Prefixes whose rates a node counts by default.
pub const DEFAULT_POPULARITY_RECORDS: usize = 100_000;
const DEFAULT_OTHER_ZONE_MS: f64 = 1.2;
const DEFAULT_IMPORT_BYTES_PER_SECOND: f64 = 2e9;
const DEFAULT_EXPORT_BYTES_PER_SECOND: f64 = 2e8;

impl RouterSettings {
    /// Default settings for a node in `zone`.
    pub fn new(zone: ZoneId, seed: u64) -> Self {
        Self {
            zone,
            seed,
            distances: BTreeMap::new(),
            other_zone_ms: DEFAULT_OTHER_ZONE_MS,
            cache_index_records: DEFAULT_CACHE_INDEX_RECORDS,
            popularity_records: DEFAULT_POPULARITY_RECORDS,
            import_bytes_per_second: DEFAULT_IMPORT_BYTES_PER_SECOND,
            export_bytes_per_second: DEFAULT_EXPORT_BYTES_PER_SECOND,
            health: HealthSettings::default(),
            mechanisms: Mechanisms::default(),
        }
    }
}

/// Switches of the mechanisms that improve a choice; each can be turned off to see what it is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    /// Allow copies of a prefix by its request rate, without a penalty for making them.
    pub replicate_hot_prefixes: bool,
    /// Add this node's own requests to an engine's last load report.
    pub own_in_flight: bool,
    /// Place prefixes that no engine is known to hold by rendezvous hashing.
    pub preferred_engines: bool,
    /// Learn from the engines' event feeds and snapshots.
    pub feeds: bool,
    /// Learn from answers and this node's own dispatches.
    pub answers: bool,
    /// Expect eviction of prefixes that were not used for long.
    pub expected_eviction: bool,
    /// Choose at random among engines of nearly equal cost.
    pub near_equals: bool,
    /// Import kept cache where that is faster than prefill.
    pub import: bool,
    /// Leave out engines that fail, and let returning ones in slowly.
    pub health: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            replicate_hot_prefixes: true,
            own_in_flight: true,
            preferred_engines: true,
            feeds: true,
            answers: true,
            expected_eviction: true,
            near_equals: true,
            import: true,
            health: true,
        }
    }
}

impl Mechanisms {
    /// For a router that is told the truth about all caches and queues before each choice: the cost
    /// function alone, without any correction for what is unknown.
    pub const fn with_exact_state() -> Self {
        Self {
            replicate_hot_prefixes: true,
            own_in_flight: false,
            preferred_engines: true,
            feeds: true,
            answers: true,
            expected_eviction: false,
            near_equals: false,
            import: true,
            health: false,
        }
    }
}

/// What a request needs of an engine.
#[derive(Clone, Debug)]
pub struct RouteRequest<'a> {
    /// The request.
    pub request: &'a RequestId,
    /// Its tenant.
    pub tenant: &'a TenantId,
    /// The pool that serves its model.
    pub pool: &'a PoolId,
    /// The model.
    pub model: &'a ModelId,
    /// The weights version.
    pub weights: WeightsVersion,
    /// The adapter, if any.
    pub adapter: Option<&'a AdapterId>,
    /// The boundary of its cached state.
    pub scope: CacheScope,
    /// Hashes of the prompt's whole blocks.
    pub blocks: &'a [BlockHash],
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens to generate at most.
    pub max_tokens: u32,
    /// How urgent it is.
    pub priority: Priority,
    /// From 0.0 (tail time to first token alone) to 1.0 (reuse alone).
    pub reuse_weight: f64,
    /// Engines already tried for this request.
    pub excluded: &'a [EngineId],
}

/// Something that a router learns.
#[derive(Clone, Debug)]
pub enum RouterEvent<'a> {
    /// An engine's own account of itself.
    Status(&'a EngineStatus),
    /// An engine's load, from an answer.
    Load {
        /// The engine.
        engine: &'a EngineId,
        /// The load.
        report: LoadReport,
    },
    /// Part of an engine's feed.
    Feed {
        /// The engine.
        engine: &'a EngineId,
        /// The events.
        batch: &'a CacheEventBatch,
    },
    /// A page of an engine's blocks.
    Snapshot {
        /// The engine.
        engine: &'a EngineId,
        /// The page.
        snapshot: &'a CacheSnapshot,
    },
    /// A try was sent.
    Dispatched {
        /// The try.
        attempt: &'a AttemptId,
        /// Where to.
        engine: &'a EngineId,
        /// The request.
        request: &'a RouteRequest<'a>,
    },
    /// An engine began to answer.
    Started {
        /// The try.
        attempt: &'a AttemptId,
        /// The engine's life.
        incarnation: Incarnation,
        /// Tokens found in its cache.
        cached_tokens: u32,
    },
    /// The first token of an answer arrived.
    FirstToken {
        /// The try.
        attempt: &'a AttemptId,
    },
    /// A try has ended.
    Ended {
        /// The try.
        attempt: &'a AttemptId,
        /// How.
        ending: AttemptEnding,
    },
    /// An engine refused a try, which has not run.
    Refused {
        /// The engine.
        engine: &'a EngineId,
        /// Its answer.
        refusal: &'a EngineRefusal,
    },
    /// An engine takes no new work, or takes it again.
    Draining {
        /// The engine.
        engine: &'a EngineId,
        /// Whether it drains.
        draining: bool,
    },
    /// The kept-cache store holds state of a prefix.
    PrefixStored {
        /// What it holds.
        transfer: &'a KvTransfer,
    },
    /// The kept-cache store no longer holds state of a prefix.
    PrefixDropped {
        /// The prefix, by its last block.
        prefix: BlockHash,
    },
    /// The number of nodes that share the engines, this one included.
    Nodes {
        /// How many.
        count: u32,
    },
    /// An engine no longer exists.
    Removed {
        /// The engine.
        engine: &'a EngineId,
    },
}

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnding {
    /// The whole answer arrived.
    Completed,
    /// The engine refused it.
    Refused,
    /// The connection or the engine failed.
    Failed,
    /// The caller left, or another try took over.
    Cancelled,
}

/// One engine that was weighed for a request, with each part of its cost.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Candidate {
    /// The engine.
    pub engine: EngineId,
    /// Prompt tokens believed to be cached there.
    pub expected_cached_tokens: u32,
    /// Predicted milliseconds until the engine can begin.
    pub wait_ms: f64,
    /// Predicted milliseconds of prefill of what is missing.
    pub prefill_ms: f64,
    /// Network distance in milliseconds.
    pub distance_ms: f64,
    /// Predicted milliseconds of the import of kept cache, which replaces part of the prefill.
    pub import_ms: f64,
    /// Penalty in milliseconds for recomputing what another engine holds.
    pub copy_ms: f64,
    /// Penalty in milliseconds for an engine that is not the agreed place of the prefix.
    pub affinity_ms: f64,
    /// Place in the agreed order of engines for the prefix, from 0; none outside that order.
    pub affinity_rank: Option<u32>,
    /// Blocks of the prompt at the deepest point that the engine was known to hold.
    pub believed_blocks: u32,
    /// From 0.0 to 1.0: how likely the engine still holds them.
    pub confidence: f64,
    /// Milliseconds since the engine was last known to use them.
    pub belief_age_ms: u64,
    /// The total that decides; lower is better.
    pub cost: f64,
    /// Milliseconds since the last load report.
    pub load_age_ms: u64,
}

/// A choice with its reasons.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Decision {
    /// Where to send the request, and under which precondition; none where no engine can serve it.
    pub chosen: Option<Precondition>,
    /// Engines weighed, the best first.
    pub candidates: Vec<Candidate>,
    /// Why the choice fell, in one of few fixed forms.
    pub reason: ChoiceReason,
    /// Kept cache for the chosen engine to import before prefill, where that is faster.
    pub import: Option<KvTransfer>,
    /// Blocks of the prompt that other requests are known to share.
    pub shared_blocks: u32,
    /// Copies of that shared part that its request rate justifies.
    pub wanted_copies: u32,
}

/// Why a choice fell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChoiceReason {
    /// It had the lowest predicted cost, for no more special reason.
    LowestCost,
    /// It is believed to hold the longest part of the prompt.
    LongestPrefix,
    /// Engines that hold more of the prompt cost more, mostly by their wait.
    HoldersBusy,
    /// No engine is known to hold the prompt, and this is its agreed place.
    #[serde(rename = "agreed_place")]
    PreferredEngine,
    /// The prefix is requested so often that another copy pays.
    HotCopy,
    /// Drawn among engines of nearly equal cost.
    NearEqual,
    /// No engine of the pool serves the model at this version.
    #[serde(rename = "none_serves")]
    NoEngineAvailable,
}

/// Cached state that is about to be lost though it is still in demand.
#[derive(Clone, Debug, PartialEq)]
pub struct ExportHint {
    /// The engine to ask, and what for.
    pub engine: EngineId,
    /// The request.
    pub request: ExportRequest,
    /// Estimated bytes to move.
    pub bytes: u64,
}
