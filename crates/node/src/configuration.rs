//! The configuration in force, with lookup tables.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

use arc_swap::ArcSwap;
use paddlemount_protocol::{
    configuration::{Pool, RevisedConfiguration},
    identity::{ModelId, PoolId, Revision, TenantId},
    time::Timestamp,
};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use tokio::sync::watch;

const SHA256_BYTES: usize = 32;

/// A configuration with lookup tables for the request path.
#[derive(Debug, Default)]
pub struct ActiveConfiguration {
    pub document: RevisedConfiguration,
    key_hashes: Vec<([u8; SHA256_BYTES], TenantId)>,
    pool_of_model: BTreeMap<ModelId, PoolId>,
}

impl ActiveConfiguration {
    /// Builds the lookup tables of a document.
    pub fn new(document: RevisedConfiguration) -> Self {
        let mut key_hashes = Vec::new();
        for (tenant, settings) in &document.configuration.tenants {
            for text in &settings.key_hashes {
                let mut hash = [0; SHA256_BYTES];
                if hex::decode_to_slice(text, &mut hash).is_ok() {
                    key_hashes.push((hash, tenant.clone()));
                }
            }
        }
        let pools = document.configuration.pools.iter();
        let pool_of_model = pools.map(|(pool, settings)| (settings.model.clone(), pool.clone())).collect();
        Self { document, key_hashes, pool_of_model }
    }

    /// The tenant of a caller's key. Runs in constant time with respect to the key.
    pub fn tenant_of_key(&self, key: &str) -> Option<&TenantId> {
        let hash = Sha256::digest(key.as_bytes());
        let mut found = None;
        for (key_hash, tenant) in &self.key_hashes {
            if bool::from(key_hash.as_slice().ct_eq(hash.as_slice())) {
                found = Some(tenant);
            }
        }
        found
    }

    /// The pool that serves a model.
    pub fn pool_of_model(&self, model: &ModelId) -> Option<(&PoolId, &Pool)> {
        let pool = self.pool_of_model.get(model)?;
        self.document.configuration.pools.get_key_value(pool)
    }

    /// Whether a tenant may use a model.
    pub fn may_use(&self, tenant: &TenantId, model: &ModelId) -> bool {
        let settings = self.document.configuration.tenants.get(tenant);
        settings.is_some_and(|settings| settings.models.is_empty() || settings.models.contains(model))
    }

    /// The models that a tenant may use, ordered by name.
    pub fn models_of(&self, tenant: &TenantId) -> Vec<ModelId> {
        self.pool_of_model.keys().filter(|model| self.may_use(tenant, model)).cloned().collect()
    }
}

/// Holds the configuration in force. Its revision never decreases.
pub struct ConfigurationCell {
    active: ArcSwap<ActiveConfiguration>,
    install_lock: Mutex<()>,
    revision: watch::Sender<Revision>,
    confirmed: watch::Sender<Timestamp>,
}

impl Default for ConfigurationCell {
    fn default() -> Self {
        Self {
            active: ArcSwap::default(),
            install_lock: Mutex::new(()),
            revision: watch::Sender::new(Revision(0)),
            confirmed: watch::Sender::new(Timestamp::ZERO),
        }
    }
}

impl ConfigurationCell {
    /// The configuration in force.
    pub fn load(&self) -> Arc<ActiveConfiguration> {
        self.active.load_full()
    }

    /// The revision in force; 0 before any was received.
    pub fn revision(&self) -> Revision {
        *self.revision.borrow()
    }

    /// Subscribes to the revision in force.
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// When the store or a peer last confirmed that the revision in force is the latest.
    pub fn confirmed_at(&self) -> Timestamp {
        *self.confirmed.borrow()
    }

    /// Records a confirmation of the revision in force.
    pub fn confirm(&self, now: Timestamp) {
        self.confirmed.send_if_modified(|at| now > std::mem::replace(at, now.max(*at)));
    }

    /// Installs a document if its revision is higher; returns whether it was.
    pub fn offer(&self, document: RevisedConfiguration) -> bool {
        let guard = self.install_lock.lock().unwrap_or_else(PoisonError::into_inner);
        if document.revision <= self.revision() {
            return false;
        }
        let revision = document.revision;
        self.active.store(Arc::new(ActiveConfiguration::new(document)));
        self.revision.send_replace(revision);
        drop(guard);
        true
    }
}
