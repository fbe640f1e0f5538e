//! The simulated cluster: five nodes in three zones of one region and two in another, four engines, two
//! booking instances, the configuration store, the machine list, callers and operators.

use std::{collections::BTreeSet, time::Duration};

use paddlemount_protocol::{
    configuration::RevisedConfiguration,
    identity::{ModelId, PoolId, Revision},
    time::Timestamp,
};
use paddlemount_standins::booking::model::BookingModel;
use rand::{SeedableRng, rngs::StdRng};

use super::{
    engines::SimEngine,
    event::{Event, NodeIncarnation},
    history::{History, Invariant},
    invariants,
    node::{NodeState, PRIMARY_NODES, PRIMARY_ZONES, SimNode},
    settings::{Breakage, FaultWindow, RunSettings},
    store::SimStore,
};
use crate::simulation::{Endpoint, EventQueue, LinkQuality, LinkSettings, Links, Region, Zone, derived_seed};

const NODES: usize = 7;
const ENGINES: usize = 4;
const BOOKINGS: usize = 2;
/// The zone of the platform's services, which is never partitioned.
const PLATFORM_ZONE: Zone = Zone(9);
/// Virtual duration of a run.
pub const RUN_DURATION: Duration = Duration::from_secs(60);
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A simulated booking instance.
pub struct SimBooking {
    pub endpoint: Endpoint,
    pub model: BookingModel,
}

/// The simulated cluster with its callers, network and event queue.
pub struct SimCluster {
    pub settings: RunSettings,
    pub windows: Vec<FaultWindow>,
    pub queue: EventQueue<Event>,
    pub links: Links,
    pub nodes: Vec<SimNode>,
    pub engines: Vec<SimEngine>,
    pub bookings: Vec<SimBooking>,
    /// The configuration store.
    pub store: SimStore,
    /// Engines that the machine list shows as draining.
    pub draining: Vec<usize>,
    /// Random source of callers and faults.
    pub random: StdRng,
    pub history: History,
    /// Whether replies of the store and of back ends are lost.
    pub lose_replies: bool,
    /// Whether streams stall.
    pub late_answers: bool,
}

/// The pool's name.
pub fn pool_name() -> PoolId {
    PoolId::from("pool")
}

/// The model's name.
pub fn model_name() -> ModelId {
    ModelId::from("model")
}

impl SimCluster {
    /// A cluster before any node has started.
    pub fn new(settings: RunSettings) -> Self {
        let seed = settings.seed;
        let mut links = Links::new(link_settings(), seed);
        let store = SimStore::new(links.add(PLATFORM_ZONE, Region(0)));
        let nodes = (0..NODES).map(|number| SimNode::new(number, &mut links)).collect();
        let engines = (0..ENGINES)
            .map(|number| SimEngine::new(number, links.add(Zone(number % PRIMARY_ZONES), Region(0)), seed))
            .collect();
        let booking = |number: usize| {
            let name = format!("booking-{number}");
            SimBooking {
                endpoint: links.add(Zone(number % PRIMARY_ZONES), Region(0)),
                model: BookingModel::new(name.as_str().into()),
            }
        };
        let bookings = (0..BOOKINGS).map(booking).collect();
        Self {
            windows: settings.windows(),
            random: StdRng::seed_from_u64(derived_seed(seed, "callers")),
            settings,
            queue: EventQueue::new(),
            links,
            nodes,
            engines,
            bookings,
            store,
            draining: Vec::new(),
            history: History::default(),
            lose_replies: false,
            late_answers: false,
        }
    }

    /// Runs the simulation to its end and checks the invariants.
    pub fn run(mut self) -> History {
        (0..self.nodes.len()).for_each(|node| self.queue.schedule_at(Timestamp::ZERO, Event::Start(node)));
        self.schedule_callers();
        for (number, window) in self.windows.clone().iter().enumerate() {
            self.queue.schedule_at(window.begin, Event::FaultBegin(number));
            self.queue.schedule_at(window.end, Event::FaultEnd(number));
        }
        self.queue.schedule_after(CHECK_INTERVAL, Event::CheckNodes);
        let end = Timestamp::ZERO + RUN_DURATION;
        while let Some((now, event)) = self.queue.pop_until(end) {
            self.handle_event(event, now);
        }
        invariants::check_all(&mut self.history, &self.store.documents, end);
        self.history
    }

