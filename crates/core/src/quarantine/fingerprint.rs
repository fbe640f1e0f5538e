//! Computes fingerprints: two requests with the same fingerprint count as one, and so do two segments.

use paddlemount_protocol::{identity::ModelId, quarantine::RequestFingerprint};
use xxhash_rust::xxh3::Xxh3;

use crate::forwarding::prompt::{Prompt, Segment};

/// Separates the origins of segments from those of requests.
const SEGMENT_ORIGIN_SEED: u64 = 1;
/// Smallest content of a request's fingerprint; what is below identifies segments.
const MIN_REQUEST_CONTENT: u128 = 1 << 64;
/// Maximum number of segments of one prompt that are considered.
const MAX_SEGMENTS: usize = 32;

/// The origin and target of a request.
#[derive(Clone, Copy, Debug)]
pub struct Origin<'a> {
    pub method: &'a str,
    /// The `Host` of the request.
    pub host: &'a str,
    /// The path with its query.
    pub path: &'a str,
    /// The tenant, as keys can change; empty without authentication.
    pub caller: &'a str,
}

impl Origin<'_> {
    const fn fields(&self) -> [&str; 4] {
        [self.method, self.host, self.path, self.caller]
    }

    /// Hashes the origin, the part of the fingerprint that needs no body.
    pub fn hash(&self) -> u64 {
        let mut hash = Xxh3::new();
        for field in self.fields() {
            hash.update(&(field.len() as u64).to_le_bytes());
            hash.update(field.as_bytes());
        }
        hash.digest()
    }

    /// Returns the fingerprint of a request with this body. A tenant can produce collisions only among its
    /// own requests, as the tenant is part of the fingerprint.
    pub fn fingerprint(&self, body: &[u8]) -> RequestFingerprint {
        let mut content = Xxh3::new();
        content.update(&self.hash().to_le_bytes());
        content.update(body);
        let content = content.digest128().max(MIN_REQUEST_CONTENT);
        RequestFingerprint { origin: self.hash(), content }
    }
}

/// Hashes the origin of all segments of a model. Tenants and versions of the weights are left out: a segment
/// that crashes engines does so whoever sends it, and usually under the next version too.
pub fn segment_origin(model: &ModelId) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(model.as_str().as_bytes(), SEGMENT_ORIGIN_SEED)
}

/// Returns the fingerprints of the segments that other requests may share, in their order.
pub fn shared_segments(prompt: &Prompt) -> impl Iterator<Item = RequestFingerprint> + use<'_> {
    let origin = segment_origin(&prompt.model);
    let of_segment = move |segment: &Segment| RequestFingerprint { origin, content: segment.id.0.into() };
    prompt.shared().iter().take(MAX_SEGMENTS).map(of_segment)
}
