//! The open connections of two nodes to the store go silent, while new ones work. Some seconds later the node that
//! leads is killed, and the configuration changes.

use std::{
    collections::BTreeMap,
    path::PathBuf,
    time::{Duration, Instant},
};

use paddlemount_platform_standin::{
    Cluster,
    cluster::{HOST, KEY},
    proxy::Proxy,
};
use serde_json::{Value, json};

use crate::{
    caller::{Caller, Exchange},
    node::{Node, Place, free_address},
    record::Record,
};

/// `configApplyMs`.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// How long the connections are silent before the leader is killed: more than `contactMs`.
const SILENT_BEFORE: Duration = Duration::from_millis(4_000);
/// `node_kill`: how long the killed process is down.
const DOWN: Duration = Duration::from_millis(3_500);
/// When the operator changes the configuration, after the disruption.
const CHANGE_AFTER: Duration = Duration::from_millis(300);
const OBSERVED: Duration = Duration::from_secs(12);
const NODES: usize = 3;
const CALL_INTERVAL: Duration = Duration::from_millis(50);

/// A configuration in which requests below `/open/` and `/keyed/` go to `service`.
fn configuration(version: u64, service: &str) -> Value {
    let route = |name: &str, is_open: bool| {
        json!({
            "name": name, "host": HOST, "pathPrefix": format!("/{name}/"), "kind": "unsafe", "timeoutMs": 2000,
            "targetLatencyMs": 300, "priority": 0, "service": service, "retryAttempts": 2,
            "allowAnonymous": is_open, "sessionAffinity": false, "resumable": false,
        })
    };
    json!({
        "version": version,
        "routes": [route("open", true), route("keyed", false)],
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
    let cluster = Cluster::start().await.map_err(text)?;
    cluster.set_target_version(1);
    cluster.store.put("op/config", &configuration(1, "pool"));
    record.now("the operator writes version 1: /open/ and /keyed/ go to pool");
    let link = Proxy::start(cluster.store_address).await.map_err(text)?;
    // The first node to start leads. It comes back at its address.
    let leader_place = Place { store: cluster.store_address, source: None, peers: Some(free_address()?) };
    let mut leader = Some(Node::start("node-0", leader_place, &scratch).await?);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let mut nodes = Vec::new();
    for number in 1..NODES {
        let place = Place { store: link.address, source: None, peers: None };
        nodes.push(Node::start(&format!("node-{number}"), place, &scratch).await?);
    }
    tokio::time::sleep(Duration::from_secs(6)).await;
    if leader.as_ref().is_none_or(|leader| leader.find("leadership_gained").is_none()) {
        return Err("node-0 does not lead".into());
    }
    let caller = Caller::default();
    for node in &nodes {
        caller.begin(&node.name, node.callers, "/open/a", CALL_INTERVAL);
        caller.begin(&node.name, node.callers, "/keyed/a", CALL_INTERVAL);
    }
    tokio::time::sleep(Duration::from_secs(3)).await;

    if trouble {
        link.stall_open_connections();
        record.now("the open connections of node-1 and node-2 to the store go silent; new ones work");
    }
    tokio::time::sleep(SILENT_BEFORE).await;
    let began = Instant::now();
    if trouble {
        leader = None;
        record.now("node-0, which leads, is killed");
    }
    tokio::time::sleep(CHANGE_AFTER).await;
    cluster.store.put("op/config", &configuration(2, "booking"));
    let acknowledged = Instant::now();
    record.now("the store acknowledges version 2: /open/ and /keyed/ go to booking");
    tokio::time::sleep(DOWN.saturating_sub(began.elapsed())).await;
    if trouble {
        record.now("node-0 is started again");
        leader = Some(Node::start("node-0", leader_place, &scratch).await?);
        record.now("node-0 is ready");
    }
    tokio::time::sleep(OBSERVED.saturating_sub(began.elapsed())).await;

    let exchanges = caller.end();
    let ran_at: BTreeMap<String, &str> = [("booking", &cluster.bookings), ("pool", &cluster.engines)]
        .into_iter()
        .flat_map(|(service, runners)| {
            let seen = runners.iter().flat_map(|runner| runner.seen());
            seen.filter(|seen| seen.ran).map(move |seen| (seen.id, service))
        })
        .collect();
    // Both are in touch again by now.
    let bound = acknowledged + CONFIG_APPLY;
    record.at(bound, "from here on version 2 has to be in force at node-1 and node-2");
    let (mut asked, mut old, mut last_old) = (0, 0, None);
    for Exchange { id, node, path, sent, answer, .. } in &exchanges {
        let service = ran_at.get(id).copied().unwrap_or("nowhere");
        let status = answer.as_ref().map_or("no answer".into(), |answer| answer.status.to_string());
        record.at(*sent, format!("{id} GET {path} to {node}: {status}, run by {service}"));
        if *sent < bound {
            continue;
        }
        asked += 1;
        if service == "pool" {
            old += 1;
            last_old = last_old.max(Some(*sent));
        }
    }
    for node in nodes.iter().chain(leader.as_ref()) {
        let events =
            ["store_lost", "store_regained", "configuration_applied", "leadership_gained", "leadership_lost"];
        for (at, line) in node.lines_with(&events) {
            record.at(at, format!("log of {}: {line}", node.name));
        }
    }
    let last = last_old.map_or(String::new(), |at| {
        format!(
            ", the last one {:.1} s after the acknowledgement and {:.1} s after the kill",
            (at - acknowledged).as_secs_f64(),
            (at - began).as_secs_f64()
        )
    });
    let broken = old > 0;
    let verdict = format!(
        "{}: of {asked} requests after the bound, {old} were run by the service of the older version{last}",
        if broken { "BROKEN" } else { "held" },
    );
    record.write(folder, &verdict)?;
    Ok(broken)
}
