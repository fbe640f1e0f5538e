//! When the retries of requests arrive.
//!
//! What is sent to a process that stands still, or on a connection that stalls, waits in sockets, also after the
//! connection was closed, and is read later. That an attempt has been read shows only by its own connection: by bytes on
//! it, or by its end. The bytes of another connection prove nothing, as a process may serve it meanwhile.
//!
//! Of a request's attempts, the first that shows is its first arrival, and each further one is a repeated arrival. A
//! retry cannot be dated before, and counts in every window until then.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use paddlemount_protocol::{fleet::BackendProcess, identity::ServiceId, time::Timestamp};

use super::budget::WindowBudget;

/// How long a process that goes on may take to read all that has arrived.
const CATCH_UP_TIME: Duration = Duration::from_millis(500);
/// How long an attempt that was given up may stay unread before it counts as lost. Processes that stand still for longer
/// are as good as gone, and callers need the retries.
pub const MAX_UNREAD_TIME: Duration = Duration::from_secs(30);

/// A request with retries, at one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RetriedRequest(u64);

/// The attempts and retries of one request while it is being served.
#[derive(Debug, Default)]
pub struct RequestRetries {
    /// Attempts that have shown before the first retry was drawn.
    shown: u32,
    /// The request's entry, from its first retry on.
    request: Option<RetriedRequest>,
}

impl RequestRetries {
    /// The request, if it has been retried.
    pub const fn request(&self) -> Option<RetriedRequest> {
        self.request
    }
}

/// A retry that counts as arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DatedRetry {
    pub service: ServiceId,
    pub at: Timestamp,
}

#[derive(Clone, Debug)]
struct Request {
    service: ServiceId,
    /// Attempts that have been read.
    shown: u32,
    /// Attempts that were given up and may not have been read.
    unread: u32,
    /// Retries that are not dated yet.
    undated: u32,
    /// When the latest of the unread attempts was given up.
    given_up_at: Timestamp,
    /// Whether the node has ended serving it.
    is_over: bool,
}

/// The retries of one node that may still arrive.
#[derive(Clone, Debug, Default)]
pub struct LateArrivals {
    requests: BTreeMap<RetriedRequest, Request>,
    /// Unread attempts whose connections cannot be observed, by the process that may read them.
    unobserved: BTreeMap<BackendProcess, Vec<RetriedRequest>>,
    /// Retries whose attempts are being read, in order of time.
    dated: VecDeque<DatedRetry>,
    last_id: u64,
}

impl LateArrivals {
    /// Records that the present attempt of a request has been read.
    pub fn record_shown(&mut self, retries: &mut RequestRetries, now: Timestamp) {
        match retries.request {
            Some(request) => self.show(request, now),
            None => retries.shown += 1,
        }
    }

    /// Records a retry that was taken from the budget of `service` at `now`.
    pub fn record_drawn(
        &mut self,
        retries: &mut RequestRetries,
        service: &ServiceId,
        budget: &mut WindowBudget,
        now: Timestamp,
    ) {
        budget.record_undated(now);
        let id = *retries.request.get_or_insert_with(|| {
            self.last_id += 1;
            RetriedRequest(self.last_id)
        });
        let request = self.requests.entry(id).or_insert_with(|| Request {
            service: service.clone(),
            shown: retries.shown,
            unread: 0,
            undated: 0,
            given_up_at: now,
            is_over: false,
        });
        request.undated += 1;
    }

    /// Records that an attempt of a request was given up and may be read later.
    pub fn record_unread(&mut self, request: RetriedRequest, now: Timestamp) {
        if let Some(request) = self.requests.get_mut(&request) {
            request.unread += 1;
            request.given_up_at = now;
        }
    }

    /// Records that an unread attempt can only be judged by what `process` does.
    pub fn record_unobserved(&mut self, request: RetriedRequest, process: &BackendProcess) {
        self.unobserved.entry(process.clone()).or_default().push(request);
    }

    /// Records that an unread attempt has been read by now.
    pub fn record_read(&mut self, request: RetriedRequest, now: Timestamp) {
        if let Some(known) = self.requests.get_mut(&request) {
            known.unread = known.unread.saturating_sub(1);
            self.show(request, now);
        }
    }

    /// Records that a node has ended serving a request. Retries that were drawn and never sent count at that time.
    pub fn record_over(&mut self, retries: &RequestRetries, now: Timestamp) {
        let Some(id) = retries.request else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.is_over = true;
        let repeats_to_come = (request.shown + request.unread).saturating_sub(request.shown.max(1));
        let never_sent = request.undated.saturating_sub(repeats_to_come);
        for _ in 0..never_sent {
            self.date(id, now);
        }
        self.remove_if_done(id);
    }

    /// Records bytes of a process, which reads what has arrived on connections that cannot be observed.
    pub fn record_heard(&mut self, process: &BackendProcess, now: Timestamp) {
        for request in self.unobserved.remove(process).unwrap_or_default() {
            self.record_read(request, now + CATCH_UP_TIME);
        }
    }

    /// Records that a process has ended, with all that it has not read.
    pub fn record_ended(&mut self, process: &BackendProcess, now: Timestamp) {
        self.record_heard(process, now);
    }

    /// Takes the retries that count as arrived by now.
    pub fn take_dated(&mut self, now: Timestamp) -> impl Iterator<Item = DatedRetry> + use<> {
        let due = self.dated.partition_point(|retry| retry.at <= now);
        self.dated.drain(..due).collect::<Vec<_>>().into_iter()
    }

    /// The number of retries that may still arrive.
    pub fn len(&self) -> usize {
        let undated: u32 = self.requests.values().map(|request| request.undated).sum();
        undated as usize + self.dated.len()
    }

    /// Whether no retry may still arrive.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes what is no longer needed.
    pub fn sweep(&mut self, now: Timestamp) {
        let is_lost = |request: &Request| {
            request.is_over && now.saturating_since(request.given_up_at) >= MAX_UNREAD_TIME
        };
        let lost: Vec<RetriedRequest> =
            self.requests.iter().filter(|(_, request)| is_lost(request)).map(|(id, _)| *id).collect();
        for id in lost {
            while self.date(id, now) {}
            self.requests.remove(&id);
        }
        let requests = &self.requests;
        self.unobserved.retain(|_, waiting| {
            waiting.retain(|request| requests.contains_key(request));
            !waiting.is_empty()
        });
    }

    fn show(&mut self, id: RetriedRequest, at: Timestamp) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.shown += 1;
        if request.shown > 1 {
            self.date(id, at);
        }
        self.remove_if_done(id);
    }

    fn remove_if_done(&mut self, id: RetriedRequest) {
        let is_done = |request: &Request| request.is_over && request.unread == 0;
        if self.requests.get(&id).is_some_and(is_done) {
            while self.date(id, self.requests[&id].given_up_at) {}
            self.requests.remove(&id);
        }
    }

    /// Dates a retry of a request. Returns `false` if all are dated.
    fn date(&mut self, id: RetriedRequest, at: Timestamp) -> bool {
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.undated > 0) else {
            return false;
        };
        request.undated -= 1;
        let service = request.service.clone();
        let later = self.dated.partition_point(|dated| dated.at <= at);
        self.dated.insert(later, DatedRetry { service, at });
        true
    }
}
