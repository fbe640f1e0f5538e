//! A node that starts during a store outage must obtain confirmations from a majority of its region before a
//! peer's older confirmation expires; otherwise it accepts requests and then refuses them for a while.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use paddlemount_core::{
    configuration::{
        change::StoreFailure,
        freshness::{STALE_AFTER, short_hash},
    },
    membership::{MembershipSettings, MembershipTiming},
    peers::{PeerAction, PeerAnswer, PeerEvent, PeerRequest, Peers},
};
use paddlemount_protocol::{
    configuration::{Configuration, RevisedConfiguration},
    identity::{Incarnation, Revision},
    peer::{
        configuration::{
            CONFIRMATION_AGE_STEP_MS, ConfigurationAnswer, ConfigurationGossip, ConfigurationRequest,
            MemberConfirmation, MemberConfirmations,
        },
        membership::{Gossip, MemberRecord, MemberState, MembershipAnswer, MembershipRequest},
    },
    time::Timestamp,
};

const START: Timestamp = Timestamp(1_000_000_000);
const FIRST_PORT: u16 = 7_000;
const NODES: u16 = 5;
/// Nodes that started together with this one; the others have run for long.
const RESTARTED: [u16; 2] = [1, 2];
/// Age, at the start, of the last confirmation by the earlier incarnations of the restarted nodes.
const LAST_CONFIRMATION_AGE: Duration = Duration::from_secs(2);
/// How long the restarted nodes have no confirmations.
const WITHOUT_CONFIRMATIONS: Duration = Duration::from_secs(2);
/// Age, at the start, of the last store read by any node.
const STORE_READ_AGE: Duration = Duration::from_millis(6_560);
const STEP: Duration = Duration::from_millis(20);
const SIMULATED: Duration = Duration::from_secs(4);
const SEEDS: u64 = 40;

fn record(number: u16) -> MemberRecord {
    MemberRecord {
        node: format!("node-{number}").as_str().into(),
        address: ([127, 0, 0, 1], FIRST_PORT + number).into(),
        zone: "zone-1".into(),
        region: "region-1".into(),
        incarnation: Incarnation(1),
        refutation: 0,
        state: MemberState::Alive,
    }
}

fn starting_node(seed: u64) -> Peers {
    let own = record(0);
    let settings = MembershipSettings {
        node: own.node,
        address: own.address,
        zone: own.zone,
        region: own.region,
        incarnation: own.incarnation,
        seeds: (1..NODES).map(|number| record(number).address).collect(),
        seed,
        timing: MembershipTiming::default(),
    };
    Peers::new(settings, START)
}

fn milliseconds(age: Duration) -> u64 {
    u64::try_from(age.as_millis()).expect("the age fits into its field")
}

fn confirmation(number: u16, age: Duration) -> MemberConfirmation {
    let age_steps = u8::try_from(milliseconds(age).div_ceil(CONFIRMATION_AGE_STEP_MS))
        .expect("the age fits into its field");
    MemberConfirmation { member: short_hash(&record(number).node), age_steps }
}

/// A peer's configuration gossip: nodes that have run for long have confirmations by all, restarted nodes by
/// none.
fn configuration_gossip(peer: u16, now: Timestamp) -> ConfigurationGossip {
    let running = now.saturating_since(START);
    if RESTARTED.contains(&peer) && running < WITHOUT_CONFIRMATIONS {
        return ConfigurationGossip { revision: Revision(1), ..ConfigurationGossip::default() };
    }
    let mut members: Vec<MemberConfirmation> =
        (3..NODES).map(|number| confirmation(number, Duration::ZERO)).collect();
    members.extend(RESTARTED.map(|number| confirmation(number, LAST_CONFIRMATION_AGE + running)));
    let store_age = Some(STORE_READ_AGE + running).filter(|age| *age < STALE_AFTER);
    ConfigurationGossip {
        revision: Revision(1),
        store_age_ms: store_age
            .map(|age| u32::try_from(milliseconds(age)).expect("the age fits into its field")),
        confirmations: MemberConfirmations(members),
    }
}

fn answer(address: SocketAddr, request: &PeerRequest, now: Timestamp) -> PeerAnswer {
    let peer = address.port() - FIRST_PORT;
    match request {
        PeerRequest::Membership(MembershipRequest::Members { .. }) => {
            let members = (0..NODES).map(record).collect();
            PeerAnswer::Membership(MembershipAnswer::Members { members, more: false })
        }
        PeerRequest::Membership(_) => {
            let gossip = Box::new(Gossip {
                sender: record(peer),
                table: 0,
                updates: Vec::new(),
                regions: Vec::new(),
                configuration: configuration_gossip(peer, now),
                items: Vec::new(),
            });
            PeerAnswer::Membership(MembershipAnswer::Alive { gossip })
        }
        PeerRequest::Configuration(ConfigurationRequest::Pull { .. }) => {
            let configuration = Configuration::default();
            let configuration = Box::new(RevisedConfiguration { revision: Revision(1), configuration });
            PeerAnswer::Configuration(ConfigurationAnswer::Complete { configuration })
        }
        PeerRequest::Configuration(_) => {
            PeerAnswer::Configuration(ConfigurationAnswer::Applied { revision: Revision(1) })
        }
    }
}

/// Sends a tick and answers all calls; the store fails.
fn step(node: &mut Peers, now: Timestamp) {
    let mut actions = VecDeque::from(node.handle(PeerEvent::Tick, now));
    while let Some(action) = actions.pop_front() {
        let more = match action {
            PeerAction::Call { call, address, request, .. } => {
                let answer = answer(address, &request, now);
                node.handle(PeerEvent::Answer { call, answer: &answer }, now)
            }
            PeerAction::Store { call, .. } => {
                node.handle(PeerEvent::Store { call, result: Err(StoreFailure::Unclear) }, now)
            }
            _ => Vec::new(),
        };
        actions.extend(more);
    }
}

/// Returns when the node first serves, and the times after that at which it does not.
fn refusing_times(seed: u64) -> (Option<Duration>, Vec<Duration>) {
    let mut node = starting_node(seed);
    let mut first = None;
    let mut refusing = Vec::new();
    let mut running = Duration::ZERO;
    while running < SIMULATED {
        let now = START + running;
        // A request may arrive just before the tick.
        let serves = node.may_serve(now);
        if first.is_some() && !serves {
            refusing.push(running);
        }
        step(&mut node, now);
        first = first.or(node.may_serve(now).then_some(running));
        running += STEP;
    }
    (first, refusing)
}

#[test]
fn a_node_that_starts_during_a_store_outage_keeps_serving() {
    for seed in 0..SEEDS {
        let (first, refusing) = refusing_times(seed);
        assert!(first.is_some(), "seed {seed}: it never serves");
        assert_eq!(refusing, [], "seed {seed}: it served first at {first:?}");
    }
}
