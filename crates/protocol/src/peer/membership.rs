//! Membership: probes that carry gossip, indirect probes, and pages of the member table.
//!
//! Message sizes are bounded by [`MAX_PROBE_BYTES`] for a probe and its answer and [`MAX_PAGE_BYTES`] for a
//! page.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::configuration::ConfigurationGossip;
use crate::identity::{Incarnation, NodeId, RegionId, ZoneId};

/// Path of membership requests.
pub const PATH: &str = "/peer/membership";

/// Maximum body size of a probe or its answer.
pub const MAX_PROBE_BYTES: usize = 1_600;

/// Maximum size of the member records in a probe.
pub const MAX_UPDATE_BYTES: usize = 420;

/// Maximum size of the region summaries in a probe.
pub const MAX_REGION_BYTES: usize = 320;

/// Maximum size of all [`PiggybackItem`]s in a probe.
pub const MAX_PIGGYBACK_BYTES: usize = 320;

/// Maximum size of one [`PiggybackItem`].
pub const MAX_PIGGYBACK_ITEM_BYTES: usize = 300;

/// Maximum body size of a page of members.
pub const MAX_PAGE_BYTES: usize = 3_200;

/// Maximum number of representatives in a region's summary.
pub const MAX_REPRESENTATIVES: usize = 3;

/// A member's liveness, as its peers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Failed to answer a probe and may still refute the suspicion.
    Suspect,
    /// Did not refute the suspicion in time.
    Dead,
    /// Announced that it stops.
    Left,
}

/// A member as seen by one node.
///
/// Of two records of a node, the one with the greater (incarnation, refutation, state) takes precedence.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberRecord {
    pub node: NodeId,
    /// Address that receives peer messages.
    pub address: SocketAddr,
    pub zone: ZoneId,
    pub region: RegionId,
    pub incarnation: Incarnation,
    /// Number of suspicions that the member has refuted in this incarnation.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub refutation: u32,
    pub state: MemberState,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde asks for a reference")]
const fn is_zero(number: &u32) -> bool {
    *number == 0
}

impl MemberRecord {
    /// Sort key that decides which of two records of a node is current.
    pub const fn precedence(&self) -> (Incarnation, u32, MemberState) {
        (self.incarnation, self.refutation, self.state)
    }
}

/// Summary of a region, for members of other regions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionSummary {
    pub region: RegionId,
    /// Members believed to be alive.
    pub alive: u16,
    /// Members in any state except [`MemberState::Left`].
    pub known: u16,
    /// Milliseconds since a member of the region produced this summary.
    pub age_ms: u32,
    /// Members that represent the region to other regions.
    pub representatives: Vec<Representative>,
}

/// A member that represents its region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Representative {
    pub node: NodeId,
    /// Address that receives peer messages.
    pub address: SocketAddr,
}

/// The subject of a [`PiggybackItem`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Topic {
    /// Tenants' quota usage.
    Quotas,
    /// Load of engines.
    EngineLoads,
    /// Back ends that refuse new work.
    Drains,
    /// Frequently used prefixes.
    Prefixes,
    /// Back ends that crashed while running requests.
    Crashes,
}

/// A small periodic message of another subsystem, carried by probes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PiggybackItem {
    pub topic: Topic,
    /// Defined by the owner of the topic.
    pub body: serde_json::Value,
}

/// Payload of a probe and its answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender's own record.
    pub sender: MemberRecord,
    /// Hash of the sender's member table; a mismatch triggers a table comparison.
    pub table: u64,
    /// Recently changed records.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub updates: Vec<MemberRecord>,
    /// Summaries of other regions; to a member of another region, the summary of the sender's own.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub regions: Vec<RegionSummary>,
    /// The sender's configuration revision and its freshness.
    pub configuration: ConfigurationGossip,
    /// Messages of other subsystems.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub items: Vec<PiggybackItem>,
}

/// A membership request to a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum MembershipRequest {
    /// Probes the receiver. Answered by [`MembershipAnswer::Alive`].
    Probe { gossip: Box<Gossip> },
    /// Asks the receiver to probe another member. Answered by [`MembershipAnswer::Reached`].
    #[serde(rename = "probe_for")]
    IndirectProbe { target: MemberRecord },
    /// Requests the members whose names follow `after`. Answered by [`MembershipAnswer::Members`].
    Members {
        /// `None` requests the first page.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        after: Option<NodeId>,
    },
}

/// The answer to a [`MembershipRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum MembershipAnswer {
    /// The receiver of a probe is alive.
    Alive { gossip: Box<Gossip> },
    /// Whether the target of an indirect probe answered.
    Reached { reached: bool },
    /// A page of members, ordered by name.
    Members {
        members: Vec<MemberRecord>,
        /// Whether further pages follow.
        more: bool,
    },
}
