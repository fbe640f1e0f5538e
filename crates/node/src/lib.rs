//! A router node: servers, clients and drivers around `paddlemount-core`.
//!
//! | module | job |
//! |---|---|
//! | [`settings`] | what a node is told at its start |
//! | [`node`] | start, planned stop and sudden end of a node |
//! | [`state`] | what all threads of a node share |
//! | [`drivers`] | background tasks |
//! | [`server`], `connections` | HTTP servers, and when their connections close |
//! | [`caller`] | the caller API |
//! | [`claims`] | requests that must not be repeated |
//! | [`peers`] | the interface between nodes |
//! | [`admin`] | health, metrics and the operators' interface |
//! | [`exchange`] | carries out the actions of one model request |
//! | [`overload`] | tenants' limits, admission, retry budget |
//! | [`feeds`] | the engines' feeds of cache events |
//! | [`client`] | requests to back ends, the platform and other nodes |

pub mod active;
pub mod admin;
pub mod caller;
pub mod claims;
pub mod client;
pub mod clock;
pub mod configuration;
mod connections;
pub mod drivers;
pub mod engines;
pub mod exchange;
pub mod feeds;
pub mod http;
pub mod metrics;
pub mod node;
pub mod overload;
pub mod peers;
pub mod quarantine;
pub mod server;
pub mod settings;
pub mod state;
