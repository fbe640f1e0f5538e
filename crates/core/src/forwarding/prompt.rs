//! The prompt of a request, and the scope in which cached segments may be shared.

use paddlemount_protocol::identity::{ModelId, TenantId, WeightsVersion};

/// The identity of a segment, as named by the caller. Equal segments at equal positions have equal
/// identities.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentId(pub u64);

/// One segment of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    pub id: SegmentId,
    pub tokens: u32,
}

/// The prompt of a request, as described by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    pub model: ModelId,
    /// Tokens of the complete prompt.
    pub prompt_tokens: u32,
    /// The expected length of the answer in tokens: the caller's estimate, or else the maximum that it
    /// allows.
    pub output_tokens: u32,
    /// The segments in order; the last one belongs to the request or its session alone.
    pub segments: Vec<Segment>,
}

impl Prompt {
    /// The segments that other requests may share, in order.
    pub fn shared(&self) -> &[Segment] {
        self.segments.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Tokens of the shared segments.
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|segment| segment.tokens).sum()
    }
}

/// The scope in which cached segments are shared: one model with one version of its weights, and one tenant
/// if it is isolated. Segments are never found from another scope.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CacheScope {
    pub model: ModelId,
    pub weights: WeightsVersion,
    /// The tenant, if it is isolated.
    pub tenant: Option<TenantId>,
}

impl CacheScope {
    /// The scope as an unambiguous text.
    pub fn text(&self) -> String {
        let tenant = self.tenant.as_ref().map_or("", TenantId::as_str);
        format!("{}/{}/{tenant}", self.model, self.weights)
    }
}
