//! Chooses the back end of a request.
//!
//! For prompts the measure is work in tokens: what a back end has yet to read, plus what it would have to read for
//! this request. A prefix that another back end holds is imported at a small part of that work, so load is balanced
//! first and affinity only breaks near ties. Where nothing is known of a prefix, all nodes take the same back end for
//! its likely holder (rendezvous hashing), without a word between them.
//!
//! For other services the measure is the number of requests at the back end, weighed by how long it takes.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use paddlemount_protocol::{
    identity::{WeightsVersion, ZoneId},
    time::Timestamp,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    backends::BackendId,
    prompt::{CacheScope, Part, PartId, Prompt},
};

/// The cost of importing a token, in thousandths of the cost of reading it.
const IMPORT_PER_MILLE: u64 = 80;
/// The fixed cost of an import, in tokens read.
const IMPORT_FIXED_TOKENS: u64 = 60;
/// Shared tokens below which an import doesn't pay.
pub const IMPORT_MINIMUM_TOKENS: u32 = 512;
/// The cost of a request that is being answered, in tokens read.
const RUNNING_TOKENS: u64 = 40;
/// The likelihood in thousandths that a prefix's home holds it, where nothing is known.
const HOME_HOLDS_PER_MILLE: u64 = 500;
/// The cost of a back end in another zone, in requests, for services without prompts.
const OTHER_ZONE_REQUESTS: f64 = 1.5;
/// The same for prompts, in tokens.
const OTHER_ZONE_TOKENS: u64 = 120;
/// Parts that are remembered at most; the older half is then forgotten.
const MOST_PARTS: usize = 4_096;
/// Back ends remembered for one part.
const MOST_HOLDERS: usize = 3;
/// The weight of a new measurement in a moving average.
const AVERAGE_WEIGHT: f64 = 0.2;
/// Measurements below which an average says nothing.
const FEWEST_MEASUREMENTS: u32 = 5;
/// Bounds of the factor by which a slow back end's cost is raised or lowered.
const SLOWNESS_BOUNDS: (f64, f64) = (0.7, 8.0);

/// What one node has under way at one back end.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BackendLoad {
    /// Requests not yet ended.
    pub requests: u32,
    /// Tokens that requests without a first event have to read.
    pub unread_tokens: u64,
    /// The moving average of the time to the first byte of an answer, in milliseconds.
    average_ms: f64,
    measurements: u32,
}

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
    /// Whether it may be chosen; others only hold prefixes.
    pub eligible: bool,
}

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Placement<'a> {
    /// Its prompt, if it has one.
    pub prompt: Option<&'a Prompt>,
    /// The tenant whose cached parts are kept apart, if it is one.
    pub isolated: Option<&'a paddlemount_protocol::identity::TenantId>,
    /// The node's own zone.
    pub zone: &'a ZoneId,
    /// A number drawn for the request; breaks ties.
    pub draw: u64,
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
    /// Tokens that the back end is expected to read.
    pub expected_tokens: u64,
    /// Tokens of the prefix that it is believed to hold.
    pub held_tokens: u32,
    /// The cost by which it was chosen.
    pub cost: u64,
    /// The number of eligible candidates.
    pub eligible: usize,
}

#[derive(Debug, Default)]
struct Holders {
    backends: Vec<BackendId>,
    used_at: Timestamp,
}

/// Chooses back ends, and remembers what that needs.
#[derive(Debug, Default)]
pub struct Chooser {
    loads: BTreeMap<BackendId, BackendLoad>,
    holders: HashMap<(u64, PartId), Holders>,
}

impl Chooser {
    /// A request was sent.
    pub fn started(&mut self, backend: &BackendId, tokens: u64) {
        let load = self.loads.entry(backend.clone()).or_default();
        load.requests += 1;
        load.unread_tokens += tokens;
    }

    /// The answer's first event has arrived, or the request has ended before it.
    pub fn read(&mut self, backend: &BackendId, tokens: u64) {
        if let Some(load) = self.loads.get_mut(backend) {
            load.unread_tokens = load.unread_tokens.saturating_sub(tokens);
        }
    }

    /// The request has ended.
    pub fn ended(&mut self, backend: &BackendId) {
        if let Some(load) = self.loads.get_mut(backend) {
            load.requests = load.requests.saturating_sub(1);
        }
    }

    /// An answer began after `milliseconds`.
    pub fn measured(&mut self, backend: &BackendId, milliseconds: f64) {
        let load = self.loads.entry(backend.clone()).or_default();
        load.measurements += 1;
        let weight = if load.measurements == 1 { 1.0 } else { AVERAGE_WEIGHT };
        load.average_ms += (milliseconds - load.average_ms) * weight;
    }

