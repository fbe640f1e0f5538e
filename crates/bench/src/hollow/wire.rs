//! Message encoding between nodes, and the bytes that a message takes on the wire.

use paddlemount_core::peers::{PeerAnswer, PeerRequest};
use paddlemount_protocol::{
    header,
    peer::{configuration, membership},
};

/// IPv4 and TCP headers of one segment, with timestamps.
pub const SEGMENT_HEADER_BYTES: usize = 52;

/// Opening and closing a TCP connection, both ways: two segments with options, five without. A node probes
/// each member about once a minute, so connections between two nodes do not stay open.
const CONNECTION_BYTES: usize = 2 * 60 + 5 * SEGMENT_HEADER_BYTES;

/// Payload of one segment on Ethernet.
const SEGMENT_PAYLOAD_BYTES: usize = 1_448;

/// Hexadecimal digits of a signature.
const SIGNATURE_BYTES: usize = 64;

/// Digits of a time in microseconds.
const TIME_BYTES: usize = 16;

/// The HTTP path of a request.
pub const fn path(request: &PeerRequest) -> &'static str {
    match request {
        PeerRequest::Membership(_) => membership::PATH,
        PeerRequest::Configuration(_) => configuration::PATH,
    }
}

/// Encodes the body of a request.
pub fn encode_request(request: &PeerRequest) -> Vec<u8> {
    match request {
        PeerRequest::Membership(request) => encode(request),
        PeerRequest::Configuration(request) => encode(request),
    }
}

/// Encodes the body of an answer.
pub fn encode_answer(answer: &PeerAnswer) -> Vec<u8> {
    match answer {
        PeerAnswer::Membership(answer) => encode(answer),
        PeerAnswer::Configuration(answer) => encode(answer),
    }
}

/// Decodes the body of a request that was posted to `path`.
pub fn decode_request(path: &str, body: &[u8]) -> Option<PeerRequest> {
    if path == membership::PATH {
        serde_json::from_slice(body).ok().map(PeerRequest::Membership)
    } else {
        serde_json::from_slice(body).ok().map(PeerRequest::Configuration)
    }
}

/// Decodes the body of an answer from `path`.
pub fn decode_answer(path: &str, body: &[u8]) -> Option<PeerAnswer> {
    if path == membership::PATH {
        serde_json::from_slice(body).ok().map(PeerAnswer::Membership)
    } else {
        serde_json::from_slice(body).ok().map(PeerAnswer::Configuration)
    }
}

fn encode(message: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(message).unwrap_or_default()
}

/// Bytes of a request on a new connection: handshake, HTTP head, body and segment headers.
pub fn request_bytes(path: &str, node: &str, body: usize) -> usize {
    let head = format!(
        "POST {path} HTTP/1.1\r\n{}: {node}\r\n{}: {:0>TIME_BYTES$}\r\n\
         {}: {:0>SIGNATURE_BYTES$}\r\nhost: 10.100.100.100:8081\r\ncontent-length: {body}\r\n\r\n",
        header::PEER_NODE,
        header::PEER_TIME,
        0,
        header::PEER_SIGNATURE,
        0,
    );
    on_wire(head.len() + body) + CONNECTION_BYTES
}

/// Bytes of an answer and of its acknowledgement.
pub fn answer_bytes(body: usize) -> usize {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}: {:0>SIGNATURE_BYTES$}\r\n\
         content-length: {body}\r\ndate: Wed, 02 Dec 2026 07:00:00 GMT\r\n\r\n",
        header::PEER_SIGNATURE,
        0,
    );
    on_wire(head.len() + body) + SEGMENT_HEADER_BYTES
}

/// Bytes of a payload including segment headers.
pub const fn on_wire(payload: usize) -> usize {
    payload + payload.div_ceil(SEGMENT_PAYLOAD_BYTES) * SEGMENT_HEADER_BYTES
}
