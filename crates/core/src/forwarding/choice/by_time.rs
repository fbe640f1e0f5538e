//! Chooses by the forecast time to the first event, and by the time that the request costs others.
//!
//! A long prompt goes to the first of its preferred engines that is forecast to begin in time (consistent
//! hashing with bounded loads), so that its prefix is read at few engines. Other prompts go to the best of a
//! small sample in the node's own zone. Loads of other nodes are known late: an engine gets at most as many
//! times the mean as the sample is large, whatever the nodes believe of it.

use std::time::Duration;

use paddlemount_protocol::identity::WeightsVersion;

use super::{
    Candidate, Choice, Chooser, Placement,
    candidate_pool::{self, CandidatePool},
    prompts::WeightsGroup,
    tie,
};
use crate::forwarding::{
    forecast::{EngineWorkload, RequestWork, Timing, time_to_first_event},
    prompt::Prompt,
    ranks::{rank, rank_for},
};

/// Engines that are compared for a prompt that is not long.
const SHORT_SAMPLE: usize = 3;
/// Preferred engines of a long prompt's prefix.
const MAX_HOMES: usize = 3;
/// Engines with the prefix cached that are compared for a long prompt.
const MAX_COMPARED_HOLDERS: usize = 4;
/// The weight of a second of lateness relative to a second of engine time: a late start fails its caller,
/// while engine time only may delay others.
const LATE_WEIGHT: f64 = 4.0;
/// About the share of the requests at an engine that wait for their first event. Reading delays these; others
/// have their first event and only get later ones further apart.
const WAITING_SHARE: f64 = 0.25;
/// The cost of another zone: a round trip.
const OTHER_ZONE: Duration = Duration::from_millis(2);

impl Timing {
    fn is_long(&self, prompt: &Prompt) -> bool {
        prompt.prompt_tokens >= self.long_prompts.min_tokens
    }

    /// The latest forecast start with which a preferred engine is taken: spread over the second half of the
    /// target by the request's draw, so that load moves to the next engine gradually.
    fn accepted_start(&self, draw: u64) -> Duration {
        let fraction = rank_for(draw, 2) as f64 / u64::MAX as f64;
        self.target.mul_f64(0.5 + fraction / 2.0)
    }
}

/// A candidate with its forecast and costs.
struct Evaluated {
    choice: Choice,
    forecast: Duration,
    /// The cost in seconds of callers' and engines' time.
    cost: f64,
    outdated: bool,
}

/// The inputs of one choice.
#[derive(Clone, Copy)]
struct Request<'a> {
    placement: Placement<'a>,
    timing: &'a Timing,
    prompt: &'a Prompt,
}

impl Chooser {
    /// Chooses an engine by time; `None` if no engine was found, which a search of the pool may still find.
    pub(super) fn choose_by_time(
        &self,
        placement: Placement<'_>,
        timing: &Timing,
        prompt: &Prompt,
        pool: &dyn CandidatePool,
    ) -> Option<Choice> {
        let sampled = sample(pool, placement);
        let request = Request { placement, timing, prompt };
        let evaluated = match timing.is_long(prompt) {
            true => self.choose_for_long(request, &sampled, pool),
            false => self.choose_for_short(request, &sampled, pool),
        };
        evaluated.map(|evaluated| evaluated.choice)
    }

