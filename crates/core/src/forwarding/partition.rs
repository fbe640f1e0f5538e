//! Keeps long prompts away from the back ends that answer short ones.
//!
//! An engine reads a prompt in pieces between the tokens of others, so that one long prompt makes the streams beside
//! it pause. Where the routes of a service differ much in how much they have read, the back ends are divided in
//! proportion to the tokens of either side. A node of hundreds sees too few requests to know the mix by itself, and
//! nodes that divide differently put both kinds on the same engines: so nodes add up what they have seen, and all
//! divide by the sum. The division is a preference: under load it gives way.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::{
    fleet::RouteWork,
    identity::{NodeId, ServiceId},
    time::Timestamp,
};

use super::{backends::BackendId, prompt::Prompt, ranks::rank};

/// What the writing of a token occupies of an engine that works on one request at a time, in tokens read: a step takes
/// some 5 ms, in which some 200 tokens are read, and other requests share the step.
const WRITTEN_TOKEN: u32 = 40;
/// The time in which what was seen fades to a third.
const FADES: Duration = Duration::from_secs(10);
/// How long what another node has told is used: many reports, and most changes of the node above.
const FRESH: Duration = Duration::from_secs(3);
/// Requests of a service below which nothing is divided.
const FEWEST_REQUESTS: f64 = 12.0;
/// How far above its service's mean a route's prompts must lie to count as long.
const LONG_FACTOR: f64 = 1.25;

/// What this node has seen of one route.
#[derive(Clone, Copy, Debug)]
struct Seen {
    requests: f64,
    read_tokens: f64,
    work_tokens: f64,
    at: Timestamp,
}

impl Seen {
    fn faded(self, now: Timestamp) -> Self {
        let elapsed = now.saturating_since(self.at).as_secs_f64();
        let left = (-elapsed / FADES.as_secs_f64()).exp();
        Self {
            requests: self.requests * left,
            read_tokens: self.read_tokens * left,
            work_tokens: self.work_tokens * left,
            at: now,
        }
    }
}

/// What another node has told, and when.
#[derive(Clone, Debug)]
struct Told {
    mix: Vec<RouteWork>,
    at: Timestamp,
}

impl Told {
    fn is_fresh(&self, now: Timestamp) -> bool {
        now.saturating_since(self.at) < FRESH
    }
}

/// What a request asks of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestWork {
    /// Tokens of its own part of the prompt, which the engine has to read.
    pub read_tokens: u32,
    /// What it occupies of the engine, in tokens read: its answer takes a slot while it is written.
    pub work_tokens: u32,
}

/// What a request asks of an engine with so many slots that is expected to read `expected_tokens`: the shared parts too
/// where they are not kept, as after new weights.
pub fn work_of(prompt: &Prompt, slots: u32, expected_tokens: u64) -> RequestWork {
    let read_tokens = prompt.prompt_tokens.saturating_sub(prompt.shared_tokens());
    let written = prompt.output_tokens.saturating_mul(WRITTEN_TOKEN) / slots.max(1);
    let expected = u32::try_from(expected_tokens).unwrap_or(u32::MAX).min(prompt.prompt_tokens);
    RequestWork { read_tokens, work_tokens: expected.max(read_tokens).saturating_add(written) }
}

/// The side of a division.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Long prompts.
    Long,
    /// Short ones.
    Short,
}

/// What nodes have seen of the prompts of each service.
#[derive(Clone, Debug, Default)]
pub struct Partition {
    seen: BTreeMap<(ServiceId, String), Seen>,
    below: BTreeMap<NodeId, Told>,
    above: Option<Told>,
}

impl Partition {
    /// A request of `route` asks so much of an engine.
    pub fn seen(&mut self, service: &ServiceId, route: &str, work: RequestWork, now: Timestamp) {
        let nothing = Seen { requests: 0.0, read_tokens: 0.0, work_tokens: 0.0, at: now };
        let seen = self.seen.entry((service.clone(), route.to_owned())).or_insert(nothing);
        let faded = seen.faded(now);
        *seen = Seen {
            requests: faded.requests + 1.0,
            read_tokens: faded.read_tokens + f64::from(work.read_tokens),
            work_tokens: faded.work_tokens + f64::from(work.work_tokens),
            at: now,
        };
    }

