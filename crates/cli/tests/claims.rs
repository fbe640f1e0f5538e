//! An idempotency key runs at most once when callers send it to several nodes concurrently while a node is
//! killed, as checked by the booking service's ledger.

mod support;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use paddlemount_bench::free_address::free_address;
use paddlemount_protocol::{
    configuration::Configuration,
    peer::claims::{ClaimMember, ClaimPlacement, PlacementEpoch},
    platform::{Machine, MachineRole, MachineState},
};
use paddlemount_standins::settings::{BookingSettings, StandinSettings};
use serde_json::{Value, json};
use support::{Answer, KEY, Process, ZONES, configuration, configuration_store, machine_list, node_settings};

const NODES: usize = 3;
/// Idempotency keys, each sent by a caller of its own.
const KEYS: u64 = 30;
/// How often each caller sends its key to all nodes.
const ROUNDS: usize = 4;

struct Cluster {
    _store: Process,
    _list: Process,
    booking: Process,
    nodes: Vec<Process>,
}

fn configuration_with_claims() -> Configuration {
    let member = |number: usize| ClaimMember {
        node: format!("node-{number}").into(),
        zone: ZONES[number].into(),
        region: "prairie".into(),
    };
    let members = (0..NODES).map(member).collect();
    Configuration {
        claims: ClaimPlacement { epoch: PlacementEpoch(1), members, next: None },
        ..configuration()
    }
}

/// Nodes find each other by their peer addresses, which must therefore be known before the start.
fn reserve_addresses() -> Vec<SocketAddr> {
    (0..NODES).map(|_| free_address().unwrap()).collect()
}

impl Cluster {
    fn start() -> Self {
        let store = configuration_store(&configuration_with_claims());
        let booking = Process::standin(&StandinSettings::Booking(BookingSettings::new("booking-0".into())));
        let machine = |role, address, zone: usize| Machine {
            role,
            address,
            zone: ZONES[zone].into(),
            region: "prairie".into(),
            state: MachineState::Live,
        };
        let role = MachineRole::Service { instance: "booking-0".into(), service: "booking".into() };
        let mut machines = vec![machine(role, booking.address("address"), 0)];
        let peers = reserve_addresses();
        for (number, address) in peers.iter().enumerate() {
            let role = MachineRole::Node { node: format!("node-{number}").into() };
            machines.push(machine(role, *address, number));
        }
        let list = machine_list(machines);
        let seeds: Vec<String> = peers.iter().map(|address| format!("\"{address}\"")).collect();
        let seeds = format!("seeds = [{}]", seeds.join(", "));
        let start = |number: usize| {
            let settings = node_settings(number, store.address("address"), list.address("address"), &seeds);
            let own = format!("peers = \"{}\"", peers[number]);
            Process::start(&["serve"], &settings.replace("peers = \"127.0.0.1:0\"", &own))
        };
        let nodes: Vec<Process> = (0..NODES).map(start).collect();
        nodes.iter().for_each(support::wait_ready);
        let cluster = Self { _store: store, _list: list, booking, nodes };
        // New replicas refuse keys created before or shortly after their start.
        support::wait_until("keys are granted", || {
            cluster.book(0, &key(u64::MAX >> 16), "warm").status == 200
        });
        cluster
    }

    fn book(&self, node: usize, key: &str, contract: &str) -> Answer {
        book(self.nodes[node].address("callers"), key, contract)
    }
}

fn book(address: SocketAddr, key: &str, contract: &str) -> Answer {
    let authorization = format!("Bearer {KEY}");
    let headers = [("authorization", authorization.as_str()), ("idempotency-key", key)];
    let body = serde_json::to_vec(&json!({ "contract": contract })).unwrap();
    support::post(address, "/v1/services/booking/charge", &headers, &body)
}

/// Creates a UUIDv7 with the current time.
fn key(number: u64) -> String {
    let milliseconds = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    let number = number & 0xffff_ffff_ffff;
    format!("{:08x}-{:04x}-7000-8000-{number:012x}", milliseconds >> 16, milliseconds & 0xffff)
}

