//! Which prompts are long, and how many engines are preferred for them.
//!
//! An engine reads prompts in pieces between the tokens of other requests, so a long prompt delays all
//! requests there. Long prompts are kept to the first engines of the order that all nodes share; the others
//! are preferred for short prompts. Either kind goes to any engine where that is forecast to serve it better.

use std::time::Duration;

use paddlemount_protocol::time::Timestamp;

use super::rates::Rates;
use crate::recent_rate::RecentRate;

/// A prompt is long if reading it takes this part of the tightest target latency of the service: two or three
/// of them ahead of a request make it late.
const LONG_PART_OF_TARGET: u32 = 4;
/// The time constant of the rate of long prompts. Each of many nodes sees only some of them.
const OFFERED_WINDOW: Duration = Duration::from_secs(10);
/// Engine time provided for each second of reading, so that a long prompt rarely waits for another.
const HEADROOM: f64 = 1.5;
/// The number of engines changes by this part of the pool, so that nodes with slightly different measurements
/// agree.
const STEPS: usize = 8;
/// How long fewer engines must suffice before the number shrinks by a step.
const SHRINK_DELAY: Duration = Duration::from_secs(20);
/// The minimum number of engines: a prefix needs others than its first engine.
const MIN_ENGINES: usize = 3;

/// Which prompts are long, and the engines preferred for them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LongPrompts {
    /// The number of tokens from which on a prompt is long.
    pub min_tokens: u32,
    /// The share of the pool that is preferred, the first engines in the order that all nodes share.
    pub share: f64,
    /// The mean time that another request loses to long prompts at one of these engines.
    pub delay: Duration,
}

/// Decides how many engines are preferred for long prompts.
#[derive(Debug)]
pub struct LongPromptEngines {
    current: Option<LongPrompts>,
    engines: usize,
    offered: RecentRate,
    /// Since when fewer engines would suffice.
    excess_since: Option<Timestamp>,
}

impl Default for LongPromptEngines {
    fn default() -> Self {
        Self { current: None, engines: 0, offered: RecentRate::new(OFFERED_WINDOW), excess_since: None }
    }
}

impl LongPromptEngines {
    /// Records a request of this node.
    pub fn record(&mut self, prompt_tokens: u32, now: Timestamp) {
        if self.current.is_some_and(|current| prompt_tokens >= current.min_tokens) {
            self.offered.add(f64::from(prompt_tokens), now);
        }
    }

    /// The latest decision; `None` before the first one.
    pub const fn current(&self) -> Option<LongPrompts> {
        self.current
    }

    /// Decides anew. All nodes are assumed to be offered as much as this one.
    pub fn update(
        &mut self,
        rates: &Rates,
        tightest_target: Duration,
        pool: usize,
        nodes: u32,
        now: Timestamp,
    ) {
        let limit = (tightest_target / LONG_PART_OF_TARGET).as_secs_f64();
        let per_token = rates.per_token.as_secs_f64();
        let min_tokens = if per_token > 0.0 { (limit / per_token) as u32 } else { u32::MAX };
        let busy_engines = self.offered.per_second(now) * f64::from(nodes) * per_token;
        let needed = in_steps((busy_engines * HEADROOM).ceil() as usize, pool);
        self.engines = self.damped(needed, pool, now);
        let utilization = (busy_engines / self.engines.max(1) as f64).min(1.0);
        let share = self.engines as f64 / pool.max(1) as f64;
        let delay = (tightest_target / LONG_PART_OF_TARGET).mul_f64(utilization);
        self.current = Some(LongPrompts { min_tokens, share, delay });
    }

    /// Grows at once, and shrinks by one step after a while.
    fn damped(&mut self, needed: usize, pool: usize, now: Timestamp) -> usize {
        let engines = self.engines.min(pool);
        if needed >= engines {
            self.excess_since = None;
            return needed;
        }
        let since = *self.excess_since.get_or_insert(now);
        if now.saturating_since(since) < SHRINK_DELAY {
            return engines;
        }
        self.excess_since = Some(now);
        needed.max(engines.saturating_sub(pool.div_ceil(STEPS)))
    }
}

/// Rounds up to a whole number of steps of the pool.
fn in_steps(engines: usize, pool: usize) -> usize {
    if engines == 0 {
        return 0;
    }
    let step = pool.div_ceil(STEPS).max(1);
    (engines.div_ceil(step) * step).max(MIN_ENGINES).min(pool)
}
