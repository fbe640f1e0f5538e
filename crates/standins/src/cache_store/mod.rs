//! A stand-in for the platform's cache store.

pub mod model;
pub mod server;
