//! Finds this node's place in the tree of nodes, and reports to the parent.

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode, header};
use paddlemount_core::{forwarding::uplink::NextStep, quarantine::MAX_REPORTED_EVENTS};
use paddlemount_protocol::{
    fleet::{AppliedVersions, Contact, Digest, EXCHANGE_PATH, JOIN_PATH, JoinAnswer, Report},
    identity::Revision,
    time::Timestamp,
};
use serde::{Serialize, de::DeserializeOwned};

use super::snapshot;
use crate::{
    calls::Client,
    journal::Event,
    metrics::{Counter, Distribution},
    node::Node,
    node_state::Leader,
    ports::StoreCall,
    retry_reserve::witness_store,
    store_feed::call_store,
};

const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// The log id before the first answer of a parent. That first report is short, because all nodes may send
/// theirs at once.
pub(super) const NO_LOG: u64 = 0;
pub(super) const REPORT_TIMEOUT: Duration = Duration::from_millis(600);
/// How long another node may take to admit or refer this one; all nodes may ask the root at once.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The time that a root with half a processor needs per join request. Starting nodes spread their requests by
/// it over the recorded number of nodes.
const JOIN_COST: Duration = Duration::from_micros(500);
const RECORD_TIMEOUT: Duration = Duration::from_millis(900);
/// The recorded number of nodes is replaced if the count exceeds it by this factor.
const RECORD_GROWTH: (u32, u32) = (5, 4);

/// Reports to the parent for the lifetime of the process, if peers are configured.
pub async fn report(node: Rc<Node>) {
    let Some(peers) = &node.peers else { return };
    let mut link: Option<Link> = None;
    let mut counted = None;
    let mut known_token = None;
    let mut has_delayed_join = false;
    loop {
        let pause = REPORT_INTERVAL.mul_f64(0.9 + 0.2 * rand::random::<f64>());
        let _ = tokio::time::timeout(pause, node.leader_known.notified()).await;
        let now = node.now();
        let leads = node.token().is_some();
        peers.borrow_mut().fleet.tick(leads, now);
        node.state.borrow_mut().demand.tick(leads, now);
        node.trim_idle_connections(now);
        node.state.borrow_mut().shared_rates.tick(leads, now);
        node.tick_quotas();
        node.divide_limits();
        node.tick_performance();
        let before = std::mem::replace(&mut counted, node.counted_nodes());
        if counted != before {
            node.journal.log(&Event::NodesCounted { nodes: counted, before });
        }
        node.update_retry_reserve();
        witness_store(&node);
        let leader = node.state.borrow().leader.clone();
        let root = leader.as_ref().and_then(Leader::contact);
        let token = leader.as_ref().map(|leader| leader.token);
        if let Some(leader) = leader.filter(|_| token != known_token) {
            peers.borrow_mut().fleet.uplink.leads(&leader.holder);
        }
        known_token = token;
        let step = peers.borrow_mut().fleet.uplink.next_step(root.as_ref(), leads, now);
        match step {
            NextStep::Wait => {
                link = None;
                node.reset_parent_performance();
                step_without_parent(&node, leads, now);
            }
            NextStep::Join(_) if !has_delayed_join => {
                has_delayed_join = true;
                let recorded = node.nodes().known().unwrap_or(0);
                tokio::time::sleep(JOIN_COST.mul_f64(f64::from(recorded) * rand::random::<f64>())).await;
                node.leader_known.notify_one();
            }
            NextStep::Join(contact) => {
                link = None;
                node.reset_parent_performance();
                join(&node, contact).await;
                // The first report brings what a node lacks that has just started.
                if peers.borrow().fleet.uplink.parent().is_some() {
                    node.leader_known.notify_one();
                }
            }
            NextStep::Report(parent) => {
                if link.as_ref().is_none_or(|link| link.parent != parent) {
                    let level = peers.borrow().fleet.uplink.depth();
                    node.journal.log(&Event::ParentChanged { parent: parent.node.as_str(), level });
                    node.reset_parent_performance();
                    link = Some(Link::new(parent, &node));
                }
                if let Some(link) = link.as_ref().filter(|link| link.is_due(&node, now)) {
                    link.exchange(&node).await;
                }
            }
        }
    }
}

/// The step of a node without a parent: the root, or one that knows no node to join.
fn step_without_parent(node: &Rc<Node>, leads: bool, now: Timestamp) {
    let Some(peers) = &node.peers else { return };
    if leads {
        // Changes from all nodes become gossip for all.
        let mut peers = peers.borrow_mut();
        let updates = peers.gossip.drain();
        peers.gossip.append(updates);
        let work = peers.fleet.work_of_others(now);
        node.state.borrow_mut().chooser.loads.set_others(work, now);
    } else {
        node.state.borrow_mut().chooser.loads.set_others(Vec::new(), now);
    }
    node.conclude_quarantine();
    record_fleet_size(node, leads);
}

