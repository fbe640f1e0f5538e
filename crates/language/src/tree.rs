//! The syntax tree. Its `Display` form parses to an equal tree.

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
    /// `show …`: the current rows.
    Show(Query),
    /// `watch …`: rows as they appear or change.
    Watch(Query),
    /// `explain …`: why a request is routed as it is.
    Explain(Explain),
    /// A command that changes the configuration.
    Change(ChangeCommand),
    /// `help [WORD]`.
    Help(Option<String>),
}

/// A query: which rows of a noun, in which form.
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    pub noun: Noun,
    /// The requested columns; empty means all fields, or the grouped fields and the count.
    pub columns: Vec<Column>,
    pub filter: Option<Expression>,
    pub group_by: Vec<Field>,
    pub order_by: Vec<Order>,
    /// The maximum number of rows.
    pub limit: Option<u64>,
}

impl Query {
    /// A query for all rows and fields of a noun.
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

    /// Whether rows are aggregated in groups.
    pub fn is_grouped(&self) -> bool {
        !self.group_by.is_empty() || self.columns.iter().any(|column| matches!(column, Column::Aggregate(_)))
    }
}

/// A field of the query's noun.
pub type Field = &'static FieldSchema;

/// One column of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Column {
    Field(Field),
    Aggregate(Aggregate),
}

/// An aggregate over a group of rows.
#[derive(Clone, Debug, PartialEq)]
pub struct Aggregate {
    pub function: Function,
    /// The aggregated field; none for `count()`.
    pub field: Option<Field>,
}

/// An aggregate function. Rows with an unknown value of the field are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Function {
    Count,
    Sum,
    /// The arithmetic mean.
    Average,
    Minimum,
    Maximum,
    Median,
    Percentile95,
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

    /// Its keyword.
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

    /// Finds a function by its keyword, ignoring case.
    pub fn from_name(word: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|function| function.name().eq_ignore_ascii_case(word))
    }
}

/// One sort key.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    pub column: Column,
    pub descending: bool,
}

/// A condition on a row.
#[derive(Clone, Debug, PartialEq)]
pub enum Expression {
    /// Compares a field with a literal.
    Compare { field: Field, operator: Operator, literal: Literal },
    /// All of two or more conditions.
    And(Vec<Expression>),
    /// At least one of two or more conditions.
    Or(Vec<Expression>),
    /// The negation of a condition.
    Not(Box<Expression>),
}

/// A comparison operator.
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
    /// `like`: whether a text matches a pattern with `*` and `?`.
    Like,
    /// `contains`: whether a text has a substring, or a list an element.
    Contains,
}

impl Operator {
    /// Its keyword or symbol.
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

/// The right-hand side of a comparison.
#[derive(Clone, Debug, PartialEq)]
pub enum Literal {
    /// A fixed value; [`Value::None`] is written `none`.
    Value(Value),
    /// A time this many microseconds before the evaluation.
    Ago(u64),
}

/// The subject of an `explain` statement.
#[derive(Clone, Debug, PartialEq)]
pub enum Explain {
    /// Why a request was routed as it was.
    Request(RequestId),
    /// Where a prompt would be routed now.
    Route(RouteQuery),
}

/// A query for the route of a prompt that is not sent.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteQuery {
    pub pool: PoolId,
    pub tenant: TenantId,
    pub prompt: String,
}

/// A command with its options.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeCommand {
    pub action: Action,
    /// Whether the change is only validated.
    pub dry_run: bool,
    /// The revision that the change requires.
    pub if_revision: Option<Revision>,
    /// The identity of the change, for idempotent retries.
    pub id: Option<ChangeId>,
}

/// What a command does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Creates an object, which must not exist.
    Create(Object, String, Vec<Setting>),
    /// Changes settings of an existing object.
    Set(Object, String, Vec<Setting>),
    Delete(Object, String),
    /// Stops new work for an engine.
    Drain {
        engine: EngineId,
        reason: String,
    },
    /// Lets an engine accept work again.
    Undrain {
        engine: EngineId,
    },
    /// Rolls out a weights version over a pool.
    RollOut {
        version: WeightsVersion,
        pool: PoolId,
    },
    /// Serves only one version, and ends any rollout.
    Pin {
        version: WeightsVersion,
        pool: PoolId,
    },
}

/// A setting and its new value; [`Value::None`] removes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Setting {
    pub field: Field,
    pub value: Value,
}
