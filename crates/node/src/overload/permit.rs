//! Permits of admitted requests.

use std::{sync::Arc, time::Duration};

use paddlemount_core::{
    admission::{AdmissionEvent, AdmissionRequest},
    decisions::{LimitHit, LimitKind},
    limits::{self, RequestCost},
};
use paddlemount_protocol::{
    engine::{EngineSpeed, Priority},
    identity::{EngineId, RequestId, TenantId},
    prefix::prompt_tokens,
    refusal::{Refusal, RefusalCode},
    time::Timestamp,
};
use tokio::sync::oneshot;

use super::{Grant, SharedOverload};
use crate::{engines, exchange::ExchangeSpec, state::NodeState};

/// Time to first token is predicted only for deadlines nearer than this.
const PREDICTION_HORIZON: Duration = Duration::from_secs(30);

/// A request that was refused before an engine was selected.
#[derive(Clone, Debug, PartialEq)]
pub struct Denied {
    /// The refusal for the caller; the request has not run.
    pub refusal: Refusal,
    /// The limit, for the decision record.
    pub limit: LimitHit,
}

impl Denied {
    fn new(refusal: Refusal, limit: LimitKind, waited: Duration) -> Self {
        Self { refusal, limit: LimitHit { limit, refused: true, waited_ms: waited.as_millis() as u64 } }
    }
}

impl From<limits::LimitRefusal> for Denied {
    fn from(refusal: limits::LimitRefusal) -> Self {
        let limit = match refusal.kind {
            limits::LimitKind::Requests => LimitKind::RequestsPerSecond,
            limits::LimitKind::Tokens => LimitKind::TokensPerSecond,
            limits::LimitKind::Concurrency => LimitKind::ConcurrentRequests,
        };
        Self::new(refusal.into(), limit, Duration::ZERO)
    }
}

/// Held while a request runs; releases its slot on drop.
pub struct Permit {
    overload: SharedOverload,
    state: Arc<NodeState>,
    ticket: RequestId,
    tenant: TenantId,
    charged_tokens: u32,
    used_tokens: u32,
    priority: Priority,
    waited: Duration,
}

impl Permit {
    /// The priority to send to engines.
    pub const fn priority(&self) -> Priority {
        self.priority
    }

    /// The queue limit, if the request had to wait.
    pub fn limit_hit(&self) -> Option<LimitHit> {
        let waited_ms = self.waited.as_millis() as u64;
        (waited_ms > 0).then_some(LimitHit { limit: LimitKind::Queue, refused: false, waited_ms })
    }

    /// Sets how many of the charged tokens the request has used.
    pub const fn set_used(&mut self, tokens: u32) {
        self.used_tokens = tokens;
    }

    /// Records that `engine` returned the first token, `elapsed` after the dispatch. The time that neither
    /// prefill of the `missing_tokens` nor distance explains counts as queueing.
    pub fn record_first_token(
        &self,
        engine: &EngineId,
        missing_tokens: u32,
        distance: Duration,
        elapsed: Duration,
    ) {
        let inner = &mut *self.overload.lock();
        let Some(speed) = inner.capacity.speed(engine) else { return };
        let expected = prefill(&speed, missing_tokens) + decode_step(&speed) + distance * 2;
        let queueing = elapsed.saturating_sub(expected);
        let event = AdmissionEvent::FirstToken { ticket: self.ticket.clone(), queueing };
        inner.apply(event, self.state.clock.now());
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let inner = &mut *self.overload.lock();
        inner.waiting.remove(&self.ticket);
        inner.limits.release(&self.tenant, self.charged_tokens.saturating_sub(self.used_tokens));
        inner.apply(AdmissionEvent::Cancelled { ticket: self.ticket.clone() }, self.state.clock.now());
    }
}

fn prefill(speed: &EngineSpeed, tokens: u32) -> Duration {
    Duration::from_secs_f64(f64::from(tokens) / speed.prefill_tokens_per_second.max(1.0))
}

fn decode_step(speed: &EngineSpeed) -> Duration {
    Duration::from_secs_f64(speed.decode_step_ms.max(0.0) / 1_000.0)
}

