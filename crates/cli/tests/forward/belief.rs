//! What a node believes of its configuration, back ends and weights, and what follows from it.

use http::StatusCode;
use paddlemount_platform_standin::{Cluster, Runner, cluster::KEY, store::StoreFault};

use crate::router::{Router, settings};

async fn place() -> Cluster {
    let place = Cluster::start().await.expect("a place starts");
    place.configure(1, &[KEY]);
    place
}

#[tokio::test]
async fn a_node_that_knows_no_configuration_is_not_ready_and_promises_not_to_have_run() {
    let place = Cluster::start().await.expect("a place starts");
    let router = Router::start_unready(&place).await;
    assert_eq!(router.ask_readiness().await, Some(StatusCode::SERVICE_UNAVAILABLE));
    let got = router.send("/hold/1", "a1").await.expect("an answer");
    assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(got.headers.contains_key(http::header::RETRY_AFTER));
}

#[tokio::test]
async fn a_removed_key_is_refused_as_soon_as_the_node_hears_of_it() {
    let place = place().await;
    let router = Router::start(&place).await;
    assert_eq!(router.send("/hold/1", "b1").await.expect("an answer").status, StatusCode::OK);
    place.configure(2, &["another-key"]);
    let refused =
        async || router.send("/hold/1", "b2").await.is_some_and(|got| got.status == StatusCode::UNAUTHORIZED);
    router.until("refused", refused).await;
}

#[tokio::test]
async fn a_node_that_cannot_confirm_its_keys_refuses_them_and_serves_again_afterwards() {
    let place = place().await;
    let router = Router::start(&place).await;
    place.store.set_fault(StoreFault::Silent);
    let refused = async || {
        let got = router.send("/hold/1", "c1").await;
        got.is_some_and(|got| got.status == StatusCode::SERVICE_UNAVAILABLE)
    };
    router.until("refused", refused).await;
    assert_eq!(router.ask_readiness().await, Some(StatusCode::SERVICE_UNAVAILABLE));
    place.store.set_fault(StoreFault::None);
    let served = async || router.send("/hold/1", "c2").await.is_some_and(|got| got.status == StatusCode::OK);
    router.until("served again", served).await;
    router.until("told", async || router.told("store_lost") && router.told("store_regained")).await;
}

#[tokio::test]
async fn an_older_configuration_never_takes_the_place_of_a_newer_one() {
    let place = place().await;
    let router = Router::start(&place).await;
    place.configure(5, &["newer-key"]);
    let newer = async || {
        router
            .send_with_key("/hold/1", "d1", "newer-key")
            .await
            .is_some_and(|got| got.status == StatusCode::OK)
    };
    router.until("in force", newer).await;
    place.configure(4, &[KEY]);
    router.until("passed over", async || router.told("configuration_passed_over")).await;
    assert_eq!(router.send("/hold/1", "d2").await.expect("an answer").status, StatusCode::UNAUTHORIZED);
}

#[tokio::test]
async fn nonsense_in_the_store_is_named_and_what_was_known_holds_on() {
    let place = place().await;
    let router = Router::start(&place).await;
    place.configure_invalid();
    router.until("named", async || router.told("item_unreadable")).await;
    assert_eq!(router.send("/hold/1", "e1").await.expect("an answer").status, StatusCode::OK);
    place.store.set_fault(StoreFault::Nonsense);
    router.until("named", async || router.told("store_lost")).await;
    place.store.set_fault(StoreFault::None);
    router.until("regained", async || router.told("store_regained")).await;
    assert_eq!(router.send("/hold/1", "e2").await.expect("an answer").status, StatusCode::OK);
}

#[tokio::test]
async fn a_store_that_forgot_its_history_is_listed_anew() {
    let place = place().await;
    let router = Router::start(&place).await;
    place.store.set_fault(StoreFault::Silent);
    place.configure(2, &["another-key"]);
    place.unregister(&place.bookings[0]);
    place.store.compact_history();
    place.store.set_fault(StoreFault::None);
    let refused =
        async || router.send("/hold/1", "f1").await.is_some_and(|got| got.status == StatusCode::UNAUTHORIZED);
    router.until("refused", refused).await;
}

#[tokio::test]
async fn a_leaving_back_end_gets_no_new_work() {
    let place = place().await;
    let router = Router::start(&place).await;
    place.drain(&place.bookings[0]);
    router
        .until("told", async || router.lines().iter().any(|line| line.contains("\"change\":\"leaving\"")))
        .await;
    let before = place.bookings[0].seen().len();
    for number in 0..10 {
        let got = router.send("/hold/1", &format!("g{number}")).await.expect("an answer");
        assert_eq!(got.status, StatusCode::OK);
    }
    assert_eq!(place.bookings[0].seen().len(), before);
}

#[tokio::test]
async fn engines_are_brought_to_a_named_version_though_answers_to_orders_are_lost() {
    let place = place().await;
    for engine in &place.engines {
        engine.lose_order_answers(1);
    }
    let router = Router::start(&place).await;
    place.set_target_version(2);
    let brought = async || place.engines.iter().all(|engine| engine.version() == 2);
    router.until("brought to the version", brought).await;
    assert!(place.engines.iter().all(|engine| engine.loads() == 1), "no engine loads twice");
}

#[tokio::test]
async fn requests_after_a_new_version_use_nothing_cached_under_the_older_one() {
    let place = place().await;
    let router = Router::start(&place).await;
    assert_eq!(router.send("/claim/1", "i1").await.expect("an answer").status, StatusCode::OK);
    place.set_target_version(2);
    let brought = async || place.engines.iter().all(|engine| engine.version() == 2);
    router.until("brought to the version", brought).await;
    let served = async || router.send("/claim/1", "i2").await.is_some_and(|got| got.status == StatusCode::OK);
    router.until("served", served).await;
    let scopes: Vec<String> = place
        .engines
        .iter()
        .flat_map(Runner::seen)
        .filter(|seen| seen.id == "i2" && seen.ran)
        .map(|seen| seen.scope)
        .collect();
    assert!(scopes.iter().all(|scope| scope.contains("m0/2/")), "{scopes:?}");
}

#[tokio::test]
async fn no_line_and_no_metric_holds_a_callers_key() {
    let place = place().await;
    let router = Router::start(&place).await;
    for number in 0..5 {
        let _ = router.send("/hold/1", &format!("j{number}")).await;
        let _ = router.send_with_key("/hold/1", &format!("k{number}"), "guessed-key").await;
    }
    router
        .until("told", async || {
            router.lines().iter().filter(|line| line.contains("\"request\"")).count() >= 10
        })
        .await;
    assert!(router.lines().iter().all(|line| !line.contains(KEY) && !line.contains("guessed-key")));
    let metrics = router.ask_metrics().await;
    assert!(metrics.contains("paddlemount_forward_requests_total"));
    assert!(!metrics.contains(KEY));
}

#[tokio::test]
async fn settings_are_read_again_and_bad_ones_are_named_and_passed_over() {
    let place = place().await;
    let router = Router::start(&place).await;
    router.write_settings("node = 3");
    router.hang_up();
    router.until("named", async || router.told("settings_rejected")).await;
    assert_eq!(router.send("/hold/1", "l1").await.expect("an answer").status, StatusCode::OK);
    router.write_settings(&settings(&place, 4_000));
    router.until("read again", async || router.told("settings_reloaded")).await;
    assert_eq!(router.send("/hold/1", "l2").await.expect("an answer").status, StatusCode::OK);
}
