//! A booking instance as a state machine: it runs whatever it is sent, and keeps a ledger.

use std::collections::BTreeMap;

use paddlemount_protocol::{
    booking::{ServiceRequest, ServiceResponse},
    identity::{AttemptId, IdempotencyKey, ServiceInstanceId, TenantId},
    refusal::{Refusal, RefusalCode},
    time::Timestamp,
};
use serde::{Deserialize, Serialize};

/// What a booking instance can do.
pub const OPERATIONS: [&str; 3] = ["slot", "hold", "charge"];

/// One run of an operation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// When it ran.
    pub at: Timestamp,
    /// The try that ran.
    pub attempt: AttemptId,
    /// Its tenant.
    pub tenant: TenantId,
    /// The caller's key, if any.
    pub key: Option<IdempotencyKey>,
    /// The operation.
    pub operation: String,
    /// The caller's body.
    pub body: serde_json::Value,
}

/// The body of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BookingAnswer {
    /// The operation that ran.
    pub operation: String,
    /// Its position in the instance's ledger.
    pub receipt: u64,
    /// What was asked for.
    pub request: serde_json::Value,
}

/// One booking instance.
#[derive(Clone, Debug, Serialize)]
pub struct BookingModel {
    instance: ServiceInstanceId,
    ledger: Vec<LedgerEntry>,
}

impl BookingModel {
    /// An instance that has run nothing.
    pub const fn new(instance: ServiceInstanceId) -> Self {
        Self { instance, ledger: Vec::new() }
    }

    /// Runs an operation, however often it has run before.
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

    /// All runs, in order.
    pub fn ledger(&self) -> &[LedgerEntry] {
        &self.ledger
    }
}

/// Keys under which an operation ran more than once, over the ledgers of all instances.
pub fn duplicate_runs<'a>(
    ledgers: impl IntoIterator<Item = &'a [LedgerEntry]>,
) -> Vec<(TenantId, IdempotencyKey, usize)> {
    let mut runs: BTreeMap<(TenantId, IdempotencyKey), usize> = BTreeMap::new();
    for entry in ledgers.into_iter().flatten() {
        if let Some(key) = &entry.key {
            *runs.entry((entry.tenant.clone(), key.clone())).or_default() += 1;
        }
    }
    let twice = runs.into_iter().filter(|(_, count)| *count > 1);
    twice.map(|((tenant, key), count)| (tenant, key, count)).collect()
}
