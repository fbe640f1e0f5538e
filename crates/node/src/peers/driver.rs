//! The I/O driver of `core::peers`: its timers and its calls to other nodes and the configuration store.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use paddlemount_clock::SteadyClock;
use paddlemount_core::{
    configuration::{change::StoreFailure, freshness::STALE_AFTER},
    decisions::Mechanism,
    membership::{CallId, MembershipSettings, MembershipTiming},
    peers::{PeerAction, PeerAnswer, PeerEvent, PeerRequest, Peers, StoreRequest},
};
use paddlemount_protocol::{
    configuration::{ChangeOutcome, ChangeRequest},
    identity::Incarnation,
    peer::{configuration, membership},
    time::Timestamp,
};
use tokio::{
    sync::{Notify, mpsc, oneshot},
    task::JoinSet,
};

use super::{authentication::Authenticator, store, transport};
use crate::{admin::observations::snake_case, client::ClientError, settings::NodeSettings, state::NodeState};

/// Timeout for an operator's change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);

/// The peer state machine of this node, shared by all threads.
pub struct PeersDriver {
    peers: Mutex<Peers>,
    clock: SteadyClock,
    authenticator: Authenticator,
    /// Handlers that wait for the answer to a peer's request.
    answers: Mutex<BTreeMap<CallId, oneshot::Sender<PeerAnswer>>>,
    /// Operators' changes that wait for their outcome.
    outcomes: Mutex<BTreeMap<CallId, oneshot::Sender<ChangeOutcome>>>,
    next_call: AtomicU64,
    actions: mpsc::UnboundedSender<PeerAction>,
    action_receiver: Mutex<Option<mpsc::UnboundedReceiver<PeerAction>>>,
    /// Notified when the next wakeup may have changed.
    rescheduled: Notify,
    /// When this node's revision becomes stale, in microseconds of `clock`.
    fresh_until: AtomicU64,
}

impl PeersDriver {
    /// Creates the driver of a node that starts now.
    pub fn new(settings: &NodeSettings, incarnation: Incarnation, seed: u64) -> Self {
        let clock = SteadyClock::starting_at(Timestamp(incarnation.0));
        let own = MembershipSettings {
            node: settings.node.clone(),
            address: settings.listen.peers,
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            incarnation,
            seeds: settings.cluster.seeds.clone(),
            seed,
            timing: MembershipTiming::default(),
        };
        let (actions, action_receiver) = mpsc::unbounded_channel();
        Self {
            peers: Mutex::new(Peers::new(own, clock.now())),
            clock,
            authenticator: Authenticator::new(settings.cluster.keys()),
            answers: Mutex::default(),
            outcomes: Mutex::default(),
            next_call: AtomicU64::new(0),
            actions,
            action_receiver: Mutex::new(Some(action_receiver)),
            rescheduled: Notify::new(),
            fresh_until: AtomicU64::new(0),
        }
    }

    /// Signs and verifies messages between nodes.
    pub const fn authenticator(&self) -> &Authenticator {
        &self.authenticator
    }

    /// Runs `work` with the state machine locked. It must be short and must not block.
    pub fn inspect<T>(&self, work: impl FnOnce(&Peers, Timestamp) -> T) -> T {
        let now = self.clock.now();
        work(&lock(&self.peers), now)
    }

    /// Whether this node's revision was confirmed recently enough to accept new work.
    pub fn may_serve(&self) -> bool {
        self.clock.now().0 < self.fresh_until.load(Ordering::Relaxed)
    }

    /// Handles a peer's request; returns none if no answer is available in time.
    pub async fn serve(
        &self,
        state: &NodeState,
        request: &PeerRequest,
        wait: Duration,
    ) -> Option<PeerAnswer> {
        let (call, receiver) = register(&self.next_call, &self.answers);
        self.handle_event(state, PeerEvent::Request { call, request });
        let answer = tokio::time::timeout(wait, receiver).await;
        lock(&self.answers).remove(&call);
        answer.ok()?.ok()
    }

    /// Changes the configuration; returns once the change is in force, refused, or its outcome is unknown.
    pub async fn change(&self, state: &NodeState, request: ChangeRequest) -> ChangeOutcome {
        let status_query = format!("show change {}", request.id);
        let (call, receiver) = register(&self.next_call, &self.outcomes);
        self.handle_event(state, PeerEvent::Change { call, request: Box::new(request) });
        let outcome = tokio::time::timeout(CHANGE_TIMEOUT, receiver).await;
        lock(&self.outcomes).remove(&call);
        match outcome {
            Ok(Ok(outcome)) => outcome,
            _ => ChangeOutcome::Unknown { status_query },
        }
    }

    /// Passes an event to the state machine and performs its non-blocking actions.
    pub fn handle_event(&self, state: &NodeState, event: PeerEvent<'_>) {
        let now = self.clock.now();
        let mut peers = lock(&self.peers);
        let actions = peers.handle(event, now);
        let fresh_until = peers.confirmed_at(now).map_or(0, |at| (at + STALE_AFTER).0);
        let is_superseded = peers.membership().is_superseded();
        self.fresh_until.store(if is_superseded { 0 } else { fresh_until }, Ordering::Relaxed);
        if let Some(confirmed_at) = peers.confirmed_at(now) {
            state.configuration.confirm(state.clock.now() - now.saturating_since(confirmed_at));
        }
        // Performed under the lock, so that documents come into force in the order of their revisions.
        actions.into_iter().for_each(|action| self.perform(state, action));
        drop(peers);
        self.rescheduled.notify_one();
    }

