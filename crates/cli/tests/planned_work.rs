//! Signals and graceful shutdown of a router node must not end requests without an answer, including requests
//! that arrive while the process is frozen.

mod support;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use support::{
    Answer, Cluster, KEY, Process, chat,
    expectations::{body, check_stream, conversation},
    read_answer, send, wait_until,
};

/// Slow enough to act while an answer is in progress.
const SLOW_STEP_MS: f64 = 20.0;
/// `max_tokens` of the streams.
const MAX_TOKENS: u32 = 60;
/// Callers on persistent connections; enough that the node cannot read all their requests in one poll.
const CALLERS: usize = 200;
/// Callers on new connections, fewer than the listen backlog.
const NEW_CALLERS: usize = 60;

fn slow_cluster() -> Cluster {
    Cluster::with_engines(2, 1, "", |engine| engine.behaviour.speed.decode_base_ms = SLOW_STEP_MS)
}

fn running(admin: SocketAddr) -> u64 {
    support::get(admin, "/readyz", &[]).json()["requests"].as_u64().expect("a number of requests")
}

/// Starts a stream, sends `signals` to the node meanwhile, and checks that the stream completes.
fn check_stream_survives(cluster: &Cluster, signals: &[&str]) {
    let node = &cluster.nodes[0];
    let messages = conversation("a signal");
    let request = serde_json::to_vec(&body(&messages, true, MAX_TOKENS)).expect("a body");
    let authorization = format!("Bearer {KEY}");
    let headers = [("authorization", authorization.as_str())];
    let mut stream = send(node.address("callers"), "POST", "/v1/chat/completions", &headers, &request);
    wait_until("the stream runs", || running(node.address("admin")) == 1);
    for signal in signals {
        node.signal(signal);
        std::thread::sleep(Duration::from_millis(100));
    }
    check_stream(&read_answer(&mut stream), &messages, MAX_TOKENS);
}

#[test]
fn a_sighup_interrupts_no_request() {
    let cluster = slow_cluster();
    check_stream_survives(&cluster, &["-HUP", "-HUP", "-HUP"]);
    let messages = conversation("what comes after");
    check_stream(
        &chat(cluster.nodes[0].address("callers"), &body(&messages, true, MAX_TOKENS)),
        &messages,
        MAX_TOKENS,
    );
}

#[test]
fn a_repeated_stop_signal_cuts_off_no_stream() {
    let mut cluster = slow_cluster();
    check_stream_survives(&cluster, &["-TERM", "-HUP", "-TERM"]);
    assert_eq!(cluster.nodes[0].wait(), Some(0));
}

fn connect(node: &Process) -> TcpStream {
    let stream = TcpStream::connect(node.address("callers")).expect("a connection comes up");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("an option can be set");
    stream
}

fn request_models(stream: &mut TcpStream) {
    let request = format!("GET /v1/models HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {KEY}\r\n\r\n");
    // If the connection is closed already, reading the answer fails.
    let _ = stream.write_all(request.as_bytes());
}

/// Returns whether a connection receives a complete answer.
fn is_answered(mut stream: TcpStream) -> bool {
    let mut first = [0];
    let has_arrived = stream.peek(&mut first).is_ok_and(|count| count > 0);
    has_arrived && read_answer(&mut stream).complete
}

#[test]
fn requests_in_sockets_at_the_end_of_a_planned_stop_are_answered() {
    let mut cluster = Cluster::start(1, 1, "");
    let node = &cluster.nodes[0];
    let mut streams: Vec<TcpStream> = (0..CALLERS).map(|_| connect(node)).collect();
    for stream in &mut streams {
        request_models(stream);
        let answer: Answer = read_answer(stream);
        assert_eq!(answer.status, 200);
    }
    node.terminate();
    std::thread::sleep(Duration::from_millis(100));
    node.signal("-STOP");
    streams.extend((0..NEW_CALLERS).map(|_| connect(node)));
    streams.iter_mut().for_each(request_models);
    std::thread::sleep(Duration::from_millis(700));
    node.signal("-CONT");
    let cut = streams.into_iter().map(is_answered).filter(|answered| !answered).count();
    assert_eq!(cut, 0, "of {}", CALLERS + NEW_CALLERS);
    assert_eq!(cluster.nodes[0].wait(), Some(0));
}

