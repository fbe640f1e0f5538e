//! Input and output types of a [`Router`](super::Router).

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
    /// Zone of this node. Engines in other zones cost their network distance.
    pub zone: ZoneId,
    /// Seed of all random choices. The preferred engines of a prefix don't depend on it.
    pub seed: u64,
    /// One-way network latency in milliseconds to zones that differ from `other_zone_ms`.
    pub distances: BTreeMap<ZoneId, f64>,
    /// One-way network latency in milliseconds to all other zones.
    pub other_zone_ms: f64,
    /// Maximum number of (prefix, engine) pairs in the cache index.
    pub cache_index_records: usize,
    /// Maximum number of prefixes whose requests are counted.
    pub popularity_records: usize,
    /// Rate at which an engine imports cached prefixes.
    pub import_bytes_per_second: f64,
    /// Limit on the export rate requested by this node over all engines.
    pub export_bytes_per_second: f64,
    pub health: HealthSettings,
    pub mechanisms: Mechanisms,
}

/// Default size of the cache index in (prefix, engine) pairs, which take at most 48 MB.
pub const DEFAULT_CACHE_INDEX_RECORDS: usize = 600_000;
/// Default number of prefixes whose requests are counted.
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

/// Optional parts of the choice. Each can be turned off to measure its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    /// Waive the recomputation penalty for copies that a prefix's request rate justifies.
    pub replicate_hot_prefixes: bool,
    /// Add this node's requests since the last load report to the predicted wait.
    pub own_in_flight: bool,
    /// Place prefixes that no engine is known to hold by rendezvous hashing.
    pub preferred_engines: bool,
    /// Update the cache index from the engines' event feeds and snapshots.
    pub feeds: bool,
    /// Update the cache index from answers and this node's dispatches.
    pub answers: bool,
    /// Discount cached prefixes by the probability of their eviction.
    pub expected_eviction: bool,
    /// Choose at random among engines of nearly equal cost.
    pub near_equals: bool,
    /// Import cached prefixes where that is faster than prefill.
    pub import: bool,
    /// Exclude failing engines and use slow start for returning ones.
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
    /// Settings for a router that learns the exact state of all caches and queues before each choice. Turns
    /// off everything that compensates for stale data.
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

/// What a request requires of an engine.
#[derive(Clone, Debug)]
pub struct RouteRequest<'a> {
    pub request: &'a RequestId,
    pub tenant: &'a TenantId,
    pub pool: &'a PoolId,
    pub model: &'a ModelId,
    pub weights: WeightsVersion,
    pub adapter: Option<&'a AdapterId>,
    /// Cached state is only shared within this scope.
    pub scope: CacheScope,
    /// Hashes of the prompt's complete blocks.
    pub blocks: &'a [BlockHash],
    pub prompt_tokens: u32,
    pub max_tokens: u32,
    pub priority: Priority,
    /// From 0.0 (optimize tail time to first token only) to 1.0 (optimize cache reuse only).
    pub reuse_weight: f64,
    /// Engines already tried for this request.
    pub excluded: &'a [EngineId],
}

