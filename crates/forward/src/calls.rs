//! HTTP calls with complete bodies: to the metadata store and to the own interfaces of engines.

use std::{
    cell::RefCell,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;

use crate::{
    answer_buffer::AnswerMemory,
    clock::SteadyClock,
    connection::{Connection, ConnectionError},
};

/// How long a connection for a call may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Idle connections kept per address.
const MAX_IDLE: usize = 3;

/// Why a call has no response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    /// No complete response arrived in time. The call may have been executed, or may yet be.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
    /// The body broke off or is too large.
    #[error("incomplete answer: {0}")]
    Body(String),
}

/// An HTTP client for one address with a few idle connections.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    /// The local address of its connections; `None` to let the system choose.
    source: Option<IpAddr>,
    clock: SteadyClock,
    idle: RefCell<Vec<Connection>>,
    memory: AnswerMemory,
}

impl Client {
    /// A client for `address`, whose answers have a memory of their own.
    pub fn new(address: SocketAddr, clock: SteadyClock) -> Self {
        let (idle, memory) = (RefCell::default(), AnswerMemory::for_calls());
        Self { address, source: None, clock, idle, memory }
    }

    /// The same client with a memory that it shares with others.
    pub fn with_memory(self, memory: &AnswerMemory) -> Self {
        Self { memory: memory.clone(), ..self }
    }

    /// The same client with connections from the local address `source`, if one is given.
    pub fn with_source(mut self, source: Option<IpAddr>) -> Self {
        self.source = source;
        self
    }

    /// Makes a call. A connection whose response was lost is not reused.
    pub async fn call(
        &self,
        request: Request<Bytes>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let answer = self.clock.timeout(timeout, self.exchange(request)).await;
        answer.ok_or(CallError::Timeout(timeout))?
    }

    async fn exchange(&self, request: Request<Bytes>) -> Result<Response<Bytes>, CallError> {
        let mut connection = self.connection().await?;
        let (mut parts, body) = request.into_parts();
        if let Ok(host) = http::HeaderValue::from_str(&self.address.to_string()) {
            parts.headers.insert(http::header::HOST, host);
        }
        let answer = connection.send(Request::from_parts(parts, Full::new(body))).await?;
        let (parts, body) = answer.into_parts();
        let body = self.memory.read(body).await.map_err(|error| CallError::Body(error.to_string()))?;
        self.recycle(connection).await;
        Ok(Response::from_parts(parts, body))
    }

    async fn connection(&self) -> Result<Connection, ConnectionError> {
        while let Some(connection) = self.idle.borrow_mut().pop() {
            if connection.is_ready() {
                return Ok(connection);
            }
        }
        Connection::open_from(self.source, self.address, CONNECT_TIMEOUT, self.clock.now()).await
    }

    async fn recycle(&self, mut connection: Connection) {
        if connection.becomes_ready().await && self.idle.borrow().len() < MAX_IDLE {
            self.idle.borrow_mut().push(connection);
        }
    }
}