#[test]
fn a_node_frozen_across_the_keep_alive_timeout_answers_requests_that_arrive_meanwhile() {
    const IDLE_TIME: Duration = Duration::from_millis(1_500);
    const FREEZE_MARGIN: Duration = Duration::from_millis(350);
    let cluster = Cluster::start(1, 1, "[timeouts]\nkeep_alive_ms = 1500");
    let node = &cluster.nodes[0];
    let mut streams: Vec<TcpStream> = (0..CALLERS).map(|_| connect(node)).collect();
    for stream in &mut streams {
        request_models(stream);
        assert_eq!(read_answer(stream).status, 200);
    }
    std::thread::sleep(IDLE_TIME - FREEZE_MARGIN);
    node.signal("-STOP");
    streams.iter_mut().for_each(request_models);
    std::thread::sleep(2 * FREEZE_MARGIN);
    node.signal("-CONT");
    let cut = streams.into_iter().map(is_answered).filter(|answered| !answered).count();
    assert_eq!(cut, 0, "of {CALLERS}");
}

/// How much longer than advertised an idle connection stays open.
const IDLE_SLACK: Duration = Duration::from_secs(5);
/// The advertised keep-alive timeout of the tests below.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(1);

fn cluster_with_short_keep_alive() -> Cluster {
    Cluster::start(1, 1, &format!("[timeouts]\nkeep_alive_ms = {}", KEEP_ALIVE_TIMEOUT.as_millis()))
}

#[test]
fn a_node_frozen_across_an_idle_close_answers_requests_that_arrive_meanwhile() {
    const FREEZE_MARGIN: Duration = Duration::from_millis(350);
    let cluster = cluster_with_short_keep_alive();
    let node = &cluster.nodes[0];
    let mut streams: Vec<TcpStream> = (0..CALLERS).map(|_| connect(node)).collect();
    let first_sent = Instant::now();
    for stream in &mut streams {
        request_models(stream);
        assert_eq!(read_answer(stream).status, 200);
    }
    let last_answered = Instant::now();
    let idle_time = KEEP_ALIVE_TIMEOUT + IDLE_SLACK;
    std::thread::sleep((idle_time - FREEZE_MARGIN).saturating_sub(first_sent.elapsed()));
    node.signal("-STOP");
    streams.iter_mut().for_each(request_models);
    std::thread::sleep((idle_time + FREEZE_MARGIN).saturating_sub(last_answered.elapsed()));
    node.signal("-CONT");
    let cut = streams.into_iter().map(is_answered).filter(|answered| !answered).count();
    assert_eq!(cut, 0, "of {CALLERS}");
}

#[test]
fn a_node_advertises_its_keep_alive_timeout_and_closes_idle_connections_later_without_a_reset() {
    let cluster = cluster_with_short_keep_alive();
    let mut stream = connect(&cluster.nodes[0]);
    request_models(&mut stream);
    let answer = read_answer(&mut stream);
    assert_eq!(answer.header("keep-alive"), Some("timeout=1"));
    std::thread::sleep(KEEP_ALIVE_TIMEOUT * 2);
    request_models(&mut stream);
    assert_eq!(read_answer(&mut stream).status, 200, "it stays open for longer than advertised");
    assert_eq!(stream.read_to_end(&mut Vec::new()).expect("an end, not a reset"), 0);
}

#[test]
fn the_remainder_of_a_head_that_arrives_while_the_node_is_frozen_is_read() {
    const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
    let cluster = Cluster::start(1, 1, &format!("[timeouts]\nhead_ms = {}", HEAD_TIMEOUT.as_millis()));
    let node = &cluster.nodes[0];
    let mut streams: Vec<TcpStream> = (0..CALLERS).map(|_| connect(node)).collect();
    for stream in &mut streams {
        request_models(stream);
        assert_eq!(read_answer(stream).status, 200);
    }
    let head_start = b"GET /v1/models HTTP/1.1\r\nhost: node\r\n";
    // More than the node reads at once.
    let padding = "x".repeat(10_000);
    let remainder = format!("x-padding: {padding}\r\nauthorization: Bearer {KEY}\r\n\r\n");
    streams.iter_mut().for_each(|stream| stream.write_all(head_start).expect("the connection is open"));
    // Long enough for the node to read the first part, and much shorter than the timeout of a head.
    std::thread::sleep(HEAD_TIMEOUT / 10);
    node.signal("-STOP");
    streams
        .iter_mut()
        .for_each(|stream| stream.write_all(remainder.as_bytes()).expect("the connection is open"));
    std::thread::sleep(HEAD_TIMEOUT * 2);
    node.signal("-CONT");
    let refused =
        streams.iter_mut().map(|stream| read_answer(stream).status).filter(|status| *status != 200).count();
    assert_eq!(refused, 0, "of {CALLERS}");
}
