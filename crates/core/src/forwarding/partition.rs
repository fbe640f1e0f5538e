//! Keeps long prompts away from the back ends that answer short ones.
//!
//! An engine reads a prompt in pieces between the tokens of others, so that one long prompt makes the streams beside
//! it pause. Where the routes of a service differ much in how much they have read, the back ends are divided in
//! proportion to the tokens of either side. All nodes see the same mix and the same back ends, and divide them the
//! same way without a word between them. The division is a preference: under load it gives way.

use std::collections::BTreeMap;

use paddlemount_protocol::identity::ServiceId;
use xxhash_rust::xxh3::xxh3_64;

use super::{backends::BackendId, prompt::Prompt};

/// What the writing of a token occupies of an engine that works on one request at a time, in tokens read: a step takes
/// some 5 ms, in which some 200 tokens are read, and far fewer tokens than a caller allows are written.
const WRITTEN_TOKEN: u32 = 40;
/// The weight of a new request in a route's average.
const AVERAGE_WEIGHT: f64 = 0.05;
/// Requests of a service below which nothing is divided.
const FEWEST_REQUESTS: u32 = 12;
/// How far above its service's mean a route's prompts must lie to count as long.
const LONG_FACTOR: f64 = 1.25;
/// The share of a service's requests by which old ones are forgotten.
const DECAY: f64 = 0.995;

#[derive(Clone, Copy, Debug, Default)]
struct RouteMix {
    average_tokens: f64,
    requests: f64,
}

#[derive(Clone, Debug, Default)]
struct ServiceMix {
    routes: BTreeMap<String, RouteMix>,
    requests: u32,
}

/// What a request occupies of an engine with so many slots, in tokens read: its own part of the prompt is read, and its
/// answer takes a slot while it is written.
pub fn work_of(prompt: &Prompt, slots: u32) -> u32 {
    let own = prompt.prompt_tokens.saturating_sub(prompt.shared_tokens());
    own.saturating_add(prompt.output_tokens.saturating_mul(WRITTEN_TOKEN) / slots.max(1))
}

/// The side of a division.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Long prompts.
    Long,
    /// Short ones.
    Short,
}

/// What one node has seen of the prompts of each service.
#[derive(Clone, Debug, Default)]
pub struct Partition {
    services: BTreeMap<ServiceId, ServiceMix>,
}

impl Partition {
    /// A request of `route` occupies an engine for as long as `tokens` take to be read.
    pub fn seen(&mut self, service: &ServiceId, route: &str, tokens: u32) {
        let mix = self.services.entry(service.clone()).or_default();
        mix.requests = mix.requests.saturating_add(1);
        for route in mix.routes.values_mut() {
            route.requests *= DECAY;
        }
        if !mix.routes.contains_key(route) {
            mix.routes
                .insert(route.to_owned(), RouteMix { average_tokens: f64::from(tokens), requests: 0.0 });
        }
        if let Some(route) = mix.routes.get_mut(route) {
            route.requests += 1.0;
            route.average_tokens += (f64::from(tokens) - route.average_tokens) * AVERAGE_WEIGHT;
        }
    }

    /// The side on which a route's requests are, and the share of the back ends that long prompts get. Nothing where
    /// the service's routes are alike or too little is known.
    pub fn side(&self, service: &ServiceId, route: &str) -> Option<(Side, f64)> {
        let mix = self.services.get(service)?;
        if mix.requests < FEWEST_REQUESTS {
            return None;
        }
        let requests: f64 = mix.routes.values().map(|route| route.requests).sum();
        let tokens: f64 = mix.routes.values().map(|route| route.requests * route.average_tokens).sum();
        let mean = tokens / requests.max(1.0);
        let is_long = |route: &RouteMix| route.average_tokens > mean * LONG_FACTOR;
        let long: f64 = mix
            .routes
            .values()
            .filter(|route| is_long(route))
            .map(|route| route.requests * route.average_tokens)
            .sum();
        if long <= 0.0 || tokens <= 0.0 {
            return None;
        }
        let side = if mix.routes.get(route).is_some_and(is_long) { Side::Long } else { Side::Short };
        Some((side, long / tokens))
    }
}

/// Divides `backends`: true for those that take long prompts first. Each side gets at least one where there are two.
pub fn takes_long<'a>(backends: impl Iterator<Item = &'a BackendId>, share: f64) -> Vec<bool> {
    let ranks: Vec<u64> = backends.map(|id| xxh3_64(id.as_str().as_bytes())).collect();
    if ranks.len() < 2 {
        return vec![true; ranks.len()];
    }
    let long = ((ranks.len() as f64 * share).round() as usize).clamp(1, ranks.len() - 1);
    let mut sorted = ranks.clone();
    sorted.sort_unstable();
    let last = sorted[long - 1];
    ranks.into_iter().map(|rank| rank <= last).collect()
}