/// Records the number of nodes if none is recorded or it clearly exceeds the recorded one.
fn record_fleet_size(node: &Rc<Node>, leads: bool) {
    let nodes = node.nodes();
    let Some(counted) = nodes.counted.filter(|_| leads) else { return };
    let is_much_more = |recorded: u32| {
        u64::from(counted) * u64::from(RECORD_GROWTH.1) > u64::from(recorded) * u64::from(RECORD_GROWTH.0)
    };
    if !nodes.recorded.is_none_or(is_much_more) {
        return;
    }
    // Set at once, so that a failed call is not repeated before the count changes.
    node.state.borrow_mut().fleet_size = Some(counted);
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        // Failures show in the metrics of calls; without the record, starting nodes know no number.
        let _ = call_store(&node, &StoreCall::RecordFleetSize { nodes: counted }, RECORD_TIMEOUT).await;
    });
}

/// Asks a node to admit this one.
async fn join(node: &Node, contact: Contact) {
    let Some(peers) = &node.peers else { return };
    let client = Client::new(contact.address, node.clock);
    let request = peers.borrow().fleet.join_request(node.now());
    let answer: Result<JoinAnswer, String> = post(&client, JOIN_PATH, &request, JOIN_TIMEOUT).await;
    let now = node.now();
    let mut peers = peers.borrow_mut();
    let uplink = &mut peers.fleet.uplink;
    match answer {
        Ok(JoinAnswer::Accepted) => uplink.joined(contact, now),
        Ok(JoinAnswer::Referred { to }) => uplink.referred(to),
        Ok(JoinAnswer::Refused) => uplink.failed(&contact.node, now),
        Err(problem) => {
            node.journal.log(&Event::ParentFailed { parent: contact.node.as_str(), problem });
            uplink.failed(&contact.node, now);
        }
    }
    // The next step should not wait.
    node.leader_known.notify_one();
}

/// The connection to a parent.
struct Link {
    parent: Contact,
    client: Client,
    /// The parent's log id, and the position of the last update received from it.
    cursor: Cell<(u64, u64)>,
    /// The last run event that the parent has acknowledged; a new parent gets all remembered ones.
    runs_reported: Cell<u64>,
    /// The versions that the parent last stated to have in force.
    parent_versions: Cell<Option<AppliedVersions>>,
    /// Whether the parent wants the nodes of this subtree.
    members_wanted: Cell<bool>,
    /// Whether the parent lacks the history of software versions.
    software_history_wanted: Cell<bool>,
    /// When the last report was sent, and whether requests were in progress then.
    sent: Cell<Option<(Timestamp, bool)>>,
}

impl Link {
    fn new(parent: Contact, node: &Node) -> Self {
        let client = Client::new(parent.address, node.clock);
        Self {
            parent,
            client,
            cursor: Cell::new((NO_LOG, 0)),
            runs_reported: Cell::new(0),
            parent_versions: Cell::new(None),
            members_wanted: Cell::new(false),
            software_history_wanted: Cell::new(false),
            sent: Cell::new(None),
        }
    }

    /// Whether a report is due. A node without requests, children or updates reports less often, which saves
    /// half of the reports in a large fleet with little traffic.
    fn is_due(&self, node: &Node, now: Timestamp) -> bool {
        let Some((sent_at, was_busy)) = self.sent.get() else { return true };
        let has_updates = node.peers.as_ref().is_some_and(|peers| {
            let peers = peers.borrow();
            peers.gossip.has_pending() || !peers.fleet.children.is_empty()
        });
        let has_updates = has_updates || node.state.borrow().backends.announcements.has_pending_gossip(now);
        let needs_snapshot = node.state.borrow().revision.is_none() || node.history_lost.get();
        let busy = was_busy || node.running.get() > 0;
        let idle = now.saturating_since(sent_at) < node.settings().bounds.idle_report_interval();
        let is_early = node.early_report.take();
        is_early || has_updates || needs_snapshot || busy || !idle
    }

    async fn exchange(&self, node: &Node) {
        let sent_at = node.now();
        self.sent.set(Some((sent_at, node.running.get() > 0)));
        let Some((report, runs_up_to)) = self.build_report(node) else { return };
        let (sent_updates, revision) = (!report.cache_updates.is_empty(), report.revision);
        let answer: Result<Digest, String> = post(&self.client, EXCHANGE_PATH, &report, REPORT_TIMEOUT).await;
        node.metrics.observe(Distribution::PeerCall, node.now().saturating_since(sent_at));
        let digest = match answer {
            Ok(digest) => digest,
            Err(problem) => return self.failed(node, problem),
        };
        let needs_snapshot = digest.snapshot || node.state.borrow().revision.is_none();
        let members_hash = digest.members_hash;
        self.receive_digest(node, digest, revision, sent_at);
        self.runs_reported.set(runs_up_to);
        if let Some(peers) = node.peers.as_ref().filter(|_| sent_updates) {
            peers.borrow_mut().gossip.acknowledge();
        }
        if needs_snapshot || node.history_lost.get() {
            snapshot::fetch(node, &self.client).await;
        }
        let known_hash =
            node.peers.as_ref().map_or(0, |peers| peers.borrow().fleet.members().listed().hash());
        if members_hash != 0 && members_hash != known_hash {
            node.fetch_members(&self.client).await;
        }
    }

