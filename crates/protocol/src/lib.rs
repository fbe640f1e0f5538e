//! Message types of paddlemount's HTTP APIs and peer protocols.
//!
//! Every message is JSON over HTTP/1.1. This crate holds data types, their encodings and size limits; the
//! logic that acts on them is in `paddlemount-core`.
//!
//! | module | between |
//! |---|---|
//! | [`caller`] | callers and nodes |
//! | [`engine`] | nodes and model engines |
//! | [`platform`] | nodes and the platform's services |
//! | [`booking`] | nodes and services other than model engines |
//! | [`configuration`] | the operator's configuration document |
//! | [`peer`] | nodes and nodes |
//! | [`fleet`] | forwarding nodes and forwarding nodes |
//! | [`quarantine`] | nodes and nodes, and nodes and the metadata store |
//! | [`quota`] | nodes and nodes, on membership probes |
//! | [`refusal`] | outcomes and refusals on every interface |

pub mod booking;
pub mod caller;
pub mod configuration;
pub mod engine;
pub mod era;
pub mod fleet;
pub mod header;
pub mod identity;
pub mod peer;
pub mod platform;
pub mod prefix;
pub mod quarantine;
pub mod quota;
pub mod refusal;
pub mod time;
pub mod trace;
