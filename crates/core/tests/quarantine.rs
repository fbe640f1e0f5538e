//! Which requests are held back for the back ends that ended under them, and which are not.

use std::time::Duration;

use paddlemount_core::quarantine::{
    CRASH_THRESHOLD, Crash, HOLD_DURATION, HoldSource, MAX_REPORTED_EVENTS, Origin, Quarantine,
};
use paddlemount_protocol::{
    identity::{EngineId, NodeId},
    quarantine::{QuarantinedRequest, RequestFingerprint},
    time::Timestamp,
};

/// By then all nodes have told of a crash.
const SETTLING: Duration = Duration::from_millis(700);
const START: Timestamp = Timestamp::from_millis(3_600_000);

fn at(milliseconds: u64) -> Timestamp {
    START + Duration::from_millis(milliseconds)
}

fn request(body: &str) -> RequestFingerprint {
    Origin { method: "POST", host: "h", path: "/p", caller: "alpha" }.fingerprint(body.as_bytes())
}

fn crash(body: &str, engine: &str, began: u64, ended: u64) -> Crash {
    Crash {
        fingerprint: request(body),
        engine: EngineId::from(engine),
        route: "chat".into(),
        tenant: None,
        began: at(began),
        ended: at(ended),
    }
}

/// Takes a crash in and concludes what it shows, when others have told what ended with it.
fn take(quarantine: &mut Quarantine, crash: Crash) -> Option<QuarantinedRequest> {
    let (now, later) = (crash.ended, crash.ended + SETTLING);
    quarantine.crashed(crash, now);
    quarantine.conclude(&NodeId::from("n1"), later).pop()
}

/// A request under which engines ended one after the other, each under a run that began after the end before.
fn held(body: &str) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for number in 0..CRASH_THRESHOLD as u64 {
        let began = number * 1_000;
        take(&mut quarantine, crash(body, &format!("e{number}"), began, began + 200));
    }
    quarantine
}

#[test]
fn the_third_crash_in_turn_holds_a_request_back_and_names_the_engines() {
    let mut quarantine = Quarantine::default();
    assert_eq!(take(&mut quarantine, crash("x", "e0", 0, 100)), None);
    assert_eq!(take(&mut quarantine, crash("x", "e1", 200, 300)), None);
    assert!(quarantine.held(&request("x"), at(300)).is_none());
    let held = take(&mut quarantine, crash("x", "e2", 400, 500)).expect("it is held back");
    assert_eq!(held.engines.len(), CRASH_THRESHOLD);
    let known = quarantine.held(&request("x"), at(1_200)).expect("it is held back");
    assert_eq!(
        (known.by, known.since, known.until),
        (HoldSource::Counted, at(1_200), at(1_200) + HOLD_DURATION)
    );
    assert!(quarantine.may_hold(request("x").origin));
    assert!(quarantine.held(&request("y"), at(500)).is_none(), "another body is another request");
}

#[test]
fn requests_of_other_callers_paths_and_bodies_differ() {
    let origin = Origin { method: "POST", host: "h", path: "/p", caller: "alpha" };
    let others = [
        Origin { method: "GET", ..origin },
        Origin { host: "i", ..origin },
        Origin { path: "/p/", ..origin },
        Origin { caller: "beta", ..origin },
        Origin { host: "h/", path: "p", ..origin },
    ];
    for other in others {
        assert_ne!(other.fingerprint(b"body"), origin.fingerprint(b"body"), "{other:?}");
        assert_ne!(other.hash(), origin.hash(), "{other:?}");
    }
    assert_eq!(origin.fingerprint(b"body").to_string().parse(), Ok(origin.fingerprint(b"body")));
}

#[test]
fn a_rack_that_is_lost_under_many_runs_of_one_request_counts_once() {
    let mut quarantine = Quarantine::default();
    for engine in 0..40 {
        let lost = crash("x", &format!("e{engine}"), 900 - engine * 20, 1_000 + engine % 3);
        assert_eq!(take(&mut quarantine, lost), None, "engine {engine}");
    }
    // A second rack, under runs that began before the first was lost.
    for engine in 40..80 {
        assert_eq!(
            take(&mut quarantine, crash("x", &format!("e{engine}"), 950, 1_400)),
            None,
            "engine {engine}"
        );
    }
    assert!(quarantine.held(&request("x"), at(1_400)).is_none());
}

