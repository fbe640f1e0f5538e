//! A cluster of hollow nodes in virtual time.

mod delivery;

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use paddlemount_core::{
    membership::{CallId, MembershipSettings, MembershipTiming},
    peers::{PeerEvent, Peers, StoreReply, StoreRequest},
};
use paddlemount_node::peers::authentication::Authenticator;
use paddlemount_protocol::{
    configuration::{ChangeOutcome, ChangeRequest, RevisedConfiguration},
    identity::{Incarnation, NodeId, RegionId, Revision, ZoneId},
    peer::membership::{MemberRecord, MemberState},
    platform::MachineList,
    time::Timestamp,
};

use super::store::{HollowStore, StoreCaller};
use crate::simulation::{Endpoint, EventQueue, LinkQuality, LinkSettings, Links, Region, Zone};

/// The key that all hollow nodes share.
const CLUSTER_KEY: &str = "hollow-cluster-key-0123456789";

/// Nodes of each region that every node gets as seeds.
const SEEDS_PER_REGION: usize = 2;

/// Size and network of a cluster.
#[derive(Clone, Copy, Debug)]
pub struct ClusterSettings {
    /// Spread evenly over the zones.
    pub nodes: usize,
    /// Spread evenly over the regions.
    pub zones: usize,
    pub regions: usize,
    /// Probability that a message is lost, from 0.0 to 1.0. TCP retransmission is not simulated.
    pub loss: f64,
    pub seed: u64,
}

/// An observation with its time and node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeObservation {
    pub at: Timestamp,
    /// Index of the observing node.
    pub node: usize,
    pub observation: Observation,
}

/// An observation at a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// The node installed a revision.
    Installed(Revision),
    /// The state of a member changed.
    Member { node: NodeId, state: MemberState },
    /// A change that the node coordinated ended.
    ChangeEnded(ChangeOutcome),
}

/// Resources that a node has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourceUsage {
    /// Including all headers.
    pub bytes_in: u64,
    /// Including all headers.
    pub bytes_out: u64,
    pub messages_in: u64,
    pub messages_out: u64,
    /// Processor time for decoding, state machines, encoding and signing.
    pub processor: Duration,
    /// Bytes to and from the store, including all headers.
    pub store_bytes: u64,
}

struct HollowNode {
    name: NodeId,
    address: SocketAddr,
    endpoint: Endpoint,
    zone: ZoneId,
    region: RegionId,
    peers: Option<Peers>,
    incarnation: u32,
    paused_until: Timestamp,
    wakeup: Option<Timestamp>,
    incoming: BTreeMap<CallId, IncomingCall>,
    next_incoming: u64,
    outgoing: BTreeMap<CallId, OutgoingCall>,
    usage: ResourceUsage,
    revision: Revision,
}

/// A call of a peer that this node has not answered yet.
struct IncomingCall {
    from: usize,
    incarnation: u32,
    call: CallId,
    path: &'static str,
    signature: String,
}

/// An open call of this node.
struct OutgoingCall {
    path: &'static str,
    signature: String,
}

enum Event {
    Wake(usize),
    Request { from: usize, from_incarnation: u32, to: usize, call: CallId, message: Message },
    Answer { to: usize, incarnation: u32, call: CallId, message: Message },
    Timeout { node: usize, incarnation: u32, call: CallId },
    StoreRequest { caller: StoreCaller, request: StoreRequest },
    StoreReply { caller: StoreCaller, reply: StoreReply },
    StoreTimeout { caller: StoreCaller },
    StoreExpiry,
    Change { node: usize, request: Box<ChangeRequest> },
}

struct Message {
    path: &'static str,
    time: Timestamp,
    signature: String,
    body: Vec<u8>,
}

/// A cluster of hollow nodes in virtual time.
pub struct HollowCluster {
    settings: ClusterSettings,
    queue: EventQueue<Event>,
    /// The network, where tests inject partitions.
    pub links: Links,
    store_endpoint: Endpoint,
    pub store: HollowStore,
    /// Share of the store's replies that are lost.
    pub store_reply_loss: f64,
    nodes: Vec<HollowNode>,
    by_address: BTreeMap<SocketAddr, usize>,
    authenticator: Authenticator,
    observations: Vec<NodeObservation>,
    store_replies: u64,
}

impl HollowCluster {
    /// A cluster of nodes that have not started.
    pub fn new(settings: ClusterSettings, document: RevisedConfiguration) -> Self {
        let quality = |delay_us, jitter_us| LinkQuality {
            delay: Duration::from_micros(delay_us),
            jitter: Duration::from_micros(jitter_us),
            loss: settings.loss,
        };
        let link_settings = LinkSettings {
            within_zone: quality(250, 100),
            between_zones: quality(1_200, 300),
            between_regions: quality(35_000, 5_000),
        };
        let mut links = Links::new(link_settings, settings.seed);
        let store_endpoint = links.add(Zone(0), Region(0));
        let mut cluster = Self {
            settings,
            queue: EventQueue::new(),
            links,
            store_endpoint,
            store: HollowStore::new(document),
            store_reply_loss: 0.0,
            nodes: Vec::new(),
            by_address: BTreeMap::new(),
            authenticator: Authenticator::new([CLUSTER_KEY]),
            observations: Vec::new(),
            store_replies: 0,
        };
        (0..settings.nodes).for_each(|index| cluster.add_node(index));
        cluster
    }

