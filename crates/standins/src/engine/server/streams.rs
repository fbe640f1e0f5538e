//! Answer streams and their readers.
//!
//! A stream stores the progress of its answer instead of the text, and tokens are generated when they are
//! sent. A slow reader therefore needs no memory beyond the connection's buffers, and a stream can be
//! resumed at any index.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures_util::stream::{self, Stream};
use paddlemount_protocol::{
    engine::{FinishReason, Frame, FrameContent, LoadReport},
    identity::AttemptId,
    time::Timestamp,
};
use tokio::sync::watch;
use xitca_web::{
    body::{ResponseBody, StreamDataBody},
    bytes::Bytes,
    http::{HeaderValue, WebResponse, header::CONTENT_TYPE},
};

use super::EngineServer;
use crate::{engine::answer::AnswerPlan, http};

/// Maximum number of tokens in one write to a connection.
const MAX_TOKENS_PER_WRITE: u32 = 64;

/// Media type of newline-delimited JSON.
const NDJSON: &str = "application/x-ndjson";

/// Progress of an answer.
#[derive(Clone, Debug, Default)]
pub(super) struct StreamProgress {
    /// Content of the first frame, once the request is in the batch.
    pub(super) start_frame: Option<FrameContent>,
    /// Index of the first token of this attempt.
    pub(super) first_index: u32,
    /// Index of the next token to generate.
    pub(super) next_index: u32,
    pub(super) ending: Option<StreamEnding>,
}

/// How an answer ended.
#[derive(Clone, Copy, Debug)]
pub(super) enum StreamEnding {
    /// The answer is complete.
    Completed { tokens: u32, reason: FinishReason, load: LoadReport },
    /// The engine abandoned the attempt.
    Failed { message: &'static str },
}

struct StreamRecord {
    plan: AnswerPlan,
    progress: watch::Sender<StreamProgress>,
    /// Number of the latest reader, which replaces earlier ones.
    reader: watch::Sender<u64>,
    /// When the stream is removed, while it has no reader.
    expires_at: Option<Timestamp>,
}

/// All streams of an engine's incarnation.
pub(super) struct Streams {
    grace: Duration,
    records: BTreeMap<AttemptId, StreamRecord>,
}

impl Streams {
    pub(super) const fn new(grace: Duration) -> Self {
        Self { grace, records: BTreeMap::new() }
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Cuts all streams.
    pub(super) fn clear(&mut self) {
        self.records.clear();
    }

    pub(super) fn insert(&mut self, attempt: AttemptId, plan: AnswerPlan, first_index: u32) {
        let progress = StreamProgress { first_index, next_index: first_index, ..StreamProgress::default() };
        let record = StreamRecord {
            plan,
            progress: watch::Sender::new(progress),
            reader: watch::Sender::new(0),
            expires_at: None,
        };
        self.records.insert(attempt, record);
    }

    /// Cuts a stream.
    pub(super) fn remove(&mut self, attempt: &AttemptId) {
        self.records.remove(attempt);
    }

    pub(super) fn update(&self, attempt: &AttemptId, change: impl FnOnce(&mut StreamProgress)) {
        if let Some(record) = self.records.get(attempt) {
            record.progress.send_modify(change);
        }
    }

    /// Attaches a new reader, which replaces the current one.
    fn read(&mut self, attempt: &AttemptId) -> Option<Subscription> {
        let record = self.records.get_mut(attempt)?;
        record.expires_at = None;
        record.reader.send_modify(|number| *number += 1);
        Some(Subscription {
            plan: record.plan,
            progress: record.progress.subscribe(),
            number: *record.reader.borrow(),
            latest_reader: record.reader.subscribe(),
        })
    }

    /// Records that a reader has left; the stream can be resumed during the grace period.
    fn reader_left(&mut self, attempt: &AttemptId, number: u64, now: Timestamp) {
        if let Some(record) = self.records.get_mut(attempt).filter(|record| *record.reader.borrow() == number)
        {
            record.expires_at = Some(now + self.grace);
        }
    }

    /// The time at which the next stream without a reader expires.
    pub(super) fn next_expiry(&self) -> Option<Timestamp> {
        self.records.values().filter_map(|record| record.expires_at).min()
    }

    /// Removes expired streams and returns the attempts whose answer had not ended.
    pub(super) fn expire(&mut self, now: Timestamp) -> Vec<AttemptId> {
        let mut unfinished = Vec::new();
        self.records.retain(|attempt, record| {
            let expired = record.expires_at.is_some_and(|expires_at| expires_at <= now);
            if expired && record.progress.borrow().ending.is_none() {
                unfinished.push(attempt.clone());
            }
            !expired
        });
        unfinished
    }
}

struct Subscription {
    plan: AnswerPlan,
    progress: watch::Receiver<StreamProgress>,
    number: u64,
    latest_reader: watch::Receiver<u64>,
}

/// A connection that carries a stream.
struct Reader {
    server: Arc<EngineServer>,
    attempt: AttemptId,
    subscription: Subscription,
    position: Position,
    /// Tokens that this connection can still carry before the injected fault cuts it.
    cut_after: Option<u32>,
    stray_frames: bool,
}

#[derive(Clone, Copy)]
enum Position {
    Start,
    Token(u32),
    Finished,
}

/// Ends a connection without the final frame of the answer.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the stream is cut")]
struct Cut;

impl Drop for Reader {
    fn drop(&mut self) {
        self.server.state().streams.reader_left(&self.attempt, self.subscription.number, http::now());
        self.server.wake.notify_one();
    }
}

/// Creates a response with the frames of a stream, from the first or from the token at `next_index`.
/// Returns `None` if there is no such stream.
pub(super) fn response(
    server: &Arc<EngineServer>,
    attempt: &AttemptId,
    next_index: Option<u32>,
) -> Option<WebResponse> {
    let mut state = server.state();
    let subscription = state.streams.read(attempt)?;
    let reader = Reader {
        server: server.clone(),
        attempt: attempt.clone(),
        subscription,
        position: next_index.map_or(Position::Start, Position::Token),
        cut_after: state.faults.cut_after_tokens,
        stray_frames: state.faults.stray_frames,
    };
    drop(state);
    let body = ResponseBody::boxed(StreamDataBody::new(lines(reader)));
    let mut response = WebResponse::new(body);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(NDJSON));
    Some(response)
}

fn lines(reader: Reader) -> impl Stream<Item = Result<Bytes, Cut>> {
    stream::unfold(Some(reader), |reader| async {
        let mut reader = reader?;
        match reader.next_lines().await {
            Ok(Some(lines)) => Some((Ok(lines), Some(reader))),
            Ok(None) => None,
            Err(cut) => Some((Err(cut), None)),
        }
    })
}

impl Reader {
    /// Waits for unsent frames; returns `None` after the last one.
    async fn next_lines(&mut self) -> Result<Option<Bytes>, Cut> {
        if self.cut_after == Some(0) {
            return Err(Cut);
        }
        loop {
            if *self.subscription.latest_reader.borrow() != self.subscription.number {
                return Err(Cut);
            }
            if matches!(self.position, Position::Finished) {
                return Ok(None);
            }
            let progress = self.subscription.progress.borrow_and_update().clone();
            if let Some(lines) = self.available(&progress) {
                return Ok(Some(lines));
            }
            tokio::select! {
                changed = self.subscription.progress.changed() => changed.map_err(|_| Cut)?,
                _ = self.subscription.latest_reader.changed() => {}
            }
        }
    }

