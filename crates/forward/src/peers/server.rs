//! Admits other nodes as children, and answers their reports.

use std::{convert::Infallible, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use paddlemount_core::forwarding::children::Admission;
use paddlemount_protocol::{
    fleet::{
        ALIVE_PATH, Contact, Digest, EXCHANGE_PATH, FIND_STREAM_PATH, JOIN_PATH, JoinAnswer, JoinRequest,
        MEMBERS_PATH, RECORD_STREAMS_PATH, Report, SNAPSHOT_PATH, StoreRelay,
    },
    identity::Revision,
    time::Timestamp,
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::net::{TcpListener, TcpStream};

use super::{Peers, client::NO_LOG, snapshot};
use crate::{
    answers::{AnswerBody, full_body, with_guard},
    exchange,
    handoff::{Handoff, state_outcome},
    journal::Event,
    metrics::Counter,
    node::Node,
    node_state::NodeState,
    received_body::ReceivedBody,
    streams::relayed_software::software_groups,
};

const MAX_REPORT_BYTES: usize = 1 << 20;
/// How long before its receipt a report was written at most: its sender gives it up after that.
const REPORT_TIMEOUT: Duration = super::client::REPORT_TIMEOUT;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves other nodes for the lifetime of the process.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        tokio::task::spawn_local(serve_connection(Rc::clone(&node), stream));
    }
}

