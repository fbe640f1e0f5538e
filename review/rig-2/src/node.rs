//! Starts forwarding nodes as processes, with the command of the deploy file.

use std::{
    fs::OpenOptions,
    io::{BufRead, BufReader, Write},
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use serde_json::Value;

use crate::caller;

/// How long a node may take to start and to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// A running node; killed when dropped.
pub struct Node {
    child: Child,
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
    _settings: PathBuf,
}

/// Where a node is.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// Where it reaches the store.
    pub store: SocketAddr,
    /// The address from which it calls runners; `None` to let the system choose.
    pub source: Option<Ipv4Addr>,
    /// Where other nodes reach it; `None` for a free port.
    pub peers: Option<SocketAddr>,
}

/// A loopback address that is free now.
pub fn free_address() -> Result<SocketAddr, String> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    listener.local_addr().map_err(|error| error.to_string())
}

/// Settings as the platform fills them in for a machine of a small deployment.
fn settings(name: &str, Place { store, source, peers }: Place) -> String {
    let source = source.map_or(String::new(), |source| format!("source_address = \"{source}\"\n"));
    let peers = peers.map_or("127.0.0.1:0".into(), |address| address.to_string());
    format!(
        "{source}node = \"{name}\"\nzone = \"z1\"\n\
         [listen]\ncallers = \"127.0.0.1:0\"\nreadiness = \"127.0.0.1:0\"\nmetrics = \"127.0.0.1:0\"\n\
         peers = \"{peers}\"\n\
         [store]\naddress = \"{store}\"\nshortest_lease_ms = 1000\n\
         [bounds]\nconfiguration_ms = 2000\nrevocation_ms = 5000\nrevocation_fails_closed = true\n\
         grace_s = 8\nretry_share = 0.2\nretry_window_s = 10\nretry_slack = 54\nlease_ms = 3000\ndrain_ms = 2000\n\
         weights_ms = 8000\n\
         [load]\nweigh_transfers = true\nadmission = true\nshare_performance = true\n\
         [limits]\nmemory_mb = 260\ndescriptors = 4100\nlink_mbps = 1000\nprocessor_share = 0.25\n"
    )
}

impl Node {
    /// Starts a node at a place, and waits until it is ready.
    pub async fn start(name: &str, place: Place, scratch: &Path) -> Result<Self, String> {
        let path = scratch.join(format!("{name}.settings"));
        std::fs::write(&path, settings(name, place)).map_err(|error| error.to_string())?;
        let mut child = Command::new("target/release/paddlemount")
            .args(["forward", "--settings"])
            .arg(&path)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| format!("target/release/paddlemount: {error}"))?;
        note_process(scratch, child.id());
        let output = child.stdout.take().ok_or("no output")?;
        let lines: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
        let kept = Arc::clone(&lines);
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if let Ok(mut lines) = kept.lock() {
                    lines.push((Instant::now(), line));
                }
            }
        });
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut node =
            Self { child, name: name.into(), callers: unset, readiness: unset, lines, _settings: path };
        let began = Instant::now();
        while began.elapsed() < START_TIMEOUT {
            if let Some(started) = node.find("started") {
                node.callers = address(&started, "callers")?;
                node.readiness = address(&started, "readiness")?;
                if caller::get(node.readiness, "/api/readiness").await == Some(200) {
                    return Ok(node);
                }
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Err(format!("{name} did not become ready"))
    }

    /// Sends SIGTERM, as a planned restart does.
    pub fn terminate(&mut self) -> Result<(), String> {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-TERM", &id]).status().map_err(|error| error.to_string())?;
        if status.success() { Ok(()) } else { Err(format!("kill -TERM {id} fails")) }
    }

    /// The last log line with this event.
    pub fn find(&self, event: &str) -> Option<Value> {
        let lines = self.lines.lock().ok()?;
        let mut values = lines.iter().filter_map(|(_, line)| serde_json::from_str::<Value>(line).ok());
        values.rfind(|value| value["event"] == event)
    }

    /// The log lines with one of these events, and when they were read.
    pub fn lines_with(&self, events: &[&str]) -> Vec<(Instant, String)> {
        let Ok(lines) = self.lines.lock() else { return Vec::new() };
        let has = |line: &str| events.iter().any(|event| line.contains(&format!("\"event\":\"{event}\"")));
        lines.iter().filter(|(_, line)| has(line)).cloned().collect()
    }
}

/// Notes a process for the script, which ends those that are left.
pub fn note_process(scratch: &Path, id: u32) {
    let file = OpenOptions::new().create(true).append(true).open(scratch.join("processes"));
    if let Ok(mut file) = file {
        let _ = writeln!(file, "{id}");
    }
}

fn address(started: &Value, field: &str) -> Result<SocketAddr, String> {
    let text = started[field].as_str().unwrap_or_default();
    text.parse().map_err(|_| format!("no address in {started}"))
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
