//! Response and body helpers shared by the servers of a node.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use paddlemount_forward::request_bodies::{ArrivingBody, NoMemory};
use paddlemount_protocol::{identity::TenantId, refusal::RefusalCode};
use serde::Serialize;
use xitca_web::{
    body::{BodyExt, RequestBody},
    http::{HeaderValue, StatusCode, WebResponse, header},
};

use crate::state::NodeState;

/// Why a request body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    #[error("the body is longer than {0} bytes")]
    TooLarge(usize),
    #[error("the body did not arrive within {} ms", .0.as_millis())]
    Timeout(Duration),
    #[error("the connection broke before the end of the body")]
    Broken,
    #[error(transparent)]
    NoMemory(#[from] NoMemory),
}

impl BodyError {
    /// The code of the refusal that follows.
    pub const fn code(self) -> RefusalCode {
        match self {
            Self::TooLarge(_) => RefusalCode::TooLarge,
            Self::Timeout(_) | Self::Broken => RefusalCode::InvalidRequest,
            Self::NoMemory(_) => RefusalCode::Overloaded,
        }
    }
}

/// Reads a body of at most `limit` bytes within `timeout`.
///
/// # Errors
///
/// Any [`BodyError`].
pub async fn read_body(body: RequestBody, limit: usize, timeout: Duration) -> Result<Bytes, BodyError> {
    match tokio::time::timeout(timeout, collect(body, limit)).await {
        Ok(body) => body,
        Err(_) => Err(BodyError::Timeout(timeout)),
    }
}

async fn collect(mut body: RequestBody, limit: usize) -> Result<Bytes, BodyError> {
    let mut bytes_read = BytesMut::new();
    while let Some(data) = std::pin::Pin::new(&mut body).data().await {
        let data = data.map_err(|_| BodyError::Broken)?;
        if bytes_read.len() + data.len() > limit {
            return Err(BodyError::TooLarge(limit));
        }
        bytes_read.extend_from_slice(&data);
    }
    Ok(bytes_read.freeze())
}

/// Reads the body of a caller's request, within the limits and the memory for all of them. One that is announced as too
/// large is not read at all.
///
/// # Errors
///
/// Any [`BodyError`].
pub async fn receive_body(
    state: &NodeState,
    body: RequestBody,
    tenant: TenantId,
    announced_bytes: Option<usize>,
) -> Result<ArrivingBody, BodyError> {
    let (max_bytes, timeout) = (state.settings.limits.body_bytes, state.settings.timeouts.body);
    if announced_bytes.is_some_and(|bytes| bytes > max_bytes) {
        return Err(BodyError::TooLarge(max_bytes));
    }
    let receiving = receive(state, body, tenant, announced_bytes);
    tokio::time::timeout(timeout, receiving).await.unwrap_or(Err(BodyError::Timeout(timeout)))
}

async fn receive(
    state: &NodeState,
    mut body: RequestBody,
    tenant: TenantId,
    announced_bytes: Option<usize>,
) -> Result<ArrivingBody, BodyError> {
    let max_bytes = state.settings.limits.body_bytes;
    let mut arriving = state.request_bodies.begin(Some(tenant), announced_bytes, state.clock.now());
    let mut received_bytes = 0;
    loop {
        let mut body = std::pin::Pin::new(&mut body);
        let data = arriving.receive(body.data(), || state.clock.now()).await?;
        let Some(data) = data else { return Ok(arriving) };
        let data = data.map_err(|_| BodyError::Broken)?;
        received_bytes += data.len();
        if received_bytes > max_bytes {
            return Err(BodyError::TooLarge(max_bytes));
        }
        arriving.push(&data, state.clock.now())?;
    }
}

/// Builds a JSON response.
pub fn json_answer<T: Serialize>(status: u16, body: &T) -> WebResponse {
    let (status, bytes) = match serde_json::to_vec(body) {
        Ok(bytes) => (StatusCode::from_u16(status), bytes),
        Err(error) => {
            log::error!("cannot encode an answer as JSON: {error}");
            (Ok(StatusCode::INTERNAL_SERVER_ERROR), Vec::new())
        }
    };
    let mut response = WebResponse::new(bytes.into());
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
