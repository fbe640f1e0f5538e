//! Stand-ins for the systems around a router: model engines and the platform's services.
//!
//! Each stand-in is a pure model (a state machine that is handed the time) and a thin server around
//! it. The models serve virtual-time experiments; the servers serve tests, demos and load over TCP.
//!
//! | module | stands in for |
//! |---|---|
//! | [`engine`] | a model engine |
//! | [`configuration_store`] | the platform's configuration store |
//! | [`weight_store`] | the platform's weight store |
//! | [`cache_store`] | the cache store |
//! | [`booking`] | the booking service |
//! | [`machine_list`] | the platform's machine list |
//!
//! [`settings`] describes a stand-in, [`server::start`] runs one.

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
