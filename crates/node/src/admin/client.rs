//! A client of the administration interface.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use paddlemount_language::answer::{Answer, QueryError, WatchLine};
use paddlemount_protocol::header::DEADLINE_MS;

use crate::client::{ClientError, HttpClient, MAX_ANSWER_BYTES};

const MAX_LINE_BYTES: usize = MAX_ANSWER_BYTES;
/// Added to the members' deadline for the answer itself. A change may take 14 s to settle.
const ANSWER_MARGIN: Duration = Duration::from_secs(20);

/// Why a query failed.
#[derive(Debug, thiserror::Error)]
pub enum AdminClientError {
    /// The node refused the statement.
    #[error("{}", .0.error)]
    Refused(Box<QueryError>),
    /// The request failed, or its answer could not be read.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The key is not a valid header value.
    #[error("the key has characters that a header cannot carry")]
    Key,
}

/// A client of one node's administration interface.
pub struct AdminClient {
    client: HttpClient,
    node: SocketAddr,
    key: String,
    deadline: Duration,
}

impl AdminClient {
    /// Creates a client of the administration interface at `node`. Other nodes have until `deadline` to reply
    /// to that node.
    pub fn new(node: SocketAddr, key: String, deadline: Duration) -> Self {
        Self { client: HttpClient::new(deadline), node, key, deadline }
    }

    /// Runs a statement other than `watch`.
    ///
    /// # Errors
    ///
    /// Any [`AdminClientError`].
    pub async fn query(&self, statement: &str) -> Result<Answer, AdminClientError> {
        let response = self.open(statement).await?;
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect();
        let address = self.node;
        let broken = |message: String| ClientError::Broken { address, message };
        let body = tokio::time::timeout(self.timeout(), body).await;
        let body = body.map_err(|_| ClientError::Timeout { address, after: self.timeout() })?;
        let body = body.map_err(|error| broken(error.to_string()))?.to_bytes();
        let answer = serde_json::from_slice(&body);
        Ok(answer.map_err(|error| ClientError::Unreadable { address, message: error.to_string() })?)
    }

    /// Starts a `watch` stream.
    ///
    /// # Errors
    ///
    /// Any [`AdminClientError`].
    pub async fn watch(&self, statement: &str) -> Result<WatchStream, AdminClientError> {
        let response = self.open(statement).await?;
        Ok(WatchStream { address: self.node, body: response.into_body(), buffer: Vec::new() })
    }

    fn timeout(&self) -> Duration {
        self.deadline + ANSWER_MARGIN
    }

    async fn open(&self, statement: &str) -> Result<Response<Incoming>, AdminClientError> {
        let address = self.node;
        let request = Request::post(format!("http://{address}/admin/query"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header(header::CONTENT_TYPE, "text/plain; charset=utf-8")
            .header(DEADLINE_MS, self.deadline.as_millis().to_string())
            .body(Full::new(Bytes::from(statement.to_owned())))
            .map_err(|_| AdminClientError::Key)?;
        match self.client.open(address, request, self.timeout()).await {
            Ok(response) => Ok(response),
            Err(ClientError::Status { address, status, body }) => match serde_json::from_slice(&body) {
                Ok(query_error) => Err(AdminClientError::Refused(Box::new(query_error))),
                Err(_) => Err(ClientError::Status { address, status, body }.into()),
            },
            Err(error) => Err(error.into()),
        }
    }
}

/// The lines of a `watch` stream.
pub struct WatchStream {
    address: SocketAddr,
    body: Incoming,
    buffer: Vec<u8>,
}

impl WatchStream {
    /// The next line; none if the server has ended the stream.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or a line cannot be parsed.
    pub async fn line(&mut self) -> Result<Option<WatchLine>, ClientError> {
        let address = self.address;
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                let line = serde_json::from_slice(&line);
                return line
                    .map(Some)
                    .map_err(|error| ClientError::Unreadable { address, message: error.to_string() });
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                let message = format!("a line is longer than {MAX_LINE_BYTES} bytes");
                return Err(ClientError::Unreadable { address, message });
            }
            match self.body.frame().await {
                None => return Ok(None),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(error)) => {
                    return Err(ClientError::Broken { address, message: error.to_string() });
                }
            }
        }
    }
}
