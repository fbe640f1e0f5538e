//! The product's router as a policy.

use paddlemount_core::routing::{RouteRequest, Router, RouterEvent, RouterSettings};
use paddlemount_protocol::{identity::EngineId, time::Timestamp};

use super::{Choice, Policy};

/// Runs the [`Router`] of the product.
pub struct PrefixPolicy {
    router: Router,
}

impl PrefixPolicy {
    /// The router of one of `nodes` nodes.
    pub fn new(settings: RouterSettings, nodes: u32) -> Self {
        let mut router = Router::new(settings);
        router.apply(RouterEvent::Nodes { count: nodes }, Timestamp::ZERO);
        Self { router }
    }
}

impl Policy for PrefixPolicy {
    fn observe(&mut self, event: RouterEvent<'_>, now: Timestamp) {
        self.router.apply(event, now);
    }

    fn choose(&mut self, request: &RouteRequest<'_>, now: Timestamp) -> Choice {
        let decision = self.router.choose(request, now);
        Choice { precondition: decision.chosen, import: decision.import }
    }

    fn engines_to_resynchronise(&self) -> Vec<EngineId> {
        self.router.needs_resync()
    }
}
