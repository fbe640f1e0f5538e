//! A short run of the demo, and how its summary counts failures.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use paddlemount_bench::{
    demo::{
        self, Cluster, DemoSettings, Summary,
        caller::{ChatAnswer, Ending},
        record::{BookingRecord, ChatRecord, Records},
    },
    free_address::free_address,
};
use paddlemount_protocol::{
    caller::Usage,
    identity::{AttemptId, IdempotencyKey, TenantId},
    time::Timestamp,
};
use paddlemount_standins::booking::model::{BookingAnswer, LedgerEntry};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn all_requests_complete_once_despite_an_engine_crash_and_a_node_restart() {
    let settings = DemoSettings {
        length: Duration::from_secs(5),
        requests_per_second: 12.0,
        bookings_per_second: 6.0,
        ..DemoSettings::default()
    };
    let cluster = Arc::new(Cluster::start().await.expect("the cluster starts"));
    let summary = demo::run(&cluster, &settings).await;
    cluster.stop().await;
    println!("{}\n{}", summary.table(), summary.json());
    assert!(summary.passed(), "{}", summary.json());
    assert!(summary.requests >= 60 && summary.bookings >= 20);
    assert!(summary.prefix_hit_rate > 0.0 && summary.ttft_ms.p50 > 0.0);
}

/// The ports that the system assigns to any socket without a fixed port.
fn ephemeral_ports() -> std::ops::RangeInclusive<u16> {
    let text =
        std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").expect("the range can be read");
    let ports: Vec<u16> = text.split_whitespace().map(|port| port.parse().expect("a port")).collect();
    ports[0]..=ports[1]
}

/// Guards against another socket taking a component's port between its choice and a start or restart.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn fixed_addresses_lie_outside_the_ephemeral_port_range() {
    let cluster = Cluster::start().await.expect("the cluster starts");
    let addresses = cluster.caller_addresses().into_iter().chain(cluster.admin_addresses());
    let addresses: Vec<_> = addresses.chain(cluster.engine_addresses()).collect();
    cluster.stop().await;
    let ephemeral: Vec<_> =
        addresses.iter().filter(|address| ephemeral_ports().contains(&address.port())).collect();
    assert!(ephemeral.is_empty(), "{ephemeral:?} of {addresses:?}");
}

/// Guards against two components of a cluster getting the same port, each free as the other has not bound it.
#[test]
fn each_free_address_is_returned_once() {
    let addresses: BTreeSet<_> = (0..2_000).map(|_| free_address().expect("a free port")).collect();
    assert_eq!(addresses.len(), 2_000);
}

fn entry(key: &str) -> LedgerEntry {
    LedgerEntry {
        at: Timestamp::ZERO,
        attempt: AttemptId::from("attempt"),
        tenant: TenantId::from("tenant"),
        key: Some(IdempotencyKey::from(key)),
        operation: "hold".to_owned(),
        body: serde_json::Value::Null,
    }
}

fn booking(key: &str, result: Result<(), &str>, not_run: bool) -> BookingRecord {
    let answer = BookingAnswer { operation: "hold".to_owned(), receipt: 1, request: serde_json::Value::Null };
    let ending = Ending { result: result.map(|()| answer).map_err(str::to_owned), resent: 0, not_run };
    BookingRecord { sent: Duration::ZERO, key: key.to_owned(), correct: true, ending }
}

fn chat(correct: bool, result: Result<(), &str>) -> ChatRecord {
    let answer = ChatAnswer {
        text: "text".to_owned(),
        reason: "stop".to_owned(),
        usage: Usage { prompt_tokens: 100, completion_tokens: 1, ..Usage::default() },
        first_token: Some(Duration::from_millis(40)),
    };
    let ending = Ending { result: result.map(|()| answer).map_err(str::to_owned), resent: 1, not_run: false };
    ChatRecord { sent: Duration::ZERO, streamed: true, correct, ending }
}

fn summarize(fill: impl FnOnce(&Records), ledger: &[LedgerEntry]) -> Summary {
    let records = Records::new(Duration::from_secs(1));
    fill(&records);
    Summary::new(&records, Some(&[ledger.to_vec()]))
}

#[test]
fn complete_and_correct_answers_pass() {
    let summary = summarize(
        |records| {
            records.chat(chat(true, Ok(())));
            records.booking(booking("a", Ok(()), false));
        },
        &[entry("a")],
    );
    assert!(summary.passed(), "{}", summary.json());
    assert_eq!((summary.requests, summary.complete, summary.resent), (2, 2, 1));
    assert!((39.0..41.0).contains(&summary.ttft_ms.p50));
}

#[test]
fn each_kind_of_failure_is_counted_and_fails_the_demo() {
    let incomplete = summarize(|records| records.chat(chat(true, Err("broke off"))), &[]);
    assert_eq!((incomplete.incomplete, incomplete.passed()), (1, false));
    assert!(incomplete.table().contains("1 x broke off"));
    let wrong = summarize(|records| records.chat(chat(false, Ok(()))), &[]);
    assert_eq!((wrong.wrong, wrong.passed()), (1, false));
    let doubled =
        summarize(|records| records.booking(booking("a", Ok(()), false)), &[entry("a"), entry("a")]);
    assert_eq!((doubled.ran_twice, doubled.passed()), (1, false));
    let never_ran = summarize(|records| records.booking(booking("a", Ok(()), false)), &[]);
    assert_eq!((never_ran.wrong, never_ran.passed()), (1, false));
    let false_not_run =
        summarize(|records| records.booking(booking("a", Err("refused"), true)), &[entry("a")]);
    assert_eq!((false_not_run.wrong, false_not_run.passed()), (1, false));
    let failed_fault = summarize(
        |records| {
            records.chat(chat(true, Ok(())));
            records.fault_failed("the engine did not come back");
        },
        &[],
    );
    assert!(!failed_fault.passed());
}
