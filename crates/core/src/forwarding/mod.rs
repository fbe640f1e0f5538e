//! Decisions about requests that are forwarded by host and path, as the operator's routes say.
//!
//! | module | decides |
//! |---|---|
//! | [`document`] | nothing: the operator's document in the product's own terms |
//! | [`table`] | which route and tenant a request belongs to, or why it has none |
//! | [`freshness`] | whether what is believed of the configuration is recent enough to act on |
//! | [`backends`] | which back ends exist and may get new work |
//! | [`announcements`] | what back ends advertise in their answers: draining, back-off, rate limits |
//! | [`choice`] | which back end gets a request, and whose cached prefix it imports |
//! | [`load`], [`prefixes`] | nothing: work under way, and parts of prompts believed to be kept |
//! | [`caller_connection`] | when a caller's connection closes |
//! | [`planned_stop`] | what a node that was told to stop still begins |
//! | [`pool`], [`ranks`] | nothing: the back ends of a service, indexed by an order that all nodes share |
//! | [`attempt`] | what may follow the end of a try |
//! | [`answer_times`] | nothing: how long answers have lately taken |
//! | [`budget`] | whether a request may be repeated |
//! | [`even_share`] | a node's part of what all nodes share |
//! | [`events`] | which events of a stream are whole and may be passed on |
//! | [`fleet`] | nothing: how many nodes there are, and what they have under way |
//! | [`uplink`], [`children`] | whom a node reports to, and whom it takes in |
//! | [`news`] | news of what engines keep, on its way between nodes |
//! | [`readers`] | which feeds of kept parts a node follows |
//! | [`refusals`] | whether a request that was refused is sent on, and when its caller comes back |
//! | [`registry`] | whether an entry that has vanished says that its back end is gone |
//! | [`replacement`] | which of several back ends has an address |
//! | [`change_log`] | what another node must be told of the store |
//! | [`target_versions`] | from when on a named version of weights counts |
//! | [`rollout`] | which back end gets new weights next |
//!
//! Everything here is pure: the present time is an argument.

pub mod announcements;
pub mod answer_times;
pub mod attempt;
pub mod backends;
pub mod budget;
pub mod caller_connection;
pub mod change_log;
pub mod children;
pub mod choice;
pub mod document;
pub mod even_share;
pub mod events;
pub mod fleet;
pub mod freshness;
pub mod load;
pub mod news;
pub mod planned_stop;
pub mod pool;
pub mod prefixes;
pub mod prompt;
pub mod ranks;
pub mod readers;
pub mod refusals;
pub mod registry;
pub mod replacement;
pub mod rollout;
pub mod table;
pub mod target_versions;
pub mod uplink;
