//! A refusal's back-off time and draining state apply to all later requests of the node, not only to the
//! refused one.

mod routing_support;

use std::{collections::BTreeSet, time::Duration};

use paddlemount_core::routing::{Router, RouterEvent};
use paddlemount_protocol::{
    engine::EngineRefusal,
    identity::{EngineId, Incarnation},
    refusal::RefusalCode,
};
use routing_support::{at_ms, chosen, engine, prompt, router, status};

fn refusal(code: RefusalCode, incarnation: u64, retry_after_ms: Option<u64>) -> EngineRefusal {
    EngineRefusal {
        code,
        incarnation: Incarnation(incarnation),
        loaded: None,
        message: "not now".to_owned(),
        retry_after_ms,
    }
}

fn refuse(router: &mut Router, number: usize, refusal: &EngineRefusal, at: u64) {
    router.apply(RouterEvent::Refused { engine: &engine(number), refusal }, at_ms(at));
}

/// Returns the engines chosen for requests with different prompts.
fn chosen_among(router: &mut Router, at: u64) -> BTreeSet<EngineId> {
    let prompts = (0..60).map(|number| prompt(&[(100 + number, 40)]));
    let decisions = prompts.map(|prompt| router.choose(&prompt.route(), at_ms(at)));
    decisions.filter(|decision| decision.chosen.is_some()).map(|decision| chosen(&decision)).collect()
}

fn min_back_off(router: &Router, at: u64) -> Option<Duration> {
    router.min_back_off(&prompt(&[(1, 40)]).route(), at_ms(at))
}

#[test]
fn an_engine_gets_no_requests_during_its_back_off() {
    let mut router = router(3, 1);
    refuse(&mut router, 1, &refusal(RefusalCode::Overloaded, 1, Some(3_000)), 0);
    // A refusal without a time or with a shorter one does not end the back-off.
    refuse(&mut router, 1, &refusal(RefusalCode::Overloaded, 1, None), 500);
    refuse(&mut router, 1, &refusal(RefusalCode::Overloaded, 1, Some(200)), 600);
    for at in [0, 250, 1_000, 2_900] {
        assert!(!chosen_among(&mut router, at).contains(&engine(1)), "at {at} ms");
    }
    assert!(chosen_among(&mut router, 3_000).contains(&engine(1)));
}

#[test]
fn if_all_engines_back_off_none_is_chosen_and_the_shortest_time_is_returned() {
    let mut router = router(2, 1);
    refuse(&mut router, 0, &refusal(RefusalCode::Overloaded, 1, Some(3_000)), 0);
    assert_eq!(min_back_off(&router, 100), None, "the other engine accepts requests");
    refuse(&mut router, 1, &refusal(RefusalCode::Unavailable, 1, Some(2_000)), 500);
    assert!(chosen_among(&mut router, 600).is_empty());
    assert_eq!(min_back_off(&router, 600), Some(Duration::from_millis(1_900)));
    assert_eq!(chosen_among(&mut router, 2_500), BTreeSet::from([engine(1)]));
}

#[test]
fn back_off_times_are_capped() {
    let mut router = router(1, 1);
    refuse(&mut router, 0, &refusal(RefusalCode::Overloaded, 1, Some(u64::MAX)), 0);
    assert!(chosen_among(&mut router, 299_000).is_empty());
    assert!(!chosen_among(&mut router, 300_000).is_empty());
}

#[test]
fn a_draining_refusal_outranks_an_older_status() {
    let mut router = router(2, 1);
    refuse(&mut router, 0, &refusal(RefusalCode::Draining, 1, None), 0);
    assert_eq!(chosen_among(&mut router, 10), BTreeSet::from([engine(1)]));
    router.apply(RouterEvent::Status(&status(0, 1, at_ms(0))), at_ms(20));
    assert_eq!(chosen_among(&mut router, 30), BTreeSet::from([engine(1)]));
    assert_eq!(min_back_off(&router, 30), None);
}

#[test]
fn a_newer_status_ends_the_draining_state() {
    let mut router = router(1, 1);
    refuse(&mut router, 0, &refusal(RefusalCode::Draining, 1, None), 0);
    assert!(chosen_among(&mut router, 10).is_empty());
    router.apply(RouterEvent::Status(&status(0, 1, at_ms(900))), at_ms(910));
    assert!(!chosen_among(&mut router, 920).is_empty());
}

#[test]
fn a_new_incarnation_ignores_refusals_of_the_previous_one() {
    let mut router = router(1, 1);
    refuse(&mut router, 0, &refusal(RefusalCode::Overloaded, 1, Some(60_000)), 0);
    refuse(&mut router, 0, &refusal(RefusalCode::Draining, 1, None), 0);
    router.apply(RouterEvent::Status(&status(0, 2, at_ms(100))), at_ms(100));
    assert!(!chosen_among(&mut router, 110).is_empty());
    refuse(&mut router, 0, &refusal(RefusalCode::Draining, 1, Some(60_000)), 120);
    assert!(!chosen_among(&mut router, 130).is_empty());
}

#[test]
fn a_precondition_refusal_starts_no_back_off() {
    let mut router = router(1, 1);
    refuse(&mut router, 0, &refusal(RefusalCode::PreconditionFailed, 1, Some(60_000)), 0);
    assert!(!chosen_among(&mut router, 10).is_empty());
}
