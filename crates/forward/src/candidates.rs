//! Describes the back ends of a service to the chooser, as candidates for a request.

use std::{collections::BTreeSet, time::Duration};

use paddlemount_core::{
    forwarding::{
        announcements::{brittleness::InFlight, limits::Opening},
        backends::{Backend, BackendId, BackendState},
        choice::{Candidate, CandidatePool, Choice, Placement, shard_of},
        pool::Pool,
        prompt::Prompt,
        ranks::{rank, rank_for},
        rollout::prefers,
        room::{self, DemandShare},
        software::SoftwareBinding,
    },
    health::Availability,
};
use paddlemount_protocol::{
    fleet::EngineCondition,
    identity::{ModelId, ServiceId, SoftwareVersion, TenantId, WeightsVersion, ZoneId},
    time::Timestamp,
};

use crate::{
    node_state::{FULL_SCAN_MAX_NODES, NodeCount, NodeState},
    settings::LoadSettings,
};

/// The minimum number of back ends that are compared for a request.
const MIN_CONSIDERED: usize = 6;
/// The maximum number of back ends that are compared for a request in a large fleet, where further ones cost
/// time and hardly improve the choice.
const MAX_CONSIDERED: usize = 24;

/// The input of [`crate::node::Node::choose_backend`].
#[derive(Clone, Copy)]
pub struct RouteRequest<'a> {
    pub service: &'a ServiceId,
    pub prompt: Option<&'a Prompt>,
    /// The tenant, if it is isolated.
    pub isolated: Option<&'a TenantId>,
    /// Whether to copy the run's memory while it grows, if the engines support that.
    pub copied: bool,
    /// Whether only healthy back ends may be chosen.
    pub healthy_only: bool,
    /// Whether only back ends may be chosen that answer what waits for them.
    pub responsive_only: bool,
    /// Which back ends this node may reach.
    pub reach: Reach<'a>,
    /// The software versions that may run the request.
    pub binding: &'a SoftwareBinding,
    /// Whether the answer is a stream, which binds the request to a software version.
    pub begins_stream: bool,
    /// Back ends that were tried already.
    pub tried: &'a [BackendId],
    /// The time within which the answer should start.
    pub target_latency: Duration,
    /// A random number drawn for the request.
    pub draw: u64,
}

/// The back ends that a node may reach.
#[derive(Clone, Copy, Debug)]
pub enum Reach<'a> {
    All,
    /// Only these.
    Among(&'a BTreeSet<BackendId>),
    /// Those that have not failed since one last accepted a connection.
    Untried,
}

/// Engines that are left out by what all nodes know of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Avoided {
    None,
    Silent,
    /// Silent and full ones, and those to which this node does not return yet.
    All,
}

/// The back ends of a service, as seen by one request.
#[derive(Clone, Copy)]
struct View<'a> {
    state: &'a NodeState,
    pool: &'a Pool,
    request: RouteRequest<'a>,
    now: Timestamp,
    /// The only eligible back end, if one is to be probed.
    probed: Option<&'a BackendId>,
    /// Whether only healthy back ends are eligible.
    healthy_only: bool,
    /// Which engines are left out by what all nodes know of them.
    avoided: Avoided,
    /// The oldest version of the weights that the request may start on.
    required: Option<WeightsVersion>,
    /// The oldest version that the request prefers.
    preferred: Option<WeightsVersion>,
    /// The nodes that share the back ends' connections.
    nodes: NodeCount,
    /// The fraction of the service's room that this node may use, from 0 to 1, if its back ends are brittle.
    fraction: Option<f64>,
}

impl NodeState {
    /// Chooses the back end for a request, and forecasts when its answer begins.
    pub(crate) fn choose_backend(
        &self,
        request: RouteRequest<'_>,
        zone: &ZoneId,
        nodes: NodeCount,
        load: LoadSettings,
        now: Timestamp,
    ) -> Option<Choice> {
        let continuing = match request.binding {
            SoftwareBinding::Unbound => None,
            SoftwareBinding::Bound(software) => Some(self.pool_of_software(request.service, software, now)),
            SoftwareBinding::Unknown => return None,
        };
        let pool = continuing.as_ref().or_else(|| self.backends.pool(request.service))?;
        let choice = self.choose_without_forecast(pool, request, zone, nodes, load, now)?;
        Some(Choice {
            forecast: self.forecast(request.service, &choice, now),
            is_continuation: request.binding.has_begun(),
            ..choice
        })
    }

