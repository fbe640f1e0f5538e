//! Failing engines are excluded from choices and return by slow start.

mod routing_support;

use paddlemount_core::routing::{AttemptEnding, Router, RouterEvent};
use paddlemount_protocol::identity::{AttemptId, EngineId, RequestId};
use routing_support::{at_ms, chosen, engine, prompt, router, run_at, status};

fn fail_at(router: &mut Router, failing: &EngineId, times: u32) {
    for number in 0..times {
        let attempt = AttemptId::from(format!("{failing}-{number}"));
        let (prompt, now) = (prompt(&[(1, 40)]), at_ms(20));
        let request = prompt.route();
        router.apply(RouterEvent::Dispatched { attempt: &attempt, engine: failing, request: &request }, now);
        router.apply(RouterEvent::Ended { attempt: &attempt, ending: AttemptEnding::Failed }, now);
    }
}

#[test]
fn a_failing_holder_is_excluded_until_a_probe_succeeds() {
    let mut router = router(6, 1);
    run_at(&mut router, &prompt(&[(1, 40)]), &engine(4), "a", at_ms(10));
    assert_eq!(chosen(&router.choose(&prompt(&[(1, 40)]).route(), at_ms(15))), engine(4));
    fail_at(&mut router, &engine(4), 3);
    assert_ne!(chosen(&router.choose(&prompt(&[(1, 40)]).route(), at_ms(30))), engine(4));
    run_at(&mut router, &prompt(&[(1, 40)]), &engine(4), "probe", at_ms(1_100));
    let later = at_ms(1_200);
    let mut requests = (0..200).map(|number| {
        let mut request = prompt(&[(1, 40)]);
        request.request = RequestId::from(format!("request-{number}"));
        request
    });
    let sent =
        requests.by_ref().filter(|request| chosen(&router.preview(&request.route(), later)) == engine(4));
    let sent = sent.count();
    assert!((5..60).contains(&sent), "{sent} of 200 at the start of slow start");
    let recovered = at_ms(10_000);
    run_at(&mut router, &prompt(&[(1, 40)]), &engine(4), "b", recovered);
    assert_eq!(chosen(&router.choose(&prompt(&[(1, 40)]).route(), recovered)), engine(4));
}

#[test]
fn without_healthy_engines_an_unhealthy_one_is_chosen() {
    let mut router = router(1, 1);
    fail_at(&mut router, &engine(0), 10);
    assert_eq!(chosen(&router.choose(&prompt(&[(1, 40)]).route(), at_ms(30))), engine(0));
}

#[test]
fn a_new_incarnation_clears_earlier_failures() {
    let mut router = router(2, 1);
    fail_at(&mut router, &engine(1), 3);
    assert_eq!(router.health().weight(&engine(1), at_ms(30)), 0.0);
    router.apply(RouterEvent::Status(&status(1, 2, at_ms(40))), at_ms(40));
    assert!(router.health().weight(&engine(1), at_ms(40)) > 0.0);
}
