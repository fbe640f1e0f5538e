//! Invalid input gets a clear error and does not stop the process.

mod support;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    time::Duration,
};

use serde_json::json;
use support::{
    Answer, Cluster, KEY, MODEL, Process, SettingsFile, chat,
    expectations::{body, check_stream, conversation},
    get, node_settings, post, run,
};

/// An address at which nothing listens.
const UNUSED_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);

fn assert_refused(answer: &Answer, status: u16, code: &str) {
    assert_eq!(answer.status, status, "{answer:?}");
    let body = answer.json();
    assert_eq!(body["error"]["code"], code, "{body}");
    assert_eq!(body["error"]["outcome"], "not_run", "{body}");
    assert!(!body["error"]["message"].as_str().unwrap().is_empty());
    assert_eq!(body["request_id"], answer.header("x-request-id").unwrap());
}

#[test]
fn bad_requests_are_refused_as_not_run_and_the_node_serves_on() {
    let cluster = Cluster::start(1, 1, "[limits]\nbody_bytes = 20000\nprompt_bytes = 10000\n");
    let address = cluster.nodes[0].address("callers");
    let authorization = format!("Bearer {KEY}");
    let with_key = [("authorization", authorization.as_str())];
    let path = "/v1/chat/completions";
    let message = |content: &str| json!([{ "role": "user", "content": content }]);

    assert_refused(&post(address, path, &with_key, b"{\"model\": "), 400, "invalid_request");
    assert_refused(&post(address, path, &with_key, b"\xff\xfe"), 400, "invalid_request");
    assert_refused(&post(address, path, &with_key, b"[]"), 400, "invalid_request");
    assert_refused(&chat(address, &json!({ "model": MODEL, "messages": [] })), 400, "invalid_request");
    assert_refused(
        &chat(address, &json!({ "model": MODEL, "messages": message("a"), "max_tokens": 0 })),
        400,
        "invalid_request",
    );
    assert_refused(
        &chat(address, &json!({ "model": "nothing", "messages": message("a") })),
        404,
        "not_found",
    );
    assert_refused(
        &chat(address, &json!({ "model": MODEL, "messages": message("a"), "adapter": "none" })),
        404,
        "not_found",
    );
    assert_refused(&post(address, path, &[], b"{}"), 401, "unauthenticated");
    assert_refused(&post(address, path, &[("authorization", "Bearer wrong")], b"{}"), 401, "unauthenticated");
    assert_refused(
        &chat(address, &json!({ "model": MODEL, "messages": message(&"p".repeat(11_000)) })),
        413,
        "too_large",
    );
    assert_refused(
        &chat(address, &json!({ "model": MODEL, "messages": message(&"b".repeat(300_000)) })),
        413,
        "too_large",
    );
    assert_refused(&get(address, "/v1/elsewhere", &with_key), 404, "not_found");
    assert_refused(&get(address, path, &with_key), 405, "invalid_request");
    assert_refused(&post(address, "/v1/services/nothing/run", &with_key, b"{}"), 404, "not_found");
    let wrong_header = [with_key[0], ("x-paddlemount-deadline-ms", "soon")];
    assert_refused(&post(address, path, &wrong_header, b"{}"), 400, "invalid_request");

    let messages = conversation("all that");
    check_stream(&chat(address, &body(&messages, true, 5)), &messages, 5);
}

