//! Calls with whole bodies: to the metadata store, and to engines' own interfaces.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};

use crate::{
    clock::SteadyClock,
    connection::{Connection, ConnectionError},
};

/// The time in which a connection for a call must come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Idle connections kept to one address.
const MAX_IDLE: usize = 3;

/// Why a call has no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection failed.
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    /// No whole answer came in time. What was asked for may have been done, or may yet be.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
    /// The answer broke off or is too large.
    #[error("no whole answer: {0}")]
    Body(String),
}

/// Calls to one address, over few kept connections.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    clock: SteadyClock,
    idle: RefCell<Vec<Connection>>,
}

impl Client {
    /// Calls to `address`.
    pub const fn new(address: SocketAddr, clock: SteadyClock) -> Self {
        Self { address, clock, idle: RefCell::new(Vec::new()) }
    }

    /// Makes a call. A connection on which an answer was lost is never used again.
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
        let whole = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        let body = whole.map_err(|error| CallError::Body(error.to_string()))?.to_bytes();
        self.recycle(connection).await;
        Ok(Response::from_parts(parts, body))
    }

    async fn connection(&self) -> Result<Connection, ConnectionError> {
        while let Some(connection) = self.idle.borrow_mut().pop() {
            if connection.is_ready() {
                return Ok(connection);
            }
        }
        Connection::open(self.address, CONNECT_TIMEOUT, self.clock.now()).await
    }

    async fn recycle(&self, mut connection: Connection) {
        if connection.becomes_ready().await && self.idle.borrow().len() < MAX_IDLE {
            self.idle.borrow_mut().push(connection);
        }
    }
}
