//! Relays a stream of events and resumes it at another back end if the route allows that.

mod ending;
mod progress;
mod stalls;

use std::rc::Rc;

use bytes::Bytes;
use futures_util::stream;
use http::response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use paddlemount_core::forwarding::{
    attempt::{AttemptEnd, NextAction},
    choice::Choice,
    events::EventSplitter,
};
use paddlemount_protocol::{identity::SoftwareVersion, time::Timestamp};

use crate::{
    access_log::STREAMED,
    answers::AnswerBody,
    attempts::{AttemptAnswer, AttemptFailure, RunKind},
    dispatch::Resume,
    exchange::{Exchange, is_resumable},
    metrics::Counter,
    response_wait::{OUTDATED, Waited},
};

/// Why a stream ends early.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RelayError {
    /// The back end broke off, and no other could continue.
    #[error("the back end broke off")]
    Broken,
    #[error("the time is up")]
    TimeUp,
}

/// A stream that is being relayed. Dropping it, for example because the caller left, closes the back end's
/// connection.
pub struct Relay {
    exchange: Exchange,
    choice: Choice,
    upstream: Option<AttemptAnswer>,
    /// The head of the answer: that of the run whose events come first.
    head: response::Parts,
    /// Events received before the head was sent to the caller.
    first_events: Option<Bytes>,
    splitter: EventSplitter,
    /// Whether the current run has sent an event.
    has_event: bool,
    /// Whether any run has sent an event.
    has_relayed: bool,
    /// Whether a stall is no longer acted on, as no other back end can take over.
    waits_until_deadline: bool,
    /// When the current run sent its first event.
    first_event_at: Option<Timestamp>,
    /// Whether the current run has shown that no segment of the prompt crashes engines.
    shown_harmless: bool,
    /// When data last arrived from the back end.
    received_at: Timestamp,
    done: bool,
}

/// The result of waiting for the back end.
enum Received {
    Data(Bytes),
    End,
    Broken(AttemptFailure),
    Stalled,
    /// Nothing arrived for longer than the target gap.
    Slow,
    /// The back end's weights are outdated, and the request has not started.
    Outdated,
    /// The back end sends nothing more.
    Silent,
    TimeUp,
}

impl Relay {
    /// Starts to relay an answer and waits for its first event; the caller has the events up to `last_event`.
    ///
    /// # Errors
    ///
    /// Returns the exchange if no event arrived, so that it can be answered by an error response.
    pub async fn open(
        exchange: Exchange,
        choice: Choice,
        upstream: AttemptAnswer,
        last_event: Option<u64>,
    ) -> Result<Self, Box<Exchange>> {
        let mut relay = Self::new(exchange, choice, upstream, last_event);
        match relay.next().await {
            None => Ok(relay),
            Some(Ok(events)) => {
                relay.first_events = Some(events);
                Ok(relay)
            }
            Some(Err(_)) => {
                relay.exchange.history.may_have_run = true;
                Err(Box::new(relay.exchange))
            }
        }
    }

    fn new(exchange: Exchange, choice: Choice, upstream: AttemptAnswer, last_event: Option<u64>) -> Self {
        let splitter = EventSplitter::resuming_after(last_event);
        let received_at = exchange.node.now();
        Self {
            exchange,
            choice,
            head: upstream.head.clone(),
            upstream: Some(upstream),
            first_events: None,
            splitter,
            has_event: false,
            has_relayed: false,
            waits_until_deadline: false,
            first_event_at: None,
            shown_harmless: false,
            received_at,
            done: false,
        }
    }

    /// The head of the answer.
    pub const fn head(&self) -> &response::Parts {
        &self.head
    }

    /// The software version that began the stream, if it has begun and the version is known.
    pub const fn software(&self) -> Option<&SoftwareVersion> {
        self.exchange.binding.version()
    }

    /// The stream as a response body.
    pub fn into_body(self) -> AnswerBody {
        let chunks = stream::unfold(self, |mut relay| async move {
            let chunk = relay.next().await?;
            Some((chunk.map(Frame::data), relay))
        });
        Box::pin(StreamBody::new(chunks))
    }

