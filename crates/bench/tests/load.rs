//! The load generator against a node and an engine, and against faulty servers.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    time::Duration,
};

use paddlemount_bench::load::{
    self, LoadError, LoadSettings, Workload,
    hold::{self, HoldSettings},
};
use paddlemount_node::{
    node::{Node, RunningNode},
    settings::NodeSettings,
};
use paddlemount_protocol::{
    configuration::{Configuration, DOCUMENT_KEY, Pool, Tenant},
    engine::LoadedModel,
    identity::WeightsVersion,
    platform::{Machine, MachineRole, MachineState},
};
use paddlemount_standins::{
    server::{self, RunningStandin},
    settings::{ConfigurationStoreSettings, EngineSettings, MachineListSettings, StandinSettings},
};
use tokio::runtime::Runtime;

const KEY: &str = "load-test-key";
const KEY_HASH: &str = "3e3a73ab2b4bbd90f468a4b2dd3960a54265f01d30565d4f2b3f29ab5260037d";
const TENANT: &str = "kestrel";
const MODEL: &str = "contract-reader";
const WEIGHTS: WeightsVersion = WeightsVersion(3);

/// A node with its platform and one engine, in this process.
struct TestCluster {
    runtime: Runtime,
    node: Option<RunningNode>,
    engine: RunningStandin,
    _platform: [RunningStandin; 2],
}

impl TestCluster {
    fn start(change: impl FnOnce(&mut EngineSettings)) -> Self {
        let loaded = LoadedModel { model: MODEL.into(), weights: WEIGHTS, adapters: vec![] };
        let mut settings =
            EngineSettings::new("engine-1".into(), "contracts".into(), "zone-a".into(), Some(loaded));
        change(&mut settings);
        let engine = server::start(StandinSettings::Engine(settings)).unwrap();
        let machine = Machine {
            role: MachineRole::Engine { engine: "engine-1".into(), pool: "contracts".into() },
            address: engine.address(),
            zone: "zone-a".into(),
            region: "prairie".into(),
            state: MachineState::Live,
        };
        let list = MachineListSettings { machines: vec![machine], ..MachineListSettings::default() };
        let list = server::start(StandinSettings::MachineList(list)).unwrap();
        let values = [(DOCUMENT_KEY.to_owned(), serde_json::to_value(configuration()).unwrap())].into();
        let store = ConfigurationStoreSettings { values, ..ConfigurationStoreSettings::default() };
        let store = server::start(StandinSettings::ConfigurationStore(store)).unwrap();
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
        let node = {
            let _entered = runtime.enter();
            Node::start(node_settings(store.address(), list.address()))
                .unwrap_or_else(|error| panic!("{error}"))
        };
        wait_ready(node.admin_address());
        Self { runtime, node: Some(node), engine, _platform: [store, list] }
    }

    fn address(&self) -> SocketAddr {
        self.node.as_ref().unwrap().address()
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        if let Some(node) = self.node.take() {
            self.runtime.block_on(node.kill());
        }
    }
}

fn configuration() -> Configuration {
    let mut configuration = Configuration::default();
    let tenant = Tenant { key_hashes: vec![KEY_HASH.into()], ..Tenant::default() };
    configuration.tenants.insert(TENANT.into(), tenant);
    let pool = serde_json::json!({ "model": MODEL, "weights": WEIGHTS });
    let pool: Pool = serde_json::from_value(pool).unwrap();
    configuration.pools.insert("contracts".into(), pool);
    configuration
}

fn node_settings(store: SocketAddr, list: SocketAddr) -> NodeSettings {
    let text = format!(
        "node = \"node-1\"\nregion = \"prairie\"\nzone = \"zone-a\"\n\
         [listen]\ncallers = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n\
         [platform]\nconfiguration_store = \"{store}\"\nmachine_list = \"{list}\"\n\
         [cluster]\nkey = \"a key of this test's own nodes\"\n"
    );
    NodeSettings::parse(&text).unwrap()
}