async fn serve_connection(node: Rc<Node>, stream: TcpStream) {
    let service = service_fn(move |request: Request<Incoming>| {
        let node = Rc::clone(&node);
        async move { Ok::<_, Infallible>(answer(&node, request).await) }
    });
    // Errors of a connection are ignored: the sender reports again.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

async fn answer(node: &Rc<Node>, mut request: Request<Incoming>) -> Response<AnswerBody> {
    if let Some(handoff) = Handoff::take(&mut request) {
        return take_over(node, request, handoff).await;
    }
    let path = request.uri().path().to_owned();
    if path == SNAPSHOT_PATH {
        return snapshot::serve(node);
    }
    let Ok(body) = Limited::new(request.into_body(), MAX_REPORT_BYTES).collect().await else {
        return status(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let body = body.to_bytes();
    match path.as_str() {
        ALIVE_PATH => status(StatusCode::OK),
        EXCHANGE_PATH => answer_to(&body, |report| receive_report(node, report)),
        JOIN_PATH => answer_to(&body, |request| {
            let answer = admit(node, &request);
            list_subtree(node);
            Some(answer)
        }),
        MEMBERS_PATH => json(&node.listed_members()),
        RECORD_STREAMS_PATH => answer_to(&body, |records| {
            node.remember_streams(records);
            Some(())
        }),
        FIND_STREAM_PATH => answer_to(&body, |message| Some(node.answer_find(message))),
        _ => status(StatusCode::NOT_FOUND),
    }
}

/// Serves a request that another node has handed on.
async fn take_over(node: &Rc<Node>, request: Request<Incoming>, handoff: Handoff) -> Response<AnswerBody> {
    let in_progress = TakenOver::begin(node);
    let mut answer = exchange::serve(Rc::clone(node), request.map(ReceivedBody::from), Some(handoff)).await;
    state_outcome(&mut answer);
    with_guard(answer, in_progress)
}

/// Counts a request that another node has handed on, until its answer has been sent.
struct TakenOver(Rc<Node>);

impl TakenOver {
    fn begin(node: &Rc<Node>) -> Self {
        node.metrics.count(Counter::TakenOver);
        node.taken_over.set(node.taken_over.get() + 1);
        Self(Rc::clone(node))
    }
}

impl Drop for TakenOver {
    fn drop(&mut self) {
        self.0.taken_over.set(self.0.taken_over.get().saturating_sub(1));
    }
}

/// Parses a message and answers it, or responds with 409 if there is no answer.
fn answer_to<M: DeserializeOwned, A: Serialize>(
    body: &Bytes,
    answer: impl FnOnce(M) -> Option<A>,
) -> Response<AnswerBody> {
    let Ok(message) = serde_json::from_slice(body) else { return status(StatusCode::BAD_REQUEST) };
    answer(message).map_or_else(|| status(StatusCode::CONFLICT), |answer| json(&answer))
}

/// Decides about a join request. A node without access to the store's state is of no use as a parent.
fn admit(node: &Node, request: &JoinRequest) -> JoinAnswer {
    let now = node.now();
    let leads = node.token().is_some();
    let Some(peers) = &node.peers else { return JoinAnswer::Refused };
    let mut peers = peers.borrow_mut();
    let has_state = leads || peers.fleet.uplink.parent().is_some() || node.state.borrow().revision.is_some();
    if !has_state || node.is_stopping() || peers.fleet.uplink.is_self_or_ancestor(&request.sender.node) {
        return JoinAnswer::Refused;
    }
    match peers.fleet.children.admit(request, now) {
        Admission::Accepted => JoinAnswer::Accepted,
        Admission::Referred(to) => JoinAnswer::Referred { to },
    }
}

/// Handles a report. Reports of ancestors are refused, so that reports cannot circulate whoever the nodes
/// believe to lead. An unknown sender, as after a restart of this node, is admitted or referred.
fn receive_report(node: &Node, report: Report) -> Option<Digest> {
    let now = node.now();
    let peers = node.peers.as_ref()?;
    if peers.borrow().fleet.uplink.is_self_or_ancestor(&report.sender.node) {
        return None;
    }
    let mut refer = {
        let mut peers = peers.borrow_mut();
        let parent = peers.fleet.uplink.parent().cloned();
        peers.fleet.children.take_referral(&report.sender.node, parent.as_ref())
    };
    if refer.is_none() && !peers.borrow_mut().fleet.children.record_report(&report, now) {
        let request = JoinRequest {
            sender: report.sender.clone(),
            reporting_nodes: report.reporting_nodes,
            join_capacity: report.join_capacity,
            unresponsive: Vec::new(),
        };
        match admit(node, &request) {
            JoinAnswer::Accepted => {
                peers.borrow_mut().fleet.children.record_report(&report, now);
                list_subtree(node);
            }
            JoinAnswer::Referred { to } => refer = Some(to),
            JoinAnswer::Refused => return None,
        }
    }
    // A planned stop leaves children the time to find another parent.
    if node.is_stopping() && refer.is_none() {
        refer = peers.borrow().fleet.uplink.parent().cloned();
    }
    if let Some(to) = &refer {
        node.journal.log(&Event::ChildReferred { child: report.sender.node.as_str(), to: to.node.as_str() });
    }
    if report.members.is_some() {
        list_subtree(node);
    }
    node.receive_newer_facts(&report.newer_facts);
    node.receive_intermediaries(report.intermediaries.clone(), now);
    node.merge_software_history(report.software_history.as_ref(), now - REPORT_TIMEOUT);
    Some(digest(node, &mut peers.borrow_mut(), report, refer, now))
}

/// Counts with the nodes that report here, so that others are told of streams that began while none was known.
fn list_subtree(node: &Node) {
    let leads = node.token().is_some();
    let Some(peers) = &node.peers else { return };
    if peers.borrow_mut().fleet.list_subtree(leads, node.now()) {
        node.origins_untold.notify_one();
    }
}

fn digest(node: &Node, peers: &mut Peers, report: Report, refer: Option<Contact>, now: Timestamp) -> Digest {
    let leads = node.token().is_some();
    node.receive_run_report(report.runs);
    node.merge_draining_gossip(&report.leaving);
    node.merge_limit_gossip(&report.limits);
    let is_first = report.log == NO_LOG;
    let wants_members = peers.fleet.children.lacks_members(&report.sender.node, report.members_hash);
    let software_history = node.software_history_for(report.wants_software_history);
    let wants_software_history = node.wants_software_history();
    let performance = node.receive_performance(&report.sender.node, is_first, &report.performance);
    let newer_facts = node.newer_facts_for(report.applied);
    let intermediaries = node.intermediaries_for(peers.fleet.local_member().clone(), &report.sender.node);
    let mut state = node.state.borrow_mut();
    for update in &report.cache_updates {
        state.chooser.apply_gossip(update, now);
        peers.gossip.enqueue(update.clone());
    }
    let child = report.sender.node;
    state.demand.record_report(child.clone(), report.demand, now);
    state.shared_rates.record_report(child.clone(), report.rates, now);
    let ignored = state.quotas.receive_report(child.clone(), report.reporting_nodes, report.spending, now);
    if ignored > 0 {
        node.metrics.add(Counter::QuotaReportsIgnored, ignored as u64);
    }
    let own_work = state.chooser.loads.own_work();
    let (cache_updates, cursor) = peers.gossip.since(report.log, report.cursor, peers.fleet.children.len());
    let bound = node.settings().bounds.weights();
    let store = store_relay(&state, report.revision, bound, now).filter(|_| !node.history_lost.get());
    let knows_more = state.revision.is_some() && state.revision > report.revision;
    Digest {
        path: peers.fleet.uplink.path(),
        root_age_ms: peers.fleet.uplink.root_age(leads, now).map(|age| age.as_millis() as u64),
        refer,
        leaving: state.backends.announcements.pending_draining_gossip(now),
        limits: state.backends.announcements.limit_grants_for(&child, now),
        performance,
        demand: state.demand.totals(now),
        rates: state.rates_digest(&child, now),
        intermediaries,
        log: peers.gossip.id(),
        cursor,
        nodes: peers.fleet.node_count(now),
        work: peers.fleet.work_excluding(&child, &own_work, now),
        quotas: Some(state.quotas.digest(now)),
        quarantine: state.quarantine.digest(now),
        loading: state.backends.loading(now),
        cache_updates,
        snapshot: store.is_none() && knows_more,
        store,
        applied: state.applied_versions(),
        newer_facts,
        members_hash: peers.fleet.members().listed().hash(),
        wants_members,
        software_history,
        wants_software_history,
    }
}

fn store_relay(
    state: &NodeState,
    known: Option<Revision>,
    bound: Duration,
    now: Timestamp,
) -> Option<StoreRelay> {
    let age = state.freshness.age(now)?;
    let revision = state.revision?;
    let changed = state.changes.since(known?, revision)?;
    let facts = state.facts_about(&changed);
    let changes = if facts.is_empty() { String::new() } else { serde_json::to_string(&facts).ok()? };
    let registry = state.backends.registry.report(now);
    let recent_targets = state.recent_targets(bound, now - age, now);
    let software = software_groups(&facts);
    Some(StoreRelay {
        age_ms: age.as_millis() as u64 + 1,
        revision,
        registry,
        changes,
        recent_targets,
        software,
    })
}

fn json(answer: &impl Serialize) -> Response<AnswerBody> {
    let mut response = Response::new(full_body(Bytes::from(serde_json::to_vec(answer).unwrap_or_default())));
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn status(status: StatusCode) -> Response<AnswerBody> {
    let mut answer = Response::new(full_body(Bytes::new()));
    *answer.status_mut() = status;
    answer
}
