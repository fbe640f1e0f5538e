//! Describes the back ends of a service to the chooser, as a request needs them.

use paddlemount_core::{
    forwarding::{
        announcements::limits::Opening,
        backends::{Backend, BackendId, BackendState},
        choice::{Candidate, CandidatePool, Choice, Placement, shard_of},
        even_share::even_share,
        pool::Pool,
        prompt::Prompt,
        ranks::{rank, rank_for},
        rollout::prefers,
    },
    health::Availability,
};
use paddlemount_protocol::{
    identity::{ModelId, ServiceId, TenantId, WeightsVersion, ZoneId},
    time::Timestamp,
};

use crate::node_state::{FULL_SCAN_MAX_NODES, NodeCount, NodeState};

/// Connections to a back end that a node may have at least while it does not know how many nodes there are.
const MIN_CONNECTIONS_UNCOUNTED: u32 = 6;
/// Back ends that are weighed for a request at least.
const MIN_CONSIDERED: usize = 6;
/// Back ends that are weighed for a request at most, where few of many are: further ones are hardly better than the best
/// of these, and each costs time.
const MAX_CONSIDERED: usize = 24;

/// What is asked of [`crate::node::Node::choose_backend`].
#[derive(Clone, Copy)]
pub struct RouteRequest<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// The prompt, if any.
    pub prompt: Option<&'a Prompt>,
    /// The isolated tenant, if it is one.
    pub isolated: Option<&'a TenantId>,
    /// Whether the run's memory is to be copied as it grows, where the engines can do that.
    pub copied: bool,
    /// Whether only back ends against which nothing speaks may be chosen.
    pub healthy_only: bool,
    /// Back ends that have been tried.
    pub tried: &'a [BackendId],
    /// A number drawn for the request.
    pub draw: u64,
}

/// The back ends of a service, as they look to one request.
#[derive(Clone, Copy)]
struct View<'a> {
    state: &'a NodeState,
    pool: &'a Pool,
    request: RouteRequest<'a>,
    now: Timestamp,
    /// The only back end that may be chosen, where one is to be probed.
    only: Option<&'a BackendId>,
    /// Whether only back ends against which nothing speaks are fit.
    strict: bool,
    /// The oldest version of the weights that the request may begin on.
    required: Option<WeightsVersion>,
    /// The version that it rather begins on.
    preferred: Option<WeightsVersion>,
    /// Connections that a back end takes from all nodes together; none where there is no limit.
    max_connections: Option<u32>,
    /// The nodes that share them.
    nodes: NodeCount,
}

impl NodeState {
    /// Chooses the back end for a request.
    pub(crate) fn choose_backend(
        &self,
        request: RouteRequest<'_>,
        zone: &ZoneId,
        nodes: NodeCount,
        now: Timestamp,
    ) -> Option<Choice> {
        let pool = self.backends.pool(request.service)?;
        let store = request.prompt.and_then(|prompt| shard_of(prompt, self.stores()));
        let placement = Placement {
            prompt: request.prompt,
            isolated: request.isolated,
            zone,
            seed: request.draw,
            store: store.as_ref(),
            sample_size: sample_size(pool.len(), nodes),
            replicate: request.copied && self.can_copy(request.service, now),
            now,
        };
        let strict = self.view(pool, request, nodes, now);
        let is_of_service = |id: &&BackendId| {
            self.backends.get(id).is_some_and(|backend| backend.entry.service == *request.service)
        };
        for probed in self.backends.announcements.limits_to_probe(now).filter(is_of_service) {
            let probe = View { only: Some(probed), ..strict };
            if let Some(choice) = self.chooser.choose(placement, &probe) {
                return Some(choice);
            }
        }
        if let Some(choice) = self.chooser.choose(placement, &strict) {
            return Some(choice);
        }
        if request.healthy_only {
            return None;
        }
        // Back ends that may be unfit are better than none, but not those that were tried.
        self.chooser.choose(placement, &View { strict: false, ..strict })
    }

