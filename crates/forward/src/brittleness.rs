//! Back ends that state that they bear few rejections: what a node observes of them.

use paddlemount_core::forwarding::{announcements::brittleness::BrittlenessChange, backends::BackendId};
use paddlemount_protocol::{fleet::BackendProcess, identity::ServiceId, time::Timestamp};

use crate::{journal::Event, metrics::Gauge, node::Node, ports::AdvertisedLimit};

impl Node {
    /// Applies what an answer states. `sent_at` is when the request was sent; it is `None` for a back end's own
    /// interfaces, which need not repeat the statement.
    pub(crate) fn observe_brittleness(
        &self,
        process: &BackendProcess,
        stated: Option<&AdvertisedLimit>,
        sent_at: Option<Timestamp>,
    ) {
        let bearable = match stated {
            Some(AdvertisedLimit::PerSecond(rejections)) => Some(*rejections),
            Some(AdvertisedLimit::Unreadable(value)) => {
                if self.unreadable_limits.is_first(value) {
                    self.journal.log(&Event::LimitUnreadable { backend: process.id.as_str(), value });
                }
                return;
            }
            None => None,
        };
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let service = state.backends.get(&process.id).map(|backend| backend.entry.service.clone());
        let Some(service) = service else { return };
        let sent_at = sent_at.unwrap_or(Timestamp::ZERO);
        let change = state.brittleness.observe(&service, bearable, sent_at, now);
        drop(state);
        match change {
            Some(BrittlenessChange::Begins(rejections)) => self.log_brittleness(&service, Some(rejections)),
            Some(BrittlenessChange::Ends) => self.log_brittleness(&service, None),
            None => {}
        }
    }

    /// Records that a back end rejected a request for want of room.
    pub(crate) fn record_rejection(&self, backend: &BackendId) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let in_flight = state.chooser.loads.total_requests(backend);
        let process = state.backends.process_of(backend);
        state.brittleness.record_rejection(&process, in_flight, now);
    }

    /// Removes expired statements.
    pub(crate) fn expire_brittleness(&self) {
        let expired = self.state.borrow_mut().brittleness.sweep(self.now());
        expired.iter().for_each(|service| self.log_brittleness(service, None));
    }

    /// The number of services with brittle back ends.
    pub(crate) fn brittleness_gauge(&self) -> Gauge {
        let count = self.state.borrow().brittleness.count(self.now());
        Gauge { name: "paddlemount_forward_services_brittle", value: count as f64 }
    }

    fn log_brittleness(&self, service: &ServiceId, bearable_rejections: Option<f64>) {
        self.journal.log(&Event::ServiceBrittle { service: service.as_str(), bearable_rejections });
    }
}
