//! Starts processes of the built binary and sends HTTP requests to them.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod expectations;

pub mod program;

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, Command, Output, Stdio},
    sync::atomic::{AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use paddlemount_protocol::{
    configuration::{Configuration, DOCUMENT_KEY, Pool, Service, Tenant},
    engine::LoadedModel,
    identity::{EngineId, ModelId, PoolId, RegionId, TenantId, WeightsVersion, ZoneId},
    platform::{Machine, MachineRole, MachineState},
};
use paddlemount_standins::settings::{
    ConfigurationStoreSettings, EngineSettings, MachineListSettings, StandinSettings,
};
use serde_json::Value;

pub const ZONES: [&str; 3] = ["regina", "saskatoon", "brandon"];
pub const MODEL: &str = "prairie-large";
pub const WEIGHTS: WeightsVersion = WeightsVersion(1);
pub const KEY: &str = "kestrel-test-key";
pub const TENANT: &str = "kestrel";
pub const CLUSTER_KEY: &str = "a cluster key for tests";
/// Upper bound of any wait, after which a test fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

static FILES: AtomicUsize = AtomicUsize::new(0);

/// A temporary settings file, removed when dropped.
pub struct SettingsFile(pub PathBuf);

impl SettingsFile {
    pub fn new(text: &str) -> Self {
        let number = FILES.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("paddlemount-{}-{number}.toml", std::process::id()));
        std::fs::write(&path, text).unwrap();
        Self(path)
    }
}

impl Drop for SettingsFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// A child process, killed when dropped.
pub struct Process {
    pub child: Child,
    pub ready: Value,
    _settings: SettingsFile,
}

impl Process {
    /// Starts a command and waits for its ready line.
    pub fn start(command: &[&str], settings: &str) -> Self {
        let file = SettingsFile::new(settings);
        let mut child = program::program()
            .args(command)
            .arg("--settings")
            .arg(&file.0)
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let ready =
            serde_json::from_str(&line).unwrap_or_else(|error| panic!("{command:?}: {error}: {line}"));
        Self { child, ready, _settings: file }
    }

    pub fn standin(settings: &StandinSettings) -> Self {
        let value = serde_json::to_value(settings).unwrap();
        let kind = value["kind"].as_str().unwrap();
        Self::start(&["standin", kind], &toml::to_string(settings).unwrap())
    }

    pub fn address(&self, name: &str) -> SocketAddr {
        self.ready[name].as_str().unwrap().parse().unwrap()
    }

    /// Requests a graceful shutdown.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }

    /// Waits for the process to exit and returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "the process does not end");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs a command to completion.
pub fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_paddlemount")).args(arguments).output().unwrap()
}

pub fn configuration() -> Configuration {
    let mut configuration = Configuration::default();
    let tenant = Tenant { key_hashes: vec![hash_of(KEY)], ..Tenant::default() };
    configuration.tenants.insert(TenantId::from(TENANT), tenant);
    let pool = Pool {
        model: ModelId::from(MODEL),
        weights: WEIGHTS,
        rollout: None,
        adapters: Vec::new(),
        reuse_weight: 0.5,
    };
    configuration.pools.insert(PoolId::from("contracts"), pool);
    let booking = Service { repeatable_operations: vec!["slot".into()] };
    configuration.services.insert("booking".into(), booking);
    configuration
}

pub fn hash_of(key: &str) -> String {
    use sha2::{Digest, Sha256};
    hex::encode(Sha256::digest(key.as_bytes()))
}

pub fn configuration_store(configuration: &Configuration) -> Process {
    let mut settings = ConfigurationStoreSettings::default();
    settings.values.insert(DOCUMENT_KEY.into(), serde_json::to_value(configuration).unwrap());
    Process::standin(&StandinSettings::ConfigurationStore(settings))
}

pub fn engine(number: usize, change: impl FnOnce(&mut EngineSettings)) -> Process {
    let loaded = LoadedModel { model: MODEL.into(), weights: WEIGHTS, adapters: Vec::new() };
    let zone = ZoneId::from(ZONES[number % ZONES.len()]);
    let mut settings =
        EngineSettings::new(engine_name(number), PoolId::from("contracts"), zone, Some(loaded));
    change(&mut settings);
    Process::standin(&StandinSettings::Engine(settings))
}

pub fn engine_name(number: usize) -> EngineId {
    EngineId::from(format!("runner-{number}"))
}

pub fn engine_machine(number: usize, address: SocketAddr) -> Machine {
    Machine {
        role: MachineRole::Engine { engine: engine_name(number), pool: PoolId::from("contracts") },
        address,
        zone: ZoneId::from(ZONES[number % ZONES.len()]),
        region: RegionId::from("prairie"),
        state: MachineState::Live,
    }
}

