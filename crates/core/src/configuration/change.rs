//! A change against the store: read, check, put by compare-and-swap, and read again after a lost reply.
//!
//! [`ConfigurationChange`] makes a change at most once under its identity. A put whose reply was lost is
//! settled by reading: the document remembers the identity, or its revision has passed the one that the put
//! expected, so that the put can no longer take effect.

use paddlemount_protocol::{
    configuration::{ChangeRequest, Configuration, RevisedConfiguration},
    identity::Revision,
    platform::StorePutResult,
    time::Timestamp,
};

use super::apply::{evaluate, find_applied, remembers_since};

/// Calls to the store that one change may make.
pub const MAX_STORE_CALLS: u32 = 24;

/// How a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StoreFailure {
    /// The store surely did nothing: it could not be reached, or refused.
    NotApplied,
    /// The store may have done it: the reply was lost or did not come in time.
    Unclear,
}

/// What a change learns.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeEvent {
    /// The document was read.
    Read(Result<RevisedConfiguration, StoreFailure>),
    /// The put ended.
    Put(Result<StorePutResult, StoreFailure>),
    /// Time is up.
    Deadline,
}

/// What a change does next.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeStep {
    /// Read the document.
    Read,
    /// Read the document after a pause, as the store did not answer.
    RetryRead,
    /// Replace the document where its revision is still the expected one.
    Put {
        /// The revision.
        expected: Revision,
        /// The new document.
        configuration: Box<Configuration>,
    },
    /// It has ended.
    End(StoreOutcome),
}

/// How a change ended at the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreOutcome {
    /// The store holds it.
    Stored {
        /// The revision it made.
        revision: Revision,
        /// The document with it, where this change's own put made it or a read showed it as the latest.
        configuration: Option<Box<Configuration>>,
    },
    /// A dry run found nothing wrong.
    WouldApply {
        /// The revision it was checked against.
        revision: Revision,
    },
    /// Not made, and will not be.
    Refused {
        /// The current revision, as far as known.
        revision: Revision,
        /// Why, and what to do.
        reason: String,
    },
    /// It may have been made.
    Unknown,
}

/// One change on its way into the store.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigurationChange {
    request: ChangeRequest,
    at: Timestamp,
    floor: Revision,
    put: Option<SentPut>,
    awaits_put: bool,
    calls: u32,
}

/// The latest put, as long as it may have taken effect or may still do so.
#[derive(Clone, Debug, PartialEq)]
struct SentPut {
    expected: Revision,
    configuration: Box<Configuration>,
    /// Whether a reply to it was lost, so that a copy of it may be under way.
    unclear: bool,
}

impl ConfigurationChange {
    /// A change asked for at `at`; `floor` is the revision in force at this node, which no revision from the
    /// store may fall below. Begin with [`ChangeStep::Read`].
    pub const fn new(request: ChangeRequest, floor: Revision, at: Timestamp) -> Self {
        Self { request, at, floor, put: None, awaits_put: false, calls: 1 }
    }

    /// Whether the latest step was [`ChangeStep::Put`].
    pub const fn awaits_put(&self) -> bool {
        self.awaits_put
    }

    /// What follows from `event`.
    pub fn step(&mut self, event: ChangeEvent) -> ChangeStep {
        let step = self.step_after(event);
        self.awaits_put = matches!(step, ChangeStep::Put { .. });
        step
    }

    fn step_after(&mut self, event: ChangeEvent) -> ChangeStep {
        match event {
            ChangeEvent::Read(Ok(current)) => self.after_read(&current),
            ChangeEvent::Read(Err(_)) => self.again(ChangeStep::RetryRead),
            ChangeEvent::Put(Ok(StorePutResult::Stored { revision })) => self.after_stored(revision),
            ChangeEvent::Put(Ok(StorePutResult::Conflict { .. })) => self.after_failed_put(None),
            ChangeEvent::Put(Err(failure)) => self.after_failed_put(Some(failure)),
            ChangeEvent::Deadline => self.give_up(),
        }
    }

    fn after_read(&mut self, current: &RevisedConfiguration) -> ChangeStep {
        if current.revision < self.floor {
            let reason = format!(
                "the store shows revision {}, older than revision {} in force; repair the store first",
                current.revision, self.floor
            );
            return self.refuse(self.floor, reason);
        }
        self.floor = current.revision;
        match find_applied(current, &self.request.id, &self.request.change) {
            Err(error) => ChangeStep::End(StoreOutcome::Refused {
                revision: current.revision,
                reason: error.to_string(),
            }),
            Ok(Some(revision)) => {
                let is_latest = revision == current.revision;
                let configuration = is_latest.then(|| Box::new(current.configuration.clone()));
                ChangeStep::End(StoreOutcome::Stored { revision, configuration })
            }
            Ok(None) => self.after_not_found(current),
        }
    }

    fn after_not_found(&mut self, current: &RevisedConfiguration) -> ChangeStep {
        if let Some(put) = &self.put {
            if current.revision == put.expected {
                // It may still arrive. Sent again it takes effect once at most, as both expect this revision.
                let (expected, configuration) = (put.expected, put.configuration.clone());
                return self.again(ChangeStep::Put { expected, configuration });
            }
            if !remembers_since(&current.configuration, put.expected) {
                return ChangeStep::End(StoreOutcome::Unknown);
            }
            self.put = None;
        }
        match evaluate(current, &self.request, self.at) {
            Err(error) => self.refuse(current.revision, error.to_string()),
            Ok(_) if self.request.dry_run => {
                ChangeStep::End(StoreOutcome::WouldApply { revision: current.revision })
            }
            Ok(configuration) => self.send_put(current.revision, Box::new(configuration)),
        }
    }

    fn send_put(&mut self, expected: Revision, configuration: Box<Configuration>) -> ChangeStep {
        self.put = Some(SentPut { expected, configuration: configuration.clone(), unclear: false });
        self.again(ChangeStep::Put { expected, configuration })
    }

    fn after_stored(&mut self, revision: Revision) -> ChangeStep {
        let configuration = self.put.take().map(|put| put.configuration);
        ChangeStep::End(StoreOutcome::Stored { revision, configuration })
    }

    /// The put met another revision, where `failure` is none, or it failed.
    fn after_failed_put(&mut self, failure: Option<StoreFailure>) -> ChangeStep {
        if let Some(put) = self.put.as_mut().filter(|_| failure == Some(StoreFailure::Unclear)) {
            put.unclear = true;
        }
        // Where no reply was ever lost, the only copy of the put surely did nothing.
        self.put.take_if(|put| !put.unclear);
        self.again(if failure.is_none() { ChangeStep::Read } else { ChangeStep::RetryRead })
    }

    fn again(&mut self, step: ChangeStep) -> ChangeStep {
        if self.calls >= MAX_STORE_CALLS {
            return self.give_up();
        }
        self.calls += 1;
        step
    }

    /// At the deadline a put may be under way; without one the change is surely not made.
    fn give_up(&self) -> ChangeStep {
        if self.put.is_some() {
            return ChangeStep::End(StoreOutcome::Unknown);
        }
        let reason =
            "the configuration store did not answer; nothing was changed, try again later".to_owned();
        ChangeStep::End(StoreOutcome::Refused { revision: self.floor, reason })
    }

    fn refuse(&self, revision: Revision, reason: String) -> ChangeStep {
        if self.put.is_some() {
            return ChangeStep::End(StoreOutcome::Unknown);
        }
        ChangeStep::End(StoreOutcome::Refused { revision, reason })
    }
}
