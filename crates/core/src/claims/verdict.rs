//! What a caller is told when its claim is not granted.
//!
//! None of these refusals says "not run": an earlier try under the key may have run, and a
//! coordinator without a majority cannot know that none has.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::{
    identity::NodeId,
    peer::claims::{ClaimReply, Fingerprint, RecordedEnding},
    refusal::{Outcome, Refusal, RefusalCode},
};

use super::ClaimOutcome;

type Replies = BTreeMap<NodeId, Option<ClaimReply>>;

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What a single reply settles: the kept answer, or that the key belongs to another request.
pub(super) fn known_ending(replies: &Replies, asked: Fingerprint) -> Option<ClaimOutcome> {
    replies.values().flatten().find_map(|reply| match reply {
        ClaimReply::Held { fingerprint } | ClaimReply::Ended { fingerprint, .. } if *fingerprint != asked => {
            Some(refused(
                RefusalCode::KeyReused,
                "the idempotency key belongs to a different request: send a new key with each new operation",
            ))
        }
        ClaimReply::Ended { ending: RecordedEnding::Completed { answer }, .. } => Some(kept(answer.as_ref())),
        _ => None,
    })
}

fn kept(answer: Option<&String>) -> ClaimOutcome {
    match answer {
        Some(answer) => ClaimOutcome::Answered { answer: answer.clone(), replayed: true },
        None => ClaimOutcome::Refused(Refusal {
            code: RefusalCode::TooLarge,
            outcome: Outcome::Completed,
            message: "the request has run to its end; its answer was too large to be kept".to_owned(),
            retry_after_ms: None,
        }),
    }
}

/// Why no majority granted the claim; the reply that tells the caller most goes first.
pub(super) fn not_granted(replies: &Replies) -> ClaimOutcome {
    let has = |test: fn(&ClaimReply) -> bool| replies.values().flatten().any(test);
    if has(|reply| matches!(reply, ClaimReply::Ended { .. })) {
        return refused(
            RefusalCode::BackendFailed,
            "an earlier try under this idempotency key ended without a known outcome and may have run: \
             ask the service whether it did",
        );
    }
    if has(|reply| matches!(reply, ClaimReply::Held { .. })) {
        return refused_for_now(
            RefusalCode::InProgress,
            "another try under this idempotency key is running: ask again with the same key",
        );
    }
    if has(|reply| matches!(reply, ClaimReply::TooOld { .. })) {
        return refused(
            RefusalCode::KeyTooOld,
            "the idempotency key is older than what its replicas remember, so an earlier try under it may \
             have run: ask the service whether it did, and only then send a new key",
        );
    }
    if has(|reply| matches!(reply, ClaimReply::FromFuture { .. })) {
        return refused(
            RefusalCode::InvalidRequest,
            "the idempotency key's time of issue lies in the future: set the clock of the machine that makes keys",
        );
    }
    refused_for_now(
        RefusalCode::Unavailable,
        "too few replicas of the idempotency key answered: ask again with the same key, which cannot run \
         the request twice",
    )
}

/// The caller's deadline passed before the claim was granted.
pub(super) fn deadline_exceeded() -> ClaimOutcome {
    refused(
        RefusalCode::DeadlineExceeded,
        "the deadline passed before the idempotency key was claimed: ask again with the same key",
    )
}

/// The caller's deadline passed while the request ran.
pub(super) fn run_deadline() -> Refusal {
    Refusal::unknown(
        RefusalCode::DeadlineExceeded,
        "the deadline passed while the request was running: ask again with the same key for its outcome",
    )
}

fn refused(code: RefusalCode, message: &str) -> ClaimOutcome {
    ClaimOutcome::Refused(Refusal::unknown(code, message))
}

fn refused_for_now(code: RefusalCode, message: &str) -> ClaimOutcome {
    ClaimOutcome::Refused(Refusal::unknown(code, message).with_retry_after(RETRY_AFTER))
}
