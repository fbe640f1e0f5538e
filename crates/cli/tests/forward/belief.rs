//! How a node follows configuration, back ends and target versions in the store, also while it is unavailable.

use http::StatusCode;
use paddlemount_platform_standin::{Cluster, Runner, cluster::KEY, store::StoreFault};

use crate::router::{Router, settings};

async fn cluster() -> Cluster {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY]);
    cluster
}

#[tokio::test]
async fn a_node_that_knows_no_configuration_is_not_ready_and_promises_not_to_have_run() {
    let cluster = Cluster::start().await.expect("the cluster starts");
    let router = Router::start_unready(&cluster).await;
    assert_eq!(router.fetch_readiness().await, Some(StatusCode::SERVICE_UNAVAILABLE));
    let response = router.send("/hold/1", "a1").await.expect("an answer");
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key(http::header::RETRY_AFTER));
}

#[tokio::test]
async fn a_removed_key_is_refused_once_the_node_observes_the_removal() {
    let cluster = cluster().await;
    let router = Router::start(&cluster).await;
    assert_eq!(router.send("/hold/1", "b1").await.expect("an answer").status, StatusCode::OK);
    cluster.configure(2, &["another-key"]);
    let refused = async || {
        router.send("/hold/1", "b2").await.is_some_and(|response| response.status == StatusCode::UNAUTHORIZED)
    };
    router.wait_until("refused", refused).await;
}

#[tokio::test]
async fn a_node_that_cannot_confirm_its_keys_refuses_them_and_serves_again_afterwards() {
    let cluster = cluster().await;
    let router = Router::start(&cluster).await;
    cluster.store.set_fault(StoreFault::Silent);
    let refused = async || {
        let response = router.send("/hold/1", "c1").await;
        response.is_some_and(|response| response.status == StatusCode::SERVICE_UNAVAILABLE)
    };
    router.wait_until("refused", refused).await;
    assert_eq!(router.fetch_readiness().await, Some(StatusCode::SERVICE_UNAVAILABLE));
    cluster.store.set_fault(StoreFault::None);
    let served =
        async || router.send("/hold/1", "c2").await.is_some_and(|response| response.status == StatusCode::OK);
    router.wait_until("served again", served).await;
    router
        .wait_until("logged", async || router.logged("store_lost") && router.logged("store_regained"))
        .await;
}

#[tokio::test]
async fn an_older_configuration_never_takes_the_place_of_a_newer_one() {
    let cluster = cluster().await;
    let router = Router::start(&cluster).await;
    cluster.configure(5, &["newer-key"]);
    let newer = async || {
        router
            .send_with_key("/hold/1", "d1", "newer-key")
            .await
            .is_some_and(|response| response.status == StatusCode::OK)
    };
    router.wait_until("in force", newer).await;
    cluster.configure(4, &[KEY]);
    router.wait_until("ignored", async || router.logged("configuration_passed_over")).await;
    assert_eq!(router.send("/hold/1", "d2").await.expect("an answer").status, StatusCode::UNAUTHORIZED);
}

#[tokio::test]
async fn invalid_store_content_is_logged_and_the_last_valid_configuration_stays_in_force() {
    let cluster = cluster().await;
    let router = Router::start(&cluster).await;
    cluster.configure_invalid();
    router.wait_until("logged", async || router.logged("item_unreadable")).await;
    assert_eq!(router.send("/hold/1", "e1").await.expect("an answer").status, StatusCode::OK);
    cluster.store.set_fault(StoreFault::Nonsense);
    router.wait_until("logged", async || router.logged("store_lost")).await;
    cluster.store.set_fault(StoreFault::None);
    router.wait_until("regained", async || router.logged("store_regained")).await;
    assert_eq!(router.send("/hold/1", "e2").await.expect("an answer").status, StatusCode::OK);
}

