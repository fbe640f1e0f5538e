//! Messages of membership: probes that carry gossip, indirect probes, pages of the member table.
//!
//! Every message is bounded: [`MAX_PROBE_BYTES`] for a probe and its answer, [`MAX_PAGE_BYTES`] for a page.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::configuration::ConfigurationGossip;
use crate::identity::{Incarnation, NodeId, RegionId, ZoneId};

/// The path that membership requests are posted to.
pub const PATH: &str = "/peer/membership";

/// Greatest size of the body of a probe or of its answer.
pub const MAX_PROBE_BYTES: usize = 1_600;

/// Bytes of a probe that member records may fill.
pub const MAX_UPDATE_BYTES: usize = 420;

/// Bytes of a probe that region summaries may fill.
pub const MAX_REGION_BYTES: usize = 320;

/// Bytes of a probe that [`PiggybackItem`]s may fill.
pub const MAX_PIGGYBACK_BYTES: usize = 320;

/// Greatest size of one [`PiggybackItem`].
pub const MAX_PIGGYBACK_ITEM_BYTES: usize = 300;

/// Greatest size of the body of a page of members.
pub const MAX_PAGE_BYTES: usize = 3_200;

/// Representatives that a region's summary names.
pub const MAX_REPRESENTATIVES: usize = 3;

/// What is believed of a member's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer; it has time to refute that.
    Suspect,
    /// It did not refute the suspicion.
    Dead,
    /// It said that it stops.
    Left,
}

/// One member as one node believes it to be.
///
/// Of two records of a node, the one with the greater (incarnation, refutation, state) holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The node.
    pub node: NodeId,
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Suspicions that it has refuted in this life.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub refutation: u32,
    /// What is believed of it.
    pub state: MemberState,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde asks for a reference")]
const fn is_zero(number: &u32) -> bool {
    *number == 0
}

impl MemberRecord {
    /// The order in which records of the same node replace one another.
    pub const fn precedence(&self) -> (Incarnation, u32, MemberState) {
        (self.incarnation, self.refutation, self.state)
    }
}

/// What other regions know of a region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionSummary {
    /// The region.
    pub region: RegionId,
    /// Members believed to be alive.
    pub alive: u16,
    /// Members known, in any state but left.
    pub known: u16,
    /// Milliseconds since a member of the region gave this account.
    pub age_ms: u32,
    /// Members that answer for the region.
    pub representatives: Vec<Representative>,
}

/// A member that answers for its region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Representative {
    /// The node.
    pub node: NodeId,
    /// Where it listens for peers.
    pub address: SocketAddr,
}

/// What a [`PiggybackItem`] is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Topic {
    /// Tenants' use of their quotas.
    Quotas,
    /// Load of engines.
    EngineLoads,
    /// Back ends that take no new work.
    Drains,
    /// Hot prefixes.
    Prefixes,
    /// Back ends that ended under requests.
    Crashes,
}

/// A small periodic message of another part of the system that rides on probes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PiggybackItem {
    /// What it is about.
    pub topic: Topic,
    /// The message, typed by its topic's owner.
    pub body: serde_json::Value,
}

/// What a probe and its answer carry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender's own record.
    pub sender: MemberRecord,
    /// A hash over the sender's member table; differing hashes lead to a comparison of tables.
    pub table: u64,
    /// Records that changed of late.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub updates: Vec<MemberRecord>,
    /// Accounts of other regions; of the sender's own where it speaks to another region.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub regions: Vec<RegionSummary>,
    /// The sender's configuration revision and how fresh it is.
    pub configuration: ConfigurationGossip,
    /// Messages of other parts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub items: Vec<PiggybackItem>,
}

/// A request to a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum MembershipRequest {
    /// Are you there? Answered by [`MembershipAnswer::Alive`].
    Probe {
        /// The sender's gossip.
        gossip: Box<Gossip>,
    },
    /// Probe another member for me. Answered by [`MembershipAnswer::Reached`].
    #[serde(rename = "probe_for")]
    IndirectProbe {
        /// The member to probe.
        target: MemberRecord,
    },
    /// The members whose names follow `after`. Answered by [`MembershipAnswer::Members`].
    Members {
        /// Where the page begins; none for the first page.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        after: Option<NodeId>,
    },
}

/// An answer to a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum MembershipAnswer {
    /// The receiver of a probe lives.
    Alive {
        /// The receiver's gossip.
        gossip: Box<Gossip>,
    },
    /// Whether the target of an indirect probe answered.
    Reached {
        /// It did.
        reached: bool,
    },
    /// A page of members, in the order of their names.
    Members {
        /// The records.
        members: Vec<MemberRecord>,
        /// Whether more follow.
        more: bool,
    },
}
