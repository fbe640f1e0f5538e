//! Identifiers, versions and sequence numbers shared by all processes.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

macro_rules! text_identifier {
    ($($(#[$documentation:meta])* $name:ident;)*) => {$(
        $(#[$documentation])*
        ///
        /// Cloning copies a pointer.
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.pad(&self.0)
            }
        }
    )*};
}

macro_rules! counter {
    ($($(#[$documentation:meta])* $name:ident;)*) => {$(
        $(#[$documentation])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The number that follows this one.
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    )*};
}

text_identifier! {
    /// A customer whose requests, quotas and cached prompt state are isolated from all others.
    TenantId;
    /// A group of engines that serve the same model.
    PoolId;
    /// The public name of a model, as callers send it.
    ModelId;
    /// An adapter loaded over a model's weights.
    AdapterId;
    /// A model engine (a runner), across restarts.
    EngineId;
    /// A router node, across restarts.
    NodeId;
    /// One instance of a service.
    ServiceInstanceId;
    /// A service other than a model engine, such as `booking`.
    ServiceId;
    /// A version of a back end's software, as distinct from its model's weights. Versions have no order.
    SoftwareVersion;
    /// A failure domain within a region.
    ZoneId;
    /// A group of zones with low latency between them.
    RegionId;
    /// A caller's request, from arrival to the last byte; unique across all nodes.
    RequestId;
    /// One attempt to run a request on one back end; unique across all nodes.
    AttemptId;
    /// A configuration change, identified by a text that the requester chooses; equal texts mean the same
    /// change.
    ChangeId;
    /// A caller's name for an operation that must run at most once.
    IdempotencyKey;
    /// A person or program that operates the system.
    OperatorId;
}

counter! {
    /// Counts the starts of a process; a larger number is a later start under the same name.
    Incarnation;
    /// A version of a model's weights.
    WeightsVersion;
    /// A revision of the configuration store, incremented by each accepted change.
    Revision;
    /// A fencing token: a receiver refuses a token lower than the highest it has seen.
    FencingToken;
    /// The position of an event in an engine's feed, counted from 1 within an incarnation.
    EventSequence;
}