    fn choose_without_forecast(
        &self,
        pool: &Pool,
        request: RouteRequest<'_>,
        zone: &ZoneId,
        nodes: NodeCount,
        load: LoadSettings,
        now: Timestamp,
    ) -> Option<Choice> {
        let store = request.prompt.and_then(|prompt| shard_of(prompt, self.stores()));
        let placement = Placement {
            prompt: request.prompt,
            isolated: request.isolated,
            zone,
            seed: request.draw,
            store: store.as_ref(),
            sample_size: sample_size(pool.len(), nodes),
            replicate: request.copied && self.can_copy(request.service, now),
            transfers: load
                .weigh_transfers
                .then(|| self.transfer_rates(request.service, store.as_ref(), now))
                .flatten(),
            now,
            timing: self
                .forecasters
                .get(request.service)
                .and_then(|forecaster| forecaster.timing(request.target_latency, now)),
        };
        let healthy_view = self.view(pool, request, nodes, now);
        let is_of_service = |id: &&BackendId| {
            self.backends.get(id).is_some_and(|backend| backend.entry.service == *request.service)
        };
        for probed in self.backends.announcements.limits_to_probe(now).filter(is_of_service) {
            let probe = View { probed: Some(probed), ..healthy_view };
            if let Some(choice) = self.chooser.choose(placement, &probe) {
                return Some(choice);
            }
        }
        if let Some(choice) = self.chooser.choose(placement, &healthy_view) {
            return Some(choice);
        }
        // Without this, the last engines of a pool would be hidden while all are full.
        if healthy_view.avoided == Avoided::All {
            let view = View { avoided: Avoided::Silent, ..healthy_view };
            if let Some(choice) = self.chooser.choose(placement, &view) {
                return Some(choice);
            }
        }
        if request.healthy_only {
            return None;
        }
        // Back ends that may be unhealthy are better than none, but not those that were tried.
        self.chooser.choose(placement, &View { healthy_only: false, avoided: Avoided::None, ..healthy_view })
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
            probed: None,
            healthy_only: true,
            avoided: if self.engines.are_shared && request.prompt.is_some() {
                Avoided::All
            } else {
                Avoided::None
            },
            required,
            preferred: request.prompt.and_then(|prompt| self.preferred(request, prompt, now)),
            nodes,
            fraction: self
                .brittleness
                .stated(request.service, now)
                .map(|_| self.fraction_of_room(request.service, nodes, now)),
        }
    }

    /// The fraction of a service's room that this node may use, by its share of the callers' demand.
    fn fraction_of_room(&self, service: &ServiceId, nodes: NodeCount, now: Timestamp) -> f64 {
        let own = self.demand.own_slots(service, now);
        let demand = self.demand.total(service, now).map(|total| DemandShare { own, total: total.slots });
        room::share(1.0, demand, nodes.upper_bound())
    }

    /// The oldest version of a model that a request may start on.
    fn required(&self, model: &ModelId, now: Timestamp) -> Option<WeightsVersion> {
        self.rollout.required(model, self.chooser.loads.slowest(now), now)
    }

    /// Whether a service has back ends, and all of them have older weights than a request may start on.
    pub(crate) fn has_only_older_weights(
        &self,
        service: &ServiceId,
        model: &ModelId,
        now: Timestamp,
    ) -> bool {
        let newest = self.backends.pool(service).and_then(|pool| pool.versions(model).next_back());
        newest.is_some_and(|(newest, _)| Some(newest) < self.required(model, now))
    }

    /// Whether a back end's announcements allow sending it a request now.
    pub(crate) fn takes_requests(&self, backend: &Backend, now: Timestamp) -> bool {
        self.backends.takes_requests(backend, self.draining_timeout, now)
    }

    /// Whether a back end that is leaving still takes streams that only its software version can continue.
    pub(crate) fn takes_continuations(&self, backend: &Backend, now: Timestamp) -> bool {
        let since = self.leaving_since.get(&backend.entry.id);
        backend.state == BackendState::Leaving
            && since.is_some_and(|since| now.saturating_since(*since) < self.draining_timeout)
    }

    /// The back ends with a software version, including those that take nothing but continuations.
    fn pool_of_software(&self, service: &ServiceId, software: &SoftwareVersion, now: Timestamp) -> Pool {
        let is_in_use = |backend: &Backend| match backend.state {
            BackendState::Ready | BackendState::Suspect { .. } => true,
            BackendState::Draining { since } => now.saturating_since(since) < self.draining_timeout,
            BackendState::Leaving => self.takes_continuations(backend, now),
            BackendState::Replaced => false,
        };
        let continues = |backend: &&Backend| {
            backend.entry.service == *service
                && backend.entry.software.as_ref() == Some(software)
                && is_in_use(backend)
        };
        Pool::of(self.backends.iter().filter(continues).map(|backend| &backend.entry.id))
    }

    /// Whether some back end with a software version may continue a stream.
    pub(crate) fn has_software(
        &self,
        service: &ServiceId,
        software: &SoftwareVersion,
        now: Timestamp,
    ) -> bool {
        !self.pool_of_software(service, software, now).is_empty()
    }

    /// When the first back end that could serve a request of `service`, for `model` if it has a prompt,
    /// accepts requests again; `None` if one accepts them now as far as announced.
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

    /// The oldest version that this request prefers. The share of requests with a preference equals the share
    /// of engines with that version.
    fn preferred(
        &self,
        request: RouteRequest<'_>,
        prompt: &Prompt,
        now: Timestamp,
    ) -> Option<WeightsVersion> {
        let preferred = self.rollout.preferred(&prompt.model, now)?;
        let versions = self.backends.versions_in_service(request.service, &prompt.model, now);
        let all = versions.iter().map(|(_, count)| count).sum();
        let updated =
            versions.iter().filter(|(version, _)| *version >= preferred).map(|(_, count)| count).sum();
        prefers(request.draw, updated, all).then_some(preferred)
    }

    /// A number from 0 to 1 that is constant for a back end during this process, and differs between nodes.
    pub(crate) fn draw_for(&self, id: &BackendId) -> f64 {
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
            software: entry.software.as_ref(),
            profile: (self.avoided != Avoided::None).then(|| self.state.profile(&entry.id, self.now)),
        }
    }

    fn is_eligible(&self, backend: &Backend, weights: Option<WeightsVersion>) -> bool {
        let id = &backend.entry.id;
        self.probed.is_none_or(|probed| probed == id)
            && !self.request.tried.contains(id)
            && self.is_in_reach(id)
            && weights >= self.required
            && (!self.healthy_only || self.is_healthy(backend))
            && (!self.request.responsive_only || !self.is_quiet(id))
            && self.takes_request(backend)
            && self.may_run(backend)
            && self.state.may_connect(id, self.request.service, self.nodes, self.now)
            && self.bears_another(backend)
            && !self.avoids(id)
    }

    fn takes_request(&self, backend: &Backend) -> bool {
        self.state.takes_requests(backend, self.now)
            || (self.request.binding.has_begun() && self.state.takes_continuations(backend, self.now))
    }

    /// Whether the back end's software version may run the request.
    fn may_run(&self, backend: &Backend) -> bool {
        let software = backend.entry.software.as_ref();
        if self.request.binding.has_begun() || !self.request.begins_stream {
            return self.request.binding.admits(software);
        }
        self.state.software.may_begin(self.request.service, software, self.now)
    }

    fn has_failed(&self, id: &BackendId) -> bool {
        self.state.reachability.has_failed(self.request.service, id, self.now)
    }

    fn is_quiet(&self, id: &BackendId) -> bool {
        let usual_time = self.state.chooser.load(id).slowest(self.now);
        self.state.reachability.is_quiet(self.request.service, id, usual_time, self.now)
    }

    fn is_in_reach(&self, id: &BackendId) -> bool {
        match self.request.reach {
            Reach::All => true,
            Reach::Among(backends) => backends.contains(id),
            Reach::Untried => !self.has_failed(id),
        }
    }

    /// Whether a back end is left out by what all nodes know of it. A probe of a silent engine is a request
    /// that can be sent to another one later.
    fn avoids(&self, id: &BackendId) -> bool {
        if self.avoided == Avoided::None {
            return false;
        }
        let performances = &self.state.engines.performances;
        let process = self.state.backends.process_of(id);
        let is_silent = || performances.profile(&process, self.now).condition == EngineCondition::Silent;
        if self.avoided == Avoided::Silent || self.request.copied {
            return is_silent();
        }
        !performances.may_send(&process, self.state.draw_for(id), self.now)
    }

    /// Whether a back end is ready, and neither loading, refusing, ejected nor unresponsive.
    fn is_healthy(&self, backend: &Backend) -> bool {
        let (state, now, id) = (self.state, self.now, &backend.entry.id);
        let loading = self.request.prompt.is_some() && backend.is_loading(now);
        let refused = state.refused_until.get(id).is_some_and(|until| now < *until);
        backend.state == BackendState::Ready
            && !loading
            && !refused
            && !self.has_failed(id)
            && !matches!(state.health.availability(id, 0.0, now), Availability::Ejected { .. })
            && !state.is_unresponsive(id, now)
    }

    /// Whether a brittle back end has room for another request of this node.
    fn bears_another(&self, backend: &Backend) -> bool {
        let Some(fraction) = self.fraction else { return true };
        let (state, entry) = (self.state, &backend.entry);
        let in_flight = InFlight {
            own: state.chooser.load(&entry.id).requests,
            total: state.chooser.loads.total_requests(&entry.id),
            slots: entry.slots,
        };
        let process = state.backends.process_of(&entry.id);
        let draw = state.draw_for(&entry.id);
        state.brittleness.allows(&entry.service, &process, in_flight, fraction, draw, self.now)
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
            BackendState::Draining { .. } => self.pool.uses_draining(),
            BackendState::Leaving | BackendState::Replaced => false,
        };
        let of_service = backend.entry.service == *self.request.service;
        (in_use && of_service).then(|| self.describe(backend))
    }
}

/// How many back ends to compare for a request: fewer, the more nodes choose among them.
fn sample_size(backends: usize, nodes: NodeCount) -> Option<usize> {
    let known = nodes.known()? as usize;
    let share = backends * FULL_SCAN_MAX_NODES / known.max(1);
    (known > FULL_SCAN_MAX_NODES).then(|| share.clamp(MIN_CONSIDERED, MAX_CONSIDERED))
}