fn wait_ready(admin: SocketAddr) {
    for _ in 0..500 {
        let mut stream = TcpStream::connect(admin).unwrap();
        stream.write_all(b"GET /readyz HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n").unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        if answer.starts_with("HTTP/1.1 200") {
            return;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("the node does not become ready");
}

fn workload() -> Workload {
    let mut workload = Workload::new(TENANT.into(), KEY.into(), MODEL.into(), WEIGHTS);
    workload.max_tokens = 8;
    workload.opening_bytes = 4_096;
    workload
}

fn settings(node: SocketAddr, engine: Option<SocketAddr>) -> LoadSettings {
    LoadSettings {
        nodes: vec![node],
        engine,
        workload: workload(),
        requests_per_second: 40.0,
        duration: Duration::from_millis(1_500),
        warm_up: Duration::from_millis(500),
        node_processes: vec![std::process::id()],
        threads: 2,
    }
}

#[test]
fn load_through_a_node_and_direct_is_answered_completely() {
    let cluster = TestCluster::start(|_| {});
    let report = load::run(&settings(cluster.address(), Some(cluster.engine.address()))).unwrap();
    assert!(report.all_complete(), "{report}");
    let engine = report.engine.as_ref().unwrap();
    assert_eq!((report.node.requests, engine.requests), (40, 40), "after the warm-up");
    assert!(report.node.prefix_hit_rate > 0.5, "{report}");
    assert!(report.node.ttft_ms.p50 > 0.0 && report.node.total_ms.p50 >= report.node.ttft_ms.p50);
    assert!(report.added.is_some() && report.processor.is_some());
}

#[test]
fn answers_of_other_weights_count_as_wrong() {
    let cluster = TestCluster::start(|_| {});
    let mut settings = settings(cluster.address(), Some(cluster.engine.address()));
    settings.workload.weights = WeightsVersion(2);
    let report = load::run(&settings).unwrap();
    assert_eq!(report.node.wrong, report.node.requests, "{report}");
    let engine = report.engine.unwrap();
    assert_eq!(engine.refused.get("precondition_failed"), Some(&engine.requests));
}

#[test]
fn a_wrong_key_counts_as_refused() {
    let cluster = TestCluster::start(|_| {});
    let mut settings = settings(cluster.address(), None);
    settings.workload.key = "another key".into();
    let report = load::run(&settings).unwrap();
    assert_eq!(report.node.refused.get("unauthenticated"), Some(&report.node.requests), "{report}");
    assert!(!report.all_complete());
}

/// Answers every request with `response` and closes.
fn canned_server(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            std::thread::spawn(move || {
                let mut request = Vec::new();
                let mut buffer = [0; 65_536];
                while !request.ends_with(b"}") {
                    let read = stream.read(&mut buffer).unwrap_or(0);
                    if read == 0 {
                        return;
                    }
                    request.extend_from_slice(&buffer[..read]);
                }
                let _ = stream.write_all(response.as_bytes());
            });
        }
    });
    address
}

#[test]
fn a_stream_without_its_end_is_incomplete_and_a_closed_connection_failed() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\ndata: [DON";
    let report = load::run(&settings(canned_server(HEAD), None)).unwrap();
    assert_eq!(report.node.incomplete, report.node.requests, "{report}");
    let report = load::run(&settings(canned_server(""), None)).unwrap();
    assert_eq!(report.node.failed, report.node.requests, "{report}");
    assert!(!report.node.failures.is_empty());
}

#[test]
fn a_stream_that_ends_with_an_error_is_broken_under_its_code() {
    const BROKEN: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\ndata: {\"error\":{\"code\":\"backend_failed\",\
                          \"outcome\":\"unknown\",\"message\":\"gone\"},\"request_id\":\"r\"}\n\n";
    let report = load::run(&settings(canned_server(BROKEN), None)).unwrap();
    assert_eq!(report.node.broken.get("backend_failed"), Some(&report.node.requests), "{report}");
}

#[test]
fn an_end_without_the_text_is_wrong() {
    const EMPTY: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\ndata: [DONE]\n\n";
    let report = load::run(&settings(canned_server(EMPTY), None)).unwrap();
    assert_eq!(report.node.wrong, report.node.requests, "{report}");
}

#[test]
fn invalid_settings_are_refused() {
    let node: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let mut none = settings(node, None);
    none.nodes.clear();
    let mut rate = settings(node, None);
    rate.requests_per_second = f64::NAN;
    let mut warm_up = settings(node, None);
    warm_up.warm_up = warm_up.duration;
    for settings in [none, rate, warm_up] {
        assert!(matches!(load::run(&settings), Err(LoadError::Settings(_))));
    }
    let gone = settings(node, Some(node));
    assert!(matches!(load::run(&gone), Err(LoadError::Engine { .. })));
}

fn hold_settings(cluster: &TestCluster, streams: usize) -> HoldSettings {
    HoldSettings {
        node: cluster.address(),
        workload: Workload { deadline_ms: 120_000, max_tokens: 100, ..workload() },
        streams,
        hold: Duration::from_millis(500),
        node_process: Some(std::process::id()),
        threads: 2,
    }
}

#[test]
fn streams_are_held_open_and_their_memory_is_reported() {
    let cluster = TestCluster::start(|engine| {
        engine.behaviour.speed.batch_slots = 400;
        engine.behaviour.speed.cache_blocks = 100_000;
        engine.behaviour.speed.prefill_tokens_per_second = 10_000_000.0;
        engine.behaviour.speed.prefill_chunk_tokens = 1_000_000;
        engine.behaviour.speed.decode_base_ms = 1_000.0;
    });
    let report = hold::hold(&hold_settings(&cluster, 120)).unwrap();
    assert_eq!(report.streams, 120);
    let memory = report.memory.unwrap();
    assert!(memory.before > 0 && memory.open > 0);
}

#[test]
fn streams_that_end_while_they_are_held_are_a_failure() {
    let cluster =
        TestCluster::start(|engine| engine.behaviour.speed.prefill_tokens_per_second = 10_000_000.0);
    let mut settings = hold_settings(&cluster, 4);
    settings.workload.max_tokens = 1;
    assert!(matches!(hold::hold(&settings), Err(LoadError::Hold { failed: 4, .. })));
}
