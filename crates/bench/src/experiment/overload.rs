//! Admission and retry budget of the simulated nodes, with the state machines of `core`.

use std::time::Duration;

use paddlemount_core::{
    admission::{Admission, AdmissionAction, AdmissionEvent, AdmissionRequest, AdmissionSettings},
    retry::{RetryBudget, RetryDecision, RetrySettings},
};
use paddlemount_protocol::{
    engine::Priority,
    identity::{PoolId, RequestId},
    time::Timestamp,
};

use super::{
    cluster::{Cluster, milliseconds},
    engines::POOL,
    event::Event,
    metrics::RequestEnding,
};
use crate::policy::PolicyName;

/// The overload protection of one node.
pub(super) struct OverloadProtection {
    admission: Admission,
    retries: RetryBudget,
    tick_at: Option<Timestamp>,
}

impl OverloadProtection {
    fn new(settings: AdmissionSettings, slots: u32, nodes: u32, now: Timestamp) -> Self {
        let mut admission = Admission::new(settings);
        admission.apply(AdmissionEvent::Pool { pool: PoolId::from(POOL), slots, nodes }, now);
        Self { admission, retries: RetryBudget::new(RetrySettings::default()), tick_at: None }
    }
}

impl Cluster<'_> {
    /// Builds the overload protection of a node, if the scenario enforces limits and the policy is the
    /// product's.
    pub(super) fn build_protection(&self, now: Timestamp) -> Option<OverloadProtection> {
        let enforced = self.scenario.limits.enforced && self.settings.policy == PolicyName::Prefix;
        let slots = self.scenario.runners.speed.batch_slots * self.scenario.runners.count as u32;
        enforced.then(|| {
            OverloadProtection::new(self.admission_settings(), slots, self.scenario.nodes.count as u32, now)
        })
    }

    fn admission_settings(&self) -> AdmissionSettings {
        let limits = &self.scenario.limits;
        let mut settings = AdmissionSettings::default();
        if let Some(target) = limits.target_queueing_ms {
            settings.concurrency.target_queueing = milliseconds(target);
        }
        if let Some(fraction) = limits.reserved_part {
            settings.reserved_fraction = fraction;
        }
        settings
    }

    /// Submits a request to its node's admission; without admission, dispatches it at once.
    pub(super) fn admit(&mut self, request: u64, now: Timestamp) {
        let Some(open) = self.requests.get(&request) else { return };
        let node = open.node;
        let Some(protection) = &mut self.nodes[node].protection else {
            return self.dispatch(request, now);
        };
        protection.retries.request();
        let speed = &self.scenario.runners.speed;
        let prefill_ms = f64::from(open.workload.prompt_tokens) * 1e3 / speed.prefill_tokens_per_second;
        let decode_ms = f64::from(open.workload.answer_tokens) * speed.decode_base_ms;
        let submit = AdmissionRequest {
            ticket: open.id.clone(),
            pool: PoolId::from(POOL),
            tenant: self.workload.tenants[open.workload.tenant].tenant.clone(),
            weight: self.scenario.tenants[open.group].weight,
            rank: 0,
            slots: 1,
            priority: Priority::Normal,
            cost: (prefill_ms + decode_ms) as u32,
            predicted_start: Duration::ZERO,
            deadline: None,
            due: None,
            late: None,
        };
        self.apply_admission(node, AdmissionEvent::Submit(submit), now);
    }

    /// Applies an event to a node's admission and performs the resulting actions.
    pub(super) fn apply_admission(&mut self, node: usize, event: AdmissionEvent, now: Timestamp) {
        let Some(protection) = &mut self.nodes[node].protection else { return };
        let actions = protection.admission.apply(event, now);
        for action in actions {
            match action {
                AdmissionAction::Run { ticket, priority, .. } => self.run_admitted(&ticket, priority, now),
                AdmissionAction::Refuse { ticket, .. } => {
                    self.end_request(request_number(&ticket), RequestEnding::NotRun, now);
                }
            }
        }
        self.schedule_admission_tick(node);
    }

    fn run_admitted(&mut self, ticket: &RequestId, priority: Priority, now: Timestamp) {
        let request = request_number(ticket);
        if let Some(open) = self.requests.get_mut(&request) {
            open.priority = priority;
        }
        self.dispatch(request, now);
    }

    fn schedule_admission_tick(&mut self, node: usize) {
        let Some(protection) = &mut self.nodes[node].protection else { return };
        let Some(due) = protection.admission.next_tick() else { return };
        if protection.tick_at.is_none_or(|scheduled| due < scheduled) {
            protection.tick_at = Some(due);
            self.queue.schedule_at(due, Event::AdmissionTick { node });
        }
    }

    /// Handles a timer of a node's admission.
    pub(super) fn tick_admission(&mut self, node: usize, now: Timestamp) {
        if let Some(protection) = &mut self.nodes[node].protection {
            protection.tick_at = None;
        }
        self.apply_admission(node, AdmissionEvent::Tick, now);
    }

    /// Reports to a node's admission how long a request queued at its engine.
    pub(super) fn record_queueing(&mut self, request: u64, now: Timestamp) {
        let Some(open) = self.requests.get(&request) else { return };
        let speed = &self.scenario.runners.speed;
        let prefill = f64::from(open.missing_tokens) / speed.prefill_tokens_per_second;
        let step = speed.decode_base_ms / 1e3;
        let distance = self.scenario.places.between_zones_ms / 1e3;
        let expected = Duration::from_secs_f64(prefill + step + 2.0 * distance);
        let queueing = now.saturating_since(open.dispatched_at).saturating_sub(expected);
        let (node, ticket) = (open.node, open.id.clone());
        self.apply_admission(node, AdmissionEvent::FirstToken { ticket, queueing }, now);
    }

    /// Whether a node's retry budget allows another attempt.
    pub(super) fn may_retry(&mut self, node: usize, attempts: u32) -> bool {
        let Some(protection) = &mut self.nodes[node].protection else { return true };
        protection.retries.retry(attempts) == RetryDecision::Granted
    }
}

fn request_number(ticket: &RequestId) -> u64 {
    ticket.as_str().parse().unwrap_or(u64::MAX)
}