    /// What is under way at a back end.
    pub fn load(&self, backend: &BackendId) -> BackendLoad {
        self.loads.get(backend).copied().unwrap_or_default()
    }

    /// A back end is gone with all that it held.
    pub fn forget(&mut self, backend: &BackendId) {
        self.loads.remove(backend);
        self.forget_parts(backend);
    }

    /// A back end holds nothing any more.
    pub fn forget_parts(&mut self, backend: &BackendId) {
        for holders in self.holders.values_mut() {
            holders.backends.retain(|holder| holder != backend);
        }
        self.holders.retain(|_, holders| !holders.backends.is_empty());
    }

    /// A back end has read the shared parts of a prompt.
    pub fn learned(&mut self, backend: &BackendId, scope: &CacheScope, prompt: &Prompt, now: Timestamp) {
        let scope = scope_hash(scope);
        for part in prompt.shared() {
            let holders = self.holders.entry((scope, part.id)).or_default();
            holders.used_at = now;
            if holders.backends.contains(backend) {
                continue;
            }
            if holders.backends.len() >= MOST_HOLDERS {
                holders.backends.remove(0);
            }
            holders.backends.push(backend.clone());
        }
        if self.holders.len() > MOST_PARTS {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let mut ages: Vec<Timestamp> = self.holders.values().map(|holders| holders.used_at).collect();
        ages.sort_unstable();
        let middle = ages[ages.len() / 2];
        self.holders.retain(|_, holders| holders.used_at > middle);
    }

    /// Chooses among `candidates`.
    pub fn choose(&self, placement: Placement<'_>, candidates: &[Candidate<'_>]) -> Option<Choice> {
        match placement.prompt {
            Some(prompt) => self.choose_for_prompt(placement, prompt, candidates),
            None => self.choose_by_requests(placement, candidates),
        }
    }

