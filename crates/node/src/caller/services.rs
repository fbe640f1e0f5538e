//! `POST /v1/services/{service}/{operation}`.

use std::{sync::Arc, time::Duration};

use paddlemount_core::{
    claims::RunResult,
    decisions::{DecisionRecord, RequestEnding},
    service::{MAX_ATTEMPTS, ServiceAction, ServiceCall, ServiceEvent},
};
use paddlemount_protocol::{
    booking::{ServiceRequest, ServiceResponse},
    header::IDEMPOTENCY_KEY,
    identity::{
        AttemptId, EngineId, IdempotencyKey, ModelId, PoolId, RequestId, ServiceId, ServiceInstanceId,
        TenantId,
    },
    quarantine::RequestFingerprint,
    refusal::{Outcome, Refusal, RefusalCode},
    time::Timestamp,
};
use xitca_web::{WebContext, http::WebResponse};

use super::{
    admission::{admit, read_json, read_options},
    answer::{identify, new_request_id, refuse},
    stream::guarded_json,
};
use crate::{
    active::ActiveGuard,
    claims::{self, Runner},
    client::ClientError,
    engines::ServiceEntry,
    exchange::refused_ending,
    overload,
    quarantine::{self, BrokenAttempt, LivenessCheck},
    state::NodeState,
};

const MAX_KEY_BYTES: usize = 200;

/// A call of a service.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    pub request: RequestId,
    pub tenant: TenantId,
    pub service: ServiceId,
    pub operation: String,
    /// The caller's idempotency key, if any.
    pub key: Option<IdempotencyKey>,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    pub deadline: Timestamp,
    pub body: serde_json::Value,
}

impl ServiceSpec {
    /// The fingerprint of the call, equal for each retry, whatever its key.
    fn fingerprint(&self) -> RequestFingerprint {
        let path = format!("/v1/services/{}/{}", self.service, self.operation);
        quarantine::fingerprint(&path, &self.tenant, self.body.to_string().as_bytes())
    }
}

/// Runs one operation of a service.
pub async fn run(context: &WebContext<'_, Arc<NodeState>>) -> WebResponse {
    let request = new_request_id();
    let state = context.state();
    let (guard, spec) = match prepare(context, &request).await {
        Ok(prepared) => prepared,
        Err(refusal) => return refuse(state, &request, &refusal),
    };
    let record = state.observations.begin(service_record(state, &spec));
    let permit = match overload::enter_service(state, &request, &spec.tenant) {
        Ok(permit) => permit,
        Err(denied) => {
            record.update(|record| {
                record.ending = refused_ending(&denied.refusal);
                record.record_limit(denied.limit);
            });
            return refuse(state, &request, &denied.refusal);
        }
    };
    let result = execute(state, &spec).await;
    drop(permit);
    record.update(|record| {
        record.ending = result.as_ref().err().map_or(RequestEnding::Completed, refused_ending);
    });
    match result {
        Ok(body) => {
            state.metrics.requests.completed.increment(1);
            let mut response = guarded_json(&body, guard);
            identify(&mut response, &request);
            response
        }
        Err(refusal) => refuse(state, &request, &refusal),
    }
}

/// The decision record of a call. Its pool is the service, its model the operation.
fn service_record(state: &NodeState, spec: &ServiceSpec) -> DecisionRecord {
    let pool = PoolId::from(spec.service.as_str());
    let operation = ModelId::from(spec.operation.as_str());
    DecisionRecord::new(spec.request.clone(), spec.tenant.clone(), pool, operation, state.clock.now())
}

async fn prepare(
    context: &WebContext<'_, Arc<NodeState>>,
    request: &RequestId,
) -> Result<(ActiveGuard, ServiceSpec), Refusal> {
    let state = context.state();
    let headers = context.req().headers();
    let mut admitted = admit(state, headers)?;
    let (service, operation) = path_parts(context.req().uri().path())?;
    let services = &admitted.configuration.document.configuration.services;
    let Some(settings) = services.get(&service) else {
        let message = format!("no service `{service}`");
        return Err(Refusal::not_run(RefusalCode::NotFound, message));
    };
    let repeatable = settings.repeatable_operations.contains(&operation);
    let options = read_options(headers, repeatable, state.settings.timeouts.deadline)?;
    let key = idempotency_key(headers.get(IDEMPOTENCY_KEY))?;
    let body = read_json(context, &mut admitted).await?;
    let spec = ServiceSpec {
        request: request.clone(),
        tenant: admitted.tenant,
        service,
        operation,
        key,
        repeatable: options.repeatable,
        deadline: state.clock.now() + options.deadline,
        body,
    };
    Ok((admitted.guard, spec))
}

