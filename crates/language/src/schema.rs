//! The schema of the language: nouns, their fields, and the settings of objects.

mod fields;

use crate::value::Kind;

/// One field of a noun.
#[derive(Debug, PartialEq, Eq)]
pub struct FieldSchema {
    pub name: &'static str,
    pub kind: Kind,
    /// Its meaning and unit, shown by `help`.
    pub help: &'static str,
}

/// How the rows of several nodes are combined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merge {
    /// Each node has its own rows; all are part of the answer.
    PerNode,
    /// Nodes report on the same objects; of rows with equal keys, the one with the smallest `age` is kept.
    /// The value is the number of leading fields that form the key.
    Freshest(usize),
}

macro_rules! nouns {
    ($($(#[$documentation:meta])* $variant:ident, $name:literal, $merge:expr, $fields:ident, $help:literal;)*) => {
        /// The kind of row that a query selects.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Noun {
            $($(#[$documentation])* $variant,)*
            /// Events of one mechanism; only in `watch`.
            Mechanism(Mechanism),
        }

        impl Noun {
            /// All nouns of `show`.
            pub const ALL: &'static [Self] = &[$(Self::$variant),*];

            /// Its keyword.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                    Self::Mechanism(mechanism) => mechanism.name(),
                }
            }

            /// Its specific fields, without [`COMMON_FIELDS`].
            pub const fn own_fields(self) -> &'static [FieldSchema] {
                match self {
                    $(Self::$variant => fields::$fields,)*
                    Self::Mechanism(_) => fields::EVENTS,
                }
            }

            /// How the rows of several nodes are combined.
            pub const fn merge(self) -> Merge {
                match self {
                    $(Self::$variant => $merge,)*
                    Self::Mechanism(_) => Merge::PerNode,
                }
            }

            /// A one-sentence description.
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
    Tenants, "tenants", Merge::Freshest(1), TENANTS, "Tenants with their quotas.";
    Pools, "pools", Merge::Freshest(1), POOLS, "Pools of engines and the model each serves.";
    Services, "services", Merge::Freshest(1), SERVICES, "Services beside the models.";
    Versions, "versions", Merge::Freshest(2), VERSIONS, "Weights versions of each pool and the engines that serve them.";
    Engines, "engines", Merge::Freshest(1), ENGINES, "Engines as the freshest report describes them.";
    Nodes, "nodes", Merge::Freshest(1), NODES, "Router nodes and whether they are alive.";
    Prefixes, "prefixes", Merge::PerNode, PREFIXES, "Hot prompt prefixes and the engines believed to hold them.";
    Requests, "requests", Merge::PerNode, REQUESTS, "Requests that run now, and ended ones that are on record.";
    Decisions, "decisions", Merge::PerNode, DECISIONS, "Recorded decisions: one row for each engine weighed.";
    Changes, "changes", Merge::Freshest(2), CHANGES, "The audit trail: changes asked for, with their outcome.";
    Claims, "claims", Merge::PerNode, CLAIMS, "Claims on idempotency keys.";
    Leases, "leases", Merge::PerNode, LEASES, "Leases that a node holds or has seen held.";
    /// Fenced commands to engines.
    Orders, "orders", Merge::PerNode, ORDERS, "Fenced orders to engines.";
    Limits, "limits", Merge::PerNode, LIMITS, "Each node's share of each tenant's quota, and its use.";
    Alerts, "alerts", Merge::PerNode, ALERTS, "Conditions that need an operator.";
    Events, "events", Merge::PerNode, EVENTS, "Recent events of all mechanisms.";
}

/// Fields of every noun; they follow its specific fields.
pub const COMMON_FIELDS: &[FieldSchema] = fields::COMMON;

impl Noun {
    /// All fields; the common ones are last.
    pub fn fields(self) -> impl Iterator<Item = &'static FieldSchema> + Clone {
        self.own_fields().iter().chain(COMMON_FIELDS)
    }

    /// Finds a field by its name, ignoring case.
    pub fn field(self, name: &str) -> Option<&'static FieldSchema> {
        self.fields().find(|field| field.name.eq_ignore_ascii_case(name))
    }

    /// The index of a field in a row.
    pub fn index_of(self, field: &FieldSchema) -> Option<usize> {
        self.fields().position(|candidate| candidate.name == field.name)
    }

    /// Finds the noun of `show` by its keyword, ignoring case.
    pub fn from_name(word: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|noun| noun.name().eq_ignore_ascii_case(word))
    }

    /// Finds the noun of `watch` by its keyword; a mechanism takes precedence over a noun of the same name.
    pub fn from_watch_name(word: &str) -> Option<Self> {
        let mechanism = Mechanism::from_name(word).map(Self::Mechanism);
        mechanism.or_else(|| Self::from_name(word))
    }
}

macro_rules! mechanisms {
    ($($(#[$documentation:meta])* $variant:ident, $name:literal, $help:literal;)*) => {
        /// A mechanism of the router whose events can be watched.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Mechanism {
            $($(#[$documentation])* $variant,)*
        }

        impl Mechanism {
            /// All mechanisms.
            pub const ALL: &'static [Self] = &[$(Self::$variant),*];

            /// Its keyword.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                }
            }

            /// A one-sentence description.
            pub const fn help(self) -> &'static str {
                match self {
                    $(Self::$variant => $help,)*
                }
            }
        }
    };
}

mechanisms! {
    Routing, "routing", "Each recorded choice of an engine.";
    Copies, "copies", "Copies made of prefixes that became hot.";
    Limits, "limits", "Requests refused or delayed by a limit.";
    Retries, "retries", "Requests sent to a second engine.";
    Drains, "drains", "Engines that stop and start to take work.";
    Membership, "membership", "Nodes that join, are suspected or leave.";
    Configuration, "configuration", "Revisions that come into force.";
    Claims, "claims", "Claims taken, refused and ended.";
    Placement, "placement", "Orders to engines and their results.";
}

impl Mechanism {
    /// Finds a mechanism by its keyword, ignoring case.
    pub fn from_name(word: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|mechanism| mechanism.name().eq_ignore_ascii_case(word))
    }
}

/// The kinds of object that operators create, set and delete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Object {
    Tenant,
    Pool,
    Service,
}

impl Object {
    /// All kinds of object.
    pub const ALL: &'static [Self] = &[Self::Tenant, Self::Pool, Self::Service];

    /// Its keyword.
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

    /// Finds a kind of object by its keyword, ignoring case.
    pub fn from_name(word: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|object| object.name().eq_ignore_ascii_case(word))
    }

    /// Finds a setting by its name, ignoring case.
    pub fn setting(self, name: &str) -> Option<&'static FieldSchema> {
        self.settings().iter().find(|setting| setting.name.eq_ignore_ascii_case(name))
    }
}
