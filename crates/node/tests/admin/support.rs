//! A small in-process cluster and an operator's client.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use paddlemount_language::answer::{Answer, Body, Explanation, QueryError, Table, WatchLine};
use paddlemount_node::{
    admin::client::{AdminClient, AdminClientError, WatchStream},
    client::HttpClient,
    node::{Node, RunningNode},
    settings::NodeSettings,
};
use paddlemount_protocol::{
    configuration::{ChangeOutcome, Configuration, DOCUMENT_KEY, Pool, Tenant},
    engine::LoadedModel,
    identity::WeightsVersion,
    platform::{Machine, MachineRole, MachineState},
};
use paddlemount_standins::{
    machine_list::model::MachineChange,
    server::{self, RunningStandin},
    settings::{ConfigurationStoreSettings, EngineSettings, MachineListSettings, StandinSettings},
};
use sha2::{Digest, Sha256};

pub const POOL: &str = "contracts";
pub const MODEL: &str = "ledger";
pub const TENANT: &str = "kestrel";
pub const CALLER_KEY: &str = "caller-key";
pub const READ_KEY: &str = "read-key";
pub const OPERATE_KEY: &str = "operate-key";
pub const ADMINISTER_KEY: &str = "administer-key";
pub const CLUSTER_KEY: &str = "a key that all nodes share";
pub const DEADLINE: Duration = Duration::from_secs(5);
pub const TIMEOUT: Duration = Duration::from_secs(20);

