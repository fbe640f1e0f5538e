//! A caller that speaks HTTP/1.1 on a new connection for each request.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinHandle,
};

use paddlemount_platform_standin::cluster::{HOST, KEY};

/// How long a caller waits for an answer, as it tells the node.
const CALLER_TIME: Duration = Duration::from_secs(2);

/// A whole answer, as a caller received it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

/// A request and what became of it.
#[derive(Clone, Debug)]
pub struct Exchange {
    pub id: String,
    pub node: String,
    pub path: String,
    pub sent: Instant,
    /// `None` if no whole answer came.
    pub answer: Option<Answer>,
}

/// Status of a GET without further headers.
pub async fn get(address: SocketAddr, path: &str) -> Option<u16> {
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    send(address, &request, Duration::from_secs(1)).await.map(|answer| answer.status)
}

/// Sends a request as a whole, and reads one answer until `timeout`.
pub async fn send(address: SocketAddr, request: &str, timeout: Duration) -> Option<Answer> {
    tokio::time::timeout(timeout, exchange(address, request)).await.ok().flatten()
}

async fn exchange(address: SocketAddr, request: &str) -> Option<Answer> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(end) = find(&bytes, b"\r\n\r\n") {
            break end + 4;
        }
        if !fill(&mut stream, &mut bytes).await {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).to_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = header(&head, "content-length").and_then(|value| value.parse::<usize>().ok());
    let is_chunked = header(&head, "transfer-encoding").is_some_and(|value| value.contains("chunked"));
    let complete = loop {
        let body = &bytes[head_end..];
        let whole = match length {
            Some(length) => body.len() >= length,
            None if is_chunked => body.ends_with(b"0\r\n\r\n"),
            None => false,
        };
        if whole {
            break true;
        }
        if !fill(&mut stream, &mut bytes).await {
            break false;
        }
    };
    complete.then_some(Answer { status, body: bytes[head_end..].to_vec() })
}

async fn fill(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> bool {
    let mut part = [0; 8 << 10];
    match stream.read(&mut part).await {
        Ok(count) if count > 0 => {
            bytes.extend_from_slice(&part[..count]);
            true
        }
        _ => false,
    }
}

/// The value of a header in a lower-case head.
fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.find(|(key, _)| *key == name).map(|(_, value)| value.trim())
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

/// Callers that go on until they are ended, and what they have sent.
#[derive(Default)]
pub struct Caller {
    sent: Arc<Mutex<Vec<Exchange>>>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
    begun: AtomicUsize,
}

impl Caller {
    /// Calls a node at `path` again and again, without waiting for the answers. Paths below `/open/` need no key.
    pub fn begin(&self, node: &str, address: SocketAddr, path: &str, interval: Duration) {
        let series = self.begun.fetch_add(1, Ordering::Relaxed);
        let (node, path, sent) = (node.to_owned(), path.to_owned(), Arc::clone(&self.sent));
        let task = tokio::spawn(async move {
            for number in 0_u32.. {
                let id = format!("{node}-{series}-{number}");
                tokio::spawn(call(id, node.clone(), address, path.clone(), Arc::clone(&sent)));
                tokio::time::sleep(interval).await;
            }
        });
        if let Ok(mut tasks) = self.tasks.lock() {
            tasks.push(task);
        }
    }

    /// Ends all callers, and returns what they have sent and got an answer to, or waited for in vain.
    pub fn end(&self) -> Vec<Exchange> {
        if let Ok(mut tasks) = self.tasks.lock() {
            tasks.drain(..).for_each(|task| task.abort());
        }
        self.sent.lock().map(|mut sent| std::mem::take(&mut *sent)).unwrap_or_default()
    }
}

async fn call(
    id: String,
    node: String,
    address: SocketAddr,
    path: String,
    sent_all: Arc<Mutex<Vec<Exchange>>>,
) {
    let key =
        if path.starts_with("/open/") { String::new() } else { format!("Authorization: Bearer {KEY}\r\n") };
    let deadline = CALLER_TIME.as_millis();
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Request-Deadline-Ms: {deadline}\r\n{key}\r\n"
    );
    let sent = Instant::now();
    let answer = send(address, &request, CALLER_TIME).await;
    let exchange = Exchange { id, node, path, sent, answer };
    if let Ok(mut all) = sent_all.lock() {
        all.push(exchange);
    }
}
