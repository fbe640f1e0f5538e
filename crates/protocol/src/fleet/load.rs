//! What nodes tell each other of engines and of the demand for them.

use serde::{Deserialize, Serialize};

use super::BackendProcess;
use crate::identity::{EngineId, ServiceId};

/// Requests in flight at one engine. Serialised as an array, as a message holds hundreds of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(EngineId, u32, u64)", into = "(EngineId, u32, u64)")]
pub struct EngineWork {
    pub engine: EngineId,
    pub requests: u32,
    /// Prompt tokens of requests that have not produced their first event.
    pub pending_prefill_tokens: u64,
}

impl From<(EngineId, u32, u64)> for EngineWork {
    fn from((engine, requests, pending_prefill_tokens): (EngineId, u32, u64)) -> Self {
        Self { engine, requests, pending_prefill_tokens }
    }
}

impl From<EngineWork> for (EngineId, u32, u64) {
    fn from(work: EngineWork) -> Self {
        (work.engine, work.requests, work.pending_prefill_tokens)
    }
}

/// Whether an engine process answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineCondition {
    /// It answers. Unknown conditions of later versions are treated alike.
    #[default]
    Responsive,
    /// It has sent nothing to a node for longer than its answers take.
    Silent,
    /// It refuses requests because it is full.
    Full,
}

impl From<u8> for EngineCondition {
    fn from(code: u8) -> Self {
        match code {
            1 => Self::Silent,
            2 => Self::Full,
            _ => Self::Responsive,
        }
    }
}

impl From<EngineCondition> for u8 {
    fn from(condition: EngineCondition) -> Self {
        match condition {
            EngineCondition::Responsive => 0,
            EngineCondition::Silent => 1,
            EngineCondition::Full => 2,
        }
    }
}

/// The performance of one engine process, as measured by some nodes. Serialised as an array, as a message
/// holds hundreds of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "EnginePerformanceRow", into = "EnginePerformanceRow")]
pub struct EnginePerformance {
    pub process: BackendProcess,
    pub condition: EngineCondition,
    /// The number of measurements behind `slowness_per_mille`, weighted by their age, in thousandths.
    pub samples_per_mille: u32,
    /// Measured times to the first event relative to those forecast for an engine of typical speed, in
    /// thousandths.
    pub slowness_per_mille: u32,
    /// Milliseconds since the silence began, the last refusal or the last byte of an answer, by `condition`,
    /// when the message was written.
    pub age_ms: u64,
    /// The number of nodes that suspect a silent process.
    pub observers: u32,
}

/// The serialised form of an [`EnginePerformance`].
type EnginePerformanceRow = (BackendProcess, u8, u32, u32, u64, u32);

impl From<EnginePerformanceRow> for EnginePerformance {
    fn from(row: EnginePerformanceRow) -> Self {
        let (process, condition, samples_per_mille, slowness_per_mille, age_ms, observers) = row;
        let condition = condition.into();
        Self { process, condition, samples_per_mille, slowness_per_mille, age_ms, observers }
    }
}

impl From<EnginePerformance> for EnginePerformanceRow {
    fn from(performance: EnginePerformance) -> Self {
        let EnginePerformance {
            process,
            condition,
            samples_per_mille,
            slowness_per_mille,
            age_ms,
            observers,
        } = performance;
        (process, condition.into(), samples_per_mille, slowness_per_mille, age_ms, observers)
    }
}

/// The demand of some nodes' callers for the engines of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolDemand {
    #[serde(rename = "p")]
    pub service: ServiceId,
    /// Engine slots that the requests of these callers would occupy if all were admitted.
    #[serde(rename = "s")]
    pub slots: f64,
    /// Prompt tokens per second of requests with long prompts.
    #[serde(rename = "t")]
    pub long_prompt_tokens: f64,
}

/// Outcomes of requests that read prompts of similar length and began after a similar time. Serialised as an
/// array, as a message holds dozens of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u8, u64, u64, u64, u64)", into = "(u8, u64, u64, u64, u64)")]
pub struct OutcomeSum {
    /// The prompt size, the load of the engine and the time to the first event, as one number.
    pub cell: u8,
    /// The number of outcomes, weighted by their age, in thousandths.
    pub count_per_mille: u64,
    /// The sum of tokens to prefill.
    pub tokens: u64,
    /// The sum of requests that ran at the engines, in thousandths.
    pub requests_per_mille: u64,
    /// The sum of times to the first event.
    pub micros: u64,
}

impl From<(u8, u64, u64, u64, u64)> for OutcomeSum {
    fn from((cell, count_per_mille, tokens, requests_per_mille, micros): (u8, u64, u64, u64, u64)) -> Self {
        Self { cell, count_per_mille, tokens, requests_per_mille, micros }
    }
}

impl From<OutcomeSum> for (u8, u64, u64, u64, u64) {
    fn from(sum: OutcomeSum) -> Self {
        (sum.cell, sum.count_per_mille, sum.tokens, sum.requests_per_mille, sum.micros)
    }
}

/// The outcomes of some nodes' requests to the engines of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRates {
    #[serde(rename = "p")]
    pub service: ServiceId,
    /// Ordered by cell.
    #[serde(rename = "o")]
    pub outcomes: Vec<OutcomeSum>,
    /// The number of forecasts compared with their outcomes, weighted by their age, in thousandths.
    #[serde(rename = "j")]
    pub judged_per_mille: u64,
    /// Those that were close.
    #[serde(rename = "c")]
    pub close_per_mille: u64,
}
