//! Settings, events and actions of membership.

use std::{net::SocketAddr, time::Duration};

use paddlemount_protocol::{
    identity::{Incarnation, NodeId, RegionId, ZoneId},
    peer::membership::{MemberRecord, MembershipAnswer, MembershipRequest, PiggybackItem},
    platform::MachineList,
};

/// Identifies one call between peers at one node, incoming or outgoing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Settings of a node's [`Membership`](super::Membership).
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    pub node: NodeId,
    /// The address at which it listens for peers.
    pub address: SocketAddr,
    pub zone: ZoneId,
    pub region: RegionId,
    /// The process's incarnation; increases with each start.
    pub incarnation: Incarnation,
    /// Addresses at which other nodes may be found.
    pub seeds: Vec<SocketAddr>,
    /// Seed of all random choices.
    pub seed: u64,
    pub timing: MembershipTiming,
}

/// Intervals and bounds of membership.
#[derive(Clone, Copy, Debug)]
pub struct MembershipTiming {
    /// Interval between two probe rounds.
    pub probe_interval: Duration,
    /// Timeout of a probe.
    pub probe_timeout: Duration,
    /// Number of members asked to probe a member that did not answer.
    pub indirect_probes: usize,
    /// Time that a suspected member has to refute the suspicion.
    pub suspicion_timeout: Duration,
    /// Interval between attempts to reach a dead member or an unknown machine.
    pub contact_interval: Duration,
    /// Interval between a representative's probes of other regions.
    pub region_interval: Duration,
    /// Minimum interval between comparisons of complete tables.
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

/// An input to [`Membership::handle`](super::Membership::handle).
#[derive(Clone, Debug)]
pub enum MembershipEvent<'a> {
    /// The time of [`Membership::next_wakeup`](super::Membership::next_wakeup) has come.
    Tick,
    /// A peer calls this node.
    Request {
        /// The call, numbered by the driver; its answer carries the same number.
        call: CallId,
        request: &'a MembershipRequest,
    },
    /// A call made by [`MembershipAction::Call`] was answered.
    Answer {
        call: CallId,
        answer: &'a MembershipAnswer,
    },
    /// A call made by [`MembershipAction::Call`] failed or timed out.
    Failed {
        call: CallId,
    },
    Machines(&'a MachineList),
    /// Piggyback this item on probes from now on, replacing the topic's previous one.
    Offer(PiggybackItem),
    /// Probe this many members now, or candidates if no member is known.
    ProbeNow(usize),
    /// This node starts a planned stop.
    Stop,
}

/// An output of [`Membership::handle`](super::Membership::handle) for the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Call a peer; exactly one `Answer` or `Failed` must follow.
    Call {
        call: CallId,
        address: SocketAddr,
        request: MembershipRequest,
        timeout: Duration,
    },
    Answer {
        call: CallId,
        answer: MembershipAnswer,
    },
    /// A member of this region was added or changed.
    Changed(MemberRecord),
    /// An item arrived from a peer.
    Item {
        from: NodeId,
        item: PiggybackItem,
    },
    /// A later incarnation runs under this node's name; this process must stop.
    Superseded,
}
