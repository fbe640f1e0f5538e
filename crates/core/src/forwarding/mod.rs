//! Decisions about forwarding requests by host and path, according to the operator's routes.
//!
//! Everything here is free of I/O: the present time is an argument.
//!
//! | module | responsibility |
//! |---|---|
//! | [`document`] | the operator's configuration document |
//! | [`table`] | matching requests to routes and tenants |
//! | [`freshness`] | how recent the known configuration is |
//! | [`backends`] | the known back ends and their states |
//! | [`registry`] | whether a vanished registry entry means that its back end is gone |
//! | [`replacement`] | which of several back ends owns an address |
//! | [`announcements`] | what back ends announce in their answers: draining, back-off, rate limits |
//! | [`pool`], [`ranks`] | the back ends of a service, in an order that all nodes share |
//! | [`choice`] | which back end gets a request, and from where it imports a cached prefix |
//! | [`load`], [`prefixes`] | requests in flight, and cached segments of prompts |
//! | [`forecast`] | the time until the first event of a request at an engine |
//! | [`performance`] | the speed and the condition of engines, as measured by all nodes |
//! | [`prompt`] | the segments of a prompt |
//! | [`transfers`] | whether a transfer of cached tokens takes less time than prefilling them |
//! | [`attempt`] | what follows a failed attempt |
//! | [`silence`], [`connect_times`] | which engines send nothing more, and how long a connection may take |
//! | [`reachability`] | whether this node reaches the back ends of a service at all |
//! | [`intermediaries`] | through which other node a service is reached |
//! | [`doubts`] | whether pooled connections to a service's back ends may be dead |
//! | [`budget`] | whether a request may be retried |
//! | [`read_allowance`], [`oversized_answers`] | how much of an answer is read beyond its data, and which back ends are left for more |
//! | [`late_arrivals`] | attempts that were given up and may still arrive |
//! | `received` | what neighbours in the tree have sent, until it expires |
//! | [`refusals`] | whether a refused request is retried, and when its caller may come back |
//! | [`answer_times`] | how long recent answers took |
//! | [`events`] | splitting a stream into complete events |
//! | [`caller_connection`] | when a caller's connection closes |
//! | [`planned_stop`] | what a stopping node still begins |
//! | [`fleet`] | the number of nodes, and what they have in flight |
//! | [`demand`] | the demand of all nodes' callers for engines |
//! | [`room`] | the room of a pool, and the part of it that one node may use |
//! | [`even_share`] | a node's share of what all nodes share |
//! | [`uplink`], [`children`] | to which parent a node reports, and which children it accepts |
//! | [`gossip`] | updates about the caches of engines, exchanged between nodes |
//! | [`feed_selection`] | which cache feeds a node follows |
//! | [`change_log`] | what changed in the store, for other nodes |
//! | [`software`] | the software versions of back ends, and which may continue a stream |
//! | [`stream_records`] | which software version began which stream |
//! | [`membership`] | all nodes, and which of them remember a stream |
//! | [`target_versions`] | when target versions of weights were announced |
//! | [`rollout`] | which back end is updated to new weights next |

pub mod announcements;
pub mod answer_times;
pub mod attempt;
pub mod backends;
pub mod budget;
pub mod caller_connection;
pub mod change_log;
pub mod children;
pub mod choice;
pub mod connect_times;
pub mod demand;
pub mod document;
pub mod doubts;
pub mod even_share;
pub mod events;
pub mod feed_selection;
pub mod fleet;
pub mod forecast;
pub mod freshness;
pub mod gossip;
pub mod intermediaries;
pub mod late_arrivals;
pub mod load;
pub mod membership;
pub mod oversized_answers;
pub mod performance;
pub mod planned_stop;
pub mod pool;
pub mod prefixes;
pub mod prompt;
pub mod ranks;
pub mod reachability;
pub mod read_allowance;
mod received;
pub mod refusals;
pub mod registry;
pub mod replacement;
pub mod reserve_grant;
pub mod retry_reserve;
pub mod rollout;
pub mod room;
pub mod silence;
pub mod software;
pub mod store_witness;
pub mod stream_records;
pub mod table;
pub mod target_versions;
pub mod transfers;
pub mod uplink;
