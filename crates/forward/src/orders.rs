//! Orders engines to load new weights, while this node leads.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use paddlemount_core::forwarding::{
    backends::{Backend, BackendId, BackendState},
    rollout::{EngineReport, LoadMode, Step, Target, UPDATE_RETRY_INTERVAL, after_report},
};
use paddlemount_protocol::{
    identity::{FencingToken, ServiceId},
    time::Timestamp,
};

use crate::{
    calls::Client,
    journal::Event,
    metrics::Counter,
    node::Node,
    ports::{OrderAnswer, WeightsOrder},
};

const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// The interval of polls of an engine that is loading.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The delay of the first poll after an accepted order.
const FIRST_CHECK_DELAY: Duration = Duration::from_millis(500);
/// The interval of polls for a free load permit.
const PERMIT_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// The maximum time that one engine's update may occupy.
const MAX_UPDATE_TIME: Duration = Duration::from_secs(9);

/// Starts updates of as many engines as may load at once.
pub fn start_updates(node: &Rc<Node>) {
    let targets = {
        let mut state = node.state.borrow_mut();
        let state = &mut *state;
        let chooser = &state.chooser;
        let (backends, now) = (&state.backends, node.now());
        // An engine in back-off gets no order; it is selected again after the back-off.
        let available =
            |backend: &&Backend| backends.announcements.backed_off_until(&backend.entry, now).is_none();
        state.rollout.begin(backends.iter().filter(available), |id| chooser.loads.total_requests(id), now)
    };
    let Some(token) = node.token().filter(|_| !targets.is_empty()) else {
        release(node, &targets);
        return;
    };
    // Other nodes receive this with the answers to their reports; those that do not are refused by the
    // engines.
    let until = node.now() + MAX_UPDATE_TIME;
    for target in &targets {
        node.state.borrow_mut().backends.set_load_ordered_until(&target.backend, Some(until));
    }
    for mut target in targets {
        let node = Rc::clone(node);
        tokio::task::spawn_local(async move {
            let began = node.now();
            let outcome = update_engine(&node, &mut target, token, began).await;
            log_order(&node, &target, None, token, outcome, began);
            release(&node, std::slice::from_ref(&target));
            if !has_target(&node, &target) {
                postpone(&node, &target.backend);
            }
            node.order_ended.notify_one();
        });
    }
}

impl Node {
    /// Whether engines have outdated weights that this node does not reach, while another one does.
    pub(crate) fn lacks_path_for_orders(&self) -> bool {
        let state = self.state.borrow();
        let is_outdated = |service: &ServiceId| {
            let backends = state.backends.usable(service);
            backends.into_iter().any(|backend| state.rollout.is_outdated(backend))
        };
        state
            .reachability
            .lost()
            .any(|service| is_outdated(service) && state.intermediaries.has_any(service, self.now()))
    }
}

/// Postpones an engine that did not answer or refused; it gets no requests meanwhile either.
fn postpone(node: &Node, id: &BackendId) {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    state.rollout.postpone(id, now);
    state.backends.set_load_ordered_until(id, Some(now + UPDATE_RETRY_INTERVAL));
}

fn release(node: &Node, targets: &[Target]) {
    let mut state = node.state.borrow_mut();
    for target in targets {
        state.rollout.ended(&target.backend);
        state.backends.set_load_ordered_until(&target.backend, None);
    }
}

/// Brings one engine to its target version. The outcome of an order without an answer is read from the
/// engine's report.
async fn update_engine(
    node: &Node,
    target: &mut Target,
    token: FencingToken,
    began: Timestamp,
) -> &'static str {
    let address = address_of(node, &target.backend);
    let Some(address) = address else { return "gone" };
    let client = Client::new(address, node.clock)
        .with_source(node.settings().source_address)
        .with_memory(&node.call_memory);
    while node.now().saturating_since(began) < MAX_UPDATE_TIME {
        if node.token() != Some(token) {
            return "leadership lost";
        }
        // If a newer version was announced meanwhile, one load serves both.
        if let Some(newest) = node.state.borrow().rollout.newest(&target.model) {
            target.version = newest;
        }
        let Some(report) = fetch_report(node, &client, &target.backend).await else {
            // The engine may be dead and must not block others; or this node's path is cut.
            node.record_unreached(&target.backend, node.now());
            return "no report";
        };
        match after_report(target, &report, node.now().saturating_since(began)) {
            Step::Done => {
                node.observe_weights(&target.backend, &target.model, target.version);
                return "done";
            }
            Step::Wait | Step::Drain => tokio::time::sleep(POLL_INTERVAL).await,
            Step::Order { sequence, mode } => {
                match send_order(node, &client, target, token, sequence, mode).await {
                    Some(OrderAnswer::Accepted) => {}
                    Some(OrderAnswer::AlreadyHolds) => return "held already",
                    Some(OrderAnswer::Fenced) => return "fenced",
                    Some(OrderAnswer::OtherBackend) => return "another back end",
                    Some(OrderAnswer::Rejected(_)) => return "rejected",
                    Some(OrderAnswer::Conflict) | None => tokio::time::sleep(POLL_INTERVAL).await,
                }
            }
        }
        if has_target(node, target) {
            return "done";
        }
    }
    "given up for now"
}