#[test]
fn racks_that_are_lost_one_after_the_other_hold_nothing_back_even_where_nothing_is_served_between() {
    let mut quarantine = Quarantine::default();
    for rack in 0..10 {
        let began = rack * 1_000;
        for engine in 0..4 {
            let lost = crash("x", &format!("e{rack}-{engine}"), began, began + 400 + engine);
            assert_eq!(take(&mut quarantine, lost), None, "rack {rack}");
        }
    }
}

#[test]
fn a_rack_whose_ends_are_told_by_several_nodes_holds_nothing_back() {
    let mut quarantine = Quarantine::default();
    for rack in 0..10 {
        let began = rack * 1_000;
        // This request met one engine of each rack; that others ended too is told a little later.
        quarantine.crashed(crash("x", &format!("x{rack}"), began, began + 100), at(began + 110));
        assert_eq!(quarantine.conclude(&NodeId::from("n"), at(began + 150)), Vec::new());
        for other in 0..3 {
            let engine = format!("o{rack}-{other}");
            let body = format!("other {rack} {other}");
            quarantine.crashed(crash(&body, &engine, began, began + 102), at(began + 500));
        }
        assert_eq!(quarantine.conclude(&NodeId::from("n"), at(began + 900)), Vec::new());
    }
}

#[test]
fn a_lost_rack_between_them_does_not_hide_crashes_in_turn() {
    let mut quarantine = Quarantine::default();
    take(&mut quarantine, crash("x", "e0", 0, 100));
    for engine in 0..4 {
        take(&mut quarantine, crash("x", &format!("r{engine}"), 150, 500));
    }
    take(&mut quarantine, crash("x", "e1", 700, 800));
    assert!(take(&mut quarantine, crash("x", "e2", 1_000, 1_100)).is_some());
}

#[test]
fn two_runs_at_a_time_do_not_hide_a_request_that_crashes_engines() {
    let mut quarantine = Quarantine::default();
    let mut held = None;
    for pair in 0..3 {
        let began = pair * 1_000;
        for engine in 0..2 {
            held = held.or(take(
                &mut quarantine,
                crash("x", &format!("e{pair}-{engine}"), began + engine, began + 100),
            ));
        }
    }
    assert!(held.is_some());
}

#[test]
fn what_was_sent_to_an_engine_after_its_end_does_not_count() {
    let mut quarantine = Quarantine::default();
    for number in 0..6_u32 {
        let (ended, engine) = (u64::from(number) * 1_000, format!("e{number}"));
        quarantine.crashed(
            crash(&format!("other {number}"), &engine, ended.saturating_sub(50), ended),
            at(ended + 1),
        );
        // Something in between takes connections for it a little longer.
        assert_eq!(take(&mut quarantine, crash("x", &engine, ended + 20, ended + 21)), None);
    }
}

#[test]
fn a_run_that_is_sent_on_to_an_engine_that_ends_too_does_not_count() {
    let mut quarantine = Quarantine::default();
    for time in 0..4 {
        let ended = time * 1_000 + 500;
        // Two engines end together; the run of the one is sent on to the other before that is known.
        quarantine.crashed(crash("x", &format!("a{time}"), ended - 90, ended), at(ended + 1));
        quarantine.crashed(crash("x", &format!("b{time}"), ended, ended + 1), at(ended + 2));
        let held = quarantine.conclude(&NodeId::from("n"), at(ended + 700));
        assert_eq!(held.len(), usize::from(time == 2), "the third pair in turn is the third crash");
    }
}

#[test]
fn many_quick_crashes_do_not_hide_the_first_ones() {
    let mut quarantine = Quarantine::default();
    for number in 0..60 {
        let began = number * 40;
        quarantine.crashed(crash("x", &format!("e{number}"), began, began + 30), at(began + 31));
    }
    assert_eq!(quarantine.conclude(&NodeId::from("n"), at(2_400)).len(), 1);
}

