//! Where rows come from.

use std::ops::ControlFlow;

use paddlemount_protocol::time::Timestamp;

use crate::{
    answer::{ColumnHeader, Table},
    schema::{FieldSchema, Noun},
    value::Value,
};

/// Something that knows the rows of each noun, such as a node's state or a fixed set in a test.
pub trait Source {
    /// The present time.
    fn now(&self) -> Timestamp;

    /// Shows the rows of a noun one by one, until the visitor breaks off.
    fn visit(&self, noun: Noun, visitor: &mut dyn FnMut(Row) -> ControlFlow<()>);
}

/// One row: a value for each field of its noun.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    noun: Noun,
    values: Vec<Value>,
}

impl Row {
    /// A row in which nothing is known.
    pub fn new(noun: Noun) -> Self {
        Self { noun, values: vec![Value::None; noun.fields().count()] }
    }

    /// The row with a field set. A name that is no field of the noun changes nothing.
    #[must_use]
    pub fn with(mut self, field: &str, value: impl Into<Value>) -> Self {
        let place = self.noun.fields().position(|candidate| candidate.name == field);
        debug_assert!(place.is_some(), "{} has no field {field}", self.noun.name());
        if let Some(place) = place {
            self.values[place] = value.into();
        }
        self
    }

    /// The value of a field.
    pub fn get(&self, field: &FieldSchema) -> &Value {
        const UNKNOWN: &Value = &Value::None;
        self.noun.index_of(field).map_or(UNKNOWN, |index| &self.values[index])
    }

    /// The value of the field of a name.
    pub fn get_by_name(&self, field: &str) -> &Value {
        const UNKNOWN: &Value = &Value::None;
        self.noun.field(field).map_or(UNKNOWN, |field| self.get(field))
    }

    /// A table of rows with all fields of their noun.
    pub fn table(noun: Noun, rows: &[Self]) -> Table {
        let columns = noun.fields().map(|field| ColumnHeader::new(field.name, field.kind)).collect();
        Table { columns, rows: rows.iter().map(|row| row.values.clone()).collect() }
    }

    /// The rows of such a table. Columns that are no fields are left out, so that nodes of
    /// neighbouring versions understand each other.
    pub fn from_table(noun: Noun, table: Table) -> Vec<Self> {
        let places: Vec<Option<usize>> = table
            .columns
            .iter()
            .map(|head| noun.fields().position(|field| field.name == head.name && field.kind == head.kind))
            .collect();
        let rows = table.rows.into_iter().map(|cells| {
            let mut row = Self::new(noun);
            for (place, value) in places.iter().zip(cells) {
                if let Some(place) = place {
                    row.values[*place] = value;
                }
            }
            row
        });
        rows.collect()
    }

    /// All values, in the order of the noun's fields.
    pub fn values(&self) -> &[Value] {
        &self.values
    }
}
