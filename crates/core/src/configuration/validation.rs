//! Validation of a complete configuration. Each error states the place and the remedy.

use std::collections::BTreeMap;

use paddlemount_protocol::{
    configuration::{Configuration, Pool, Quota, Service, Tenant},
    identity::ModelId,
    peer::encoded_bytes,
};

/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Maximum size of the document as JSON.
pub const MAX_DOCUMENT_BYTES: usize = 512 * 1024;

/// Maximum weight of a tenant.
pub const MAX_TENANT_WEIGHT: u32 = 1_000;

/// Hexadecimal digits of a SHA-256 hash.
const HASH_DIGITS: usize = 64;

/// The reason for which a document is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ValidationError {
    /// A name is empty, too long, or has characters that are not allowed.
    #[error(
        "{place}: the name must have 1 to 64 characters of a-z, A-Z, 0-9, '-', '_' and '.'; choose another name"
    )]
    Name { place: String },
    /// A caller key is not given as its hash.
    #[error("{place}: a key hash must be 64 hexadecimal digits; give the SHA-256 of the key, not the key")]
    KeyHash { place: String },
    #[error("{place}: tenant {other} has the same key hash; issue a key of its own")]
    SharedKey { place: String, other: String },
    #[error("{place}: {value} is out of range; give {range}")]
    Range {
        place: String,
        value: String,
        /// The allowed range.
        range: &'static str,
    },
    /// A tenant lists a model that no pool serves.
    #[error("{place}: no pool serves model {model}; create the pool first or leave the model out")]
    UnknownModel { place: String, model: String },
    #[error("{place}: pool {other} serves model {model} already; give each pool its own model")]
    SharedModel { place: String, other: String, model: String },
    /// A rollout targets the version that is in use.
    #[error("{place}: version {version} is in use already; roll out another version")]
    RolloutInUse {
        place: String,
        /// The version.
        version: u64,
    },
    #[error("the document would have {bytes} bytes, more than 524288; delete what is not used")]
    TooLarge { bytes: usize },
}

/// Validates the complete document.
///
/// # Errors
///
/// Returns the first rule that it violates.
pub fn validate(configuration: &Configuration) -> Result<(), ValidationError> {
    check_names(configuration)?;
    let models = check_pools(configuration)?;
    check_tenants(configuration, &models)?;
    for (name, service) in &configuration.services {
        check_service(&format!("service {name}"), service)?;
    }
    let bytes = encoded_bytes(configuration);
    if bytes > MAX_DOCUMENT_BYTES { Err(ValidationError::TooLarge { bytes }) } else { Ok(()) }
}

fn check_names(configuration: &Configuration) -> Result<(), ValidationError> {
    configuration.tenants.keys().try_for_each(|name| check_name("tenant", name.as_str()))?;
    configuration.pools.keys().try_for_each(|name| check_name("pool", name.as_str()))?;
    configuration.services.keys().try_for_each(|name| check_name("service", name.as_str()))?;
    configuration.drained.keys().try_for_each(|name| check_name("engine", name.as_str()))
}

fn check_name(kind: &str, name: &str) -> Result<(), ValidationError> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(is_allowed) {
        return Ok(());
    }
    Err(ValidationError::Name { place: format!("{kind} {name:?}") })
}

fn check_pools(configuration: &Configuration) -> Result<BTreeMap<&ModelId, &str>, ValidationError> {
    let mut models: BTreeMap<&ModelId, &str> = BTreeMap::new();
    for (name, pool) in &configuration.pools {
        let place = format!("pool {name}");
        check_pool(&place, pool)?;
        if let Some(other) = models.insert(&pool.model, name.as_str()) {
            let (other, model) = (other.to_owned(), pool.model.to_string());
            return Err(ValidationError::SharedModel { place, other, model });
        }
    }
    Ok(models)
}

fn check_pool(place: &str, pool: &Pool) -> Result<(), ValidationError> {
    check_name(&format!("{place} model"), pool.model.as_str())?;
    pool.adapters.iter().try_for_each(|name| check_name(&format!("{place} adapter"), name.as_str()))?;
    if !(0.0..=1.0).contains(&pool.reuse_weight) {
        let value = pool.reuse_weight.to_string();
        return Err(ValidationError::Range {
            place: format!("{place} reuse_weight"),
            value,
            range: "0.0 to 1.0",
        });
    }
    if pool.rollout == Some(pool.weights) {
        let place = format!("{place} rollout");
        return Err(ValidationError::RolloutInUse { place, version: pool.weights.0 });
    }
    Ok(())
}

fn check_tenants(
    configuration: &Configuration,
    models: &BTreeMap<&ModelId, &str>,
) -> Result<(), ValidationError> {
    let mut keys: BTreeMap<String, &str> = BTreeMap::new();
    for (name, tenant) in &configuration.tenants {
        let place = format!("tenant {name}");
        check_tenant(&place, tenant, models)?;
        for hash in &tenant.key_hashes {
            let previous = keys.insert(hash.to_ascii_lowercase(), name.as_str());
            if let Some(other) = previous.filter(|other| *other != name.as_str()) {
                return Err(ValidationError::SharedKey { place, other: other.to_owned() });
            }
        }
    }
    Ok(())
}

fn check_tenant(
    place: &str,
    tenant: &Tenant,
    models: &BTreeMap<&ModelId, &str>,
) -> Result<(), ValidationError> {
    let is_hash =
        |hash: &String| hash.len() == HASH_DIGITS && hash.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !tenant.key_hashes.iter().all(is_hash) {
        return Err(ValidationError::KeyHash { place: format!("{place} key_hashes") });
    }
    if tenant.weight == 0 || tenant.weight > MAX_TENANT_WEIGHT {
        let value = tenant.weight.to_string();
        return Err(ValidationError::Range { place: format!("{place} weight"), value, range: "1 to 1000" });
    }
    if let Some(model) = tenant.models.iter().find(|model| !models.contains_key(model)) {
        let place = format!("{place} models");
        return Err(ValidationError::UnknownModel { place, model: model.to_string() });
    }
    check_quota(place, &tenant.quota)
}

fn check_quota(place: &str, quota: &Quota) -> Result<(), ValidationError> {
    let rates =
        [("requests_per_second", quota.requests_per_second), ("tokens_per_second", quota.tokens_per_second)];
    for (field, rate) in rates {
        if let Some(rate) = rate.filter(|rate| !rate.is_finite() || *rate <= 0.0) {
            let place = format!("{place} quota {field}");
            let range = "a number above 0, or leave it out for no limit";
            return Err(ValidationError::Range { place, value: rate.to_string(), range });
        }
    }
    if quota.concurrent_requests == Some(0) {
        let place = format!("{place} quota concurrent_requests");
        let range = "a whole number above 0, or leave it out for no limit";
        return Err(ValidationError::Range { place, value: "0".to_owned(), range });
    }
    Ok(())
}

fn check_service(place: &str, service: &Service) -> Result<(), ValidationError> {
    let mut operations = service.repeatable_operations.iter();
    operations.try_for_each(|name| check_name(&format!("{place} operation"), name))
}
