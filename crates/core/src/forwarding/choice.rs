//! Chooses the back end of a request.
//!
//! For prompts, the cost of a back end is work in tokens: the tokens it still has to prefill, plus those of
//! this request. Importing a segment that another back end has cached costs a small fraction of prefilling
//! it, so load is balanced first and affinity only breaks near ties. A segment that nobody has cached is
//! prefilled once: all nodes send requests for it to the same back end by rendezvous hashing, without
//! coordination, until feeds report it as cached.
//!
//! For other services, the cost is the number of requests at the back end, weighted by its latency.
//!
//! | module | responsibility |
//! |---|---|
//! | `candidate_pool` | the back ends of a pool, and the sample that a choice evaluates |
//! | `prompts` | the cost of each back end for a prompt, as work in tokens |
//! | `by_time` | the same as time, where forecasts may be trusted |
//! | `source_times` | whether cache stores or engines are currently the faster sources |
//! | `shards` | which of several cache stores a prompt's segments belong to |
//! | `sources` | the source to import a prefix from, and the back end that receives a copy of a run |

mod by_time;
mod candidate_pool;
mod prompts;
mod shards;
mod source_times;
mod sources;

use std::{net::SocketAddr, time::Duration};

use paddlemount_protocol::{
    fleet::{CachedSegmentUpdate, Contact},
    identity::{NodeId, SoftwareVersion, TenantId, WeightsVersion, ZoneId},
    time::Timestamp,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use candidate_pool::CandidatePool;
pub use shards::shard_of;
pub use source_times::SourceTimes;

use super::{
    backends::BackendId,
    forecast::{EngineWorkload, NEUTRAL_SLOWNESS, RequestWork, Timing},
    load::{BackendLoad, Loads, MIN_SLOWNESS},
    performance::EngineProfile,
    prefixes::{CachedSegment, PrefixIndex, ScopeHash},
    prompt::{CacheScope, Prompt, SegmentId},
    transfers::{LinkQueues, RequestTransfers, TransferRates},
};

/// The cost of a back end in another zone, in requests, for services without prompts.
const OTHER_ZONE_REQUESTS: f64 = 1.5;

/// A back end that may be chosen for the request.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    pub id: &'a BackendId,
    pub address: SocketAddr,
    pub zone: &'a ZoneId,
    /// Its version of the requested model's weights, if the request has a prompt.
    pub weights: Option<WeightsVersion>,
    /// The number of requests that it processes concurrently; further ones are queued.
    pub slots: u32,
    /// Whether it may be chosen; others are only import sources.
    pub eligible: bool,
    /// Whether its weights are older than the version preferred for new requests.
    pub outdated: bool,
    /// The version of its software, if known.
    pub software: Option<&'a SoftwareVersion>,
    /// What all nodes know of it, if they share that.
    pub profile: Option<EngineProfile>,
}

impl Candidate<'_> {
    /// Its time for the same work relative to a typical engine, if that is known well enough.
    pub(crate) fn slowness(&self) -> f64 {
        self.profile.map_or(NEUTRAL_SLOWNESS, EngineProfile::known_slowness)
    }
}

/// A cache store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreEndpoint {
    /// The name under which its feed is known.
    pub id: BackendId,
    pub address: SocketAddr,
}

/// A request for which a back end is chosen.
#[derive(Clone, Copy, Debug)]
pub struct Placement<'a> {
    pub prompt: Option<&'a Prompt>,
    /// The tenant, if its cached segments are isolated from those of others.
    pub isolated: Option<&'a TenantId>,
    /// This node's own zone.
    pub zone: &'a ZoneId,
    /// A random number drawn for the request; selects the sample and breaks ties.
    pub seed: u64,
    /// The cache store that this prompt's segments belong to ([`shard_of`]).
    pub store: Option<&'a StoreEndpoint>,
    /// How many back ends are sampled, in addition to the preferred one; `None` evaluates all. Where many
    /// nodes choose with the same outdated information, different samples prevent them from choosing the same
    /// back end.
    pub sample_size: Option<usize>,
    /// Whether the run's memory is copied to another back end as it grows.
    pub replicate: bool,
    /// The rates by which transfers are weighed; `None` to transfer whatever can be.
    pub transfers: Option<TransferRates<'a>>,
    /// When it is placed: measured latencies decay with time.
    pub now: Timestamp,
    /// Chooses by forecast times if set, and otherwise by work in tokens.
    pub timing: Option<Timing>,
}

