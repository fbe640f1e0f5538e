//! The requests of all nodes together to a back end with a rate limit, under any changes, restarts, partitions and
//! stalled connections.

mod limit_support;

use std::time::Duration;

use bolero::TypeGenerator;
use limit_support::{Fleet, WINDOW_MS, at, fresh_backends, process};
use paddlemount_core::forwarding::{
    announcements::rate_limit::Advertised,
    backends::{BackendId, Backends},
};
use paddlemount_protocol::identity::NodeId;

/// Maximum number of steps in a history, to bound the time of the test.
const MAX_STEPS: usize = 40;
/// The greatest time for which connections stall, in milliseconds.
const MAX_STALL_MS: u64 = 10_000;

#[derive(Debug, TypeGenerator)]
enum Step {
    /// The back end sets another limit, in tenths of a request per second.
    SetLimit {
        tenths: u16,
    },
    /// Callers start or stop sending requests to a node.
    Shift {
        node: u8,
        is_busy: bool,
    },
    Restart {
        node: u8,
    },
    /// A node is partitioned from the others for a while.
    Partition {
        node: u8,
        tenths: u8,
    },
    /// A part of the requests is read late.
    Stall {
        percent: u8,
        tenths: u8,
    },
    Wait {
        tenths: u8,
    },
}

fn play(count: usize, limit: f64, steps: &[Step]) -> Fleet {
    let mut fleet = Fleet::of(count);
    fleet.advance(2_000);
    fleet.set_limit(limit);
    fleet.advance(1_000);
    for step in steps {
        match step {
            Step::SetLimit { tenths } => fleet.set_limit(f64::from(*tenths % 400) / 10.0),
            Step::Shift { node, is_busy } => fleet.nodes[usize::from(*node) % count].is_busy = *is_busy,
            Step::Restart { node } => fleet.restart(usize::from(*node) % count),
            Step::Partition { node, tenths } => {
                let node = &mut fleet.nodes[usize::from(*node) % count];
                node.partitioned_until = fleet.now + u64::from(*tenths) * 20;
                node.disturbed_at = Some(node.partitioned_until);
            }
            Step::Stall { percent, tenths } => {
                fleet.stall(u64::from(*percent % 101), fleet.now + u64::from(*tenths) * 40);
            }
            Step::Wait { tenths } => fleet.advance(u64::from(*tenths) * 20),
        }
    }
    fleet.advance(WINDOW_MS);
    fleet
}

#[test]
fn all_nodes_together_keep_to_a_limit_whatever_happens_to_them() {
    bolero::check!().with_type::<(bool, Vec<Step>)>().for_each(|(many, steps)| {
        let fleet = play(if *many { 24 } else { 7 }, 1.1, &steps[..steps.len().min(MAX_STEPS)]);
        assert_eq!(fleet.exceeded(), None, "in {steps:?}");
    });
}

#[test]
fn a_grant_of_a_higher_limit_by_a_root_that_is_out_of_reach_is_reduced() {
    let steps = [
        Step::Wait { tenths: 55 },
        Step::Partition { node: 4, tenths: 77 },
        Step::Partition { node: 221, tenths: 80 },
        Step::SetLimit { tenths: 56900 },
        Step::Shift { node: 43, is_busy: false },
        Step::Wait { tenths: 44 },
        Step::SetLimit { tenths: 40487 },
        Step::Partition { node: 67, tenths: 204 },
        Step::Restart { node: 76 },
        Step::SetLimit { tenths: 17098 },
        Step::Shift { node: 13, is_busy: false },
        Step::Partition { node: 149, tenths: 101 },
        Step::Partition { node: 12, tenths: 107 },
        Step::Restart { node: 153 },
        Step::Restart { node: 125 },
        Step::Restart { node: 130 },
        Step::Wait { tenths: 193 },
        Step::Partition { node: 42, tenths: 103 },
        Step::Shift { node: 48, is_busy: false },
        Step::Partition { node: 120, tenths: 50 },
        Step::Wait { tenths: 139 },
        Step::Restart { node: 139 },
        Step::SetLimit { tenths: 15475 },
        Step::Shift { node: 46, is_busy: false },
        Step::Partition { node: 24, tenths: 141 },
        Step::Partition { node: 87, tenths: 151 },
        Step::Restart { node: 59 },
        Step::SetLimit { tenths: 26878 },
        Step::SetLimit { tenths: 33239 },
        Step::Wait { tenths: 121 },
        Step::Shift { node: 248, is_busy: false },
        Step::Wait { tenths: 176 },
    ];
    let fleet = play(24, 1.1, &steps);
    assert_eq!(fleet.exceeded(), None);
}