    /// A node that reports to this one has told what it and those below it have seen.
    pub fn reported(&mut self, node: NodeId, mix: Vec<RouteWork>, now: Timestamp) {
        self.below.insert(node, Told { mix, at: now });
        self.below.retain(|_, told| told.is_fresh(now));
    }

    /// The node above has told what all nodes have seen.
    pub fn told(&mut self, mix: Vec<RouteWork>, now: Timestamp) {
        self.above = (!mix.is_empty()).then_some(Told { mix, at: now });
    }

    /// What this node and those below it have seen.
    pub fn seen_below(&self, now: Timestamp) -> Vec<RouteWork> {
        let mut sum: BTreeMap<(ServiceId, String), RouteWork> = BTreeMap::new();
        let own = self.seen.iter().map(|((service, route), seen)| {
            let Seen { requests, read_tokens, work_tokens, .. } = seen.faded(now);
            RouteWork { service: service.clone(), route: route.clone(), requests, read_tokens, work_tokens }
        });
        let told = self.below.values().filter(|told| told.is_fresh(now));
        for work in own.chain(told.flat_map(|told| told.mix.iter().cloned())) {
            let key = (work.service.clone(), work.route.clone());
            match sum.get_mut(&key) {
                Some(known) => {
                    known.requests += work.requests;
                    known.read_tokens += work.read_tokens;
                    known.work_tokens += work.work_tokens;
                }
                None => {
                    sum.insert(key, work);
                }
            }
        }
        sum.into_values().collect()
    }

    /// What all nodes have seen, as far as this one has been told.
    pub fn seen_by_all(&self, now: Timestamp) -> Vec<RouteWork> {
        match &self.above {
            Some(above) if above.is_fresh(now) => above.mix.clone(),
            _ => self.seen_below(now),
        }
    }

    /// The side on which a route's requests are, and the share of the back ends that long prompts get. Nothing where
    /// the service's routes are alike or too little is known.
    pub fn side(&self, service: &ServiceId, route: &str, now: Timestamp) -> Option<(Side, f64)> {
        let all = self.seen_by_all(now);
        let of_service: Vec<&RouteWork> = all.iter().filter(|work| work.service == *service).collect();
        let total = |tokens: fn(&RouteWork) -> f64| of_service.iter().map(|work| tokens(work)).sum::<f64>();
        let (requests, work_tokens) = (total(|work| work.requests), total(|work| work.work_tokens));
        if requests < FEWEST_REQUESTS || work_tokens <= 0.0 {
            return None;
        }
        let mean_read = total(|work| work.read_tokens) / requests;
        let is_long = |work: &RouteWork| work.read_tokens > mean_read * LONG_FACTOR * work.requests;
        let long = of_service.iter().filter(|work| is_long(work)).map(|work| work.work_tokens).sum::<f64>();
        if long <= 0.0 {
            return None;
        }
        let asked = of_service.iter().find(|work| work.route == route);
        let side = if asked.is_some_and(|work| is_long(work)) { Side::Long } else { Side::Short };
        Some((side, long / work_tokens))
    }
}

/// Divides `backends`: true for those that take long prompts first. Each side gets at least one where there are two.
pub fn takes_long<'a>(backends: impl Iterator<Item = &'a BackendId>, share: f64) -> Vec<bool> {
    let ranks: Vec<u64> = backends.map(rank).collect();
    if ranks.len() < 2 {
        return vec![true; ranks.len()];
    }
    let long = ((ranks.len() as f64 * share).round() as usize).clamp(1, ranks.len() - 1);
    let mut sorted = ranks.clone();
    sorted.sort_unstable();
    let last = sorted[long - 1];
    ranks.into_iter().map(|rank| rank <= last).collect()
}
