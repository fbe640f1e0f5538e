//! Passes a stream of events on, event by event, and resumes it at another back end where the route allows it.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use paddlemount_core::forwarding::{
    attempt::{AttemptEnd, Next},
    choice::Choice,
    events::EventSplitter,
};
use paddlemount_protocol::time::Timestamp;

use crate::{
    account::STREAMED,
    answers::AnswerBody,
    attempts::{Begun, Ended},
    exchange::{Exchange, Resume, is_resumable},
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
    begun: Option<Begun>,
    splitter: EventSplitter,
    has_event: bool,
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
    /// Passes on what has begun; the caller has the events up to `last_event`.
    pub fn new(exchange: Exchange, choice: Choice, begun: Begun, last_event: Option<u64>) -> Self {
        let splitter = EventSplitter::after(last_event);
        let heard_at = exchange.node.now();
        Self {
            exchange,
            choice,
            begun: Some(begun),
            splitter,
            has_event: false,
            waits_on: false,
            heard_at,
            done: false,
        }
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
                    if !self.resume(Ended::broken("ended in the middle of an event".into())).await {
                        return Some(Err(self.give_up("stream_broken", RelayError::Broken)));
                    }
                }
                Heard::Broken(detail) => {
                    if !self.resume(Ended::broken(detail)).await {
                        return Some(Err(self.give_up("stream_broken", RelayError::Broken)));
                    }
                }
                Heard::Pause if !self.exchange.node.is_ejected(&self.choice.backend) => {}
                // Silence alone ends nothing: without another back end the stream is waited for to its end.
                Heard::Silent | Heard::Pause if !self.exchange.has_another() => self.waits_on = true,
                Heard::Silent | Heard::Pause => {
                    if !self.resume(Ended::unclear("silent".into())).await {
                        return Some(Err(self.give_up("stream_broken", RelayError::Broken)));
                    }
                }
                Heard::Outdated => {
                    let late = "not begun before its weights grew too old".into();
                    if !self.resume(Ended::unclear(late)).await {
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
        let begin_by = if self.has_event { None } else { self.exchange.begin_by(&self.choice) };
        let clock = self.exchange.node.clock;
        let until = silent_at.map_or(give_up_at, |at| at.min(give_up_at));
        let until = begin_by.map_or(until, |at| at.min(until));
        // A back end that fails others is given less time: it is looked at again before its silence is certain.
        let look_at = silent_at.map(|_| clock.now() + self.good_pause());
        let until = look_at.map_or(until, |at| at.min(until));
        let Some(begun) = &mut self.begun else { return Heard::Broken("nothing has begun".into()) };
        match clock.within(until, begun.body.frame()).await {
            Some(Some(Ok(frame))) => Heard::Data(frame.into_data().unwrap_or_default()),
            Some(Some(Err(error))) => Heard::Broken(error.to_string()),
            Some(None) => Heard::End,
            None if begin_by == Some(until) => Heard::Outdated,
            None if silent_at.is_some_and(|at| at <= until) => Heard::Silent,
            None if until < give_up_at => Heard::Pause,
            None => Heard::TimeUp,
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
        if let Some(begun) = &mut self.begun {
            begun.work.first_part();
        }
        self.exchange.first_part(&self.choice);
    }

    /// The body has ended. Nothing is given where its end cannot be a stream's.
    fn end(&mut self) -> Option<Option<Result<Bytes, RelayError>>> {
        let begun = self.begun.take()?;
        if self.splitter.holds_part() && !begun.framed {
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

    /// Lets another back end go on behind the last whole event.
    async fn resume(&mut self, mut ended: Ended) -> bool {
        self.begun = None;
        self.splitter.finish();
        self.exchange.spent.may_have_run = true;
        if !is_resumable(self.exchange.route.kind) {
            return self.go_on_from_copy(ended).await;
        }
        loop {
            if self.exchange.decide(&self.choice, &ended) != Next::TryAnother {
                return false;
            }
            if self.exchange.held_for().is_some() {
                return false;
            }
            let Some(choice) = self.exchange.place() else { return false };
            let resume = Resume { after: self.splitter.last_id(), continues: None };
            let result = self.exchange.attempt(&choice, resume).await;
            self.choice = choice;
            match result {
                Ok(begun) if begun.head.status.is_success() => {
                    self.exchange.resumed();
                    self.begun = Some(begun);
                    self.heard_at = self.exchange.node.now();
                    self.has_event = false;
                    return true;
                }
                Ok(begun) => {
                    let detail = format!("status {}", begun.head.status);
                    ended = Ended::unclear(detail);
                }
                Err(error) => ended = error,
            }
        }
    }

    /// Goes on where a copy of the run's memory is: that is the same run, and no second one.
    async fn go_on_from_copy(&mut self, ended: Ended) -> bool {
        let Some((next, run)) = self.exchange.copy_of(&self.choice).filter(|_| self.has_event) else {
            self.exchange.decide(&self.choice, &ended);
            return false;
        };
        let ended = Ended { end: AttemptEnd::Copied, ..ended };
        let goes_on = self.exchange.decide(&self.choice, &ended) == Next::TryAnother;
        if !goes_on || self.exchange.held_for().is_some() {
            return false;
        }
        let resume = Resume { after: self.splitter.last_id(), continues: Some(run) };
        let result = self.exchange.attempt(&next, resume).await;
        self.choice = next;
        match result {
            Ok(begun) if begun.head.status.is_success() => {
                self.exchange.resumed();
                self.begun = Some(begun);
                self.heard_at = self.exchange.node.now();
                true
            }
            Ok(_) => false,
            // The run before may have gone further than the caller has seen: nothing else may take it up.
            Err(ended) => {
                self.exchange.decide(&self.choice, &Ended { end: AttemptEnd::Unclear, ..ended });
                false
            }
        }
    }

    fn give_up(&mut self, outcome: &'static str, error: RelayError) -> RelayError {
        self.begun = None;
        self.done = true;
        self.exchange.conclude(outcome);
        error
    }
}