    fn perform(&self, state: &NodeState, action: PeerAction) {
        match action {
            PeerAction::Answer { call, answer } => {
                // The caller may have timed out.
                let _ = lock(&self.answers).remove(&call).map(|waiting| waiting.send(answer));
            }
            PeerAction::ChangeEnded { call, outcome } => {
                let _ = lock(&self.outcomes).remove(&call).map(|waiting| waiting.send(outcome));
            }
            PeerAction::Installed(document) => {
                if state.configuration.offer((*document).clone()) {
                    log::info!(revision = document.revision.0; "configuration in force");
                    state.observations.event(Mechanism::Configuration, "in_force", document.revision, "");
                }
            }
            PeerAction::MemberChanged(record) => {
                log::info!(node = record.node.as_str(); "member is {:?}", record.state);
                let event = snake_case(&record.state);
                let detail = format!("incarnation {}", record.incarnation);
                state.observations.event(Mechanism::Membership, &event, &record.node, detail);
            }
            PeerAction::Superseded => {
                log::error!(
                    "another process runs under this node's name since later; this one takes no new work"
                );
            }
            PeerAction::Call { .. } | PeerAction::Store { .. } | PeerAction::Item { .. } => {
                // `run` performs these actions; once it has ended they are dropped.
                let _ = self.actions.send(action);
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Allocates a call id and registers a receiver for its result.
fn register<T>(
    next: &AtomicU64,
    waiting: &Mutex<BTreeMap<CallId, oneshot::Sender<T>>>,
) -> (CallId, oneshot::Receiver<T>) {
    let call = CallId(next.fetch_add(1, Ordering::Relaxed));
    let (sender, receiver) = oneshot::channel();
    lock(waiting).insert(call, sender);
    (call, receiver)
}

/// Runs the timers and calls of the state machine; never returns.
pub async fn run(state: Arc<NodeState>) {
    let Some(mut actions) = lock(&state.peers.action_receiver).take() else { return };
    let mut machines = state.directory.subscribe();
    let mut calls = JoinSet::new();
    state.peers.handle_event(&state, PeerEvent::Tick);
    loop {
        let now = state.peers.clock.now();
        let sleep = state.peers.inspect(|peers, _| peers.next_wakeup()).saturating_since(now);
        tokio::select! {
            Some(action) = actions.recv() => {
                let state = Arc::clone(&state);
                calls.spawn(async move { perform_call(&state, action).await });
            }
            changed = machines.changed() => {
                if changed.is_err() {
                    return;
                }
                let list = machines.borrow_and_update().clone();
                state.peers.handle_event(&state, PeerEvent::Machines(&list));
            }
            Some(_) = calls.join_next() => {}
            () = state.peers.rescheduled.notified() => {}
            () = tokio::time::sleep(sleep) => state.peers.handle_event(&state, PeerEvent::Tick),
        }
    }
}

/// Performs one call and passes its result to the state machine.
async fn perform_call(state: &NodeState, action: PeerAction) {
    match action {
        PeerAction::Call { call, address, request, timeout } => {
            let answer = match &request {
                PeerRequest::Membership(request) => {
                    let answer = transport::call(state, address, membership::PATH, request, timeout).await;
                    answer.map(PeerAnswer::Membership)
                }
                PeerRequest::Configuration(request) => {
                    let answer = transport::call(state, address, configuration::PATH, request, timeout).await;
                    answer.map(PeerAnswer::Configuration)
                }
            };
            match &answer {
                Ok(answer) => state.peers.handle_event(state, PeerEvent::Answer { call, answer }),
                Err(error) => {
                    log::debug!("peer call failed: {error}");
                    state.peers.handle_event(state, PeerEvent::Failed { call });
                }
            }
        }
        PeerAction::Store { call, request, timeout } => {
            let result = store::call(state, request, timeout).await;
            state.peers.handle_event(state, PeerEvent::Store { call, result });
        }
        PeerAction::Item { from, item } => super::items::dispatch(state, &from, item),
        _ => {}
    }
}

/// Whether a failed call to the store may have been applied.
pub(super) fn store_failure(error: &ClientError) -> StoreFailure {
    match error {
        ClientError::Connect { .. } => StoreFailure::NotApplied,
        ClientError::Status { status, .. } if matches!(status.as_u16(), 429 | 503) => {
            StoreFailure::NotApplied
        }
        _ => StoreFailure::Unclear,
    }
}

/// The name of a store request, for logs.
pub(super) const fn describe(request: &StoreRequest) -> &'static str {
    match request {
        StoreRequest::Watch(_) => "watch",
        StoreRequest::Read => "read",
        StoreRequest::Put { .. } => "put",
    }
}
