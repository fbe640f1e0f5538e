//! Simulated nodes, and the state that each holds while it runs.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use paddlemount_core::{
    claims::{ClaimCoordinator, ClaimReplica, ClaimSettings},
    lease::{LeaseHolder, LeaseSettings},
    membership::{CallId, MembershipSettings, MembershipTiming},
    peers::Peers,
    placement::{LEASE_NAME, PlacementSettings, Placer},
    request::ModelRequest,
    routing::{Router, RouterSettings},
};
use paddlemount_protocol::{
    engine::EngineStatus,
    identity::{
        AttemptId, ChangeId, EngineId, Incarnation, NodeId, RegionId, RequestId, Revision, TenantId,
        WeightsVersion, ZoneId,
    },
    peer::claims::PlacementEpoch,
    prefix::{BlockHash, CacheScope},
    time::Timestamp,
};

use super::{
    event::NodeIncarnation,
    settings::{Breakage, RunSettings},
};
use crate::simulation::{Endpoint, Links, Region, Zone, derived_seed};

/// Nodes in the region of the engines.
pub const PRIMARY_NODES: usize = 5;
/// Zones of the engines' region.
pub const PRIMARY_ZONES: usize = 3;

/// A model request that a node serves.
pub struct ActiveRequest {
    pub machine: ModelRequest,
    pub tenant: TenantId,
    pub weights: WeightsVersion,
    /// Scope of its cached state.
    pub scope: CacheScope,
    pub blocks: Vec<BlockHash>,
    /// Tokens to generate.
    pub tokens: u32,
    /// The scheduled timer.
    pub timer: Option<Timestamp>,
}

/// A booking that a node serves.
pub struct ActiveClaim {
    pub coordinator: ClaimCoordinator,
    /// The idempotency key.
    pub key: String,
    /// The caller's attempt.
    pub attempt: usize,
    /// Dispatches so far.
    pub dispatches: u32,
}

/// State of a node, which a restart loses.
pub struct NodeState {
    /// Membership and configuration.
    pub peers: Peers,
    /// Unanswered calls of peers.
    pub incoming: BTreeMap<CallId, (NodeIncarnation, CallId)>,
    /// Open changes of operators.
    pub changes: BTreeMap<CallId, ChangeId>,
    /// Numbers the calls and changes above.
    pub next_call: u64,
    pub wakeup: Option<Timestamp>,
    pub router: Router,
    pub statuses: BTreeMap<EngineId, EngineStatus>,
    pub replica: ClaimReplica,
    pub lease: LeaseHolder,
    pub placer: Placer,
    /// Open model requests.
    pub requests: BTreeMap<RequestId, ActiveRequest>,
    /// Open bookings.
    pub claims: BTreeMap<AttemptId, ActiveClaim>,
}

/// A node, running or not.
pub struct SimNode {
    pub name: NodeId,
    /// Its address for peers.
    pub address: SocketAddr,
    pub endpoint: Endpoint,
    pub zone: usize,
    pub region: usize,
    /// Incarnations so far.
    pub incarnation: u32,
    /// Whether a planned stop has begun.
    pub stopping: bool,
    pub paused_until: Timestamp,
    pub started_at: Timestamp,
    /// The last revision that it held in this incarnation.
    pub revision: Revision,
    /// None while it does not run.
    pub state: Option<NodeState>,
}

impl SimNode {
    /// A node that has never run. The first [`PRIMARY_NODES`] are in the engines' region.
    pub fn new(number: usize, links: &mut Links) -> Self {
        let is_primary = number < PRIMARY_NODES;
        let zone = if is_primary { number % PRIMARY_ZONES } else { PRIMARY_ZONES };
        let region = usize::from(!is_primary);
        let last = u8::try_from(number).unwrap_or(u8::MAX);
        Self {
            name: NodeId::from(format!("node-{number}")),
            address: SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, last)), 8081),
            endpoint: links.add(Zone(zone), Region(region)),
            zone,
            region,
            incarnation: 0,
            stopping: false,
            paused_until: Timestamp::ZERO,
            started_at: Timestamp::ZERO,
            revision: Revision(0),
            state: None,
        }
    }

    /// Its current incarnation.
    pub const fn incarnation_of(&self, node: usize) -> NodeIncarnation {
        NodeIncarnation { node, incarnation: self.incarnation }
    }

    const fn is_first_incarnation(&self) -> bool {
        self.incarnation == 1
    }
}

impl NodeState {
    /// The state of a node that has just started.
    pub fn new(node: &SimNode, seeds: Vec<SocketAddr>, settings: &RunSettings, now: Timestamp) -> Self {
        let zone = ZoneId::from(format!("zone-{}", node.zone));
        let seed = derived_seed(settings.seed + u64::from(node.incarnation), node.name.as_str());
        let lease = LeaseSettings {
            name: LEASE_NAME.to_owned(),
            holder: node.name.clone(),
            ttl: Duration::from_secs(6),
        };
        let placement = PlacementSettings {
            canary_period: Duration::from_secs(3),
            retry_interval: Duration::from_secs(2),
            ..PlacementSettings::default()
        };
        Self {
            peers: Peers::new(membership(node, zone.clone(), seeds, seed, now), now),
            incoming: BTreeMap::new(),
            changes: BTreeMap::new(),
            next_call: 0,
            wakeup: None,
            router: Router::new(RouterSettings::new(zone, seed)),
            statuses: BTreeMap::new(),
            replica: claim_replica(node, settings.breakage, now),
            lease: LeaseHolder::new(lease, now),
            placer: Placer::new(placement),
            requests: BTreeMap::new(),
            claims: BTreeMap::new(),
        }
    }
}

fn membership(
    node: &SimNode,
    zone: ZoneId,
    seeds: Vec<SocketAddr>,
    seed: u64,
    now: Timestamp,
) -> MembershipSettings {
    MembershipSettings {
        node: node.name.clone(),
        address: node.address,
        zone,
        region: RegionId::from(format!("region-{}", node.region)),
        incarnation: Incarnation(now.0 + u64::from(node.incarnation)),
        seeds,
        seed,
        timing: MembershipTiming::default(),
    }
}

fn claim_replica(node: &SimNode, breakage: Breakage, now: Timestamp) -> ClaimReplica {
    let grants_old_keys = breakage == Breakage::FreshReplicaGrantsOldKeys && !node.is_first_incarnation();
    if grants_old_keys {
        ClaimReplica::with_floor(ClaimSettings::default(), PlacementEpoch(1), Timestamp::ZERO)
    } else {
        ClaimReplica::new(ClaimSettings::default(), PlacementEpoch(0), now)
    }
}
