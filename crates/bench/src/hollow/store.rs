//! The configuration store of hollow nodes, with watches and outages.

use std::time::Duration;

use paddlemount_core::{
    membership::CallId,
    peers::{StoreReply, StoreRequest},
};
use paddlemount_protocol::{
    configuration::{RevisedConfiguration, StoredDocument},
    identity::Revision,
    platform::StorePutResult,
    time::Timestamp,
};

/// The caller of an open store call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreCaller {
    pub node: usize,
    pub incarnation: u32,
    pub call: CallId,
}

/// A reply with its receiver.
#[derive(Clone, Debug)]
pub struct AddressedReply {
    pub caller: StoreCaller,
    pub reply: StoreReply,
}

impl AddressedReply {
    const fn new(caller: StoreCaller, reply: StoreReply) -> Self {
        Self { caller, reply }
    }
}

/// An open watch.
#[derive(Clone, Copy, Debug)]
struct Watcher {
    caller: StoreCaller,
    after: Revision,
    until: Timestamp,
}

/// A configuration store with one document.
#[derive(Debug, Default)]
pub struct HollowStore {
    pub document: RevisedConfiguration,
    /// While true, calls get no reply.
    pub is_down: bool,
    pub requests: u64,
    watchers: Vec<Watcher>,
}

impl HollowStore {
    /// A store that holds `document`.
    pub fn new(document: RevisedConfiguration) -> Self {
        Self { document, ..Self::default() }
    }

    /// Serves a request. Returns the reply to it and to the watches that it ends.
    pub fn serve(
        &mut self,
        caller: StoreCaller,
        request: StoreRequest,
        now: Timestamp,
    ) -> Vec<AddressedReply> {
        if self.is_down {
            return Vec::new();
        }
        self.requests += 1;
        match request {
            StoreRequest::Read => vec![AddressedReply::new(caller, self.current())],
            StoreRequest::Watch(watch) if watch.after != self.document.revision => {
                vec![AddressedReply::new(caller, self.current())]
            }
            StoreRequest::Watch(watch) => {
                let until = now + Duration::from_millis(watch.wait_ms);
                self.watchers.push(Watcher { caller, after: watch.after, until });
                Vec::new()
            }
            StoreRequest::Put { expected, configuration } => {
                if expected != self.document.revision {
                    let conflict = StorePutResult::Conflict { revision: self.document.revision };
                    return vec![AddressedReply::new(caller, StoreReply::Put(conflict))];
                }
                let revision = expected.next();
                self.document = RevisedConfiguration { revision, configuration: *configuration };
                let stored = StoreReply::Put(StorePutResult::Stored { revision });
                let mut replies = vec![AddressedReply::new(caller, stored)];
                let current = self.current();
                let notify = |watcher: Watcher| AddressedReply::new(watcher.caller, current.clone());
                replies.extend(self.watchers.drain(..).map(notify));
                replies
            }
        }
    }

    /// Ends the watches whose time is over, and returns the replies to them.
    pub fn expire(&mut self, now: Timestamp) -> Vec<AddressedReply> {
        let (expired, waiting): (Vec<Watcher>, Vec<Watcher>) =
            self.watchers.drain(..).partition(|watcher| watcher.until <= now);
        self.watchers = waiting;
        if self.is_down {
            return Vec::new();
        }
        let unchanged = |watcher: Watcher| {
            let reply = StoreReply::Document(StoredDocument::Unchanged(watcher.after));
            AddressedReply::new(watcher.caller, reply)
        };
        expired.into_iter().map(unchanged).collect()
    }

    fn current(&self) -> StoreReply {
        StoreReply::Document(StoredDocument::Present(self.document.clone()))
    }
}
