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
//! | [`node`], [`beliefs`], [`learning`], `learned_backends` | what the node is, believes, and takes in |
//! | [`placing`] | describes back ends to the chooser |
//! | [`announced`] | what back ends say of themselves in their answers |
//! | `limits` | limits that back ends name, divided over all nodes |
//! | `unknown_headers`, `logged_once` | notes headers of back ends' answers that nothing reads, once each |
//! | [`feed`], [`restored`] | follows the metadata store, also where that comes back from an older copy |
//! | [`facts`] | reads facts that other nodes tell, also those of other versions |
//! | `replica`, `named` | what is known of the store, as facts for other nodes, and how lately weights were named |
//! | [`kept`] | follows what engines and the store keep |
//! | [`peers`] | what nodes tell each other |
//! | [`leadership`], [`orders`] | holds the lease and gives orders for new weights |
//! | `naming_record` | records in the store that weights were named lately |
//! | [`admission`] | route, tenant, and whether what is known may be trusted |
//! | [`callers`], [`caller_stream`], [`caller_close`] | callers' connections: taken, served, closed |
//! | [`ingress`], [`exchange`], [`attempts`], [`verdicts`], [`relay`] | takes requests, forwards them, decides what follows, passes streams on |
//! | `waiting` | ends waits at back ends whose weights have grown too old |
//! | [`quarantine`], `runs` | which broken runs were crashes, and what is held back for them |
//! | [`account`] | what is told of a request at its end |
//! | [`answers`] | the node's own answers |
//! | [`journal`] | structured log lines |
//! | [`metrics`] | counters and histograms |
//! | [`process`] | start, signals, stop |

pub mod account;
pub mod admission;
pub mod announced;
pub mod answers;
pub mod attempts;
pub mod beliefs;
pub mod caller_close;
pub mod caller_stream;
pub mod callers;
pub mod calls;
pub mod clock;
pub mod connection;
pub mod dispatch;
pub mod exchange;
pub mod facts;
pub mod feed;
pub mod ingress;
pub mod journal;
pub mod kept;
pub mod leadership;
mod learned_backends;
pub mod learning;
mod limits;
pub mod logged_once;
pub mod metrics;
mod named;
mod naming_record;
pub mod node;
pub mod orders;
pub mod peers;
pub mod placing;
pub mod pool;
pub mod ports;
pub mod process;
pub mod quarantine;
pub mod relay;
mod repeats;
mod replica;
pub mod restored;
mod runs;
pub mod settings;
mod unknown_headers;
pub mod verdicts;
pub mod waiting;