pub fn hash(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

pub struct Cluster {
    pub store: RunningStandin,
    pub list: RunningStandin,
    pub engines: Vec<RunningStandin>,
    pub nodes: Vec<RunningNode>,
    client: HttpClient,
}

impl Cluster {
    pub async fn start(engines: usize, nodes: usize) -> Self {
        let store = ConfigurationStoreSettings {
            values: BTreeMap::from([(
                DOCUMENT_KEY.to_owned(),
                serde_json::to_value(configuration()).unwrap(),
            )]),
            ..Default::default()
        };
        let store = server::start(StandinSettings::ConfigurationStore(store)).unwrap();
        let list = server::start(StandinSettings::MachineList(MachineListSettings::default())).unwrap();
        let client = HttpClient::new(Duration::from_secs(1));
        let mut cluster = Self { store, list, engines: Vec::new(), nodes: Vec::new(), client };
        for number in 1..=engines {
            cluster.add_engine(number).await;
        }
        for number in 1..=nodes {
            cluster.add_node(number).await;
        }
        for node in 0..nodes {
            cluster.until_ready(node).await;
            let question = "show engines engine where model = ledger";
            cluster.until(node, question, |table| table.rows.len() == engines).await;
            cluster.until(node, "show nodes member", |table| table.rows.len() == nodes).await;
        }
        cluster
    }

    async fn until_ready(&self, node: usize) {
        let started = std::time::Instant::now();
        while !self.nodes[node].state().is_ready() {
            assert!(started.elapsed() < TIMEOUT, "the node received no configuration");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn add_engine(&mut self, number: usize) {
        let loaded = LoadedModel { model: MODEL.into(), weights: WeightsVersion(7), adapters: Vec::new() };
        let name = format!("engine-{number}");
        let settings = EngineSettings::new(name.as_str().into(), POOL.into(), "zone-1".into(), Some(loaded));
        let engine = server::start(StandinSettings::Engine(settings)).unwrap();
        let role = MachineRole::Engine { engine: name.into(), pool: POOL.into() };
        self.list_machine(role, engine.address()).await;
        self.engines.push(engine);
    }

    async fn add_node(&mut self, number: usize) {
        let name = format!("node-{number}");
        let node = Node::start(self.node_settings(&name)).unwrap();
        self.list_machine(MachineRole::Node { node: name.into() }, node.peer_address()).await;
        self.nodes.push(node);
    }

    fn node_settings(&self, name: &str) -> NodeSettings {
        let operators: String =
            [(READ_KEY, "read"), (OPERATE_KEY, "operate"), (ADMINISTER_KEY, "administer")]
                .map(|(key, role)| {
                    format!(
                        "[[operators]]\nname = \"{role}\"\nkey_hash = \"{}\"\nrole = \"{role}\"\n",
                        hash(key)
                    )
                })
                .concat();
        let text = format!(
            "node = \"{name}\"\nregion = \"region-1\"\nzone = \"zone-1\"\nworkers = 1\n\
             [listen]\ncallers = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n\
             [platform]\nconfiguration_store = \"{}\"\nmachine_list = \"{}\"\n\
             [cluster]\nkey = \"{CLUSTER_KEY}\"\n{operators}",
            self.store.address(),
            self.list.address()
        );
        NodeSettings::parse(&text).unwrap_or_else(|errors| panic!("{errors:?}"))
    }

    pub async fn list_machine(&self, role: MachineRole, address: SocketAddr) {
        let machine = Machine {
            role,
            address,
            zone: "zone-1".into(),
            region: "region-1".into(),
            state: MachineState::Live,
        };
        let change = MachineChange::Put { machine };
        let _: serde_json::Value =
            self.client.post_json(self.list.address(), "/control/machines", &change, TIMEOUT).await.unwrap();
    }

    pub fn operator(&self, node: usize, key: &str, deadline: Duration) -> AdminClient {
        AdminClient::new(self.nodes[node].admin_address(), key.to_owned(), deadline)
    }

    pub async fn query_as(&self, node: usize, key: &str, statement: &str) -> Result<Answer, QueryError> {
        self.query_within(node, key, statement, DEADLINE).await
    }

    pub async fn query_within(
        &self,
        node: usize,
        key: &str,
        statement: &str,
        deadline: Duration,
    ) -> Result<Answer, QueryError> {
        match self.operator(node, key, deadline).query(statement).await {
            Ok(answer) => Ok(answer),
            Err(AdminClientError::Refused(problem)) => Err(*problem),
            Err(error) => panic!("{statement}: {error}"),
        }
    }

    pub async fn table(&self, node: usize, statement: &str) -> Table {
        let answer = self.query_as(node, READ_KEY, statement).await.unwrap_or_else(|p| panic!("{}", p.error));
        match answer.body {
            Body::Table { table } => table,
            other => panic!("{statement}: {other:?}"),
        }
    }

    pub async fn explanation(&self, node: usize, statement: &str) -> Explanation {
        let answer = self.query_as(node, READ_KEY, statement).await.unwrap_or_else(|p| panic!("{}", p.error));
        match answer.body {
            Body::Explanation { explanation } => explanation,
            other => panic!("{statement}: {other:?}"),
        }
    }

    pub async fn change(&self, node: usize, statement: &str) -> (ChangeOutcome, String) {
        let answer = self.query_as(node, ADMINISTER_KEY, statement).await;
        match answer.unwrap_or_else(|problem| panic!("{}", problem.error)).body {
            Body::Change { outcome, sentence, .. } => (outcome, sentence),
            other => panic!("{statement}: {other:?}"),
        }
    }

    /// Repeats a query until its answer meets the condition.
    pub async fn until(&self, node: usize, statement: &str, condition: impl Fn(&Table) -> bool) -> Table {
        let started = std::time::Instant::now();
        loop {
            let table = self.table(node, statement).await;
            if condition(&table) {
                return table;
            }
            assert!(started.elapsed() < TIMEOUT, "{statement}: {table:?}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends a prompt as the tenant; returns the request id and the status.
    pub async fn prompt(&self, node: usize, prompt: &str) -> (String, u16) {
        let address = self.nodes[node].address();
        let body = serde_json::json!({
            "model": MODEL, "max_tokens": 4, "messages": [{ "role": "user", "content": prompt }],
        });
        let request = http::Request::post(format!("http://{address}/v1/chat/completions"))
            .header("authorization", format!("Bearer {CALLER_KEY}"))
            .header("content-type", "application/json")
            .header("traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
            .body(Full::new(Bytes::from(body.to_string())))
            .unwrap();
        let client = hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new());
        let response = client.build_http().request(request).await.unwrap();
        let identity = response.headers()["x-request-id"].to_str().unwrap().to_owned();
        let status = response.status().as_u16();
        response.into_body().collect().await.unwrap();
        (identity, status)
    }

    pub async fn watch(&self, node: usize, statement: &str) -> Watch {
        Watch { stream: self.operator(node, READ_KEY, DEADLINE).watch(statement).await.unwrap() }
    }

    /// The text of a page of the administration interface.
    pub async fn page(&self, node: usize, path: &str) -> String {
        let address = self.nodes[node].admin_address();
        let request =
            http::Request::get(format!("http://{address}{path}")).body(Full::new(Bytes::new())).unwrap();
        let response = self.client.open(address, request, TIMEOUT).await.unwrap();
        String::from_utf8(response.into_body().collect().await.unwrap().to_bytes().to_vec()).unwrap()
    }

    pub async fn stop(self) {
        for node in self.nodes {
            node.kill().await;
        }
    }
}

/// A stream of `watch`.
pub struct Watch {
    stream: WatchStream,
}

impl Watch {
    pub async fn line(&mut self) -> Option<WatchLine> {
        tokio::time::timeout(TIMEOUT, self.stream.line()).await.unwrap().unwrap()
    }

    /// The next rows.
    pub async fn rows(&mut self) -> Table {
        loop {
            match self.line().await {
                Some(WatchLine::Rows { table }) => return table,
                Some(_) => {}
                None => panic!("the stream ended"),
            }
        }
    }
}

fn configuration() -> Configuration {
    let mut configuration = Configuration::default();
    let tenant = Tenant { key_hashes: vec![hash(CALLER_KEY)], ..Tenant::default() };
    configuration.tenants.insert(TENANT.into(), tenant);
    let pool = Pool {
        model: MODEL.into(),
        weights: WeightsVersion(7),
        rollout: None,
        adapters: Vec::new(),
        reuse_weight: 0.5,
    };
    configuration.pools.insert(POOL.into(), pool);
    configuration
}