/// The chosen back end, and what is expected of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The node through which the request is sent; `backend` then stands for that node.
    pub intermediary: Option<NodeId>,
    pub backend: BackendId,
    pub address: SocketAddr,
    /// Whether it continues a stream of its software version, which it also does while it is leaving.
    pub is_continuation: bool,
    /// The scope of its cached segments, if the request has a prompt.
    pub scope: Option<CacheScope>,
    /// The address to import the prefix from.
    pub import_from: Option<SocketAddr>,
    /// The kind of that source, if it is believed to have segments cached that the back end lacks.
    pub import_source: Option<SourceKind>,
    /// The cache store that receives the segments that nobody has cached.
    pub save_to: Option<StoreEndpoint>,
    /// The back end that receives a copy of the run's memory as it grows.
    pub copy_to: Option<CopyHolder>,
    /// The weighed transfers, requested or not.
    pub transfers: RequestTransfers,
    /// Tokens that the back end is expected to prefill, including the cost of imports.
    pub expected_tokens: u64,
    /// Tokens of the prefix that the back end is believed to have cached.
    pub cached_tokens: u32,
    /// Tokens of the prefix that nobody is believed to have cached.
    pub uncached_tokens: u32,
    pub last_shared_segment: Option<SegmentId>,
    /// Whether this is the preferred engine of the request's prefix.
    pub is_preferred: bool,
    /// The cost by which it was chosen.
    pub cost: u64,
    /// The number of eligible candidates.
    pub eligible: usize,
    /// The work at the back end as known when it was chosen, if the request has a prompt.
    pub workload: EngineWorkload,
    /// What the request adds to it, if it has a prompt.
    pub work: RequestWork,
    /// The time until the first event as forecast, if there are rates for a forecast.
    pub forecast: Option<Duration>,
}

impl Choice {
    /// The choice of the only candidate, for a request without a prompt.
    pub fn without_prompt(backend: BackendId, address: SocketAddr) -> Self {
        Self {
            intermediary: None,
            backend,
            address,
            is_continuation: false,
            scope: None,
            import_from: None,
            import_source: None,
            save_to: None,
            copy_to: None,
            transfers: RequestTransfers::default(),
            expected_tokens: 0,
            cached_tokens: 0,
            uncached_tokens: 0,
            last_shared_segment: None,
            is_preferred: false,
            cost: 0,
            eligible: 1,
            workload: EngineWorkload::default(),
            work: RequestWork::default(),
            forecast: None,
        }
    }

    /// The choice of another node, which chooses a back end itself.
    pub fn through(node: &Contact) -> Self {
        let choice = Self::without_prompt(intermediary_id(&node.node), node.address);
        Self { intermediary: Some(node.node.clone()), ..choice }
    }
}

/// The id that stands for a node among back ends. Ids of back ends contain no slash.
pub fn intermediary_id(node: &NodeId) -> BackendId {
    BackendId::from(format!("node/{}", node.as_str()))
}

/// The kind of process that a prefix is imported from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceKind {
    Store,
    Engine,
}

/// A back end that holds a copy of a run's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopyHolder {
    pub backend: BackendId,
    pub address: SocketAddr,
}

/// Chooses back ends, and holds the state that this needs.
#[derive(Debug, Default)]
pub struct Chooser {
    /// Requests in flight.
    pub loads: Loads,
    pub prefixes: PrefixIndex,
    /// Times to the first event of answers with an imported prefix.
    pub source_times: SourceTimes,
    /// Transfers that this node has requested.
    pub links: LinkQueues,
}

impl Chooser {
    /// Removes a back end and everything it had cached.
    pub fn forget(&mut self, backend: &BackendId) {
        self.loads.forget(backend);
        self.prefixes.forget(backend);
    }

