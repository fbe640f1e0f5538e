//! Passes a stream of events on, event by event, and resumes it at another back end where the route allows it.

use std::{rc::Rc, time::Duration};

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
use paddlemount_protocol::time::Timestamp;

use crate::{
    access_log::STREAMED,
    answers::AnswerBody,
    attempts::{AttemptAnswer, AttemptFailure},
    dispatch::Resume,
    exchange::{Exchange, is_resumable},
    response_wait::{OUTDATED, Waited},
};

/// How long a resumable stream may be silent, in multiples of the pause that its route calls good.
const SILENCE_GAPS: u32 = 5;
/// The same for routes that name no such pause.
const SILENCE: Duration = Duration::from_millis(2_500);
/// The silence before a resumable stream's first event, in multiples of its route's target.
const FIRST_SILENCE_TARGETS: u32 = 2;

/// Why a stream ends before it is whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RelayError {
    /// The back end broke off, and no other could go on.
    #[error("the back end broke off")]
    Broken,
    /// The time is up.
    #[error("the time is up")]
    TimeUp,
}

/// A stream that is being passed on. Dropping it, as when the caller has left, closes the back end's connection.
pub struct Relay {
    exchange: Exchange,
    choice: Choice,
    begun: Option<AttemptAnswer>,
    /// The head of the answer: that of the run whose events come first.
    head: response::Parts,
    /// Events that came before the head was passed on.
    opening: Option<Bytes>,
    splitter: EventSplitter,
    /// Whether an event has come of the present run.
    has_event: bool,
    /// Whether an event has come of any run.
    has_passed_on: bool,
    waits_on: bool,
    /// When something was last heard of the back end.
    heard_at: Timestamp,
    done: bool,
}

/// What came of waiting for the back end.
enum Heard {
    Data(Bytes),
    End,
    Broken(String),
    Silent,
    /// Nothing came for longer than a good pause.
    Pause,
    /// The back end's weights are too old for a request that has not begun.
    Outdated,
    TimeUp,
}

impl Relay {
    /// Passes on what has begun, from its first event on; the caller has the events up to `last_event`.
    ///
    /// # Errors
    ///
    /// Gives the request back where no event came: the caller has no head yet, and can be told by a whole answer.
    pub async fn open(
        exchange: Exchange,
        choice: Choice,
        begun: AttemptAnswer,
        last_event: Option<u64>,
    ) -> Result<Self, Box<Exchange>> {
        let mut relay = Self::new(exchange, choice, begun, last_event);
        match relay.next().await {
            None => Ok(relay),
            Some(Ok(events)) => {
                relay.opening = Some(events);
                Ok(relay)
            }
            Some(Err(_)) => {
                relay.exchange.spent.may_have_run = true;
                Err(Box::new(relay.exchange))
            }
        }
    }

    fn new(exchange: Exchange, choice: Choice, begun: AttemptAnswer, last_event: Option<u64>) -> Self {
        let splitter = EventSplitter::resuming_after(last_event);
        let heard_at = exchange.node.now();
        Self {
            exchange,
            choice,
            head: begun.head.clone(),
            begun: Some(begun),
            opening: None,
            splitter,
            has_event: false,
            has_passed_on: false,
            waits_on: false,
            heard_at,
            done: false,
        }
    }

    /// The head of the answer.
    pub const fn head(&self) -> &response::Parts {
        &self.head
    }

    /// The stream as the body of an answer.
    pub fn into_body(self) -> AnswerBody {
        let parts = stream::unfold(self, |mut relay| async move {
            let part = relay.next().await?;
            Some((part.map(Frame::data), relay))
        });
        Box::pin(StreamBody::new(parts))
    }