fn path_parts(path: &str) -> Result<(ServiceId, String), Refusal> {
    let parts = path.strip_prefix("/v1/services/").and_then(|rest| rest.split_once('/'));
    match parts {
        Some((service, operation)) if !service.is_empty() && !operation.is_empty() => {
            Ok((ServiceId::from(service), operation.to_owned()))
        }
        _ => Err(Refusal::not_run(RefusalCode::NotFound, "use /v1/services/{service}/{operation}")),
    }
}

fn idempotency_key(header: Option<&xitca_web::http::HeaderValue>) -> Result<Option<IdempotencyKey>, Refusal> {
    let Some(value) = header else { return Ok(None) };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= MAX_KEY_BYTES => Ok(Some(IdempotencyKey::from(text))),
        _ => {
            let message = format!("header {IDEMPOTENCY_KEY} must be 1 to {MAX_KEY_BYTES} plain characters");
            Err(Refusal::not_run(RefusalCode::InvalidRequest, message))
        }
    }
}

/// Runs a call to completion.
///
/// # Errors
///
/// The refusal says whether the call may have run.
pub async fn execute(state: &Arc<NodeState>, spec: &ServiceSpec) -> Result<serde_json::Value, Refusal> {
    if let Some(after) = state.quarantine.remaining_hold(&spec.fingerprint(), state.clock.now()) {
        let message = "instances of the service ended under this call again and again; none gets it";
        return Err(Refusal::not_run(RefusalCode::Unavailable, message).with_retry_after(after));
    }
    let entries = ordered_instances(state, spec);
    if let Some(key) = spec.key.as_ref().filter(|_| !spec.repeatable) {
        let runner = InstanceRunner { state: Arc::clone(state), spec: spec.clone(), entries, attempts: 0 };
        return claims::run_once(state, spec, key, runner).await;
    }
    let names = entries.iter().map(|entry| entry.instance.clone()).collect();
    let mut call = ServiceCall::new(spec.request.clone(), spec.repeatable, names);
    let mut action = call.begin();
    loop {
        action = match action {
            ServiceAction::Send { attempt, instance } => {
                call.handle(send(state, spec, &entries, attempt, &instance).await)
            }
            ServiceAction::Finish(body) => return Ok(body),
            ServiceAction::Refuse(refusal) => return Err(refusal),
        }
    }
}

/// Sends a claimed call to one instance after another.
struct InstanceRunner {
    state: Arc<NodeState>,
    spec: ServiceSpec,
    entries: Vec<ServiceEntry>,
    attempts: usize,
}

impl Runner for InstanceRunner {
    async fn run(&mut self) -> RunResult {
        let Some(entry) = self.entries.get(self.attempts) else {
            let message = "no instance of the service can be reached".to_owned();
            return RunResult::NotRun { code: RefusalCode::Unavailable, message, others_left: false };
        };
        self.attempts += 1;
        let attempt = AttemptId::from(format!("{}.{}", self.spec.request, self.attempts));
        let event = send(&self.state, &self.spec, &self.entries, attempt, &entry.instance).await;
        self.result_of(event)
    }
}

impl InstanceRunner {
    fn result_of(&self, event: ServiceEvent) -> RunResult {
        match event {
            ServiceEvent::Answered(body) => RunResult::Completed { answer: body.to_string() },
            ServiceEvent::NotRun { refusal } => {
                let code = refusal.as_ref().map_or(RefusalCode::Unavailable, |refusal| refusal.code);
                let message = refusal.map_or_else(
                    || "no instance of the service can be reached".to_owned(),
                    |refusal| refusal.message,
                );
                let others_left = self.attempts < self.entries.len().min(MAX_ATTEMPTS as usize);
                RunResult::NotRun { code, message, others_left }
            }
            ServiceEvent::Unclear => {
                RunResult::Unknown { message: "the service gave no answer; the call may have run".to_owned() }
            }
            ServiceEvent::DeadlinePassed => {
                RunResult::Unknown { message: "the deadline has passed; the call may have run".to_owned() }
            }
        }
    }
}

