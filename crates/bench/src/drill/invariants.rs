//! Invariant checks on the history of a run.

use std::time::Duration;

use paddlemount_protocol::{
    configuration::{ChangeOutcome, RevisedConfiguration},
    identity::Revision,
    refusal::Outcome,
    time::Timestamp,
};

use super::history::{Answer, AnswerEnding, History, Invariant};

/// Adds the violations that show only at the end of a run.
pub fn check_all(history: &mut History, documents: &[RevisedConfiguration], end: Timestamp) {
    check_answers(history, end);
    check_bookings(history, end);
    check_changes(history, documents, end);
}

fn check_answers(history: &mut History, end: Timestamp) {
    let answers = std::mem::take(&mut history.answers);
    for (request, answer) in &answers {
        let name = request.as_str();
        let mut violated =
            |invariant, description: String| history.record_violation(invariant, end, description, &[name]);
        match &answer.ending {
            Some(AnswerEnding::Finished) => {
                if let Some(description) = find_wrong_order(name, answer) {
                    violated(Invariant::WholeStream, description);
                }
                if let Some(description) = find_foreign_text(name, answer) {
                    violated(Invariant::OwnAnswer, description);
                }
            }
            Some(AnswerEnding::Refused(refusal)) => {
                if refusal.outcome == Outcome::NotRun && answer.ran {
                    violated(
                        Invariant::NotRunIsTrue,
                        format!("refused as not run, yet an engine ran it: {refusal}"),
                    );
                }
                if answer.must_be_served {
                    violated(
                        Invariant::ServesAfterRestart,
                        format!("refused by a restarted node: {refusal}"),
                    );
                }
            }
            Some(AnswerEnding::CutByStop) => {
                violated(Invariant::StopCutsNothing, "cut off by a planned stop".to_owned());
            }
            Some(AnswerEnding::NodeCrashed) => {}
            None if answer.must_be_served => {
                violated(Invariant::ServesAfterRestart, "never answered by a restarted node".to_owned());
            }
            None => violated(Invariant::WholeStream, "neither ended nor refused".to_owned()),
        }
    }
    history.answers = answers;
}

/// Splits `request/attempt/index`.
fn split_token_text(text: &str) -> (&str, u32, u32) {
    let mut parts = text.rsplitn(3, '/');
    let index = parts.next().and_then(|part| part.parse().ok()).unwrap_or(u32::MAX);
    let attempt = parts.next().and_then(|part| part.parse().ok()).unwrap_or(u32::MAX);
    (parts.next().unwrap_or_default(), attempt, index)
}

fn find_wrong_order(request: &str, answer: &Answer) -> Option<String> {
    if answer.received.len() != answer.tokens as usize {
        return Some(format!("{request}: {} of {} tokens", answer.received.len(), answer.tokens));
    }
    let out_of_place = answer
        .received
        .iter()
        .enumerate()
        .find(|(position, text)| split_token_text(text).2 as usize != *position);
    out_of_place.map(|(position, text)| format!("{request}: {text} at place {position}"))
}

/// Finds text of another request, or of an earlier attempt after a later one.
fn find_foreign_text(request: &str, answer: &Answer) -> Option<String> {
    let mut latest = 0;
    for text in &answer.received {
        let (owner, attempt, _) = split_token_text(text);
        if owner != request || attempt < latest {
            return Some(format!("{request} got {text} after try {latest}"));
        }
        latest = attempt;
    }
    None
}

fn check_bookings(history: &mut History, end: Timestamp) {
    let bookings = std::mem::take(&mut history.bookings);
    for (key, booking) in &bookings {
        if booking.runs.len() > 1 {
            let description = format!("ran {} times, at {:?}", booking.runs.len(), booking.runs);
            history.record_violation(Invariant::AtMostOnce, end, description, &[key]);
        }
        let contradicted = booking
            .not_run_at
            .iter()
            .find(|reported_at| booking.runs.iter().any(|(_, ran)| ran <= *reported_at));
        if let Some(reported_at) = contradicted {
            let description = format!("refused as not run at {} ms, after it ran", reported_at.as_millis());
            history.record_violation(Invariant::NotRunIsTrue, end, description, &[key]);
        }
        let foreign = booking.answers.iter().find(|answer| !answer.contains(key.as_str()));
        if let Some(answer) = foreign {
            history.record_violation(Invariant::OwnAnswer, end, format!("got {answer}"), &[key]);
        }
    }
    history.bookings = bookings;
}

/// Checks that an accepted change stays in the document and that a refused one never enters it.
fn check_changes(history: &mut History, documents: &[RevisedConfiguration], end: Timestamp) {
    let changes = std::mem::take(&mut history.changes);
    for (id, change) in &changes {
        let holds = |document: &&RevisedConfiguration| {
            document.configuration.changes.iter().any(|record| record.id == *id)
        };
        let accepted = match &change.ended {
            Some((_, ChangeOutcome::InForce { revision, .. } | ChangeOutcome::Accepted { revision, .. })) => {
                Some(*revision)
            }
            Some((_, ChangeOutcome::Refused { .. })) if documents.iter().any(|document| holds(&document)) => {
                let description = "refused, yet it was made".to_owned();
                history.record_violation(Invariant::ConfigurationStays, end, description, &[id.as_str()]);
                None
            }
            _ => None,
        };
        let Some(revision) = accepted else { continue };
        let lost = documents
            .iter()
            .filter(|document| document.revision >= revision)
            .find(|document| !holds(document));
        if let Some(document) = lost {
            let description =
                format!("accepted in revision {revision}, gone in revision {}", document.revision);
            history.record_violation(Invariant::ConfigurationStays, end, description, &[id.as_str()]);
        }
    }
    history.changes = changes;
}

/// Time within which an accepted configuration must be in force at every serving node.
pub const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(9);

/// The oldest revision that a serving node may hold at `now`.
pub fn required_revision(history: &History, now: Timestamp) -> Revision {
    let due = |(_, accepted): &(&Revision, &Timestamp)| **accepted + PROPAGATION_TIMEOUT <= now;
    history.accepted_at.iter().filter(due).map(|(revision, _)| *revision).max().unwrap_or_default()
}
