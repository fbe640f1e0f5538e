//! Fault injection for the replies of stand-in servers.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use paddlemount_protocol::time::Timestamp;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

/// Seed of the random loss of replies.
const LOSS_SEED: u64 = 0x6c6f_7373;

/// Faults of a server's replies; control paths are exempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceFaults {
    /// Refuses every request with status 503 before it has any effect.
    pub outage: bool,
    /// Rate limit beyond which requests are refused with status 429. The burst size is one second's
    /// worth of requests, and at least one.
    pub requests_per_second: Option<f64>,
    /// Delay of each request before its effect, in milliseconds.
    pub delay_before_ms: u64,
    /// Delay of each reply after the effect, in milliseconds.
    pub delay_after_ms: u64,
    /// Probability that the connection is closed instead of a reply, after the effect.
    pub reply_loss: f64,
    /// Number of next replies that are lost in the same way.
    pub lose_next_replies: u32,
    /// Number of next requests that get status 500 after their effect.
    pub fail_next_after_effect: u32,
}

/// Reports why a request is refused before it has any effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedRefusal {
    /// The service is unavailable.
    Outage,
    /// The rate limit is exceeded; the next request is admitted after this time.
    RateLimited(Duration),
}

/// Outcome of a reply, decided after the effect of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyOutcome {
    /// The reply is sent.
    Sent,
    /// The connection is closed instead.
    Lost,
    /// A failure is sent instead.
    Failed,
}

/// Burst size of the rate limit.
fn burst(faults: ServiceFaults) -> f64 {
    faults.requests_per_second.unwrap_or(0.0).max(1.0)
}

/// Decides which fault applies to each request and reply.
#[derive(Debug)]
pub struct FaultInjector {
    state: Mutex<InjectorState>,
}

#[derive(Debug)]
struct InjectorState {
    faults: ServiceFaults,
    /// Number of requests that the rate limit admits now.
    allowance: f64,
    refilled_at: Timestamp,
    random: SmallRng,
}

impl FaultInjector {
    /// Creates an injector with these faults.
    pub fn new(faults: ServiceFaults) -> Self {
        let random = SmallRng::seed_from_u64(LOSS_SEED);
        let allowance = burst(faults);
        let state = InjectorState { faults, allowance, refilled_at: Timestamp::ZERO, random };
        Self { state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, InjectorState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The current faults.
    pub fn faults(&self) -> ServiceFaults {
        self.state().faults
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        let mut state = self.state();
        state.allowance = burst(faults);
        state.faults = faults;
    }

    /// Admits a request or refuses it before it has any effect.
    pub fn admit(&self, now: Timestamp) -> Result<(), InjectedRefusal> {
        let mut state = self.state();
        if state.faults.outage {
            return Err(InjectedRefusal::Outage);
        }
        let Some(rate) = state.faults.requests_per_second else { return Ok(()) };
        let elapsed = now.saturating_since(state.refilled_at).as_secs_f64();
        state.allowance = (state.allowance + elapsed * rate).min(burst(state.faults));
        state.refilled_at = now;
        if state.allowance >= 1.0 {
            state.allowance -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - state.allowance) / rate.max(f64::MIN_POSITIVE);
        Err(InjectedRefusal::RateLimited(Duration::from_secs_f64(wait.min(3_600.0))))
    }

    /// Decides the outcome of a reply to a request that has taken effect.
    pub fn reply_outcome(&self) -> ReplyOutcome {
        let mut state = self.state();
        if state.faults.lose_next_replies > 0 {
            state.faults.lose_next_replies -= 1;
            return ReplyOutcome::Lost;
        }
        if state.faults.fail_next_after_effect > 0 {
            state.faults.fail_next_after_effect -= 1;
            return ReplyOutcome::Failed;
        }
        let loss = state.faults.reply_loss;
        if loss > 0.0 && state.random.random::<f64>() < loss {
            ReplyOutcome::Lost
        } else {
            ReplyOutcome::Sent
        }
    }
}
