//! Which other node serves a request whose back ends this node does not reach.

use std::{collections::BTreeMap, time::Duration};

use bolero::TypeGenerator;
use paddlemount_core::forwarding::intermediaries::{Intermediaries, LivenessCheck};
use paddlemount_protocol::{
    fleet::{Intermediary, Member},
    identity::{NodeId, ServiceId, ZoneId},
    time::Timestamp,
};

fn node(number: usize) -> NodeId {
    NodeId::from(format!("n{number:03}"))
}

fn service() -> ServiceId {
    ServiceId::from("pool")
}

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_millis(10_000 + milliseconds)
}

fn intermediary(number: usize, reaches: bool, age_ms: u64) -> Intermediary {
    let member = Member {
        node: node(number),
        zone: ZoneId::from("z"),
        address: ([10, 0, 0, 1], 7_000).into(),
        capacity: 100,
    };
    let unreached = if reaches { Vec::new() } else { vec![service()] };
    Intermediary { member, unreached, age_ms, checks_software: true }
}

fn known(reaching: &[usize], others: &[usize]) -> Intermediaries {
    let mut known = Intermediaries::default();
    let received = reaching.iter().map(|number| intermediary(*number, true, 0));
    let received = received.chain(others.iter().map(|number| intermediary(*number, false, 0)));
    known.receive(received.collect(), &node(0), at(0));
    known
}

fn choose(known: &Intermediaries, draw: u64, now: u64) -> Option<NodeId> {
    let chosen = known.choose(&service(), &ZoneId::from("z"), false, |_| false, draw, at(now));
    chosen.map(|contact| contact.node)
}

#[test]
fn two_survivors_of_seven_share_the_load_of_the_others() {
    let mut served: BTreeMap<NodeId, u32> = BTreeMap::new();
    for cut_off in 0..5 {
        let mut known = known(&[5, 6], &[1, 2, 3, 4]);
        for number in 0..200_u64 {
            let draw = number.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ cut_off;
            let chosen = choose(&known, draw, 0).expect("a survivor");
            known.begin(&chosen, at(0));
            *served.entry(chosen).or_default() += 1;
        }
    }
    assert_eq!(served.values().sum::<u32>(), 1_000);
    assert!(served.values().all(|count| (400..=600).contains(count)), "{served:?}");
}

#[test]
fn a_node_that_does_not_reach_the_service_or_failed_lately_is_not_chosen() {
    let mut known = known(&[1], &[2, 3]);
    assert_eq!(choose(&known, 7, 0), Some(node(1)));
    known.record_failure(&node(1), at(0));
    assert_eq!(choose(&known, 7, 1_000), None);
    assert!(!known.has_any(&service(), at(1_000)));
    known.receive(vec![intermediary(1, true, 900)], &node(0), at(1_000));
    assert_eq!(choose(&known, 7, 1_000), Some(node(1)), "it has stated later that it serves");
}

#[test]
fn a_statement_expires_and_a_later_one_replaces_it() {
    let mut known = known(&[1], &[]);
    assert_eq!(choose(&known, 0, 5_999), Some(node(1)));
    assert_eq!(choose(&known, 0, 6_000), None);
    known.receive(vec![intermediary(1, false, 0)], &node(0), at(100));
    assert_eq!(choose(&known, 0, 200), None);
    known.receive(vec![intermediary(1, true, 50)], &node(0), at(120));
    assert_eq!(choose(&known, 0, 200), None, "a delayed statement is older");
}

#[test]
fn a_change_of_a_nodes_own_paths_is_sent_with_the_next_message() {
    let mut known = known(&[1, 2], &[]);
    let own = |reaches| Some(intermediary(0, reaches, 0));
    assert_eq!(known.message_to(&node(9), own(true), 0, at(0)).len(), 3);
    assert!(known.message_to(&node(9), own(true), 0, at(200)).is_empty());
    let changed = known.message_to(&node(9), own(false), 0, at(400));
    assert_eq!(changed.first(), own(false).as_ref());
    assert!(known.message_to(&node(9), own(false), 0, at(600)).is_empty());
}

#[test]
fn a_stopping_node_offers_nothing_of_its_own() {
    let mut known = known(&[1], &[]);
    let message = known.message_to(&node(9), None, 0, at(0));
    assert!(message.iter().all(|sent| sent.member.node != node(0)));
}

/// A frozen process accepts connections, and its earlier statements are still passed on.
#[test]
fn a_node_that_serves_and_sends_nothing_is_checked_by_one_request_at_a_time() {
    let mut known = known(&[1], &[]);
    known.begin(&node(1), at(0));
    assert_eq!(known.next_check(&node(1), at(100)), LivenessCheck::After(Duration::from_millis(200)));
    assert_eq!(known.next_check(&node(1), at(300)), LivenessCheck::Now);
    assert_eq!(known.next_check(&node(1), at(310)), LivenessCheck::After(Duration::from_millis(290)));
    known.record_failure(&node(1), at(700));
    assert_eq!(known.next_check(&node(1), at(710)), LivenessCheck::Failed);
    known.receive(vec![intermediary(1, true, 400)], &node(0), at(800));
    assert_eq!(choose(&known, 0, 800), None, "stated before it failed");
}

/// What may be received and done.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Receive { node: u8, reaches: bool, age_ms: u16 },
    Fail { node: u8 },
    Begin { node: u8 },
    End { node: u8 },
    Choose { draw: u64 },
    Send { node: u8, draw: u64 },
    Pass { milliseconds: u16 },
}

/// Messages stay bounded, and only a node is chosen whose latest statement is recent and names the service as reached.
#[test]
fn any_history_keeps_messages_bounded_and_choices_eligible() {
    bolero::check!().with_type::<Vec<Step>>().for_each(|steps| {
        let mut known = Intermediaries::default();
        let mut latest: BTreeMap<NodeId, (Timestamp, bool)> = BTreeMap::new();
        let mut now = 0;
        for step in steps {
            match *step {
                Step::Receive { node: number, reaches, age_ms } => {
                    let number = usize::from(number);
                    let stated = intermediary(number, reaches, u64::from(age_ms));
                    let stated_at = at(now) - Duration::from_millis(u64::from(age_ms));
                    known.receive(vec![stated], &node(0), at(now));
                    let entry = latest.entry(node(number)).or_insert((stated_at, reaches));
                    if stated_at >= entry.0 {
                        *entry = (stated_at, reaches);
                    }
                }
                Step::Fail { node: number } => known.record_failure(&node(number.into()), at(now)),
                Step::Begin { node: number } => known.begin(&node(number.into()), at(now)),
                Step::End { node: number } => known.end(&node(number.into())),
                Step::Choose { draw } => {
                    if let Some(chosen) = choose(&known, draw, now) {
                        assert_ne!(chosen, node(0), "a node is not its own intermediary");
                        let (stated_at, reaches) = latest[&chosen];
                        assert!(reaches && at(now).saturating_since(stated_at) < Duration::from_secs(6));
                    }
                }
                Step::Send { node: number, draw } => {
                    let own = Some(intermediary(0, true, 0));
                    let message = known.message_to(&node(number.into()), own, draw, at(now));
                    assert!(message.len() <= 4);
                    assert!(message.iter().skip(1).all(|sent| sent.member.node != node(number.into())));
                }
                Step::Pass { milliseconds } => {
                    now += u64::from(milliseconds);
                    known.sweep(at(now));
                }
            }
        }
    });
}
