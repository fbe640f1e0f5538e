//! Sources of rows.

use std::ops::ControlFlow;

use paddlemount_protocol::time::Timestamp;

use crate::{
    answer::{ColumnHeader, Table},
    schema::{FieldSchema, Noun},
    value::Value,
};

/// A source of the rows of each noun, such as a node's state or a fixed set in a test.
pub trait Source {
    /// The current time, to which `ago` refers.
    fn now(&self) -> Timestamp;

    /// Calls the visitor with each row of a noun until it returns `Break`.
    fn visit(&self, noun: Noun, visitor: &mut dyn FnMut(Row) -> ControlFlow<()>);
}

/// One row: a value for each field of its noun.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    noun: Noun,
    values: Vec<Value>,
}

impl Row {
    /// Creates a row in which every value is unknown.
    pub fn new(noun: Noun) -> Self {
        Self { noun, values: vec![Value::None; noun.fields().count()] }
    }

    /// Sets a field. A name that is not a field of the noun is ignored, with a panic in debug builds.
    #[must_use]
    pub fn with(mut self, field: &str, value: impl Into<Value>) -> Self {
        let index = self.noun.fields().position(|candidate| candidate.name == field);
        debug_assert!(index.is_some(), "{} has no field {field}", self.noun.name());
        if let Some(index) = index {
            self.values[index] = value.into();
        }
        self
    }

    /// Returns the value of a field.
    pub fn get(&self, field: &FieldSchema) -> &Value {
        const UNKNOWN: &Value = &Value::None;
        self.noun.index_of(field).map_or(UNKNOWN, |index| &self.values[index])
    }

    /// Returns the value of the field with this name.
    pub fn get_by_name(&self, field: &str) -> &Value {
        const UNKNOWN: &Value = &Value::None;
        self.noun.field(field).map_or(UNKNOWN, |field| self.get(field))
    }

    /// Creates a table of rows with all fields of their noun.
    pub fn table(noun: Noun, rows: &[Self]) -> Table {
        let columns = noun.fields().map(|field| ColumnHeader::new(field.name, field.kind)).collect();
        Table { columns, rows: rows.iter().map(|row| row.values.clone()).collect() }
    }

    /// Reads the rows of such a table. Unknown columns are ignored, so that nodes of adjacent versions remain
    /// compatible.
    pub fn from_table(noun: Noun, table: Table) -> Vec<Self> {
        let indices: Vec<Option<usize>> = table
            .columns
            .iter()
            .map(|header| {
                noun.fields().position(|field| field.name == header.name && field.kind == header.kind)
            })
            .collect();
        let rows = table.rows.into_iter().map(|cells| {
            let mut row = Self::new(noun);
            for (index, value) in indices.iter().zip(cells) {
                if let Some(index) = index {
                    row.values[*index] = value;
                }
            }
            row
        });
        rows.collect()
    }

    /// The values in the order of the noun's fields.
    pub fn values(&self) -> &[Value] {
        &self.values
    }
}