    async fn next(&mut self) -> Option<Result<Bytes, RelayError>> {
        if let Some(events) = self.first_events.take() {
            return Some(Ok(events));
        }
        if self.done {
            return None;
        }
        loop {
            if self.splitter.exceeds_limit() {
                let failure = AttemptFailure {
                    oversized: true,
                    ..AttemptFailure::unclear("an event is too large".into())
                };
                if !self.resume_without_run(failure).await {
                    return Some(Err(self.abandon("stream_broken", RelayError::Broken)));
                }
            }
            match self.receive().await {
                Received::Data(data) => {
                    self.received_at = self.exchange.node.now();
                    if let Some(upstream) = &self.upstream {
                        self.exchange.node.record_engine_contact(upstream.load.process.as_ref());
                        upstream.load.record_bytes(&upstream.connection);
                    }
                    let events = self.splitter.push(&data);
                    if !events.is_empty() {
                        self.exchange.record_chunk();
                        self.record_first_event();
                        self.record_writing();
                    }
                    self.record_contact();
                    if !events.is_empty() {
                        return Some(Ok(events));
                    }
                }
                Received::End => {
                    let Some(detail) = self.cut_off().await else { return self.end() };
                    let failure = AttemptFailure::broken(detail.into());
                    if !self.resume_without_run(failure).await {
                        return Some(Err(self.abandon("stream_broken", RelayError::Broken)));
                    }
                }
                Received::Broken(failure) => {
                    if !self.resume_without_run(failure).await {
                        return Some(Err(self.abandon("stream_broken", RelayError::Broken)));
                    }
                }
                Received::Slow if !self.exchange.node.is_ejected(&self.choice.backend) => {}
                // Without an alternative back end, a stalled stream is waited for until its deadline.
                Received::Stalled | Received::Slow if !self.exchange.has_alternative() => {
                    self.waits_until_deadline = true
                }
                Received::Stalled | Received::Slow => {
                    if !self.resume(AttemptFailure::unclear("stalled".into())).await {
                        return Some(Err(self.abandon("stream_broken", RelayError::Broken)));
                    }
                }
                Received::Outdated => {
                    if !self.resume_without_run(AttemptFailure::unclear(OUTDATED.into())).await {
                        return Some(Err(self.abandon("stream_broken", RelayError::Broken)));
                    }
                }
                Received::Silent => {
                    let node = Rc::clone(&self.exchange.node);
                    node.metrics.count(Counter::StreamsLeft);
                    // Closed first, as the silent run may still go on.
                    if !self.resume_without_run(AttemptFailure::silent()).await {
                        return Some(Err(self.abandon("stream_left", RelayError::Broken)));
                    }
                }
                Received::TimeUp => return Some(Err(self.abandon("time_up", RelayError::TimeUp))),
            }
        }
    }

    async fn receive(&mut self) -> Received {
        let deadline = self.exchange.deadline;
        let stalled_at = self.stalled_at();
        let node = &self.exchange.node;
        let until = stalled_at.map_or(deadline, |at| at.min(deadline));
        // Rechecked early, because less time is given to a back end that was ejected meanwhile.
        let recheck_at = stalled_at.map(|_| node.now() + self.slow_after());
        let until = recheck_at.map_or(until, |at| at.min(until));
        let Some(upstream) = &mut self.upstream else {
            return Received::Broken(AttemptFailure::broken("no run in progress".into()));
        };
        let starting_at = (!self.has_event).then_some(&self.choice);
        let contact = upstream.load.contact.as_ref();
        let waiting = node.wait_for_engine(contact, starting_at, until, upstream.body.frame());
        let leaves = is_resumable(self.exchange.route.kind);
        let run = if leaves { RunKind::Repeatable } else { RunKind::New };
        let waited = tokio::select! {
            biased;
            waited = waiting => waited,
            () = node.until_path_lost(&self.choice.backend),
                if leaves && self.choice.intermediary.is_none() => Waited::Silent,
            () = node.until_unresponsive(&self.choice, run) => Waited::Silent,
        };
        match waited {
            Waited::Done(Some(Ok(frame))) => Received::Data(frame.into_data().unwrap_or_default()),
            Waited::Done(Some(Err(error))) => {
                Received::Broken(AttemptFailure::broken_in_body(&error, error.to_string()))
            }
            Waited::Done(None) => Received::End,
            Waited::Outdated => Received::Outdated,
            Waited::Silent => Received::Silent,
            Waited::TimeUp if stalled_at.is_some_and(|at| at <= until) => {
                node.record_engine_silence(upstream.load.process.as_ref());
                Received::Stalled
            }
            Waited::TimeUp if until < deadline => Received::Slow,
            Waited::TimeUp => Received::TimeUp,
        }
    }

    /// Handles the end of a whole stream, and returns the events that are left.
    fn end(&mut self) -> Option<Result<Bytes, RelayError>> {
        let upstream = self.upstream.take()?;
        self.done = true;
        self.exchange.set_outcome(STREAMED);
        self.exchange.run_completed();
        // A crash may look like the end of an answer that states no length.
        if self.has_event && upstream.framed {
            self.exchange.segments_served();
        }
        if let Some(stream) = &self.exchange.running_stream {
            stream.complete();
        }
        let node = &self.exchange.node;
        node.return_connection(&upstream.load.backend, upstream.connection);
        let remaining = self.splitter.finish();
        (!remaining.is_empty()).then_some(Ok(remaining))
    }

