//! A stand-in for the store of kept cache.

pub mod model;
pub mod server;
