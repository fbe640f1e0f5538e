//! Chooses the back end of a request.
//!
//! For prompts the measure is work in tokens: what a back end has yet to read, plus what it would have to read for
//! this request. A part that another back end keeps is imported at a small part of that work, so load is balanced
//! first and affinity only breaks near ties. A part that nobody keeps is read once: all nodes send requests for it to
//! the same back end (rendezvous hashing), without a word between them, until the feeds tell that it is kept.
//!
//! For other services the measure is the number of requests at the back end, weighed by how long it takes.
//!
//! | module | job |
//! |---|---|
//! | `field` | the back ends among which is chosen, and which of them are weighed |
//! | `prompts` | weighs the back ends of a prompt |
//! | `source_times` | whether stores or engines are the faster sources at the moment |
//! | `shards` | which of several stores a prompt's parts belong to |
//! | `sources` | whom to import a prefix from, and who gets a copy of a run |

mod candidate_pool;
mod prompts;
mod shards;
mod source_times;
mod sources;

use std::net::SocketAddr;

use paddlemount_protocol::{
    fleet::KeptNews,
    identity::{TenantId, WeightsVersion, ZoneId},
    time::Timestamp,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use candidate_pool::CandidatePool;
pub use shards::shard_of;
pub use source_times::SourceTimes;

use super::{
    backends::BackendId,
    load::{BackendLoad, Loads, MIN_SLOWNESS},
    prefixes::{CachedSegment, PrefixIndex, ScopeHash},
    prompt::{CacheScope, Prompt, SegmentId},
};

/// The cost of a back end in another zone, in requests, for services without prompts.
const OTHER_ZONE_REQUESTS: f64 = 1.5;

/// A back end that may get the request.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Its identity.
    pub id: &'a BackendId,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: &'a ZoneId,
    /// The version of the asked model's weights, where the request has a prompt.
    pub weights: Option<WeightsVersion>,
    /// Requests that it works on at once; further ones wait.
    pub slots: u32,
    /// Whether it may be chosen; others only keep parts.
    pub eligible: bool,
    /// Whether its weights are older than the version that requests rather begin on.
    pub outdated: bool,
}

/// A store of kept parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheStore {
    /// The name under which its feed is known.
    pub id: BackendId,
    /// Its address.
    pub address: SocketAddr,
}

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Placement<'a> {
    /// Its prompt, if it has one.
    pub prompt: Option<&'a Prompt>,
    /// The tenant whose cached parts are kept apart, if it is one.
    pub isolated: Option<&'a TenantId>,
    /// The node's own zone.
    pub zone: &'a ZoneId,
    /// A number drawn for the request; breaks ties.
    pub seed: u64,
    /// The store that this prompt's parts belong to, if there is one ([`shard_of`]).
    pub store: Option<&'a CacheStore>,
    /// How many back ends are weighed, drawn for the request, beside the homes of its parts; all where none is given.
    /// Where many nodes choose with the same late knowledge, each must weigh others, or all choose the same one.
    pub sample_size: Option<usize>,
    /// Whether the run's memory is to be copied to another back end as it grows.
    pub replicate: bool,
    /// When it is placed: what back ends have measured is worth less with time.
    pub now: Timestamp,
}

/// The chosen back end.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The back end.
    pub backend: BackendId,
    /// Its address.
    pub address: SocketAddr,
    /// The scope of cached parts, where the request has a prompt.
    pub scope: Option<CacheScope>,
    /// Whom to import the prefix from.
    pub import_from: Option<SocketAddr>,
    /// What that is, where it is believed to keep a part that the back end lacks.
    pub import_source: Option<SourceKind>,
    /// Whom to hand the parts to that nobody kept yet.
    pub save_to: Option<CacheStore>,
    /// The back end that gets a copy of the run's memory as it grows.
    pub copy_to: Option<CopyHolder>,
    /// Tokens that the back end is expected to read, imports weighed.
    pub expected_tokens: u64,
    /// Tokens of the prefix that it is believed to keep.
    pub cached_tokens: u32,
    /// Tokens of the prefix that nobody is believed to keep.
    pub uncached_tokens: u32,
    /// The last shared part of the prompt.
    pub last_shared_segment: Option<SegmentId>,
    /// Whether the back end is where such a part is read first.
    pub is_preferred: bool,
    /// The cost by which it was chosen.
    pub cost: u64,
    /// The number of eligible candidates.
    pub eligible: usize,
}

