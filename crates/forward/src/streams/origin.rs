//! Which software version a caller's take-up of a stream is bound to.

use std::{rc::Rc, time::Duration};

use paddlemount_core::forwarding::{software::SoftwareBinding, stream_records::stream_key};
use paddlemount_protocol::{
    fleet::{StreamKey, StreamOrigin},
    identity::SoftwareVersion,
};

use super::{RunningStream, lookup::Lookup};
use crate::{
    answers::Reason,
    exchange::{Exchange, is_resumable},
    metrics::Counter,
};

/// How a take-up learned where its stream began, for the log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakeUp {
    /// The last event that the caller has.
    pub after: u64,
    /// Where the record was found, or what stood in for it.
    pub found: &'static str,
    /// The time since the stream was recorded, if it was.
    pub age: Option<Duration>,
}

impl Exchange {
    /// The key of the request's stream: by the attempt that brought its first event, which is this one unless the
    /// caller has events already.
    pub(crate) fn stream_key(&self) -> Option<StreamKey> {
        let first_attempt = match (self.head.last_event, &self.handoff) {
            (None, _) => self.head.id.as_deref(),
            // A node that hands a stream on in mid-answer adds the last event itself.
            (Some(_), Some(_)) => self.head.resumes.as_deref().or(self.head.id.as_deref()),
            (Some(_), None) => self.head.resumes.as_deref(),
        };
        let tenant = self.record.tenant.as_ref().map(|tenant| &tenant.name);
        Some(stream_key(tenant, first_attempt.filter(|attempt| !attempt.is_empty())?))
    }

    /// Binds a stream that has begun to the version that began it.
    ///
    /// # Errors
    ///
    /// Returns why it cannot go on if that is not known.
    pub(crate) async fn bind_to_origin(&mut self) -> Result<(), Reason> {
        let Some(after) = self.head.last_event.filter(|_| self.route.kind.is_stream()) else { return Ok(()) };
        if let Some(software) = self.handoff.as_ref().and_then(|handoff| handoff.software.clone()) {
            self.record.take_up = Some(TakeUp { after, found: "handed_on", age: None });
            self.binding = SoftwareBinding::Bound(software);
            return Ok(());
        }
        let lookup = match self.stream_key() {
            Some(key) => self.node.find_stream(key).await,
            None => Lookup::NotFound,
        };
        let result = match lookup {
            Lookup::Found { origin, age, at } => {
                self.record.take_up = Some(TakeUp { after, found: at, age: Some(age) });
                self.bind_to(origin)
            }
            Lookup::NotFound => self.bind_to_only_version(after, Reason::StreamUnknown).await,
            Lookup::Unanswered => self.bind_to_only_version(after, Reason::StreamUnanswered).await,
        };
        let outcome = if result.is_ok() { "bound" } else { "unknown" };
        self.node.metrics.count(Counter::TakeUps(outcome));
        result
    }

    fn bind_to(&mut self, origin: StreamOrigin) -> Result<(), Reason> {
        // Another service of the route may have been picked for this attempt.
        if !self.route.split.iter().any(|share| share.service == origin.service) {
            return Err(Reason::StreamUnknown);
        }
        self.service = origin.service;
        self.binding = SoftwareBinding::Bound(origin.software);
        Ok(())
    }

    /// Binds the stream to the only version at which it can have begun.
    async fn bind_to_only_version(&mut self, after: u64, otherwise: Reason) -> Result<(), Reason> {
        self.node.wait_for_software_history().await;
        let is_only_service = self.route.split.iter().all(|share| share.service == self.service);
        let only = self.node.only_software(&self.service).filter(|_| is_only_service);
        let found = if only.is_some() { "only_version" } else { "nowhere" };
        self.record.take_up = Some(TakeUp { after, found, age: None });
        self.binding = SoftwareBinding::Bound(only.ok_or(otherwise)?);
        Ok(())
    }

    /// Records that an event of the stream came from this software version, or from an unknown one. `is_direct` says
    /// that this node has received it from the back end itself.
    pub(crate) fn record_stream_origin(&mut self, software: Option<SoftwareVersion>, is_direct: bool) {
        if !self.binding.has_begun() {
            self.binding = SoftwareBinding::to(software);
        }
        self.record.software = self.binding.version().cloned();
        let is_to_be_told = is_direct && is_resumable(self.route.kind) && self.running_stream.is_none();
        let Some(version) = self.binding.version().filter(|_| is_to_be_told) else { return };
        let origin = StreamOrigin { service: self.service.clone(), software: version.clone() };
        if let Some(key) = self.stream_key() {
            self.running_stream = Some(RunningStream::begin(&Rc::clone(&self.node), key, origin));
        }
    }
}
