//! The open connections of all nodes to the store go silent, while new ones work, and the configuration changes.

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
    node::{Node, Place},
    record::Record,
};

/// `configApplyMs` and `contactMs`.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
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
    let count: usize = std::env::var("NODES").ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    let mut record = Record::new();
    let cluster = Cluster::start().await.map_err(text)?;
    cluster.set_target_version(1);
    cluster.store.put("op/config", &configuration(1, "pool"));
    let link = Proxy::start(cluster.store_address).await.map_err(text)?;
    let mut nodes = Vec::new();
    for number in 0..count {
        let place = Place { store: link.address, source: None };
        nodes.push(Node::start(&format!("node-{number}"), place, &scratch).await?);
    }
    tokio::time::sleep(Duration::from_secs(8)).await;
    let caller = Caller::default();
    for node in &nodes {
        caller.begin(&node.name, node.callers, "/open/a", CALL_INTERVAL);
        caller.begin(&node.name, node.callers, "/keyed/a", CALL_INTERVAL);
    }
    if std::env::var("BUMPS").is_ok() {
        for version in 2..6 {
            cluster.set_target_version(version);
            record.now(format!("the operator names weights {version}"));
            tokio::time::sleep(Duration::from_millis(1_000)).await;
            cluster.publish_weights();
        }
    }
    tokio::time::sleep(Duration::from_millis(300 + 100 * u64::from(std::process::id() % 10))).await;
    let silent_at = Instant::now();
    if trouble {
        link.stall_open_connections();
        record.now("all open connections to the store go silent; new ones work");
        if std::env::var("KILL").is_ok() {
            let leader = nodes.iter().position(|node| node.find("leadership_gained").is_some()).unwrap_or(0);
            record.now(format!("{} is killed", nodes[leader].name));
            nodes.remove(leader);
        }
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.store.put("op/config", &configuration(2, "booking"));
    let acknowledged = Instant::now();
    record.now("the store acknowledges version 2: /open/ and /keyed/ go to booking");
    tokio::time::sleep(Duration::from_secs(14)).await;
    let exchanges = caller.end();
    let ran_at: BTreeMap<String, &str> = [("booking", &cluster.bookings), ("pool", &cluster.engines)]
        .into_iter()
        .flat_map(|(service, runners)| {
            let seen = runners.iter().flat_map(|runner| runner.seen());
            seen.filter(|seen| seen.ran).map(move |seen| (seen.id, service))
        })
        .collect();
    let bound = (acknowledged + CONFIG_APPLY).max(silent_at + CONTACT);
    record.at(bound, "from here on version 2 has to be in force");
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
    for node in &nodes {
        let events = ["store_lost", "store_regained", "configuration_applied", "leadership_gained", "leadership_lost"];
        for (at, line) in node.lines_with(&events) {
            record.at(at, format!("log of {}: {line}", node.name));
        }
    }
    let last = last_old.map_or(String::new(), |at| {
        format!(", the last one {:.2} s after the silence began", (at - silent_at).as_secs_f64())
    });
    let broken = old > 0;
    let verdict = format!(
        "{}: of {asked} requests after the bound, {old} were run by the service of the older version{last}",
        if broken { "BROKEN" } else { "held" },
    );
    record.write(folder, &verdict)?;
    Ok(broken)
}
