//! What engines say of themselves when they refuse, as it holds for all requests of this node.

use std::time::Duration;

use paddlemount_core::{back_off::with_jitter, request::RequestEvent, routing::RouterEvent};
use paddlemount_protocol::engine::EngineRefusal;

use super::{Exchange, connection::UNNAMED_LIFE};

impl Exchange {
    /// Takes in what a refusal says of its engine; where it names no life, of the one that was asked.
    pub(super) fn hear_refusal(&self, event: &RequestEvent) {
        let RequestEvent::Refused { refusal, .. } = event else { return };
        let (Some(engine), Some(asked)) = (&self.engine, self.life) else { return };
        let named = Some(refusal.incarnation).filter(|life| *life != UNNAMED_LIFE);
        let refusal = EngineRefusal { incarnation: named.unwrap_or(asked), ..refusal.clone() };
        let now = self.state.clock.now();
        let begins = self.state.route(|router| {
            let before = router.remaining_back_off(engine, now);
            router.apply(RouterEvent::Refused { engine, refusal: &refusal }, now);
            router.remaining_back_off(engine, now).filter(|_| before.is_none())
        });
        if let Some(rest) = begins {
            self.state.observations.engine_rests(engine, rest);
        }
    }

    /// When the caller may come back, where all engines that could serve the request have asked for rest.
    pub(super) fn come_back(&self) -> Option<Duration> {
        let now = self.state.clock.now();
        let request = self.terms.route_request(&[]);
        let least = self.state.route(|router| router.min_back_off(&request, now))?;
        Some(with_jitter(least, rand::random()))
    }
}
