//! The simulated configuration store.

use std::time::Duration;

use paddlemount_core::{
    configuration::change::StoreFailure,
    lease::LeaseRequest,
    membership::CallId,
    peers::{StoreReply, StoreRequest},
};
use paddlemount_protocol::{
    configuration::{Configuration, DOCUMENT_KEY, RevisedConfiguration, StoredDocument},
    identity::Revision,
    platform::{StorePut, StorePutResult},
    time::Timestamp,
};
use paddlemount_standins::configuration_store::model::ConfigurationStoreModel;
use rand::RngExt;

use super::{
    cluster::SimCluster,
    event::{Event, NodeIncarnation, StoreAnswer, StoreCall},
    settings::Breakage,
};
use crate::simulation::Endpoint;

const REFUSAL_DELAY: Duration = Duration::from_millis(2);
const REPLY_LOSS_PROBABILITY: f64 = 0.4;

/// The store, with every document that it has held.
pub struct SimStore {
    pub endpoint: Endpoint,
    pub model: ConfigurationStoreModel,
    /// In the order of their revisions.
    pub documents: Vec<RevisedConfiguration>,
    /// Whether it refuses all calls.
    pub down: bool,
    /// Maximum delay added to each reply.
    pub delay: Duration,
    watches: Vec<(NodeIncarnation, CallId, Revision)>,
}

impl SimStore {
    /// A store with the initial document.
    pub fn new(endpoint: Endpoint) -> Self {
        let configuration = super::callers::initial_document();
        let value = serde_json::to_value(&configuration).expect("a configuration has a JSON form");
        let mut model = ConfigurationStoreModel::new([]);
        let put = StorePut { key: DOCUMENT_KEY.to_owned(), expected: Revision(0), value };
        let revision = match model.put(put) {
            StorePutResult::Stored { revision } | StorePutResult::Conflict { revision } => revision,
        };
        let documents = vec![RevisedConfiguration { revision, configuration }];
        Self { endpoint, model, documents, down: false, delay: Duration::ZERO, watches: Vec::new() }
    }

    /// The current document.
    pub fn current(&self) -> &RevisedConfiguration {
        self.documents.last().expect("the store begins with a document")
    }

    fn put(&mut self, expected: Revision, configuration: Configuration, compares: bool) -> StorePutResult {
        let expected = if compares { expected } else { self.current().revision };
        let value = serde_json::to_value(&configuration).expect("a configuration has a JSON form");
        let result = self.model.put(StorePut { key: DOCUMENT_KEY.to_owned(), expected, value });
        if let StorePutResult::Stored { revision } = result {
            self.documents.push(RevisedConfiguration { revision, configuration });
        }
        result
    }
}

impl SimCluster {
    /// Sends a call to the store, which ends after `timeout` at the latest.
    pub fn call_store(&mut self, from: NodeIncarnation, call: StoreCall, timeout: Duration) {
        let unanswered = match &call {
            StoreCall::Peers(number, _) => StoreAnswer::Peers(*number, Err(StoreFailure::Unclear)),
            StoreCall::Lease(_) => StoreAnswer::Lease(None),
        };
        self.queue.schedule_after(timeout, Event::StoreAnswer { to: from, answer: unanswered });
        let (endpoint, store) = (self.nodes[from.node].endpoint, self.store.endpoint);
        self.send(endpoint, store, Event::StoreCall { from, call });
    }

    /// Handles a call at the store.
    pub fn handle_store_call(&mut self, from: NodeIncarnation, call: StoreCall, now: Timestamp) {
        if self.store.down {
            let answer = match call {
                StoreCall::Peers(number, _) => StoreAnswer::Peers(number, Err(StoreFailure::NotApplied)),
                StoreCall::Lease(_) => StoreAnswer::Lease(None),
            };
            return self.queue.schedule_after(REFUSAL_DELAY, Event::StoreAnswer { to: from, answer });
        }
        match call {
            StoreCall::Lease(request) => {
                let model = &mut self.store.model;
                let result = match &request {
                    LeaseRequest::Acquire(lease_request) => model.acquire(lease_request, now),
                    LeaseRequest::Renew(lease_request) => model.renew(lease_request, now),
                    LeaseRequest::Release(lease_request) => model.release(lease_request, now),
                };
                self.store_reply(from, StoreAnswer::Lease(Some(result)));
            }
            StoreCall::Peers(number, request) => self.handle_document_call(from, number, request, now),
        }
    }

    fn handle_document_call(
        &mut self,
        from: NodeIncarnation,
        call: CallId,
        request: StoreRequest,
        now: Timestamp,
    ) {
        let reply = match request {
            StoreRequest::Read => StoreReply::Document(StoredDocument::Present(self.store.current().clone())),
            StoreRequest::Watch(watch) if self.store.current().revision > watch.after => {
                StoreReply::Document(StoredDocument::Present(self.store.current().clone()))
            }
            StoreRequest::Watch(watch) => {
                self.store.watches.push((from, call, watch.after));
                let wait = Duration::from_millis(watch.wait_ms);
                return self
                    .queue
                    .schedule_after(wait, Event::WatchExpires { from, call, after: watch.after });
            }
            StoreRequest::Put { expected, configuration } => {
                let compares = !self.has_breakage(Breakage::PutWithoutCompare);
                let result = self.store.put(expected, *configuration, compares);
                self.notify_watches(from, result, now);
                StoreReply::Put(result)
            }
        };
        self.store_reply(from, StoreAnswer::Peers(call, Ok(reply)));
    }

    fn notify_watches(&mut self, from: NodeIncarnation, result: StorePutResult, now: Timestamp) {
        let StorePutResult::Stored { revision } = result else { return };
        self.history.record(now, "store", format!("takes revision {revision} from node-{}", from.node));
        let watches = std::mem::take(&mut self.store.watches);
        for (from, call, _) in watches {
            let document = StoredDocument::Present(self.store.current().clone());
            self.store_reply(from, StoreAnswer::Peers(call, Ok(StoreReply::Document(document))));
        }
    }

    /// Ends a watch without a change.
    pub fn expire_watch(&mut self, from: NodeIncarnation, call: CallId, after: Revision) {
        let before = self.store.watches.len();
        self.store.watches.retain(|(node, number, _)| (*node, *number) != (from, call));
        if self.store.watches.len() < before && !self.store.down {
            let reply = StoreReply::Document(StoredDocument::Unchanged(after));
            self.store_reply(from, StoreAnswer::Peers(call, Ok(reply)));
        }
    }

    fn store_reply(&mut self, to: NodeIncarnation, answer: StoreAnswer) {
        if self.lose_replies && self.random.random_bool(REPLY_LOSS_PROBABILITY) {
            return;
        }
        let (store, node) = (self.store.endpoint, self.nodes[to.node].endpoint);
        let Some(delay) = self.links.transmit(store, node) else { return };
        let slow = self.store.delay.mul_f64(self.random.random::<f64>());
        self.queue.schedule_after(delay + slow, Event::StoreAnswer { to, answer });
    }
}
