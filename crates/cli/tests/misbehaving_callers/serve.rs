//! Bodies of callers outside the limits, sent to `paddlemount serve`.

use std::time::{Duration, Instant};

use crate::{
    alone,
    crowd::{CALLERS, Crowd, Upload, chunks, with_end},
    footprint::{FootprintSampler, connections_at},
    support::{
        self, Cluster,
        expectations::{body, check_complete, conversation},
    },
};

/// Memory that the node may need, in MiB.
const MEMORY_MB: u64 = 64;
/// Descriptors that the node may have open.
const DESCRIPTORS: u64 = 256;
/// The limit of a body's size in the node's settings.
const MAX_BODY_BYTES: usize = 2 << 20;
/// The size of bodies in chunks of a single byte.
const SINGLE_BYTES: usize = 64 << 10;
/// The bytes that callers over the limit send at most.
const EXCESSIVE_BYTES: usize = 4 * MAX_BODY_BYTES;
const PIECE_BYTES: usize = 16 << 10;
/// Upper bound of the wait for the crowd's connections to close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_TOKENS: u32 = 7;

fn head(framing: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer {}\r\n{framing}\r\n\r\n",
        support::KEY
    )
}

/// Sends an upload from all callers of a crowd and checks the node while they stay connected, and an ordinary request
/// then; a request with a large body is served once they have left.
async fn check_node_beside(upload: Upload) {
    let _alone = alone().await;
    let cluster = Cluster::start(1, 1, &format!("[limits]\nbody_bytes = {MAX_BODY_BYTES}\n"));
    let node = &cluster.nodes[0];
    let callers = node.address("callers");
    let sampler = FootprintSampler::start(node.child.id(), callers);
    let crowd = Crowd::upload(callers, CALLERS, &upload).await;
    let messages = conversation("a crowd");
    check_complete(&support::chat(callers, &body(&messages, false, MAX_TOKENS)), &messages, MAX_TOKENS);
    drop(crowd);
    let began = Instant::now();
    while connections_at(callers) > 0 {
        assert!(began.elapsed() < CLOSE_TIMEOUT, "{} connections stay open", connections_at(callers));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // White space makes the body large and leaves the prompt small.
    let mut largest = serde_json::to_vec(&body(&messages, false, MAX_TOKENS)).expect("a body");
    largest.resize(MAX_BODY_BYTES, b' ');
    let authorization = format!("Bearer {}", support::KEY);
    let headers = [("authorization", authorization.as_str())];
    let answer = support::post(callers, "/v1/chat/completions", &headers, &largest);
    check_complete(&answer, &messages, MAX_TOKENS);
    let footprint = sampler.finish();
    println!("{footprint:?}, {} bytes of memory", footprint.memory_bytes());
    assert!(footprint.memory_bytes() < MEMORY_MB << 20, "memory: {footprint:?}");
    assert!(footprint.descriptors < DESCRIPTORS, "descriptors: {footprint:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn memory_of_serve_holds_beside_bodies_that_stop_short_of_their_end() {
    let head = head(&format!("Content-Length: {MAX_BODY_BYTES}"));
    let body = vec![b'x'; MAX_BODY_BYTES];
    check_node_beside(Upload { head, body, write_bytes: PIECE_BYTES, stops_short: true }).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn memory_of_serve_holds_beside_bodies_in_chunks_of_one_byte_that_stop_short_of_their_end() {
    let head = head("Transfer-Encoding: chunked");
    let body = with_end(chunks(SINGLE_BYTES, 1));
    check_node_beside(Upload { head, body, write_bytes: PIECE_BYTES, stops_short: true }).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn memory_of_serve_holds_beside_bodies_with_a_length_over_the_limit() {
    let head = head("Content-Length: 1000000000000");
    let body = vec![b'x'; EXCESSIVE_BYTES];
    check_node_beside(Upload { head, body, write_bytes: PIECE_BYTES, stops_short: true }).await;
}
