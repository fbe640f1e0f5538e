//! Computes request fingerprints: two requests with the same fingerprint count as one.

use paddlemount_protocol::quarantine::RequestFingerprint;
use xxhash_rust::xxh3::Xxh3;

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
        let content = content.digest128();
        RequestFingerprint { origin: self.hash(), content }
    }
}