/// For limits far below, about at, and above the rate of requests before.
#[test]
fn a_limit_is_kept_to_and_used_by_few_and_many_nodes() {
    for count in [1, 3, 7, 70, 300] {
        for limit in [0.3, 1.1, 5.0, 40.0] {
            let mut fleet = play(count, limit, &[]);
            assert_eq!(fleet.exceeded(), None, "{count} nodes, a limit of {limit}");
            let from = fleet.now;
            fleet.advance(30_000);
            let used = fleet.count_after(from) as f64 / 30.0;
            let max_demand = count as f64 * 20.0;
            let aim = limit.min(max_demand);
            assert!(used <= limit + 0.1, "{count} nodes send {used} a second by a limit of {limit}");
            assert!(used >= aim * 0.8 - 0.1, "{count} nodes send {used} a second by a limit of {limit}");
        }
    }
}

/// What waits on stalled connections arrives at once, beside what is sent then.
#[test]
fn requests_on_stalled_connections_count_against_a_limit_until_they_arrive() {
    for count in [1, 3, 12, 70] {
        for limit in [0.3, 1.1, 8.0, 40.0] {
            for percent in [20, 65, 95] {
                let mut fleet = play(count, limit, &[]);
                for _ in 0..3 {
                    fleet.stall(percent, fleet.now + MAX_STALL_MS);
                    fleet.advance(MAX_STALL_MS + 1_000);
                }
                let case = format!("{count} nodes, a limit of {limit}, {percent}% of the requests late");
                assert_eq!(fleet.exceeded(), None, "{case}");
            }
        }
    }
}

#[test]
fn a_limit_is_used_when_few_nodes_have_callers() {
    let mut fleet = Fleet::of(7);
    for number in 2..7 {
        fleet.nodes[number].is_busy = false;
    }
    fleet.set_limit(5.0);
    fleet.advance(10_000);
    let from = fleet.now;
    fleet.advance(20_000);
    let used = fleet.count_after(from) as f64 / 20.0;
    assert!(used >= 3.0, "two nodes of seven send {used} a second by a limit of 5");
}

/// Measured demands differ from moment to moment; slots that move with them are empty at first.
#[test]
fn a_limit_is_used_while_measured_demands_vary() {
    for count in [3, 7, 24] {
        for demand in [8.0, 9.5, 11.3, 13.5, 16.0] {
            let mut fleet = Fleet::of(count);
            (fleet.demand, fleet.demand_noise) = (demand, 0.1);
            fleet.set_limit(1.1);
            fleet.advance(10_000);
            let from = fleet.now;
            fleet.advance(60_000);
            let used = fleet.count_after(from) as f64 / 60.0;
            assert!(used >= 1.1 * 0.8, "{count} nodes with {demand} a second send {used} by a limit of 1.1");
        }
    }
}

#[test]
fn an_answer_to_an_earlier_request_does_not_end_a_limit_and_one_to_a_later_request_does() {
    let (mut backends, id) = (fresh_backends(), BackendId::from("b"));
    let observe = |backends: &mut Backends, per_second, ms| {
        let advertised = Advertised { per_second, at: at(ms) };
        backends.announcements.observe_limit(&process(), advertised, 0.0, at(1_100))
    };
    assert!(observe(&mut backends, Some(0.0), 1_000).is_some());
    assert!(!backends.has_permit(&id, at(1_100)));
    assert_eq!(observe(&mut backends, None, 900), None);
    assert!(!backends.has_permit(&id, at(1_100)));
    assert!(observe(&mut backends, None, 1_001).is_some());
    assert!(backends.has_permit(&id, at(1_100)));
}

#[test]
fn a_limit_that_returns_through_other_nodes_is_not_new() {
    let mut fleet = Fleet::of(3);
    fleet.set_limit(1.0);
    fleet.advance(3_000);
    fleet.nodes.iter_mut().for_each(|node| node.is_busy = false);
    fleet.advance(1_000);
    for node in &fleet.nodes[1..] {
        assert_eq!(node.backends.announcements.pending_limit_gossip(at(fleet.now)), []);
    }
    let age = |fleet: &Fleet| {
        let grants =
            fleet.nodes[0].backends.announcements.limit_grants_for(&NodeId::from("n1"), at(fleet.now));
        Duration::from_millis(grants[0].limit.age_ms)
    };
    let before = age(&fleet);
    fleet.advance(10_000);
    assert_eq!(age(&fleet), before + Duration::from_secs(10), "it ages while nothing confirms it");
}
