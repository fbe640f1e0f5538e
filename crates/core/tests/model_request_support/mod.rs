//! Builders of model request events for tests.

use paddlemount_core::request::{RequestEvent as Event, RequestSpec};
use paddlemount_protocol::{
    engine::{EngineRefusal, FinishReason, Frame, FrameContent, LoadReport, Precondition},
    identity::{AttemptId, EngineId, Incarnation, RequestId, WeightsVersion},
    refusal::RefusalCode,
    time::Timestamp,
};

pub const INCARNATION: Incarnation = Incarnation(7);

pub fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

pub fn spec(repeatable: bool) -> RequestSpec {
    RequestSpec { request: RequestId::from("r"), repeatable, max_tokens: 4, deadline: at(60_000) }
}

pub fn attempt(number: u32) -> AttemptId {
    spec(true).attempt(number)
}

pub fn precondition(engine: &str) -> Precondition {
    Precondition {
        engine: EngineId::from(engine),
        incarnation: INCARNATION,
        model: "m".into(),
        weights: WeightsVersion(1),
        adapter: None,
    }
}

pub fn frame(number: u32, content: FrameContent) -> Event {
    Event::Frame(Frame { attempt: attempt(number), content })
}

pub fn start(number: u32, incarnation: Incarnation) -> Event {
    let load = LoadReport::default();
    frame(number, FrameContent::Start { incarnation, prompt_tokens: 9, cached_tokens: 3, load })
}

pub fn token(number: u32, index: u32) -> Event {
    frame(number, FrameContent::Token { index, text: text(index) })
}

pub fn end(number: u32, tokens: u32) -> Event {
    frame(number, FrameContent::End { tokens, reason: FinishReason::Stop, load: LoadReport::default() })
}

pub fn text(index: u32) -> String {
    format!("t{index}")
}

pub fn refused(number: u32, code: RefusalCode) -> Event {
    let refusal = EngineRefusal {
        code,
        incarnation: INCARNATION,
        loaded: None,
        message: "no".into(),
        retry_after_ms: Some(250),
    };
    Event::Refused { attempt: attempt(number), refusal }
}
