//! State machine of a booking instance, which runs every request and records it in a ledger.

use std::collections::BTreeMap;

use paddlemount_protocol::{
    booking::{ServiceRequest, ServiceResponse},
    identity::{AttemptId, IdempotencyKey, ServiceInstanceId, TenantId},
    refusal::{Refusal, RefusalCode},
    time::Timestamp,
};
use serde::{Deserialize, Serialize};

/// The operations that a booking instance supports.
pub const OPERATIONS: [&str; 3] = ["slot", "hold", "charge"];

/// One execution of an operation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// Time of the execution.
    pub at: Timestamp,
    /// The attempt that ran.
    pub attempt: AttemptId,
    pub tenant: TenantId,
    /// The caller's idempotency key, if any.
    pub key: Option<IdempotencyKey>,
    pub operation: String,
    pub body: serde_json::Value,
}

/// The body of a response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BookingAnswer {
    /// The operation that ran.
    pub operation: String,
    /// Its position in the instance's ledger.
    pub receipt: u64,
    /// The body of the request.
    pub request: serde_json::Value,
}

/// A booking instance.
#[derive(Clone, Debug, Serialize)]
pub struct BookingModel {
    instance: ServiceInstanceId,
    ledger: Vec<LedgerEntry>,
}

impl BookingModel {
    /// Creates an instance with an empty ledger.
    pub const fn new(instance: ServiceInstanceId) -> Self {
        Self { instance, ledger: Vec::new() }
    }

    /// Runs an operation without regard to earlier executions under the same key.
    pub fn run(&mut self, request: ServiceRequest, now: Timestamp) -> Result<ServiceResponse, Refusal> {
        if !OPERATIONS.contains(&request.operation.as_str()) {
            return Err(Refusal::not_run(RefusalCode::NotFound, "booking knows slot, hold and charge"));
        }
        let answer = BookingAnswer {
            operation: request.operation.clone(),
            receipt: self.ledger.len() as u64 + 1,
            request: request.body.clone(),
        };
        let body = serde_json::to_value(answer).unwrap_or_default();
        self.ledger.push(LedgerEntry {
            at: now,
            attempt: request.attempt.clone(),
            tenant: request.tenant,
            key: request.key,
            operation: request.operation,
            body: request.body,
        });
        Ok(ServiceResponse { attempt: request.attempt, instance: self.instance.clone(), body })
    }

    /// All executions in order.
    pub fn ledger(&self) -> &[LedgerEntry] {
        &self.ledger
    }
}

/// Returns the keys under which an operation ran more than once over all ledgers, with the counts.
pub fn duplicate_runs<'a>(
    ledgers: impl IntoIterator<Item = &'a [LedgerEntry]>,
) -> Vec<(TenantId, IdempotencyKey, usize)> {
    let mut runs: BTreeMap<(TenantId, IdempotencyKey), usize> = BTreeMap::new();
    for entry in ledgers.into_iter().flatten() {
        if let Some(key) = &entry.key {
            *runs.entry((entry.tenant.clone(), key.clone())).or_default() += 1;
        }
    }
    let duplicates = runs.into_iter().filter(|(_, count)| *count > 1);
    duplicates.map(|((tenant, key), count)| (tenant, key, count)).collect()
}
