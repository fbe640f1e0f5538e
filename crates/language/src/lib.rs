//! The operators' query and command language.
//!
//! [`parse`] turns text into a typed [`Statement`](tree::Statement) or an error with its location; a printed
//! statement parses to an equal statement. [`evaluate`] runs queries over the rows of a
//! [`Source`](source::Source); [`change`] translates commands to changes of the configuration. The crate does
//! no I/O and reads no clock.

pub mod answer;
pub mod change;
pub mod complete;
pub mod error;
pub mod evaluate;
mod glob;
mod grammar;
pub mod help;
mod print;
pub mod render;
mod rfc3339;
pub mod schema;
pub mod source;
pub mod token;
pub mod tree;
pub mod value;

pub use error::SyntaxError;
pub use grammar::{MAX_NESTING, MAX_STATEMENT_BYTES, parse, parse_bytes};
