//! What determines how an engine works.

use serde::{Deserialize, Serialize};

/// How an engine works, apart from what it is called and serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineBehaviour {
    /// How fast it works and how much it holds.
    pub speed: EngineSpeedSettings,
    /// How it publishes changes of its cache.
    pub feed: FeedSettings,
    /// How it exports and imports cached state.
    pub transfer: TransferSettings,
    /// How it reports its load and keeps streams.
    pub service: ServiceSettings,
}

/// How fast an engine works and how much it holds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineSpeedSettings {
    /// Prompt tokens prefilled in a second, over the whole batch.
    pub prefill_tokens_per_second: f64,
    /// Milliseconds of a decode step with one request in the batch.
    pub decode_base_ms: f64,
    /// Milliseconds that each further request in the batch adds to a decode step.
    pub decode_per_request_ms: f64,
    /// Requests in the batch at most.
    pub batch_slots: u32,
    /// Prompt tokens prefilled in one step at most, over the whole batch.
    pub prefill_chunk_tokens: u32,
    /// Requests that may wait to enter the batch.
    pub waiting_limit: u32,
    /// Cache blocks at most, those of running requests included.
    pub cache_blocks: u32,
}

impl Default for EngineSpeedSettings {
    fn default() -> Self {
        Self {
            prefill_tokens_per_second: 20_000.0,
            decode_base_ms: 8.0,
            decode_per_request_ms: 0.3,
            batch_slots: 16,
            prefill_chunk_tokens: 1_024,
            waiting_limit: 256,
            cache_blocks: 2_048,
        }
    }
}

/// How an engine publishes changes of its cache.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FeedSettings {
    /// Milliseconds from a change to its visibility in the feed.
    pub delay_ms: u64,
    /// The chance that an event is lost, from 0.0 to 1.0.
    pub loss: f64,
    /// Events that are kept for readers; older ones are a gap.
    #[serde(rename = "kept_events")]
    pub retained_events: usize,
}

impl Default for FeedSettings {
    fn default() -> Self {
        Self { delay_ms: 50, loss: 0.0, retained_events: 16_384 }
    }
}

/// How an engine exports and imports cached state.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TransferSettings {
    /// Bytes of cached state in one block.
    pub block_bytes: u64,
    /// Bytes imported in a second.
    pub import_bytes_per_second: f64,
}

impl Default for TransferSettings {
    fn default() -> Self {
        Self { block_bytes: 8 * 1024 * 1024, import_bytes_per_second: 5e9 }
    }
}

/// How an engine reports its load and keeps streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceSettings {
    /// Milliseconds by which the load report lags behind the truth.
    pub load_report_lag_ms: u64,
    /// Milliseconds for which a stream whose reader left, or that has ended, can be resumed.
    pub resume_grace_ms: u64,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self { load_report_lag_ms: 200, resume_grace_ms: 5_000 }
    }
}