fn runs_by_key(booking: &Process) -> BTreeMap<String, usize> {
    let state = support::state_of(booking);
    let mut runs = BTreeMap::new();
    for entry in find_ledger(&state).as_array().expect("a ledger") {
        *runs.entry(entry["key"].as_str().unwrap_or_default().to_owned()).or_insert(0) += 1;
    }
    runs
}

fn find_ledger(state: &Value) -> &Value {
    let nested = state
        .as_object()
        .into_iter()
        .flatten()
        .map(|(_, value)| value)
        .find(|value| value.get("ledger").is_some());
    state.get("ledger").or_else(|| nested.and_then(|value| value.get("ledger"))).unwrap_or(&Value::Null)
}

#[test]
fn one_key_at_many_nodes_runs_once_while_a_node_is_killed() {
    let mut cluster = Cluster::start();
    let addresses: Vec<SocketAddr> = cluster.nodes.iter().map(|node| node.address("callers")).collect();
    let answers = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..KEYS)
            .map(|number| {
                let survivors = &addresses[..NODES - 1];
                scope.spawn(move || {
                    std::thread::sleep(Duration::from_millis(10 * number));
                    let key = key(number);
                    (key.clone(), send_to_all(survivors, &key, &number.to_string()))
                })
            })
            .collect();
        std::thread::sleep(Duration::from_millis(5 * KEYS));
        cluster.nodes[NODES - 1].signal("-KILL");
        callers.into_iter().map(|caller| caller.join().unwrap()).collect::<BTreeMap<_, _>>()
    });
    cluster.nodes.truncate(NODES - 1);
    let runs = runs_by_key(&cluster.booking);
    for (key, bodies) in &answers {
        assert!(runs.get(key).copied().unwrap_or(0) <= 1, "{key} ran {:?} times", runs.get(key));
        assert!(bodies.windows(2).all(|pair| pair[0] == pair[1]), "{key}: {bodies:?}");
        assert!(!bodies.is_empty(), "{key} was never answered");
        assert_eq!(runs.get(key), Some(&1), "{key} was answered, so it must have run once");
    }
}

/// Sends a key to all nodes concurrently in several rounds and returns the bodies of successful answers.
fn send_to_all(nodes: &[SocketAddr], key: &str, contract: &str) -> Vec<Value> {
    let mut bodies = Vec::new();
    for _ in 0..ROUNDS {
        let round = std::thread::scope(|scope| {
            let calls: Vec<_> =
                nodes.iter().map(|node| scope.spawn(move || book(*node, key, contract))).collect();
            calls.into_iter().map(|call| call.join().unwrap()).collect::<Vec<_>>()
        });
        for answer in round {
            if answer.status == 200 {
                bodies.push(answer.json());
            } else {
                assert_eq!(answer.json()["error"]["outcome"], "unknown", "{answer:?}");
            }
        }
    }
    bodies
}

#[test]
fn keys_are_checked_and_a_key_belongs_to_one_body() {
    let cluster = Cluster::start();
    let own = key(1);
    assert_eq!(cluster.book(0, &own, "one").status, 200);
    let reused = cluster.book(1, &own, "two").json();
    assert_eq!(
        (&reused["error"]["code"], &reused["error"]["outcome"]),
        (&json!("key_reused"), &json!("unknown"))
    );
    let wrong = cluster.book(0, "booking-4711", "three").json();
    assert_eq!(
        (&wrong["error"]["code"], &wrong["error"]["outcome"]),
        (&json!("invalid_request"), &json!("not_run"))
    );
    let old = cluster.book(0, "017f22e2-79b0-7cc3-98c4-dc0c0c07398f", "four").json();
    assert_eq!((&old["error"]["code"], &old["error"]["outcome"]), (&json!("key_too_old"), &json!("unknown")));
    assert_eq!(runs_by_key(&cluster.booking).get(&own), Some(&1));
}
