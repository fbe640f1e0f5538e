//! Applies one change to one document.

use paddlemount_protocol::{
    configuration::{
        Change, ChangeRecord, ChangeRequest, Configuration, Drain, MAX_RECORDED_CHANGES, RevisedConfiguration,
    },
    identity::{ChangeId, EngineId, PoolId, Revision, ServiceId, TenantId},
    time::Timestamp,
};
use xxhash_rust::xxh3::Xxh3;

use super::validation::{ValidationError, validate};

/// The object that a change modifies.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Object {
    Tenant(TenantId),
    Pool(PoolId),
    Service(ServiceId),
    /// The drain of an engine.
    Engine(EngineId),
}

impl std::fmt::Display for Object {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Tenant(name) => write!(formatter, "tenant {name}"),
            Self::Pool(name) => write!(formatter, "pool {name}"),
            Self::Service(name) => write!(formatter, "service {name}"),
            Self::Engine(name) => write!(formatter, "engine {name}"),
        }
    }
}

/// The reason for refusing a change.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ChangeError {
    /// The resulting document would not be valid.
    #[error(transparent)]
    Invalid(#[from] ValidationError),
    #[error("{object} does not exist; check the name against the current configuration")]
    NotFound { object: Object },
    /// The object was changed after the revision that the change is based on.
    #[error(
        "{object} was changed by {operator} (change {change}) after revision {based_on}; read it again and repeat the change"
    )]
    Conflict {
        object: Object,
        /// The operator who changed it.
        operator: String,
        /// The conflicting change.
        change: ChangeId,
        /// The revision that the refused change is based on.
        based_on: Revision,
    },
    /// More changes were made since than the document records.
    #[error(
        "revision {based_on} is too old to tell whether {object} changed since; read it again and repeat the change"
    )]
    BasedOnTooOld {
        object: Object,
        /// The revision that the refused change is based on.
        based_on: Revision,
    },
    /// The revision that the change is based on does not exist yet.
    #[error("revision {based_on} is newer than the current one; check the revision")]
    BasedOnFuture {
        /// The revision that the refused change is based on.
        based_on: Revision,
    },
    /// The change's identity was used for another change.
    #[error("change {change} was made before with other contents; choose a new identity for a new change")]
    IdentityReused { change: ChangeId },
}

/// Returns the object that `change` modifies.
pub fn object(change: &Change) -> Object {
    match change {
        Change::PutTenant { tenant, .. } | Change::DeleteTenant { tenant } => Object::Tenant(tenant.clone()),
        Change::PutPool { pool, .. } | Change::DeletePool { pool } | Change::RollOut { pool, .. } => {
            Object::Pool(pool.clone())
        }
        Change::PutService { service, .. } | Change::DeleteService { service } => {
            Object::Service(service.clone())
        }
        Change::DrainEngine { engine, .. } | Change::UndrainEngine { engine } => {
            Object::Engine(engine.clone())
        }
    }
}

/// Returns the document after `request`, which was requested at `at`.
///
/// # Errors
///
/// Returns the reason for refusing the change; nothing is changed then.
pub fn evaluate(
    current: &RevisedConfiguration,
    request: &ChangeRequest,
    at: Timestamp,
) -> Result<Configuration, ChangeError> {
    check_conflict(current, request)?;
    let mut next = current.configuration.clone();
    apply_change(&mut next, &request.change)?;
    append_record(&mut next, record(request, current.revision, at));
    validate(&next)?;
    Ok(next)
}

/// Applies an accepted change to the document that it was accepted on.
///
/// # Errors
///
/// Returns an error if the change does not fit the document.
pub fn replay(configuration: &mut Configuration, record: &ChangeRecord) -> Result<(), ChangeError> {
    if let Some(change) = &record.change {
        apply_change(configuration, change)?;
    }
    append_record(configuration, record.clone());
    Ok(())
}

