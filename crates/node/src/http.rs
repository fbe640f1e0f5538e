//! Response and body helpers shared by the servers of a node.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use serde::Serialize;
use xitca_web::{
    body::{BodyExt, RequestBody},
    http::{HeaderValue, StatusCode, WebResponse, header},
};

/// Why a request body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    #[error("the body is longer than {0} bytes")]
    TooLarge(usize),
    #[error("the body did not arrive within {} ms", .0.as_millis())]
    Timeout(Duration),
    #[error("the connection broke before the end of the body")]
    Broken,
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
