//! Forwards requests by the operator's routes: the servers, clients and loops around `core::forwarding`.
//!
//! What the surrounding platform speaks is behind [`ports`]; an implementation only translates. One thread does
//! all work; what is shared is one [`node::Node`].
//!
//! | module | job |
//! |---|---|
//! | [`settings`] | the process's settings, checked |
//! | [`ports`] | what a platform's translation has to offer |
//! | [`connection`], [`pool`] | connections to back ends |
//! | [`calls`] | calls to the metadata store and to engines' own interfaces |
//! | [`node`], [`node_state`], [`fact_updates`], `backend_updates` | what the node is, believes, and takes in |
//! | [`candidates`] | describes back ends to the chooser |
//! | [`announcements`] | what back ends say of themselves in their answers |
//! | `limits` | limits that back ends name, divided over all nodes |
//! | `unknown_headers`, `logged_once` | notes headers of back ends' answers that nothing reads, once each |
//! | [`store_feed`], [`store_restore`] | follows the metadata store, also where that comes back from an older copy |
//! | [`facts`] | reads facts that other nodes tell, also those of other versions |
//! | `replica`, `recent_targets` | what is known of the store, as facts for other nodes, and how lately weights were named |
//! | [`cache_feed`] | follows what engines and the store keep |
//! | [`peers`] | what nodes tell each other |
//! | [`leadership`], [`orders`] | holds the lease and gives orders for new weights |
//! | `target_record` | records in the store that weights were named lately |
//! | [`admission`] | route, tenant, and whether what is known may be trusted |
//! | [`callers`], [`caller_stream`], [`caller_close`] | callers' connections: taken, served, closed |
//! | [`ingress`], [`exchange`], [`attempts`], [`outcomes`], [`relay`] | takes requests, forwards them, decides what follows, passes streams on |
//! | `response_wait` | ends waits at back ends whose weights have grown too old |
//! | [`quarantine`], `runs` | which broken runs were crashes, and what is held back for them |
//! | [`access_log`] | what is told of a request at its end |
//! | [`answers`] | the node's own answers |
//! | [`journal`] | structured log lines |
//! | [`metrics`] | counters and histograms |
//! | [`process`] | start, signals, stop |

pub mod access_log;
pub mod admission;
pub mod announcements;
pub mod answers;
pub mod attempts;
mod backend_updates;
pub mod cache_feed;
pub mod caller_close;
pub mod caller_stream;
pub mod callers;
pub mod calls;
pub mod candidates;
pub mod clock;
pub mod connection;
pub mod dispatch;
pub mod exchange;
pub mod fact_updates;
pub mod facts;
pub mod ingress;
pub mod journal;
pub mod leadership;
mod limits;
pub mod logged_once;
pub mod metrics;
pub mod node;
pub mod node_state;
pub mod orders;
pub mod outcomes;
pub mod peers;
pub mod pool;
pub mod ports;
pub mod process;
pub mod quarantine;
mod recent_targets;
pub mod relay;
mod replica;
pub mod response_wait;
mod retries;
mod runs;
pub mod settings;
pub mod store_feed;
pub mod store_restore;
mod target_record;
mod unknown_headers;
