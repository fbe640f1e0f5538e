//! What engines say of themselves when they refuse, as it holds for all requests of this node.

use std::time::Duration;

use paddlemount_core::{back_off::with_jitter, request::RequestEvent, routing::RouterEvent};
use paddlemount_protocol::engine::EngineRefusal;

use super::{Exchange, connection::UNKNOWN_INCARNATION};

impl Exchange {
    /// Takes in what a refusal says of its engine; where it names no life, of the one that was asked.
    pub(super) fn apply_refusal(&self, event: &RequestEvent) {
        let RequestEvent::Refused { refusal, .. } = event else { return };
        let (Some(engine), Some(dispatched_to)) = (&self.engine, self.incarnation) else { return };
        let reported = Some(refusal.incarnation).filter(|incarnation| *incarnation != UNKNOWN_INCARNATION);
        let refusal = EngineRefusal { incarnation: reported.unwrap_or(dispatched_to), ..refusal.clone() };
        let now = self.state.clock.now();
        let started = self.state.with_router(|router| {
            let before = router.remaining_back_off(engine, now);
            router.apply(RouterEvent::Refused { engine, refusal: &refusal }, now);
            router.remaining_back_off(engine, now).filter(|_| before.is_none())
        });
        if let Some(back_off) = started {
            self.state.observations.engine_backed_off(engine, back_off);
        }
    }

    /// When the caller may come back, where all engines that could serve the request have asked for rest.
    pub(super) fn retry_after(&self) -> Option<Duration> {
        let now = self.state.clock.now();
        let request = self.spec.route_request(&[]);
        let min = self.state.with_router(|router| router.min_back_off(&request, now))?;
        Some(with_jitter(min, rand::random()))
    }
}
