//! What can be asked for: nouns with their fields.

mod fields;

use crate::value::Kind;

/// One field of a noun.
#[derive(Debug, PartialEq, Eq)]
pub struct FieldSchema {
    /// Its name.
    pub name: &'static str,
    /// Its type.
    pub kind: Kind,
    /// What it means, with its unit.
    pub help: &'static str,
}

/// How the answers of several nodes about one noun are put together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merge {
    /// Each node has rows of its own; all are shown.
    PerNode,
    /// Nodes hold beliefs about the same objects; of rows with equal keys the one with the smallest
    /// `age` is shown. The number is how many leading fields form the key.
    Freshest(usize),
}

macro_rules! nouns {
    ($($(#[$documentation:meta])* $variant:ident, $name:literal, $merge:expr, $fields:ident, $help:literal;)*) => {
        /// What a query is about.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Noun {
            $($(#[$documentation])* $variant,)*
            /// Events of one mechanism, only in `watch`.
            Mechanism(Mechanism),
        }

        impl Noun {
            /// All nouns of `show`.
            pub const ALL: &'static [Self] = &[$(Self::$variant),*];

            /// The word for it.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                    Self::Mechanism(mechanism) => mechanism.name(),
                }
            }

            /// Its own fields; [`COMMON_FIELDS`] follow them.
            pub const fn own_fields(self) -> &'static [FieldSchema] {
                match self {
                    $(Self::$variant => fields::$fields,)*
                    Self::Mechanism(_) => fields::EVENTS,
                }
            }

            /// How the answers of several nodes are put together.
            pub const fn merge(self) -> Merge {
                match self {
                    $(Self::$variant => $merge,)*
                    Self::Mechanism(_) => Merge::PerNode,
                }
            }

            /// One sentence about it.
            pub const fn help(self) -> &'static str {
                match self {
                    $(Self::$variant => $help,)*
                    Self::Mechanism(mechanism) => mechanism.help(),
                }
            }
        }
    };
}

nouns! {
    /// Tenants.
    Tenants, "tenants", Merge::Freshest(1), TENANTS, "Tenants with their quotas.";
    /// Pools of engines.
    Pools, "pools", Merge::Freshest(1), POOLS, "Pools of engines and the model each serves.";
    /// Services beside the models.
    Services, "services", Merge::Freshest(1), SERVICES, "Services beside the models.";
    /// Weights versions.
    Versions, "versions", Merge::Freshest(2), VERSIONS, "Weights versions of each pool and the engines that serve them.";
    /// Engines.
    Engines, "engines", Merge::Freshest(1), ENGINES, "Engines as the freshest report describes them.";
    /// Router nodes.
    Nodes, "nodes", Merge::Freshest(1), NODES, "Router nodes and whether they are alive.";
    /// Hot prefixes.
    Prefixes, "prefixes", Merge::PerNode, PREFIXES, "Hot prompt prefixes and the engines believed to hold them.";
    /// Requests that run now, and ended ones that are on record.
    Requests, "requests", Merge::PerNode, REQUESTS, "Requests that run now, and ended ones that are on record.";
    /// Routing decisions.
    Decisions, "decisions", Merge::PerNode, DECISIONS, "Recorded decisions: one row for each engine weighed.";
    /// Changes of the configuration.
    Changes, "changes", Merge::Freshest(2), CHANGES, "The audit trail: changes asked for, with their outcome.";
    /// Claims on idempotency keys.
    Claims, "claims", Merge::PerNode, CLAIMS, "Claims on idempotency keys.";
    /// Leases.
    Leases, "leases", Merge::PerNode, LEASES, "Leases that a node holds or has seen held.";
    /// Orders to engines.
    Orders, "orders", Merge::PerNode, ORDERS, "Fenced orders to engines.";
    /// Limits.
    Limits, "limits", Merge::PerNode, LIMITS, "Each node's share of each tenant's quota, and its use.";
    /// Alerts.
    Alerts, "alerts", Merge::PerNode, ALERTS, "Conditions that need an operator.";
    /// Events of all mechanisms.
    Events, "events", Merge::PerNode, EVENTS, "Recent events of all mechanisms.";
}