    /// Whether the run has this breakage.
    pub fn has_breakage(&self, breakage: Breakage) -> bool {
        self.settings.breakage == breakage
    }

    /// Sends an event over the network and returns whether it will arrive.
    pub fn send(&mut self, from: Endpoint, to: Endpoint, event: Event) -> bool {
        let delay = self.links.transmit(from, to);
        if let Some(delay) = delay {
            self.queue.schedule_after(delay, event);
        }
        delay.is_some()
    }

    /// The state of a node incarnation, if it still runs.
    pub fn state(&mut self, at: NodeIncarnation) -> Option<&mut NodeState> {
        let node = &mut self.nodes[at.node];
        if node.incarnation == at.incarnation { node.state.as_mut() } else { None }
    }

    /// Starts a node without state.
    pub fn start(&mut self, number: usize, now: Timestamp) {
        let seeds = self.nodes.iter().map(|node| node.address).collect();
        let node = &mut self.nodes[number];
        if node.state.is_some() {
            return;
        }
        node.incarnation += 1;
        node.stopping = false;
        node.started_at = now;
        node.revision = Revision(0);
        node.paused_until = Timestamp::ZERO;
        node.state = Some(NodeState::new(node, seeds, &self.settings, now));
        let at = node.incarnation_of(number);
        self.history.record(now, format!("node-{number}"), "starts");
        self.queue.schedule_at(now, Event::Wake(at));
        self.queue.schedule_at(now, Event::PeriodicTick(at));
    }

    /// Checks the revision of each node and whether the node may serve with it.
    pub(super) fn check_nodes(&mut self, now: Timestamp) {
        self.queue.schedule_after(CHECK_INTERVAL, Event::CheckNodes);
        let due = invariants::required_revision(&self.history, now);
        let serves_unconfirmed = self.has_breakage(Breakage::ServesUnconfirmed);
        for number in 0..self.nodes.len() {
            let node = &mut self.nodes[number];
            let Some(state) = node.state.as_ref().filter(|_| node.paused_until <= now) else { continue };
            let held = state.peers.configuration().map_or(Revision(0), |document| document.revision);
            let serves = held > Revision(0) && (serves_unconfirmed || state.peers.may_serve(now));
            let before = std::mem::replace(&mut node.revision, held);
            let name = format!("node-{number}");
            if held < before {
                let description = format!("{name} went from revision {before} to {held}");
                self.history.record_violation(Invariant::ConfigurationStays, now, description, &[&name]);
            }
            if serves && held < due {
                let description = format!("{name} serves under revision {held}; {due} was accepted 9 s ago");
                self.history.record_violation(
                    Invariant::ConfigurationStays,
                    now,
                    description,
                    &[&name, "store"],
                );
            }
        }
    }

    /// The configuration in force at a node.
    pub fn configuration(&mut self, at: NodeIncarnation) -> Option<std::sync::Arc<RevisedConfiguration>> {
        self.state(at)?.peers.configuration().cloned()
    }

    /// Nodes that accept requests: running, not paused or stopping, and in the engines' region.
    pub fn available_nodes(&self, now: Timestamp) -> BTreeSet<usize> {
        let is_available = |number: &usize| {
            let node = &self.nodes[*number];
            node.state.is_some() && node.paused_until <= now && !node.stopping
        };
        (0..PRIMARY_NODES).filter(is_available).collect()
    }
}

/// Delays of the network without faults.
fn link_settings() -> LinkSettings {
    let quality = |delay_us, jitter_us| LinkQuality {
        delay: Duration::from_micros(delay_us),
        jitter: Duration::from_micros(jitter_us),
        loss: 0.0,
    };
    LinkSettings {
        within_zone: quality(250, 100),
        between_zones: quality(1_200, 300),
        between_regions: quality(35_000, 5_000),
    }
}