#[tokio::test]
async fn a_store_that_compacted_its_history_is_listed_again() {
    let cluster = cluster().await;
    let router = Router::start(&cluster).await;
    cluster.store.set_fault(StoreFault::Silent);
    cluster.configure(2, &["another-key"]);
    cluster.unregister(&cluster.bookings[0]);
    cluster.store.compact_history();
    cluster.store.set_fault(StoreFault::None);
    let refused = async || {
        router.send("/hold/1", "f1").await.is_some_and(|response| response.status == StatusCode::UNAUTHORIZED)
    };
    router.wait_until("refused", refused).await;
}

#[tokio::test]
async fn a_leaving_back_end_gets_no_new_work() {
    let cluster = cluster().await;
    let router = Router::start(&cluster).await;
    cluster.drain(&cluster.bookings[0]);
    router
        .wait_until("logged", async || {
            router.lines().iter().any(|line| line.contains("\"change\":\"leaving\""))
        })
        .await;
    let before = cluster.bookings[0].seen().len();
    for number in 0..10 {
        let response = router.send("/hold/1", &format!("g{number}")).await.expect("an answer");
        assert_eq!(response.status, StatusCode::OK);
    }
    assert_eq!(cluster.bookings[0].seen().len(), before);
}

#[tokio::test]
async fn engines_are_brought_to_a_named_version_though_answers_to_orders_are_lost() {
    let cluster = cluster().await;
    for engine in &cluster.engines {
        engine.lose_order_answers(1);
    }
    let router = Router::start(&cluster).await;
    cluster.set_target_version(2);
    let loaded = async || cluster.engines.iter().all(|engine| engine.version() == 2);
    router.wait_until("loaded", loaded).await;
    assert!(cluster.engines.iter().all(|engine| engine.loads() == 1), "no engine loads twice");
}

#[tokio::test]
async fn requests_after_a_new_version_use_nothing_cached_under_the_older_one() {
    let cluster = cluster().await;
    let router = Router::start(&cluster).await;
    assert_eq!(router.send("/claim/1", "i1").await.expect("an answer").status, StatusCode::OK);
    cluster.set_target_version(2);
    let loaded = async || cluster.engines.iter().all(|engine| engine.version() == 2);
    router.wait_until("loaded", loaded).await;
    let served = async || {
        router.send("/claim/1", "i2").await.is_some_and(|response| response.status == StatusCode::OK)
    };
    router.wait_until("served", served).await;
    let scopes: Vec<String> = cluster
        .engines
        .iter()
        .flat_map(Runner::seen)
        .filter(|seen| seen.id == "i2" && seen.ran)
        .map(|seen| seen.scope)
        .collect();
    assert!(scopes.iter().all(|scope| scope.contains("m0/2/")), "{scopes:?}");
}

#[tokio::test]
async fn no_log_line_or_metric_contains_a_callers_key() {
    let cluster = cluster().await;
    let router = Router::start(&cluster).await;
    for number in 0..5 {
        let _ = router.send("/hold/1", &format!("j{number}")).await;
        let _ = router.send_with_key("/hold/1", &format!("k{number}"), "guessed-key").await;
    }
    router
        .wait_until("logged", async || {
            router.lines().iter().filter(|line| line.contains("\"request\"")).count() >= 10
        })
        .await;
    assert!(router.lines().iter().all(|line| !line.contains(KEY) && !line.contains("guessed-key")));
    let metrics = router.fetch_metrics().await;
    assert!(metrics.contains("paddlemount_forward_requests_total"));
    assert!(!metrics.contains(KEY));
}

#[tokio::test]
async fn settings_are_reloaded_and_invalid_ones_are_logged_and_ignored() {
    let cluster = cluster().await;
    let router = Router::start(&cluster).await;
    router.write_settings("node = 3");
    router.hang_up();
    router.wait_until("logged", async || router.logged("settings_rejected")).await;
    assert_eq!(router.send("/hold/1", "l1").await.expect("an answer").status, StatusCode::OK);
    router.write_settings(&settings(&cluster, 4_000));
    router.wait_until("reloaded", async || router.logged("settings_reloaded")).await;
    assert_eq!(router.send("/hold/1", "l2").await.expect("an answer").status, StatusCode::OK);
}
