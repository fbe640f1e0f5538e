//! Selects the replicas of a key's claim.
//!
//! The choice depends only on the key, the tenant and the [`ClaimPlacement`], never on which nodes a node
//! believes to be alive. Two coordinators with the same epoch therefore contact the same replicas, and any
//! two majorities of these overlap.

use std::collections::{BTreeMap, BTreeSet};

use paddlemount_protocol::{
    identity::{NodeId, RegionId, ZoneId},
    peer::claims::{ClaimKey, ClaimMember, ClaimPlacement},
};
use xxhash_rust::xxh3::xxh3_64;

/// Number of replicas of a key, if the placement has enough nodes.
pub const REPLICAS: usize = 3;

/// Returns how many of `replicas` must grant a claim.
pub const fn majority(replicas: usize) -> usize {
    replicas / 2 + 1
}

/// Returns the replicas of `key` by rendezvous hashing: in different zones if there are enough, and all in
/// one region if a region has enough zones. Empty if the placement has no members.
pub fn replicas_of(placement: &ClaimPlacement, key: &ClaimKey) -> Vec<NodeId> {
    let members = members_of_claim_region(&placement.members, key);
    let mut ranked: Vec<&ClaimMember> = members;
    ranked.sort_by_key(|member| {
        (std::cmp::Reverse(score(key.key.as_str(), member.node.as_str())), member.node.clone())
    });
    ranked.dedup_by(|left, right| left.node == right.node);
    let mut chosen = first_of_each_zone(&ranked);
    for member in ranked {
        if chosen.len() < REPLICAS && !chosen.contains(&member.node) {
            chosen.push(member.node.clone());
        }
    }
    chosen.truncate(REPLICAS);
    chosen
}

fn first_of_each_zone(ranked: &[&ClaimMember]) -> Vec<NodeId> {
    let mut zones: BTreeSet<&ZoneId> = BTreeSet::new();
    ranked.iter().filter(|member| zones.insert(&member.zone)).map(|member| member.node.clone()).collect()
}

/// Returns the members of the region that stores the tenant's claims. Regions with fewer than [`REPLICAS`]
/// zones are skipped; if none has as many, all members of all regions are used.
fn members_of_claim_region<'a>(members: &'a [ClaimMember], key: &ClaimKey) -> Vec<&'a ClaimMember> {
    let mut zones: BTreeMap<&RegionId, BTreeSet<&ZoneId>> = BTreeMap::new();
    for member in members {
        zones.entry(&member.region).or_default().insert(&member.zone);
    }
    let claim_region = zones
        .iter()
        .filter(|(_, zones)| zones.len() >= REPLICAS)
        .map(|(region, _)| *region)
        .max_by_key(|region| (score(key.tenant.as_str(), region.as_str()), *region));
    members.iter().filter(|member| claim_region.is_none_or(|region| member.region == *region)).collect()
}

fn score(subject: &str, candidate: &str) -> u64 {
    let mut bytes = Vec::with_capacity(subject.len() + candidate.len() + 1);
    bytes.extend_from_slice(subject.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(candidate.as_bytes());
    xxh3_64(&bytes)
}
