//! Commands that change the configuration.

use std::sync::Arc;

use paddlemount_core::decisions::Mechanism;
use paddlemount_language::{
    answer::{Answer, Body, describe_outcome},
    change::{TranslatedChange, translate},
    tree::{ChangeCommand, Statement},
};
use paddlemount_protocol::{
    configuration::{ChangeOutcome, ChangeRequest, RevisedConfiguration},
    identity::ChangeId,
};
use uuid::Uuid;

use super::{access::Operator, cluster, observations::AuditEntry};
use crate::state::NodeState;

/// Submits a change, waits for its outcome, and writes it to the audit trail.
pub async fn submit(state: &Arc<NodeState>, operator: &Operator, mut command: ChangeCommand) -> Answer {
    let at = state.clock.now();
    let id = command.id.get_or_insert_with(|| ChangeId::from(Uuid::now_v7().to_string())).clone();
    let current = state.configuration.load().document.clone();
    let text = command_text(&command);
    let (based_on, outcome) = match translate(&command, &current) {
        Ok(translated) => {
            let request = change_request(operator, &command, id.clone(), translated);
            let based_on = request.if_revision;
            (based_on, with_settling_query(cluster::submit_change(state, request).await, &id))
        }
        Err(error) => match earlier_request(&current, &command, operator, &id) {
            Some(request) => (None, with_settling_query(cluster::submit_change(state, request).await, &id)),
            None => {
                let (revision, reason) = (current.revision, error.to_string());
                (command.if_revision, ChangeOutcome::Refused { revision, reason })
            }
        },
    };
    let operator = operator.name.clone();
    let sentence = describe_outcome(&outcome);
    let detail = format!("{text} by {operator}: {sentence}");
    state.observations.event(Mechanism::Configuration, "change", &id, detail);
    let (change, command) = (id.clone(), text);
    state.observations.audit(AuditEntry {
        change,
        operator,
        at,
        command,
        based_on,
        outcome: outcome.clone(),
    });
    Answer::from_single_node(Body::Change { change: id, outcome, sentence })
}

fn change_request(
    operator: &Operator,
    command: &ChangeCommand,
    id: ChangeId,
    translated: TranslatedChange,
) -> ChangeRequest {
    ChangeRequest {
        id,
        operator: operator.name.clone(),
        if_revision: translated.if_revision,
        change: translated.change,
        command: command_text(command),
        dry_run: command.dry_run,
    }
}

/// The command for the audit trail, without the change's id, which is a field of its own.
fn command_text(command: &ChangeCommand) -> String {
    let command = ChangeCommand { id: None, dry_run: false, ..command.clone() };
    Statement::Change(command).to_string()
}

/// The original request of a command that was accepted before under the same id and no longer fits the
/// configuration, such as a `create` whose object exists. Submitting it again is idempotent.
fn earlier_request(
    current: &RevisedConfiguration,
    command: &ChangeCommand,
    operator: &Operator,
    id: &ChangeId,
) -> Option<ChangeRequest> {
    let record = current.configuration.changes.iter().find(|record| record.id == *id)?;
    let change = record.change.clone().filter(|_| record.command == command_text(command))?;
    Some(change_request(operator, command, id.clone(), TranslatedChange { change, if_revision: None }))
}

/// Replaces the query that settles an unknown outcome by one in the operator language.
fn with_settling_query(outcome: ChangeOutcome, id: &ChangeId) -> ChangeOutcome {
    match outcome {
        ChangeOutcome::Unknown { .. } => {
            ChangeOutcome::Unknown { status_query: format!("show changes where change = \"{id}\"") }
        }
        other => other,
    }
}
