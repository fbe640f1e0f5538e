//! Translation of commands to changes of the configuration.

use paddlemount_protocol::{
    configuration::{Change, Configuration, Pool, RevisedConfiguration, Service, Tenant},
    identity::{AdapterId, ModelId, PoolId, Revision, ServiceId, TenantId, WeightsVersion},
};

use crate::{
    schema::Object,
    tree::{Action, ChangeCommand, Setting},
    value::Value,
};

/// A command that cannot be applied to the current configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// `create` for an object that exists.
    #[error("{object} {name} exists already; use: set {object} {name} …")]
    AlreadyExists { object: &'static str, name: String },
    /// A command for an object that does not exist.
    #[error("there is no {object} {name}; see: show {object}s")]
    NotFound { object: &'static str, name: String },
    /// A required setting is missing.
    #[error("{object} {name} needs the setting {setting}")]
    MissingSetting { object: &'static str, name: String, setting: &'static str },
    /// A value that is out of range for the setting.
    #[error("{setting} must be {allowed}")]
    InvalidValue {
        setting: &'static str,
        /// A description of the allowed values.
        allowed: &'static str,
    },
}

/// A change and the revision that it requires.
#[derive(Clone, Debug, PartialEq)]
pub struct TranslatedChange {
    pub change: Change,
    /// The revision given by the operator; otherwise the current one if the change depends on current
    /// settings.
    pub if_revision: Option<Revision>,
}

/// Translates a command to a change of the `current` configuration.
///
/// The changes for `set`, `pin` and `create` depend on current settings and therefore require their revision:
/// they are refused if another change of the object came first.
pub fn translate(
    command: &ChangeCommand,
    current: &RevisedConfiguration,
) -> Result<TranslatedChange, CommandError> {
    let configuration = &current.configuration;
    let (change, depends_on_current) = match &command.action {
        Action::Create(object, name, settings) => (create(*object, name, settings, configuration)?, true),
        Action::Set(object, name, settings) => (set(*object, name, settings, configuration)?, true),
        Action::Delete(object, name) => (delete(*object, name, configuration)?, false),
        Action::Drain { engine, reason } => {
            (Change::DrainEngine { engine: engine.clone(), reason: reason.clone() }, false)
        }
        Action::Undrain { engine } => (Change::UndrainEngine { engine: engine.clone() }, false),
        Action::RollOut { version, pool } => {
            existing_pool(pool, configuration)?;
            (Change::RollOut { pool: pool.clone(), weights: *version }, false)
        }
        Action::Pin { version, pool } => (pin(pool, *version, configuration)?, true),
    };
    let implied = depends_on_current.then_some(current.revision);
    Ok(TranslatedChange { change, if_revision: command.if_revision.or(implied) })
}

fn create(
    object: Object,
    name: &str,
    settings: &[Setting],
    configuration: &Configuration,
) -> Result<Change, CommandError> {
    if exists(object, name, configuration) {
        return Err(CommandError::AlreadyExists { object: object.name(), name: name.to_owned() });
    }
    match object {
        Object::Tenant => put_tenant(name, Tenant::default(), settings),
        Object::Pool => put_pool(name, new_pool(name, settings)?, settings),
        Object::Service => put_service(name, Service::default(), settings),
    }
}

fn set(
    object: Object,
    name: &str,
    settings: &[Setting],
    configuration: &Configuration,
) -> Result<Change, CommandError> {
    let missing = || CommandError::NotFound { object: object.name(), name: name.to_owned() };
    match object {
        Object::Tenant => {
            let tenant = configuration.tenants.get(&TenantId::from(name)).ok_or_else(missing)?;
            put_tenant(name, tenant.clone(), settings)
        }
        Object::Pool => {
            let pool = configuration.pools.get(&PoolId::from(name)).ok_or_else(missing)?;
            put_pool(name, pool.clone(), settings)
        }
        Object::Service => {
            let service = configuration.services.get(&ServiceId::from(name)).ok_or_else(missing)?;
            put_service(name, service.clone(), settings)
        }
    }
}

fn delete(object: Object, name: &str, configuration: &Configuration) -> Result<Change, CommandError> {
    if !exists(object, name, configuration) {
        return Err(CommandError::NotFound { object: object.name(), name: name.to_owned() });
    }
    Ok(match object {
        Object::Tenant => Change::DeleteTenant { tenant: name.into() },
        Object::Pool => Change::DeletePool { pool: name.into() },
        Object::Service => Change::DeleteService { service: name.into() },
    })
}

fn exists(object: Object, name: &str, configuration: &Configuration) -> bool {
    match object {
        Object::Tenant => configuration.tenants.contains_key(&TenantId::from(name)),
        Object::Pool => configuration.pools.contains_key(&PoolId::from(name)),
        Object::Service => configuration.services.contains_key(&ServiceId::from(name)),
    }
}

fn existing_pool<'a>(pool: &PoolId, configuration: &'a Configuration) -> Result<&'a Pool, CommandError> {
    let missing = || CommandError::NotFound { object: Object::Pool.name(), name: pool.as_str().to_owned() };
    configuration.pools.get(pool).ok_or_else(missing)
}