/// The instances of the node's own zone first, each group rotated by the request id to spread load.
fn ordered_instances(state: &NodeState, spec: &ServiceSpec) -> Vec<ServiceEntry> {
    let (mut local, remote): (Vec<_>, Vec<_>) = state
        .directory
        .instances(&spec.service)
        .into_iter()
        .partition(|entry| entry.zone == state.settings.zone);
    let offset =
        spec.request.as_str().bytes().fold(0_usize, |sum, byte| sum.wrapping_mul(31) + usize::from(byte));
    if !local.is_empty() {
        let count = local.len();
        local.rotate_left(offset % count);
    }
    let mut remote = remote;
    if !remote.is_empty() {
        let count = remote.len();
        remote.rotate_left(offset % count);
    }
    local.append(&mut remote);
    local
}

async fn send(
    state: &Arc<NodeState>,
    spec: &ServiceSpec,
    entries: &[ServiceEntry],
    attempt: AttemptId,
    instance: &ServiceInstanceId,
) -> ServiceEvent {
    let Some(entry) = entries.iter().find(|entry| entry.instance == *instance) else {
        return ServiceEvent::NotRun { refusal: None };
    };
    let remaining = spec.deadline.saturating_since(state.clock.now());
    if remaining == Duration::ZERO {
        let message = "the deadline has passed";
        return ServiceEvent::NotRun {
            refusal: Some(Refusal::not_run(RefusalCode::DeadlineExceeded, message)),
        };
    }
    let body = ServiceRequest {
        attempt: attempt.clone(),
        tenant: spec.tenant.clone(),
        key: spec.key.clone(),
        operation: spec.operation.clone(),
        body: spec.body.clone(),
    };
    let client = if spec.repeatable { state.client.clone() } else { state.client.single_use() };
    let timeout = remaining.min(state.settings.timeouts.first_byte);
    let began = state.clock.now();
    let answer: Result<ServiceResponse, _> = client.post_json(entry.address, "/run", &body, timeout).await;
    match answer {
        Ok(response) if response.attempt == attempt => {
            state.quarantine.record_completion(spec.fingerprint(), state.clock.now());
            ServiceEvent::Answered(response.body)
        }
        Ok(_) => ServiceEvent::Unclear,
        Err(error) => {
            log::warn!("call of service {} at {} failed: {error}", spec.service, entry.address);
            if matches!(error, ClientError::Broken { .. } | ClientError::Timeout { .. }) {
                detect_crash(state, spec, entry, began);
            }
            failure_event(&error, timeout == remaining)
        }
    }
}

/// Checks whether the failed call crashed its instance. An instance has no incarnation, so the second of its
/// failure stands for it.
fn detect_crash(state: &Arc<NodeState>, spec: &ServiceSpec, entry: &ServiceEntry, began: Timestamp) {
    let second = state.clock.now().as_millis() / 1_000;
    let broken = BrokenAttempt {
        fingerprint: spec.fingerprint(),
        route: format!("{}/{}", spec.service, spec.operation),
        tenant: spec.tenant.clone(),
        engine: EngineId::from(format!("{}@{second}", entry.instance)),
        began,
    };
    quarantine::detect_crash(state, broken, LivenessCheck::Instance(entry.address));
}

fn failure_event(error: &ClientError, at_deadline: bool) -> ServiceEvent {
    match error {
        ClientError::Connect { .. } => ServiceEvent::NotRun { refusal: None },
        ClientError::Status { body, .. } => match serde_json::from_slice::<Refusal>(body) {
            Ok(refusal) if refusal.outcome == Outcome::NotRun => {
                ServiceEvent::NotRun { refusal: Some(refusal) }
            }
            _ => ServiceEvent::Unclear,
        },
        ClientError::Timeout { .. } if at_deadline => ServiceEvent::DeadlinePassed,
        ClientError::Timeout { .. } | ClientError::Broken { .. } | ClientError::Unreadable { .. } => {
            ServiceEvent::Unclear
        }
    }
}
