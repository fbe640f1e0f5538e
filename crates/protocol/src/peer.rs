//! Messages between nodes.
//!
//! | module | path | body → answer |
//! |---|---|---|
//! | [`membership`] | [`membership::PATH`] | [`MembershipRequest`](membership::MembershipRequest) → [`MembershipAnswer`](membership::MembershipAnswer) |
//! | [`claims`] | `/peer/claims` | [`ClaimMessage`](claims::ClaimMessage) → [`ClaimReply`](claims::ClaimReply) |
//! | [`configuration`] | [`configuration::PATH`] | [`ConfigurationRequest`](configuration::ConfigurationRequest) → [`ConfigurationAnswer`](configuration::ConfigurationAnswer) |
//!
//! All are `POST` requests with JSON bodies, signed as described in [`header`](crate::header).

pub mod claims;
pub mod configuration;
pub mod membership;

use std::io;

use serde::Serialize;

/// Counts bytes instead of storing them.
struct ByteCounter(usize);

impl io::Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the length of `value` as JSON, or `usize::MAX` if it cannot be serialised.
pub fn encoded_bytes(value: &impl Serialize) -> usize {
    let mut counter = ByteCounter(0);
    match serde_json::to_writer(&mut counter, value) {
        Ok(()) => counter.0,
        Err(_) => usize::MAX,
    }
}