pub fn machine_list(machines: Vec<Machine>) -> Process {
    let settings = MachineListSettings { machines, ..MachineListSettings::default() };
    Process::standin(&StandinSettings::MachineList(settings))
}

pub fn node_settings(number: usize, store: SocketAddr, list: SocketAddr, extra: &str) -> String {
    format!(
        "node = \"node-{number}\"\nregion = \"prairie\"\nzone = \"{}\"\n\
         [listen]\ncallers = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n\
         [platform]\nconfiguration_store = \"{store}\"\nmachine_list = \"{list}\"\n\
         [cluster]\nkey = \"{CLUSTER_KEY}\"\n{extra}\n",
        ZONES[number % ZONES.len()]
    )
}

/// Processes of the platform services, engines and nodes.
pub struct Cluster {
    pub store: Process,
    pub list: Process,
    pub engines: Vec<Process>,
    pub nodes: Vec<Process>,
}

impl Cluster {
    pub fn start(engines: usize, nodes: usize, extra: &str) -> Self {
        Self::with_engines(engines, nodes, extra, |_| {})
    }

    pub fn with_engines(
        engines: usize,
        nodes: usize,
        extra: &str,
        mut change: impl FnMut(&mut EngineSettings),
    ) -> Self {
        let store = configuration_store(&configuration());
        let engines: Vec<Process> = (0..engines).map(|number| engine(number, &mut change)).collect();
        let machines = engines
            .iter()
            .enumerate()
            .map(|(number, process)| engine_machine(number, process.address("address")));
        let list = machine_list(machines.collect());
        let nodes = (0..nodes)
            .map(|number| {
                let (store, list) = (store.address("address"), list.address("address"));
                Process::start(&["serve"], &node_settings(number, store, list, extra))
            })
            .collect();
        let cluster = Self { store, list, engines, nodes };
        for node in &cluster.nodes {
            wait_ready(node);
        }
        cluster
    }
}

pub fn wait_ready(node: &Process) {
    let start = Instant::now();
    while get(node.address("admin"), "/readyz", &[]).status != 200 {
        assert!(start.elapsed() < WAIT_TIMEOUT, "the node does not become ready");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// An HTTP response as received.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing requires.
    pub complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }

    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap()
    }
}

pub fn get(address: SocketAddr, path: &str, headers: &[(&str, &str)]) -> Answer {
    exchange(address, "GET", path, headers, b"")
}

pub fn post(address: SocketAddr, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Answer {
    exchange(address, "POST", path, headers, body)
}

/// Replaces the faults of a stand-in.
pub fn set_faults(standin: &Process, faults: &Value) {
    let answer =
        post(standin.address("address"), "/control/faults", &[], &serde_json::to_vec(faults).unwrap());
    assert_eq!(answer.status, 200, "{answer:?}");
}

/// Fetches the state of a stand-in.
pub fn state_of(standin: &Process) -> Value {
    get(standin.address("address"), "/control/state", &[]).json()
}

pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "waited too long until {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Sends a chat request with the test tenant's key.
pub fn chat(address: SocketAddr, body: &Value) -> Answer {
    let authorization = format!("Bearer {KEY}");
    let body = serde_json::to_vec(body).unwrap();
    post(address, "/v1/chat/completions", &[("authorization", &authorization)], &body)
}

pub fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Answer {
    let mut stream = send(address, method, path, headers, body);
    read_answer(&mut stream)
}

/// Sends a request without reading the response.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let mut head =
        format!("{method} {path} HTTP/1.1\r\nhost: {address}\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    // A server may refuse a large body before reading all of it.
    let _ = stream.write_all(body);
    stream
}

pub fn read_answer(stream: &mut TcpStream) -> Answer {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).unwrap();
    let status = line.split(' ').nth(1).unwrap_or_else(|| panic!("no status: {line:?}")).parse().unwrap();
    let mut headers = Vec::new();
    loop {
        line.clear();
        reader.read_line(&mut line).unwrap();
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let mut answer = Answer { status, headers, body: Vec::new(), complete: false };
    if answer.header("transfer-encoding") == Some("chunked") {
        answer.complete = read_chunks(&mut reader, &mut answer.body).is_some();
    } else {
        let length: usize = answer.header("content-length").unwrap_or("0").parse().unwrap();
        answer.body = vec![0; length];
        reader.read_exact(&mut answer.body).unwrap();
        answer.complete = true;
    }
    answer
}

/// Reads a chunked body; returns `None` if the connection ends before the last chunk.
fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let length = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk).ok()?;
        if length == 0 {
            return Some(());
        }
        body.extend_from_slice(&chunk[..length]);
    }
}