/// An input to a router.
#[derive(Clone, Debug)]
pub enum RouterEvent<'a> {
    /// An engine's status report.
    Status(&'a EngineStatus),
    /// An engine's load report.
    Load { engine: &'a EngineId, report: LoadReport },
    /// A batch of cache events from an engine's feed.
    Feed { engine: &'a EngineId, batch: &'a CacheEventBatch },
    /// A page of a snapshot of an engine's cache.
    Snapshot { engine: &'a EngineId, snapshot: &'a CacheSnapshot },
    /// An attempt was sent.
    Dispatched { attempt: &'a AttemptId, engine: &'a EngineId, request: &'a RouteRequest<'a> },
    /// An engine began to answer.
    Started {
        attempt: &'a AttemptId,
        incarnation: Incarnation,
        /// Prompt tokens found in the engine's cache.
        cached_tokens: u32,
    },
    /// The first token of an answer arrived.
    FirstToken { attempt: &'a AttemptId },
    /// An attempt has ended.
    Ended { attempt: &'a AttemptId, ending: AttemptEnding },
    /// An engine refused an attempt without running it.
    Refused { engine: &'a EngineId, refusal: &'a EngineRefusal },
    /// An engine started or stopped draining.
    Draining { engine: &'a EngineId, draining: bool },
    /// The cache store holds a prefix.
    PrefixStored { transfer: &'a KvTransfer },
    /// The cache store no longer holds a prefix.
    PrefixDropped {
        /// Hash of the prefix's last block.
        prefix: BlockHash,
    },
    /// The number of nodes that share the engines, including this one.
    Nodes { count: u32 },
    /// An engine no longer exists.
    Removed { engine: &'a EngineId },
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnding {
    /// The complete answer arrived.
    Completed,
    Refused,
    /// The connection or the engine failed.
    Failed,
    /// The caller disconnected, or another attempt replaced this one.
    Cancelled,
}

/// A scored engine with the parts of its cost.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Candidate {
    pub engine: EngineId,
    /// Prompt tokens expected in the engine's cache.
    pub expected_cached_tokens: u32,
    /// Predicted wait until the engine can begin.
    pub wait_ms: f64,
    /// Predicted time to prefill the tokens that are not cached.
    pub prefill_ms: f64,
    /// Network latency.
    pub distance_ms: f64,
    /// Predicted time to import a cached prefix, which replaces part of the prefill.
    pub import_ms: f64,
    /// Penalty for recomputing what another engine holds.
    pub copy_ms: f64,
    /// Penalty for an engine that is not preferred for the prefix.
    pub affinity_ms: f64,
    /// Rank among the prefix's preferred engines, from 0; `None` if unranked.
    pub affinity_rank: Option<u32>,
    /// Length of the prompt's prefix, in blocks, that the engine was known to hold.
    #[serde(rename = "believed_blocks")]
    pub matched_blocks: u32,
    /// Probability that the engine still holds the last of these blocks.
    pub confidence: f64,
    /// Milliseconds since the engine last used them.
    #[serde(rename = "belief_age_ms")]
    pub match_age_ms: u64,
    /// Sum of all parts in milliseconds; the lowest cost is best.
    pub cost: f64,
    /// Milliseconds since the last load report.
    pub load_age_ms: u64,
}

/// The result of a choice.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Decision {
    /// The chosen engine and its precondition, or `None` if no engine can serve the request.
    pub chosen: Option<Precondition>,
    /// All scored engines, the chosen one first and the others by cost.
    pub candidates: Vec<Candidate>,
    pub reason: ChoiceReason,
    /// Cached prefix for the chosen engine to import before prefill, where that is faster.
    pub import: Option<KvTransfer>,
    /// Leading blocks of the prompt that other requests are known to share.
    pub shared_blocks: u32,
    /// Copies of these shared blocks that their request rate justifies.
    pub wanted_copies: u32,
}

/// The reason for a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChoiceReason {
    /// It had the lowest predicted cost, and no other reason applies.
    LowestCost,
    /// It is expected to hold the longest cached prefix of the prompt.
    LongestPrefix,
    /// Engines that hold a longer prefix cost more, mostly because of their wait.
    HoldersBusy,
    /// No engine is known to hold the prompt, and this one is preferred for it.
    #[serde(rename = "agreed_place")]
    PreferredEngine,
    /// The request rate of the prefix justifies another copy.
    HotCopy,
    /// It was picked at random among engines of nearly equal cost.
    NearEqual,
    /// No engine of the pool can serve the request.
    #[serde(rename = "none_serves")]
    NoEngineAvailable,
}

/// A hot prefix that should be exported before it is evicted.
#[derive(Clone, Debug, PartialEq)]
pub struct ExportHint {
    pub engine: EngineId,
    pub request: ExportRequest,
    /// Estimated size of the transfer.
    pub bytes: u64,
}