    /// The report to the parent, and the last run event that it contains.
    fn build_report(&self, node: &Node) -> Option<(Report, u64)> {
        let now = node.now();
        let offered_load = node.subtree_offered_load();
        let performance = node.performance_report();
        let newer_facts =
            self.parent_versions.get().map(|theirs| node.newer_facts_for(theirs)).unwrap_or_default();
        let local = node.peers.as_ref()?.borrow().fleet.local_member().clone();
        let software_history = node.software_history_for(self.software_history_wanted.get());
        let wants_software_history = node.wants_software_history();
        let intermediaries = node.intermediaries_for(local, &self.parent.node);
        let mut state = node.state.borrow_mut();
        let mut peers = node.peers.as_ref()?.borrow_mut();
        let (log, cursor) = self.cursor.get();
        let runs = state.quarantine.report(self.runs_reported.get(), MAX_REPORTED_EVENTS, now);
        let report = Report {
            runs: runs.report,
            sender: peers.fleet.local_member().clone(),
            join_capacity: peers.fleet.children.join_capacity(now),
            work: peers.fleet.subtree_work(&state.chooser.loads.own_work(), now),
            reporting_nodes: peers.fleet.children.subtree_size(),
            spending: state.quotas.report(now),
            leaving: state.backends.announcements.pending_draining_gossip(now),
            limits: state.backends.announcements.pending_limit_gossip(now),
            performance,
            demand: state.demand.subtree(now),
            rates: state.rates_report(now),
            offered_load,
            intermediaries,
            cache_updates: if log == NO_LOG { Vec::new() } else { peers.gossip.next_batch() },
            log,
            cursor,
            revision: state.revision,
            applied: state.applied_versions(),
            newer_facts,
            members_hash: peers.fleet.subtree().hash(),
            members: self.members_wanted.get().then(|| peers.fleet.subtree().members().to_vec()),
            software_history,
            wants_software_history,
        };
        Some((report, runs.last_event))
    }

    fn receive_digest(&self, node: &Node, digest: Digest, revision: Option<Revision>, sent_at: Timestamp) {
        node.metrics.count(Counter::PeerCalls("answered"));
        self.cursor.set((digest.log, digest.cursor));
        self.parent_versions.set(Some(digest.applied));
        self.members_wanted.set(digest.wants_members);
        self.software_history_wanted.set(digest.wants_software_history);
        node.merge_software_history(digest.software_history.as_ref(), sent_at);
        node.parent_lacks_history.set(digest.software_history.is_none());
        if let Some(peers) = &node.peers {
            let mut peers = peers.borrow_mut();
            let uplink = &mut peers.fleet.uplink;
            let now = node.now();
            let round_trip = now.saturating_since(sent_at);
            let root_age = digest.root_age_ms.map(|age| Duration::from_millis(age) + round_trip);
            if !uplink.update_path(digest.path.clone(), root_age, now) {
                let problem = "it is a descendant of this node".to_owned();
                node.journal.log(&Event::ParentFailed { parent: self.parent.node.as_str(), problem });
            } else if let Some(to) = digest.refer.clone() {
                uplink.referred(to);
                node.leader_known.notify_one();
            }
        }
        node.apply_digest(digest, revision, sent_at);
    }

    fn failed(&self, node: &Node, problem: String) {
        node.metrics.count(Counter::PeerCalls("failed"));
        node.state.borrow_mut().quotas.report_failed();
        node.journal.log(&Event::ParentFailed { parent: self.parent.node.as_str(), problem });
        if let Some(peers) = &node.peers {
            peers.borrow_mut().fleet.uplink.failed(&self.parent.node, node.now());
        }
    }
}

/// Posts a message and parses the answer.
async fn post<A: DeserializeOwned>(
    client: &Client,
    path: &'static str,
    message: &impl Serialize,
    timeout: Duration,
) -> Result<A, String> {
    let body = serde_json::to_vec(message).map_err(|error| error.to_string())?;
    let mut request = Request::new(Bytes::from(body));
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = http::Uri::from_static(path);
    let kind = HeaderValue::from_static("application/json");
    request.headers_mut().insert(header::CONTENT_TYPE, kind);
    let answer = client.call(request, timeout).await.map_err(|error| error.to_string())?;
    match answer.status() {
        StatusCode::OK => serde_json::from_slice(answer.body()).map_err(|error| error.to_string()),
        status => Err(format!("refused with status {status}")),
    }
}