/// Returns the revision that the change with `id` made, if the document records it.
///
/// # Errors
///
/// Returns an error if the identity was used for another change than `change`.
pub fn find_applied(
    current: &RevisedConfiguration,
    id: &ChangeId,
    change: &Change,
) -> Result<Option<Revision>, ChangeError> {
    let changes = &current.configuration.changes;
    let Some(position) = changes.iter().position(|record| record.id == *id) else { return Ok(None) };
    if changes[position].change.as_ref().is_some_and(|recorded| recorded != change) {
        return Err(ChangeError::IdentityReused { change: id.clone() });
    }
    Ok(Some(changes.get(position + 1).map_or(current.revision, |following| following.based_on)))
}

/// Whether the document records every change made on top of `revision`.
pub fn records_since(configuration: &Configuration, revision: Revision) -> bool {
    let is_complete = configuration.changes.len() < MAX_RECORDED_CHANGES;
    is_complete || configuration.changes.first().is_some_and(|oldest| oldest.based_on <= revision)
}

/// Returns a hash of the complete document; equal documents have equal digests.
pub fn digest(configuration: &Configuration) -> u64 {
    let mut hasher = HashWriter(Xxh3::new());
    match serde_json::to_writer(&mut hasher, configuration) {
        Ok(()) => hasher.0.digest(),
        Err(_) => 0,
    }
}

struct HashWriter(Xxh3);

impl std::io::Write for HashWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.update(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn check_conflict(current: &RevisedConfiguration, request: &ChangeRequest) -> Result<(), ChangeError> {
    let Some(based_on) = request.if_revision else { return Ok(()) };
    let object = object(&request.change);
    if based_on > current.revision {
        return Err(ChangeError::BasedOnFuture { based_on });
    }
    if !records_since(&current.configuration, based_on) {
        return Err(ChangeError::BasedOnTooOld { object, based_on });
    }
    let later = current.configuration.changes.iter().filter(|record| record.based_on >= based_on);
    let touching =
        |record: &&ChangeRecord| record.change.as_ref().is_none_or(|change| self::object(change) == object);
    match later.rev().find(touching) {
        None => Ok(()),
        Some(record) => Err(ChangeError::Conflict {
            object,
            operator: record.operator.to_string(),
            change: record.id.clone(),
            based_on,
        }),
    }
}

fn apply_change(configuration: &mut Configuration, change: &Change) -> Result<(), ChangeError> {
    let existed = match change {
        Change::PutTenant { tenant, settings } => {
            configuration.tenants.insert(tenant.clone(), settings.clone());
            true
        }
        Change::DeleteTenant { tenant } => configuration.tenants.remove(tenant).is_some(),
        Change::PutPool { pool, settings } => {
            configuration.pools.insert(pool.clone(), settings.clone());
            true
        }
        Change::DeletePool { pool } => configuration.pools.remove(pool).is_some(),
        Change::PutService { service, settings } => {
            configuration.services.insert(service.clone(), settings.clone());
            true
        }
        Change::DeleteService { service } => configuration.services.remove(service).is_some(),
        Change::DrainEngine { engine, reason } => {
            configuration.drained.insert(engine.clone(), Drain { reason: reason.clone() });
            true
        }
        Change::UndrainEngine { engine } => configuration.drained.remove(engine).is_some(),
        Change::RollOut { pool, weights } => {
            let found = configuration.pools.get_mut(pool);
            found.map(|settings| settings.rollout = Some(*weights)).is_some()
        }
    };
    if existed { Ok(()) } else { Err(ChangeError::NotFound { object: object(change) }) }
}

fn record(request: &ChangeRequest, based_on: Revision, at: Timestamp) -> ChangeRecord {
    ChangeRecord {
        id: request.id.clone(),
        operator: request.operator.clone(),
        at,
        based_on,
        command: request.command.clone(),
        change: Some(request.change.clone()),
    }
}

fn append_record(configuration: &mut Configuration, record: ChangeRecord) {
    configuration.changes.push(record);
    let excess = configuration.changes.len().saturating_sub(MAX_RECORDED_CHANGES);
    configuration.changes.drain(..excess);
}
