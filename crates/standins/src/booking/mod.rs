//! A stand-in for the booking service.

pub mod model;
pub mod server;
