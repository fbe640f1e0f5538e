//! Metrics by pool and tenant class, and by mechanism.
//!
//! Labels are bounded: [`MAX_POOLS`] pools, three classes, and the fixed events of the mechanisms.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

use metrics::{Counter, Histogram, Label};
use paddlemount_core::decisions::{DecisionRecord, Mechanism};
use paddlemount_protocol::identity::PoolId;

use super::observations::snake_case;
use crate::metrics::NodeMetrics;

/// Pools with their own metrics; further pools are counted under [`OTHER_POOLS`].
pub const MAX_POOLS: usize = 64;
/// The pool label of all further pools.
pub const OTHER_POOLS: &str = "other";
/// The minimum tenant weights of the classes `medium` and `large`.
const CLASS_WEIGHTS: (u32, u32) = (2, 10);

const PROMPT_TOKENS: &str = "paddlemount_prompt_tokens_total";
const CACHED_TOKENS: &str = "paddlemount_cached_tokens_total";
const RECOMPUTED_TOKENS: &str = "paddlemount_recomputed_tokens_total";
const FIRST_TOKEN: &str = "paddlemount_pool_time_to_first_token_seconds";
const EVENTS: &str = "paddlemount_mechanism_events_total";

struct ClassMetrics {
    prompt_tokens: Counter,
    cached_tokens: Counter,
    recomputed_tokens: Counter,
    first_token: Histogram,
}

/// Counts requests by pool and tenant class, and events by mechanism.
pub struct ClassCounters {
    metrics: Arc<NodeMetrics>,
    classes: Mutex<BTreeMap<(PoolId, &'static str), ClassMetrics>>,
}

/// The class of a tenant: `small`, `medium` or `large`.
pub const fn class_of(weight: u32) -> &'static str {
    match weight {
        weight if weight >= CLASS_WEIGHTS.1 => "large",
        weight if weight >= CLASS_WEIGHTS.0 => "medium",
        _ => "small",
    }
}

impl ClassCounters {
    /// Registers the counters with a node's metrics.
    pub fn new(metrics: Arc<NodeMetrics>) -> Self {
        metrics.describe_counter(PROMPT_TOKENS, "Prompt tokens of requests that an engine began to answer");
        metrics.describe_counter(CACHED_TOKENS, "Those of them that the engine found in its cache");
        metrics.describe_counter(
            RECOMPUTED_TOKENS,
            "Prompt tokens computed again though an engine was believed to hold them",
        );
        metrics.describe_counter(EVENTS, "Steps that each mechanism took");
        Self { metrics, classes: Mutex::default() }
    }

    /// Counts a request that an engine has begun to answer.
    pub fn count(&self, record: &DecisionRecord) {
        let Some(first_token_ms) = record.timings.first_token_ms else { return };
        let mut classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        let class = class_of(record.tenant_weight);
        let is_known = classes.contains_key(&(record.pool.clone(), class));
        let has_room = classes.len() < MAX_POOLS * 3;
        let pool = if is_known || has_room { record.pool.clone() } else { PoolId::from(OTHER_POOLS) };
        let entry = classes.entry((pool.clone(), class)).or_insert_with(|| self.class_metrics(&pool, class));
        entry.prompt_tokens.increment(record.prompt_tokens.into());
        entry.cached_tokens.increment(record.cached_tokens.into());
        entry.recomputed_tokens.increment(record.recomputed_tokens().into());
        entry.first_token.record(first_token_ms as f64 / 1_000.0);
    }

    fn class_metrics(&self, pool: &PoolId, class: &'static str) -> ClassMetrics {
        let labels = || vec![Label::new("pool", pool.to_string()), Label::new("tenant_class", class)];
        ClassMetrics {
            prompt_tokens: self.metrics.counter_of(PROMPT_TOKENS, labels()),
            cached_tokens: self.metrics.counter_of(CACHED_TOKENS, labels()),
            recomputed_tokens: self.metrics.counter_of(RECOMPUTED_TOKENS, labels()),
            first_token: self.metrics.histogram_of(FIRST_TOKEN, labels()),
        }
    }

    /// Counts an event of a mechanism. `event` must come from a fixed set.
    pub fn count_event(&self, mechanism: Mechanism, event: &str) {
        let labels =
            vec![Label::new("mechanism", snake_case(&mechanism)), Label::new("event", event.to_owned())];
        self.metrics.counter_of(EVENTS, labels).increment(1);
    }
}
