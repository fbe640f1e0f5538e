//! A node that does not reach the runners of a service hands unsafe requests on to another node, which has lost the path
//! to the store, and in whose older configuration their path belongs to a safe route. Runners lose answers.

use std::{
    collections::BTreeMap,
    net::Ipv4Addr,
    path::PathBuf,
    time::{Duration, Instant},
};

use paddlemount_platform_standin::{
    Behaviour, Cluster, Cut, Partition,
    cluster::{HOST, KEY},
    proxy::{LinkFault, Proxy},
};
use serde_json::{Value, json};

use crate::{
    caller::{Caller, Exchange},
    node::{Node, Place},
    record::Record,
};

/// `core_cut`: how long the machine is partitioned from the store.
const CORE_CUT: Duration = Duration::from_millis(5_500);
/// `srv_cut`: how long the runners lose the path to one machine.
const SERVER_CUT: Duration = Duration::from_millis(5_000);
/// `configApplyMs`.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
const CALL_INTERVAL: Duration = Duration::from_millis(40);
/// `answer_lost`: one in four of the requests that two of the ten runners have run.
const LOSES_ANSWERS: [Behaviour; 4] = [Behaviour::Breaks, Behaviour::Well, Behaviour::Well, Behaviour::Well];
/// More than arrive.
const SCRIPTED: usize = 400;

/// A configuration with a safe route below `/api/`; the second version adds an unsafe one below `/api/book/`.
fn configuration(version: u64) -> Value {
    let route = |name: &str, prefix: &str, kind: &str| {
        json!({
            "name": name, "host": HOST, "pathPrefix": prefix, "kind": kind, "timeoutMs": 2000,
            "targetLatencyMs": 300, "priority": 0, "service": "booking", "retryAttempts": 3,
            "allowAnonymous": false, "sessionAffinity": false, "resumable": false,
        })
    };
    let mut routes = vec![route("look-up", "/api/", "safe")];
    if version > 1 {
        routes.push(route("book", "/api/book/", "unsafe"));
    }
    json!({
        "version": version,
        "routes": routes,
        "services": [
            {"name": "pool", "healthPath": "/health", "maxConnections": 100,
             "engine": {"slots": 8, "kvCacheTokens": 100_000, "models": [{"name": "m0"}]}},
            {"name": "booking", "healthPath": "/health", "maxConnections": 100},
        ],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 65_536, "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000},
        "tenants": [{"name": "alpha", "apiKeys": [KEY], "priority": 1, "isolated": false}],
    })
}

pub async fn play(folder: &str, trouble: bool) -> Result<bool, String> {
    let text = |error: std::io::Error| error.to_string();
    let scratch = PathBuf::from(std::env::var("SCRATCH").map_err(|_| "SCRATCH is not set")?);
    let mut record = Record::new();
    // Ten runners: eight of the pool, two of the booking service.
    let cluster = Cluster::start_with(8, 2).await.map_err(text)?;
    let paths = Partition::default();
    for runner in &cluster.bookings {
        let link = Proxy::start_for_runner(runner, &paths).await.map_err(text)?;
        cluster.register_at(runner, "ready", link.address);
    }
    cluster.store.put("op/config", &configuration(1));
    record.now("the operator writes version 1: /api/ is safe");
    let (first_source, second_source) = (Ipv4Addr::new(127, 0, 0, 31), Ipv4Addr::new(127, 0, 0, 32));
    // The first node to start leads.
    let leader_link = Proxy::start(cluster.store_address).await.map_err(text)?;
    let place = Place { store: leader_link.address, source: Some(first_source), peers: None };
    let leader = Node::start("node-b", place, &scratch).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let place = Place { store: cluster.store_address, source: Some(second_source), peers: None };
    let node = Node::start("node-a", place, &scratch).await?;
    tokio::time::sleep(Duration::from_secs(5)).await;
    if leader.find("leadership_gained").is_none() {
        return Err("node-b does not lead".into());
    }
    let caller = Caller::default();
    caller.begin("node-a", node.callers, "/api/look", CALL_INTERVAL);
    tokio::time::sleep(Duration::from_secs(3)).await;

    let cut_at = Instant::now();
    if trouble {
        paths.cut(second_source, Cut::Silent);
        leader_link.set(LinkFault::Silent);
        record.now("the two runners of booking lose the path to node-a; node-b loses the path to the store");
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    cluster.store.put("op/config", &configuration(2));
    let acknowledged = Instant::now();
    record.now("the store acknowledges version 2: /api/book/ is unsafe");
    tokio::time::sleep(CONFIG_APPLY).await;
    if trouble {
        for (number, runner) in cluster.bookings.iter().enumerate() {
            let script = LOSES_ANSWERS.iter().copied().cycle().skip(number * 2).take(SCRIPTED);
            runner.script(&script.collect::<Vec<Behaviour>>());
        }
        record
            .now("the runners of booking lose the answers of one in four of the requests that they have run");
    }
    // Callers use the new route only once it is in force.
    let mut exchanges = caller.end();
    caller.begin("node-a", node.callers, "/api/book/a", CALL_INTERVAL);
    tokio::time::sleep(SERVER_CUT.saturating_sub(cut_at.elapsed())).await;
    if trouble {
        paths.heal(second_source);
        record.now("the runners of booking have the path to node-a again");
    }
    tokio::time::sleep(CORE_CUT.saturating_sub(cut_at.elapsed())).await;
    if trouble {
        leader_link.set(LinkFault::None);
        cluster.bookings.iter().for_each(|runner| runner.script(&[]));
        record.now("node-b has the path to the store again; no more answers are lost");
    }
    tokio::time::sleep(Duration::from_secs(4)).await;

    exchanges.extend(caller.end());
    let mut runs: BTreeMap<String, Vec<(Instant, String)>> = BTreeMap::new();
    for (number, runner) in cluster.bookings.iter().enumerate() {
        for seen in runner.seen().into_iter().filter(|seen| seen.ran) {
            runs.entry(seen.id).or_default().push((seen.at, format!("booking-{number}")));
        }
    }
    let (mut unsafe_requests, mut twice) = (0, 0);
    for Exchange { id, node, path, sent, answer, .. } in &exchanges {
        let ran = runs.get(id).map_or(&[][..], Vec::as_slice);
        let status = answer.as_ref().map_or("no answer".into(), |answer| answer.status.to_string());
        record.at(*sent, format!("{id} GET {path} to {node}: {status}, {} runs", ran.len()));
        if !path.starts_with("/api/book/") {
            continue;
        }
        unsafe_requests += 1;
        if ran.len() > 1 {
            twice += 1;
            for (at, runner) in ran {
                record.at(*at, format!("{id} is run by {runner}: one of {} runs", ran.len()));
            }
        }
    }
    for node in [&leader, &node] {
        let events =
            ["store_lost", "store_regained", "configuration_applied", "leadership_gained", "leadership_lost"];
        for (at, line) in node.lines_with(&events) {
            record.at(at, format!("log of {}: {line}", node.name));
        }
    }
    let broken = twice > 0;
    let verdict = format!(
        "{}: {twice} of {unsafe_requests} unsafe requests, all sent {:.1} s or more after the acknowledgement, were run \
         more than once",
        if broken { "BROKEN" } else { "held" },
        (acknowledged + CONFIG_APPLY - acknowledged).as_secs_f64(),
    );
    record.write(folder, &verdict)?;
    Ok(broken)
}
