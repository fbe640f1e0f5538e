//! Nodes learn cached prefixes from engines' feeds, also after lost events.

use std::{sync::Arc, time::Duration};

use paddlemount_node::{
    node::{Node, RunningNode},
    settings::NodeSettings,
};
use paddlemount_protocol::{
    configuration::{Configuration, DOCUMENT_KEY, Pool},
    engine::{EngineStatus, GenerateRequest, LoadedModel, Precondition, Priority},
    identity::{EngineId, ModelId, PoolId, TenantId, WeightsVersion, ZoneId},
    platform::{Machine, MachineRole, MachineState},
    prefix::{CacheScope, hash_blocks, prompt_tokens},
};
use paddlemount_standins::{
    server::{self, RunningStandin},
    settings::{ConfigurationStoreSettings, EngineSettings, MachineListSettings, StandinSettings},
};
use serde_json::json;

const TIMEOUT: Duration = Duration::from_secs(30);

struct Fixture {
    node: RunningNode,
    engine: RunningStandin,
    _platform: [RunningStandin; 2],
    scope: CacheScope,
}

fn start() -> Fixture {
    let loaded = LoadedModel { model: "m".into(), weights: WeightsVersion(1), adapters: Vec::new() };
    let settings = EngineSettings::new("runner".into(), "pool".into(), ZoneId::from("regina"), Some(loaded));
    let engine = server::start(StandinSettings::Engine(settings)).unwrap();
    let machine = Machine {
        role: MachineRole::Engine { engine: EngineId::from("runner"), pool: PoolId::from("pool") },
        address: engine.address(),
        zone: "regina".into(),
        region: "prairie".into(),
        state: MachineState::Live,
    };
    let list = MachineListSettings { machines: vec![machine], ..MachineListSettings::default() };
    let list = server::start(StandinSettings::MachineList(list)).unwrap();
    let mut configuration = Configuration::default();
    let pool = Pool {
        model: ModelId::from("m"),
        weights: WeightsVersion(1),
        rollout: None,
        adapters: Vec::new(),
        reuse_weight: 0.5,
    };
    configuration.pools.insert("pool".into(), pool);
    let mut store = ConfigurationStoreSettings::default();
    store.values.insert(DOCUMENT_KEY.into(), serde_json::to_value(configuration).unwrap());
    let store = server::start(StandinSettings::ConfigurationStore(store)).unwrap();
    let text = format!(
        "node = \"a\"\nregion = \"prairie\"\nzone = \"regina\"\nworkers = 1\n\
         [listen]\ncallers = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n\
         [platform]\nconfiguration_store = \"{}\"\nmachine_list = \"{}\"\n\
         [cluster]\nkey = \"a cluster key for tests\"\n",
        store.address(),
        list.address()
    );
    let node = Node::start(NodeSettings::parse(&text).unwrap()).unwrap();
    let scope = CacheScope::new(&TenantId::from("t"), &"m".into(), WeightsVersion(1), None);
    Fixture { node, engine, _platform: [store, list], scope }
}

impl Fixture {
    /// Sends a prompt to the engine without the node.
    async fn serve_directly(&self, prompt: &str) {
        let client = self.node.state().client.clone();
        let status: EngineStatus = client.get_json(self.engine.address(), "/status", TIMEOUT).await.unwrap();
        let request = GenerateRequest {
            attempt: prompt.into(),
            request: prompt.into(),
            precondition: Precondition {
                engine: "runner".into(),
                incarnation: status.incarnation,
                model: "m".into(),
                weights: WeightsVersion(1),
                adapter: None,
            },
            scope: self.scope,
            prompt: prompt.into(),
            blocks: hash_blocks(self.scope, prompt.as_bytes()),
            max_tokens: 2,
            answer_prefix: Vec::new(),
            priority: Priority::Normal,
            deadline_ms: 10_000,
            import: None,
            traceparent: None,
        };
        let request =
            paddlemount_node::client::json_request(self.engine.address(), "/generate", &request).unwrap();
        let response = client.open(self.engine.address(), request, TIMEOUT).await.unwrap();
        http_body_util::BodyExt::collect(response.into_body()).await.unwrap();
    }

    /// The cached tokens that the node expects the engine to have.
    fn expected_tokens(&self, prompt: &str) -> u32 {
        let state = Arc::clone(self.node.state());
        let blocks = hash_blocks(self.scope, prompt.as_bytes());
        let request = paddlemount_core::routing::RouteRequest {
            request: &"r".into(),
            tenant: &"t".into(),
            pool: &"pool".into(),
            model: &"m".into(),
            weights: WeightsVersion(1),
            adapter: None,
            scope: self.scope,
            blocks: &blocks,
            prompt_tokens: prompt_tokens(prompt.len()),
            max_tokens: 2,
            priority: Priority::Normal,
            reuse_weight: 0.5,
            excluded: &[],
        };
        let now = state.clock.now();
        let decision = state.with_router(|router| router.preview(&request, now));
        decision.candidates.first().map_or(0, |candidate| candidate.expected_cached_tokens)
    }

    async fn wait_until_expected(&self, prompt: &str) {
        let start = tokio::time::Instant::now();
        while self.expected_tokens(prompt) == 0 {
            assert!(start.elapsed() < TIMEOUT, "the node did not learn the prefix");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

fn prompt(opening: &str) -> String {
    opening.repeat(2_048 / opening.len())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn prefixes_of_direct_requests_are_learned_from_the_feed() {
    let fixture = start();
    let prompt = prompt("the hirer pays for fuel; ");
    assert_eq!(fixture.expected_tokens(&prompt), 0);
    fixture.serve_directly(&prompt).await;
    fixture.wait_until_expected(&prompt).await;
    fixture.node.kill().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_snapshot_recovers_lost_events() {
    let fixture = start();
    let client = fixture.node.state().client.clone();
    let faults = json!({ "lose_next_events": 1 });
    let answer: Result<serde_json::Value, _> =
        client.post_json(fixture.engine.address(), "/control/faults", &faults, TIMEOUT).await;
    answer.unwrap();
    let lost = prompt("the hirer returns the truck; ");
    fixture.serve_directly(&lost).await;
    // The gap is detected by a later event.
    fixture.serve_directly(&prompt("smoking is not allowed; ")).await;
    fixture.wait_until_expected(&lost).await;
    fixture.node.kill().await;
}
