//! Callers that upload bodies and then stay connected, whatever the answer is.

use std::{net::SocketAddr, time::Duration};

use tokio::{io::AsyncWriteExt, net::TcpStream, time::timeout};

/// Concurrent callers of a crowd.
pub const CALLERS: usize = 48;
/// One of so many callers completes its body.
const COMPLETING_ONE_IN: usize = 4;
/// After this time a caller sends no more.
const UPLOAD_TIMEOUT: Duration = Duration::from_secs(10);

/// What each caller of a crowd sends.
#[derive(Clone, Debug)]
pub struct Upload {
    /// The head, complete with its blank line; `{caller}` stands for the caller's number.
    pub head: String,
    /// The body with its framing.
    pub body: Vec<u8>,
    /// Bytes of each write.
    pub write_bytes: usize,
    /// Whether most callers leave out the last byte of the body.
    pub stops_short: bool,
}

/// The connections of callers that have sent what they had to send.
pub struct Crowd {
    _connections: Vec<TcpStream>,
}

impl Crowd {
    /// Opens a connection for each of so many callers and waits until each has sent its upload or can send no more.
    pub async fn upload(address: SocketAddr, callers: usize, upload: &Upload) -> Self {
        let callers = (0..callers).map(|caller| upload.send(address, caller));
        let connections = futures_util::future::join_all(callers).await;
        Self { _connections: connections.into_iter().flatten().collect() }
    }
}

impl Upload {
    /// Returns the connection, which stays open; `None` if there is none.
    async fn send(&self, address: SocketAddr, caller: usize) -> Option<TcpStream> {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let omitted = usize::from(self.stops_short && !caller.is_multiple_of(COMPLETING_ONE_IN));
        let body = &self.body[..self.body.len() - omitted];
        let head = self.head.replace("{caller}", &caller.to_string());
        let upload = async {
            stream.write_all(head.as_bytes()).await?;
            for piece in body.chunks(self.write_bytes) {
                stream.write_all(piece).await?;
                tokio::task::yield_now().await;
            }
            std::io::Result::Ok(())
        };
        // A caller that is refused, or not read any more, stays connected all the same.
        let _ = timeout(UPLOAD_TIMEOUT, upload).await;
        Some(stream)
    }
}

/// A body in chunks of this size, without its end.
pub fn chunks(body_bytes: usize, chunk_bytes: usize) -> Vec<u8> {
    let mut chunk = format!("{chunk_bytes:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + chunk_bytes, b'x');
    chunk.extend_from_slice(b"\r\n");
    chunk.repeat(body_bytes / chunk_bytes)
}

/// Ends a chunked body.
pub fn with_end(mut chunks: Vec<u8>) -> Vec<u8> {
    chunks.extend_from_slice(b"0\r\n\r\n");
    chunks
}
