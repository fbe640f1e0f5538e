//! Mutual authentication of nodes by a keyed hash over each request and each answer.
//!
//! A request's hash (HMAC-SHA256) covers method, path, receiver, sender, time and body; an answer's hash
//! covers the request's hash, which binds it to this request, and its body. The receiver refuses a request
//! whose time is off by more than [`MAX_CLOCK_SKEW`] or whose hash it has seen before.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use hmac::{Hmac, KeyInit, Mac};
use paddlemount_protocol::{identity::NodeId, time::Timestamp};
use sha2::Sha256;

/// Maximum difference between a request's time and the receiver's clock.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(10);

const HASH_BYTES: usize = 32;

type Hash = [u8; HASH_BYTES];

/// Why a peer's message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AuthenticationError {
    #[error("the node, time or signature header is missing or cannot be read")]
    Header,
    /// No accepted key produces this hash.
    #[error("the signature does not fit the message and any accepted cluster key")]
    Signature,
    /// The sender's clock is off.
    #[error("the sender's time differs by more than 10 s from this node's; set the clocks")]
    Time,
    #[error("the request was received before")]
    Replayed,
}

/// The parts of a request that its hash covers.
#[derive(Clone, Copy, Debug)]
pub struct SignedRequest<'a> {
    pub method: &'a str,
    pub path: &'a str,
    /// The address that it is sent to; prevents replay to another node.
    pub receiver: SocketAddr,
    pub node: &'a NodeId,
    /// The time at the sender.
    pub time: Timestamp,
    pub body: &'a [u8],
}

/// Signs and verifies messages with the cluster's keys; detects replays.
pub struct Authenticator {
    keys: Vec<Hmac<Sha256>>,
    received: Mutex<BTreeMap<(Timestamp, Hash), ()>>,
}

impl Authenticator {
    /// Signs with the first key and accepts all of them; there are two during a key rotation.
    ///
    /// # Panics
    ///
    /// If `keys` is empty; the settings require one.
    pub fn new<'a>(keys: impl IntoIterator<Item = &'a str>) -> Self {
        let keys: Vec<_> = keys
            .into_iter()
            .map(|key| Hmac::new_from_slice(key.as_bytes()).expect("HMAC takes keys of any length"))
            .collect();
        assert!(!keys.is_empty(), "settings require a cluster key");
        Self { keys, received: Mutex::default() }
    }

    /// The hash of a request, in hexadecimal.
    pub fn sign_request(&self, request: &SignedRequest<'_>) -> String {
        hex::encode(request_mac(&self.keys[0], request).finalize().into_bytes())
    }

    /// The hash of the answer to a request with the hash `request_signature`, in hexadecimal.
    pub fn sign_answer(&self, request_signature: &str, body: &[u8]) -> String {
        hex::encode(answer_mac(&self.keys[0], request_signature, body).finalize().into_bytes())
    }

    /// Verifies a request; accepts each one only once.
    ///
    /// # Errors
    ///
    /// Why the request is rejected; it must then have no effect.
    pub fn accept_request(
        &self,
        request: &SignedRequest<'_>,
        signature: &str,
        now: Timestamp,
    ) -> Result<(), AuthenticationError> {
        let hash = decode(signature)?;
        let is_genuine = |key| request_mac(key, request).verify_slice(&hash).is_ok();
        if !self.keys.iter().any(is_genuine) {
            return Err(AuthenticationError::Signature);
        }
        let difference = now.saturating_since(request.time).max(request.time.saturating_since(now));
        if difference > MAX_CLOCK_SKEW {
            return Err(AuthenticationError::Time);
        }
        self.record_received((request.time, hash), now)
    }

    /// Verifies the answer to a request that this node signed.
    ///
    /// # Errors
    ///
    /// Why the answer is rejected; it must then be ignored.
    pub fn accept_answer(
        &self,
        request_signature: &str,
        body: &[u8],
        signature: &str,
    ) -> Result<(), AuthenticationError> {
        let hash = decode(signature)?;
        let is_genuine = |key| answer_mac(key, request_signature, body).verify_slice(&hash).is_ok();
        if self.keys.iter().any(is_genuine) { Ok(()) } else { Err(AuthenticationError::Signature) }
    }

    fn record_received(&self, entry: (Timestamp, Hash), now: Timestamp) -> Result<(), AuthenticationError> {
        let mut received = self.received.lock().unwrap_or_else(PoisonError::into_inner);
        let oldest = (now - MAX_CLOCK_SKEW, [0; HASH_BYTES]);
        while received.first_key_value().is_some_and(|(first, ())| *first < oldest) {
            received.pop_first();
        }
        match received.insert(entry, ()) {
            None => Ok(()),
            Some(()) => Err(AuthenticationError::Replayed),
        }
    }
}

fn decode(signature: &str) -> Result<Hash, AuthenticationError> {
    let mut hash = [0; HASH_BYTES];
    hex::decode_to_slice(signature, &mut hash).map_err(|_| AuthenticationError::Header)?;
    Ok(hash)
}

fn request_mac(key: &Hmac<Sha256>, request: &SignedRequest<'_>) -> Hmac<Sha256> {
    let mut mac = key.clone();
    for part in [request.method, request.path, request.node.as_str()] {
        update_with_length(&mut mac, part.as_bytes());
    }
    update_with_length(&mut mac, request.receiver.to_string().as_bytes());
    mac.update(&request.time.0.to_be_bytes());
    mac.update(request.body);
    mac
}

fn answer_mac(key: &Hmac<Sha256>, request_signature: &str, body: &[u8]) -> Hmac<Sha256> {
    let mut mac = key.clone();
    update_with_length(&mut mac, b"answer");
    update_with_length(&mut mac, request_signature.as_bytes());
    mac.update(body);
    mac
}

/// The length prefix keeps the boundary between two fields unambiguous.
fn update_with_length(mac: &mut Hmac<Sha256>, field: &[u8]) {
    mac.update(&(field.len() as u64).to_be_bytes());
    mac.update(field);
}
