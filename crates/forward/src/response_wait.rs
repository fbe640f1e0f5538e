//! Waits for a back end while a request may still start on its weights.

use std::time::Duration;

use paddlemount_core::forwarding::choice::Choice;
use paddlemount_protocol::time::Timestamp;

use crate::node::Node;

/// The detail of an attempt that waited for too long.
pub(crate) const OUTDATED: &str = "not begun before its weights grew too old";

/// How long a stalled run is kept while another back end is tried. Refusals arrive within milliseconds; a
/// back end that has not answered by then may have started, and two runs of one stream must not run side by
/// side.
const OVERLAP_TIMEOUT: Duration = Duration::from_millis(300);

/// The result of a wait.
pub(crate) enum Waited<T> {
    Done(T),
    /// The back end's weights are outdated, and the request has not started.
    Outdated,
    /// The engine sends nothing more, and no answer is expected.
    Silent,
    TimeUp,
}

impl Node {
    /// The time by which a request must have started at its back end, whose weights may become outdated.
    pub(crate) fn begin_by(&self, choice: &Choice) -> Option<Timestamp> {
        let scope = choice.scope.as_ref()?;
        self.state.borrow().rollout.begin_by(&scope.model, scope.weights)
    }

    /// Whether a request must not start any more at the back end `starting_at`; `false` if it starts at none.
    pub(crate) fn is_outdated(&self, starting_at: Option<&Choice>) -> bool {
        let begin_by = starting_at.and_then(|choice| self.begin_by(choice));
        begin_by.is_some_and(|begin_by| begin_by <= self.now())
    }

    /// Waits for `awaited` until `until`. If that is the start of a request at the back end `starting_at`,
    /// the wait also ends when the weights there become outdated, even if a newer version is announced
    /// meanwhile.
    ///
    /// The start of a run with a complete answer is not visible, so a run that lasts past that moment is
    /// aborted even if it started in time. Assuming that it had started would let runs start on outdated
    /// weights whenever a queue is long.
    pub(crate) async fn wait<T>(
        &self,
        starting_at: Option<&Choice>,
        until: Timestamp,
        awaited: impl Future<Output = T>,
    ) -> Waited<T> {
        let mut awaited = std::pin::pin!(awaited);
        loop {
            let announced = self.target_announced.notified();
            let begin_by = starting_at.and_then(|choice| self.begin_by(choice));
            let recheck_at = begin_by.map_or(until, |at| at.min(until));
            tokio::select! {
                biased;
                done = awaited.as_mut() => return Waited::Done(done),
                () = self.clock.sleep_until(recheck_at) => {}
                () = announced => continue,
            }
            if self.is_outdated(starting_at) {
                return Waited::Outdated;
            }
            if self.now() >= until {
                return Waited::TimeUp;
            }
        }
    }

    /// Waits for `attempt` at another back end. Meanwhile `stalled_run` is kept, but only for a short time
    /// and only while it may still start at `starting_at`.
    pub async fn attempt_beside<R, T>(
        &self,
        stalled_run: &mut Option<R>,
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
        *stalled_run = None;
        attempt.await
    }
}
