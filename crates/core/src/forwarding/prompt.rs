//! What a request says of its prompt, and the scope in which cached parts may be shared.

use paddlemount_protocol::identity::{ModelId, TenantId, WeightsVersion};

/// The identity of a part of a prompt, as the caller names it. Equal parts in equal places have equal identities.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentId(pub u64);

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// Its identity.
    pub id: SegmentId,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What a request says of its prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// The model asked for.
    pub model: ModelId,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Tokens that the answer is expected to have: what the caller guesses, else the most that it allows.
    pub output_tokens: u32,
    /// The parts in order; the last is the request's or its session's own.
    pub segments: Vec<Segment>,
}

impl Prompt {
    /// The parts that other requests may share, in order.
    pub fn shared(&self) -> &[Segment] {
        self.segments.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Tokens of the shared parts.
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|part| part.tokens).sum()
    }
}

/// The scope in which cached parts are shared: one model under one version of its weights, and one tenant where
/// that tenant is isolated. A part of one scope is never found from another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CacheScope {
    /// The model.
    pub model: ModelId,
    /// The version of its weights.
    pub weights: WeightsVersion,
    /// The isolated tenant, if it is one.
    pub tenant: Option<TenantId>,
}

impl CacheScope {
    /// The scope as one text, in which neither part can run into the other.
    pub fn text(&self) -> String {
        let tenant = self.tenant.as_ref().map_or("", TenantId::as_str);
        format!("{}/{}/{tenant}", self.model, self.weights)
    }
}
