//! W3C trace context: the `traceparent` header.

use std::fmt;

/// A trace and the span that sent the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceContext {
    /// The trace; never 0.
    pub trace: u128,
    /// The sender's span; never 0.
    pub span: u64,
    /// Whether the sender records the trace.
    pub sampled: bool,
}

const TRACE_DIGITS: usize = 32;
const SPAN_DIGITS: usize = 16;
const SAMPLED: u8 = 1;

impl TraceContext {
    /// Parses a `traceparent` header. Of later versions, only the fields defined by version 00 are read.
    pub fn parse(header: &str) -> Option<Self> {
        let mut parts = header.trim().split('-');
        let version = hexadecimal(parts.next()?, 2)?;
        let trace = hexadecimal(parts.next()?, TRACE_DIGITS)?;
        let span = hexadecimal(parts.next()?, SPAN_DIGITS)? as u64;
        let flags = hexadecimal(parts.next()?, 2)? as u8;
        let has_more_fields = parts.next().is_some();
        let is_valid = version != 0xff && trace != 0 && span != 0 && !(version == 0 && has_more_fields);
        is_valid.then_some(Self { trace, span, sampled: flags & SAMPLED != 0 })
    }

    /// Starts a trace at this node. Zero ids are invalid and are replaced by 1.
    pub fn new(trace: u128, span: u64) -> Self {
        Self { trace: trace.max(1), span: span.max(1), sampled: false }
    }

    /// The context to forward, with `span` as the sending span.
    pub fn with_span(self, span: u64) -> Self {
        Self { span: span.max(1), ..self }
    }

    /// The trace id in hexadecimal.
    pub fn trace_id(&self) -> String {
        format!("{:032x}", self.trace)
    }
}

fn hexadecimal(text: &str, digits: usize) -> Option<u128> {
    let is_lowercase_hex = text.len() == digits
        && text.bytes().all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte));
    if is_lowercase_hex { u128::from_str_radix(text, 16).ok() } else { None }
}

impl fmt::Display for TraceContext {
    /// Writes the header value.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let flags = if self.sampled { SAMPLED } else { 0 };
        write!(formatter, "00-{:032x}-{:016x}-{flags:02x}", self.trace, self.span)
    }
}
