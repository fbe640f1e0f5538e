//! The settings of one node, from a TOML file; command-line flags override some of them.

mod error;
mod overload;
mod reader;

use std::{net::SocketAddr, time::Duration};

use paddlemount_core::caller_memory::Rooms;
use paddlemount_protocol::identity::{NodeId, OperatorId, RegionId, ZoneId};
use toml::de::DeTable;

pub use error::SettingsError;
use error::line_of;
pub use overload::OverloadSettings;
use reader::{Document, Section};

/// The settings that a node starts with.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    pub node: NodeId,
    pub region: RegionId,
    pub zone: ZoneId,
    /// Threads that serve callers.
    pub workers: usize,
    pub listen: ListenSettings,
    pub platform: PlatformSettings,
    /// How nodes discover and authenticate each other.
    pub cluster: ClusterSettings,
    /// Who may use the administration interface.
    pub operators: Vec<OperatorSettings>,
    /// Limits on what callers may send.
    pub limits: LimitSettings,
    /// Admission control and the retry budget.
    pub overload: OverloadSettings,
    /// The timeout of each phase of a request.
    pub timeouts: TimeoutSettings,
    /// The log's format and level.
    pub log: LogSettings,
}

/// The addresses that a node listens on; port 0 selects any free port.
#[derive(Clone, Copy, Debug)]
pub struct ListenSettings {
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    /// For operators, health checks and metrics.
    pub admin: SocketAddr,
}

/// The addresses of the platform's services.
#[derive(Clone, Copy, Debug)]
pub struct PlatformSettings {
    pub configuration_store: SocketAddr,
    pub machine_list: SocketAddr,
    /// The cache store, if there is one.
    pub cache_store: Option<SocketAddr>,
}

/// How nodes discover and authenticate each other.
#[derive(Clone)]
pub struct ClusterSettings {
    /// Shared by all nodes; signs peer messages.
    pub key: String,
    /// Also accepted, while `key` is being rotated.
    pub accepted_key: Option<String>,
    /// Peer addresses to join through, besides those of the machine list.
    pub seeds: Vec<SocketAddr>,
}

impl ClusterSettings {
    /// The signing key, then the other accepted key.
    pub fn keys(&self) -> impl Iterator<Item = &str> {
        std::iter::once(self.key.as_str()).chain(self.accepted_key.as_deref())
    }
}

impl std::fmt::Debug for ClusterSettings {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("ClusterSettings").field("seeds", &self.seeds).finish_non_exhaustive()
    }
}

/// An operator of the administration interface.
#[derive(Clone, Debug)]
pub struct OperatorSettings {
    pub name: OperatorId,
    /// SHA-256 of the operator's key, in hexadecimal.
    pub key_hash: String,
    pub role: OperatorRole,
}

/// The permissions of an operator. Each role includes the ones before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OperatorRole {
    /// Run queries.
    Read,
    /// Drain engines, roll out and pin versions, change settings.
    Operate,
    /// Create and delete objects, replace callers' keys.
    Administer,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug)]
pub struct LimitSettings {
    pub body_bytes: usize,
    pub prompt_bytes: usize,
    /// What the bodies of requests in progress hold together: so much where each has up to 64 KiB, and as much again
    /// where they have more.
    pub body_memory_bytes: usize,
    /// Concurrent requests.
    pub requests: usize,
}

/// The timeout of each phase of a request.
#[derive(Clone, Copy, Debug)]
pub struct TimeoutSettings {
    /// For the headers of a caller's request.
    pub head: Duration,
    /// For the body of a caller's request.
    pub body: Duration,
    /// For connecting to a back end.
    pub connect: Duration,
    /// For the first byte of a back end's answer.
    pub first_byte: Duration,
    /// Between two frames of an answer.
    pub between_frames: Duration,
    /// Until a caller that does not read its answer is disconnected.
    pub caller_stall: Duration,
    /// Until an idle connection of a caller is closed.
    pub keep_alive: Duration,
    /// The default deadline, and the maximum that callers may set.
    pub deadline: Duration,
}

/// The log's format and level.
#[derive(Clone, Copy, Debug)]
pub struct LogSettings {
    pub format: LogFormat,
    /// The least severe level that is logged.
    pub level: log::LevelFilter,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { format: LogFormat::Text, level: log::LevelFilter::Info }
    }
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable lines.
    Text,
    /// One JSON object per line.
    Json,
}