fn pin(
    pool: &PoolId,
    version: WeightsVersion,
    configuration: &Configuration,
) -> Result<Change, CommandError> {
    let mut settings = existing_pool(pool, configuration)?.clone();
    settings.weights = version;
    settings.rollout = None;
    Ok(Change::PutPool { pool: pool.clone(), settings })
}

fn put_tenant(name: &str, mut tenant: Tenant, settings: &[Setting]) -> Result<Change, CommandError> {
    for setting in settings {
        match setting.field.name {
            "weight" => tenant.weight = count(setting, 1)?,
            "requests_per_second" => tenant.quota.requests_per_second = rate(setting)?,
            "tokens_per_second" => tenant.quota.tokens_per_second = rate(setting)?,
            "concurrent_requests" => {
                let given = (setting.value != Value::None).then(|| count(setting, 0));
                tenant.quota.concurrent_requests = given.transpose()?;
            }
            "models" => tenant.models = texts(setting).into_iter().map(ModelId::from).collect(),
            _ => tenant.key_hashes = key_hashes(setting)?,
        }
    }
    Ok(Change::PutTenant { tenant: name.into(), settings: tenant })
}

fn new_pool(name: &str, settings: &[Setting]) -> Result<Pool, CommandError> {
    let missing_setting =
        |setting| CommandError::MissingSetting { object: "pool", name: name.to_owned(), setting };
    let given = |field: &str| settings.iter().find(|setting| setting.field.name == field);
    let model = given("model").ok_or_else(|| missing_setting("model"))?;
    let weights = given("weights").ok_or_else(|| missing_setting("weights"))?;
    const DEFAULT_REUSE_WEIGHT: f64 = 0.5;
    Ok(Pool {
        model: ModelId::from(text(model)?),
        weights: WeightsVersion(whole_number(weights)?),
        rollout: None,
        adapters: Vec::new(),
        reuse_weight: DEFAULT_REUSE_WEIGHT,
    })
}

fn put_pool(name: &str, mut pool: Pool, settings: &[Setting]) -> Result<Change, CommandError> {
    for setting in settings {
        match setting.field.name {
            "model" => pool.model = ModelId::from(text(setting)?),
            "weights" => pool.weights = WeightsVersion(whole_number(setting)?),
            "adapters" => pool.adapters = texts(setting).into_iter().map(AdapterId::from).collect(),
            _ => pool.reuse_weight = fraction(setting)?,
        }
    }
    Ok(Change::PutPool { pool: name.into(), settings: pool })
}

fn put_service(name: &str, mut service: Service, settings: &[Setting]) -> Result<Change, CommandError> {
    for setting in settings {
        service.repeatable_operations = texts(setting);
    }
    Ok(Change::PutService { service: name.into(), settings: service })
}

const fn invalid(setting: &Setting, allowed: &'static str) -> CommandError {
    CommandError::InvalidValue { setting: setting.field.name, allowed }
}

fn whole_number(setting: &Setting) -> Result<u64, CommandError> {
    match setting.value {
        Value::Number(number) if number.fract() == 0.0 && number >= 0.0 => Ok(number as u64),
        _ => Err(invalid(setting, "a whole number")),
    }
}

fn count(setting: &Setting, min: u32) -> Result<u32, CommandError> {
    let number = whole_number(setting).ok().and_then(|number| u32::try_from(number).ok());
    let allowed = if min == 0 { "a whole number" } else { "a whole number above 0" };
    number.filter(|number| *number >= min).ok_or_else(|| invalid(setting, allowed))
}

fn rate(setting: &Setting) -> Result<Option<f64>, CommandError> {
    match setting.value {
        Value::None => Ok(None),
        Value::Number(number) if number >= 0.0 => Ok(Some(number)),
        _ => Err(invalid(setting, "a number from 0 on, or none")),
    }
}

fn fraction(setting: &Setting) -> Result<f64, CommandError> {
    match setting.value {
        Value::Number(number) if (0.0..=1.0).contains(&number) => Ok(number),
        _ => Err(invalid(setting, "a number from 0 to 1")),
    }
}

fn text(setting: &Setting) -> Result<&str, CommandError> {
    match &setting.value {
        Value::Text(text) if !text.is_empty() => Ok(text),
        _ => Err(invalid(setting, "a text that is not empty")),
    }
}

fn texts(setting: &Setting) -> Vec<String> {
    match &setting.value {
        Value::List(texts) => texts.clone(),
        _ => Vec::new(),
    }
}

fn key_hashes(setting: &Setting) -> Result<Vec<String>, CommandError> {
    const HASH_DIGITS: usize = 64;
    let hashes = texts(setting);
    let is_hash = |hash: &String| hash.len() == HASH_DIGITS && hash.bytes().all(|b| b.is_ascii_hexdigit());
    if hashes.iter().all(is_hash) {
        Ok(hashes.iter().map(|hash| hash.to_lowercase()).collect())
    } else {
        Err(invalid(setting, "a list of SHA-256 hashes of 64 hexadecimal digits; never the keys themselves"))
    }
}
