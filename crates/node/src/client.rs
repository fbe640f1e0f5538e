//! A pooled HTTP/1.1 client with JSON bodies and timeouts.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};

/// Limit on the size of a JSON answer.
pub const MAX_ANSWER_BYTES: usize = 16 << 20;

const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_IDLE_CONNECTIONS_PER_HOST: usize = 64;
const MAX_ERROR_BYTES: usize = 64 << 10;
/// Bytes read ahead of a slow caller, for each stream.
const STREAM_BUFFER_BYTES: usize = 16 << 10;

/// An HTTP client for back ends, the platform and other nodes.
#[derive(Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    single_use: Client<HttpConnector, Full<Bytes>>,
}

/// Why a request to another process failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The connection was not established, so nothing was sent.
    #[error("cannot connect to {address}: {message}")]
    Connect { address: SocketAddr, message: String },
    /// The connection failed after the request may have been sent.
    #[error("connection to {address} failed: {message}")]
    Broken { address: SocketAddr, message: String },
    /// No answer arrived in time; the request may have been sent.
    #[error("no answer from {address} within {} ms", .after.as_millis())]
    Timeout { address: SocketAddr, after: Duration },
    /// The answer's status is not a success.
    #[error("{address} answered {status}")]
    Status {
        address: SocketAddr,
        status: StatusCode,
        /// The body, empty if it exceeds the limit or could not be read.
        body: Bytes,
    },
    /// The answer could not be read.
    #[error("cannot read the answer of {address}: {message}")]
    Unreadable { address: SocketAddr, message: String },
}

impl ClientError {
    /// Whether the request was certainly not sent.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::Connect { .. })
    }
}

impl HttpClient {
    /// Creates a client.
    pub fn new(connect_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        let build = |idle_connections| {
            Client::builder(TokioExecutor::new())
                .pool_timer(TokioTimer::new())
                .pool_idle_timeout(IDLE_TIMEOUT)
                .pool_max_idle_per_host(idle_connections)
                .http1_max_buf_size(STREAM_BUFFER_BYTES)
                .retry_canceled_requests(false)
                .build(connector.clone())
        };
        Self { client: build(MAX_IDLE_CONNECTIONS_PER_HOST), single_use: build(0) }
    }

    /// A client that opens a new connection for each request, for requests that must not be retried.
    ///
    /// A server may close an idle connection just as a request is sent on it. The client cannot distinguish
    /// this from a request that ran and whose answer was lost. A new connection avoids this.
    pub fn single_use(&self) -> Self {
        Self { client: self.single_use.clone(), single_use: self.single_use.clone() }
    }

    /// Sends a request and returns the response head, which must arrive within `first_byte`.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`]; a status other than success is [`ClientError::Status`].
    pub async fn open(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        first_byte: Duration,
    ) -> Result<Response<Incoming>, ClientError> {
        let sent = tokio::time::timeout(first_byte, self.client.request(request)).await;
        let response = match sent {
            Err(_) => return Err(ClientError::Timeout { address, after: first_byte }),
            Ok(Err(error)) => return Err(classify(address, &error)),
            Ok(Ok(response)) => response,
        };
        if response.status().is_success() {
            return Ok(response);
        }
        let status = response.status();
        let limited = Limited::new(response.into_body(), MAX_ERROR_BYTES).collect();
        let body = match tokio::time::timeout(first_byte, limited).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) | Err(_) => Bytes::new(),
        };
        Err(ClientError::Status { address, status, body })
    }

    /// Posts JSON and reads a JSON answer within `timeout`.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`].
    pub async fn post_json<B: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &B,
        timeout: Duration,
    ) -> Result<A, ClientError> {
        self.fetch_json(address, json_request(address, path, body)?, timeout).await
    }

    /// Sends a GET request and reads a JSON answer within `timeout`.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`].
    pub async fn get_json<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<A, ClientError> {
        let builder = Request::builder().method(Method::GET).uri(format!("http://{address}{path}"));
        self.fetch_json(address, with_body(address, builder, Bytes::new())?, timeout).await
    }

    /// Sends a prepared request and reads a JSON answer within `timeout`.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`].
    pub async fn fetch_json<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<A, ClientError> {
        let answer = async {
            let response = self.open(address, request, timeout).await?;
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
            let body =
                body.map_err(|error| ClientError::Broken { address, message: error.to_string() })?.to_bytes();
            serde_json::from_slice(&body)
                .map_err(|error| ClientError::Unreadable { address, message: error.to_string() })
        };
        match tokio::time::timeout(timeout, answer).await {
            Ok(answer) => answer,
            Err(_) => Err(ClientError::Timeout { address, after: timeout }),
        }
    }
}

/// Builds a POST request with a JSON body.
///
/// # Errors
///
/// [`ClientError::Unreadable`] if the body cannot be encoded.
pub fn json_request<B: Serialize>(
    address: SocketAddr,
    path: &str,
    body: &B,
) -> Result<Request<Full<Bytes>>, ClientError> {
    let body = serde_json::to_vec(body)
        .map_err(|error| ClientError::Unreadable { address, message: error.to_string() })?;
    let builder = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{path}"))
        .header(header::CONTENT_TYPE, "application/json");
    with_body(address, builder, Bytes::from(body))
}

fn with_body(
    address: SocketAddr,
    builder: http::request::Builder,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, ClientError> {
    builder
        .body(Full::new(body))
        .map_err(|error| ClientError::Unreadable { address, message: error.to_string() })
}

fn classify(address: SocketAddr, error: &hyper_util::client::legacy::Error) -> ClientError {
    let message = with_causes(error);
    if error.is_connect() {
        ClientError::Connect { address, message }
    } else {
        ClientError::Broken { address, message }
    }
}

fn with_causes(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
