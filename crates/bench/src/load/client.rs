//! A client for requests over TCP to a node or directly to an engine.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use paddlemount_protocol::{
    caller::{ChatChunk, ChatRequest, ErrorBody},
    engine::{EngineRefusal, EngineStatus, Frame, FrameContent, GenerateRequest, Precondition, Priority},
    header as names,
    identity::{AttemptId, RequestId},
    prefix::hash_blocks,
    refusal::RefusalCode,
};

use super::{LoadError, Workload, prompts::Prompt};

/// Prefix of each server-sent event, and the payload of the last one.
const EVENT_PREFIX: &[u8] = b"data: ";
const LAST_EVENT: &[u8] = b"[DONE]";

/// Replaces an unreadable line in an answer's text, so that the answer compares as wrong.
const UNREADABLE_MARKER: char = char::REPLACEMENT_CHARACTER;

/// The target of a request.
#[derive(Clone, Debug)]
pub(super) enum Target {
    Node(SocketAddr),
    Engine(EngineTarget),
}

/// An engine and the precondition for requests to it.
#[derive(Clone, Debug)]
pub(super) struct EngineTarget {
    address: SocketAddr,
    precondition: Precondition,
}

/// The end of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// The complete, expected answer arrived.
    Complete,
    /// A complete answer arrived, but not the expected one.
    Wrong,
    /// The stream ended without its end marker.
    Incomplete,
    Refused(RefusalCode),
    /// An error ended the stream.
    Broken(RefusalCode),
    /// No answer: the connection failed, or an error status had no readable refusal.
    Failed(String),
}

/// Measurements of one request.
#[derive(Clone, Debug)]
pub(super) struct Sample {
    pub(super) through_node: bool,
    /// Planned time since the start of the run.
    pub(super) planned: Duration,
    /// Delay of the sending after the planned time.
    pub(super) lateness: Duration,
    pub(super) ending: Ending,
    /// Times since the planned time.
    pub(super) first_token: Option<Duration>,
    pub(super) total: Duration,
    pub(super) prompt_tokens: u32,
    pub(super) cached_tokens: u32,
}

pub(super) struct LoadClient {
    client: Client<HttpConnector, Full<Bytes>>,
    workload: Workload,
}

/// The part of an answer that was read.
#[derive(Debug, Default)]
pub(super) struct Answer {
    text: String,
    first_token_at: Option<Instant>,
    ended: bool,
    broken: Option<RefusalCode>,
    prompt_tokens: u32,
    cached_tokens: u32,
}

impl LoadClient {
    pub(super) fn new(workload: &Workload) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { client, workload: workload.clone() }
    }

    /// Reads the status of an engine.
    pub(super) async fn engine(&self, address: SocketAddr) -> Result<EngineTarget, LoadError> {
        let failed = |reason: String| LoadError::Engine { address, reason };
        let request = Request::get(format!("http://{address}/status")).body(Full::default());
        let request = request.map_err(|error| failed(error.to_string()))?;
        let response = self.client.request(request).await.map_err(|error| failed(error_chain(&error)))?;
        let body = response.into_body().collect().await.map_err(|error| failed(error.to_string()))?;
        let status: EngineStatus =
            serde_json::from_slice(&body.to_bytes()).map_err(|error| failed(error.to_string()))?;
        let precondition = Precondition {
            engine: status.engine,
            incarnation: status.incarnation,
            model: self.workload.model.clone(),
            weights: self.workload.weights,
            adapter: None,
        };
        Ok(EngineTarget { address, precondition })
    }

    /// Sends a request and reads its answer to the end.
    pub(super) async fn request(
        &self,
        target: Target,
        prompt: Prompt,
        planned: Instant,
        since_start: Duration,
    ) -> Sample {
        let mut answer = Answer::default();
        let lateness = planned.elapsed();
        let deadline = Duration::from_millis(self.workload.deadline_ms);
        let exchange = self.exchange(&target, &prompt, &mut answer);
        let ending = match tokio::time::timeout(deadline, exchange).await {
            Ok(Ok(())) => answer.ending(&prompt),
            Ok(Err(ending)) => ending,
            Err(_) => Ending::Failed("no whole answer within the deadline".to_owned()),
        };
        Sample {
            through_node: matches!(target, Target::Node(_)),
            planned: since_start,
            lateness,
            ending,
            first_token: answer.first_token_at.map(|at| at.saturating_duration_since(planned)),
            total: planned.elapsed(),
            prompt_tokens: answer.prompt_tokens,
            cached_tokens: answer.cached_tokens,
        }
    }

    async fn exchange(&self, target: &Target, prompt: &Prompt, answer: &mut Answer) -> Result<(), Ending> {
        match target {
            Target::Node(address) => {
                let mut body = self.open_stream(*address, prompt).await?;
                read_lines(&mut body, |line| answer.read_event(line)).await
            }
            Target::Engine(engine) => {
                let response = self.send(engine.request(prompt, &self.workload)?).await?;
                let status = response.status();
                let mut body = response.into_body();
                if !status.is_success() {
                    return Err(refused(status, body, |refusal: EngineRefusal| refusal.code).await);
                }
                read_lines(&mut body, |line| answer.read_frame(line)).await
            }
        }
    }

    /// Sends a request to a node and returns the body of its stream once the response has started.
    pub(super) async fn open_stream(&self, node: SocketAddr, prompt: &Prompt) -> Result<Incoming, Ending> {
        let body = ChatRequest {
            model: self.workload.model.clone(),
            messages: prompt.messages.clone(),
            stream: true,
            max_tokens: Some(self.workload.max_tokens),
            adapter: None,
        };
        let request = Request::post(format!("http://{node}/v1/chat/completions"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.workload.key))
            .header(header::CONTENT_TYPE, "application/json")
            .header(names::DEADLINE_MS, self.workload.deadline_ms)
            .body(json(&body)?);
        let response = self.send(request.map_err(|error| Ending::Failed(error.to_string()))?).await?;
        let status = response.status();
        if status.is_success() {
            return Ok(response.into_body());
        }
        Err(refused(status, response.into_body(), |body: ErrorBody| body.error.code).await)
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<http::Response<Incoming>, Ending> {
        self.client.request(request).await.map_err(|error| Ending::Failed(error_chain(&error)))
    }
}

