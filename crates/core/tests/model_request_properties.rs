//! Invariants of a model request under every sequence of events.

mod model_request_support;

use std::time::Duration;

use model_request_support::{
    INCARNATION, at, attempt, end, frame, precondition, refused, spec, start, text, token,
};
use paddlemount_core::request::{
    ModelRequest, RequestAction as Action, RequestEvent as Event, RequestSettings,
};
use paddlemount_protocol::{
    engine::FrameContent,
    identity::Incarnation,
    refusal::{Outcome, RefusalCode},
};

/// Checks the actions of a request against the events that it got.
struct Observer {
    emitted: u32,
    endings: u32,
    may_have_run: bool,
    repeatable: bool,
    may_send: bool,
    /// Whether the last attempt has not ended; later events of it have no effect.
    attempt_is_open: bool,
}

impl Observer {
    fn check(&mut self, action: &Action) {
        assert_eq!(self.endings, 0, "nothing follows the end: {action:?}");
        match action {
            Action::Emit { index, text: got } => {
                assert_eq!((*index, got), (self.emitted, &text(*index)));
                self.emitted += 1;
            }
            Action::Finish { tokens, .. } => {
                assert_eq!(*tokens, self.emitted);
                self.endings += 1;
            }
            Action::Refuse { refusal } => {
                assert!(refusal.retry_after_ms.is_some());
                assert!(refusal.outcome == Outcome::Unknown || !self.may_have_run);
                self.endings += 1;
            }
            Action::Dispatch { answer_prefix, .. } => {
                assert!(
                    self.repeatable || self.may_send,
                    "a second attempt of a request that is not repeatable"
                );
                assert_eq!(*answer_prefix, (0..self.emitted).map(text).collect::<Vec<_>>());
                self.may_send = false;
                self.attempt_is_open = true;
            }
            Action::Ended { .. } => self.attempt_is_open = false,
            _ => {}
        }
    }

    /// Updates the expected state of the request.
    fn observe(&mut self, event: &Event, attempts: u32) {
        if !self.attempt_is_open {
            return;
        }
        match event {
            Event::Refused { attempt: of, .. } | Event::NotSent { attempt: of }
                if *of == attempt(attempts) =>
            {
                self.may_send = true;
            }
            Event::Frame(frame) if frame.attempt == attempt(attempts) => self.may_have_run = true,
            Event::ConnectionLost { attempt: of, .. } if *of == attempt(attempts) => self.may_have_run = true,
            _ => {}
        }
    }
}

fn arbitrary_event(choice: (u8, u8, u8), attempts: u32) -> Event {
    let (kind, number, index) = choice;
    let number = if number % 4 == 0 { 1 + u32::from(number / 4) % 4 } else { attempts };
    let index = u32::from(index % 6);
    match kind % 12 {
        0 => Event::EngineChosen(precondition(if index % 2 == 0 { "a" } else { "b" })),
        1 => Event::NoEngineAvailable { retry_after: Some(Duration::from_millis(5)) },
        2 => refused(number, RefusalCode::Overloaded),
        3 => refused(number, RefusalCode::PreconditionFailed),
        4 => Event::NotSent { attempt: attempt(number) },
        5 => Event::ConnectionLost { attempt: attempt(number), resumable: index % 2 == 0 },
        6 => start(number, if index == 5 { Incarnation(8) } else { INCARNATION }),
        7 | 8 => token(number, index),
        9 => end(number, index),
        10 => Event::Tick,
        _ => frame(number, FrameContent::Failed { message: "gave up".into() }),
    }
}

#[test]
fn every_sequence_of_events_keeps_the_promises() {
    bolero::check!().with_iterations(20_000).with_type::<(bool, Vec<((u8, u8, u8), u16)>)>().for_each(
        |(repeatable, steps)| {
            let mut request = ModelRequest::new(RequestSettings::default(), spec(*repeatable));
            let mut observer = Observer {
                emitted: 0,
                endings: 0,
                may_have_run: false,
                repeatable: *repeatable,
                may_send: true,
                attempt_is_open: false,
            };
            let mut now = at(0);
            for action in request.handle(Event::Arrived, now) {
                observer.check(&action);
            }
            for (choice, wait) in steps {
                now = now + Duration::from_millis(u64::from(*wait));
                let event = arbitrary_event(*choice, request.attempts());
                observer.observe(&event, request.attempts());
                for action in request.handle(event, now) {
                    observer.check(&action);
                }
            }
        },
    );
}
