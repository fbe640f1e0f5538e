//! Two nodes lose the path to the store for 4 s while the operator changes a large configuration in quick
//! succession. Afterwards both reach the store again, and must have the newest configuration in force.

use std::{
    collections::BTreeMap,
    path::PathBuf,
    time::{Duration, Instant},
};

use paddlemount_platform_standin::{
    Cluster,
    cluster::{HOST, KEY},
    proxy::{LinkFault, Proxy},
};
use serde_json::{Value, json};

use crate::{
    caller::{Caller, Exchange},
    node::{Node, Place},
    record::Record,
};

/// `core_cut` with `race`: how long two machines at once are partitioned from the store.
const CUT: Duration = Duration::from_millis(4_000);
/// `config_storm`: a change each 0.33 s for up to 4 s.
const CHANGES: u64 = 11;
const CHANGE_INTERVAL: Duration = Duration::from_millis(330);
/// `big_config`: 350 routes, and how often it came before.
const ADDED_ROUTES: usize = 350 * 9;
/// `valueBytes`: the most that the store takes as one value.
const VALUE_BYTES: usize = 1_048_576;
/// `configApplyMs` and `contactMs`.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
/// How long the nodes are observed after the path is back: less than `historyS`.
const OBSERVED: Duration = Duration::from_secs(12);
/// The pause between two requests of a caller.
const CALL_INTERVAL: Duration = Duration::from_millis(100);

/// A configuration in which requests below `/open/`, which need no key, go to `service`.
fn configuration(version: u64, service: &str) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, is_open: bool| {
        json!({
            "name": name, "host": HOST, "pathPrefix": prefix, "kind": kind, "timeoutMs": 2000,
            "targetLatencyMs": 300, "priority": 0, "service": service, "retryAttempts": 2,
            "allowAnonymous": is_open, "sessionAffinity": false, "resumable": false,
        })
    };
    let mut routes = vec![
        route("open", "/open/", "safe", service, true),
        route("quote", "/quote/", "safe", "booking", false),
    ];
    let added = (0..ADDED_ROUTES).map(|number| {
        route(
            &format!("added-{number:04}"),
            &format!("/added-{number:04}/{version:04}/"),
            "safe",
            "booking",
            false,
        )
    });
    routes.extend(added);
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
    let scratch = PathBuf::from(std::env::var("SCRATCH").map_err(|_| "SCRATCH is not set")?);
    let mut record = Record::new();
    let cluster = Cluster::start().await.map_err(|error| error.to_string())?;
    let first = configuration(1, "booking");
    let bytes = first.to_string().len();
    if bytes > VALUE_BYTES {
        return Err(format!("the configuration has {bytes} bytes"));
    }
    cluster.store.put("op/config", &first);
    record.now(format!("the operator writes version 1: /open/ goes to booking; {bytes} bytes"));
    let mut links = Vec::new();
    let mut nodes = Vec::new();
    for name in ["node-1", "node-2"] {
        let link = Proxy::start(cluster.store_address).await.map_err(|error| error.to_string())?;
        nodes.push(
            Node::start(name, Place { store: link.address, source: None, peers: None }, &scratch).await?,
        );
        links.push(link);
    }
    // Both know each other, and one of them leads.
    tokio::time::sleep(Duration::from_secs(4)).await;

    let caller = Caller::default();
    for node in &nodes {
        caller.begin(&node.name, node.callers, "/open/a", CALL_INTERVAL);
        caller.begin(&node.name, node.callers, "/quote/a", CALL_INTERVAL);
    }
    tokio::time::sleep(Duration::from_secs(2)).await;

    // The last change moves the open route to another service.
    let changes: Vec<(u64, &str, Vec<u8>)> = (2..2 + CHANGES)
        .map(|version| {
            let service = if version == 1 + CHANGES { "pool" } else { "booking" };
            (version, service, configuration(version, service).to_string().into_bytes())
        })
        .collect();

    let cut_at = Instant::now();
    if trouble {
        links.iter().for_each(|link| link.set(LinkFault::Silent));
        record.now("both nodes lose the path to the store");
    }
    let mut acknowledged = Instant::now();
    for (number, (version, service, document)) in changes.iter().enumerate() {
        tokio::time::sleep((CHANGE_INTERVAL * (number as u32 + 1)).saturating_sub(cut_at.elapsed())).await;
        cluster.store.put_bytes("op/config", document);
        acknowledged = Instant::now();
        record.now(format!("the store acknowledges version {version}: /open/ goes to {service}"));
    }
    tokio::time::sleep(CUT.saturating_sub(cut_at.elapsed())).await;
    let healed_at = Instant::now();
    if trouble {
        links.iter().for_each(|link| link.set(LinkFault::None));
        record.now("both nodes have the path to the store again");
    }
    tokio::time::sleep(OBSERVED).await;

    let exchanges = caller.end();
    let ran_at: BTreeMap<String, &str> = [("booking", &cluster.bookings), ("pool", &cluster.engines)]
        .into_iter()
        .flat_map(|(service, runners)| {
            let seen = runners.iter().flat_map(|runner| runner.seen());
            seen.filter(|seen| seen.ran).map(move |seen| (seen.id, service))
        })
        .collect();
    let bound = (acknowledged + CONFIG_APPLY).max(healed_at + if trouble { CONTACT } else { Duration::ZERO });
    record.at(bound, format!("from here on version {} has to be in force at both nodes", 1 + CHANGES));
    let (mut old, mut refused, mut asked, mut last_old) = (0, 0, 0, None);
    for Exchange { id, node, path, sent, answer, .. } in &exchanges {
        let service = ran_at.get(id).copied().unwrap_or("nowhere");
        let status = answer.as_ref().map_or("no answer".into(), |answer| answer.status.to_string());
        record.at(*sent, format!("{id} GET {path} to {node}: {status}, run by {service}"));
        if *sent < bound {
            continue;
        }
        asked += 1;
        if path.starts_with("/open/") && service == "booking" {
            old += 1;
            last_old = Some(*sent);
        }
        refused += usize::from(path.starts_with("/quote/") && status == "503");
    }
    for node in &nodes {
        let events = ["store_lost", "store_regained", "configuration_applied", "readiness_changed"];
        for (at, line) in node.lines_with(&events) {
            record.at(at, format!("log of {}: {line}", node.name));
        }
    }
    let last = last_old.map_or(String::new(), |at| {
        format!(", the last one {:.1} s after the acknowledgement", (at - acknowledged).as_secs_f64())
    });
    let broken = old > 0;
    let verdict = format!(
        "{}: of {asked} requests after the bound, {old} below /open/ were run by the service of the older version{last}; \
         {refused} with a key were refused with 503",
        if broken { "BROKEN" } else { "held" },
    );
    record.write(folder, &verdict)?;
    Ok(broken)
}