    fn choose_for_long(
        &self,
        request: Request<'_>,
        sampled: &[Candidate<'_>],
        pool: &dyn CandidatePool,
    ) -> Option<Evaluated> {
        let Request { placement, timing, prompt } = request;
        let mut groups = self.groups(placement, prompt, sampled, pool);
        // Requests prefer the newest weights, unless a rollout makes the older ones equal.
        groups.sort_by_key(|group| std::cmp::Reverse(group.weights));
        let key = prompt.shared().last().map(|segment| segment.id.0);
        let accepted_start = timing.accepted_start(placement.seed);
        let mut homes = Vec::new();
        for group in &mut groups {
            let Some(key) = key else { break };
            let engines = long_prompt_homes(pool, key, group.weights, timing.long_prompts.share);
            group.preferred = engines.first().cloned();
            homes.extend(engines);
        }
        let mut all = self.evaluate_all(request, &homes, &groups);
        let in_time = |home: &Evaluated| !home.outdated && home.forecast <= accepted_start;
        if let Some(home) = all.iter().position(in_time) {
            let mut home = all.swap_remove(home);
            self.complete(&mut home, request, &groups, sampled);
            return Some(home);
        }
        let holders = groups.iter().flat_map(|group| &group.holders);
        let holders = holders.map(|holder| &holder.candidate).filter(|holder| holder.eligible);
        let mut others: Vec<Candidate<'_>> = holders.take(MAX_COMPARED_HOLDERS).cloned().collect();
        others.extend(sampled.iter().cloned());
        all.extend(self.evaluate_all(request, &others, &groups));
        let mut best = cheapest(all, placement.seed)?;
        self.complete(&mut best, request, &groups, sampled);
        Some(best)
    }

    fn choose_for_short(
        &self,
        request: Request<'_>,
        sampled: &[Candidate<'_>],
        pool: &dyn CandidatePool,
    ) -> Option<Evaluated> {
        let Request { placement, timing, prompt } = request;
        let groups = self.groups(placement, prompt, sampled, pool);
        let (own_zone, other_zones): (Vec<_>, Vec<_>) =
            sampled.iter().cloned().partition(|candidate| candidate.zone == placement.zone);
        let mut nearest = if own_zone.is_empty() { other_zones.clone() } else { own_zone };
        nearest.truncate(short_sample(placement));
        // A prefix that takes longer to read than a request needs to start is worth going to its engines.
        if timing.rates.reading(u64::from(prompt.shared_tokens())) > timing.rates.overhead {
            nearest.extend(groups.iter().filter_map(|group| group.preferred.clone()));
        }
        let mut all = self.evaluate_all(request, &nearest, &groups);
        if all.iter().all(|evaluated| evaluated.outdated || evaluated.forecast > timing.target) {
            all.extend(self.evaluate_all(request, &other_zones, &groups));
        }
        let mut best = cheapest(all, placement.seed)?;
        self.complete(&mut best, request, &groups, sampled);
        Some(best)
    }

    fn evaluate_all(
        &self,
        request: Request<'_>,
        candidates: &[Candidate<'_>],
        groups: &[WeightsGroup<'_>],
    ) -> Vec<Evaluated> {
        let evaluate = |candidate: &Candidate<'_>| {
            let group = groups.iter().find(|group| Some(group.weights) == candidate.weights)?;
            Some(self.evaluate_by_time(request, candidate, group, candidates.len()))
        };
        candidates.iter().filter_map(evaluate).collect()
    }

    fn evaluate_by_time(
        &self,
        request: Request<'_>,
        candidate: &Candidate<'_>,
        group: &WeightsGroup<'_>,
        eligible: usize,
    ) -> Evaluated {
        let Request { placement, timing, prompt } = request;
        let mut choice = self.evaluate(candidate, group, placement, prompt);
        choice.workload = self.workload(candidate, placement);
        choice.work = RequestWork { prefill_tokens: choice.expected_tokens, transfer: Duration::ZERO };
        choice.eligible = eligible;
        let forecast = time_to_first_event(&timing.rates, candidate.slowness(), choice.workload, choice.work);
        let late = forecast.saturating_sub(timing.target).as_secs_f64();
        let delayed = 1.0 + WAITING_SHARE * f64::from(choice.workload.requests);
        let reading = timing.rates.reading(choice.work.prefill_tokens).as_secs_f64();
        let work = reading * candidate.slowness() * delayed;
        let is_reserved =
            !timing.is_long(prompt) && is_for_long_prompts(candidate, timing.long_prompts.share);
        let reserved = if is_reserved { timing.long_prompts.delay } else { Duration::ZERO };
        let distance = if candidate.zone == placement.zone { Duration::ZERO } else { OTHER_ZONE };
        // Up to date weights are worth a start that is late by the whole target.
        let outdated = if candidate.outdated { timing.target } else { Duration::ZERO };
        let waiting = (forecast + reserved + distance + outdated).as_secs_f64();
        let cost = LATE_WEIGHT * late + waiting + work;
        choice.cost = (cost * 1e6) as u64;
        Evaluated { choice, forecast, cost, outdated: candidate.outdated }
    }

    /// The known work at an engine. What other nodes report is some hundred milliseconds old: the engine has
    /// prefilled a part of it since.
    pub(super) fn workload(&self, candidate: &Candidate<'_>, placement: Placement<'_>) -> EngineWorkload {
        let per_token = placement.timing.map(|timing| timing.rates.per_token.mul_f64(candidate.slowness()));
        let others = self.loads.pending_of_others(candidate.id, per_token, placement.now);
        EngineWorkload {
            requests: self.loads.total_requests(candidate.id),
            slots: candidate.slots,
            pending_prefill_tokens: self.load(candidate.id).pending_prefill_tokens + others,
        }
    }

    fn complete(
        &self,
        chosen: &mut Evaluated,
        request: Request<'_>,
        groups: &[WeightsGroup<'_>],
        sampled: &[Candidate<'_>],
    ) {
        self.add_sources(&mut chosen.choice, request.placement, groups, sampled);
    }
}

/// The cheapest candidate.
fn cheapest(all: Vec<Evaluated>, draw: u64) -> Option<Evaluated> {
    let order = |left: &Evaluated, right: &Evaluated| {
        let by_tie = || tie(&left.choice.backend, draw).cmp(&tie(&right.choice.backend, draw));
        left.cost.total_cmp(&right.cost).then_with(by_tie)
    };
    all.into_iter().min_by(order)
}

/// The number of engines compared for a prompt that is not long: all of them where this node sees most of
/// the load.
fn short_sample(placement: Placement<'_>) -> usize {
    placement.sample_size.map_or(usize::MAX, |_| SHORT_SAMPLE)
}

/// The engines that are compared: in a large fleet, as many in the own zone as in others.
fn sample<'a>(pool: &'a dyn CandidatePool, placement: Placement<'_>) -> Vec<Candidate<'a>> {
    let mut candidates = match placement.sample_size {
        Some(_) => candidate_pool::draw_by_zone(pool, placement.seed, SHORT_SAMPLE, placement.zone),
        None => candidate_pool::sample(pool, placement),
    };
    candidates.retain(|candidate| candidate.eligible && candidate.weights.is_some());
    candidates
}

/// Whether an engine is one of those preferred for long prompts: its rank lies within their share, so that a
/// change of the pool moves no other engine.
fn is_for_long_prompts(candidate: &Candidate<'_>, share: f64) -> bool {
    (rank(candidate.id) as f64) < share * u64::MAX as f64
}

/// The preferred engines of a prefix, best first: those for long prompts, or any if none of these is eligible.
fn long_prompt_homes<'a>(
    pool: &'a dyn CandidatePool,
    key: u64,
    weights: WeightsVersion,
    share: f64,
) -> Vec<Candidate<'a>> {
    let max_rank = (share * u64::MAX as f64) as u64;
    let homes = candidate_pool::preferred_within(pool, key, weights, max_rank);
    let homes: Vec<Candidate<'a>> = homes.take(MAX_HOMES).collect();
    if !homes.is_empty() {
        return homes;
    }
    candidate_pool::preferred_within(pool, key, weights, u64::MAX).take(MAX_HOMES).collect()
}
