//! Response bodies: server-sent events, and complete JSON bodies.
//!
//! A body holds its request's [`ActiveGuard`] until its last byte has left the server's buffer: after the
//! last data it returns `Pending` once, which makes the server flush, and only then ends. A graceful stop
//! that waits for the guards therefore truncates no answer.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::{BufMut, Bytes, BytesMut};
use paddlemount_protocol::{
    caller::{ChatChunk, ChunkChoice, ChunkDelta, ErrorBody},
    identity::{ModelId, RequestId},
    refusal::{Refusal, RefusalCode},
};
use serde::Serialize;
use tokio::{
    sync::mpsc::Receiver,
    time::{Sleep, sleep, timeout},
};
use xitca_web::{
    body::{Body, Frame, ResponseBody, SizeHint},
    http::{HeaderValue, WebResponse, header},
};

use super::{
    answer::refuse,
    chat::{reason_text, usage_of},
};
use crate::{active::ActiveGuard, exchange::Output, http::json_answer, state::NodeState};

/// Interval of heartbeat comments on an idle stream, by which the server detects disconnected callers. The
/// first one follows the admission, as a refusal can no longer be sent as a status after it.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
const HEARTBEAT: &[u8] = b": waiting\n\n";
const DONE: &[u8] = b"data: [DONE]\n\n";
/// Bytes of events combined into one write.
const MAX_WRITE_BYTES: usize = 8 << 10;

/// The fields that all chunks of an answer share.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    pub request: RequestId,
    pub model: ModelId,
    /// Seconds since the Unix epoch.
    pub created: u64,
}

/// A streamed answer; a refusal before the admission or before the first heartbeat is sent with its own status.
pub async fn streamed(
    state: &Arc<NodeState>,
    head: &AnswerHead,
    mut output: Receiver<Output>,
    guard: ActiveGuard,
) -> WebResponse {
    let first = match first_output(&mut output).await {
        Some(Output::Refused(refusal)) => return refuse(state, &head.request, &refusal),
        first => first,
    };
    let mut body = EventBody {
        state: Arc::clone(state),
        head: head.clone(),
        output,
        ending: Ending::Open,
        heartbeat: Box::pin(sleep(HEARTBEAT_INTERVAL)),
        buffer: BytesMut::new(),
        _guard: guard,
    };
    body.open();
    if let Some(first) = first {
        body.add(first);
    }
    let mut response = WebResponse::new(ResponseBody::boxed(body));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

/// The first output after the admission, or a refusal in its place; none when a heartbeat is due before it.
async fn first_output(output: &mut Receiver<Output>) -> Option<Output> {
    match output.recv().await {
        Some(Output::Admitted) => timeout(HEARTBEAT_INTERVAL, output.recv()).await.ok().flatten(),
        unadmitted => unadmitted,
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Ending {
    /// The answer is incomplete.
    Open,
    /// The last event is buffered.
    Last,
    /// The last event was passed to the server.
    Flushing,
    /// The server has flushed everything.
    Done,
}

/// The events of a streamed answer.
struct EventBody {
    state: Arc<NodeState>,
    head: AnswerHead,
    output: Receiver<Output>,
    ending: Ending,
    heartbeat: Pin<Box<Sleep>>,
    buffer: BytesMut,
    _guard: ActiveGuard,
}

impl EventBody {
    fn open(&mut self) {
        let delta = ChunkDelta { role: Some("assistant".into()), content: None };
        self.chunk(delta, None, None);
    }

    fn chunk(
        &mut self,
        delta: ChunkDelta,
        finish_reason: Option<String>,
        usage: Option<paddlemount_protocol::caller::Usage>,
    ) {
        let chunk = ChatChunk {
            id: self.head.request.clone(),
            object: "chat.completion.chunk".into(),
            created: self.head.created,
            model: self.head.model.clone(),
            choices: vec![ChunkChoice { index: 0, delta, finish_reason }],
            usage,
        };
        self.event(&chunk);
    }

    fn event<T: Serialize>(&mut self, event: &T) {
        self.buffer.put_slice(b"data: ");
        if let Err(error) = serde_json::to_writer((&mut self.buffer).writer(), event) {
            log::error!("cannot encode an event as JSON: {error}");
        }
        self.buffer.put_slice(b"\n\n");
    }

    fn add(&mut self, output: Output) {
        match output {
            Output::Admitted | Output::Started => {}
            Output::Token(text) => self.chunk(ChunkDelta { role: None, content: Some(text) }, None, None),
            Output::Finished { tokens, reason, usage } => {
                let usage = usage_of(usage, tokens);
                self.chunk(ChunkDelta::default(), Some(reason_text(reason).into()), Some(usage));
                self.buffer.put_slice(DONE);
                self.ending = Ending::Last;
                self.state.metrics.requests.completed.increment(1);
            }
            Output::Refused(refusal) => self.fail(refusal),
        }
    }

    /// Ends the stream with an error and without `[DONE]`.
    fn fail(&mut self, refusal: Refusal) {
        self.state.metrics.requests.record_refusal(&refusal);
        let body = ErrorBody { error: refusal, request_id: self.head.request.clone() };
        self.event(&body);
        self.ending = Ending::Last;
    }

    /// Buffers available outputs, up to one write.
    fn poll_output(&mut self, context: &mut Context<'_>) {
        while self.ending == Ending::Open && self.buffer.len() < MAX_WRITE_BYTES {
            match self.output.poll_recv(context) {
                Poll::Ready(Some(output)) => self.add(output),
                Poll::Ready(None) => {
                    self.fail(Refusal::unknown(RefusalCode::Internal, "the request ended without an ending"));
                }
                Poll::Pending => break,
            }
        }
        if self.ending == Ending::Open
            && self.buffer.is_empty()
            && self.heartbeat.as_mut().poll(context).is_ready()
        {
            self.buffer.put_slice(HEARTBEAT);
        }
    }

    fn take_buffer(&mut self) -> Bytes {
        if self.ending == Ending::Last {
            self.ending = Ending::Flushing;
        }
        self.heartbeat.as_mut().reset(tokio::time::Instant::now() + HEARTBEAT_INTERVAL);
        self.buffer.split().freeze()
    }
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.poll_output(context);
        if !self.buffer.is_empty() {
            return Poll::Ready(Some(Ok(Frame::Data(self.take_buffer()))));
        }
        match self.ending {
            Ending::Flushing => {
                self.ending = Ending::Done;
                context.waker().wake_by_ref();
                Poll::Pending
            }
            Ending::Done => Poll::Ready(None),
            Ending::Open | Ending::Last => Poll::Pending,
        }
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

/// A JSON answer that counts as active until it has been written.
pub fn guarded_json<T: Serialize>(body: &T, guard: ActiveGuard) -> WebResponse {
    let bytes = match serde_json::to_vec(body) {
        Ok(bytes) => Bytes::from(bytes),
        Err(error) => {
            log::error!("cannot encode an answer as JSON: {error}");
            let refusal = Refusal::unknown(RefusalCode::Internal, "the answer cannot be encoded");
            return json_answer(500, &refusal);
        }
    };
    let body = JsonBody { bytes: Some(bytes), flushed: false, _guard: guard };
    let mut response = WebResponse::new(ResponseBody::boxed(body));
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// A body of known length.
struct JsonBody {
    bytes: Option<Bytes>,
    flushed: bool,
    _guard: ActiveGuard,
}

impl Body for JsonBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if let Some(bytes) = self.bytes.take() {
            return Poll::Ready(Some(Ok(Frame::Data(bytes))));
        }
        if !self.flushed {
            self.flushed = true;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(None)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::Exact(self.bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
    }
}