/// Waits until a model request is admitted.
///
/// # Errors
///
/// The request was refused and has not run.
pub async fn enter(state: &Arc<NodeState>, spec: &ExchangeSpec) -> Result<Permit, Denied> {
    let arrived = state.clock.now();
    let mut permit = charge(state, &spec.request, &spec.tenant, cost(spec))?;
    if state.overload.lock().admission.view(&spec.pool).is_none() {
        engines::refresh_all(state).await;
    }
    let Some(result_receiver) = submit(state, spec) else {
        // No engine of the pool is known; routing refuses the request with its own message.
        return Ok(permit);
    };
    state.overload.changed.notify_one();
    match result_receiver.await {
        Ok(Ok(Grant { priority, waited })) => {
            permit.priority = priority;
            permit.waited = waited;
            Ok(permit)
        }
        Ok(Err(refusal)) => {
            let by_deadline = refusal.code == RefusalCode::DeadlineExceeded;
            let limit = if by_deadline { LimitKind::Deadline } else { LimitKind::Queue };
            Err(Denied::new(refusal, limit, state.clock.now().saturating_since(arrived)))
        }
        Err(_) => {
            let refusal = Refusal::not_run(RefusalCode::Internal, "the request was dropped while it waited");
            Err(Denied::new(refusal, LimitKind::Queue, Duration::ZERO))
        }
    }
}

/// Checks a service request against its tenant's limits.
///
/// # Errors
///
/// The request was refused and has not run.
pub fn enter_service(
    state: &Arc<NodeState>,
    request: &RequestId,
    tenant: &TenantId,
) -> Result<Permit, Denied> {
    charge(state, request, tenant, 0)
}

fn cost(spec: &ExchangeSpec) -> u32 {
    prompt_tokens(spec.prompt.len()).saturating_add(spec.max_tokens)
}

fn charge(
    state: &Arc<NodeState>,
    request: &RequestId,
    tenant: &TenantId,
    tokens: u32,
) -> Result<Permit, Denied> {
    let now = state.clock.now();
    state.overload.lock().limits.admit(tenant, RequestCost { tokens }, now)?;
    Ok(Permit {
        overload: Arc::clone(&state.overload),
        state: Arc::clone(state),
        ticket: request.clone(),
        tenant: tenant.clone(),
        charged_tokens: tokens,
        used_tokens: 0,
        priority: Priority::default(),
        waited: Duration::ZERO,
    })
}

fn submit(state: &Arc<NodeState>, spec: &ExchangeSpec) -> Option<oneshot::Receiver<super::AdmissionResult>> {
    let now = state.clock.now();
    let predicted_start = predicted_start(state, spec, now);
    let (sender, receiver) = oneshot::channel();
    let inner = &mut *state.overload.lock();
    inner.admission.view(&spec.pool)?;
    let speed = inner.capacity.pool_speed(&spec.pool)?;
    let configuration = state.configuration.load();
    let tenant = configuration.document.configuration.tenants.get(&spec.tenant);
    let work = prefill(&speed, prompt_tokens(spec.prompt.len())) + decode_step(&speed) * spec.max_tokens;
    inner.waiting.insert(spec.request.clone(), sender);
    let request = AdmissionRequest {
        ticket: spec.request.clone(),
        pool: spec.pool.clone(),
        tenant: spec.tenant.clone(),
        weight: tenant.map_or(1, |tenant| tenant.weight),
        rank: 0,
        slots: 1,
        priority: spec.priority,
        cost: u32::try_from(work.as_millis()).unwrap_or(u32::MAX),
        predicted_start,
        deadline: Some(spec.deadline),
        due: None,
        late: None,
    };
    inner.apply(AdmissionEvent::Submit(request), now);
    Some(receiver)
}

/// The predicted time to the first token at the best engine.
fn predicted_start(state: &NodeState, spec: &ExchangeSpec, now: Timestamp) -> Duration {
    if spec.deadline.saturating_since(now) > PREDICTION_HORIZON {
        return Duration::ZERO;
    }
    let decision = state.with_router(|router| router.preview(&spec.route_request(&[]), now));
    let best = decision.candidates.first().map_or(0.0, |candidate| {
        candidate.wait_ms + candidate.prefill_ms + candidate.import_ms + candidate.distance_ms
    });
    Duration::try_from_secs_f64(best / 1_000.0).unwrap_or(Duration::MAX)
}
