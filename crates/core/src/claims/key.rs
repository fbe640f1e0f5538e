//! Parses and hashes idempotency keys.

use std::time::Duration;

use paddlemount_protocol::{
    identity::{IdempotencyKey, ServiceId, TenantId},
    peer::claims::{ClaimKey, Fingerprint},
    time::Timestamp,
};
use xxhash_rust::xxh3::xxh3_64;

/// Length of the text form, and positions in it.
const UUID_LENGTH: usize = 36;
const UUID_HYPHENS: [usize; 4] = [8, 13, 18, 23];
const UUID_VERSION: usize = 14;
const UUID_VARIANT: usize = 19;
/// Hexadecimal digits of the time in milliseconds, with which the UUID begins.
const TIME_DIGITS: usize = 12;

/// The idempotency key is not a UUID of version 7.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "the idempotency key is not a UUID of version 7; such a UUID carries the time at which it was made, \
     and without that time a lost claim could not be told from a new one: make one UUID of version 7 for \
     each operation and send it with each retry of the operation"
)]
pub struct InvalidKey;

/// Returns the time at which a key was made, by its issuer's clock.
///
/// # Errors
///
/// Returns an error if the key is not a UUID of version 7 in the usual form with hyphens.
pub fn issued_at(key: &IdempotencyKey) -> Result<Timestamp, InvalidKey> {
    let text = key.as_str().as_bytes();
    if text.len() != UUID_LENGTH || text[UUID_VERSION] != b'7' {
        return Err(InvalidKey);
    }
    if !matches!(text[UUID_VARIANT], b'8' | b'9' | b'a' | b'b' | b'A' | b'B') {
        return Err(InvalidKey);
    }
    let well_formed = text.iter().enumerate().all(|(position, byte)| {
        if UUID_HYPHENS.contains(&position) { *byte == b'-' } else { byte.is_ascii_hexdigit() }
    });
    if !well_formed {
        return Err(InvalidKey);
    }
    let digits: String = key.as_str().chars().filter(char::is_ascii_hexdigit).take(TIME_DIGITS).collect();
    let milliseconds = u64::from_str_radix(&digits, 16).map_err(|_| InvalidKey)?;
    Ok(Timestamp::ZERO + Duration::from_millis(milliseconds))
}

/// Returns the digest of a request to a service. `body` must be in canonical form, such as JSON with sorted
/// names.
pub fn fingerprint(service: &ServiceId, operation: &str, body: &str) -> Fingerprint {
    let mut bytes = Vec::with_capacity(service.as_str().len() + operation.len() + body.len() + 2);
    for part in [service.as_str(), operation, body] {
        bytes.extend_from_slice(part.as_bytes());
        bytes.push(0);
    }
    Fingerprint(xxh3_64(&bytes))
}

/// Returns the claim key for a tenant's idempotency key, in lower case as the hexadecimal digits of a UUID
/// are case-insensitive.
pub fn claim_key(tenant: &TenantId, key: &IdempotencyKey) -> ClaimKey {
    ClaimKey { tenant: tenant.clone(), key: IdempotencyKey::from(key.as_str().to_ascii_lowercase()) }
}
