//! Entries of another writer among those of back ends, with values that are legal, absurd or unreadable.

use std::time::Duration;

use futures_util::future::join_all;
use http::StatusCode;
use paddlemount_platform_standin::{
    Cluster, Runner,
    cluster::{KEY, NUMERIC_ENTRY_FIELDS},
};

use crate::router::Router;

/// Requests at once.
const REQUESTS: usize = 12;
/// Nested lists in an entry.
const DEPTH: usize = 100_000;
/// How long a node takes to follow a change of the list.
const FOLLOW_TIME: Duration = Duration::from_secs(2);

fn nested() -> String {
    format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH))
}

/// The fields of an entry, each of which may be replaced.
fn entry(service: &str, address: &str, slots: &str, rest: &str) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"z1","slots":{slots},"state":"ready","sequence":1{rest}}}"#
    )
}

/// Odd entries of a service.
fn odd_entries(service: &str) -> Vec<String> {
    let dead = "127.0.0.1:9";
    let mut entries = vec![
        nested(),
        format!(r#"{{"service":{}}}"#, nested()),
        entry(service, dead, "8", &format!(r#","models":{}"#, nested())),
        entry(service, "127.0.0.1:70000", "8", ""),
        entry(service, "127.0.0.1:-1", "8", ""),
        entry(service, "127.0.0.1", "8", ""),
        entry(service, "127.0.0.1:0", "8", ""),
        String::new(),
        "\u{0}".to_owned(),
    ];
    let numbers = ["-5", "0", "4294967295", "4294967296", "18446744073709551616", "1e400", "1e308", "0.5"];
    entries.extend(numbers.map(|number| entry(service, dead, number, "")));
    for field in NUMERIC_ENTRY_FIELDS {
        entries.extend(numbers.map(|number| entry(service, dead, "8", &format!(r#","{field}":{number}"#))));
    }
    entries
}

async fn served(router: &Router, path: &str, round: &str) -> usize {
    let calls = (0..REQUESTS).map(|number| async move {
        router
            .send(path, &format!("{round}-{number}"))
            .await
            .is_some_and(|answer| answer.status == StatusCode::OK)
    });
    join_all(calls).await.into_iter().filter(|is_served| *is_served).count()
}

/// No process may end, and each may follow the list, whatever another writer leaves in it.
#[tokio::test]
async fn a_node_follows_the_list_of_back_ends_beside_odd_entries() {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY]);
    let router = Router::start(&cluster).await;
    for (path, service, runner) in
        [("/quote/1", "booking", &cluster.bookings[0]), ("/chat/1", "pool", &cluster.engines[0])]
    {
        for (number, odd) in odd_entries(service).iter().enumerate() {
            cluster.put_foreign_entry(&format!("odd-{number}"), odd.as_bytes());
            cluster.unregister(runner);
            let before = runner.seen().len();
            cluster.register(runner, "ready");
            let is_followed = async || {
                served(&router, path, &format!("odd-{service}-{number}")).await > 0 && has_run(runner, before)
            };
            let followed =
                tokio::time::timeout(FOLLOW_TIME, router.wait_until("followed", is_followed)).await;
            let lines = router.lines();
            let last = &lines[lines.len().saturating_sub(8)..];
            assert!(followed.is_ok(), "not followed beside {}: {last:#?}", &odd[..odd.len().min(200)]);
            cluster.remove_foreign_entry(&format!("odd-{number}"));
        }
    }
    assert_eq!(router.fetch_readiness().await, Some(StatusCode::OK));
}

fn has_run(runner: &Runner, before: usize) -> bool {
    runner.seen().len() > before
}

/// The largest numbers that a configuration may name must not overflow where they are added up.
#[tokio::test]
async fn a_node_serves_engines_with_the_largest_number_of_slots() {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY]);
    cluster.configure_slots(2, &[KEY], u32::MAX, 1);
    cluster.engines.iter().for_each(|engine| cluster.change_slots(engine, u32::MAX));
    let router = Router::start(&cluster).await;
    let is_served = async || served(&router, "/chat/1", "largest").await > 0;
    router.wait_until("serving", is_served).await;
    for round in 0..4 {
        served(&router, "/chat/1", &format!("again-{round}")).await;
    }
    assert_eq!(router.fetch_readiness().await, Some(StatusCode::OK), "the process runs on");
}
