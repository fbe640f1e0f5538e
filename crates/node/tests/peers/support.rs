//! A few in-process nodes of one region.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use paddlemount_node::{
    client::{ClientError, HttpClient},
    node::{Node, RunningNode},
    settings::NodeSettings,
};
use paddlemount_protocol::{
    configuration::{Change, ChangeOutcome, ChangeRequest, Configuration, DOCUMENT_KEY, Tenant},
    identity::{NodeId, Revision},
    peer::membership::MemberState,
};
use paddlemount_standins::{
    server::{self, RunningStandin},
    settings::{ConfigurationStoreSettings, MachineListSettings, StandinSettings},
};

pub const CLUSTER_KEY: &str = "the-key-of-this-cluster";
const TIMEOUT: Duration = Duration::from_secs(30);

pub struct Cluster {
    store: Option<RunningStandin>,
    store_address: SocketAddr,
    list: RunningStandin,
    pub nodes: Vec<RunningNode>,
}

impl Cluster {
    pub async fn start(nodes: usize) -> Self {
        let document = serde_json::to_value(Configuration::default()).unwrap();
        let settings = ConfigurationStoreSettings {
            values: BTreeMap::from([(DOCUMENT_KEY.to_owned(), document)]),
            ..Default::default()
        };
        let store = server::start(StandinSettings::ConfigurationStore(settings)).unwrap();
        let list = server::start(StandinSettings::MachineList(MachineListSettings::default())).unwrap();
        let mut cluster =
            Self { store_address: store.address(), store: Some(store), list, nodes: Vec::new() };
        (1..=nodes).for_each(|number| cluster.add_node(number));
        let all_joined = |cluster: &Self| {
            (0..nodes).all(|node| cluster.is_ready(node) && cluster.members_of(node).len() == nodes)
        };
        cluster.until(all_joined).await;
        cluster
    }

    pub fn add_node(&mut self, number: usize) {
        let seed = self.nodes.first().map(|node| format!("\"{}\"", node.peer_address()));
        let text = format!(
            "node = \"node-{number}\"\nregion = \"region-1\"\nzone = \"zone-1\"\nworkers = 1\n\
             [listen]\ncallers = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n\
             [platform]\nconfiguration_store = \"{}\"\nmachine_list = \"{}\"\n\
             [cluster]\nkey = \"{CLUSTER_KEY}\"\nseeds = [{}]\n",
            self.store_address,
            self.list.address(),
            seed.unwrap_or_default(),
        );
        let settings = NodeSettings::parse(&text).unwrap_or_else(|errors| panic!("{errors:?}"));
        self.nodes.push(Node::start(settings).unwrap());
    }

    pub fn stop_store(&mut self) {
        if let Some(store) = self.store.take() {
            store.kill();
        }
    }

    pub async fn until(&self, holds: impl Fn(&Self) -> bool) {
        let started = tokio::time::Instant::now();
        while !holds(self) {
            assert!(started.elapsed() < TIMEOUT, "the cluster did not reach the expected state");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    pub fn members_of(&self, node: usize) -> Vec<(NodeId, MemberState)> {
        let state = self.nodes[node].state();
        state.peers.inspect(|peers, _| {
            peers.members().all().map(|record| (record.node.clone(), record.state)).collect()
        })
    }

    pub fn revision_of(&self, node: usize) -> Revision {
        self.nodes[node].state().configuration.revision()
    }

    pub fn is_ready(&self, node: usize) -> bool {
        self.nodes[node].state().is_ready()
    }

    pub async fn change(&self, node: usize, request: ChangeRequest) -> ChangeOutcome {
        let state = self.nodes[node].state();
        state.peers.change(state, request).await
    }

    pub async fn stop(self) {
        for node in self.nodes {
            node.kill().await;
        }
        self.list.stop();
    }
}

pub fn put_tenant(id: &str, weight: u32, if_revision: Option<Revision>) -> ChangeRequest {
    let settings = Tenant { weight, ..Tenant::default() };
    ChangeRequest {
        id: id.into(),
        operator: "alice".into(),
        if_revision,
        change: Change::PutTenant { tenant: "kestrel".into(), settings },
        command: format!("put tenant kestrel weight {weight}"),
        dry_run: false,
    }
}

/// The status of the answer to a request with these headers.
pub async fn post(address: SocketAddr, path: &str, headers: &[(&str, String)], body: &[u8]) -> u16 {
    let client = HttpClient::new(Duration::from_secs(1));
    let mut builder = Request::builder().method("POST").uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        builder = builder.header(*name, value);
    }
    let request = builder.body(Full::new(Bytes::copy_from_slice(body))).unwrap();
    match client.open(address, request, TIMEOUT).await {
        Ok(response) => response.status().as_u16(),
        Err(ClientError::Status { status, .. }) => status.as_u16(),
        Err(error) => panic!("{error}"),
    }
}