/// What kind of process a prefix is imported from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceKind {
    /// A store of kept parts.
    Store,
    /// Another engine.
    Engine,
}

/// A back end that holds a copy of a run's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopyHolder {
    /// The back end.
    pub backend: BackendId,
    /// Its address.
    pub address: SocketAddr,
}

/// Chooses back ends, and remembers what that needs.
#[derive(Debug, Default)]
pub struct Chooser {
    /// Work under way.
    pub loads: Loads,
    /// Parts kept.
    pub prefixes: PrefixIndex,
    /// How soon answers begin whose prefix comes from elsewhere.
    pub source_times: SourceTimes,
}

impl Chooser {
    /// A back end is gone with all that it kept.
    pub fn forget(&mut self, backend: &BackendId) {
        self.loads.forget(backend);
        self.prefixes.forget(backend);
    }

    /// What is under way at a back end.
    pub fn load(&self, backend: &BackendId) -> BackendLoad {
        self.loads.of(backend)
    }

    /// A back end has read the shared parts of a prompt. Gives what is news for other nodes.
    pub fn record_prefill(
        &mut self,
        backend: &BackendId,
        scope: &CacheScope,
        prompt: &Prompt,
        now: Timestamp,
    ) -> Vec<KeptNews> {
        let update = |cached: CachedSegment| KeptNews {
            engine: backend.clone(),
            scope: cached.scope.0,
            part: cached.segment.0,
            tokens: cached.tokens,
        };
        self.prefixes.record_prompt(prompt.prompt_tokens, now);
        self.prefixes
            .record_prefill(backend, scope.into(), prompt.shared(), now)
            .into_iter()
            .map(update)
            .collect()
    }

    /// Another node has learned what a back end keeps.
    pub fn apply_gossip(&mut self, update: &KeptNews, now: Timestamp) {
        let cached = CachedSegment {
            scope: ScopeHash(update.scope),
            segment: SegmentId(update.part),
            tokens: update.tokens,
        };
        self.prefixes.set(&update.engine, &cached, now);
    }

    /// A feed told what a back end keeps.
    pub fn apply_feed(&mut self, backend: &BackendId, segments: &[CachedSegment], now: Timestamp) {
        for segment in segments {
            self.prefixes.set(backend, segment, now);
        }
    }

    /// Chooses among the back ends of `field`.
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
            // One of which little or nothing new is known goes first: nothing else would make it known.
            let slowness = self.loads.slowness(candidate.id, median_ms, MIN_SLOWNESS, placement.now);
            ((requests * slowness + distance) * 1_000.0) as u64
        };
        let eligible = candidates.iter().filter(|candidate| candidate.eligible);
        let count = eligible.clone().count();
        let best = eligible.min_by_key(|candidate| (cost(candidate), tie(candidate.id, placement.seed)))?;
        Some(Choice {
            backend: best.id.clone(),
            address: best.address,
            scope: None,
            import_from: None,
            import_source: None,
            save_to: None,
            copy_to: None,
            expected_tokens: 0,
            cached_tokens: 0,
            uncached_tokens: 0,
            last_shared_segment: None,
            is_preferred: false,
            cost: cost(best),
            eligible: count,
        })
    }
}

fn tie(backend: &BackendId, draw: u64) -> u64 {
    xxh3_64_with_seed(backend.as_str().as_bytes(), draw)
}
