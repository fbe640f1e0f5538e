//! A node hands streams on to another one, which is stopped as planned and declines one request. Callers keep their
//! connections.

use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use paddlemount_platform_standin::{
    Cluster, Cut, Partition,
    cluster::{HOST, KEY},
    proxy::Proxy,
};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
};

use crate::{
    node::{Node, Place},
    record::Record,
};

/// `srv_cut`: how long the runners lose the path to one machine.
const SERVER_CUT: Duration = Duration::from_millis(5_000);
/// When the other machine is stopped, after that.
const STOP_AFTER: Duration = Duration::from_millis(700);
/// How long an engine works before the first event.
const WORK_TIME: Duration = Duration::from_millis(150);
const CALLERS: usize = 40;
/// How long callers wait, as they say: as long as the route allows.
const CALLER_TIME: Duration = Duration::from_secs(4);

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// A whole answer with this status.
    Whole(u16),
    /// The connection ended in the middle of the answer.
    Cut,
    /// The connection ended without a byte.
    Nothing,
    /// Neither, within the caller's time.
    Waited,
}

struct Sent {
    id: String,
    at: Instant,
    ended: Instant,
    /// Whether the connection had brought an answer before.
    kept: bool,
    end: End,
}

fn configuration() -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "claim", "host": HOST, "pathPrefix": "/claim/", "kind": "streaming", "timeoutMs": 4000,
            "targetLatencyMs": 400, "priority": 0, "service": "pool", "retryAttempts": 2,
            "allowAnonymous": false, "sessionAffinity": false, "resumable": true, "gapTargetMs": 500,
        }],
        "services": [
            {"name": "pool", "healthPath": "/health", "maxConnections": 100,
             "engine": {"slots": 32, "kvCacheTokens": 1_000_000, "models": [{"name": "m0"}]}},
            {"name": "booking", "healthPath": "/health", "maxConnections": 100},
        ],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 65_536, "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000},
        "tenants": [{"name": "alpha", "apiKeys": [KEY], "priority": 1, "isolated": false}],
    })
}

/// Sends one stream after the other, on one connection as long as it lives.
async fn call(number: usize, address: SocketAddr, all: Arc<Mutex<Vec<Sent>>>) {
    let (mut connection, mut kept) = (None, false);
    for round in 0_u32.. {
        if connection.is_none() {
            connection = TcpStream::connect(address).await.ok();
            kept = false;
        }
        let Some(stream) = &mut connection else { return };
        let id = format!("claim-{number}-{round}");
        let mut request = format!(
            "GET /claim/{number} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Request-Deadline-Ms: {}\r\n\
             Authorization: Bearer {KEY}\r\n",
            CALLER_TIME.as_millis()
        );
        for (name, value) in Cluster::prompt_headers() {
            request.push_str(&format!("{name}: {value}\r\n"));
        }
        request.push_str("\r\n");
        let at = Instant::now();
        let read = tokio::time::timeout(CALLER_TIME, exchange(stream, &request)).await;
        let end = read.unwrap_or(End::Waited);
        if let Ok(mut all) = all.lock() {
            all.push(Sent { id, at, ended: Instant::now(), kept, end });
        }
        kept = true;
        if !matches!(end, End::Whole(_)) {
            connection = None;
        }
        let pause = if end == End::Whole(200) { 20 } else { 100 };
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

async fn exchange(stream: &mut TcpStream, request: &str) -> End {
    if stream.write_all(request.as_bytes()).await.is_err() {
        return End::Nothing;
    }
    let mut bytes = Vec::new();
    loop {
        let mut part = [0; 4 << 10];
        match stream.read(&mut part).await {
            Ok(count) if count > 0 => bytes.extend_from_slice(&part[..count]),
            _ if bytes.is_empty() => return End::Nothing,
            _ => return End::Cut,
        }
        let text = String::from_utf8_lossy(&bytes);
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        let length = head.to_lowercase().lines().find_map(|line| {
            line.strip_prefix("content-length:").and_then(|value| value.trim().parse::<usize>().ok())
        });
        let whole = match length {
            Some(length) => body.len() >= length,
            None => body.ends_with("0\r\n\r\n"),
        };
        if whole {
            return End::Whole(status);
        }
    }
}

/// An address at which a runner's answers come later by [`WORK_TIME`].
async fn work_before(runner: SocketAddr) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(relay_late(stream, runner));
        }
    });
    Ok(address)
}