    fn available(&mut self, progress: &StreamProgress) -> Option<Bytes> {
        let mut lines = Vec::new();
        if matches!(self.position, Position::Start) {
            if let Some(start_frame) = &progress.start_frame {
                self.push_line(&mut lines, self.attempt.clone(), start_frame.clone());
            }
            if progress.start_frame.is_some() || progress.ending.is_some() {
                self.position = Position::Token(progress.first_index);
            }
        }
        if let Position::Token(next) = self.position {
            self.push_tokens(&mut lines, next, progress.next_index);
            self.push_ending(&mut lines, progress);
        }
        if lines.is_empty() { None } else { Some(Bytes::from(lines)) }
    }

    fn push_tokens(&mut self, lines: &mut Vec<u8>, next: u32, available: u32) {
        let limit = self.cut_after.unwrap_or(MAX_TOKENS_PER_WRITE).min(MAX_TOKENS_PER_WRITE);
        let until = available.min(next.saturating_add(limit)).max(next);
        for index in next..until {
            if self.stray_frames {
                let stray = FrameContent::Token { index, text: "stray ".to_owned() };
                self.push_line(lines, AttemptId::from(format!("{}-stray", self.attempt)), stray);
            }
            let text = self.subscription.plan.token(index);
            self.push_line(lines, self.attempt.clone(), FrameContent::Token { index, text });
        }
        self.cut_after = self.cut_after.map(|left| left.saturating_sub(until - next));
        self.position = Position::Token(until);
    }

    fn push_ending(&mut self, lines: &mut Vec<u8>, progress: &StreamProgress) {
        let Position::Token(next) = self.position else { return };
        if next < progress.next_index || self.cut_after == Some(0) {
            return;
        }
        let content = match progress.ending {
            None => return,
            Some(StreamEnding::Completed { tokens, reason, load }) => {
                FrameContent::End { tokens, reason, load }
            }
            Some(StreamEnding::Failed { message }) => FrameContent::Failed { message: message.to_owned() },
        };
        self.push_line(lines, self.attempt.clone(), content);
        self.position = Position::Finished;
    }

    fn push_line(&self, lines: &mut Vec<u8>, attempt: AttemptId, content: FrameContent) {
        let frame = Frame { attempt, content };
        let line = serde_json::to_vec(&frame).expect("frames are representable as JSON");
        lines.extend_from_slice(&line);
        lines.push(b'\n');
    }
}
