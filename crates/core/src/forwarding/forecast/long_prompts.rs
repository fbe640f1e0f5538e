//! Which prompts are long, and how many engines are preferred for them.
//!
//! An engine reads prompts in pieces between the tokens of other requests, so a long prompt delays all
//! requests there. Long prompts are kept to the first engines of the order that all nodes share; the others
//! are preferred for short prompts. Either kind goes to any engine where that is forecast to serve it better.

use std::time::Duration;

use paddlemount_protocol::time::Timestamp;

use super::rates::Rates;

/// A prompt is long if reading it takes this part of the tightest target latency of the service: two or three
/// of them ahead of a request make it late.
const LONG_PART_OF_TARGET: u32 = 4;
/// Engine time provided for each second of reading, so that a long prompt rarely waits for another.
const HEADROOM: f64 = 1.5;
/// The number of engines changes by this part of the pool, so that nodes with slightly different measurements
/// agree.
const STEPS: usize = 4;
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
#[derive(Debug, Default)]
pub struct LongPromptEngines {
    current: Option<LongPrompts>,
    engines: usize,
    /// Since when fewer engines would suffice.
    excess_since: Option<Timestamp>,
}

impl LongPromptEngines {
    /// The latest decision; `None` before the first one.
    pub const fn current(&self) -> Option<LongPrompts> {
        self.current
    }

    /// Decides anew. Without the demand of all nodes, all engines are preferred: nodes that each estimated it
    /// would disagree on the engines, and read the same prefix at several.
    pub fn update(
        &mut self,
        rates: &Rates,
        tightest_target: Duration,
        pool: usize,
        demand: Option<f64>,
        now: Timestamp,
    ) {
        let reading = tightest_target / LONG_PART_OF_TARGET;
        let per_token = rates.per_token.as_secs_f64();
        let min_tokens = if per_token > 0.0 { (reading.as_secs_f64() / per_token) as u32 } else { u32::MAX };
        let busy_engines = demand.unwrap_or(0.0) * per_token;
        let needed = demand.map_or(pool, |_| in_steps((busy_engines * HEADROOM).ceil() as usize, pool));
        self.engines = self.damped(needed, pool, now);
        let utilization = (busy_engines / self.engines.max(1) as f64).min(1.0);
        let share = self.engines as f64 / pool.max(1) as f64;
        self.current = Some(LongPrompts { min_tokens, share, delay: reading.mul_f64(utilization) });
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