async fn relay_late(node: TcpStream, runner: SocketAddr) -> std::io::Result<()> {
    let (mut from_node, mut to_node) = node.into_split();
    let (mut from_runner, mut to_runner) = TcpStream::connect(runner).await?.into_split();
    let (sender, mut receiver) = mpsc::unbounded_channel::<(Instant, Vec<u8>)>();
    let read = async move {
        let mut part = [0; 16 << 10];
        while let Ok(count @ 1..) = from_runner.read(&mut part).await {
            if sender.send((Instant::now() + WORK_TIME, part[..count].to_vec())).is_err() {
                break;
            }
        }
        drop(sender);
        std::future::pending::<()>().await;
    };
    let write = async move {
        while let Some((at, bytes)) = receiver.recv().await {
            tokio::time::sleep_until(at.into()).await;
            if to_node.write_all(&bytes).await.is_err() {
                break;
            }
        }
    };
    // Whichever side closes first ends both.
    tokio::select! {
        _ = tokio::io::copy(&mut from_node, &mut to_runner) => {}
        () = read => {}
        () = write => {}
    }
    Ok(())
}

pub async fn play(folder: &str, trouble: bool) -> Result<bool, String> {
    let scratch = PathBuf::from(std::env::var("SCRATCH").map_err(|_| "SCRATCH is not set")?);
    let mut record = Record::new();
    // Twenty runners: four engines of the pool, sixteen of the booking service.
    let cluster = Cluster::start_with(4, 16).await.map_err(|error| error.to_string())?;
    cluster.set_target_version(1);
    let paths = Partition::default();
    for engine in &cluster.engines {
        let link = Proxy::start_for_runner(engine, &paths).await.map_err(|error| error.to_string())?;
        link.set_target(work_before(engine.address).await.map_err(|error| error.to_string())?);
        cluster.register_at(engine, "ready", link.address);
    }
    cluster.store.put("op/config", &configuration());
    let (first_source, second_source) = (Ipv4Addr::new(127, 0, 0, 41), Ipv4Addr::new(127, 0, 0, 42));
    let place = |source| Place { store: cluster.store_address, source: Some(source), peers: None };
    let mut other = Node::start("node-b", place(first_source), &scratch).await?;
    let node = Node::start("node-a", place(second_source), &scratch).await?;
    tokio::time::sleep(Duration::from_secs(6)).await;
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let callers: Vec<_> =
        (0..CALLERS).map(|number| tokio::spawn(call(number, node.callers, Arc::clone(&sent)))).collect();
    tokio::time::sleep(Duration::from_secs(3)).await;

    let cut_at = Instant::now();
    if trouble {
        paths.cut(second_source, Cut::Silent);
        record.now("the four runners of the pool lose the path to node-a");
    }
    tokio::time::sleep(STOP_AFTER).await;
    other.terminate()?;
    let stopped_at = Instant::now();
    record.now("node-b gets SIGTERM");
    tokio::time::sleep(SERVER_CUT.saturating_sub(cut_at.elapsed())).await;
    if trouble {
        paths.heal(second_source);
        record.now("the runners of the pool have the path to node-a again");
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    callers.iter().for_each(|caller| caller.abort());

    let passed_on: BTreeSet<String> = cluster
        .engines
        .iter()
        .flat_map(|engine| engine.seen())
        .filter(|seen| seen.ran)
        .map(|seen| seen.id)
        .collect();
    let (mut lost, mut cut, mut asked) = (0, 0, 0);
    let sent = sent.lock().map_err(|_| "the callers have failed")?;
    for Sent { id, at, ended, kept, end } in sent.iter() {
        let ran = if passed_on.contains(id) { "run" } else { "not run" };
        record.at(*at, format!("{id} is sent to node-a"));
        record.at(
            *ended,
            format!("{id} ends: {end:?}, {ran}, on a {} connection", if *kept { "kept" } else { "new" }),
        );
        asked += 1;
        if *ended < stopped_at || !passed_on.contains(id) {
            continue;
        }
        lost += usize::from(*kept && *end == End::Nothing);
        cut += usize::from(*end == End::Cut);
    }
    for node in [&node, &other] {
        let events = ["service_path_lost", "service_path_regained", "stopping", "attempt_ended"];
        for (at, line) in node.lines_with(&events) {
            record.at(at, format!("log of {}: {line}", node.name));
        }
    }
    let broken = lost > 3;
    let verdict = format!(
        "{}: of {asked} requests, {lost} on kept connections were run by a sound runner and got no byte of an answer before \
         their connection was closed (3 are allowed); {cut} more were cut off in their answer",
        if broken { "BROKEN" } else { "held" },
    );
    record.write(folder, &verdict)?;
    Ok(broken)
}
