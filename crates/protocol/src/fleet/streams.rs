//! Which software version began a stream, as nodes tell each other.

use serde::{Deserialize, Serialize};

use crate::identity::{EngineId, ServiceId, SoftwareVersion};

/// Path that receives [`StreamRecords`].
pub const RECORD_STREAMS_PATH: &str = "/fleet/streams/record";
/// Path that receives a [`FindStream`] and answers with a [`FoundStream`].
pub const FIND_STREAM_PATH: &str = "/fleet/streams/find";
/// Path that returns the [`super::Member`]s that a node knows.
pub const MEMBERS_PATH: &str = "/fleet/members";
/// Header of a forwarded request that continues a stream, and of the answer to any forwarded stream: the software
/// version that began it.
pub const SOFTWARE_HEADER: &str = "paddlemount-software";

/// Names a stream of a tenant: a hash of the tenant and of the caller's id of the attempt that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct StreamKey(pub u128);

impl From<(u64, u64)> for StreamKey {
    fn from((high, low): (u64, u64)) -> Self {
        Self(u128::from(high) << 64 | u128::from(low))
    }
}

impl From<StreamKey> for (u64, u64) {
    fn from(key: StreamKey) -> Self {
        ((key.0 >> 64) as u64, key.0 as u64)
    }
}

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamOrigin {
    #[serde(rename = "s")]
    pub service: ServiceId,
    #[serde(rename = "v")]
    pub software: SoftwareVersion,
}

/// A stream, and where it began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    #[serde(rename = "k")]
    pub key: StreamKey,
    #[serde(flatten)]
    pub origin: StreamOrigin,
}

/// Streams that a node tells another one to remember.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecords {
    pub records: Vec<StreamRecord>,
}

/// Asks where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FindStream {
    pub key: StreamKey,
}

/// What a node knows of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum FoundStream {
    Known {
        origin: StreamOrigin,
        /// Milliseconds since it was recorded or confirmed.
        age_ms: u64,
    },
    /// Two streams were recorded under the same name.
    Ambiguous,
    /// Nothing is known. Unknown answers of later versions are treated alike.
    #[default]
    #[serde(other)]
    Unknown,
}

/// Back ends with the same software version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoftwareGroup {
    #[serde(rename = "v")]
    pub software: SoftwareVersion,
    #[serde(rename = "e")]
    pub backends: Vec<EngineId>,
}

/// When a software version was listed for back ends of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenSoftware {
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// `None` for back ends whose version is not known.
    #[serde(rename = "v")]
    pub software: Option<SoftwareVersion>,
    /// Milliseconds since it was first listed, when the message was written.
    #[serde(rename = "f")]
    pub first_ms: u64,
    /// Milliseconds since it was last listed.
    #[serde(rename = "l")]
    pub last_ms: u64,
}

/// The software versions that were listed lately.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoftwareHistoryMessage {
    /// Milliseconds for which nothing was missed, when the message was written; `None` if nothing ever was.
    pub complete_ms: Option<u64>,
    /// Milliseconds since the view of the registry was last confirmed, when the message was written.
    pub view_age_ms: u64,
    pub seen: Vec<SeenSoftware>,
}