impl EngineTarget {
    fn request(&self, prompt: &Prompt, workload: &Workload) -> Result<Request<Full<Bytes>>, Ending> {
        let name = format!("load-{}", prompt.number);
        let body = GenerateRequest {
            attempt: AttemptId::from(name.as_str()),
            request: RequestId::from(name),
            precondition: self.precondition.clone(),
            scope: prompt.scope,
            blocks: hash_blocks(prompt.scope, prompt.text.as_bytes()),
            prompt: prompt.text.clone(),
            max_tokens: workload.max_tokens,
            answer_prefix: Vec::new(),
            priority: Priority::Normal,
            deadline_ms: workload.deadline_ms,
            import: None,
            traceparent: None,
        };
        Request::post(format!("http://{}/generate", self.address))
            .header(header::CONTENT_TYPE, "application/json")
            .body(json(&body)?)
            .map_err(|error| Ending::Failed(error.to_string()))
    }
}

impl Answer {
    fn ending(&self, prompt: &Prompt) -> Ending {
        if let Some(code) = self.broken {
            return Ending::Broken(code);
        }
        if !self.ended {
            return Ending::Incomplete;
        }
        if self.text == prompt.expected.text() { Ending::Complete } else { Ending::Wrong }
    }

    /// Parses one line of a node's stream; an unreadable line makes the answer wrong.
    fn read_event(&mut self, line: &[u8]) {
        let Some(event) = line.strip_prefix(EVENT_PREFIX) else { return };
        if event == LAST_EVENT {
            self.ended = true;
            return;
        }
        let Ok(chunk) = serde_json::from_slice::<ChatChunk>(event) else {
            match serde_json::from_slice::<ErrorBody>(event) {
                Ok(body) => self.broken = Some(body.error.code),
                Err(_) => self.text.push(UNREADABLE_MARKER),
            }
            return;
        };
        for content in chunk.choices.into_iter().filter_map(|choice| choice.delta.content) {
            self.push(&content);
        }
        if let Some(usage) = chunk.usage {
            self.prompt_tokens = usage.prompt_tokens;
            self.cached_tokens = usage.prompt_tokens_details.cached_tokens;
        }
    }

    fn read_frame(&mut self, line: &[u8]) {
        let Ok(frame) = serde_json::from_slice::<Frame>(line) else {
            self.text.push(UNREADABLE_MARKER);
            return;
        };
        match frame.content {
            FrameContent::Start { prompt_tokens, cached_tokens, .. } => {
                self.prompt_tokens = prompt_tokens;
                self.cached_tokens = cached_tokens;
            }
            FrameContent::Token { text, .. } => self.push(&text),
            FrameContent::End { .. } => self.ended = true,
            FrameContent::Failed { .. } => self.broken = Some(RefusalCode::BackendFailed),
        }
    }

    fn push(&mut self, text: &str) {
        if !text.is_empty() {
            self.first_token_at.get_or_insert_with(Instant::now);
            self.text.push_str(text);
        }
    }
}

/// Reads a body to its end and calls `read` with each line that is not empty.
async fn read_lines(body: &mut Incoming, mut read: impl FnMut(&[u8])) -> Result<(), Ending> {
    let mut buffer: Vec<u8> = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return Err(Ending::Incomplete) };
        buffer.extend_from_slice(&frame.into_data().unwrap_or_default());
        let Some(end) = buffer.iter().rposition(|byte| *byte == b'\n') else { continue };
        buffer[..end].split(|byte| *byte == b'\n').filter(|line| !line.is_empty()).for_each(&mut read);
        buffer.drain(..=end);
    }
    Ok(())
}

async fn refused<T: serde::de::DeserializeOwned>(
    status: StatusCode,
    body: Incoming,
    code: impl FnOnce(T) -> RefusalCode,
) -> Ending {
    let bytes = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    match serde_json::from_slice::<T>(&bytes) {
        Ok(refusal) => Ending::Refused(code(refusal)),
        Err(_) => Ending::Failed(format!("status {status} without a readable refusal")),
    }
}

fn json(value: &impl serde::Serialize) -> Result<Full<Bytes>, Ending> {
    let bytes = serde_json::to_vec(value).map_err(|error| Ending::Failed(error.to_string()))?;
    Ok(Full::new(Bytes::from(bytes)))
}

/// Formats an error with its causes, which the client's message omits.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
