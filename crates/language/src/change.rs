//! Commands as changes of the configuration.

use paddlemount_protocol::{
    configuration::{Change, Configuration, Pool, RevisedConfiguration, Service, Tenant},
    identity::{AdapterId, ModelId, PoolId, Revision, ServiceId, TenantId, WeightsVersion},
};

use crate::{
    schema::Object,
    tree::{Action, ChangeCommand, Setting},
    value::Value,
};

/// A command that cannot become a change of the present configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// `create` of an object that exists.
    #[error("{object} {name} exists already; use: set {object} {name} …")]
    AlreadyExists {
        /// Its kind.
        object: &'static str,
        /// Its name.
        name: String,
    },
    /// A command on an object that does not exist.
    #[error("there is no {object} {name}; see: show {object}s")]
    NotFound {
        /// Its kind.
        object: &'static str,
        /// Its name.
        name: String,
    },
    /// A setting that must be given.
    #[error("{object} {name} needs the setting {setting}")]
    MissingSetting {
        /// The object's kind.
        object: &'static str,
        /// Its name.
        name: String,
        /// The setting.
        setting: &'static str,
    },
    /// A value that a setting cannot have.
    #[error("{setting} must be {allowed}")]
    InvalidValue {
        /// The setting.
        setting: &'static str,
        /// What is allowed.
        allowed: &'static str,
    },
}

/// A change with the revision that it rests on.
#[derive(Clone, Debug, PartialEq)]
pub struct TranslatedChange {
    /// The change.
    pub change: Change,
    /// The revision given by the operator; else, where the change was worked out from present settings, theirs.
    pub if_revision: Option<Revision>,
}

/// Translates a command, given the configuration that it starts from.
///
/// `set`, `pin` and `create` are worked out from present settings, so the change rests on the
/// revision they were read at: it is refused where another change of the object came first.
pub fn translate(
    command: &ChangeCommand,
    present: &RevisedConfiguration,
) -> Result<TranslatedChange, CommandError> {
    let configuration = &present.configuration;
    let (change, rests_on_present) = match &command.action {
        Action::Create(object, name, settings) => (create(*object, name, settings, configuration)?, true),
        Action::Set(object, name, settings) => (set(*object, name, settings, configuration)?, true),
        Action::Delete(object, name) => (delete(*object, name, configuration)?, false),
        Action::Drain { engine, reason } => {
            (Change::DrainEngine { engine: engine.clone(), reason: reason.clone() }, false)
        }
        Action::Undrain { engine } => (Change::UndrainEngine { engine: engine.clone() }, false),
        Action::RollOut { version, pool } => {
            pool_of(pool, configuration)?;
            (Change::RollOut { pool: pool.clone(), weights: *version }, false)
        }
        Action::Pin { version, pool } => (pin(pool, *version, configuration)?, true),
    };
    let implied = rests_on_present.then_some(present.revision);
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

fn pool_of<'a>(pool: &PoolId, configuration: &'a Configuration) -> Result<&'a Pool, CommandError> {
    let missing = || CommandError::NotFound { object: Object::Pool.name(), name: pool.as_str().to_owned() };
    configuration.pools.get(pool).ok_or_else(missing)
}

fn pin(
    pool: &PoolId,
    version: WeightsVersion,
    configuration: &Configuration,
) -> Result<Change, CommandError> {
    let mut settings = pool_of(pool, configuration)?.clone();
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
    let needs = |setting| CommandError::MissingSetting { object: "pool", name: name.to_owned(), setting };
    let given = |wanted: &str| settings.iter().find(|setting| setting.field.name == wanted);
    let model = given("model").ok_or_else(|| needs("model"))?;
    let weights = given("weights").ok_or_else(|| needs("weights"))?;
    const EVEN_REUSE_WEIGHT: f64 = 0.5;
    Ok(Pool {
        model: ModelId::from(text(model)?),
        weights: WeightsVersion(whole(weights)?),
        rollout: None,
        adapters: Vec::new(),
        reuse_weight: EVEN_REUSE_WEIGHT,
    })
}

fn put_pool(name: &str, mut pool: Pool, settings: &[Setting]) -> Result<Change, CommandError> {
    for setting in settings {
        match setting.field.name {
            "model" => pool.model = ModelId::from(text(setting)?),
            "weights" => pool.weights = WeightsVersion(whole(setting)?),
            "adapters" => pool.adapters = texts(setting).into_iter().map(AdapterId::from).collect(),
            _ => pool.reuse_weight = share(setting)?,
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

const fn bad(setting: &Setting, allowed: &'static str) -> CommandError {
    CommandError::InvalidValue { setting: setting.field.name, allowed }
}

fn whole(setting: &Setting) -> Result<u64, CommandError> {
    match setting.value {
        Value::Number(number) if number.fract() == 0.0 && number >= 0.0 => Ok(number as u64),
        _ => Err(bad(setting, "a whole number")),
    }
}

fn count(setting: &Setting, least: u32) -> Result<u32, CommandError> {
    let number = whole(setting).ok().and_then(|number| u32::try_from(number).ok());
    let allowed = if least == 0 { "a whole number" } else { "a whole number above 0" };
    number.filter(|number| *number >= least).ok_or_else(|| bad(setting, allowed))
}

fn rate(setting: &Setting) -> Result<Option<f64>, CommandError> {
    match setting.value {
        Value::None => Ok(None),
        Value::Number(number) if number >= 0.0 => Ok(Some(number)),
        _ => Err(bad(setting, "a number from 0 on, or none")),
    }
}

fn share(setting: &Setting) -> Result<f64, CommandError> {
    match setting.value {
        Value::Number(number) if (0.0..=1.0).contains(&number) => Ok(number),
        _ => Err(bad(setting, "a number from 0 to 1")),
    }
}

fn text(setting: &Setting) -> Result<&str, CommandError> {
    match &setting.value {
        Value::Text(text) if !text.is_empty() => Ok(text),
        _ => Err(bad(setting, "a text that is not empty")),
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
        Err(bad(setting, "a list of SHA-256 hashes of 64 hexadecimal digits; never the keys themselves"))
    }
}
