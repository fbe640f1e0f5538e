//! State machine of one call to a service other than the models.
//!
//! [`ServiceCall`] decides which instance gets each attempt and how the call ends. A call that is not
//! repeatable is retried only if the previous attempt certainly did not run.

use std::time::Duration;

use paddlemount_protocol::{
    identity::{AttemptId, RequestId, ServiceInstanceId},
    refusal::{Refusal, RefusalCode},
};

/// Maximum number of attempts per call.
pub const MAX_ATTEMPTS: u32 = 3;

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceEvent {
    Answered(serde_json::Value),
    /// The instance refused with a typed "not run", or nothing was sent to it.
    NotRun {
        /// The instance's refusal, if it sent one.
        refusal: Option<Refusal>,
    },
    /// The connection broke or timed out, so the attempt may have run.
    Unclear,
    /// The caller's deadline passed during the attempt.
    DeadlinePassed,
}

/// The next action to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceAction {
    /// Send an attempt and report its end as a [`ServiceEvent`].
    Send { attempt: AttemptId, instance: ServiceInstanceId },
    /// Answer the caller with this body.
    Finish(serde_json::Value),
    /// Refuse the call.
    Refuse(Refusal),
}

/// The state of one call.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    request: RequestId,
    repeatable: bool,
    instances: Vec<ServiceInstanceId>,
    attempts: u32,
    may_have_run: bool,
    last_refusal: Option<Refusal>,
}

impl ServiceCall {
    /// Creates a call with attempts at `instances`, in this order.
    pub fn new(request: RequestId, repeatable: bool, instances: Vec<ServiceInstanceId>) -> Self {
        Self { request, repeatable, instances, attempts: 0, may_have_run: false, last_refusal: None }
    }

    /// Returns the first action.
    pub fn begin(&mut self) -> ServiceAction {
        self.send_attempt()
    }

    /// Applies the end of the last attempt and returns the next action.
    pub fn handle(&mut self, event: ServiceEvent) -> ServiceAction {
        match event {
            ServiceEvent::Answered(body) => ServiceAction::Finish(body),
            ServiceEvent::NotRun { refusal } => {
                self.last_refusal = refusal.or(self.last_refusal.take());
                self.send_attempt()
            }
            ServiceEvent::Unclear => {
                self.may_have_run = true;
                if self.repeatable {
                    return self.send_attempt();
                }
                self.refuse(RefusalCode::BackendFailed, "the service gave no answer; the call may have run")
            }
            ServiceEvent::DeadlinePassed => {
                self.may_have_run = true;
                self.refuse(RefusalCode::DeadlineExceeded, "the deadline has passed; the call may have run")
            }
        }
    }

    fn send_attempt(&mut self) -> ServiceAction {
        if self.attempts >= MAX_ATTEMPTS || self.instances.is_empty() {
            return match self.last_refusal.take() {
                Some(refusal) => self.refuse(refusal.code, &refusal.message),
                None => self.refuse(RefusalCode::Unavailable, "no instance of the service can be reached"),
            };
        }
        let instance = self.instances[self.attempts as usize % self.instances.len()].clone();
        self.attempts += 1;
        let attempt = AttemptId::from(format!("{}.{}", self.request, self.attempts));
        ServiceAction::Send { attempt, instance }
    }

    fn refuse(&self, code: RefusalCode, message: &str) -> ServiceAction {
        let refusal =
            if self.may_have_run { Refusal::unknown(code, message) } else { Refusal::not_run(code, message) };
        ServiceAction::Refuse(refusal.with_retry_after(RETRY_AFTER))
    }
}
