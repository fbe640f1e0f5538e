//! How log lines describe what is quarantined.

use paddlemount_protocol::quarantine::{QuarantinedRequest, RequestFingerprint};
use serde::Serialize;

/// A quarantined request, and why; only its fingerprint if nothing else is known.
#[derive(Debug, Default, Serialize)]
pub struct QuarantineLine {
    pub fingerprint: String,
    /// The id of the segment, if one is quarantined in any request.
    pub segment: Option<String>,
    pub route: Option<String>,
    pub tenant: Option<String>,
    /// The back ends that crashed while running it.
    pub backends: Vec<String>,
    /// The node that quarantined it.
    pub found_by: Option<String>,
}

/// The id of a segment as callers state it.
pub(crate) fn segment_text(fingerprint: &RequestFingerprint) -> Option<String> {
    fingerprint.segment().map(|id| format!("{id:x}"))
}

impl From<RequestFingerprint> for QuarantineLine {
    fn from(fingerprint: RequestFingerprint) -> Self {
        let segment = segment_text(&fingerprint);
        Self { fingerprint: fingerprint.to_string(), segment, ..Self::default() }
    }
}

impl From<&QuarantinedRequest> for QuarantineLine {
    fn from(request: &QuarantinedRequest) -> Self {
        Self {
            route: Some(request.route.clone()),
            tenant: request.tenant.as_ref().map(|tenant| tenant.as_str().to_owned()),
            backends: request.engines.iter().map(|engine| engine.as_str().to_owned()).collect(),
            found_by: Some(request.found_by.as_str().to_owned()),
            ..Self::from(request.fingerprint)
        }
    }
}
