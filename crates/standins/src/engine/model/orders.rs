//! Fenced orders and loading of weights.

use paddlemount_protocol::{
    engine::{CacheChange, EngineRefusal, LoadedModel, Order, OrderCommand, OrderResult},
    identity::{AdapterId, ModelId, WeightsVersion},
    refusal::RefusalCode,
    time::Timestamp,
};

use super::{EngineEvent, EngineModel};

/// Number of order identifiers remembered to execute a repeated order only once.
const MAX_REMEMBERED_ORDERS: usize = 256;

/// A load of weights in progress.
pub(super) struct Loading {
    model: ModelId,
    weights: WeightsVersion,
    phase: LoadPhase,
}

enum LoadPhase {
    /// Requests accepted before the order are still running.
    Draining,
    /// The weights are being fetched; the end is known only if the duration is configured.
    Fetching { done_at: Option<Timestamp> },
}

impl Loading {
    pub(super) const fn done_at(&self) -> Option<Timestamp> {
        match self.phase {
            LoadPhase::Draining => None,
            LoadPhase::Fetching { done_at } => done_at,
        }
    }
}

impl EngineModel {
    /// Executes an order unless its token is lower than one executed before, or it is addressed to
    /// another incarnation. A repeated order has no effect.
    pub fn order(&mut self, order: &Order, now: Timestamp) -> Result<OrderResult, EngineRefusal> {
        self.run_until(now);
        if order.incarnation.is_some_and(|incarnation| incarnation != self.incarnation) {
            return Err(self.refusal(RefusalCode::PreconditionFailed, "the order is meant for another life"));
        }
        if order.token < self.fence {
            return Err(self.refusal(RefusalCode::Fenced, "a higher fencing token has been obeyed"));
        }
        if !self.executed_orders.contains(&order.id) {
            self.execute(&order.command, now)?;
            self.executed_orders.push_back(order.id.clone());
            while self.executed_orders.len() > MAX_REMEMBERED_ORDERS {
                self.executed_orders.pop_front();
            }
        }
        self.fence = order.token;
        Ok(OrderResult { fence: self.fence, incarnation: self.incarnation })
    }

    fn execute(&mut self, command: &OrderCommand, now: Timestamp) -> Result<(), EngineRefusal> {
        match command {
            OrderCommand::LoadModel { model, weights } => self.load_model(model, *weights, now),
            OrderCommand::LoadAdapter { adapter } => return self.load_adapter(adapter),
            OrderCommand::SetRole { role } => self.role = *role,
            OrderCommand::SetDraining { draining } => self.draining = *draining,
        }
        Ok(())
    }

    fn load_model(&mut self, model: &ModelId, weights: WeightsVersion, now: Timestamp) {
        let present = self.loaded.as_ref();
        let is_present = present.is_some_and(|loaded| loaded.model == *model && loaded.weights == weights);
        let is_replaceable =
            self.loading.as_ref().is_none_or(|loading| matches!(loading.phase, LoadPhase::Draining));
        if is_present && is_replaceable {
            self.loading = None;
            return;
        }
        self.loading = Some(Loading { model: model.clone(), weights, phase: LoadPhase::Draining });
        self.begin_load_when_idle(now);
    }

    fn load_adapter(&mut self, adapter: &AdapterId) -> Result<(), EngineRefusal> {
        let Some(loaded) = self.loaded.as_mut().filter(|_| self.loading.is_none()) else {
            return Err(self.refusal(RefusalCode::PreconditionFailed, "no model is loaded"));
        };
        if !loaded.adapters.contains(adapter) {
            loaded.adapters.push(adapter.clone());
        }
        Ok(())
    }

    /// Drops the old weights and all cached state once no accepted request needs them.
    pub(super) fn begin_load_when_idle(&mut self, now: Timestamp) {
        let busy = !self.running.is_empty() || self.queued().next().is_some();
        let done_at = self.settings.load_duration.map(|duration| now + duration);
        let Some(loading) = self.loading.as_mut().filter(|_| !busy) else { return };
        if !matches!(loading.phase, LoadPhase::Draining) {
            return;
        }
        loading.phase = LoadPhase::Fetching { done_at };
        let event = EngineEvent::LoadStarted { model: loading.model.clone(), weights: loading.weights };
        self.loaded = None;
        self.cache.clear();
        self.feed.record(CacheChange::Cleared, now);
        self.output(now, event);
    }

    pub(super) fn finish_due_load(&mut self, now: Timestamp) {
        let due = self.loading.as_ref().and_then(Loading::done_at).is_some_and(|done_at| done_at <= now);
        if !due {
            return;
        }
        if let Some(loading) = self.loading.take() {
            self.activate(loading);
        }
    }

    /// Ends the fetch of weights, unless another load has replaced it. Without `success` the engine stays
    /// without a model until the next order.
    pub fn finish_load(&mut self, model: &ModelId, weights: WeightsVersion, success: bool) {
        if !self.is_fetching(model, weights) {
            return;
        }
        match self.loading.take() {
            Some(loading) if success => self.activate(loading),
            _ => {}
        }
    }

    /// Returns whether these weights are being fetched.
    pub fn is_fetching(&self, model: &ModelId, weights: WeightsVersion) -> bool {
        self.loading.as_ref().is_some_and(|loading| {
            loading.model == *model
                && loading.weights == weights
                && matches!(loading.phase, LoadPhase::Fetching { .. })
        })
    }

    fn activate(&mut self, loading: Loading) {
        self.loaded =
            Some(LoadedModel { model: loading.model, weights: loading.weights, adapters: Vec::new() });
    }
}
