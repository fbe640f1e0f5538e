//! A runner that answers without a length crashes in the middle of an answer.

use std::{
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use paddlemount_platform_standin::{
    Cluster,
    cluster::{HOST, KEY},
};
use serde_json::{Value, json};

use crate::{
    caller,
    node::{Node, Place, free_address, note_process},
    record::Record,
    runner_process::{FIRST_PART, LONG, SECOND_PART},
};

/// How often a runner crashes.
const CRASH_COUNT: usize = 20;
/// When it is killed, after the request was sent: the first part of its answer is on its way.
const CRASH_AFTER: Duration = Duration::from_millis(300);
/// The connections that other callers have to the runner: fewer than `maxConnections`.
const OTHER_CONNECTIONS: usize = 90;

/// Ends the process when dropped.
struct RunnerProcess(Child);

impl Drop for RunnerProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn configuration() -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "quote", "host": HOST, "pathPrefix": "/quote/", "kind": "safe", "timeoutMs": 2000,
            "targetLatencyMs": 300, "priority": 0, "service": "quotes", "retryAttempts": 1,
            "allowAnonymous": false, "sessionAffinity": false, "resumable": false,
        }],
        "services": [{"name": "quotes", "healthPath": "/health", "maxConnections": 100}],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 65_536, "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000},
        "tenants": [{"name": "alpha", "apiKeys": [KEY], "priority": 1, "isolated": false}],
    })
}

pub async fn play(folder: &str, trouble: bool) -> Result<bool, String> {
    let scratch = PathBuf::from(std::env::var("SCRATCH").map_err(|_| "SCRATCH is not set")?);
    let mut record = Record::new();
    let cluster = Cluster::start().await.map_err(|error| error.to_string())?;
    cluster.store.put("op/config", &configuration());
    let place = Place { store: cluster.store_address, source: None, peers: None };
    let node = Node::start("node-1", place, &scratch).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    let (mut answered, mut cut, mut asked) = (0, 0, 0);
    for number in 0..CRASH_COUNT {
        let id = format!("quotes-{number}");
        let address: SocketAddr = free_address()?;
        let child = Command::new(&program)
            .args(["runner", &address.to_string(), &id])
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| error.to_string())?;
        note_process(&scratch, child.id());
        let mut runner = RunnerProcess(child);
        tokio::time::sleep(Duration::from_millis(200)).await;
        let others: Vec<_> =
            (0..OTHER_CONNECTIONS).filter_map(|_| TcpStream::connect(address).ok()).collect();
        let entry = json!({
            "service": "quotes", "address": address.to_string(), "zone": "z1", "version": "v1", "slots": 8,
            "state": "ready", "coldRemainingMs": 0, "sequence": 1,
        });
        cluster.store.put(&format!("servers/{id}"), &entry);
        record.now(format!("{id} is listed"));
        tokio::time::sleep(Duration::from_millis(900)).await;
        let request = format!(
            "GET {LONG} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: request-{number}\r\nX-Request-Deadline-Ms: 2000\r\n\
             Authorization: Bearer {KEY}\r\n\r\n"
        );
        let sent = Instant::now();
        asked += 1;
        let crash = async {
            tokio::time::sleep(CRASH_AFTER).await;
            if trouble {
                let _ = runner.0.kill();
            }
        };
        let (answer, ()) = tokio::join!(caller::send(node.callers, &request, Duration::from_secs(2)), crash);
        let status = answer.as_ref().map_or("no answer".into(), |answer| answer.status.to_string());
        let body = answer
            .as_ref()
            .map(|answer| String::from_utf8_lossy(&answer.body).into_owned())
            .unwrap_or_default();
        record.at(sent, format!("request-{number} GET {LONG}: {status}, {body:?}"));
        if status == "200" {
            answered += 1;
            cut += usize::from(body != format!("{FIRST_PART}{SECOND_PART}"));
        }
        drop(others);
        cluster.store.remove(&format!("servers/{id}"));
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let broken = cut > 0;
    let verdict = format!(
        "{}: of {asked} requests, {answered} got a whole answer with 200; in {cut} of these the second half of the runner's \
         body was missing",
        if broken { "BROKEN" } else { "held" },
    );
    record.write(folder, &verdict)?;
    Ok(broken)
}
