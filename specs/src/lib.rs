//! Model checking of the protocols between nodes by exhaustive search within bounds.
//!
//! A [`Specification`] embeds the state machines of `core` in a model of their environment: messages are
//! delayed or lost, processes restart, clocks differ. The search checks every reachable state in
//! breadth-first order, so the first counterexample is a shortest one. Each specification has deliberate
//! faults that the search must detect.

pub mod claims;
pub mod configuration;
mod debug_hashed;
pub mod lease;
pub mod relay;
mod search;

pub use search::{Counterexample, SearchReport, Specification, Step, search};
