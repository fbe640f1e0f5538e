//! The operator's configuration: tenants, pools, model versions, routing preferences and quotas.
//!
//! The configuration is one document under [`DOCUMENT_KEY`] in the configuration store, replaced by
//! compare-and-swap; the store's revision orders all changes. The document also lists the most recent
//! changes, so that a node whose write got no reply can find out whether it was applied.

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

/// Key of the configuration document in the store.
pub const DOCUMENT_KEY: &str = "configuration";

/// Maximum length of [`Configuration::changes`]; covers five hours at 840 changes a day.
pub const MAX_RECORDED_CHANGES: usize = 175;

/// The operator's configuration document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    #[serde(default)]
    pub tenants: BTreeMap<TenantId, Tenant>,
    #[serde(default)]
    pub pools: BTreeMap<PoolId, Pool>,
    #[serde(default)]
    pub services: BTreeMap<ServiceId, Service>,
    /// Engines that an operator has drained.
    #[serde(default)]
    pub drained: BTreeMap<EngineId, Drain>,
    /// The nodes that replicate claims on idempotency keys.
    #[serde(default)]
    pub claims: ClaimPlacement,
    /// The most recent accepted changes, the newest last.
    #[serde(default)]
    pub changes: Vec<ChangeRecord>,
}

/// A configuration and its revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RevisedConfiguration {
    pub revision: Revision,
    pub configuration: Configuration,
}

/// The document as returned by a read or a watch of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoredDocument {
    /// The document; empty with revision 0 if the key does not exist.
    Present(RevisedConfiguration),
    /// The document has not changed since the revision given to the watch.
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

/// A tenant's keys, limits and permissions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// SHA-256 of each caller key, in hexadecimal.
    #[serde(default)]
    pub key_hashes: Vec<String>,
    /// Applies to all nodes together.
    #[serde(default)]
    pub quota: Quota,
    /// Relative share of a contended pool.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Models that the tenant may use; empty allows all.
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

/// A tenant's limits across all nodes. `None` means unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<f64>,
    /// Prompt and completion tokens a second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens_per_second: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrent_requests: Option<u32>,
}

/// A group of engines that serve one model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    pub model: ModelId,
    /// The version for new requests.
    pub weights: WeightsVersion,
    /// The version being rolled out alongside `weights`, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollout: Option<WeightsVersion>,
    /// Adapters that engines of the pool load.
    #[serde(default)]
    pub adapters: Vec<AdapterId>,
    /// Routing preference from 0.0 (minimise tail time to first token) to 1.0 (maximise prefix cache reuse).
    #[serde(default = "default_reuse_weight")]
    pub reuse_weight: f64,
}

const fn default_reuse_weight() -> f64 {
    0.5
}

/// A service other than a model engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Operations that may be retried when their outcome is unknown.
    #[serde(default)]
    pub repeatable_operations: Vec<String>,
}

/// An operator's drain of one engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    #[serde(default)]
    pub reason: String,
}

/// An accepted change, as recorded in the document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    pub id: ChangeId,
    pub operator: OperatorId,
    /// When the change was requested, by the clock of the node that received it.
    pub at: Timestamp,
    pub based_on: Revision,
    /// The change as a command of the operator language.
    pub command: String,
    /// The change itself, which lets a node that is one revision behind skip the full document.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change: Option<Change>,
}

/// A change to one object. The resulting configuration is validated as a whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Change {
    PutTenant { tenant: TenantId, settings: Tenant },
    DeleteTenant { tenant: TenantId },
    PutPool { pool: PoolId, settings: Pool },
    DeletePool { pool: PoolId },
    PutService { service: ServiceId, settings: Service },
    DeleteService { service: ServiceId },
    DrainEngine { engine: EngineId, reason: String },
    UndrainEngine { engine: EngineId },
    RollOut { pool: PoolId, weights: WeightsVersion },
}

/// An operator's request for a change, received by any node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Identifies the change; a retry with the same id is applied once.
    pub id: ChangeId,
    pub operator: OperatorId,
    /// Revision that the change is based on. The change is refused if an object that it touches has changed
    /// since.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub if_revision: Option<Revision>,
    pub change: Change,
    /// The change as a command of the operator language.
    pub command: String,
    /// Validates the change without applying it.
    #[serde(default)]
    pub dry_run: bool,
}

/// The result of a [`ChangeRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// Applied by every member believed to be alive.
    InForce {
        revision: Revision,
        /// Milliseconds from the request until all members had applied it.
        after_ms: u64,
    },
    /// Stored, but not confirmed by all members before the deadline. A member that cannot confirm its
    /// revision refuses work.
    Accepted { revision: Revision, unconfirmed: Vec<crate::identity::NodeId> },
    /// The dry run succeeded.
    WouldApply {
        /// The revision that the change was validated against.
        revision: Revision,
    },
    /// Not applied.
    Refused { revision: Revision, reason: String },
    /// The outcome could not be determined before the deadline.
    Unknown {
        /// A query whose answer shows whether the change was applied.
        #[serde(rename = "settle_with")]
        status_query: String,
    },
}
