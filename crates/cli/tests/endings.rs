//! Streams while engines fail, and placement while engines drain.

mod support;

use std::net::TcpStream;

use paddlemount_protocol::{
    engine::{Order, OrderCommand},
    identity::FencingToken,
};
use serde_json::{Value, json};
use support::{
    Cluster, KEY, Process, chat,
    expectations::{body, check_complete, check_stream, conversation},
    post, read_answer, send, set_faults, state_of, wait_until,
};

/// Slow enough to act while an answer is in progress.
const SLOW_STEP_MS: f64 = 20.0;

fn slow_cluster(engines: usize, extra: &str) -> Cluster {
    Cluster::with_engines(engines, 1, extra, |engine| engine.behaviour.speed.decode_base_ms = SLOW_STEP_MS)
}

fn begin(cluster: &Cluster, headers: &[(&str, &str)], request: &Value) -> TcpStream {
    let authorization = format!("Bearer {KEY}");
    let mut all = vec![("authorization", authorization.as_str())];
    all.extend_from_slice(headers);
    let address = cluster.nodes[0].address("callers");
    send(address, "POST", "/v1/chat/completions", &all, &serde_json::to_vec(request).unwrap())
}

/// Waits until an engine runs a request and has generated tokens, and returns its index.
fn running_engine(cluster: &Cluster) -> usize {
    let mut found = None;
    wait_until("an engine runs the request", || {
        found = cluster.engines.iter().position(|engine| {
            state_of(engine)["counters"]["accepted"].as_u64().unwrap() > 0 && running(engine) > 0
        });
        found.is_some()
    });
    // Wait for a few tokens.
    std::thread::sleep(std::time::Duration::from_millis(150));
    found.unwrap()
}

fn running(engine: &Process) -> u64 {
    // Unlike the load report, the number of streams does not lag.
    state_of(engine)["streams"].as_u64().unwrap()
}

fn accepted(engine: &Process) -> u64 {
    state_of(engine)["counters"]["accepted"].as_u64().unwrap()
}

fn crash(engine: &Process) {
    assert_eq!(post(engine.address("address"), "/control/crash", &[], b"{}").status, 200);
}

#[test]
fn cut_connections_are_resumed_without_a_second_run() {
    let cluster = Cluster::start(2, 1, "");
    for engine in &cluster.engines {
        set_faults(engine, &json!({ "cut_after_tokens": 3, "stray_frames": true }));
    }
    let address = cluster.nodes[0].address("callers");
    let messages = conversation("cut connections");
    check_stream(&chat(address, &body(&messages, true, 60)), &messages, 60);
    check_complete(&chat(address, &body(&messages, false, 60)), &messages, 60);
    assert_eq!(cluster.engines.iter().map(accepted).sum::<u64>(), 2);
}

#[test]
fn a_reply_that_is_lost_after_its_effect_is_resumed() {
    let cluster = Cluster::start(1, 1, "");
    set_faults(&cluster.engines[0], &json!({ "replies": { "lose_next_replies": 1 } }));
    let messages = conversation("a lost reply");
    // The status poll may consume the fault; the answer must be correct in either case.
    let address = cluster.nodes[0].address("callers");
    check_stream(&chat(address, &body(&messages, true, 20)), &messages, 20);
    assert_eq!(accepted(&cluster.engines[0]), 1);
}

#[test]
fn a_repeatable_request_continues_elsewhere_after_a_crash() {
    let cluster = slow_cluster(2, "");
    let messages = conversation("a crash");
    let mut stream = begin(&cluster, &[], &body(&messages, true, 60));
    crash(&cluster.engines[running_engine(&cluster)]);
    check_stream(&read_answer(&mut stream), &messages, 60);
}

#[test]
fn a_killed_engine_process_continues_elsewhere() {
    let mut cluster = slow_cluster(2, "");
    let messages = conversation("a killed process");
    let mut stream = begin(&cluster, &[], &body(&messages, true, 60));
    let engine = running_engine(&cluster);
    cluster.engines[engine].child.kill().unwrap();
    check_stream(&read_answer(&mut stream), &messages, 60);
}

#[test]
fn a_crash_of_an_unrepeatable_request_ends_the_stream_clearly() {
    let cluster = slow_cluster(2, "");
    let messages = conversation("a crash once");
    let headers = [("x-paddlemount-repeatable", "false")];
    let mut stream = begin(&cluster, &headers, &body(&messages, true, 60));
    crash(&cluster.engines[running_engine(&cluster)]);
    let answer = read_answer(&mut stream);
    assert_eq!(answer.status, 200);
    assert!(!answer.text().contains("[DONE]"));
    let last = answer.text().trim_end().rsplit("\n\n").next().unwrap().strip_prefix("data: ").unwrap();
    let last: Value = serde_json::from_str(last).unwrap();
    assert_eq!(last["error"]["code"], "backend_failed");
    assert_eq!(last["error"]["outcome"], "unknown");
    assert!(last["error"]["retry_after_ms"].is_u64());
    assert_eq!(last["request_id"], answer.header("x-request-id").unwrap());
    assert_eq!(
        cluster.engines.iter().map(accepted).sum::<u64>(),
        0,
        "the crash started a new incarnation and no engine ran it again"
    );
}

