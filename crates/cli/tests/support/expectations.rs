//! Expected answers, byte by byte.

use paddlemount_protocol::{
    caller::{
        ChatChoice, ChatChunk, ChatMessage, ChatResponse, ChunkChoice, ChunkDelta, PromptTokensDetails,
        Usage, prompt_text,
    },
    prefix::{CacheScope, prompt_tokens},
};
use paddlemount_standins::engine::answer::{AnswerPlan, expected_answer};
use serde_json::{Value, json};

use super::{Answer, MODEL, TENANT, WEIGHTS};

pub fn conversation(topic: &str) -> Vec<ChatMessage> {
    let terms = "The hirer returns the vehicle clean and with a full tank. ".repeat(40);
    vec![
        ChatMessage { role: "system".into(), content: terms },
        ChatMessage { role: "user".into(), content: format!("What of {topic}? äöü ✓") },
    ]
}

pub fn body(messages: &[ChatMessage], stream: bool, max_tokens: u32) -> Value {
    json!({ "model": MODEL, "messages": messages, "stream": stream, "max_tokens": max_tokens })
}

pub struct Expected {
    pub tokens: Vec<String>,
    pub reason: &'static str,
    pub prompt_tokens: u32,
}

pub fn expected(messages: &[ChatMessage], max_tokens: u32) -> Expected {
    let prompt = prompt_text(messages);
    let model = MODEL.into();
    let scope = CacheScope::new(&TENANT.into(), &model, WEIGHTS, None);
    let plan = AnswerPlan::new(&model, WEIGHTS, scope, &prompt, max_tokens);
    Expected {
        tokens: expected_answer(&model, WEIGHTS, scope, &prompt, max_tokens),
        reason: if plan.reason == paddlemount_protocol::engine::FinishReason::Stop {
            "stop"
        } else {
            "length"
        },
        prompt_tokens: prompt_tokens(prompt.len()),
    }
}

pub fn usage(expected: &Expected, cached_tokens: u32) -> Usage {
    let completion_tokens = expected.tokens.len() as u32;
    Usage {
        prompt_tokens: expected.prompt_tokens,
        completion_tokens,
        total_tokens: expected.prompt_tokens + completion_tokens,
        prompt_tokens_details: PromptTokensDetails { cached_tokens },
    }
}

/// Builds the expected stream with the identifier, time and cached tokens of `answer`.
pub fn expected_stream(answer: &Answer, expected: &Expected) -> String {
    let events: Vec<&str> = answer.text().split("\n\n").collect();
    let first: ChatChunk = serde_json::from_str(events[0].strip_prefix("data: ").unwrap()).unwrap();
    let last = events[events.len() - 3].strip_prefix("data: ").unwrap();
    let last: ChatChunk = serde_json::from_str(last).unwrap();
    let cached = last.usage.expect("the last chunk has usage").prompt_tokens_details.cached_tokens;
    let chunk = |delta, finish_reason: Option<String>, usage| {
        let chunk = ChatChunk {
            choices: vec![ChunkChoice { index: 0, delta, finish_reason }],
            usage,
            ..first.clone()
        };
        format!("data: {}\n\n", serde_json::to_string(&chunk).unwrap())
    };
    let mut text = chunk(ChunkDelta { role: Some("assistant".into()), content: None }, None, None);
    for token in &expected.tokens {
        text.push_str(&chunk(ChunkDelta { role: None, content: Some(token.clone()) }, None, None));
    }
    let usage = usage(expected, cached);
    text.push_str(&chunk(ChunkDelta::default(), Some(expected.reason.into()), Some(usage)));
    text + "data: [DONE]\n\n"
}

pub fn check_stream(answer: &Answer, messages: &[ChatMessage], max_tokens: u32) {
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(answer.complete);
    assert_eq!(answer.header("content-type"), Some("text/event-stream"));
    let expected = expected(messages, max_tokens);
    assert_eq!(answer.text(), expected_stream(answer, &expected));
    let id = answer.header("x-request-id").unwrap();
    assert!(answer.text().contains(&format!("\"id\":\"{id}\"")));
}

pub fn check_complete(answer: &Answer, messages: &[ChatMessage], max_tokens: u32) {
    assert_eq!(answer.status, 200, "{answer:?}");
    let expected = expected(messages, max_tokens);
    let received: ChatResponse = serde_json::from_slice(&answer.body).unwrap();
    let message = ChatMessage { role: "assistant".into(), content: expected.tokens.concat() };
    let expected_response = ChatResponse {
        id: answer.header("x-request-id").unwrap().into(),
        object: "chat.completion".into(),
        created: received.created,
        model: MODEL.into(),
        choices: vec![ChatChoice { index: 0, message, finish_reason: Some(expected.reason.into()) }],
        usage: usage(&expected, received.usage.prompt_tokens_details.cached_tokens),
    };
    assert_eq!(answer.body, serde_json::to_vec(&expected_response).unwrap());
}
