//! Transfers a snapshot of the metadata store from one node to another.
//!
//! A node that starts, or that has not received changes for long, takes a snapshot from its parent instead of
//! listing the store. So the store is listed once per fleet rather than once per node.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode};
use paddlemount_core::forwarding::change_log::{is_newer, relayed_proof_time};
use paddlemount_protocol::{
    fleet::{RecentTargetVersion, RegistryState, SNAPSHOT_PATH, SoftwareGroup, SoftwareHistoryMessage},
    identity::Revision,
    time::Timestamp,
};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::{
    answers::{AnswerBody, full_body, with_guard},
    calls::Client,
    journal::Event,
    metrics::Counter,
    node::Node,
    streams::relayed_software::{add_software, software_groups},
};

/// The age of a snapshot's proof, in milliseconds, when its answer was written.
const AGE_MS: HeaderName = HeaderName::from_static("paddlemount-proof-age-ms");
/// How long a snapshot is reused. Later changes follow with the next reports.
const SNAPSHOT_TTL: Duration = Duration::from_secs(1);
/// The number of possible children per concurrent transfer of a snapshot. A snapshot of ten thousand back
/// ends has about a megabyte, so the transfers must fit the node's link: three take 1.2 s at 20 Mbit/s, ten take 0.4 s
/// at 200 Mbit/s.
const CHILDREN_PER_SNAPSHOT: usize = 2;
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(3);

/// A serialized snapshot.
#[derive(Clone, Debug)]
pub(crate) struct Snapshot {
    body: Bytes,
    proved_at: Timestamp,
    created_at: Timestamp,
}

/// The content of a snapshot, with facts as they are written or read.
#[derive(Debug, Serialize, Deserialize)]
struct Content<F> {
    revision: Revision,
    registry: RegistryState,
    facts: F,
    /// Recently announced target versions.
    #[serde(default, rename = "named")]
    recent_targets: Vec<RecentTargetVersion>,
    /// The software versions of the back ends among the facts.
    #[serde(default)]
    software: Vec<SoftwareGroup>,
    #[serde(default)]
    software_history: Option<SoftwareHistoryMessage>,
}

/// Counts one of the concurrent transfers of snapshots.
struct SnapshotPermit(Rc<Node>);

impl Drop for SnapshotPermit {
    fn drop(&mut self) {
        self.0.snapshots_in_progress.set(self.0.snapshots_in_progress.get().saturating_sub(1));
    }
}

/// Answers with a snapshot. Refuses if this node does not know the whole store, if its proof is too old, or
/// if too many transfers are in progress.
pub(super) fn serve(node: &Rc<Node>) -> Response<AnswerBody> {
    let now = node.now();
    let max_transfers = (node.settings().limits.fan_in() / CHILDREN_PER_SNAPSHOT).max(1);
    let has_permit = node.snapshots_in_progress.get() < max_transfers;
    let Some(snapshot) = current(node, now).filter(|_| has_permit) else {
        let mut refusal = Response::new(full_body(Bytes::new()));
        *refusal.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return refusal;
    };
    node.snapshots_in_progress.set(node.snapshots_in_progress.get() + 1);
    node.metrics.count(Counter::SnapshotsServed);
    let age = now.saturating_since(snapshot.proved_at).as_millis() as u64 + 1;
    let mut answer = Response::new(full_body(snapshot.body));
    answer.headers_mut().insert(AGE_MS, HeaderValue::from(age));
    with_guard(answer, SnapshotPermit(Rc::clone(node)))
}

/// The last snapshot, or a new one if that is too old.
fn current(node: &Node, now: Timestamp) -> Option<Snapshot> {
    let peers = node.peers.as_ref()?;
    let known = peers.borrow().snapshot.clone();
    if let Some(known) = known.filter(|known| now.saturating_since(known.created_at) < SNAPSHOT_TTL) {
        return Some(known);
    }
    let created = create(node, now)?;
    peers.borrow_mut().snapshot = Some(created.clone());
    Some(created)
}

fn create(node: &Node, now: Timestamp) -> Option<Snapshot> {
    let state = node.state.borrow();
    let revision = state.revision.filter(|_| !node.history_lost.get())?;
    let within = node.settings().bounds.max_relay_age();
    let age = state.freshness.age(now).filter(|age| *age < within)?;
    let registry = state.backends.registry.report(now);
    let proved_at = now - age;
    let recent_targets = state.recent_targets(node.settings().bounds.weights(), proved_at, now);
    let facts = state.all_facts();
    let software = software_groups(&facts);
    let software_history = Some(state.software.message(age, now));
    let content = Content { revision, registry, facts, recent_targets, software, software_history };
    let body = serde_json::to_vec(&content).ok()?;
    Some(Snapshot { body: Bytes::from(body), proved_at, created_at: now })
}

/// Requests a snapshot from the parent, and applies it unless something newer is known by then.
pub(super) async fn fetch(node: &Node, client: &Client) {
    let sent_at = node.now();
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = http::Uri::from_static(SNAPSHOT_PATH);
    let Ok(answer) = client.call(request, SNAPSHOT_TIMEOUT).await else { return };
    if answer.status() != StatusCode::OK {
        return;
    }
    let age = answer.headers().get(AGE_MS).and_then(|age| age.to_str().ok()?.parse().ok());
    let content: Option<Content<Box<RawValue>>> = serde_json::from_slice(answer.body()).ok();
    let (Some(age), Some(content)) = (age, content) else {
        node.journal.log(&Event::SnapshotUnreadable { bytes: answer.body().len() });
        return;
    };
    let known = node.state.borrow().revision;
    if !is_newer(content.revision, known) {
        return;
    }
    let Some(mut facts) = node.read_all_facts(content.facts.get().as_bytes()) else { return };
    add_software(&mut facts, &content.software);
    let (items, revision) = (facts.len(), content.revision);
    node.follow_registry(content.registry);
    let proved_at = relayed_proof_time(sent_at, Duration::from_millis(age));
    node.apply_snapshot(facts, revision, proved_at, &content.recent_targets);
    if let Some(history) = &content.software_history {
        node.state.borrow_mut().software.merge(history, proved_at, node.now());
    }
    node.metrics.count(Counter::SnapshotsReceived);
    node.journal.log(&Event::SnapshotTaken { items, revision: revision.0, age_ms: age });
    if let Some(peers) = &node.peers {
        peers.borrow_mut().relayed_at = Some(sent_at);
    }
}