    fn view<'a>(
        &'a self,
        pool: &'a Pool,
        request: RouteRequest<'a>,
        nodes: NodeCount,
        now: Timestamp,
    ) -> View<'a> {
        let required = request.prompt.and_then(|prompt| self.required(&prompt.model, now));
        View {
            state: self,
            pool,
            request,
            now,
            only: None,
            strict: true,
            required,
            preferred: request.prompt.and_then(|prompt| self.preferred(request, prompt, now)),
            max_connections: self.max_connections(request.service),
            nodes,
        }
    }

    /// The oldest version of a model that a request may begin on.
    fn required(&self, model: &ModelId, now: Timestamp) -> Option<WeightsVersion> {
        self.rollout.required(model, self.chooser.loads.slowest(now), now)
    }

    /// Whether a service has back ends, and all of them have older weights of a model than a request may begin on.
    pub(crate) fn has_only_older_weights(
        &self,
        service: &ServiceId,
        model: &ModelId,
        now: Timestamp,
    ) -> bool {
        let newest = self.backends.pool(service).and_then(|pool| pool.versions(model).next_back());
        newest.is_some_and(|(newest, _)| Some(newest) < self.required(model, now))
    }

    /// Whether a back end's own words allow that it is sent a request now.
    pub(crate) fn takes_requests(&self, backend: &Backend, now: Timestamp) -> bool {
        self.backends.takes_requests(backend, self.departing_use, now)
    }

    /// When the first back end takes requests again that could serve a request of `service`, for `model` where it has a prompt; nothing
    /// where any of them does now, as far as it has announced.
    pub(crate) fn next_opening(
        &self,
        service: &ServiceId,
        model: Option<&ModelId>,
        now: Timestamp,
    ) -> Option<Opening> {
        let required = model.and_then(|model| self.required(model, now));
        let usable = self.backends.pool(service)?.usable().filter_map(|ranked| self.backends.get(&ranked.id));
        let fit = usable
            .filter(|backend| model.and_then(|model| backend.entry.weights.get(model).copied()) >= required);
        self.backends.next_opening(fit, now)
    }

    /// The version that this request rather begins on: as many requests prefer it as engines have it.
    fn preferred(
        &self,
        request: RouteRequest<'_>,
        prompt: &Prompt,
        now: Timestamp,
    ) -> Option<WeightsVersion> {
        let preferred = self.rollout.preferred(&prompt.model, now)?;
        let held = self.backends.versions_in_service(request.service, &prompt.model, now);
        let all = held.iter().map(|(_, count)| count).sum();
        let having = held.iter().filter(|(version, _)| *version >= preferred).map(|(_, count)| count).sum();
        prefers(request.draw, having, all).then_some(preferred)
    }

    /// The connections that each back end of a service takes, where they are limited.
    fn max_connections(&self, service: &ServiceId) -> Option<u32> {
        let service = self.table.as_ref()?.service(service)?;
        Some(service.max_connections).filter(|most| *most > 0)
    }

    /// A number from 0 to 1 that is the same for a back end as long as this process lives, and another one at each node.
    fn draw_for(&self, id: &BackendId) -> f64 {
        rank_for(rank(id), self.share_draw.to_bits()) as f64 / u64::MAX as f64
    }
}

impl View<'_> {
    fn describe<'b>(&self, backend: &'b Backend) -> Candidate<'b> {
        let entry = &backend.entry;
        let weights = self.request.prompt.and_then(|prompt| entry.weights.get(&prompt.model).copied());
        Candidate {
            id: &entry.id,
            address: entry.address,
            zone: &entry.zone,
            weights,
            slots: entry.slots,
            eligible: self.is_eligible(backend, weights),
            outdated: weights < self.preferred,
        }
    }

    fn is_eligible(&self, backend: &Backend, weights: Option<WeightsVersion>) -> bool {
        let id = &backend.entry.id;
        self.only.is_none_or(|only| only == id)
            && !self.request.tried.contains(id)
            && weights >= self.required
            && (!self.strict || self.is_healthy(backend))
            && self.state.takes_requests(backend, self.now)
            && self.has_room(id)
    }

    /// Whether nothing speaks against a back end for the moment.
    fn is_healthy(&self, backend: &Backend) -> bool {
        let (state, now, id) = (self.state, self.now, &backend.entry.id);
        let loading = self.request.prompt.is_some() && backend.is_loading(now);
        let refused = state.refused_until.get(id).is_some_and(|until| now < *until);
        backend.state == BackendState::Ready
            && !loading
            && !refused
            && !matches!(state.health.availability(id, 0.0, now), Availability::Ejected { .. })
            && !state.chooser.loads.is_suspect(id, now)
    }

    /// Whether this node has connections left of its share of those that a back end takes.
    fn has_room(&self, id: &BackendId) -> bool {
        self.max_connections.is_none_or(|most| {
            let share = match self.nodes.known() {
                Some(nodes) => even_share(most, nodes, self.state.draw_for(id)),
                None => (most / self.nodes.upper_bound()).max(MIN_CONNECTIONS_UNCOUNTED),
            };
            self.state.chooser.load(id).requests < share
        })
    }
}

impl CandidatePool for View<'_> {
    fn len(&self) -> usize {
        self.pool.len()
    }

    fn rank(&self, index: usize) -> u64 {
        self.pool.get(index).map_or(0, |ranked| ranked.rank)
    }

    fn candidate(&self, index: usize) -> Option<Candidate<'_>> {
        let ranked = self.pool.get(index)?;
        Some(self.describe(self.state.backends.get(&ranked.id)?))
    }

    fn find(&self, id: &BackendId) -> Option<Candidate<'_>> {
        let backend = self.state.backends.get(id)?;
        let in_use = match backend.state {
            BackendState::Ready => true,
            BackendState::Suspect { .. } => self.pool.uses_suspect(),
            BackendState::Departing { .. } => self.pool.uses_departing(),
            BackendState::Leaving | BackendState::Replaced => false,
        };
        let of_service = backend.entry.service == *self.request.service;
        (in_use && of_service).then(|| self.describe(backend))
    }
}

/// How many back ends a node weighs for a request: fewer, the more nodes choose among them.
fn sample_size(backends: usize, nodes: NodeCount) -> Option<usize> {
    let known = nodes.known()? as usize;
    let share = backends * FULL_SCAN_MAX_NODES / known.max(1);
    (known > FULL_SCAN_MAX_NODES).then(|| share.clamp(MIN_CONSIDERED, MAX_CONSIDERED))
}
