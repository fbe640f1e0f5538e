//! The syntax tree. Printing it (`Display`) gives text that parses to an equal tree.

use paddlemount_protocol::identity::{
    ChangeId, EngineId, PoolId, RequestId, Revision, TenantId, WeightsVersion,
};

use crate::{
    schema::{FieldSchema, Noun, Object},
    value::Value,
};

/// One statement.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// `show …`: rows as they are now.
    Show(Query),
    /// `watch …`: rows as they appear or change.
    Watch(Query),
    /// `explain …`: why a request goes where it goes.
    Explain(Explain),
    /// A command that changes the configuration.
    Change(ChangeCommand),
    /// `help [WORD]`.
    Help(Option<String>),
}

/// What is asked for, of which rows, in which form.
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    /// What it is about.
    pub noun: Noun,
    /// Columns to show; empty means all fields, or the grouped fields and the count.
    pub columns: Vec<Column>,
    /// Which rows.
    pub filter: Option<Expression>,
    /// Fields whose values form groups.
    pub group_by: Vec<Field>,
    /// Order of the rows.
    pub order_by: Vec<Order>,
    /// Rows at most.
    pub limit: Option<u64>,
}

impl Query {
    /// All rows and fields of a noun.
    pub const fn all(noun: Noun) -> Self {
        Self {
            noun,
            columns: Vec::new(),
            filter: None,
            group_by: Vec::new(),
            order_by: Vec::new(),
            limit: None,
        }
    }

    /// Whether rows are put together into groups.
    pub fn is_grouped(&self) -> bool {
        !self.group_by.is_empty() || self.columns.iter().any(|column| matches!(column, Column::Aggregate(_)))
    }
}

/// A field of the query's noun.
pub type Field = &'static FieldSchema;

/// One column of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Column {
    /// A field.
    Field(Field),
    /// A figure over each group.
    Aggregate(Aggregate),
}

/// A figure over a group of rows.
#[derive(Clone, Debug, PartialEq)]
pub struct Aggregate {
    /// How it is worked out.
    pub function: Function,
    /// The field it is worked out from; none for `count()`.
    pub field: Option<Field>,
}

/// How a figure over a group is worked out. Rows where the field is unknown are left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Function {
    /// The number of rows.
    Count,
    /// The sum.
    Sum,
    /// The mean.
    Average,
    /// The least.
    Minimum,
    /// The greatest.
    Maximum,
    /// The value that half of the rows do not exceed.
    Median,
    /// The value that 95 in 100 rows do not exceed.
    Percentile95,
    /// The value that 99 in 100 rows do not exceed.
    Percentile99,
}

impl Function {
    /// All functions.
    pub const ALL: &'static [Self] = &[
        Self::Count,
        Self::Sum,
        Self::Average,
        Self::Minimum,
        Self::Maximum,
        Self::Median,
        Self::Percentile95,
        Self::Percentile99,
    ];

    /// The word for it.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Count => "count",
            Self::Sum => "sum",
            Self::Average => "avg",
            Self::Minimum => "min",
            Self::Maximum => "max",
            Self::Median => "p50",
            Self::Percentile95 => "p95",
            Self::Percentile99 => "p99",
        }
    }

    /// The function of a word.
    pub fn from_name(word: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|function| function.name().eq_ignore_ascii_case(word))
    }
}

/// One key of an order.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// By what.
    pub column: Column,
    /// Whether the greatest comes first.
    pub descending: bool,
}

/// A condition on a row.
#[derive(Clone, Debug, PartialEq)]
pub enum Expression {
    /// A field compared with a literal.
    Compare {
        /// The field.
        field: Field,
        /// How.
        operator: Operator,
        /// With what.
        literal: Literal,
    },
    /// All hold; two or more.
    And(Vec<Expression>),
    /// At least one holds; two or more.
    Or(Vec<Expression>),
    /// It does not hold.
    Not(Box<Expression>),
}

/// How a field is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operator {
    /// `=`
    Equal,
    /// `!=`
    NotEqual,
    /// `<`
    Less,
    /// `<=`
    AtMost,
    /// `>`
    Greater,
    /// `>=`
    AtLeast,
    /// `like`: a text matches a pattern with `*` and `?`.
    Like,
    /// `contains`: a text has a part, or a list has an element.
    Contains,
}

impl Operator {
    /// The word or sign for it.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Equal => "=",
            Self::NotEqual => "!=",
            Self::Less => "<",
            Self::AtMost => "<=",
            Self::Greater => ">",
            Self::AtLeast => ">=",
            Self::Like => "like",
            Self::Contains => "contains",
        }
    }
}

/// A value in a condition.
#[derive(Clone, Debug, PartialEq)]
pub enum Literal {
    /// A fixed value; [`Value::None`] is written `none`.
    Value(Value),
    /// So many microseconds before the query is answered.
    Ago(u64),
}

/// What is to be explained.
#[derive(Clone, Debug, PartialEq)]
pub enum Explain {
    /// Why a request went where it went.
    Request(RequestId),
    /// Where a prompt would go now.
    Route(RouteQuery),
}

/// A prompt not sent yet.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteQuery {
    /// The pool.
    pub pool: PoolId,
    /// The tenant.
    pub tenant: TenantId,
    /// The prompt's text.
    pub prompt: String,
}

/// A command with its options.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeCommand {
    /// What to do.
    pub action: Action,
    /// Whether only to check it.
    pub dry_run: bool,
    /// The revision it is based on.
    pub if_revision: Option<Revision>,
    /// The change's identity.
    pub id: Option<ChangeId>,
}

/// What a command does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Create an object that does not exist.
    Create(Object, String, Vec<Setting>),
    /// Change settings of an object that exists.
    Set(Object, String, Vec<Setting>),
    /// Delete an object.
    Delete(Object, String),
    /// Stop new work for an engine.
    Drain {
        /// The engine.
        engine: EngineId,
        /// Why.
        reason: String,
    },
    /// Let an engine take work again.
    Undrain {
        /// The engine.
        engine: EngineId,
    },
    /// Roll out a weights version over a pool.
    RollOut {
        /// The version.
        version: WeightsVersion,
        /// The pool.
        pool: PoolId,
    },
    /// Serve one version alone, and end a rollout.
    Pin {
        /// The version.
        version: WeightsVersion,
        /// The pool.
        pool: PoolId,
    },
}

/// One setting and its new value; [`Value::None`] takes it away.
#[derive(Clone, Debug, PartialEq)]
pub struct Setting {
    /// Which.
    pub field: Field,
    /// Its new value.
    pub value: Value,
}