#[test]
fn a_stream_at_a_stalled_engine_is_resumed_at_another() {
    let cluster = slow_cluster(2, "[timeouts]\nbetween_frames_ms = 250\n");
    let messages = conversation("a stall");
    let mut stream = begin(&cluster, &[], &body(&messages, true, 60));
    set_faults(&cluster.engines[running_engine(&cluster)], &json!({ "stalled": true }));
    check_stream(&read_answer(&mut stream), &messages, 60);
    assert_eq!(cluster.engines.iter().filter(|engine| accepted(engine) == 1).count(), 2);
}

#[test]
fn a_refused_request_is_retried_elsewhere_and_fails_at_once_if_all_refuse() {
    let cluster = Cluster::start(2, 1, "");
    let address = cluster.nodes[0].address("callers");
    set_faults(&cluster.engines[0], &json!({ "refuse": "overloaded" }));
    for turn in 0..4 {
        let messages = conversation(&format!("refusal {turn}"));
        check_stream(&chat(address, &body(&messages, true, 5)), &messages, 5);
    }
    set_faults(&cluster.engines[1], &json!({ "refuse": "overloaded" }));
    let answer = chat(address, &body(&conversation("refused"), true, 5));
    assert_eq!(answer.status, 503);
    assert_eq!(answer.json()["error"]["code"], "overloaded");
    assert_eq!(answer.json()["error"]["outcome"], "not_run");
    assert!(answer.header("retry-after").is_some());
    assert_eq!(accepted(&cluster.engines[0]), 0);
}

#[test]
fn a_disconnected_caller_cancels_its_request_at_the_engine() {
    let cluster = slow_cluster(1, "");
    let stream = begin(&cluster, &[], &body(&conversation("a caller leaves"), true, 152));
    running_engine(&cluster);
    drop(stream);
    wait_until("the engine receives the cancellation", || {
        state_of(&cluster.engines[0])["counters"]["cancelled"] == 1
    });
}

#[test]
fn a_deadline_ends_a_request_that_waits() {
    let cluster = slow_cluster(1, "");
    set_faults(&cluster.engines[0], &json!({ "stalled": true }));
    let headers = [("x-paddlemount-deadline-ms", "300")];
    let mut stream = begin(&cluster, &headers, &body(&conversation("a deadline"), false, 20));
    let answer = read_answer(&mut stream);
    assert_eq!(answer.status, 504, "{answer:?}");
    assert_eq!(answer.json()["error"]["code"], "deadline_exceeded");
    assert_eq!(answer.json()["error"]["outcome"], "unknown");
    assert!(answer.header("retry-after").is_some());
}

/// Drains the engine that serves a conversation and checks that it receives no new requests.
fn check_draining(announce: impl Fn(&Cluster, usize)) {
    let cluster = Cluster::start(2, 1, "");
    let address = cluster.nodes[0].address("callers");
    let send_turn = |turn: u32| {
        let messages = conversation(&format!("turn {turn}"));
        check_stream(&chat(address, &body(&messages, true, 2)), &messages, 2);
    };
    send_turn(0);
    let leaving = cluster.engines.iter().position(|engine| accepted(engine) == 1).unwrap();
    announce(&cluster, leaving);
    // The documented bound after which a draining engine receives no new requests.
    std::thread::sleep(std::time::Duration::from_secs(3));
    (1..=10).for_each(send_turn);
    assert_eq!(accepted(&cluster.engines[leaving]), 1);
    assert_eq!(accepted(&cluster.engines[1 - leaving]), 10);
}

#[test]
fn an_engine_listed_as_leaving_gets_no_new_requests() {
    check_draining(|cluster, leaving| {
        let address = cluster.engines[leaving].address("address");
        let mut machine = support::engine_machine(leaving, address);
        machine.state = paddlemount_protocol::platform::MachineState::Leaving;
        let change = paddlemount_standins::machine_list::model::MachineChange::Put { machine };
        let body = serde_json::to_vec(&change).unwrap();
        assert_eq!(post(cluster.list.address("address"), "/control/machines", &[], &body).status, 200);
    });
}

#[test]
fn an_engine_that_reports_draining_gets_no_new_requests() {
    check_draining(|cluster, leaving| {
        let order = Order {
            id: "leave".into(),
            token: FencingToken(1),
            incarnation: None,
            command: OrderCommand::SetDraining { draining: true },
        };
        let body = serde_json::to_vec(&order).unwrap();
        assert_eq!(post(cluster.engines[leaving].address("address"), "/order", &[], &body).status, 200);
    });
}

#[test]
fn an_engine_drained_by_an_operator_gets_no_new_requests() {
    check_draining(|cluster, leaving| {
        let mut configuration = support::configuration();
        let drain = paddlemount_protocol::configuration::Drain { reason: "repair".into() };
        configuration.drained.insert(support::engine_name(leaving), drain);
        let put = json!({ "key": "configuration", "expected": 1, "value": configuration });
        let answer = post(cluster.store.address("address"), "/put", &[], &serde_json::to_vec(&put).unwrap());
        assert_eq!(answer.json()["type"], "stored", "{answer:?}");
    });
}
