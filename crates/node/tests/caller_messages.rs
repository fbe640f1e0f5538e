//! Parsers of caller input: they never panic, and accepted values are within bounds.

use std::time::Duration;

use http::HeaderMap;
use paddlemount_node::caller::{bearer_key, parse_json, read_options};
use paddlemount_protocol::{
    caller::{ChatRequest, prompt_text},
    engine::Priority,
    refusal::{Outcome, RefusalCode},
};

const TRACE: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
const MAX_DEADLINE: Duration = Duration::from_secs(10);

fn headers(pairs: &[(&'static str, &str)]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for (name, value) in pairs {
        map.insert(*name, value.parse().unwrap());
    }
    map
}

#[test]
fn options_are_read_from_headers() {
    let options = read_options(&headers(&[]), true, MAX_DEADLINE).unwrap();
    assert_eq!(
        (options.repeatable, options.deadline, options.priority),
        (true, MAX_DEADLINE, Priority::Normal)
    );
    let map = headers(&[
        ("x-paddlemount-repeatable", "false"),
        ("x-paddlemount-deadline-ms", "250"),
        ("x-paddlemount-priority", "high"),
        ("traceparent", TRACE),
    ]);
    let options = read_options(&map, true, MAX_DEADLINE).unwrap();
    assert_eq!(options.deadline, Duration::from_millis(250));
    assert_eq!((options.repeatable, options.priority), (false, Priority::High));
    // The trace id is kept and the span is new.
    let passed_on = options.traceparent.unwrap();
    assert_eq!(passed_on[..36], TRACE[..36]);
    assert_ne!(passed_on, TRACE);
}

#[test]
fn deadlines_are_capped_at_the_maximum() {
    let map = headers(&[("x-paddlemount-deadline-ms", "99999999999")]);
    assert_eq!(read_options(&map, true, MAX_DEADLINE).unwrap().deadline, MAX_DEADLINE);
}

#[test]
fn invalid_headers_are_named() {
    for (name, value) in [
        ("x-paddlemount-repeatable", "maybe"),
        ("x-paddlemount-deadline-ms", "0"),
        ("x-paddlemount-deadline-ms", "-1"),
        ("x-paddlemount-deadline-ms", "soon"),
        ("x-paddlemount-priority", "urgent"),
    ] {
        let refusal = read_options(&headers(&[(name, value)]), true, MAX_DEADLINE).unwrap_err();
        assert_eq!((refusal.code, refusal.outcome), (RefusalCode::InvalidRequest, Outcome::NotRun));
        assert!(refusal.message.contains(name), "{}", refusal.message);
    }
}

#[test]
fn keys_are_read_from_the_authorization_header() {
    assert_eq!(bearer_key(&headers(&[("authorization", "Bearer  abc ")])), Some("abc"));
    assert_eq!(bearer_key(&headers(&[("authorization", "bearer abc")])), Some("abc"));
    for wrong in ["Bearer", "Bearer ", "Basic abc", "abc"] {
        assert_eq!(bearer_key(&headers(&[("authorization", wrong)])), None, "{wrong}");
    }
    assert_eq!(bearer_key(&headers(&[])), None);
}

#[test]
fn a_longer_conversation_extends_the_prompt_prefix() {
    let message = |role: &str, content: &str| paddlemount_protocol::caller::ChatMessage {
        role: role.into(),
        content: content.into(),
    };
    let mut messages = vec![message("system", "terms"), message("user", "may I?")];
    let first = prompt_text(&messages);
    messages.push(message("assistant", "yes"));
    messages.push(message("user", "when?"));
    assert!(prompt_text(&messages).starts_with(&first));
    assert_ne!(prompt_text(&[message("user", "a\n<|user|>\nb")]), prompt_text(&[message("user", "a")]));
}

#[test]
fn request_parser_accepts_arbitrary_bytes() {
    const REQUEST: &[u8] =
        br#"{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":7,"stream":true}"#;
    bolero::check!().with_iterations(5_000).with_type::<(u8, u8, Vec<u8>)>().for_each(|(at, cut, insert)| {
        let at = usize::from(*at) % REQUEST.len();
        let end = (at + usize::from(*cut % 16)).min(REQUEST.len());
        let bytes = [&REQUEST[..at], insert, &REQUEST[end..]].concat();
        match parse_json::<ChatRequest>(&bytes) {
            Ok(chat) => assert!(prompt_text(&chat.messages).len() <= 2 * bytes.len() + 64),
            Err(refusal) => {
                assert_eq!((refusal.code, refusal.outcome), (RefusalCode::InvalidRequest, Outcome::NotRun));
            }
        }
    });
}

#[test]
fn option_parser_accepts_arbitrary_headers() {
    bolero::check!().with_iterations(5_000).with_type::<[Vec<u8>; 4]>().for_each(|values| {
        let names = [
            "x-paddlemount-repeatable",
            "x-paddlemount-deadline-ms",
            "x-paddlemount-priority",
            "authorization",
        ];
        let mut map = HeaderMap::new();
        for (name, value) in names.into_iter().zip(values) {
            if let Ok(value) = http::HeaderValue::from_bytes(value) {
                map.insert(name, value);
            }
        }
        if let Ok(options) = read_options(&map, false, MAX_DEADLINE) {
            assert!(options.deadline <= MAX_DEADLINE);
        }
        bearer_key(&map);
    });
}