    /// This node's load at a back end.
    pub fn load(&self, backend: &BackendId) -> BackendLoad {
        self.loads.of(backend)
    }

    /// Records that a back end has prefilled the shared segments of a prompt. Returns the updates to gossip
    /// to other nodes.
    pub fn record_prefill(
        &mut self,
        backend: &BackendId,
        scope: &CacheScope,
        prompt: &Prompt,
        now: Timestamp,
    ) -> Vec<CachedSegmentUpdate> {
        let update = |cached: CachedSegment| CachedSegmentUpdate {
            engine: backend.clone(),
            scope: cached.scope.0,
            segment: cached.segment.0,
            tokens: cached.tokens,
        };
        self.prefixes.record_prompt(prompt.prompt_tokens, now);
        self.prefixes
            .record_prefill(backend, scope.into(), prompt.shared(), now)
            .into_iter()
            .map(update)
            .collect()
    }

    /// Applies an update about cached segments from another node.
    pub fn apply_gossip(&mut self, update: &CachedSegmentUpdate, now: Timestamp) {
        let cached = CachedSegment {
            scope: ScopeHash(update.scope),
            segment: SegmentId(update.segment),
            tokens: update.tokens,
        };
        self.prefixes.set_gossiped(&update.engine, &cached, now);
    }

    /// Applies entries of a back end's feed.
    pub fn apply_feed(&mut self, backend: &BackendId, segments: &[CachedSegment], now: Timestamp) {
        for segment in segments {
            self.prefixes.set(backend, segment, now);
        }
    }

    /// Records that the transfers of a choice were requested.
    pub fn record_transfers(&mut self, choice: &Choice, now: Timestamp) {
        let RequestTransfers { import, save, copy } = choice.transfers;
        let save_to = choice.save_to.as_ref().map(|store| store.address);
        let copy_to = choice.copy_to.as_ref().map(|holder| holder.address);
        // An import without a believed source only guards against a wrong belief.
        let import_from = choice.import_from.filter(|_| choice.import_source.is_some());
        for (other, weighed) in [(import_from, import), (save_to, save), (copy_to, copy)] {
            if let Some(other) = other {
                self.links.record([choice.address, other], weighed.occupies, now);
            }
        }
    }

    /// Chooses among the back ends of `pool`.
    pub fn choose(&self, placement: Placement<'_>, pool: &dyn CandidatePool) -> Option<Choice> {
        match placement.prompt {
            Some(prompt) => self.choose_for_prompt(placement, prompt, pool),
            // Services without prompts have few back ends.
            None => {
                let unsampled = Placement { sample_size: None, ..placement };
                self.choose_by_requests(placement, &candidate_pool::sample(pool, unsampled))
            }
        }
    }

    fn choose_by_requests(&self, placement: Placement<'_>, candidates: &[Candidate<'_>]) -> Option<Choice> {
        let median_ms = self.loads.median_ms(candidates.iter().map(|candidate| candidate.id));
        let cost = |candidate: &Candidate<'_>| {
            let requests = f64::from(self.loads.total_requests(candidate.id)) + 1.0;
            let distance = if candidate.zone == placement.zone { 0.0 } else { OTHER_ZONE_REQUESTS };
            // A back end without recent measurements is preferred: only requests can measure it.
            let slowness = self.loads.slowness(candidate.id, median_ms, MIN_SLOWNESS, placement.now);
            ((requests * slowness + distance) * 1_000.0) as u64
        };
        let eligible = candidates.iter().filter(|candidate| candidate.eligible);
        let count = eligible.clone().count();
        let best = eligible.min_by_key(|candidate| (cost(candidate), tie(candidate.id, placement.seed)))?;
        let choice = Choice::without_prompt(best.id.clone(), best.address);
        Some(Choice { cost: cost(best), eligible: count, ..choice })
    }
}

/// Breaks ties between back ends of equal cost differently for each request.
fn tie(backend: &BackendId, draw: u64) -> u64 {
    xxh3_64_with_seed(backend.as_str().as_bytes(), draw)
}
