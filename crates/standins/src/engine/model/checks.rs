//! Checks before an engine accepts a request, and the refusals that they produce.

use paddlemount_protocol::{
    engine::{EngineRefusal, EngineRole, Precondition},
    prefix::BLOCK_TOKENS,
    refusal::RefusalCode,
};

use super::{EngineModel, ModelRequest, batch};

/// Minimum retry delay in a refusal for a transient reason, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 200;

impl EngineModel {
    /// Checks the engine's identity, incarnation and loaded model.
    pub fn check_precondition(&self, precondition: &Precondition) -> Result<(), EngineRefusal> {
        let failed = |message| Err(self.refusal(RefusalCode::PreconditionFailed, message));
        if precondition.engine != self.settings.engine {
            return failed("this is another engine");
        }
        if precondition.incarnation != self.incarnation {
            return failed("the engine has restarted");
        }
        let Some(loaded) = &self.loaded else { return failed("no model is loaded") };
        if precondition.model != loaded.model {
            return failed("another model is loaded");
        }
        if precondition.weights != loaded.weights {
            return failed("other weights are loaded");
        }
        match &precondition.adapter {
            Some(adapter) if !loaded.adapters.contains(adapter) => failed("the adapter is not loaded"),
            _ => Ok(()),
        }
    }

    pub(super) fn check_admission(&mut self, request: &ModelRequest) -> Result<(), EngineRefusal> {
        self.check_precondition(&request.precondition)?;
        if self.draining {
            return Err(self.refusal(RefusalCode::Draining, "the engine takes no new work"));
        }
        if self.loading.is_some() {
            return Err(self.refusal(RefusalCode::Draining, "the engine is about to load other weights"));
        }
        if self.role == EngineRole::Standby {
            return Err(self.refusal(RefusalCode::Unavailable, "the engine is on standby"));
        }
        if self.is_known(request) {
            return Err(self.refusal(RefusalCode::InProgress, "the engine has this try already"));
        }
        if batch::blocks_needed(request) > self.cache.capacity() {
            return Err(self.refusal(RefusalCode::TooLarge, "the request does not fit the engine's memory"));
        }
        if let Some(transfer) = &request.import {
            self.check_transfer(transfer, request.scope)?;
        }
        let queued = self.waiting.len() + self.importing.len();
        if queued >= self.settings.behaviour.speed.waiting_limit as usize {
            return Err(self.overloaded());
        }
        Ok(())
    }

    fn is_known(&self, request: &ModelRequest) -> bool {
        self.ended.contains_key(&request.attempt)
            || self.running.iter().any(|running| running.request.attempt == request.attempt)
            || self.queued().any(|waiting| waiting.request.attempt == request.attempt)
    }

    fn overloaded(&self) -> EngineRefusal {
        let speed = &self.settings.behaviour.speed;
        let queued: f64 = self.queued().map(|waiting| f64::from(waiting.missing_tokens)).sum();
        let prefill_ms = queued / speed.prefill_tokens_per_second * 1e3;
        let mut refusal = self.refusal(RefusalCode::Overloaded, "the engine's queue is full");
        refusal.retry_after_ms = Some((prefill_ms as u64).max(MIN_RETRY_AFTER_MS));
        refusal
    }

    /// Creates a refusal with this engine's incarnation and loaded model.
    pub fn refusal(&self, code: RefusalCode, message: &str) -> EngineRefusal {
        let is_transient = matches!(code, RefusalCode::Overloaded | RefusalCode::Unavailable);
        EngineRefusal {
            code,
            incarnation: self.incarnation,
            loaded: self.loaded.clone(),
            message: message.to_owned(),
            retry_after_ms: is_transient.then_some(MIN_RETRY_AFTER_MS),
        }
    }
}

/// Number of blocks that hold `tokens` tokens, including a partial last one.
pub(super) const fn blocks_of(tokens: u32) -> u32 {
    tokens.div_ceil(BLOCK_TOKENS)
}
