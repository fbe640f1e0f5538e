//! The operators' query and command language.
//!
//! [`parse`] turns text into a typed [`Statement`](tree::Statement) or an error that points at its
//! place; printing a statement gives text that parses to the same statement. [`evaluate`] answers
//! queries from rows of a [`Source`](source::Source); [`change`] turns commands into changes of the
//! configuration. The crate knows nothing of HTTP, nodes or clocks.

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
pub mod schema;
pub mod source;
mod time_text;
pub mod token;
pub mod tree;
pub mod value;

pub use error::SyntaxError;
pub use grammar::{MAX_NESTING, MAX_STATEMENT_BYTES, parse, parse_bytes};
