//! The forwarding router: servers, clients and loops around `core::forwarding`, which route requests by the
//! operator's document.
//!
//! The surrounding platform is accessed through [`ports`]; an adapter only translates. One thread does all
//! the work, and its tasks share one [`node::Node`].
//!
//! | module | content |
//! |---|---|
//! | [`settings`] | the validated settings of the process |
//! | [`ports`] | the interface of a platform adapter |
//! | [`connection`], [`pool`], `connection_shares` | connections to back ends, and how many this node may use |
//! | [`received_body`], `shared_stream` | what is read of an answer or a request, and how far |
//! | [`calls`] | calls to the metadata store and to the own interfaces of engines |
//! | [`node`], [`node_state`] | a node and its state |
//! | [`fact_updates`], `backend_updates` | applies facts of the store, and what is observed of back ends |
//! | [`candidates`] | describes back ends to the chooser |
//! | `transfers` | the rates by which transfers of cached tokens are weighed |
//! | `forecasts` | outcomes for forecasts of the time to the first event |
//! | [`announcements`] | draining, back-off and limits that back ends announce in their answers |
//! | `brittleness` | back ends that bear few rejections |
//! | `oversized_answers` | leaves back ends whose answers have heads or framing without end |
//! | `limits` | advertised limits, divided among all nodes |
//! | `unknown_headers`, [`logged_once`] | logs unknown headers of back ends' answers, once each |
//! | [`store_feed`], [`store_restore`] | follows the metadata store, also when it is restored from a backup |
//! | [`facts`] | parses facts from other nodes, including those of other versions |
//! | `replica`, `recent_targets` | the known store as facts, and recently announced target versions |
//! | [`cache_feed`] | follows the cached segments of engines and cache stores |
//! | [`peers`] | the exchange between nodes |
//! | [`leadership`], [`orders`] | holds the lease, and orders engines to load new weights |
//! | `target_record` | records recently announced target versions in the store |
//! | [`admission`] | route, tenant, quota, and the age of the configuration |
//! | [`request_bodies`], `body_intake` | receives the bodies of requests, and keeps them in memory within a bound |
//! | [`callers`], [`caller_stream`], [`caller_close`] | callers' connections: accepted, served, closed |
//! | `open_connections` | which connection closes when another one needs its place |
//! | [`ingress`] | listeners, readiness and metrics |
//! | [`exchange`], [`dispatch`], [`attempts`], [`attempt_wait`], [`outcomes`], [`relay`] | sends, retries and relays requests |
//! | [`answer_buffer`] | keeps complete answers in memory, within a bound |
//! | `answer_progress` | records how the answer to a request progresses |
//! | [`load_guard`] | counts a request as load on its back end |
//! | [`streams`] | which software version began a stream, over all nodes |
//! | [`room`], `room_permit` | whether the engines of a service have room for a request |
//! | `indirect`, `handoff` | sends requests through another node where no back end is reached |
//! | `path_probes` | whether the back ends of a service are reached at all |
//! | `retries` | retry budgets |
//! | [`response_wait`] | ends waits at back ends whose weights have become outdated |
//! | [`quarantine`], [`quarantine_line`], `runs` | which broken runs were crashes, and which requests are quarantined for them |
//! | [`access_log`] | the log line and counters of a request that has ended |
//! | [`answers`] | responses that the node generates itself |
//! | [`journal`] | structured log lines |
//! | [`metrics`] | counters and histograms |
//! | [`process`] | start, signals, stop |

pub mod access_log;
pub mod admission;
pub mod alternatives;
mod announcements;
pub mod answer_buffer;
mod answer_progress;
pub mod answers;
pub mod attempt_wait;
pub mod attempts;
mod backend_updates;
mod body_intake;
mod brittleness;
pub mod cache_feed;
pub mod caller_close;
pub mod caller_stream;
pub mod callers;
pub mod calls;
pub mod candidates;
pub mod clock;
pub mod connection;
mod connection_shares;
pub mod dispatch;
mod engine_contact;
pub mod exchange;
pub mod fact_updates;
pub mod facts;
mod forecasts;
pub mod handoff;
mod idle_ends;
mod indirect;
pub mod ingress;
pub mod journal;
pub mod leadership;
mod limits;
pub mod load_guard;
pub mod logged_once;
pub mod metrics;
pub mod node;
pub mod node_state;
mod open_connections;
pub mod orders;
pub mod outcomes;
mod oversized_answers;
mod path_probes;
pub mod peers;
pub mod performance;
pub mod pool;
pub mod ports;
pub mod process;
pub mod quarantine;
pub mod quarantine_line;
pub mod received_body;
mod recent_targets;
pub mod relay;
mod replica;
pub mod request_bodies;
pub mod response_wait;
mod retries;
mod retry_reserve;
pub mod room;
mod room_permit;
mod runs;
pub mod settings;
mod shared_stream;
pub mod store_feed;
pub mod store_restore;
pub mod streams;
mod target_record;
mod transfers;
mod unframed;
mod unknown_headers;
pub mod unread_attempts;
