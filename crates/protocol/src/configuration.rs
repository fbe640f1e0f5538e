//! The operator's configuration: tenants, pools, model versions, preferences and quotas.
//!
//! The whole document stands under [`DOCUMENT_KEY`] in the configuration store and is replaced by
//! compare-and-swap; the store's revision orders all changes. It also carries the most recent
//! changes, so that a lost reply is settled by looking for the change's id.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    identity::{
        AdapterId, ChangeId, EngineId, ModelId, OperatorId, PoolId, Revision, ServiceId, TenantId,
        WeightsVersion,
    },
    peer::claims::ClaimPlacement,
    platform::StoreValue,
    time::Timestamp,
};

/// The store's key of the configuration document.
pub const DOCUMENT_KEY: &str = "configuration";

/// Changes that the document remembers, the newest last. 840 changes a day fill it in five hours.
pub const MAX_RECORDED_CHANGES: usize = 175;

/// The whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Tenants by name.
    #[serde(default)]
    pub tenants: BTreeMap<TenantId, Tenant>,
    /// Pools by name.
    #[serde(default)]
    pub pools: BTreeMap<PoolId, Pool>,
    /// Services beside the models, by name.
    #[serde(default)]
    pub services: BTreeMap<ServiceId, Service>,
    /// Engines that an operator drains.
    #[serde(default)]
    pub drained: BTreeMap<EngineId, Drain>,
    /// The nodes that remember claims on idempotency keys.
    #[serde(default)]
    pub claims: ClaimPlacement,
    /// The most recent accepted changes, the newest last.
    #[serde(default)]
    pub changes: Vec<ChangeRecord>,
}

/// The configuration under its revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RevisedConfiguration {
    /// The store's revision of the document.
    pub revision: Revision,
    /// The document.
    pub configuration: Configuration,
}

/// What a read or a watch of the store says of the document.
#[derive(Clone, Debug, PartialEq)]
pub enum StoredDocument {
    /// The document; an empty one under revision 0 where the key does not exist yet.
    Present(RevisedConfiguration),
    /// The document under this revision, which the watch named, was not changed.
    Unchanged(Revision),
}

impl TryFrom<StoreValue> for StoredDocument {
    type Error = serde_json::Error;

    fn try_from(read: StoreValue) -> Result<Self, serde_json::Error> {
        let revision = read.revision;
        let configuration = match read.value {
            Some(value) => serde_json::from_value(value)?,
            None if revision > Revision(0) => return Ok(Self::Unchanged(revision)),
            None => Configuration::default(),
        };
        Ok(Self::Present(RevisedConfiguration { revision, configuration }))
    }
}

/// One tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// SHA-256 of each caller key, in hexadecimal.
    #[serde(default)]
    pub key_hashes: Vec<String>,
    /// Limits over all nodes.
    #[serde(default)]
    pub quota: Quota,
    /// The share of a contended pool, relative to other tenants.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Models that the tenant may use; empty means all.
    #[serde(default)]
    pub models: Vec<ModelId>,
}

const fn default_weight() -> u32 {
    1
}

impl Default for Tenant {
    fn default() -> Self {
        Self { key_hashes: Vec::new(), quota: Quota::default(), weight: default_weight(), models: Vec::new() }
    }
}

/// A tenant's limits over all nodes; absent means unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Requests a second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<f64>,
    /// Prompt and completion tokens a second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens_per_second: Option<f64>,
    /// Requests at the same time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrent_requests: Option<u32>,
}

/// A group of engines that serve one model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The model that the pool serves.
    pub model: ModelId,
    /// The weights version that new requests use.
    pub weights: WeightsVersion,
    /// The version that is being rolled out beside it, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollout: Option<WeightsVersion>,
    /// Adapters to be loaded.
    #[serde(default)]
    pub adapters: Vec<AdapterId>,
    /// From 0.0 (tail time to first token alone) to 1.0 (reuse of cached prefixes alone).
    #[serde(default = "default_reuse_weight")]
    pub reuse_weight: f64,
}

const fn default_reuse_weight() -> f64 {
    0.5
}

/// A service beside the models.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Operations that may be sent again after an unclear ending.
    #[serde(default)]
    pub repeatable_operations: Vec<String>,
}

/// An operator's drain of one engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Why.
    #[serde(default)]
    pub reason: String,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The change's identity.
    pub id: ChangeId,
    /// Who asked for it.
    pub operator: OperatorId,
    /// When it was asked for, by the clock of the node that took it.
    pub at: Timestamp,
    /// The revision that it was based on.
    pub based_on: Revision,
    /// What it did, as a command of the operator language.
    pub command: String,
    /// What it did, so that a node one step behind needs no whole document.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change: Option<Change>,
}

/// A change of one object; the configuration after it is checked as a whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Change {
    /// Create or replace a tenant.
    PutTenant {
        /// The tenant.
        tenant: TenantId,
        /// Its settings.
        settings: Tenant,
    },
    /// Delete a tenant.
    DeleteTenant {
        /// The tenant.
        tenant: TenantId,
    },
    /// Create or replace a pool.
    PutPool {
        /// The pool.
        pool: PoolId,
        /// Its settings.
        settings: Pool,
    },
    /// Delete a pool.
    DeletePool {
        /// The pool.
        pool: PoolId,
    },
    /// Create or replace a service.
    PutService {
        /// The service.
        service: ServiceId,
        /// Its settings.
        settings: Service,
    },
    /// Delete a service.
    DeleteService {
        /// The service.
        service: ServiceId,
    },
    /// Stop new work for an engine.
    DrainEngine {
        /// The engine.
        engine: EngineId,
        /// Why.
        reason: String,
    },
    /// Let an engine take work again.
    UndrainEngine {
        /// The engine.
        engine: EngineId,
    },
    /// Roll out a weights version over a pool.
    RollOut {
        /// The pool.
        pool: PoolId,
        /// The version.
        weights: WeightsVersion,
    },
}

/// A request for a change, from an operator by way of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// The change's identity; asked again with the same identity, it is made once.
    pub id: ChangeId,
    /// Who asks.
    pub operator: OperatorId,
    /// The revision that the change is based on; the change is refused where an object it touches changed since.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub if_revision: Option<Revision>,
    /// What to change.
    pub change: Change,
    /// The change as a command of the operator language.
    pub command: String,
    /// Whether only to check it.
    #[serde(default)]
    pub dry_run: bool,
}

/// How a change ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// In force at every member that is known to be alive.
    InForce {
        /// The revision it made.
        revision: Revision,
        /// Milliseconds from the request until in force.
        after_ms: u64,
    },
    /// Accepted; some members had not confirmed it by the deadline. They refuse work when they cannot confirm.
    Accepted {
        /// The revision it made.
        revision: Revision,
        /// Members that have not confirmed.
        unconfirmed: Vec<crate::identity::NodeId>,
    },
    /// A dry run found nothing wrong.
    WouldApply {
        /// The revision that the check was made against.
        revision: Revision,
    },
    /// Not made.
    Refused {
        /// The current revision.
        revision: Revision,
        /// Why, and what to do.
        reason: String,
    },
    /// Neither acceptance nor refusal could be learned by the deadline.
    Unknown {
        /// The query that settles it.
        settle_with: String,
    },
}
