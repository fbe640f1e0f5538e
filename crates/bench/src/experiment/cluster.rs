//! A simulated cluster: callers, router nodes and engines, in virtual time.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::{
    engine::Priority,
    identity::{AttemptId, EngineId, RequestId, ZoneId},
    time::Timestamp,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{
    RunSettings,
    engines::SimulatedEngine,
    event::{AttemptKey, Event},
    metrics::{Metrics, PolicyResult, RunLabel},
    nodes::SimulatedNode,
    workload::{Workload, WorkloadRequest},
};
use crate::{
    policy::{self, Policy, PolicySettings},
    scenario::{FaultEvent, Scenario},
    simulation::{Endpoint, EventQueue, LinkQuality, LinkSettings, Links, Region, Zone, derived_seed},
};

/// An open request.
pub(super) struct OpenRequest {
    pub(super) id: RequestId,
    pub(super) workload: WorkloadRequest,
    pub(super) group: usize,
    pub(super) node: usize,
    pub(super) attempts: u32,
    /// The current attempt with its engine and identity.
    pub(super) current: Option<(AttemptKey, usize, AttemptId)>,
    pub(super) excluded: Vec<EngineId>,
    /// Whether an engine has started to run it.
    pub(super) has_run: bool,
    pub(super) first_token_sent: bool,
    pub(super) priority: Priority,
    /// When the current attempt was sent.
    pub(super) dispatched_at: Timestamp,
    /// Prompt tokens that the engine did not find cached.
    pub(super) missing_tokens: u32,
    /// Prompt tokens that the current attempt imports.
    pub(super) imported_tokens: u32,
}

/// The state of one run.
pub(super) struct Cluster<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) settings: &'a RunSettings,
    pub(super) queue: EventQueue<Event>,
    pub(super) links: Links,
    pub(super) workload: Workload,
    pub(super) engines: Vec<SimulatedEngine>,
    pub(super) engine_positions: BTreeMap<EngineId, usize>,
    pub(super) nodes: Vec<SimulatedNode>,
    /// One per node, or a single one for all nodes under the oracle.
    pub(super) policies: Vec<Box<dyn Policy>>,
    pub(super) requests: BTreeMap<u64, OpenRequest>,
    pub(super) metrics: Metrics,
    next_request: Option<WorkloadRequest>,
    requests_sent: u64,
    ends_at: Timestamp,
    random: StdRng,
}

/// Virtual time after the last request in which open requests may still end.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);

impl<'a> Cluster<'a> {
    /// A cluster at time zero, with empty caches.
    pub(super) fn new(scenario: &'a Scenario, settings: &'a RunSettings) -> Self {
        let seed = settings.seed;
        let mut links = Links::new(link_settings(scenario), seed);
        let exact = settings.policy.has_exact_state();
        let engines: Vec<SimulatedEngine> = (0..scenario.runners.count)
            .map(|position| {
                let (zone, endpoint) = add_endpoint(scenario, &mut links, position);
                SimulatedEngine::new(scenario, position, zone, endpoint, seed, exact)
            })
            .collect();
        let nodes: Vec<SimulatedNode> = (0..scenario.nodes.count)
            .map(|position| {
                let (zone, endpoint) = add_endpoint(scenario, &mut links, position);
                SimulatedNode::new(zone, endpoint)
            })
            .collect();
        let policies = if exact { 1 } else { nodes.len() };
        let engine_positions =
            engines.iter().enumerate().map(|(position, engine)| (engine.id.clone(), position)).collect();
        let measured_from = at_seconds(scenario.run.warm_up_s);
        let ends_at = measured_from + Duration::from_secs_f64(scenario.run.measured_s);
        let groups = scenario.tenants.len();
        let mut cluster = Self {
            scenario,
            settings,
            queue: EventQueue::new(),
            links,
            workload: Workload::new(scenario, seed),
            metrics: Metrics::new(measured_from, ends_at, groups, engines.len()),
            engines,
            engine_positions,
            nodes,
            policies: Vec::new(),
            requests: BTreeMap::new(),
            next_request: None,
            requests_sent: 0,
            ends_at,
            random: StdRng::seed_from_u64(derived_seed(seed, "callers")),
        };
        for node in 0..cluster.nodes.len() {
            cluster.nodes[node].protection = cluster.build_protection(Timestamp::ZERO);
        }
        cluster.policies = (0..policies).map(|node| cluster.build_policy(node)).collect();
        cluster.schedule_initial_events();
        cluster
    }

    /// Builds the policy of a node, with no knowledge of the engines.
    pub(super) fn build_policy(&self, node: usize) -> Box<dyn Policy> {
        let node_state = &self.nodes[node];
        // The text determines the seed; another text gives other draws.
        let purpose = format!("policy of node {node} in life {}", node_state.incarnation);
        policy::build(&PolicySettings {
            name: self.settings.policy,
            zone: node_state.zone.clone(),
            seed: derived_seed(self.settings.seed, &purpose),
            other_zone_ms: self.scenario.places.between_zones_ms,
            sticky_blocks: self.scenario.policies.sticky_blocks,
            mechanisms: self.settings.mechanisms(),
            nodes: self.nodes.len() as u32,
        })
    }

    fn schedule_initial_events(&mut self) {
        for (position, fault) in self.scenario.faults.iter().enumerate() {
            self.queue.schedule_at(at_seconds(fault.at_s), Event::Fault { position });
        }
        if !self.settings.policy.has_exact_state() {
            self.schedule_observation();
        }
        self.schedule_next_request();
    }

