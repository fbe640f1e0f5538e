//! The specification of a model request.

use paddlemount_core::{request::RequestSpec, routing::RouteRequest};
use paddlemount_protocol::{
    engine::Priority,
    identity::{AdapterId, AttemptId, EngineId, ModelId, PoolId, RequestId, TenantId, WeightsVersion},
    prefix::{BlockHash, CacheScope, hash_blocks, prompt_tokens},
    quarantine::RequestFingerprint,
    time::Timestamp,
};

/// A request with everything that is looked up for it once.
#[derive(Clone, Debug)]
pub struct ExchangeSpec {
    pub request: RequestId,
    pub tenant: TenantId,
    pub tenant_weight: u32,
    pub pool: PoolId,
    pub model: ModelId,
    pub weights: WeightsVersion,
    pub adapter: Option<AdapterId>,
    /// From 0.0 (minimize tail time to first token) to 1.0 (maximize cache reuse).
    pub reuse_weight: f64,
    pub prompt: String,
    /// The cache scope of its blocks.
    pub scope: CacheScope,
    /// Hashes of the prompt's complete blocks.
    pub blocks: Vec<BlockHash>,
    pub max_tokens: u32,
    pub priority: Priority,
    /// Whether it may run more than once.
    pub repeatable: bool,
    pub arrived: Timestamp,
    pub deadline: Timestamp,
    /// W3C trace context.
    pub traceparent: Option<String>,
    /// Equal for each retry of the request by the caller.
    pub fingerprint: RequestFingerprint,
}

impl ExchangeSpec {
    /// The parameters of the request's state machine.
    pub fn request_spec(&self) -> RequestSpec {
        RequestSpec {
            request: self.request.clone(),
            repeatable: self.repeatable,
            max_tokens: self.max_tokens,
            deadline: self.deadline,
        }
    }

    /// The identity of attempt `number`.
    pub fn attempt(&self, number: u32) -> AttemptId {
        self.request_spec().attempt(number)
    }

    /// The request as the router sees it.
    pub fn route_request<'a>(&'a self, excluded: &'a [EngineId]) -> RouteRequest<'a> {
        RouteRequest {
            request: &self.request,
            tenant: &self.tenant,
            pool: &self.pool,
            model: &self.model,
            weights: self.weights,
            adapter: self.adapter.as_ref(),
            scope: self.scope,
            blocks: &self.blocks,
            prompt_tokens: prompt_tokens(self.prompt.len()),
            max_tokens: self.max_tokens,
            priority: self.priority,
            reuse_weight: self.reuse_weight,
            excluded,
        }
    }

    /// Changes the weights version, and with it the scope and the block hashes.
    pub fn use_weights(&mut self, weights: WeightsVersion) {
        if weights == self.weights {
            return;
        }
        self.weights = weights;
        self.scope = CacheScope::new(&self.tenant, &self.model, weights, self.adapter.as_ref());
        self.blocks = hash_blocks(self.scope, self.prompt.as_bytes());
    }
}
