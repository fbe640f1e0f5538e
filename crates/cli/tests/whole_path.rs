//! End-to-end requests through processes of the built binary, with answers compared byte by byte.

mod support;

use serde_json::json;
use support::{
    Cluster, MODEL, chat,
    expectations::{body, check_complete, check_stream, conversation},
};

#[test]
fn streamed_and_unstreamed_answers_are_exact_through_three_nodes() {
    let cluster = Cluster::start(3, 3, "");
    std::thread::scope(|scope| {
        for (number, node) in cluster.nodes.iter().enumerate() {
            for turn in 0..4 {
                let address = node.address("callers");
                scope.spawn(move || {
                    let messages = conversation(&format!("case {number} {turn}"));
                    let max_tokens = if turn % 2 == 0 { 500 } else { 7 };
                    check_stream(&chat(address, &body(&messages, true, max_tokens)), &messages, max_tokens);
                    check_complete(
                        &chat(address, &body(&messages, false, max_tokens)),
                        &messages,
                        max_tokens,
                    );
                });
            }
        }
    });
}

#[test]
fn models_are_listed_by_tenant() {
    let cluster = Cluster::start(1, 1, "");
    let authorization = format!("Bearer {}", support::KEY);
    let address = cluster.nodes[0].address("callers");
    let answer = support::get(address, "/v1/models", &[("authorization", &authorization)]);
    assert_eq!(answer.status, 200);
    let expected = json!([{ "id": MODEL, "object": "model", "owned_by": "paddlemount" }]);
    assert_eq!(answer.json()["data"], expected);
}

#[test]
fn a_planned_stop_cuts_off_no_stream_and_refuses_new_work_as_not_run() {
    let mut cluster = Cluster::with_engines(2, 1, "", |engine| engine.behaviour.speed.decode_base_ms = 20.0);
    let address = cluster.nodes[0].address("callers");
    let authorization = format!("Bearer {}", support::KEY);
    let messages = conversation("a stop");
    let request = serde_json::to_vec(&body(&messages, true, 60)).unwrap();
    let headers = [("authorization", authorization.as_str())];
    let mut streams: Vec<_> =
        (0..8).map(|_| support::send(address, "POST", "/v1/chat/completions", &headers, &request)).collect();
    let admin = cluster.nodes[0].address("admin");
    while running(admin) < streams.len() as u64 {
        std::thread::sleep(std::time::Duration::from_millis(2));
    }
    cluster.nodes[0].terminate();
    while support::get(admin, "/readyz", &[]).status == 200 {
        std::thread::sleep(std::time::Duration::from_millis(2));
    }
    let refused = chat(address, &body(&messages, true, 60));
    assert_eq!(refused.status, 503);
    assert_eq!(refused.json()["error"]["code"], "draining");
    assert_eq!(refused.json()["error"]["outcome"], "not_run");
    assert_eq!(refused.header("retry-after"), Some("1"));
    for stream in &mut streams {
        check_stream(&support::read_answer(stream), &messages, 60);
    }
    assert_eq!(cluster.nodes[0].wait(), Some(0));
}

fn running(admin: std::net::SocketAddr) -> u64 {
    support::get(admin, "/readyz", &[]).json()["requests"].as_u64().unwrap()
}