/// Fields that every noun has, after its own.
pub const COMMON_FIELDS: &[FieldSchema] = fields::COMMON;

impl Noun {
    /// All fields, the common ones last.
    pub fn fields(self) -> impl Iterator<Item = &'static FieldSchema> + Clone {
        self.own_fields().iter().chain(COMMON_FIELDS)
    }

    /// The field of a name.
    pub fn field(self, name: &str) -> Option<&'static FieldSchema> {
        self.fields().find(|field| field.name.eq_ignore_ascii_case(name))
    }

    /// The place of a field in a row.
    pub fn index_of(self, field: &FieldSchema) -> Option<usize> {
        self.fields().position(|candidate| candidate.name == field.name)
    }

    /// The noun of a word in `show`.
    pub fn from_name(word: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|noun| noun.name().eq_ignore_ascii_case(word))
    }

    /// The noun of a word in `watch`, where a mechanism goes before a noun of the same name.
    pub fn from_watch_name(word: &str) -> Option<Self> {
        let mechanism = Mechanism::from_name(word).map(Self::Mechanism);
        mechanism.or_else(|| Self::from_name(word))
    }
}

macro_rules! mechanisms {
    ($($(#[$documentation:meta])* $variant:ident, $name:literal, $help:literal;)*) => {
        /// A mechanism whose events can be watched.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Mechanism {
            $($(#[$documentation])* $variant,)*
        }

        impl Mechanism {
            /// All mechanisms.
            pub const ALL: &'static [Self] = &[$(Self::$variant),*];

            /// The word for it.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                }
            }

            /// One sentence about it.
            pub const fn help(self) -> &'static str {
                match self {
                    $(Self::$variant => $help,)*
                }
            }
        }
    };
}

mechanisms! {
    /// Choice of engines.
    Routing, "routing", "Each recorded choice of an engine.";
    /// Copies of hot prefixes.
    Copies, "copies", "Copies made of prefixes that became hot.";
    /// Quotas, queues and shedding.
    Limits, "limits", "Requests refused or delayed by a limit.";
    /// Second tries.
    Retries, "retries", "Requests sent to a second engine.";
    /// Back ends and nodes that leave.
    Drains, "drains", "Engines that stop and start to take work.";
    /// Which nodes are alive.
    Membership, "membership", "Nodes that join, are suspected or leave.";
    /// Revisions of the configuration.
    Configuration, "configuration", "Revisions that come into force.";
    /// Operations that run at most once.
    Claims, "claims", "Claims taken, refused and ended.";
    /// Orders to engines.
    Placement, "placement", "Orders to engines and their results.";
}

impl Mechanism {
    /// The mechanism of a word.
    pub fn from_name(word: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|mechanism| mechanism.name().eq_ignore_ascii_case(word))
    }
}

/// The objects that operators create, set and delete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Object {
    /// A tenant.
    Tenant,
    /// A pool.
    Pool,
    /// A service.
    Service,
}

impl Object {
    /// All objects.
    pub const ALL: &'static [Self] = &[Self::Tenant, Self::Pool, Self::Service];

    /// The word for it.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Tenant => "tenant",
            Self::Pool => "pool",
            Self::Service => "service",
        }
    }

    /// Its settings.
    pub const fn settings(self) -> &'static [FieldSchema] {
        match self {
            Self::Tenant => fields::TENANT_SETTINGS,
            Self::Pool => fields::POOL_SETTINGS,
            Self::Service => fields::SERVICE_SETTINGS,
        }
    }

    /// The object of a word.
    pub fn from_name(word: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|object| object.name().eq_ignore_ascii_case(word))
    }

    /// The setting of a name.
    pub fn setting(self, name: &str) -> Option<&'static FieldSchema> {
        self.settings().iter().find(|setting| setting.name.eq_ignore_ascii_case(name))
    }
}
