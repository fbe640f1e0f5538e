//! Entries of the audit trail.

use paddlemount_core::decisions::MemorySize;
use paddlemount_protocol::{
    configuration::ChangeOutcome,
    identity::{ChangeId, OperatorId, Revision},
    time::Timestamp,
};

/// A configuration change that was requested at this node.
#[derive(Clone, Debug, PartialEq)]
pub struct AuditEntry {
    pub change: ChangeId,
    pub operator: OperatorId,
    pub at: Timestamp,
    /// The command, in the operator language.
    pub command: String,
    /// The revision it was based on, if the command named one.
    pub based_on: Option<Revision>,
    pub outcome: ChangeOutcome,
}

impl MemorySize for AuditEntry {
    fn heap_bytes(&self) -> usize {
        let detail = match &self.outcome {
            ChangeOutcome::Refused { reason, .. } => reason.capacity(),
            ChangeOutcome::Unknown { status_query } => status_query.capacity(),
            ChangeOutcome::Accepted { unconfirmed, .. } => {
                let names = unconfirmed.iter().map(|node| node.as_str().len()).sum::<usize>();
                names + std::mem::size_of_val(unconfirmed.as_slice())
            }
            ChangeOutcome::InForce { .. } | ChangeOutcome::WouldApply { .. } => 0,
        };
        self.change.as_str().len() + self.operator.as_str().len() + self.command.capacity() + detail
    }
}
