//! Faults of replies that every stand-in server can show.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use paddlemount_protocol::time::Timestamp;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

/// Seed of the chance by which replies are lost.
const LOSS_SEED: u64 = 0x6c6f_7373;

/// Faults of a server's replies, control routes excepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceFaults {
    /// Whether every request is refused with status 503 before it has any effect.
    pub outage: bool,
    /// Requests a second beyond which further ones are refused with status 429; bursts of one
    /// second's worth, and of one request at least, are let through.
    pub requests_per_second: Option<f64>,
    /// Milliseconds that each request waits before it takes effect.
    pub delay_before_ms: u64,
    /// Milliseconds that each reply waits after its effect.
    pub delay_after_ms: u64,
    /// The chance that the connection is closed in place of a reply, after its effect.
    pub reply_loss: f64,
    /// The next so many replies are lost in the same way.
    pub lose_next_replies: u32,
    /// The next so many requests get status 500 after their effect.
    pub fail_next_after_effect: u32,
}

/// Why a request is refused before it has any effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedRefusal {
    /// The service is out.
    Outage,
    /// Too many requests; one more fits after this time.
    RateLimited(Duration),
}

/// What happens to a reply after its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyOutcome {
    /// It is sent.
    Sent,
    /// The connection is closed in its place.
    Lost,
    /// A failure is sent in its place.
    Failed,
}

/// Requests that are let through at once after a pause.
fn burst(faults: ServiceFaults) -> f64 {
    faults.requests_per_second.unwrap_or(0.0).max(1.0)
}

/// Decides on each request and reply which fault it meets.
#[derive(Debug)]
pub struct FaultInjector {
    state: Mutex<InjectorState>,
}

#[derive(Debug)]
struct InjectorState {
    faults: ServiceFaults,
    allowance: f64,
    refilled_at: Timestamp,
    random: SmallRng,
}

impl FaultInjector {
    /// A gate with these faults.
    pub fn new(faults: ServiceFaults) -> Self {
        let random = SmallRng::seed_from_u64(LOSS_SEED);
        let allowance = burst(faults);
        let state = InjectorState { faults, allowance, refilled_at: Timestamp::ZERO, random };
        Self { state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, InjectorState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The present faults.
    pub fn faults(&self) -> ServiceFaults {
        self.state().faults
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        let mut state = self.state();
        state.allowance = burst(faults);
        state.faults = faults;
    }

    /// Lets a request through to its effect, or refuses it.
    pub fn admit(&self, now: Timestamp) -> Result<(), InjectedRefusal> {
        let mut state = self.state();
        if state.faults.outage {
            return Err(InjectedRefusal::Outage);
        }
        let Some(rate) = state.faults.requests_per_second else { return Ok(()) };
        let passed = now.saturating_since(state.refilled_at).as_secs_f64();
        state.allowance = (state.allowance + passed * rate).min(burst(state.faults));
        state.refilled_at = now;
        if state.allowance >= 1.0 {
            state.allowance -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - state.allowance) / rate.max(f64::MIN_POSITIVE);
        Err(InjectedRefusal::RateLimited(Duration::from_secs_f64(wait.min(3_600.0))))
    }

    /// Decides what happens to the reply of a request that has taken effect.
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
