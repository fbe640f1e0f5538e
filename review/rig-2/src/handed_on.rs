//! A node that does not reach the only runner of a service hands requests on to another node, which has lost the path
//! to the store and still has the older configuration in force.

use std::{
    collections::BTreeMap,
    net::Ipv4Addr,
    path::PathBuf,
    time::{Duration, Instant},
};

use paddlemount_platform_standin::{
    Cluster, Cut, Partition,
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
/// `srv_cut`: how long the runner loses the path to one machine.
const SERVER_CUT: Duration = Duration::from_millis(5_000);
/// `configApplyMs`.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
const CALL_INTERVAL: Duration = Duration::from_millis(100);

/// A configuration in which requests below `/open/`, which need no key, and below `/keyed/` go to `service`.
fn configuration(version: u64, service: &str) -> Value {
    let route = |name: &str, service: &str, is_open: bool| {
        json!({
            "name": name, "host": HOST, "pathPrefix": format!("/{name}/"), "kind": "unsafe", "timeoutMs": 2000,
            "targetLatencyMs": 300, "priority": 0, "service": service, "retryAttempts": 2,
            "allowAnonymous": is_open, "sessionAffinity": false, "resumable": false,
        })
    };
    json!({
        "version": version,
        "routes": [route("open", service, true), route("keyed", service, false), route("hold", "booking", false)],
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
    // Five runners: four of the pool, one of the booking service.
    let cluster = Cluster::start_with(4, 1).await.map_err(text)?;
    let paths = Partition::default();
    let link = Proxy::start_for_runner(&cluster.bookings[0], &paths).await.map_err(text)?;
    cluster.register_at(&cluster.bookings[0], "ready", link.address);
    cluster.store.put("op/config", &configuration(1, "pool"));
    record.now("the operator writes version 1: /open/ and /keyed/ go to pool, /hold/ to booking");
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
    for path in ["/open/a", "/keyed/a", "/hold/a"] {
        caller.begin("node-a", node.callers, path, CALL_INTERVAL);
    }
    tokio::time::sleep(Duration::from_secs(3)).await;

    let cut_at = Instant::now();
    if trouble {
        paths.cut(second_source, Cut::Silent);
        leader_link.set(LinkFault::Silent);
        record.now("the runner of booking loses the path to node-a; node-b loses the path to the store");
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    cluster.store.put("op/config", &configuration(2, "booking"));
    let acknowledged = Instant::now();
    record.now("the store acknowledges version 2: /open/ and /keyed/ go to booking");
    tokio::time::sleep(SERVER_CUT.saturating_sub(cut_at.elapsed())).await;
    let until = Instant::now();
    if trouble {
        paths.heal(second_source);
        record.now("the runner of booking has the path to node-a again");
    }
    tokio::time::sleep(CORE_CUT.saturating_sub(cut_at.elapsed())).await;
    if trouble {
        leader_link.set(LinkFault::None);
        record.now("node-b has the path to the store again");
    }
    tokio::time::sleep(Duration::from_secs(4)).await;

    let exchanges = caller.end();
    let ran_at: BTreeMap<String, &str> = [("booking", &cluster.bookings), ("pool", &cluster.engines)]
        .into_iter()
        .flat_map(|(service, runners)| {
            let seen = runners.iter().flat_map(|runner| runner.seen());
            seen.filter(|seen| seen.ran).map(move |seen| (seen.id, service))
        })
        .collect();
    let bound = acknowledged + CONFIG_APPLY;
    record.at(bound, "from here on version 2 has to be in force at node-a");
    let (mut asked, mut old, mut last_old) = (0, 0, None);
    for Exchange { id, node, path, sent, answer, .. } in &exchanges {
        let service = ran_at.get(id).copied().unwrap_or("nowhere");
        let status = answer.as_ref().map_or("no answer".into(), |answer| answer.status.to_string());
        record.at(*sent, format!("{id} GET {path} to {node}: {status}, run by {service}"));
        if *sent < bound || path.starts_with("/hold/") {
            continue;
        }
        asked += 1;
        if service == "pool" {
            old += 1;
            last_old = Some(*sent);
        }
    }
    for node in [&leader, &node] {
        let events = [
            "store_lost",
            "store_regained",
            "configuration_applied",
            "path_lost",
            "path_regained",
            "leadership_gained",
            "leadership_lost",
            "readiness_changed",
        ];
        for (at, line) in node.lines_with(&events) {
            record.at(at, format!("log of {}: {line}", node.name));
        }
    }
    let last = last_old.map_or(String::new(), |at| {
        format!(", the last one {:.1} s after the acknowledgement", (at - acknowledged).as_secs_f64())
    });
    let broken = old > 0;
    let verdict = format!(
        "{}: of {asked} requests that node-a took after the bound, {old} were run by the service of the older \
         version{last}; cut for {:.1} s",
        if broken { "BROKEN" } else { "held" },
        (until - cut_at).as_secs_f64(),
    );
    record.write(folder, &verdict)?;
    Ok(broken)
}
