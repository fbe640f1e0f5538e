//! Settings, events and actions of membership.

use std::{net::SocketAddr, time::Duration};

use paddlemount_protocol::{
    identity::{Incarnation, NodeId, RegionId, ZoneId},
    peer::membership::{MemberRecord, MembershipAnswer, MembershipRequest, PiggybackItem},
    platform::MachineList,
};

/// Identifies one call between peers at one node, whether it makes or serves the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Settings of a node's [`Membership`].
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// This node.
    pub node: NodeId,
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Its life; rises with each start.
    pub incarnation: Incarnation,
    /// Where other nodes may be found.
    pub seeds: Vec<SocketAddr>,
    /// Seed of all random choices.
    pub seed: u64,
    /// Periods and bounds.
    pub timing: MembershipTiming,
}

/// Periods and bounds of membership.
#[derive(Clone, Copy, Debug)]
pub struct MembershipTiming {
    /// Time between two probes that a node begins.
    pub probe_interval: Duration,
    /// How long a probe waits for its answer.
    pub probe_timeout: Duration,
    /// Members that are asked to probe a member that did not answer.
    pub indirect_probes: usize,
    /// Time that a suspected member has to refute.
    pub suspicion_timeout: Duration,
    /// Time between two tries to reach a dead member or an unknown machine.
    pub contact_interval: Duration,
    /// Time between two probes of a representative to other regions.
    pub region_interval: Duration,
    /// Least time between two comparisons of whole tables.
    pub table_interval: Duration,
}

impl Default for MembershipTiming {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(500),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_secs(4),
            contact_interval: Duration::from_secs(5),
            region_interval: Duration::from_secs(2),
            table_interval: Duration::from_secs(10),
        }
    }
}

/// Something that happens to a node's membership.
#[derive(Clone, Debug)]
pub enum MembershipEvent<'a> {
    /// The time of [`Membership::next_wakeup`] has come.
    Tick,
    /// A peer calls.
    Request {
        /// The call, numbered by the driver; to be answered under the same number.
        call: CallId,
        /// What it asks.
        request: &'a MembershipRequest,
    },
    /// A call made by [`MembershipAction::Call`] was answered.
    Answer {
        /// The call.
        call: CallId,
        /// The answer.
        answer: &'a MembershipAnswer,
    },
    /// A call made by [`MembershipAction::Call`] failed or was not answered in time.
    Failed {
        /// The call.
        call: CallId,
    },
    /// The machine list was read.
    Machines(&'a MachineList),
    /// From now on this item rides on probes, in place of the topic's earlier one.
    Offer(PiggybackItem),
    /// So many members are to be probed at once, or places where members may be found while none is known.
    ProbeNow(usize),
    /// This node begins a planned stop.
    Stop,
}

/// What a driver is to do for membership.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Call a peer; exactly one `Answer` or `Failed` is to follow.
    Call {
        /// The call.
        call: CallId,
        /// Where to.
        address: SocketAddr,
        /// What to ask.
        request: MembershipRequest,
        /// How long to wait.
        timeout: Duration,
    },
    /// Answer a peer's call.
    Answer {
        /// The call.
        call: CallId,
        /// The answer.
        answer: MembershipAnswer,
    },
    /// A member of this region is new or changed.
    Changed(MemberRecord),
    /// A peer's item arrived.
    Item {
        /// Who sent it.
        from: NodeId,
        /// The item.
        item: PiggybackItem,
    },
    /// A later process runs under this node's name; this one must stop.
    Superseded,
}
