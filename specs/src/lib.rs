//! Small specifications of the protocols between nodes, searched exhaustively within stated bounds.
//!
//! A [`Specification`] puts `core`'s own state machines into a model of what may happen around
//! them: messages that are delayed or lost, processes that stop and come back, clocks that differ. The
//! search visits every state that can be reached and checks each; breadth-first order makes the
//! first counterexample a shortest one. Each specification has deliberately broken variants that show that
//! the search would notice.

pub mod claims;
pub mod configuration;
pub mod lease;
mod opaque;
pub mod relay;
mod search;

pub use search::{Counterexample, SearchReport, Specification, Step, search};
