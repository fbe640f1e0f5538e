//! Experiments, drills, load generation and the demo. A running router does not need this crate.

pub mod capacity;
pub mod command;
pub mod decision;
pub mod demo;
pub mod drill;
pub mod experiment;
pub mod free_address;
pub mod hollow;
pub mod load;
pub mod policy;
pub mod report;
pub mod scenario;
pub mod simulation;
