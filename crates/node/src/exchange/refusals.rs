//! Applies engines' refusals to the state that all requests share.

use std::time::Duration;

use paddlemount_core::{back_off::with_jitter, request::RequestEvent, routing::RouterEvent};
use paddlemount_protocol::engine::EngineRefusal;

use super::{Exchange, connection::UNKNOWN_INCARNATION};

impl Exchange {
    /// Applies a refusal to the engine's state; a refusal without an incarnation counts for the one the
    /// attempt was sent to.
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

    /// When the caller may retry, if all engines that could serve the request are backing off.
    pub(super) fn retry_after(&self) -> Option<Duration> {
        let now = self.state.clock.now();
        let request = self.spec.route_request(&[]);
        let min = self.state.with_router(|router| router.min_back_off(&request, now))?;
        Some(with_jitter(min, rand::random()))
    }
}
