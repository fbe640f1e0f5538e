//! What a request asks for.

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
    /// The request.
    pub request: RequestId,
    /// Its tenant.
    pub tenant: TenantId,
    /// The tenant's weight.
    pub tenant_weight: u32,
    /// The pool that serves its model.
    pub pool: PoolId,
    /// The model.
    pub model: ModelId,
    /// The weights version.
    pub weights: WeightsVersion,
    /// The adapter, if any.
    pub adapter: Option<AdapterId>,
    /// From 0.0 (tail time to first token alone) to 1.0 (reuse alone).
    pub reuse_weight: f64,
    /// The whole prompt.
    pub prompt: String,
    /// The boundary of its cached state.
    pub scope: CacheScope,
    /// Hashes of the prompt's whole blocks.
    pub blocks: Vec<BlockHash>,
    /// Tokens to generate at most.
    pub max_tokens: u32,
    /// How urgent it is.
    pub priority: Priority,
    /// Whether it may be run a second time.
    pub repeatable: bool,
    /// When it arrived.
    pub arrived: Timestamp,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
    /// W3C trace context.
    pub traceparent: Option<String>,
    /// What the caller asks for, the same each time it comes back.
    pub fingerprint: RequestFingerprint,
}

impl ExchangeSpec {
    /// What the request's state machine needs.
    pub fn request_spec(&self) -> RequestSpec {
        RequestSpec {
            request: self.request.clone(),
            repeatable: self.repeatable,
            max_tokens: self.max_tokens,
            deadline: self.deadline,
        }
    }

    /// The identity of the `number`th try.
    pub fn attempt(&self, number: u32) -> AttemptId {
        self.request_spec().attempt(number)
    }

    /// What the router needs.
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

    /// Changes the weights version, and with it the scope and all hashes.
    pub fn use_weights(&mut self, weights: WeightsVersion) {
        if weights == self.weights {
            return;
        }
        self.weights = weights;
        self.scope = CacheScope::new(&self.tenant, &self.model, weights, self.adapter.as_ref());
        self.blocks = hash_blocks(self.scope, self.prompt.as_bytes());
    }
}