    /// Resumes the stream elsewhere after the current run has ended or must not start any more.
    async fn resume_without_run(&mut self, failure: AttemptFailure) -> bool {
        self.release_run();
        self.resume(failure).await
    }

    /// Resumes the stream at another back end after the last complete event. A stalled run is kept until the
    /// other one may have started; if that one refuses, the stream continues as before. Returns whether the
    /// stream continues at all.
    async fn resume(&mut self, failure: AttemptFailure) -> bool {
        self.exchange.history.may_have_run = true;
        let known = self.exchange.record.choice.clone();
        let resumed = if is_resumable(self.exchange.route.kind) {
            self.resume_elsewhere(failure).await
        } else {
            self.resume_from_copy(failure).await
        };
        if resumed {
            return true;
        }
        // No other back end takes the stream, so the stalled run is waited for until its deadline.
        self.exchange.record.choice = known;
        self.waits_until_deadline = true;
        self.upstream.is_some()
    }

    async fn resume_elsewhere(&mut self, mut failure: AttemptFailure) -> bool {
        let mut tried = self.choice.clone();
        loop {
            if self.exchange.decide(&tried, &failure) != NextAction::Retry {
                return false;
            }
            if self.exchange.quarantined_for().is_some() {
                return false;
            }
            let Some(choice) = self.exchange.choose_backend() else { return false };
            let resume = Resume { after: self.splitter.last_id(), continues: None };
            tried = choice.clone();
            failure = match self.attempt_resume(choice, resume).await {
                Ok(()) => return true,
                Err(failure) => failure,
            };
        }
    }

    /// Continues from a copy of the run's memory, which counts as the same run.
    async fn resume_from_copy(&mut self, failure: AttemptFailure) -> bool {
        let Some((next, run)) = self.exchange.copy_of(&self.choice).filter(|_| self.has_event) else {
            self.exchange.decide(&self.choice, &failure);
            return false;
        };
        let failure = AttemptFailure { end: AttemptEnd::Copied, ..failure };
        let may_retry = self.exchange.decide(&self.choice, &failure) == NextAction::Retry;
        if !may_retry || self.exchange.quarantined_for().is_some() {
            return false;
        }
        let resume = Resume { after: self.splitter.last_id(), continues: Some(run) };
        let holder = next.clone();
        match self.attempt_resume(next, resume).await {
            Ok(()) => true,
            Err(failure) if self.upstream.is_some() => {
                self.exchange.decide(&holder, &failure);
                false
            }
            // The previous run may have got further than the caller has seen, so no other run may follow it.
            Err(failure) => {
                self.exchange.decide(&holder, &AttemptFailure { end: AttemptEnd::Unclear, ..failure });
                false
            }
        }
    }

    /// Asks another back end to continue, and releases the previous run once the other has started or may
    /// have.
    async fn attempt_resume(&mut self, choice: Choice, resume: Resume) -> Result<(), AttemptFailure> {
        let node = Rc::clone(&self.exchange.node);
        let starting_at = (!self.has_event).then_some(&self.choice);
        let attempt = self.exchange.attempt(&choice, resume);
        let result = node.attempt_beside(&mut self.upstream, starting_at, attempt).await;
        let result = match result {
            Ok(upstream) if !upstream.head.status.is_success() => {
                Err(AttemptFailure::unclear(format!("status {}", upstream.head.status)))
            }
            result => result,
        };
        match result {
            Ok(upstream) => {
                self.release_run();
                self.take_over(choice, upstream);
                Ok(())
            }
            Err(failure) => {
                // The previous run is kept only if the other certainly has not started.
                if !matches!(failure.end, AttemptEnd::NotSent | AttemptEnd::NotRun | AttemptEnd::Misdirected)
                {
                    self.release_run();
                }
                Err(failure)
            }
        }
    }

    /// Releases the current run and discards its partial event.
    fn release_run(&mut self) {
        self.upstream = None;
        self.splitter.finish();
    }

    fn take_over(&mut self, choice: Choice, upstream: AttemptAnswer) {
        self.exchange.record_resume();
        // A copy continues the run whose events the caller has; any other run starts from the beginning.
        self.has_event &= !is_resumable(self.exchange.route.kind);
        if !self.has_relayed {
            self.head = upstream.head.clone();
        }
        self.choice = choice;
        self.upstream = Some(upstream);
        self.received_at = self.exchange.node.now();
        self.first_event_at = None;
        self.shown_harmless = false;
    }

    fn abandon(&mut self, outcome: &'static str, error: RelayError) -> RelayError {
        self.upstream = None;
        self.done = true;
        self.exchange.set_outcome(outcome);
        error
    }
}
