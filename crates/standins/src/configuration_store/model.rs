//! State machine of the configuration store.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::{
    identity::{FencingToken, NodeId, Revision},
    platform::{LeaseAcquire, LeaseRenew, LeaseResult, StorePut, StorePutResult, StoreValue},
    time::Timestamp,
};
use serde::Serialize;

#[derive(Clone, Debug, Serialize)]
struct Lease {
    holder: NodeId,
    token: FencingToken,
    expires_at: Timestamp,
}

/// Versioned values by key, and leases with fencing tokens.
///
/// Revisions and fencing tokens come from one counter, so both rise with every change of the store.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ConfigurationStoreModel {
    revision: Revision,
    values: BTreeMap<String, (Revision, serde_json::Value)>,
    leases: BTreeMap<String, Lease>,
}

impl ConfigurationStoreModel {
    /// Creates a store that holds `values`.
    pub fn new(values: impl IntoIterator<Item = (String, serde_json::Value)>) -> Self {
        let mut store = Self::default();
        for (key, value) in values {
            store.replace(key, value);
        }
        store
    }

    /// The highest revision of any key.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns a key's value with the revision of its last change.
    pub fn get(&self, key: &str) -> StoreValue {
        match self.values.get(key) {
            Some((revision, value)) => StoreValue { revision: *revision, value: Some(value.clone()) },
            None => StoreValue { revision: Revision(0), value: None },
        }
    }

    /// Replaces a key's value if its revision is the expected one.
    pub fn put(&mut self, put: StorePut) -> StorePutResult {
        let current = self.values.get(&put.key).map_or(Revision(0), |(revision, _)| *revision);
        if current != put.expected {
            return StorePutResult::Conflict { revision: current };
        }
        StorePutResult::Stored { revision: self.replace(put.key, put.value) }
    }

    fn replace(&mut self, key: String, value: serde_json::Value) -> Revision {
        self.revision = self.revision.next();
        self.values.insert(key, (self.revision, value));
        self.revision
    }

    /// Grants a lease that is free, expired, or already held by the requester.
    ///
    /// The requester's own unexpired lease is extended under its token; any other grant gets a new one.
    pub fn acquire(&mut self, request: &LeaseAcquire, now: Timestamp) -> LeaseResult {
        let ttl = Duration::from_millis(request.ttl_ms);
        if let Some(lease) = self.leases.get_mut(&request.name).filter(|lease| lease.expires_at > now) {
            if lease.holder != request.holder {
                let remaining = lease.expires_at.saturating_since(now);
                return LeaseResult::HeldByOther {
                    holder: lease.holder.clone(),
                    remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
                };
            }
            lease.expires_at = now + ttl;
            return LeaseResult::Held { token: lease.token, ttl_ms: request.ttl_ms };
        }
        self.revision = self.revision.next();
        let token = FencingToken(self.revision.0);
        let lease = Lease { holder: request.holder.clone(), token, expires_at: now + ttl };
        self.leases.insert(request.name.clone(), lease);
        LeaseResult::Held { token, ttl_ms: request.ttl_ms }
    }

    /// Extends a lease that the requester still holds under its token.
    pub fn renew(&mut self, request: &LeaseRenew, now: Timestamp) -> LeaseResult {
        let Some(lease) = self.held(request, now) else { return LeaseResult::NotHeld };
        lease.expires_at = now + Duration::from_millis(request.ttl_ms);
        LeaseResult::Held { token: request.token, ttl_ms: request.ttl_ms }
    }

    /// Releases a lease if the requester still holds it.
    pub fn release(&mut self, request: &LeaseRenew, now: Timestamp) -> LeaseResult {
        if self.held(request, now).is_some() {
            self.leases.remove(&request.name);
        }
        LeaseResult::NotHeld
    }

    fn held(&mut self, request: &LeaseRenew, now: Timestamp) -> Option<&mut Lease> {
        self.leases.get_mut(&request.name).filter(|lease| {
            lease.holder == request.holder && lease.token == request.token && lease.expires_at > now
        })
    }
}
