//! Sends to back ends that bear few rejections.

use std::time::Duration;

use bolero::TypeGenerator;
use paddlemount_core::forwarding::announcements::brittleness::{Brittleness, BrittlenessChange, InFlight};
use paddlemount_protocol::{fleet::BackendProcess, identity::ServiceId, time::Timestamp};

const SLOTS: u32 = 16;

fn service() -> ServiceId {
    ServiceId::from("pool")
}

fn process() -> BackendProcess {
    BackendProcess { id: "e".into(), started_at: Some(1) }
}

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_millis(1_000 + milliseconds)
}

fn brittle(bearable: f64) -> Brittleness {
    let mut brittle = Brittleness::default();
    let change = brittle.observe(&service(), Some(bearable), at(0), at(0));
    assert_eq!(change, Some(BrittlenessChange::Begins(bearable)));
    brittle
}

fn allows(brittle: &Brittleness, own: u32, total: u32, nodes: u32, now: u64) -> bool {
    let in_flight = InFlight { own, total, slots: SLOTS };
    brittle.allows(&service(), &process(), in_flight, 1.0 / f64::from(nodes), 0.5, at(now))
}

#[test]
fn an_ordinary_back_end_gets_any_number() {
    assert!(allows(&Brittleness::default(), 500, 900, 7, 0));
}

#[test]
fn a_full_brittle_back_end_gets_none() {
    let brittle = brittle(40.0);
    assert!(allows(&brittle, 1, 15, 7, 0));
    assert!(!allows(&brittle, 2, 2, 7, 0), "the loads of others may be late");
    assert!(!allows(&brittle, 0, 16, 7, 0));
    assert!(allows(&brittle, 0, 0, 30, 0), "one of two nodes has the one slot of both");
    assert!(!allows(&brittle, 0, 0, 60, 0));
}

#[test]
fn after_a_rejection_a_node_pauses_for_a_second_and_then_sends_fewer() {
    let mut brittle = brittle(40.0);
    brittle.record_rejection(&process(), 10, at(0));
    assert!(!allows(&brittle, 0, 0, 7, 999));
    assert!(allows(&brittle, 0, 0, 7, 1_000));
    assert!(!allows(&brittle, 0, 9, 1, 1_000), "eight tenths of what was in flight at the rejection");
    let restarted = BackendProcess { started_at: Some(2), ..process() };
    let idle = InFlight { own: 0, total: 0, slots: SLOTS };
    assert!(brittle.allows(&service(), &restarted, idle, 1.0, 0.5, at(10)), "another process");
}

#[test]
fn it_ends_with_an_answer_without_the_statement_to_a_later_request_or_after_five_seconds() {
    let mut brittle = brittle(5.0);
    assert_eq!(brittle.observe(&service(), None, at(0), at(10)), None, "sent before it was stated");
    assert_eq!(brittle.observe(&service(), None, at(1), at(20)), Some(BrittlenessChange::Ends));
    assert_eq!(brittle.observe(&service(), None, at(21), at(30)), None);
    brittle.observe(&service(), Some(5.0), at(40), at(50));
    assert_eq!(brittle.stated(&service(), at(5_049)), Some(5.0));
    assert_eq!(brittle.stated(&service(), at(5_050)), None);
    assert_eq!(brittle.sweep(at(5_050)), [service()]);
}

/// What a fleet's callers do.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Arrive { node: u8 },
    End { node: u8 },
    Report,
}

/// Whatever arrives where and however late nodes hear of each other, a brittle back end gets no more than it has slots
/// for.
#[test]
fn a_brittle_back_end_never_gets_more_than_its_slots() {
    bolero::check!().with_type::<(u8, Vec<Step>)>().for_each(|(nodes, steps)| {
        // With more nodes than slots each node has one or none by its own draw, and the sum holds on average only.
        let nodes = usize::from(*nodes) % SLOTS as usize + 1;
        let brittle = brittle(5.0);
        let mut own = vec![0_u32; nodes];
        let mut reported = own.clone();
        for step in steps {
            match *step {
                Step::Arrive { node } => {
                    let node = usize::from(node) % nodes;
                    let others: u32 = reported
                        .iter()
                        .enumerate()
                        .filter(|(other, _)| *other != node)
                        .map(|(_, load)| *load)
                        .sum();
                    let total = own[node] + others;
                    if allows(&brittle, own[node], total, nodes as u32, 0) {
                        own[node] += 1;
                    }
                }
                Step::End { node } => {
                    let node = usize::from(node) % nodes;
                    own[node] = own[node].saturating_sub(1);
                }
                Step::Report => reported.clone_from(&own),
            }
            assert!(own.iter().sum::<u32>() <= SLOTS);
        }
    });
}
