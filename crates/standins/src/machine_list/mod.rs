//! A stand-in for the platform's machine list.

pub mod model;
pub mod server;
