//! Bodies of callers outside the limits: many large ones, ones that never end, ones that are too large.

use std::time::Duration;

use paddlemount_platform_standin::{
    Cluster,
    cluster::{HOST, KEY},
    runner::Pace,
};

use crate::{
    alone,
    crowd::{CALLERS, Crowd, Upload, chunks, with_end},
    footprint::{FootprintSampler, connections_at},
    start_with_limits,
};

/// The machine's memory in the node's settings, in MiB.
pub const MEMORY_MB: u64 = 64;
/// Bytes that have arrived and are not read may take this part of the memory, as each room of bodies may.
const UNREAD_PARTS: u64 = 6;
/// The descriptors in the node's settings.
pub const DESCRIPTORS: u64 = 256;
/// The configured limit of a body's size.
pub const MAX_BODY_BYTES: usize = 2 << 20;
/// Concurrent callers where each sends little, and the descriptors in the node's settings then.
const MANY_CALLERS: usize = 400;
const MANY_DESCRIPTORS: u64 = 1_024;
/// The size of small bodies.
const SMALL_BYTES: usize = 60 << 10;
/// The size of bodies in chunks of a single byte.
const SINGLE_BYTES: usize = 64 << 10;
/// The bytes that callers over the limit send at most.
const EXCESSIVE_BYTES: usize = 4 * MAX_BODY_BYTES;
/// The length that callers over the limit announce.
const EXCESSIVE_LENGTH: u64 = 1_000_000_000_000;
const PIECE_BYTES: usize = 16 << 10;
/// How long requests run at their back end where it is slow.
const SLOW_WORK_TIME: Duration = Duration::from_secs(2);

fn head(framing: &str) -> String {
    format!(
        "POST /hold/1 HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n{}: crowd-{{caller}}\r\n{}: 9000\r\n\
         {framing}\r\n\r\n",
        Cluster::REQUEST_ID,
        Cluster::DEADLINE,
    )
}

fn with_length(bytes: usize, write_bytes: usize) -> Upload {
    let head = head(&format!("Content-Length: {bytes}"));
    Upload { head, body: vec![b'x'; bytes], write_bytes, stops_short: true }
}

fn chunked(body: Vec<u8>) -> Upload {
    let write_bytes = body.len();
    Upload { head: head("Transfer-Encoding: chunked"), body, write_bytes, stops_short: true }
}

/// Sends an upload from all callers of a crowd and checks the node while they stay connected, and an ordinary request
/// then; a single body of the largest size is served once they have left.
async fn check_node_beside(upload: Upload, work_time: Duration) {
    check_node_beside_callers(CALLERS, DESCRIPTORS, upload, work_time).await;
}

async fn check_node_beside_callers(callers: usize, descriptors: u64, upload: Upload, work_time: Duration) {
    let _alone = alone().await;
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure_bodies(1, &[KEY], MAX_BODY_BYTES);
    for runner in &cluster.bookings {
        runner.set_pace(Pace { work_time, ..Pace::default() });
    }
    let limits = format!("memory_mb = {MEMORY_MB}\ndescriptors = {descriptors}\n");
    let router = start_with_limits(&cluster, &limits).await;
    let sampler = FootprintSampler::start(router.process_id(), router.callers);
    let crowd = Crowd::upload(router.callers, callers, &upload).await;
    assert!(!router.has_exited(), "the node has ended: {:#?}", router.lines());
    let answer = router.send("/hold/1", "ordinary").await.expect("an answer");
    assert_eq!(answer.status, 200, "beside the crowd: {}", answer.body);
    drop(crowd);
    // The connection of the ordinary request stays open.
    router.wait_until("left by the crowd", async || connections_at(router.callers) <= 1).await;
    let largest = router.send_body("/hold/1", "largest", KEY, vec![b'x'; MAX_BODY_BYTES]).await;
    assert_eq!(largest.expect("an answer").status, 200, "a single body of the largest size");
    let footprint = sampler.finish();
    println!("{footprint:?}, {} bytes of memory", footprint.memory_bytes());
    assert!(footprint.memory_bytes() < MEMORY_MB << 20, "memory: {footprint:?}");
    assert!(footprint.unread_bytes < (MEMORY_MB << 20) / UNREAD_PARTS, "unread bytes: {footprint:?}");
    assert!(footprint.descriptors < descriptors, "descriptors: {footprint:?}");
}

fn stopping_short() -> Upload {
    with_length(MAX_BODY_BYTES, MAX_BODY_BYTES)
}

fn in_pieces() -> Upload {
    with_length(MAX_BODY_BYTES, PIECE_BYTES)
}

fn in_one_chunk() -> Upload {
    chunked(with_end(chunks(MAX_BODY_BYTES, MAX_BODY_BYTES)))
}

fn in_chunks_of_one_byte() -> Upload {
    chunked(with_end(chunks(SINGLE_BYTES, 1)))
}

fn whole() -> Upload {
    Upload { stops_short: false, ..stopping_short() }
}

fn over_the_limit() -> Upload {
    let head = head(&format!("Content-Length: {EXCESSIVE_LENGTH}"));
    Upload { head, ..with_length(EXCESSIVE_BYTES, PIECE_BYTES) }
}

fn in_chunks_without_end() -> Upload {
    Upload { write_bytes: PIECE_BYTES, ..chunked(chunks(EXCESSIVE_BYTES, PIECE_BYTES)) }
}

/// All kinds of uploads.
pub fn uploads() -> Vec<Upload> {
    vec![
        stopping_short(),
        in_pieces(),
        in_one_chunk(),
        in_chunks_of_one_byte(),
        whole(),
        over_the_limit(),
        in_chunks_without_end(),
    ]
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn memory_holds_beside_bodies_that_stop_short_of_their_end() {
    check_node_beside(stopping_short(), Duration::ZERO).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn memory_holds_beside_bodies_in_pieces_that_stop_short_of_their_end() {
    check_node_beside(in_pieces(), Duration::ZERO).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn memory_holds_beside_bodies_in_one_chunk_that_stop_short_of_their_end() {
    check_node_beside(in_one_chunk(), Duration::ZERO).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn memory_holds_beside_bodies_in_chunks_of_one_byte_that_stop_short_of_their_end() {
    check_node_beside(in_chunks_of_one_byte(), Duration::ZERO).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn memory_holds_beside_whole_bodies_that_wait_for_a_back_end() {
    check_node_beside(whole(), SLOW_WORK_TIME).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn memory_holds_beside_bodies_with_a_length_over_the_limit() {
    check_node_beside(over_the_limit(), Duration::ZERO).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn memory_holds_beside_bodies_in_chunks_without_end() {
    check_node_beside(in_chunks_without_end(), Duration::ZERO).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn memory_holds_beside_many_small_bodies_that_stop_short_of_their_end() {
    let upload = with_length(SMALL_BYTES, PIECE_BYTES);
    check_node_beside_callers(MANY_CALLERS, MANY_DESCRIPTORS, upload, Duration::ZERO).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn memory_holds_beside_many_large_bodies_that_stop_short_of_their_end() {
    check_node_beside_callers(MANY_CALLERS, MANY_DESCRIPTORS, in_pieces(), Duration::ZERO).await;
}
