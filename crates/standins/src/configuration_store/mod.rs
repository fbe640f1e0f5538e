//! A stand-in for the platform's configuration store.

pub mod model;
pub mod server;
