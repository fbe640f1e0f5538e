//! A client as callers use it: HTTP, server-sent events, and a retry at another node after a refusal.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use paddlemount_protocol::{
    caller::{ChatChunk, ChatRequest, ChatResponse, ErrorBody, Usage},
    engine::EngineStatus,
    header::IDEMPOTENCY_KEY,
    refusal::Outcome,
};
use paddlemount_standins::booking::model::{BookingAnswer, LedgerEntry};
use serde::de::DeserializeOwned;
use tokio::time::Instant;

/// Maximum number of sends per request.
const MAX_SENDS: u32 = 12;
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time after which a caller abandons a send.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A complete answer of a model.
#[derive(Clone, Debug, PartialEq)]
pub struct ChatAnswer {
    pub text: String,
    pub reason: String,
    pub usage: Usage,
    /// From the first send until the first text; none for answers that are not streamed.
    pub first_token: Option<Duration>,
}

/// The outcome of one send.
#[derive(Debug)]
enum SendOutcome<T> {
    Answered(T),
    /// No part of the answer arrived, and a retry is safe.
    Retry(Duration),
    /// It ended without a complete answer.
    Failed(String),
}

/// The end of a request at its caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Ending<T> {
    /// The complete answer, or the cause of failure.
    pub result: Result<T, String>,
    /// Sends after the first.
    pub resent: u32,
    /// Whether the request was last refused as not run.
    pub not_run: bool,
}

/// A client of the nodes.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    nodes: Vec<SocketAddr>,
}

impl Caller {
    /// A caller of `nodes`.
    pub fn new(nodes: Vec<SocketAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        Self { client: Client::builder(TokioExecutor::new()).build(connector), nodes }
    }

    /// Sends a chat request, to the node `turn` first.
    pub async fn chat(&self, turn: usize, key: &str, request: &ChatRequest) -> Ending<ChatAnswer> {
        let started = Instant::now();
        let body = serde_json::to_vec(request).map(Bytes::from).unwrap_or_default();
        let mut resent = 0;
        loop {
            let post = post(self.node(turn, resent), "/v1/chat/completions", key, None, body.clone());
            let outcome =
                tokio::time::timeout(REQUEST_TIMEOUT, self.chat_once(post, request.stream, started)).await;
            if let Some(ending) = finish_or_wait(outcome, &mut resent).await {
                return ending;
            }
        }
    }

    async fn chat_once(
        &self,
        post: Request<Full<Bytes>>,
        stream: bool,
        started: Instant,
    ) -> SendOutcome<ChatAnswer> {
        match self.open(post).await {
            Ok(response) if stream => read_stream(response, started).await,
            Ok(response) => read_complete(response).await,
            Err(outcome) => outcome,
        }
    }

    /// Sends a request to the booking service, through the node `turn` first.
    pub async fn book(
        &self,
        turn: usize,
        key: &str,
        operation: &str,
        idempotency_key: &str,
        body: &serde_json::Value,
    ) -> Ending<BookingAnswer> {
        let path = format!("/v1/services/booking/{operation}");
        let body = Bytes::from(body.to_string());
        let mut resent = 0;
        loop {
            let post = post(self.node(turn, resent), &path, key, Some(idempotency_key), body.clone());
            let outcome = tokio::time::timeout(REQUEST_TIMEOUT, self.book_once(post)).await;
            if let Some(ending) = finish_or_wait(outcome, &mut resent).await {
                return ending;
            }
        }
    }

    async fn book_once(&self, post: Request<Full<Bytes>>) -> SendOutcome<BookingAnswer> {
        match self.open(post).await {
            Ok(response) => match response.into_body().collect().await {
                Ok(read) => parsed(&read.to_bytes()),
                // The idempotency key makes a retry safe.
                Err(_) => SendOutcome::Retry(MIN_RETRY_DELAY),
            },
            Err(outcome) => outcome,
        }
    }

    fn node(&self, turn: usize, resent: u32) -> SocketAddr {
        self.nodes[(turn + resent as usize) % self.nodes.len()]
    }