    fn add_node(&mut self, index: usize) {
        let zone = index % self.settings.zones;
        let region = zone % self.settings.regions;
        let endpoint = self.links.add(Zone(zone), Region(region));
        let [high, low] = u16::try_from(index).unwrap_or(u16::MAX).to_be_bytes();
        let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 100, high, low)), 8081);
        self.by_address.insert(address, index);
        self.nodes.push(HollowNode {
            name: NodeId::from(format!("node-{index:03}")),
            address,
            endpoint,
            zone: ZoneId::from(format!("zone-{zone:02}")),
            region: RegionId::from(format!("region-{region}")),
            peers: None,
            incarnation: 0,
            paused_until: Timestamp::ZERO,
            wakeup: None,
            incoming: BTreeMap::new(),
            next_incoming: 0,
            outgoing: BTreeMap::new(),
            usage: ResourceUsage::default(),
            revision: Revision(0),
        });
    }

    /// The current virtual time.
    pub const fn now(&self) -> Timestamp {
        self.queue.now()
    }

    /// Starts or restarts a node without state. Its seeds are the first nodes of each region.
    pub fn start(&mut self, index: usize) {
        let now = self.now();
        let seeds = self.seeds();
        let seed = self.settings.seed;
        let node = &mut self.nodes[index];
        node.incarnation += 1;
        let settings = MembershipSettings {
            node: node.name.clone(),
            address: node.address,
            zone: node.zone.clone(),
            region: node.region.clone(),
            incarnation: Incarnation(now.0 + u64::from(node.incarnation)),
            seeds,
            seed: crate::simulation::derived_seed(seed + u64::from(node.incarnation), node.name.as_str()),
            timing: MembershipTiming::default(),
        };
        node.peers = Some(Peers::new(settings, now));
        node.incoming.clear();
        node.outgoing.clear();
        node.wakeup = None;
        node.revision = Revision(0);
        node.paused_until = Timestamp::ZERO;
        self.wake_at(index, now);
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        let count = SEEDS_PER_REGION * self.settings.regions;
        self.nodes.iter().take(count).map(|node| node.address).collect()
    }

    /// Stops a node without notice.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].peers = None;
    }

    /// Suspends a node; events for it are delivered after `time`.
    pub fn pause(&mut self, index: usize, time: Duration) {
        self.nodes[index].paused_until = self.now() + time;
    }

    /// Submits a change to a node.
    pub fn change(&mut self, index: usize, request: ChangeRequest) {
        self.queue.schedule_after(Duration::ZERO, Event::Change { node: index, request: Box::new(request) });
    }

    /// Begins a planned stop; the node runs on until [`kill`](Self::kill).
    pub fn stop(&mut self, index: usize) {
        self.with_peers(index, |peers, now| peers.handle(PeerEvent::Stop, now));
    }

    /// Delivers the machine list to a node.
    pub fn list_machines(&mut self, index: usize, list: &MachineList) {
        self.with_peers(index, |peers, now| peers.handle(PeerEvent::Machines(list), now));
    }

    /// Runs until `until`, and moves the clock there even without events.
    pub fn run_until(&mut self, until: Timestamp) {
        while let Some((_, event)) = self.queue.pop_until(until) {
            self.handle_event(event);
        }
        self.queue.schedule_at(until, Event::StoreExpiry);
        if let Some((_, event)) = self.queue.pop_until(until) {
            self.handle_event(event);
        }
    }

    /// Runs for `time`.
    pub fn run_for(&mut self, time: Duration) {
        self.run_until(self.now() + time);
    }

    /// Returns the observations since the last call.
    pub fn take_observations(&mut self) -> Vec<NodeObservation> {
        std::mem::take(&mut self.observations)
    }

    /// Nodes of the cluster, running or not.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether the cluster has no nodes.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// The state machine of a node, if it runs.
    pub fn peers(&self, index: usize) -> Option<&Peers> {
        self.nodes[index].peers.as_ref()
    }

    /// A node's name.
    pub fn name(&self, index: usize) -> &NodeId {
        &self.nodes[index].name
    }

    /// A node's network endpoint.
    pub fn endpoint(&self, index: usize) -> Endpoint {
        self.nodes[index].endpoint
    }

    /// The store's network endpoint.
    pub const fn store_endpoint(&self) -> Endpoint {
        self.store_endpoint
    }

    /// A node's region.
    pub fn region(&self, index: usize) -> &RegionId {
        &self.nodes[index].region
    }

    /// Resources that a node has used since the last [`reset_usage`](Self::reset_usage).
    pub fn usage(&self, index: usize) -> ResourceUsage {
        self.nodes[index].usage
    }

    /// Resets the resource counters of all nodes.
    pub fn reset_usage(&mut self) {
        self.nodes.iter_mut().for_each(|node| node.usage = ResourceUsage::default());
    }

    /// A running node's member record of another node.
    pub fn member_record(&self, index: usize, about: usize) -> Option<&MemberRecord> {
        self.peers(index)?.members().get(&self.nodes[about].name)
    }
}