    fn schedule_next_request(&mut self) {
        let request = self.workload.next_request();
        if request.sent_at < self.ends_at {
            self.queue.schedule_at(request.sent_at, Event::Send);
            self.next_request = Some(request);
        }
    }

    /// Runs to the end and returns the result.
    pub(super) fn run(mut self) -> PolicyResult {
        let until = self.ends_at + DRAIN_TIMEOUT;
        while let Some((now, event)) = self.queue.pop_until(until) {
            self.handle(event, now);
            if now >= self.ends_at && self.requests.is_empty() {
                break;
            }
        }
        let label = RunLabel {
            scenario: self.settings.scenario.clone(),
            policy: self.settings.policy,
            seed: self.settings.seed,
            without: self.settings.without.iter().map(|mechanism| mechanism.to_string()).collect(),
        };
        let groups: Vec<String> = self.scenario.tenants.iter().map(|group| group.name.clone()).collect();
        let prefill_speed = self.scenario.runners.speed.prefill_tokens_per_second;
        let first_fault_s = self.scenario.faults.iter().map(|fault| fault.at_s).min_by(f64::total_cmp);
        self.metrics.finish(label, &groups, prefill_speed, first_fault_s)
    }

    fn handle(&mut self, event: Event, now: Timestamp) {
        match event {
            Event::Send => self.send_request(now),
            Event::ArriveAtNode { request } => self.arrive_at_node(request, now),
            Event::ArriveAtEngine { key, engine, sent } => self.arrive_at_engine(key, engine, *sent, now),
            Event::Step { engine } => self.step_engine(engine, now),
            Event::Answer { key, engine, answer } => self.handle_answer(key, engine, answer, now),
            Event::RequestStatus { node, engine, recurring } => {
                self.request_status(node, engine, recurring, now)
            }
            Event::StatusArrives { node, status } => self.handle_status(node, &status, now),
            Event::EngineUnresponsive { node, engine } => self.mark_unresponsive(node, engine, now),
            Event::ReadFeed { node, engine } => self.read_feed(node, engine, now),
            Event::FeedArrives { node, engine, batch } => self.handle_feed(node, engine, &batch, now),
            Event::SnapshotArrives { node, engine, page } => self.handle_snapshot(node, engine, &page, now),
            Event::AdmissionTick { node } => self.tick_admission(node, now),
            Event::Fault { position } => self.begin_fault(position, now),
            Event::EngineRestart { engine } => self.restart_engine(engine, now),
        }
    }

    fn send_request(&mut self, now: Timestamp) {
        let Some(workload) = self.next_request.take() else { return };
        let number = self.requests_sent;
        self.requests_sent += 1;
        let group = self.workload.tenants[workload.tenant].group;
        self.metrics.sent(now, group);
        let open = OpenRequest {
            id: RequestId::from(format!("{number}")),
            workload,
            group,
            node: self.random.random_range(0..self.nodes.len()),
            attempts: 0,
            current: None,
            excluded: Vec::new(),
            has_run: false,
            first_token_sent: false,
            priority: Priority::Normal,
            dispatched_at: now,
            missing_tokens: 0,
            imported_tokens: 0,
        };
        self.requests.insert(number, open);
        self.queue.schedule_after(self.caller_delay(), Event::ArriveAtNode { request: number });
        self.schedule_next_request();
    }

    /// One-way delay between a caller and its node.
    pub(super) fn caller_delay(&self) -> Duration {
        milliseconds(self.scenario.places.caller_ms)
    }

    /// Picks a random node for a caller whose node restarted.
    pub(super) fn random_node(&mut self) -> usize {
        self.random.random_range(0..self.nodes.len())
    }

    fn begin_fault(&mut self, position: usize, now: Timestamp) {
        match self.scenario.faults[position].event.clone() {
            FaultEvent::EngineCrash { engines, down_s } => {
                for engine in engines {
                    self.crash_engine(engine, now);
                    self.queue
                        .schedule_after(Duration::from_secs_f64(down_s), Event::EngineRestart { engine });
                }
            }
            FaultEvent::NodeRestart { nodes } => {
                let all = (0..self.nodes.len()).collect();
                for node in if nodes.is_empty() { all } else { nodes } {
                    self.restart_node(node, now);
                }
            }
            FaultEvent::PrefixShift {} => self.workload.shift(),
            FaultEvent::EventLoss { share } => self.set_event_loss(share),
        }
    }
}

/// Converts seconds since the start to a point in time.
pub(super) fn at_seconds(seconds: f64) -> Timestamp {
    Timestamp::ZERO + Duration::from_secs_f64(seconds)
}

/// Converts milliseconds to a duration.
pub(super) fn milliseconds(milliseconds: f64) -> Duration {
    Duration::from_secs_f64(milliseconds / 1_000.0)
}

fn add_endpoint(scenario: &Scenario, links: &mut Links, position: usize) -> (ZoneId, Endpoint) {
    let zone = position % scenario.zones();
    let region = zone / scenario.places.zones_per_region;
    let endpoint = links.add(Zone(zone), Region(region));
    (ZoneId::from(format!("zone-{zone}")), endpoint)
}

fn link_settings(scenario: &Scenario) -> LinkSettings {
    let places = &scenario.places;
    let quality = |delay_ms: f64| LinkQuality {
        delay: milliseconds(delay_ms),
        jitter: milliseconds(delay_ms * places.jitter),
        loss: 0.0,
    };
    LinkSettings {
        within_zone: quality(places.within_zone_ms),
        between_zones: quality(places.between_zones_ms),
        between_regions: quality(places.between_regions_ms),
    }
}
