//! Listens for callers, for questions of readiness, and for metrics.

use std::{cell::Cell, convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
};

use crate::{
    answers::{AnswerBody, whole},
    caller_stream::CallerStream,
    exchange,
    node::Node,
};

/// New connections that wait to be taken.
const BACKLOG: u32 = 1_024;
/// The pause after a connection could not be taken, as when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// The least buffer that a head is read into, in bytes.
const LEAST_BUFFER: usize = 16 << 10;
/// How much longer than callers are told an idle connection stays open.
const IDLE_SLACK: Duration = Duration::from_secs(5);

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopStage {
    /// Callers are served.
    Serving,
    /// Callers are served, and told to come on another connection next time.
    Leaving,
    /// What runs is served to its end; idle connections are closed.
    Closing,
    /// The grace period is over: what still runs is cut off.
    Over,
}

/// Opens a listener.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Takes callers until the stop has come to [`StopStage::Closing`].
pub async fn serve_callers(
    node: Rc<Node>,
    listener: TcpListener,
    stage: watch::Receiver<StopStage>,
    open: Rc<Cell<usize>>,
) {
    let mut closing = stage.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|stage| *stage >= StopStage::Closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let (node, stage, open) = (Rc::clone(&node), stage.clone(), Rc::clone(&open));
                open.set(open.get() + 1);
                tokio::task::spawn_local(async move {
                    serve_connection(node, stream, stage).await;
                    open.set(open.get() - 1);
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_connection(node: Rc<Node>, stream: TcpStream, mut stage: watch::Receiver<StopStage>) {
    let stream = CallerStream::new(stream, Rc::clone(&node));
    let limits = node.beliefs.borrow().table.as_ref().map(|table| table.limits()).unwrap_or_default();
    let seen = stage.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (node, seen) = (Rc::clone(&node), seen.clone());
        async move {
            let mut answer = exchange::serve(node, request).await;
            if *seen.borrow() != StopStage::Serving {
                answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let mut connection = std::pin::pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout + IDLE_SLACK)
            .max_buf_size((limits.header_bytes * 2).max(LEAST_BUFFER))
            .serve_connection(TokioIo::new(stream), service)
    );
    let ended = tokio::select! {
        _ = connection.as_mut() => true,
        _ = stage.wait_for(|stage| *stage >= StopStage::Closing) => false,
    };
    if ended {
        return;
    }
    connection.as_mut().graceful_shutdown();
    // How a connection ends is told by the requests on it.
    tokio::select! {
        _ = connection => {}
        _ = stage.wait_for(|stage| *stage == StopStage::Over) => {}
    }
}

/// Answers every request on a listener with what `answer` gives.
pub async fn serve_simple(
    listener: TcpListener,
    answer: impl Fn() -> Response<AnswerBody> + Clone + 'static,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
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

/// The answer to the question whether callers should be sent here.
pub fn readiness_answer(node: &Node) -> Response<AnswerBody> {
    let (status, text) = match node.readiness() {
        Ok(()) => (StatusCode::OK, "ready"),
        Err(why) => (StatusCode::SERVICE_UNAVAILABLE, why),
    };
    let mut answer = Response::new(whole(Bytes::from_static(text.as_bytes())));
    *answer.status_mut() = status;
    answer
}

/// The metrics as text.
pub fn metrics_answer(node: &Node) -> Response<AnswerBody> {
    let mut answer = Response::new(whole(Bytes::from(node.metrics.render(&node.gauges()))));
    let kind = HeaderValue::from_static("text/plain; version=0.0.4");
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    answer
}