    /// Sends a request and reads the head of its response. A refusal as not run and a failed connection lead
    /// to a retry.
    async fn open<T>(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, SendOutcome<T>> {
        let response = self.client.request(request).await.map_err(|_| SendOutcome::Retry(MIN_RETRY_DELAY))?;
        if response.status() == StatusCode::OK {
            return Ok(response);
        }
        let status = response.status();
        let body = response.into_body().collect().await.map_err(|_| SendOutcome::Retry(MIN_RETRY_DELAY))?;
        let Ok(body) = serde_json::from_slice::<ErrorBody>(&body.to_bytes()) else {
            return Err(SendOutcome::Failed(format!("status {status}")));
        };
        let pause = Duration::from_millis(body.error.retry_after_ms.unwrap_or(0));
        let retryable = body.error.outcome == Outcome::NotRun && status.as_u16() >= 409;
        Err(if retryable { SendOutcome::Retry(pause) } else { SendOutcome::Failed(body.error.message) })
    }

    async fn get<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Option<T> {
        let request = Request::get(format!("http://{address}{path}")).body(Full::default()).ok()?;
        let response = self.client.request(request).await.ok()?;
        let body = response.into_body().collect().await.ok()?;
        serde_json::from_slice(&body.to_bytes()).ok()
    }

    /// Running requests that an engine reports; 0 if it does not answer.
    pub async fn running_at(&self, engine: SocketAddr) -> u32 {
        let status = self.get::<EngineStatus>(engine, "/status").await;
        status.map_or(0, |status| status.load.running)
    }

    /// The ledger of a booking runner.
    pub async fn ledger_of(&self, runner: SocketAddr) -> Option<Vec<LedgerEntry>> {
        self.get(runner, "/control/ledger").await
    }
}

/// Returns the end of a request, or waits before the next send.
async fn finish_or_wait<T>(
    outcome: Result<SendOutcome<T>, tokio::time::error::Elapsed>,
    resent: &mut u32,
) -> Option<Ending<T>> {
    let outcome = outcome.unwrap_or_else(|_| SendOutcome::Failed("no answer in time".to_owned()));
    let (result, not_run) = match outcome {
        SendOutcome::Answered(answer) => (Ok(answer), false),
        SendOutcome::Retry(pause) if *resent + 1 < MAX_SENDS => {
            tokio::time::sleep(pause.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)).await;
            *resent += 1;
            return None;
        }
        SendOutcome::Retry(_) => (Err("refused by all nodes".to_owned()), true),
        SendOutcome::Failed(why) => (Err(why), false),
    };
    Some(Ending { result, resent: *resent, not_run })
}

fn post(
    node: SocketAddr,
    path: &str,
    key: &str,
    idempotency_key: Option<&str>,
    body: Bytes,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = Method::POST;
    if let Ok(uri) = format!("http://{node}{path}").parse() {
        *request.uri_mut() = uri;
    }
    let headers = request.headers_mut();
    headers.insert(http::header::CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    if let Ok(value) = format!("Bearer {key}").parse() {
        headers.insert(http::header::AUTHORIZATION, value);
    }
    if let Some(Ok(value)) = idempotency_key.map(str::parse) {
        headers.insert(IDEMPOTENCY_KEY, value);
    }
    request
}

fn parsed<T: DeserializeOwned>(body: &[u8]) -> SendOutcome<T> {
    match serde_json::from_slice(body) {
        Ok(answer) => SendOutcome::Answered(answer),
        Err(error) => SendOutcome::Failed(format!("unreadable answer: {error}")),
    }
}

async fn read_complete(response: Response<Incoming>) -> SendOutcome<ChatAnswer> {
    let body = match response.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return SendOutcome::Failed(format!("the answer broke off: {error}")),
    };
    let answer = match parsed::<ChatResponse>(&body) {
        SendOutcome::Answered(answer) => answer,
        SendOutcome::Retry(pause) => return SendOutcome::Retry(pause),
        SendOutcome::Failed(why) => return SendOutcome::Failed(why),
    };
    let usage = answer.usage;
    match answer.choices.into_iter().next() {
        Some(choice) => SendOutcome::Answered(ChatAnswer {
            text: choice.message.content,
            reason: choice.finish_reason.unwrap_or_default(),
            usage,
            first_token: None,
        }),
        None => SendOutcome::Failed("an answer without a choice".to_owned()),
    }
}

async fn read_stream(response: Response<Incoming>, started: Instant) -> SendOutcome<ChatAnswer> {
    let mut body = response.into_body();
    let mut buffer: Vec<u8> = Vec::new();
    let mut answer =
        ChatAnswer { text: String::new(), reason: String::new(), usage: Usage::default(), first_token: None };
    while let Some(frame) = body.frame().await {
        let data = match frame.map(hyper::body::Frame::into_data) {
            Ok(Ok(data)) => data,
            Ok(Err(_)) => continue,
            Err(error) => return SendOutcome::Failed(format!("the stream broke off: {error}")),
        };
        buffer.extend_from_slice(&data);
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            match take_event(&line, &mut answer, started) {
                Ok(true) => return SendOutcome::Answered(answer),
                Ok(false) => {}
                Err(why) => return SendOutcome::Failed(why),
            }
        }
    }
    SendOutcome::Failed("the stream ended without [DONE]".to_owned())
}

/// Handles one line of a stream and returns whether it was the end of the stream.
fn take_event(line: &[u8], answer: &mut ChatAnswer, started: Instant) -> Result<bool, String> {
    let line = String::from_utf8_lossy(line);
    let Some(event) = line.trim_end().strip_prefix("data:").map(str::trim_start) else { return Ok(false) };
    if event == "[DONE]" {
        return Ok(true);
    }
    let chunk: ChatChunk =
        serde_json::from_str(event).map_err(|_| format!("an event that is no chunk: {event}"))?;
    if let Some(usage) = chunk.usage {
        answer.usage = usage;
    }
    for choice in chunk.choices {
        if let Some(text) = choice.delta.content.filter(|text| !text.is_empty()) {
            answer.first_token.get_or_insert_with(|| started.elapsed());
            answer.text.push_str(&text);
        }
        if let Some(reason) = choice.finish_reason {
            answer.reason = reason;
        }
    }
    Ok(false)
}
