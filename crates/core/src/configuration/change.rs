//! A change written to the store: read, check, put by compare-and-swap, and read again after a lost reply.
//!
//! [`ConfigurationChange`] makes a change at most once under its identity. A put whose reply was lost is
//! resolved by reading: either the document records the identity, or its revision has passed the one that the
//! put expected, so that the put can no longer take effect.

use paddlemount_protocol::{
    configuration::{ChangeRequest, Configuration, RevisedConfiguration},
    identity::Revision,
    platform::StorePutResult,
    time::Timestamp,
};

use super::apply::{evaluate, find_applied, records_since};

/// Maximum number of store calls of one change.
pub const MAX_STORE_CALLS: u32 = 24;

/// How a store call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StoreFailure {
    /// The store did not apply the call: it could not be reached, or refused.
    NotApplied,
    /// The store may have applied the call: the reply was lost or timed out.
    Unclear,
}

/// An input to [`ConfigurationChange::step`].
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeEvent {
    /// A read ended.
    Read(Result<RevisedConfiguration, StoreFailure>),
    /// A put ended.
    Put(Result<StorePutResult, StoreFailure>),
    /// The deadline has passed.
    Deadline,
}

/// The next step of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeStep {
    Read,
    /// Read the document after a delay, as the last call failed.
    RetryRead,
    /// Replace the document if its revision is `expected`.
    Put {
        expected: Revision,
        configuration: Box<Configuration>,
    },
    /// The change has ended.
    End(StoreOutcome),
}

/// The outcome of a change at the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreOutcome {
    /// The store holds the change.
    Stored {
        /// The revision that the change made.
        revision: Revision,
        /// The resulting document, if this change's own put made it or a read showed it as the latest.
        configuration: Option<Box<Configuration>>,
    },
    /// A dry run succeeded.
    WouldApply {
        /// The revision that it was checked against.
        revision: Revision,
    },
    /// The change was not made and will not be.
    Refused {
        /// The current revision, as far as known.
        revision: Revision,
        /// The cause and the remedy.
        reason: String,
    },
    /// The change may have been made.
    Unknown,
}

/// The state machine of one change.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigurationChange {
    request: ChangeRequest,
    at: Timestamp,
    floor: Revision,
    put: Option<SentPut>,
    awaits_put: bool,
    calls: u32,
}

/// The latest put, while it may have taken effect or may still do so.
#[derive(Clone, Debug, PartialEq)]
struct SentPut {
    expected: Revision,
    configuration: Box<Configuration>,
    /// Whether a reply was lost, so that a copy may still be in flight.
    unclear: bool,
}

impl ConfigurationChange {
    /// Creates a change requested at `at`. `floor` is the revision in force at this node, below which no
    /// revision from the store may fall. Start with [`ChangeStep::Read`].
    pub const fn new(request: ChangeRequest, floor: Revision, at: Timestamp) -> Self {
        Self { request, at, floor, put: None, awaits_put: false, calls: 1 }
    }

    /// Whether the latest step was [`ChangeStep::Put`].
    pub const fn awaits_put(&self) -> bool {
        self.awaits_put
    }

    /// Returns the step that follows from `event`.
    pub fn step(&mut self, event: ChangeEvent) -> ChangeStep {
        let step = self.step_after(event);
        self.awaits_put = matches!(step, ChangeStep::Put { .. });
        step
    }

    fn step_after(&mut self, event: ChangeEvent) -> ChangeStep {
        match event {
            ChangeEvent::Read(Ok(current)) => self.after_read(&current),
            ChangeEvent::Read(Err(_)) => self.call_again(ChangeStep::RetryRead),
            ChangeEvent::Put(Ok(StorePutResult::Stored { revision })) => self.after_stored(revision),
            ChangeEvent::Put(Ok(StorePutResult::Conflict { .. })) => self.after_failed_put(None),
            ChangeEvent::Put(Err(failure)) => self.after_failed_put(Some(failure)),
            ChangeEvent::Deadline => self.abandon(),
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
            Ok(None) => self.after_missing(current),
        }
    }

    fn after_missing(&mut self, current: &RevisedConfiguration) -> ChangeStep {
        if let Some(put) = &self.put {
            if current.revision == put.expected {
                // The put may still arrive. A copy cannot take effect twice, as both expect this revision.
                let (expected, configuration) = (put.expected, put.configuration.clone());
                return self.call_again(ChangeStep::Put { expected, configuration });
            }
            if !records_since(&current.configuration, put.expected) {
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
        self.call_again(ChangeStep::Put { expected, configuration })
    }

    fn after_stored(&mut self, revision: Revision) -> ChangeStep {
        let configuration = self.put.take().map(|put| put.configuration);
        ChangeStep::End(StoreOutcome::Stored { revision, configuration })
    }

    /// Handles a put that failed, or that met another revision if `failure` is `None`.
    fn after_failed_put(&mut self, failure: Option<StoreFailure>) -> ChangeStep {
        if let Some(put) = self.put.as_mut().filter(|_| failure == Some(StoreFailure::Unclear)) {
            put.unclear = true;
        }
        // Without a lost reply, the only copy of the put was not applied.
        self.put.take_if(|put| !put.unclear);
        self.call_again(if failure.is_none() { ChangeStep::Read } else { ChangeStep::RetryRead })
    }

    fn call_again(&mut self, step: ChangeStep) -> ChangeStep {
        if self.calls >= MAX_STORE_CALLS {
            return self.abandon();
        }
        self.calls += 1;
        step
    }

    /// Ends the change. It is refused if no put can be in flight, and unknown otherwise.
    fn abandon(&self) -> ChangeStep {
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
