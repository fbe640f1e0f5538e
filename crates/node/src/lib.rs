//! A router node: the servers, clients and background tasks around `paddlemount-core`.
//!
//! | module | job |
//! |---|---|
//! | [`settings`] | settings files |
//! | [`node`] | starting and stopping a node |
//! | [`state`] | state shared by all threads |
//! | [`drivers`] | background tasks |
//! | [`server`], `connections` | HTTP servers, and the lifetime of their connections |
//! | [`caller`] | the caller API |
//! | [`claims`] | requests that must run at most once |
//! | [`peers`] | the interface between nodes |
//! | [`admin`] | health, metrics and the administration interface |
//! | [`exchange`] | performs the actions of one model request |
//! | [`overload`] | rate limits, admission control, retry budget |
//! | [`feeds`] | engines' cache event feeds |
//! | [`client`] | HTTP client |

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