    fn choose_by_requests(&self, placement: Placement<'_>, candidates: &[Candidate<'_>]) -> Option<Choice> {
        let usual_ms = self.usual_ms(candidates);
        let cost = |candidate: &Candidate<'_>| {
            let requests = f64::from(self.load(candidate.id).requests) + 1.0;
            let distance = if candidate.zone == placement.zone { 0.0 } else { OTHER_ZONE_REQUESTS };
            ((requests * self.slowness(candidate.id, usual_ms) + distance) * 1_000.0) as u64
        };
        let eligible = candidates.iter().filter(|candidate| candidate.eligible);
        let count = eligible.clone().count();
        let best = eligible.min_by_key(|candidate| (cost(candidate), tie(candidate.id, placement.draw)))?;
        Some(Choice {
            backend: best.id.clone(),
            address: best.address,
            scope: None,
            import_from: None,
            expected_tokens: 0,
            held_tokens: 0,
            cost: cost(best),
            eligible: count,
        })
    }

    fn choose_for_prompt(
        &self,
        placement: Placement<'_>,
        prompt: &Prompt,
        candidates: &[Candidate<'_>],
    ) -> Option<Choice> {
        let home = home(placement, prompt, candidates);
        let usual_ms = self.usual_ms(candidates);
        let mut best: Option<(u64, u64, Choice)> = None;
        let eligible = candidates.iter().filter(|candidate| candidate.eligible).count();
        for candidate in candidates.iter().filter(|candidate| candidate.eligible) {
            let Some(weights) = candidate.weights else { continue };
            let scope =
                CacheScope { model: prompt.model.clone(), weights, tenant: placement.isolated.cloned() };
            let mut choice = self.weigh(candidate, scope, prompt, home, candidates);
            let load = self.load(candidate.id);
            let waiting = load.unread_tokens + u64::from(load.requests) * RUNNING_TOKENS;
            let distance = if candidate.zone == placement.zone { 0 } else { OTHER_ZONE_TOKENS };
            let work = (waiting + choice.cost) as f64 * self.slowness(candidate.id, usual_ms);
            choice.cost = work as u64 + distance;
            choice.eligible = eligible;
            let tie = if home == Some(candidate.id) { 0 } else { tie(candidate.id, placement.draw) | 1 };
            if best.as_ref().is_none_or(|(cost, order, _)| (choice.cost, tie) < (*cost, *order)) {
                best = Some((choice.cost, tie, choice));
            }
        }
        best.map(|(_, _, choice)| choice)
    }

    /// What the request would cost at `candidate` itself, and where its prefix would come from.
    fn weigh(
        &self,
        candidate: &Candidate<'_>,
        scope: CacheScope,
        prompt: &Prompt,
        home: Option<&BackendId>,
        candidates: &[Candidate<'_>],
    ) -> Choice {
        let hash = scope_hash(&scope);
        let shared = prompt.shared_tokens();
        let own = u64::from(prompt.prompt_tokens.saturating_sub(shared));
        let held = self.held_tokens(hash, candidate.id, prompt.shared());
        let missing = u64::from(shared - held);
        let is_home = home == Some(candidate.id);
        let source = (missing >= u64::from(IMPORT_MINIMUM_TOKENS))
            .then(|| self.source(hash, candidate, prompt, home, candidates))
            .flatten();
        let (import_from, extra) = match source {
            Some((address, source_held)) => {
                let imported = u64::from(source_held.saturating_sub(held));
                (Some(address), import_cost(imported) + (missing - imported.min(missing)))
            }
            None if is_home => (None, missing * (1_000 - HOME_HOLDS_PER_MILLE) / 1_000),
            None => (None, missing),
        };
        let cost = own + extra;
        Choice {
            backend: candidate.id.clone(),
            address: candidate.address,
            scope: Some(scope),
            import_from,
            expected_tokens: cost,
            held_tokens: held,
            cost,
            eligible: 0,
        }
    }

    /// Who is believed to hold more of the prefix under the same weights: someone who has read it, else its home.
    fn source(
        &self,
        scope: u64,
        candidate: &Candidate<'_>,
        prompt: &Prompt,
        home: Option<&BackendId>,
        candidates: &[Candidate<'_>],
    ) -> Option<(SocketAddr, u32)> {
        let others = || {
            candidates.iter().filter(|other| other.id != candidate.id && other.weights == candidate.weights)
        };
        let known = others()
            .map(|other| (other, self.held_tokens(scope, other.id, prompt.shared())))
            .filter(|(_, held)| *held >= IMPORT_MINIMUM_TOKENS)
            .max_by_key(|(other, held)| (*held, other.zone == candidate.zone, self.load(other.id).requests));
        if let Some((other, held)) = known {
            return Some((other.address, held));
        }
        let other = others().find(|other| home == Some(other.id))?;
        let likely = u64::from(prompt.shared_tokens()) * HOME_HOLDS_PER_MILLE / 1_000;
        Some((other.address, likely as u32))
    }

    /// Tokens of the longest run of parts, from the first on, that a back end is believed to hold.
    fn held_tokens(&self, scope: u64, backend: &BackendId, parts: &[Part]) -> u32 {
        let held = |part: &&Part| {
            self.holders.get(&(scope, part.id)).is_some_and(|holders| holders.backends.contains(backend))
        };
        parts.iter().take_while(held).map(|part| part.tokens).sum()
    }

    fn usual_ms(&self, candidates: &[Candidate<'_>]) -> f64 {
        let mut averages: Vec<f64> = candidates
            .iter()
            .map(|candidate| self.load(candidate.id))
            .filter(|load| load.measurements >= FEWEST_MEASUREMENTS)
            .map(|load| load.average_ms)
            .collect();
        averages.sort_by(f64::total_cmp);
        averages.get(averages.len() / 2).copied().unwrap_or(0.0)
    }

    fn slowness(&self, backend: &BackendId, usual_ms: f64) -> f64 {
        let load = self.load(backend);
        if usual_ms <= 0.0 || load.measurements < FEWEST_MEASUREMENTS {
            return 1.0;
        }
        (load.average_ms / usual_ms).clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1)
    }
}

/// The back end that all nodes take for the likely holder of a prompt's prefix. Small prefixes have one in each zone.
fn home<'a>(
    placement: Placement<'_>,
    prompt: &Prompt,
    candidates: &[Candidate<'a>],
) -> Option<&'a BackendId> {
    let deepest = prompt.shared().last()?;
    let in_zone = |candidate: &&Candidate<'a>| {
        prompt.shared_tokens() >= IMPORT_MINIMUM_TOKENS || candidate.zone == placement.zone
    };
    let rank = |candidate: &&Candidate<'a>| xxh3_64_with_seed(candidate.id.as_str().as_bytes(), deepest.id.0);
    let near = candidates.iter().filter(in_zone).max_by_key(rank);
    near.or_else(|| candidates.iter().max_by_key(rank)).map(|candidate| candidate.id)
}

fn import_cost(tokens: u64) -> u64 {
    IMPORT_FIXED_TOKENS + tokens * IMPORT_PER_MILLE / 1_000
}

fn scope_hash(scope: &CacheScope) -> u64 {
    xxh3_64_with_seed(scope.text().as_bytes(), 0)
}

fn tie(backend: &BackendId, draw: u64) -> u64 {
    xxh3_64_with_seed(backend.as_str().as_bytes(), draw)
}