#[test]
fn slow_and_oversized_heads_are_ended_and_the_node_serves_on() {
    let cluster = Cluster::start(1, 1, "[timeouts]\nhead_ms = 200\nbody_ms = 200\n");
    let address = cluster.nodes[0].address("callers");
    let mut slow = TcpStream::connect(address).unwrap();
    slow.write_all(b"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n").unwrap();
    assert_eq!(status_line(&mut slow), "HTTP/1.1 408 Request Timeout");

    let mut large = TcpStream::connect(address).unwrap();
    large.write_all(b"GET /v1/models HTTP/1.1\r\nhost: a\r\nx-large: ").unwrap();
    let _ = large.write_all(&vec![b'a'; 100_000]);
    assert_eq!(status_line(&mut large), "HTTP/1.1 431 Request Header Fields Too Large");

    let mut no_body = TcpStream::connect(address).unwrap();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\ncontent-length: 50\r\n\r\n{{"
    );
    no_body.write_all(head.as_bytes()).unwrap();
    assert_eq!(status_line(&mut no_body), "HTTP/1.1 400 Bad Request");

    let messages = conversation("slow senders");
    check_stream(&chat(address, &body(&messages, true, 5)), &messages, 5);
}

fn status_line(stream: &mut TcpStream) -> String {
    stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    let mut line = Vec::new();
    let mut byte = [0];
    while !line.ends_with(b"\r\n") && stream.read(&mut byte).unwrap_or(0) == 1 {
        line.push(byte[0]);
    }
    String::from_utf8(line).unwrap().trim_end().to_owned()
}

#[test]
fn settings_with_mistakes_exit_with_2_and_name_each() {
    let text = node_settings(0, UNUSED_ADDRESS, UNUSED_ADDRESS, "speed = 3\n[timeouts]\nconnect_ms = 0\n");
    let file = SettingsFile::new(&text);
    let path = file.0.to_str().unwrap();
    for command in ["check", "serve"] {
        let output = run(&[command, "--settings", path]);
        assert_eq!(output.status.code(), Some(2));
        let message = String::from_utf8(output.stderr).unwrap();
        assert!(
            message.contains(&format!("{path}: line 13: `cluster.speed` is an unknown key; remove it")),
            "{message}"
        );
        assert!(message.contains(&format!("{path}: line 15: `timeouts.connect_ms`")), "{message}");
        assert!(!message.contains(support::CLUSTER_KEY));
    }
}

#[test]
fn correct_settings_pass_the_check() {
    let file = SettingsFile::new(&node_settings(0, UNUSED_ADDRESS, UNUSED_ADDRESS, ""));
    assert_eq!(run(&["check", "--settings", file.0.to_str().unwrap()]).status.code(), Some(0));
}

#[test]
fn wrong_command_lines_exit_with_2() {
    for arguments in
        [&[][..], &["fly"], &["serve"], &["serve", "--settings", "/nonexistent"], &["check", "--fast"]]
    {
        let output = run(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert!(!output.stderr.is_empty());
    }
}

#[test]
fn an_address_in_use_exits_with_3_and_names_it() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let file = SettingsFile::new(&node_settings(0, UNUSED_ADDRESS, UNUSED_ADDRESS, ""));
    let output = run(&["serve", "--settings", file.0.to_str().unwrap(), "--admin", &address]);
    assert_eq!(output.status.code(), Some(3));
    let message = String::from_utf8(output.stderr).unwrap();
    assert!(message.contains(&address) && message.contains("listen.admin"), "{message}");
}

#[test]
fn a_node_without_its_platform_refuses_as_not_run() {
    let node = Process::start(&["serve"], &node_settings(0, UNUSED_ADDRESS, UNUSED_ADDRESS, ""));
    assert_eq!(get(node.address("admin"), "/healthz", &[]).status, 200);
    assert_eq!(get(node.address("admin"), "/readyz", &[]).status, 503);
    let answer = chat(node.address("callers"), &json!({ "model": MODEL, "messages": [] }));
    assert_refused(&answer, 503, "unavailable");
    assert!(answer.header("retry-after").is_some());
}

#[test]
fn processes_hold_no_io_uring_and_start_no_process() {
    let cluster = Cluster::start(1, 1, "");
    let messages = conversation("descriptors");
    check_stream(&chat(cluster.nodes[0].address("callers"), &body(&messages, true, 5)), &messages, 5);
    for process in cluster.nodes.iter().chain(&cluster.engines).chain([&cluster.store, &cluster.list]) {
        let pid = process.child.id();
        for descriptor in std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap() {
            if let Ok(target) = std::fs::read_link(descriptor.unwrap().path()) {
                assert!(!target.to_string_lossy().contains("io_uring"), "{target:?}");
            }
        }
        for task in std::fs::read_dir(format!("/proc/{pid}/task")).unwrap() {
            let children = std::fs::read_to_string(task.unwrap().path().join("children")).unwrap_or_default();
            assert_eq!(children, "");
        }
    }
}