    async fn next(&mut self) -> Option<Result<Bytes, RelayError>> {
        if let Some(events) = self.opening.take() {
            return Some(Ok(events));
        }
        if self.done {
            return None;
        }
        loop {
            match self.hear().await {
                Heard::Data(data) => {
                    self.heard_at = self.exchange.node.now();
                    let whole = self.splitter.push(&data);
                    if !whole.is_empty() {
                        self.exchange.part();
                        self.first_event();
                        return Some(Ok(whole));
                    }
                }
                Heard::End => {
                    if let Some(result) = self.end() {
                        return result;
                    }
                    let ended = AttemptFailure::broken("ended in the middle of an event".into());
                    if !self.resume_without_run(ended).await {
                        return Some(Err(self.give_up("stream_broken", RelayError::Broken)));
                    }
                }
                Heard::Broken(detail) => {
                    if !self.resume_without_run(AttemptFailure::broken(detail)).await {
                        return Some(Err(self.give_up("stream_broken", RelayError::Broken)));
                    }
                }
                Heard::Pause if !self.exchange.node.is_ejected(&self.choice.backend) => {}
                // Silence alone ends nothing: without another back end the stream is waited for to its end.
                Heard::Silent | Heard::Pause if !self.exchange.has_another() => self.waits_on = true,
                Heard::Silent | Heard::Pause => {
                    if !self.resume(AttemptFailure::unclear("silent".into())).await {
                        return Some(Err(self.give_up("stream_broken", RelayError::Broken)));
                    }
                }
                Heard::Outdated => {
                    if !self.resume_without_run(AttemptFailure::unclear(OUTDATED.into())).await {
                        return Some(Err(self.give_up("stream_broken", RelayError::Broken)));
                    }
                }
                Heard::TimeUp => return Some(Err(self.give_up("time_up", RelayError::TimeUp))),
            }
        }
    }

    async fn hear(&mut self) -> Heard {
        let give_up_at = self.exchange.give_up_at;
        let silent_at = self.silent_at();
        let node = &self.exchange.node;
        let until = silent_at.map_or(give_up_at, |at| at.min(give_up_at));
        // A back end that fails others is given less time: it is looked at again before its silence is certain.
        let look_at = silent_at.map(|_| node.now() + self.good_pause());
        let until = look_at.map_or(until, |at| at.min(until));
        let Some(begun) = &mut self.begun else { return Heard::Broken("nothing has begun".into()) };
        let begins_at = (!self.has_event).then_some(&self.choice);
        match node.wait(begins_at, until, begun.body.frame()).await {
            Waited::Done(Some(Ok(frame))) => Heard::Data(frame.into_data().unwrap_or_default()),
            Waited::Done(Some(Err(error))) => Heard::Broken(error.to_string()),
            Waited::Done(None) => Heard::End,
            Waited::Outdated => Heard::Outdated,
            Waited::TimeUp if silent_at.is_some_and(|at| at <= until) => Heard::Silent,
            Waited::TimeUp if until < give_up_at => Heard::Pause,
            Waited::TimeUp => Heard::TimeUp,
        }
    }

    /// When another back end is asked, where the route allows that.
    fn silent_at(&self) -> Option<Timestamp> {
        let route = &self.exchange.route;
        let resumable = is_resumable(route.kind) && self.exchange.spent.sent < route.attempts;
        let copied = self.has_event && self.choice.copy_to.is_some();
        if self.waits_on || !(resumable || copied) {
            return None;
        }
        let silence = if self.has_event {
            route.target_gap.map_or(SILENCE, |gap| gap * SILENCE_GAPS)
        } else {
            let usual = self.exchange.node.slowest(&self.choice.backend) * 3 / 2;
            (route.target_latency * FIRST_SILENCE_TARGETS).max(usual)
        };
        Some(self.heard_at + silence)
    }

    /// The longest pause that is still good, with some slack.
    fn good_pause(&self) -> Duration {
        self.exchange.route.target_gap.unwrap_or(SILENCE / SILENCE_GAPS) * 6 / 5
    }

    fn first_event(&mut self) {
        if self.has_event {
            return;
        }
        self.has_event = true;
        self.has_passed_on = true;
        if let Some(begun) = &mut self.begun {
            begun.work.first_part();
        }
        self.exchange.first_part(&self.choice);
    }

    /// The body has ended. Nothing is given where its end cannot be a stream's.
    fn end(&mut self) -> Option<Option<Result<Bytes, RelayError>>> {
        let begun = self.begun.take()?;
        if self.splitter.has_partial_event() && !begun.framed {
            return None;
        }
        self.done = true;
        self.exchange.conclude(STREAMED);
        self.exchange.run_completed();
        let node = &self.exchange.node;
        node.pool.borrow_mut().put(&begun.work.backend, begun.connection, node.now());
        let rest = self.splitter.finish();
        Some((!rest.is_empty()).then_some(Ok(rest)))
    }

    /// Lets another back end go on; the run before has ended, or must not begin any more.
    async fn resume_without_run(&mut self, ended: AttemptFailure) -> bool {
        self.let_go();
        self.resume(ended).await
    }

