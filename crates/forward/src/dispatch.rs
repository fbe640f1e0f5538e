//! Builds the request that an attempt sends to its back end.

use bytes::Bytes;
use http::{Request, header};
use http_body_util::Full;
use paddlemount_core::forwarding::{choice::Choice, document::rank};
use paddlemount_protocol::time::Timestamp;

use crate::{
    attempts::{RunKind, strip_connection_headers},
    exchange::Exchange,
    ports::{CopiedRun, Dispatch},
};

/// From where an attempt resumes a stream.
#[derive(Debug, Default)]
pub struct Resume {
    /// The last event that the caller has.
    pub after: Option<u64>,
    /// The run to continue from its copied memory.
    pub continues: Option<CopiedRun>,
}

impl Exchange {
    /// Whether an attempt may be lost without harm.
    pub(crate) fn run_kind(&self, resume: &Resume) -> RunKind {
        match self.route.kind {
            _ if resume.continues.is_some() => RunKind::Continued,
            kind if kind.is_idempotent() => RunKind::Repeatable,
            _ => RunKind::New,
        }
    }

    /// The caller's request, with the platform's headers for the chosen back end, which may work on it until `deadline`.
    pub(crate) fn request(
        &self,
        choice: &Choice,
        resume: &Resume,
        deadline: Timestamp,
        now: Timestamp,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.parts.method.clone();
        let path = self.parts.uri.path_and_query().map_or("/", |path| path.as_str());
        if let Ok(uri) = path.parse() {
            *request.uri_mut() = uri;
        }
        let mut headers = self.parts.headers.clone();
        strip_connection_headers(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        if !self.body.is_empty() || self.parts.headers.contains_key(header::CONTENT_LENGTH) {
            headers.insert(header::CONTENT_LENGTH, self.body.len().into());
        }
        let dispatch = Dispatch {
            backend: &choice.backend,
            deadline: deadline.saturating_since(now),
            tenant: self.record.tenant.as_deref(),
            rank: rank(self.record.tenant.as_deref(), &self.route),
            scope: choice.scope.as_ref(),
            import_from: choice.import_from,
            save_to: choice.save_to.as_ref().map(|store| store.address),
            copy_to: choice.copy_to.as_ref().map(|holder| holder.address),
            continues: resume.continues.as_ref(),
            resume_after: resume.after,
        };
        self.node.platform.write_request(&mut headers, &dispatch);
        *request.headers_mut() = headers;
        request
    }
}
