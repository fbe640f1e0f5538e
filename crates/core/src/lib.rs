//! Pure decision logic of a router node.
//!
//! Nothing in this crate does I/O, reads a clock, spawns a task or draws unseeded randomness: the current
//! time and seeds are arguments, and effects are returned as values. Nodes, the simulation and the model
//! checker therefore run the same code.

pub mod admission;
pub mod back_off;
pub mod cache_index;
pub mod caller_memory;
pub mod claims;
pub mod configuration;
pub mod decisions;
pub mod feed_owners;
pub mod forwarding;
pub mod health;
pub mod lease;
pub mod limits;
pub mod membership;
pub mod peers;
pub mod placement;
pub mod popularity;
pub mod quarantine;
pub mod recent_rate;
pub mod request;
pub mod retry;
pub mod routing;
pub mod service;