const LEVELS: [(&str, log::LevelFilter); 5] = [
    ("error", log::LevelFilter::Error),
    ("warn", log::LevelFilter::Warn),
    ("info", log::LevelFilter::Info),
    ("debug", log::LevelFilter::Debug),
    ("trace", log::LevelFilter::Trace),
];
const LOOPBACK_ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const SHA256_HEX_DIGITS: usize = 64;
const MIN_CLUSTER_KEY_BYTES: usize = 16;
/// One hour.
const MAX_TIMEOUT_MS: u64 = 3_600_000;
const MEBIBYTE: u64 = 1 << 20;

/// The largest bodies that are held at once by default.
const BODIES_IN_MEMORY: u64 = 8;
/// The least memory for bodies by default, so that small limits leave room for many small bodies.
const MIN_BODY_MEMORY_BYTES: u64 = 8 * MEBIBYTE;
const MAX_BODY_MEMORY_BYTES: u64 = 65_536 * MEBIBYTE;

impl LimitSettings {
    /// The bytes that bodies of requests in progress may hold.
    pub const fn rooms(&self) -> Rooms {
        Rooms { small_bytes: self.body_memory_bytes, large_bytes: self.body_memory_bytes }
    }
}

impl NodeSettings {
    /// Parses settings from TOML.
    ///
    /// # Errors
    ///
    /// All errors found, ordered by line.
    pub fn parse(text: &str) -> Result<Self, Vec<SettingsError>> {
        let (settings, errors, _) = read(text);
        if errors.is_empty() { Ok(settings) } else { Err(errors) }
    }

    /// The names of all keys, as `table.key`.
    pub fn keys() -> Vec<String> {
        let mut keys = read("[[operators]]\nname = \"\"\n").2;
        keys.sort();
        keys.dedup();
        keys
    }
}

fn read(text: &str) -> (NodeSettings, Vec<SettingsError>, Vec<String>) {
    let (table, errors) = DeTable::parse_recoverable(text);
    let mut document = Document::new(text);
    for error in &errors {
        let line = error.span().map_or(1, |span| line_of(text, span.start));
        document.report(line, "", error.message(), "correct the TOML");
    }
    let mut root = Section::root(Some(table.get_ref()));
    let settings = read_node(&mut document, &mut root);
    root.finish(&mut document);
    let (errors, known_keys) = document.into_parts();
    (settings, errors, known_keys)
}

fn read_node(document: &mut Document<'_>, root: &mut Section<'_, '_>) -> NodeSettings {
    let workers = std::thread::available_parallelism().map_or(1, std::num::NonZero::get).min(4) as u64;
    NodeSettings {
        node: NodeId::from(root.required_text(document, "node", "\"node-a\"")),
        region: RegionId::from(root.required_text(document, "region", "\"saskatchewan\"")),
        zone: ZoneId::from(root.required_text(document, "zone", "\"regina\"")),
        workers: root.number(document, "workers", workers, 1..=64) as usize,
        listen: read_listen(document, root),
        platform: read_platform(document, root),
        cluster: read_cluster(document, root),
        operators: read_operators(document, root),
        limits: read_limits(document, root),
        overload: overload::read(document, root),
        timeouts: read_timeouts(document, root),
        log: read_log(document, root),
    }
}

fn read_listen(document: &mut Document<'_>, root: &mut Section<'_, '_>) -> ListenSettings {
    let mut section = root.table(document, "listen");
    let listen = ListenSettings {
        callers: section
            .required_address(document, "callers", "\"127.0.0.1:8080\"")
            .unwrap_or(LOOPBACK_ANY_PORT),
        peers: section.required_address(document, "peers", "\"127.0.0.1:8081\"").unwrap_or(LOOPBACK_ANY_PORT),
        admin: section.required_address(document, "admin", "\"127.0.0.1:8082\"").unwrap_or(LOOPBACK_ANY_PORT),
    };
    for (key, other) in [("peers", listen.callers), ("admin", listen.callers), ("admin", listen.peers)] {
        let address = if key == "peers" { listen.peers } else { listen.admin };
        if address.port() != 0 && address == other {
            let line = section.line_of(document, key);
            let problem = format!("{address} is used twice");
            document.report(line, &section.path(key), problem, "choose another port");
        }
    }
    section.finish(document);
    listen
}

