//! A runner fails part of the unsafe requests that it has run, with a status that callers take for a promise, but
//! without the header by which a runner says that it has not run a request.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use paddlemount_platform_standin::{
    Cluster, Pace,
    cluster::{HOST, KEY},
    http::{Incoming, answer},
};
use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::{
    caller::{Caller, Exchange},
    node::{Node, Place},
    record::Record,
};

/// `srv_grey`: how long, and which share of its requests the runner fails: two in five.
const GREY: Duration = Duration::from_millis(6_500);
const FAILS: [bool; 5] = [true, false, true, false, false];
const WORK: Duration = Duration::from_millis(60);
const CALL_INTERVAL: Duration = Duration::from_millis(50);
const RUNNER: &str = "booking-grey";

/// What the runner has run: the id, when, and the status of its answer.
type Runs = Arc<Mutex<Vec<(String, Instant, u16)>>>;

fn configuration() -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "hold", "host": HOST, "pathPrefix": "/hold/", "kind": "unsafe", "timeoutMs": 2000,
            "targetLatencyMs": 300, "priority": 0, "service": "booking", "retryAttempts": 1,
            "allowAnonymous": false, "sessionAffinity": false, "resumable": false,
        }],
        "services": [{"name": "booking", "healthPath": "/health", "maxConnections": 100}],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 65_536, "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000},
        "tenants": [{"name": "alpha", "apiKeys": [KEY], "priority": 1, "isolated": false}],
    })
}

/// Serves one connection of the runner.
async fn serve(mut incoming: Incoming, is_grey: Arc<AtomicBool>, runs: Runs) {
    while let Ok(Some(request)) = incoming.request().await {
        let id = request.header("x-request-id").to_owned();
        let headers =
            [("X-Request-Id", id.as_str()), ("X-Server-Signature", "sig-grey"), ("X-Instance-Id", RUNNER)];
        if request.header("x-expected-instance") != RUNNER {
            let refusal = [&headers[..], &[("X-Not-Executed", "1")]].concat();
            if incoming.write(&answer(421, &refusal, b"")).await.is_err() {
                return;
            }
            continue;
        }
        let number = runs.lock().map(|runs| runs.len()).unwrap_or_default();
        let status = if is_grey.load(Ordering::Relaxed) && FAILS[number % FAILS.len()] { 503 } else { 200 };
        if let Ok(mut runs) = runs.lock() {
            runs.push((id.clone(), Instant::now(), status));
        }
        tokio::time::sleep(WORK).await;
        let body: &[u8] = if status == 200 { b"booked" } else { b"booked, but the receipt failed" };
        if incoming.write(&answer(status, &headers, body)).await.is_err() {
            return;
        }
    }
}

async fn start_runner(is_grey: &Arc<AtomicBool>, runs: &Runs) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").await.map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    let (is_grey, runs) = (Arc::clone(is_grey), Arc::clone(runs));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(Incoming::new(stream), Arc::clone(&is_grey), Arc::clone(&runs)));
        }
    });
    Ok(address)
}

pub async fn play(folder: &str, trouble: bool) -> Result<bool, String> {
    let scratch = PathBuf::from(std::env::var("SCRATCH").map_err(|_| "SCRATCH is not set")?);
    let mut record = Record::new();
    // Six sound runners, and the one that will be grey: a seventh.
    let cluster = Cluster::start_with(3, 3).await.map_err(|error| error.to_string())?;
    let pace = Pace { work_time: WORK, ..Pace::default() };
    cluster.bookings.iter().for_each(|runner| runner.set_pace(pace));
    let (is_grey, runs) = (Arc::new(AtomicBool::new(false)), Runs::default());
    let address = start_runner(&is_grey, &runs).await?;
    let entry = json!({
        "service": "booking", "address": address.to_string(), "zone": "z1", "version": "v1", "slots": 8,
        "state": "ready", "coldRemainingMs": 0, "sequence": 1,
    });
    cluster.store.put(&format!("servers/{RUNNER}"), &entry);
    cluster.store.put("op/config", &configuration());
    record.now("the operator writes version 1: /hold/ is unsafe");
    let place = Place { store: cluster.store_address, source: None, peers: None };
    let node = Node::start("node-1", place, &scratch).await?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let caller = Caller::default();
    caller.begin(&node.name, node.callers, "/hold/a", CALL_INTERVAL);
    tokio::time::sleep(Duration::from_secs(2)).await;
    if trouble {
        is_grey.store(true, Ordering::Relaxed);
        record.now("one of seven runners begins to fail two in five of its requests");
    }
    tokio::time::sleep(GREY).await;
    is_grey.store(false, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let exchanges = caller.end();
    let grey: BTreeMap<String, u16> = runs
        .lock()
        .map(|runs| runs.iter().map(|(id, _, status)| (id.clone(), *status)).collect())
        .unwrap_or_default();
    let (mut promised, mut failed) = (0, 0);
    for Exchange { id, path, sent, answer, .. } in &exchanges {
        let status = answer.as_ref().map_or("no answer".into(), |answer| answer.status.to_string());
        let run = grey
            .get(id)
            .map_or(String::new(), |status| format!(", run by {RUNNER}, which answered {status}"));
        record.at(*sent, format!("{id} GET {path}: {status}{run}"));
        let has_run = grey.contains_key(id);
        failed += usize::from(grey.get(id) == Some(&503));
        promised += usize::from(has_run && matches!(status.as_str(), "503" | "429" | "408" | "421"));
    }
    let broken = promised > 0;
    let verdict = format!(
        "{}: of {} unsafe requests, {failed} were run and failed by the runner; {promised} requests that have run were \
         answered with a status that promises that they have not",
        if broken { "BROKEN" } else { "held" },
        exchanges.len(),
    );
    record.write(folder, &verdict)?;
    Ok(broken)
}
