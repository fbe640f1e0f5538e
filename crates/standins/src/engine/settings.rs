//! Settings that determine the behaviour of an engine.

use serde::{Deserialize, Serialize};

/// Behaviour of an engine, apart from its identity and what it has loaded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineBehaviour {
    /// Speed and capacity.
    pub speed: EngineSpeedSettings,
    /// Publication of cache events.
    pub feed: FeedSettings,
    /// Export and import of cached state.
    pub transfer: TransferSettings,
    /// Load reports and resumption of streams.
    pub service: ServiceSettings,
}

/// Speed and capacity of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineSpeedSettings {
    /// Prompt tokens prefilled per second, over the whole batch.
    pub prefill_tokens_per_second: f64,
    /// Duration of a decode step with one request in the batch, in milliseconds.
    pub decode_base_ms: f64,
    /// Milliseconds that each further request in the batch adds to a decode step.
    pub decode_per_request_ms: f64,
    /// Maximum number of requests in the batch.
    pub batch_slots: u32,
    /// Maximum number of prompt tokens prefilled in one step, over the whole batch.
    pub prefill_chunk_tokens: u32,
    /// Maximum number of queued requests.
    pub waiting_limit: u32,
    /// Maximum number of cache blocks, including those of running requests.
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

/// Publication of cache events.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FeedSettings {
    /// Milliseconds until a change becomes visible in the feed.
    pub delay_ms: u64,
    /// Probability that an event is lost, from 0.0 to 1.0.
    pub loss: f64,
    /// Number of retained events; readers see a gap in place of older ones.
    #[serde(rename = "kept_events")]
    pub retained_events: usize,
}

impl Default for FeedSettings {
    fn default() -> Self {
        Self { delay_ms: 50, loss: 0.0, retained_events: 16_384 }
    }
}

/// Export and import of cached state.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TransferSettings {
    /// Size of the cached state of one block.
    pub block_bytes: u64,
    /// Import bandwidth.
    pub import_bytes_per_second: f64,
}

impl Default for TransferSettings {
    fn default() -> Self {
        Self { block_bytes: 8 * 1024 * 1024, import_bytes_per_second: 5e9 }
    }
}

/// Load reports and resumption of streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceSettings {
    /// Milliseconds by which the load report lags behind the actual load.
    pub load_report_lag_ms: u64,
    /// Milliseconds for which a stream without a reader, or one that has ended, can be resumed.
    pub resume_grace_ms: u64,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self { load_report_lag_ms: 200, resume_grace_ms: 5_000 }
    }
}