fn read_platform(document: &mut Document<'_>, root: &mut Section<'_, '_>) -> PlatformSettings {
    let mut section = root.table(document, "platform");
    let platform = PlatformSettings {
        configuration_store: section
            .required_address(document, "configuration_store", "\"127.0.0.1:7001\"")
            .unwrap_or(LOOPBACK_ANY_PORT),
        machine_list: section
            .required_address(document, "machine_list", "\"127.0.0.1:7002\"")
            .unwrap_or(LOOPBACK_ANY_PORT),
        cache_store: section.address(document, "kept_cache_store"),
    };
    section.finish(document);
    platform
}

fn read_cluster(document: &mut Document<'_>, root: &mut Section<'_, '_>) -> ClusterSettings {
    let mut section = root.table(document, "cluster");
    let key = section.required_text(document, "key", "\"a long random text\"");
    if !key.is_empty() && key.len() < MIN_CLUSTER_KEY_BYTES {
        let line = section.line_of(document, "key");
        let remedy = format!("use at least {MIN_CLUSTER_KEY_BYTES} characters");
        document.report(line, &section.path("key"), "is too short", remedy);
    }
    let accepted_key = section.text(document, "accepted_key");
    let cluster = ClusterSettings { key, accepted_key, seeds: section.addresses(document, "seeds") };
    section.finish(document);
    cluster
}

fn read_operators(document: &mut Document<'_>, root: &mut Section<'_, '_>) -> Vec<OperatorSettings> {
    root.tables(document, "operators").into_iter().map(|section| read_operator(document, section)).collect()
}

fn read_operator(document: &mut Document<'_>, mut section: Section<'_, '_>) -> OperatorSettings {
    let name = OperatorId::from(section.required_text(document, "name", "\"alice\""));
    let key_hash = section.required_text(document, "key_hash", "\"<SHA-256 of the key, in hexadecimal>\"");
    let is_hash =
        key_hash.len() == SHA256_HEX_DIGITS && key_hash.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !key_hash.is_empty() && !is_hash {
        let line = section.line_of(document, "key_hash");
        let remedy = "write the output of `printf %s KEY | sha256sum`";
        document.report(line, &section.path("key_hash"), "is not a SHA-256 hash", remedy);
    }
    let roles = [
        ("read", OperatorRole::Read),
        ("operate", OperatorRole::Operate),
        ("administer", OperatorRole::Administer),
    ];
    let role = section.choice(document, "role", OperatorRole::Read, &roles);
    section.finish(document);
    OperatorSettings { name, key_hash: key_hash.to_ascii_lowercase(), role }
}

fn read_limits(document: &mut Document<'_>, root: &mut Section<'_, '_>) -> LimitSettings {
    let mut section = root.table(document, "limits");
    let body_bytes = section.number(document, "body_bytes", 4 * MEBIBYTE, 1_024..=64 * MEBIBYTE);
    let body_memory_bytes = (BODIES_IN_MEMORY * body_bytes).max(MIN_BODY_MEMORY_BYTES);
    let limits = LimitSettings {
        body_bytes: body_bytes as usize,
        body_memory_bytes: section.number(
            document,
            "body_memory_bytes",
            body_memory_bytes,
            body_bytes..=MAX_BODY_MEMORY_BYTES,
        ) as usize,
        prompt_bytes: section.number(document, "prompt_bytes", 2 * MEBIBYTE, 256..=64 * MEBIBYTE) as usize,
        requests: section.number(document, "requests", 4_096, 1..=1_000_000) as usize,
    };
    section.finish(document);
    limits
}

fn read_timeouts(document: &mut Document<'_>, root: &mut Section<'_, '_>) -> TimeoutSettings {
    let mut section = root.table(document, "timeouts");
    let mut read = |key, default| section.milliseconds(document, key, default, 1..=MAX_TIMEOUT_MS);
    let timeouts = TimeoutSettings {
        head: read("head_ms", 5_000),
        body: read("body_ms", 15_000),
        connect: read("connect_ms", 500),
        first_byte: read("first_byte_ms", 15_000),
        between_frames: read("between_frames_ms", 2_000),
        caller_stall: read("caller_stall_ms", 30_000),
        keep_alive: read("keep_alive_ms", 10_000),
        deadline: read("deadline_ms", 120_000),
    };
    section.finish(document);
    timeouts
}

fn read_log(document: &mut Document<'_>, root: &mut Section<'_, '_>) -> LogSettings {
    let mut section = root.table(document, "log");
    let formats = [("text", LogFormat::Text), ("json", LogFormat::Json)];
    let log = LogSettings {
        format: section.choice(document, "format", LogFormat::Text, &formats),
        level: section.choice(document, "level", log::LevelFilter::Info, &LEVELS),
    };
    section.finish(document);
    log
}
