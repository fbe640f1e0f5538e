//! Which services have back ends that may be unreachable.
//!
//! Failures come in groups: back ends share machines, links and zones. After one of them sent nothing, pooled
//! connections to the others of its service are in doubt until dead ones are bound to be noticed.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::{identity::ServiceId, time::Timestamp};

/// How long connections are in doubt. Keep-alive probes close those to a peer that is gone within three
/// seconds, and other nodes' news of a failure takes up to one second more.
const DOUBT_PERIOD: Duration = Duration::from_secs(4);

/// The last evidence of an unreachable back end, by service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Doubts {
    last: BTreeMap<ServiceId, Timestamp>,
}

impl Doubts {
    /// Records evidence of `at` that a back end of the service sends nothing or cannot be reached.
    pub fn record(&mut self, service: &ServiceId, at: Timestamp) {
        let last = self.last.entry(service.clone()).or_default();
        *last = at.max(*last);
    }

    /// Whether pooled connections to the service's back ends are in doubt.
    pub fn contains(&self, service: &ServiceId, now: Timestamp) -> bool {
        self.last.get(service).is_some_and(|last| now.saturating_since(*last) < DOUBT_PERIOD)
    }

    /// Removes what is over.
    pub fn sweep(&mut self, now: Timestamp) {
        self.last.retain(|_, last| now.saturating_since(*last) < DOUBT_PERIOD);
    }
}
