//! Listeners, and the responses for readiness and metrics.

use std::{convert::Infallible, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpSocket};

use crate::{
    answers::{AnswerBody, full_body},
    node::Node,
};

/// The maximum length of the queue of pending connections.
const BACKLOG: u32 = 1_024;
/// The delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The kernel's receive buffer of each connection, in bytes. What has arrived and is not read counts as memory of the
/// machine; by default the kernel lets it grow to megabytes for each sender that is faster than the node.
pub const RECEIVE_BUFFER_BYTES: u32 = 16 << 10;

/// Opens a listener.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    bind(socket, address)
}

/// Opens a listener whose connections have small receive buffers.
pub fn listen_for_callers(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    // Accepted connections inherit it. A system without the option still serves.
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    bind(socket, address)
}

fn bind(socket: TcpSocket, address: SocketAddr) -> std::io::Result<TcpListener> {
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Answers every request on a listener with the response from `answer`.
pub async fn serve_simple(
    listener: TcpListener,
    answer: impl Fn() -> Response<AnswerBody> + Clone + 'static,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let answer = answer.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |_: Request<Incoming>| {
                let answer = answer();
                async move { Ok::<_, Infallible>(answer) }
            });
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// The readiness response.
pub fn readiness_answer(node: &Node) -> Response<AnswerBody> {
    let (status, text) = match node.readiness() {
        Ok(()) => (StatusCode::OK, "ready"),
        Err(why) => (StatusCode::SERVICE_UNAVAILABLE, why),
    };
    let mut answer = Response::new(full_body(Bytes::from_static(text.as_bytes())));
    *answer.status_mut() = status;
    answer
}

/// The metrics response, in the Prometheus text format.
pub fn metrics_answer(node: &Node) -> Response<AnswerBody> {
    let mut answer = Response::new(full_body(Bytes::from(node.metrics.render(&node.gauges()))));
    let kind = HeaderValue::from_static("text/plain; version=0.0.4");
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    answer
}
