//! Which software version began which stream, as remembered by one node.
//!
//! A record never changes: a stream has one first event. Two records under the same name make it ambiguous, and then no
//! version may continue it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use paddlemount_protocol::{
    fleet::{FoundStream, StreamKey, StreamOrigin},
    identity::TenantId,
    time::Timestamp,
};
use xxhash_rust::xxh3::Xxh3;

/// The maximum number of records, about 200 bytes each. Beyond it, those that expire first are dropped.
pub const MAX_RECORDS: usize = 32_768;

/// The key of a tenant's stream, by the caller's id of the attempt that brought its first event.
pub fn stream_key(tenant: Option<&TenantId>, attempt: &str) -> StreamKey {
    let tenant = tenant.map_or("", TenantId::as_str);
    let mut hash = Xxh3::new();
    // The length separates the two texts.
    hash.update(&(tenant.len() as u64).to_le_bytes());
    hash.update(tenant.as_bytes());
    hash.update(attempt.as_bytes());
    StreamKey(hash.digest128())
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Record {
    /// `None` if ambiguous.
    origin: Option<StreamOrigin>,
    recorded_at: Timestamp,
    expires_at: Timestamp,
}

/// The streams that one node remembers.
#[derive(Clone, Debug, Default)]
pub struct StreamRecords {
    by_key: BTreeMap<StreamKey, Record>,
    by_expiry: BTreeSet<(Timestamp, StreamKey)>,
}

impl StreamRecords {
    /// Records where a stream began, or confirms it, for `lifetime` from now on.
    pub fn put(&mut self, key: StreamKey, origin: StreamOrigin, lifetime: Duration, now: Timestamp) {
        let origin = match self.by_key.get(&key) {
            Some(known) if now < known.expires_at && known.origin.as_ref() != Some(&origin) => None,
            _ => Some(origin),
        };
        self.remove(key);
        let expires_at = now + lifetime;
        self.by_key.insert(key, Record { origin, recorded_at: now, expires_at });
        self.by_expiry.insert((expires_at, key));
        if self.by_key.len() > MAX_RECORDS
            && let Some((_, first)) = self.by_expiry.first().copied()
        {
            self.remove(first);
        }
    }

    /// Forgets a stream that has ended whole.
    pub fn remove(&mut self, key: StreamKey) {
        if let Some(record) = self.by_key.remove(&key) {
            self.by_expiry.remove(&(record.expires_at, key));
        }
    }

    /// What is known of a stream.
    pub fn find(&self, key: StreamKey, now: Timestamp) -> FoundStream {
        let Some(record) = self.by_key.get(&key).filter(|record| now < record.expires_at) else {
            return FoundStream::Unknown;
        };
        let age_ms = now.saturating_since(record.recorded_at).as_millis() as u64;
        let known = record.origin.clone().map(|origin| FoundStream::Known { origin, age_ms });
        known.unwrap_or(FoundStream::Ambiguous)
    }

    /// Drops expired records.
    pub fn sweep(&mut self, now: Timestamp) {
        while let Some((expires_at, key)) = self.by_expiry.first().copied() {
            if now < expires_at {
                return;
            }
            self.remove(key);
        }
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }
}
