//! Outcomes for callers whose claim is not granted.
//!
//! None of these refusals says "not run": an earlier attempt under the key may have run, and a coordinator
//! without a majority cannot rule that out.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::{
    identity::NodeId,
    peer::claims::{ClaimReply, Fingerprint, RecordedOutcome},
    refusal::{Outcome, Refusal, RefusalCode},
};

use super::ClaimOutcome;

type Replies = BTreeMap<NodeId, Option<ClaimReply>>;

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the outcome that a single reply determines: the stored answer, or a key that belongs to another
/// request.
pub(super) fn known_outcome(replies: &Replies, requested: Fingerprint) -> Option<ClaimOutcome> {
    replies.values().flatten().find_map(|reply| match reply {
        ClaimReply::InProgress { fingerprint } | ClaimReply::Ended { fingerprint, .. }
            if *fingerprint != requested =>
        {
            Some(refused(
                RefusalCode::KeyReused,
                "the idempotency key belongs to a different request: send a new key with each new operation",
            ))
        }
        ClaimReply::Ended { outcome: RecordedOutcome::Completed { answer }, .. } => {
            Some(stored_answer(answer.as_ref()))
        }
        _ => None,
    })
}

fn stored_answer(answer: Option<&String>) -> ClaimOutcome {
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

/// Returns the refusal for a claim without a majority, by the most informative reply.
pub(super) fn not_granted(replies: &Replies) -> ClaimOutcome {
    let has = |test: fn(&ClaimReply) -> bool| replies.values().flatten().any(test);
    if has(|reply| matches!(reply, ClaimReply::Ended { .. })) {
        return refused(
            RefusalCode::BackendFailed,
            "an earlier try under this idempotency key ended without a known outcome and may have run: \
             ask the service whether it did",
        );
    }
    if has(|reply| matches!(reply, ClaimReply::InProgress { .. })) {
        return refused_temporarily(
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
    refused_temporarily(
        RefusalCode::Unavailable,
        "too few replicas of the idempotency key answered: ask again with the same key, which cannot run \
         the request twice",
    )
}

/// The deadline passed before the claim was granted.
pub(super) fn deadline_exceeded() -> ClaimOutcome {
    refused(
        RefusalCode::DeadlineExceeded,
        "the deadline passed before the idempotency key was claimed: ask again with the same key",
    )
}

/// The deadline passed while the request was running.
pub(super) fn run_deadline() -> Refusal {
    Refusal::unknown(
        RefusalCode::DeadlineExceeded,
        "the deadline passed while the request was running: ask again with the same key for its outcome",
    )
}

fn refused(code: RefusalCode, message: &str) -> ClaimOutcome {
    ClaimOutcome::Refused(Refusal::unknown(code, message))
}

fn refused_temporarily(code: RefusalCode, message: &str) -> ClaimOutcome {
    ClaimOutcome::Refused(Refusal::unknown(code, message).with_retry_after(RETRY_AFTER))
}