/// The address of an engine; `None` if it is gone or leaving, since loading weights there is of no use.
fn address_of(node: &Node, id: &BackendId) -> Option<SocketAddr> {
    let state = node.state.borrow();
    let backend = state.backends.get(id)?;
    let is_in_use = matches!(backend.state, BackendState::Ready | BackendState::Suspect { .. });
    is_in_use.then_some(backend.entry.address)
}

/// Waits until the registry shows the version, or until it is time to poll the engine itself.
async fn wait_for_version(node: &Node, target: &Target) {
    let began = node.now();
    while node.now().saturating_since(began) < FIRST_CHECK_DELAY * 2 && !has_target(node, target) {
        tokio::time::sleep(POLL_INTERVAL / 4).await;
    }
}

fn has_target(node: &Node, target: &Target) -> bool {
    let state = node.state.borrow();
    let Some(backend) = state.backends.get(&target.backend) else { return true };
    backend.entry.weights.get(&target.model).is_some_and(|version| *version >= target.version)
}

async fn fetch_report(node: &Node, client: &Client, id: &BackendId) -> Option<EngineReport> {
    let process = node.process_of(id);
    let answer = client.call(node.platform.report_request(), CALL_TIMEOUT).await.ok()?;
    let report = node.platform.report_answer(&answer).ok();
    node.observe_call(&process, &answer, report.as_ref().is_some_and(|report| report.leaving));
    report
}

async fn send_order(
    node: &Node,
    client: &Client,
    target: &Target,
    token: FencingToken,
    sequence: u64,
    mode: LoadMode,
) -> Option<OrderAnswer> {
    let _permit = LoadPermit::take(node, token).await?;
    let began = node.now();
    let order = WeightsOrder {
        backend: target.backend.clone(),
        model: target.model.clone(),
        version: target.version,
        mode,
        holder: node.settings().node.clone(),
        token,
        sequence,
    };
    let process = node.process_of(&target.backend);
    let answer = client.call(node.platform.order_request(&order), CALL_TIMEOUT).await;
    let answer = answer.ok().map(|answer| {
        node.observe_call(&process, &answer, false);
        node.platform.order_answer(&answer)
    });
    let outcome = match answer {
        Some(OrderAnswer::Accepted) => "accepted",
        Some(OrderAnswer::AlreadyHolds) => "held already",
        Some(OrderAnswer::Conflict) => "conflict",
        Some(OrderAnswer::Fenced) => "fenced",
        Some(OrderAnswer::OtherBackend) => "another back end",
        Some(OrderAnswer::Rejected(_)) => "rejected",
        None => "unclear",
    };
    node.metrics.count(Counter::Orders(outcome));
    log_order(node, target, Some(sequence), token, outcome, began);
    if answer == Some(OrderAnswer::Accepted) {
        wait_for_version(node, target).await;
    }
    answer
}

/// A permit to load. Concurrent loads slow each other down, so their number is limited.
struct LoadPermit<'a>(&'a Node);

impl<'a> LoadPermit<'a> {
    /// Waits for a permit; `None` if the leadership was lost meanwhile.
    async fn take(node: &'a Node, token: FencingToken) -> Option<Self> {
        while node.token() == Some(token) {
            if node.loading.get() < max_loads(node) {
                node.loading.set(node.loading.get() + 1);
                return Some(Self(node));
            }
            tokio::time::sleep(PERMIT_POLL_INTERVAL).await;
        }
        None
    }
}

impl Drop for LoadPermit<'_> {
    fn drop(&mut self) {
        self.0.loading.set(self.0.loading.get().saturating_sub(1));
    }
}

fn max_loads(node: &Node) -> usize {
    let state = node.state.borrow();
    let engines = state
        .backends
        .iter()
        .filter(|backend| backend.state == BackendState::Ready && !backend.entry.weights.is_empty());
    state.rollout.max_concurrent_loads(engines.count())
}

fn log_order(
    node: &Node,
    target: &Target,
    sequence: Option<u64>,
    token: FencingToken,
    outcome: &str,
    began: Timestamp,
) {
    node.journal.log(&Event::Order {
        backend: target.backend.as_str(),
        model: target.model.as_str(),
        version: target.version.0,
        sequence,
        token: token.0,
        outcome,
        after_ms: node.now().saturating_since(began).as_millis() as u64,
    });
}
