//! A stand-in for a model engine.

pub mod answer;
pub mod model;
pub mod server;
pub mod settings;