#[test]
fn a_request_that_goes_on_at_the_next_engine_at_once_is_not_taken_for_a_lost_rack() {
    let mut quarantine = Quarantine::default();
    let mut held = None;
    for time in 0..2 {
        for step in 0..3 {
            let (began, engine) = (time * 1_000 + step * 13, format!("e{time}-{step}"));
            quarantine.crashed(crash("x", &engine, began, began + 12), at(began + 13));
        }
        held = held.or(quarantine.conclude(&NodeId::from("n"), at(time * 1_000 + 900)).pop());
    }
    assert!(held.is_some(), "six engines in two tries");
}

#[test]
fn a_release_that_ends_engines_one_by_one_holds_nothing_back_that_is_served_between() {
    let mut quarantine = Quarantine::default();
    for engine in 0..90 {
        let began = engine * 500;
        for body in ["x", "y", "z"] {
            assert_eq!(take(&mut quarantine, crash(body, &format!("e{engine}"), began, began + 300)), None);
            quarantine.completed(request(body), at(began + 400));
        }
    }
    assert_eq!(quarantine.count_held(), 0);
}

#[test]
fn requests_that_come_once_are_not_held_back_however_many_engines_end() {
    let mut quarantine = Quarantine::default();
    for number in 0..4_000 {
        let body = format!("request {}", number / 2);
        let engine = format!("e{}", number % 300);
        assert_eq!(take(&mut quarantine, crash(&body, &engine, number, number + 100)), None);
    }
    assert!(quarantine.count_suspected() <= 2_048, "what is remembered is bounded");
}

#[test]
fn the_same_engine_counts_once() {
    let mut quarantine = Quarantine::default();
    for time in 0..10 {
        assert_eq!(take(&mut quarantine, crash("x", "e0", time * 1_000, time * 1_000 + 100)), None);
    }
}

#[test]
fn a_run_that_comes_to_its_end_ends_a_hold() {
    let mut quarantine = held("x");
    assert!(quarantine.completed(request("x"), at(3_000)));
    assert!(quarantine.held(&request("x"), at(3_000)).is_none());
    // What broke off before it no longer counts, also where it is told late.
    assert_eq!(take(&mut quarantine, crash("x", "e9", 2_900, 2_950)), None);
    assert_eq!(take(&mut quarantine, crash("x", "e10", 3_100, 3_200)), None);
    assert_eq!(take(&mut quarantine, crash("x", "e11", 3_300, 3_400)), None);
    assert!(take(&mut quarantine, crash("x", "e12", 3_500, 3_600)).is_some(), "three in turn after it do");
}

#[test]
fn crashes_at_several_nodes_add_up_at_the_node_above_and_the_conclusion_reaches_all() {
    let (mut root, mut nodes) = (Quarantine::default(), vec![Quarantine::default(); CRASH_THRESHOLD]);
    for (number, node) in nodes.iter_mut().enumerate() {
        let began = number as u64 * 1_000;
        assert_eq!(take(node, crash("x", &format!("e{number}"), began, began + 100)), None);
        let told = node.report(0, MAX_REPORTED_EVENTS, at(began + 300));
        root.receive_report(told.report, at(began + 302));
    }
    let concluded = root.conclude(&NodeId::from("root"), at(3_000));
    assert_eq!(concluded.len(), 1);
    assert_eq!(concluded[0].engines.len(), CRASH_THRESHOLD);
    let digest = root.digest(at(3_000));
    let mut newcomer = Quarantine::default();
    assert_eq!(newcomer.receive_digest(digest, at(3_100)), vec![request("x")]);
    assert_eq!(newcomer.held(&request("x"), at(3_100)).map(|held| held.by), Some(HoldSource::Parent));
}

#[test]
fn another_node_above_hears_all_that_is_remembered() {
    let mut node = Quarantine::default();
    take(&mut node, crash("x", "e0", 0, 100));
    let first = node.report(0, MAX_REPORTED_EVENTS, at(200));
    assert_eq!(node.report(first.last_event, MAX_REPORTED_EVENTS, at(300)).report.crashes.len(), 0);
    take(&mut node, crash("x", "e1", 400, 500));
    assert_eq!(node.report(first.last_event, MAX_REPORTED_EVENTS, at(600)).report.crashes.len(), 1);
    assert_eq!(node.report(0, MAX_REPORTED_EVENTS, at(600)).report.crashes.len(), 2);
}

