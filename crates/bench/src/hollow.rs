//! Hollow nodes: the membership and configuration parts of many nodes in one process, over a simulated
//! network.
//!
//! They run the product's state machines, and encode and sign every message as on the wire; only sockets and
//! HTTP parsing are left out. Byte counts include HTTP heads and TCP/IP headers, see [`wire`].

pub mod cluster;
pub mod command;
pub mod measure;
pub mod report;
pub mod store;
pub mod wire;
