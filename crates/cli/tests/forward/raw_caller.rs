//! A caller with a single connection that observes exactly how each request ends.

use std::{net::SocketAddr, time::Duration};

use paddlemount_platform_standin::{
    Cluster,
    cluster::{HOST, KEY},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

/// Upper bound of the wait for more bytes of an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
const READ_BUFFER_BYTES: usize = 16 << 10;
const MAX_HEADERS: usize = 64;

/// How a request ended from the caller's view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    Complete {
        status: u16,
        headers: http::HeaderMap,
        /// The body without the transfer encoding.
        body: String,
        /// Whether the node closes the connection after the answer.
        closes: bool,
        /// The value of `retry-after`, if any.
        retry_after: Option<String>,
    },
    /// The connection ended or stalled before the answer was complete; holds the received part.
    Cut(String),
}

impl Ending {
    pub const fn is_complete(&self) -> bool {
        matches!(self, Self::Complete { .. })
    }
}

pub struct RawCaller {
    stream: TcpStream,
    received: Vec<u8>,
}

impl RawCaller {
    pub async fn connect(callers: SocketAddr) -> Self {
        Self::try_connect(callers).await.expect("a connection comes up")
    }

    /// Opens a connection; `None` if the node refuses it.
    pub async fn try_connect(callers: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(callers).await.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self { stream, received: Vec::new() })
    }

    /// Returns whether the node has not closed the connection as far as the caller can observe.
    pub fn is_open(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        matches!(read, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Sends a request with the default body.
    pub async fn send(&mut self, path: &str, id: &str) {
        self.send_body(path, id, "the body").await;
    }

    /// Sends a request with a body.
    pub async fn send_body(&mut self, path: &str, id: &str, body: &str) {
        self.write(&head_of(path, id, body.len())).await;
        self.write(body.as_bytes()).await;
    }

    /// Sends the head of a request with a body of `length` bytes.
    pub async fn send_head(&mut self, path: &str, id: &str, length: usize) {
        self.write(&head_of(path, id, length)).await;
    }

    /// Sends bytes. A closed connection is detected when the answer is read.
    pub async fn write(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes).await;
    }

    /// Waits for the end of the answer or of the connection.
    pub async fn ending(&mut self) -> Ending {
        loop {
            if let Some(complete) = self.complete_answer() {
                return complete;
            }
            let mut bytes = vec![0; READ_BUFFER_BYTES];
            match timeout(ANSWER_TIMEOUT, self.stream.read(&mut bytes)).await {
                Ok(Ok(count)) if count > 0 => self.received.extend_from_slice(&bytes[..count]),
                _ => return Ending::Cut(String::from_utf8_lossy(&self.received).into_owned()),
            }
        }
    }

    /// Sends a request and waits for its end.
    pub async fn call(&mut self, path: &str, id: &str) -> Ending {
        self.send(path, id).await;
        self.ending().await
    }

    fn complete_answer(&mut self) -> Option<Ending> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        let httparse::Status::Complete(head) = parsed.parse(&self.received).expect("a valid response head")
        else {
            return None;
        };
        let header = |name: &str| {
            let found = parsed.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
            Some(String::from_utf8_lossy(found.value).into_owned())
        };
        let status = parsed.code.expect("a status code");
        let closes = header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        let retry_after = header("retry-after");
        let all = headers_of(&parsed);
        let body_bytes = &self.received[head..];
        let (body, length) = match header("content-length") {
            Some(length) => {
                let length = length.parse().expect("a valid content-length");
                (body_bytes.get(..length)?.to_vec(), length)
            }
            None => decode_chunked(body_bytes)?,
        };
        self.received.drain(..head + length);
        let body = String::from_utf8_lossy(&body).into_owned();
        Some(Ending::Complete { status, headers: all, body, closes, retry_after })
    }
}

fn headers_of(parsed: &httparse::Response) -> http::HeaderMap {
    let pairs = parsed.headers.iter().map(|header| {
        let name = http::HeaderName::from_bytes(header.name.as_bytes()).expect("a header's name");
        (name, http::HeaderValue::from_bytes(header.value).expect("a header's value"))
    });
    pairs.collect()
}

fn head_of(path: &str, id: &str, length: usize) -> Vec<u8> {
    let mut text = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n{}: {id}\r\n{}: 9000\r\n\
         Content-Length: {length}\r\n",
        Cluster::REQUEST_ID,
        Cluster::DEADLINE,
    );
    if path.starts_with("/chat/") || path.starts_with("/claim/") {
        for (name, value) in Cluster::prompt_headers() {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
    }
    text.push_str("\r\n");
    text.into_bytes()
}

/// Decodes a chunked body and returns it with its encoded length; `None` if it is incomplete.
fn decode_chunked(mut bytes: &[u8]) -> Option<(Vec<u8>, usize)> {
    let (mut body, all) = (Vec::new(), bytes.len());
    loop {
        let httparse::Status::Complete((digits, size)) = httparse::parse_chunk_size(bytes).ok()? else {
            return None;
        };
        let size = usize::try_from(size).ok()?;
        let chunk = bytes.get(digits..digits + size)?;
        body.extend_from_slice(chunk);
        bytes = bytes.get(digits + size + 2..)?;
        if size == 0 {
            return Some((body, all - bytes.len()));
        }
    }
}

/// A complete event of a stand-in engine's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    pub id: u64,
    /// The software version that wrote it.
    pub software: String,
    pub text: String,
}

/// The complete events of a body.
pub fn parse_events(body: &str) -> Vec<Event> {
    let complete = body.split_inclusive("\n\n").filter(|text| text.ends_with("\n\n"));
    let parse = |text: &str| {
        let id = text.strip_prefix("id: ")?.split('\n').next()?.parse().ok()?;
        let software = text.trim_end().rsplit_once(" by ")?.1.to_owned();
        Some(Event { id, software, text: text.to_owned() })
    };
    complete.filter_map(parse).collect()
}