#[test]
fn what_a_node_knows_to_be_well_it_says_as_soon_as_others_suspect_it() {
    let (mut root, mut node) = (Quarantine::default(), Quarantine::default());
    take(&mut root, crash("x", "e0", 0, 100));
    // At another node a run comes to its end before anybody suspects anything there.
    node.completed(request("x"), at(350));
    take(&mut root, crash("x", "e1", 200, 300));
    node.receive_digest(root.digest(at(400)), at(400));
    let told = node.report(0, MAX_REPORTED_EVENTS, at(450));
    assert_eq!(told.report.completed.len(), 1);
    root.receive_report(told.report, at(455));
    assert_eq!(take(&mut root, crash("x", "e2", 700, 800)), None, "the count began anew");
}

#[test]
fn all_nodes_are_asked_before_a_conclusion() {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        let began = number * 300;
        quarantine.crashed(crash("x", &format!("e{number}"), began, began + 100), at(began + 101));
    }
    // The second crash was known at 401, so the nodes were asked from then on.
    assert_eq!(quarantine.conclude(&NodeId::from("n"), at(900)), Vec::new());
    assert_eq!(quarantine.conclude(&NodeId::from("n"), at(1_001)).len(), 1);
}

#[test]
fn engines_that_ended_under_a_held_request_count_against_no_other() {
    let mut quarantine = held("x");
    for number in 3..9 {
        let (began, engine) = (number * 1_000, format!("e{number}"));
        // Another request is caught in each of these crashes.
        quarantine.crashed(crash("x", &engine, began, began + 200), at(began + 201));
        assert_eq!(take(&mut quarantine, crash("y", &engine, began, began + 200)), None);
    }
}

#[test]
fn news_that_goes_round_among_nodes_comes_to_rest() {
    let mut nodes = vec![Quarantine::default(); 3];
    take(&mut nodes[0], crash("x", "e0", 0, 100));
    nodes[0].completed(request("x"), at(200));
    for round in 1..20 {
        for teller in 0..nodes.len() {
            let told = nodes[teller].report(0, MAX_REPORTED_EVENTS, at(200 + round * 50));
            for (hearer, node) in nodes.iter_mut().enumerate() {
                if hearer != teller {
                    // Each way takes some milliseconds, by which the hearer places it later.
                    node.receive_report(told.report.clone(), at(205 + round * 50));
                }
            }
        }
    }
    for node in &nodes {
        let told = node.report(0, 1_000, at(2_000)).report;
        assert!(told.crashes.len() <= 1 && told.completed.len() <= 1, "{told:?}");
    }
}

#[test]
fn nodes_that_are_told_of_a_suspect_report_a_run_of_it_that_comes_to_its_end() {
    let mut root = Quarantine::default();
    take(&mut root, crash("x", "e0", 0, 100));
    take(&mut root, crash("x", "e1", 200, 300));
    let mut node = Quarantine::default();
    node.receive_digest(root.digest(at(400)), at(400));
    node.completed(request("x"), at(500));
    let told = node.report(0, MAX_REPORTED_EVENTS, at(600));
    assert_eq!(told.report.completed.len(), 1);
    root.receive_report(told.report, at(610));
    assert_eq!(take(&mut root, crash("x", "e2", 700, 800)), None, "the count began anew");
}

#[test]
fn what_the_store_holds_back_holds_until_the_store_says_otherwise() {
    let mut quarantine = Quarantine::default();
    assert!(quarantine.stored(request("x"), at(0)));
    assert!(!quarantine.stored(request("x"), at(10)));
    let much_later = at(0) + HOLD_DURATION * 3;
    assert!(quarantine.held(&request("x"), much_later).is_some());
    assert!(quarantine.released(&request("x"), much_later));
    assert!(quarantine.held(&request("x"), much_later).is_none());
    // One further crash is enough then.
    let crash =
        Crash { began: much_later, ended: much_later + Duration::from_millis(100), ..crash("x", "e0", 0, 0) };
    assert!(take(&mut quarantine, crash).is_some());
}

#[test]
fn a_hold_that_the_store_never_took_ends_by_itself() {
    let mut quarantine = held("x");
    assert!(quarantine.sweep(at(2_900) + HOLD_DURATION - Duration::from_millis(1)).is_empty());
    assert_eq!(quarantine.sweep(at(2_900) + HOLD_DURATION), vec![request("x")]);
    assert_eq!(quarantine.count_held(), 0);
}