    /// Lets another back end go on behind the last whole event. A run that is only silent is kept until the other may have
    /// begun: where that one refuses, the stream goes on as it was. Whether the stream goes on at all.
    async fn resume(&mut self, ended: AttemptFailure) -> bool {
        self.exchange.spent.may_have_run = true;
        let known = self.exchange.account.choice.clone();
        let resumed = if is_resumable(self.exchange.route.kind) {
            self.go_on_elsewhere(ended).await
        } else {
            self.go_on_from_copy(ended).await
        };
        if resumed {
            return true;
        }
        // Nobody else takes the stream: the silent run is waited for to its end.
        self.exchange.account.choice = known;
        self.waits_on = true;
        self.begun.is_some()
    }

    async fn go_on_elsewhere(&mut self, mut ended: AttemptFailure) -> bool {
        let mut asked = self.choice.clone();
        loop {
            if self.exchange.decide(&asked, &ended) != NextAction::Retry {
                return false;
            }
            if self.exchange.held_for().is_some() {
                return false;
            }
            let Some(choice) = self.exchange.place() else { return false };
            let resume = Resume { after: self.splitter.last_id(), continues: None };
            asked = choice.clone();
            ended = match self.ask(choice, resume).await {
                Ok(()) => return true,
                Err(ended) => ended,
            };
        }
    }

    /// Goes on where a copy of the run's memory is: that is the same run, and no second one.
    async fn go_on_from_copy(&mut self, ended: AttemptFailure) -> bool {
        let Some((next, run)) = self.exchange.copy_of(&self.choice).filter(|_| self.has_event) else {
            self.exchange.decide(&self.choice, &ended);
            return false;
        };
        let ended = AttemptFailure { end: AttemptEnd::Copied, ..ended };
        let goes_on = self.exchange.decide(&self.choice, &ended) == NextAction::Retry;
        if !goes_on || self.exchange.held_for().is_some() {
            return false;
        }
        let resume = Resume { after: self.splitter.last_id(), continues: Some(run) };
        let holder = next.clone();
        match self.ask(next, resume).await {
            Ok(()) => true,
            Err(ended) if self.begun.is_some() => {
                self.exchange.decide(&holder, &ended);
                false
            }
            // The run before may have gone further than the caller has seen: nothing else may take it up.
            Err(ended) => {
                self.exchange.decide(&holder, &AttemptFailure { end: AttemptEnd::Unclear, ..ended });
                false
            }
        }
    }

    /// Asks another back end to go on, and lets the run before go once that one has begun or may have.
    async fn ask(&mut self, choice: Choice, resume: Resume) -> Result<(), AttemptFailure> {
        let node = Rc::clone(&self.exchange.node);
        let begins_at = (!self.has_event).then_some(&self.choice);
        let attempt = self.exchange.attempt(&choice, resume);
        let result = node.attempt_beside(&mut self.begun, begins_at, attempt).await;
        let result = match result {
            Ok(begun) if !begun.head.status.is_success() => {
                Err(AttemptFailure::unclear(format!("status {}", begun.head.status)))
            }
            result => result,
        };
        match result {
            Ok(begun) => {
                self.let_go();
                self.take_over(choice, begun);
                Ok(())
            }
            Err(ended) => {
                // Only what has certainly not begun leaves the run before to itself.
                if !matches!(ended.end, AttemptEnd::NotSent | AttemptEnd::NotRun | AttemptEnd::Misdirected) {
                    self.let_go();
                }
                Err(ended)
            }
        }
    }

    /// The run before is left, with what it has sent of an event.
    fn let_go(&mut self) {
        self.begun = None;
        self.splitter.finish();
    }

    fn take_over(&mut self, choice: Choice, begun: AttemptAnswer) {
        self.exchange.resumed();
        // A copy goes on in the run that the caller has events of; any other run begins anew.
        self.has_event &= !is_resumable(self.exchange.route.kind);
        if !self.has_passed_on {
            self.head = begun.head.clone();
        }
        self.choice = choice;
        self.begun = Some(begun);
        self.heard_at = self.exchange.node.now();
    }

    fn give_up(&mut self, outcome: &'static str, error: RelayError) -> RelayError {
        self.begun = None;
        self.done = true;
        self.exchange.conclude(outcome);
        error
    }
}
