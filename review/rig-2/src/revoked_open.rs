//! The operator takes a key away. Its holder goes on calling a route that needs no key, and one that needs one.

use std::{
    collections::BTreeMap,
    path::PathBuf,
    time::{Duration, Instant},
};

use paddlemount_platform_standin::{
    Cluster,
    cluster::{HOST, KEY},
};
use serde_json::{Value, json};

use crate::{
    caller::{Caller, Exchange},
    node::{Node, Place},
    record::Record,
};

/// `revokeMs`.
const REVOKE: Duration = Duration::from_millis(5_000);
const CALL_INTERVAL: Duration = Duration::from_millis(100);
/// A key that stays.
const OTHER_KEY: &str = "another-key-of-alpha";

/// A configuration with these keys.
fn configuration(version: u64, keys: &[&str]) -> Value {
    let route = |name: &str, is_open: bool| {
        json!({
            "name": name, "host": HOST, "pathPrefix": format!("/{name}/"), "kind": "unsafe", "timeoutMs": 2000,
            "targetLatencyMs": 300, "priority": 0, "service": "booking", "retryAttempts": 1,
            "allowAnonymous": is_open, "sessionAffinity": false, "resumable": false,
        })
    };
    json!({
        "version": version,
        "routes": [route("public", true), route("keyed", false)],
        "services": [{"name": "booking", "healthPath": "/health", "maxConnections": 100}],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 65_536, "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000},
        "tenants": [{"name": "alpha", "apiKeys": keys, "priority": 1, "isolated": false}],
    })
}

pub async fn play(folder: &str, trouble: bool) -> Result<bool, String> {
    let scratch = PathBuf::from(std::env::var("SCRATCH").map_err(|_| "SCRATCH is not set")?);
    let mut record = Record::new();
    let cluster = Cluster::start().await.map_err(|error| error.to_string())?;
    cluster.store.put("op/config", &configuration(1, &[KEY, OTHER_KEY]));
    record.now("the operator writes version 1 with two keys");
    let place = Place { store: cluster.store_address, source: None, peers: None };
    let node = Node::start("node-1", place, &scratch).await?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let caller = Caller::default();
    caller.begin(&node.name, node.callers, "/public/a", CALL_INTERVAL);
    caller.begin(&node.name, node.callers, "/keyed/a", CALL_INTERVAL);
    tokio::time::sleep(Duration::from_secs(2)).await;
    if trouble {
        cluster.store.put("op/config", &configuration(2, &[OTHER_KEY]));
        record.now("the store acknowledges version 2: the callers' key is taken away");
    }
    let acknowledged = Instant::now();
    tokio::time::sleep(REVOKE + Duration::from_secs(6)).await;
    let exchanges = caller.end();
    let ran: BTreeMap<String, String> = cluster
        .bookings
        .iter()
        .flat_map(|runner| runner.seen())
        .filter(|seen| seen.ran)
        .map(|seen| (seen.id, seen.tenant))
        .collect();
    let bound = acknowledged + REVOKE;
    record.at(bound, "from here on no request with that key may run");
    let mut late: BTreeMap<&str, [usize; 2]> = BTreeMap::new();
    for Exchange { id, path, sent, answer, .. } in &exchanges {
        let status = answer.as_ref().map_or("no answer".into(), |answer| answer.status.to_string());
        let run = ran.get(id).map_or("not run".into(), |tenant| format!("run with X-Tenant {tenant:?}"));
        record.at(*sent, format!("{id} GET {path} with the key: {status}, {run}"));
        if *sent >= bound {
            let count = late.entry(path).or_default();
            count[0] += 1;
            count[1] += usize::from(ran.contains_key(id));
        }
    }
    let [open, open_ran] = late.get("/public/a").copied().unwrap_or_default();
    let [keyed, keyed_ran] = late.get("/keyed/a").copied().unwrap_or_default();
    let broken = trouble && open_ran + keyed_ran > 0;
    let verdict = format!(
        "{}: more than {} s after the change, {open_ran} of {open} requests with the key on the route that needs none were \
         run, and {keyed_ran} of {keyed} on the other one",
        if broken { "BROKEN" } else { "held" },
        REVOKE.as_secs(),
    );
    record.write(folder, &verdict)?;
    Ok(broken)
}
