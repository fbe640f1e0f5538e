//! A stand-in for the platform's weight store.

pub mod model;
pub mod server;
