//! Waits for a back end, for as long as a request may still begin on its weights.

use paddlemount_core::forwarding::choice::Choice;
use paddlemount_protocol::time::Timestamp;

use crate::node::Node;

/// What a request is told that waited for too long, for log lines.
pub(crate) const OUTDATED: &str = "not begun before its weights grew too old";

/// What came of a wait.
pub(crate) enum Waited<T> {
    /// The awaited.
    Done(T),
    /// The weights are too old for a request that has not begun.
    Outdated,
    /// The time is up.
    TimeUp,
}

impl Node {
    /// Until when a request must have begun at its back end, whose weights may grow too old meanwhile.
    pub(crate) fn begin_by(&self, choice: &Choice) -> Option<Timestamp> {
        let scope = choice.scope.as_ref()?;
        self.beliefs.borrow().rollout.begin_by(&scope.model, scope.weights)
    }

    /// Whether a request must not begin at its back end any more.
    pub(crate) fn has_outdated_weights(&self, choice: &Choice) -> bool {
        self.begin_by(choice).is_some_and(|begin_by| begin_by <= self.now())
    }

    /// What comes of `awaited` by `until`. Where it tells that a request has begun at the back end `begins_at`, the wait
    /// ends as soon as that one's weights are too old, also where newer ones are named meanwhile.
    pub(crate) async fn wait<T>(
        &self,
        begins_at: Option<&Choice>,
        until: Timestamp,
        awaited: impl Future<Output = T>,
    ) -> Waited<T> {
        let mut awaited = std::pin::pin!(awaited);
        loop {
            let named = self.weights_named.notified();
            let begin_by = begins_at.and_then(|choice| self.begin_by(choice));
            let look_at = begin_by.map_or(until, |at| at.min(until));
            tokio::select! {
                biased;
                done = awaited.as_mut() => return Waited::Done(done),
                () = self.clock.sleep_until(look_at) => {}
                () = named => continue,
            }
            if begins_at.is_some_and(|choice| self.has_outdated_weights(choice)) {
                return Waited::Outdated;
            }
            if self.now() >= until {
                return Waited::TimeUp;
            }
        }
    }
}
