//! Waits for a back end, for as long as a request may still begin on its weights.

use std::time::Duration;

use paddlemount_core::forwarding::choice::Choice;
use paddlemount_protocol::time::Timestamp;

use crate::node::Node;

/// What a request is told that waited for too long, for log lines.
pub(crate) const OUTDATED: &str = "not begun before its weights grew too old";

/// How long a silent run is kept while another back end is asked. A refusal comes within some milliseconds; a back end that
/// has said nothing by then may have upstream, and two runs of one stream must not go on side by side.
const OVERLAP_TIMEOUT: Duration = Duration::from_millis(300);

/// What came of a wait.
pub(crate) enum Waited<T> {
    /// The awaited.
    Done(T),
    /// The weights are too old for a request that has not upstream.
    Outdated,
    /// The time is up.
    TimeUp,
}

impl Node {
    /// Until when a request must have upstream at its back end, whose weights may grow too old meanwhile.
    pub(crate) fn begin_by(&self, choice: &Choice) -> Option<Timestamp> {
        let scope = choice.scope.as_ref()?;
        self.state.borrow().rollout.begin_by(&scope.model, scope.weights)
    }

    /// Whether a request must not begin any more at the back end `starting_at`; never where it begins at none.
    pub(crate) fn is_outdated(&self, starting_at: Option<&Choice>) -> bool {
        let begin_by = starting_at.and_then(|choice| self.begin_by(choice));
        begin_by.is_some_and(|begin_by| begin_by <= self.now())
    }

    /// What comes of `awaited` by `until`. Where it tells that a request has upstream at the back end `starting_at`, the wait
    /// ends as soon as that one's weights are too old, also where newer ones are named meanwhile.
    ///
    /// Nothing shows when a whole answer's run has upstream. One that began in time is broken off too where it lasts past that
    /// moment: the other guess, that whoever has waited for long has upstream, fails just where a queue is longer than usual,
    /// and lets runs begin on weights that are too old.
    pub(crate) async fn wait<T>(
        &self,
        starting_at: Option<&Choice>,
        until: Timestamp,
        awaited: impl Future<Output = T>,
    ) -> Waited<T> {
        let mut awaited = std::pin::pin!(awaited);
        loop {
            let named = self.target_announced.notified();
            let begin_by = starting_at.and_then(|choice| self.begin_by(choice));
            let recheck_at = begin_by.map_or(until, |at| at.min(until));
            tokio::select! {
                biased;
                done = awaited.as_mut() => return Waited::Done(done),
                () = self.clock.sleep_until(recheck_at) => {}
                () = named => continue,
            }
            if self.is_outdated(starting_at) {
                return Waited::Outdated;
            }
            if self.now() >= until {
                return Waited::TimeUp;
            }
        }
    }

    /// What comes of `attempt` at another back end. A silent run is kept meanwhile, for a short time and only while it may
    /// still begin at `starting_at`.
    pub async fn attempt_beside<K, T>(
        &self,
        kept: &mut Option<K>,
        starting_at: Option<&Choice>,
        attempt: impl Future<Output = T>,
    ) -> T {
        let mut attempt = std::pin::pin!(attempt);
        if !self.is_outdated(starting_at) {
            let until = self.now() + OVERLAP_TIMEOUT;
            if let Waited::Done(result) = self.wait(starting_at, until, attempt.as_mut()).await {
                return result;
            }
        }
        *kept = None;
        attempt.await
    }
}
