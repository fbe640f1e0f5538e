//! Stand-ins for the systems around a router: model engines and the platform's services.
//!
//! Each stand-in consists of a model, a state machine without I/O that takes the time as an argument, and
//! a thin server around it. Simulations in virtual time drive the models; tests, demos and load tests use
//! the servers over TCP.
//!
//! | module | stands in for |
//! |---|---|
//! | [`engine`] | a model engine |
//! | [`configuration_store`] | the platform's configuration store |
//! | [`weight_store`] | the platform's weight store |
//! | [`cache_store`] | the platform's cache store |
//! | [`booking`] | the booking service |
//! | [`machine_list`] | the platform's machine list |
//!
//! [`settings`] configures a stand-in and [`server::start`] runs it.

pub mod booking;
pub mod cache_store;
pub mod configuration_store;
pub mod engine;
pub mod faults;
mod http;
pub mod incarnations;
pub mod machine_list;
mod model_state;
pub mod server;
pub mod settings;
pub mod weight_store;
