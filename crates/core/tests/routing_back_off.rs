//! What an engine says of itself when it refuses holds for every request of the node that it told.
//!
//! An engine that refused and asked for 3 s was asked again by the very next request: only the request that had been refused left
//! it out. One that refused because it leaves was chosen until its next status was fetched, and by a node that cannot fetch any,
//! for good. The time was handed on to the caller of that one request, and nothing else was done with it.

mod routing_support;

use std::{collections::BTreeSet, time::Duration};

use paddlemount_core::routing::{Router, RouterEvent};
use paddlemount_protocol::{
    engine::EngineRefusal,
    identity::{EngineId, Incarnation},
    refusal::RefusalCode,
};
use routing_support::{at_ms, chosen, engine, prompt, router, status};

fn refusal(code: RefusalCode, life: u64, retry_after_ms: Option<u64>) -> EngineRefusal {
    EngineRefusal {
        code,
        incarnation: Incarnation(life),
        loaded: None,
        message: "not now".to_owned(),
        retry_after_ms,
    }
}

fn refuse(router: &mut Router, number: usize, refusal: &EngineRefusal, at: u64) {
    router.apply(RouterEvent::Refused { engine: &engine(number), refusal }, at_ms(at));
}

/// Engines that requests with different prompts are sent to.
fn chosen_among(router: &mut Router, at: u64) -> BTreeSet<EngineId> {
    let prompts = (0..60).map(|number| prompt(&[(100 + number, 40)]));
    let decisions = prompts.map(|prompt| router.choose(&prompt.route(), at_ms(at)));
    decisions.filter(|decision| decision.chosen.is_some()).map(|decision| chosen(&decision)).collect()
}

fn min_back_off(router: &Router, at: u64) -> Option<Duration> {
    router.min_back_off(&prompt(&[(1, 40)]).route(), at_ms(at))
}

#[test]
fn an_engine_that_asks_for_rest_gets_nothing_until_its_end() {
    let mut router = router(3, 1);
    refuse(&mut router, 1, &refusal(RefusalCode::Overloaded, 1, Some(3_000)), 0);
    // A refusal that names no time, and one that names a shorter one, end nothing.
    refuse(&mut router, 1, &refusal(RefusalCode::Overloaded, 1, None), 500);
    refuse(&mut router, 1, &refusal(RefusalCode::Overloaded, 1, Some(200)), 600);
    for at in [0, 250, 1_000, 2_900] {
        assert!(!chosen_among(&mut router, at).contains(&engine(1)), "at {at} ms");
    }
    assert!(chosen_among(&mut router, 3_000).contains(&engine(1)));
}

#[test]
fn where_all_rest_none_is_chosen_and_the_least_rest_is_told() {
    let mut router = router(2, 1);
    refuse(&mut router, 0, &refusal(RefusalCode::Overloaded, 1, Some(3_000)), 0);
    assert_eq!(min_back_off(&router, 100), None, "the other one may be asked");
    refuse(&mut router, 1, &refusal(RefusalCode::Unavailable, 1, Some(2_000)), 500);
    assert!(chosen_among(&mut router, 600).is_empty());
    assert_eq!(min_back_off(&router, 600), Some(Duration::from_millis(1_900)));
    assert_eq!(chosen_among(&mut router, 2_500), BTreeSet::from([engine(1)]));
}

#[test]
fn no_rest_is_endless() {
    let mut router = router(1, 1);
    refuse(&mut router, 0, &refusal(RefusalCode::Overloaded, 1, Some(u64::MAX)), 0);
    assert!(chosen_among(&mut router, 299_000).is_empty());
    assert!(!chosen_among(&mut router, 300_000).is_empty());
}

#[test]
fn one_that_refuses_because_it_leaves_gets_nothing_whatever_an_older_status_says() {
    let mut router = router(2, 1);
    refuse(&mut router, 0, &refusal(RefusalCode::Draining, 1, None), 0);
    assert_eq!(chosen_among(&mut router, 10), BTreeSet::from([engine(1)]));
    router.apply(RouterEvent::Status(&status(0, 1, at_ms(0))), at_ms(20));
    assert_eq!(chosen_among(&mut router, 30), BTreeSet::from([engine(1)]));
    assert_eq!(min_back_off(&router, 30), None);
}

#[test]
fn one_that_has_loaded_other_weights_and_says_so_takes_work_again() {
    let mut router = router(1, 1);
    refuse(&mut router, 0, &refusal(RefusalCode::Draining, 1, None), 0);
    assert!(chosen_among(&mut router, 10).is_empty());
    router.apply(RouterEvent::Status(&status(0, 1, at_ms(900))), at_ms(910));
    assert!(!chosen_among(&mut router, 920).is_empty());
}

#[test]
fn a_new_life_ends_what_the_one_before_has_said_and_is_not_bound_by_its_late_refusals() {
    let mut router = router(1, 1);
    refuse(&mut router, 0, &refusal(RefusalCode::Overloaded, 1, Some(60_000)), 0);
    refuse(&mut router, 0, &refusal(RefusalCode::Draining, 1, None), 0);
    router.apply(RouterEvent::Status(&status(0, 2, at_ms(100))), at_ms(100));
    assert!(!chosen_among(&mut router, 110).is_empty());
    refuse(&mut router, 0, &refusal(RefusalCode::Draining, 1, Some(60_000)), 120);
    assert!(!chosen_among(&mut router, 130).is_empty());
}

#[test]
fn a_refusal_of_one_requests_terms_asks_for_no_rest() {
    let mut router = router(1, 1);
    refuse(&mut router, 0, &refusal(RefusalCode::PreconditionFailed, 1, Some(60_000)), 0);
    assert!(!chosen_among(&mut router, 10).is_empty());
}
