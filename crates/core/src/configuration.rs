//! Configuration changes: validation, storage exactly once, and distribution to all nodes.
//!
//! | module | purpose |
//! |---|---|
//! | [`validation`] | rules for a complete document |
//! | [`apply`] | one change of one document, and conflicts with later changes |
//! | [`change`] | read, check, put: a change written to the store once |
//! | [`freshness`] | the age of the confirmation of a node's revision |
//! | [`replica`] | a node's document, and its use of the store and of peers |
//! | [`confirmation`] | which members apply a revision |
//!
//! See `docs/design/configuration.md`.

pub mod apply;
pub mod change;
pub mod confirmation;
pub mod freshness;
pub mod replica;
pub mod validation;
