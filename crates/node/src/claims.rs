//! Runs requests that must not run twice: the I/O driver of `core::claims`.
//!
//! Each node is a replica of some keys and coordinates the requests that callers send to it.
//! `docs/design/claims.md` explains why a request cannot run twice.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use paddlemount_core::claims::{
    ClaimAction, ClaimCoordinator, ClaimEvent, ClaimOutcome, ClaimReplica, ClaimSettings, ClaimedRequest,
    ReplicaUsage, RunResult, claim_key, fingerprint, issued_at, placement::replicas_of,
};
use paddlemount_protocol::{
    identity::{AttemptId, IdempotencyKey, NodeId},
    peer::claims::{ClaimMessage, ClaimPlacement, ClaimReply, PlacementEpoch},
    refusal::{Refusal, RefusalCode},
    time::Timestamp,
};
use tokio::sync::mpsc;
use xitca_web::{WebContext, body::RequestBody, http::WebResponse};

use crate::{
    caller::services::ServiceSpec,
    http::{json_answer, read_body},
    peers::transport,
    state::NodeState,
};

/// The path that nodes post claim messages to.
pub const PATH: &str = "/peer/claims";

const MAX_BODY_BYTES: usize = 256 * 1024;

/// The claims that this node holds as a replica.
pub struct Claims {
    settings: ClaimSettings,
    replica: Mutex<ClaimReplica>,
}

impl Claims {
    /// The empty replica of a node that starts at `now`.
    pub fn new(now: Timestamp) -> Self {
        let settings = ClaimSettings::default();
        Self { settings, replica: Mutex::new(ClaimReplica::new(settings, PlacementEpoch(0), now)) }
    }

    /// The size and floor of the replica.
    pub fn usage(&self) -> ReplicaUsage {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner).usage()
    }

    fn handle(&self, placement: &ClaimPlacement, message: &ClaimMessage, now: Timestamp) -> ClaimReply {
        self.adopt(placement, now);
        self.replica.lock().unwrap_or_else(PoisonError::into_inner).handle(message, now)
    }

    fn adopt(&self, placement: &ClaimPlacement, now: Timestamp) {
        let mut replica = self.replica.lock().unwrap_or_else(PoisonError::into_inner);
        replica.adopt(placement.epoch, placement.next.is_some(), now);
    }
}

/// Adopts each claim placement when it comes into force; a replica refuses keys issued before that. Never
/// returns.
pub async fn follow_configuration(state: Arc<NodeState>) {
    let mut revision = state.configuration.subscribe();
    loop {
        let configuration = state.configuration.load();
        state.claims.adopt(&configuration.document.configuration.claims, state.clock.now());
        if revision.changed().await.is_err() {
            return;
        }
    }
}

/// Handles a claim message as a replica.
fn answer(state: &NodeState, message: &ClaimMessage) -> ClaimReply {
    let configuration = state.configuration.load();
    let placement = &configuration.document.configuration.claims;
    state.claims.handle(placement, message, state.clock.now())
}

/// `POST /peer/claims`.
pub async fn serve(context: &WebContext<'_, Arc<NodeState>>) -> WebResponse {
    let state = context.state();
    let body = std::mem::replace(&mut *context.body_borrow_mut(), RequestBody::None);
    let refuse = |message: &str| {
        let code = RefusalCode::InvalidRequest;
        json_answer(code.http_status(), &Refusal::not_run(code, message))
    };
    let Ok(body) = read_body(body, MAX_BODY_BYTES, state.settings.timeouts.body).await else {
        return refuse("the body could not be read");
    };
    match serde_json::from_slice(&body) {
        Ok(message) => json_answer(200, &answer(state, &message)),
        Err(error) => refuse(&error.to_string()),
    }
}

/// Sends one attempt to a back end and returns its result.
pub trait Runner {
    /// Sends the request to the next back end.
    fn run(&mut self) -> impl Future<Output = RunResult> + Send;
}

/// Runs a request at most once across all nodes.
///
/// # Errors
///
/// The refusal says whether this attempt or an earlier one may have run.
pub async fn run_once<R: Runner + Send + 'static>(
    state: &Arc<NodeState>,
    spec: &ServiceSpec,
    key: &IdempotencyKey,
    runner: R,
) -> Result<serde_json::Value, Refusal> {
    let request = claimed_request(state, spec, key)?;
    let (events, event_receiver) = mpsc::unbounded_channel();
    let (outcome_sender, outcome) = tokio::sync::oneshot::channel();
    let now = state.clock.now();
    let (coordinator, actions) = ClaimCoordinator::begin(request, &state.claims.settings, now);
    let driver =
        Driver { state: Arc::clone(state), coordinator, events, outcome_sender: Some(outcome_sender) };
    // Detached, so that the result is recorded for the caller's retry even if it disconnects.
    tokio::spawn(driver.drive(actions, event_receiver, runner, spec.deadline));
    match outcome.await {
        Ok(ClaimOutcome::Answered { answer, .. }) => serde_json::from_str(&answer).map_err(|error| {
            Refusal::unknown(RefusalCode::Internal, format!("the answer is no JSON: {error}"))
        }),
        Ok(ClaimOutcome::Refused(refusal)) => Err(refusal),
        Err(_) => Err(Refusal::unknown(RefusalCode::Internal, "the request was given up")),
    }
}

fn claimed_request(
    state: &NodeState,
    spec: &ServiceSpec,
    key: &IdempotencyKey,
) -> Result<ClaimedRequest, Refusal> {
    issued_at(key).map_err(|error| Refusal::not_run(RefusalCode::InvalidRequest, error.to_string()))?;
    let configuration = state.configuration.load();
    let placement = &configuration.document.configuration.claims;
    let key = claim_key(&spec.tenant, key);
    let replicas = replicas_of(placement, &key);
    if replicas.is_empty() {
        let message = "no claim replicas are configured: name nodes in `claims.members` of the configuration";
        return Err(Refusal::unknown(RefusalCode::Unavailable, message));
    }
    Ok(ClaimedRequest {
        fingerprint: fingerprint(&spec.service, &spec.operation, &spec.body.to_string()),
        key,
        owner: AttemptId::from(format!("{}.{}.{}", state.settings.node, state.incarnation, spec.request)),
        epoch: placement.epoch,
        replicas,
        deadline: spec.deadline,
    })
}

struct Driver {
    state: Arc<NodeState>,
    coordinator: ClaimCoordinator,
    events: mpsc::UnboundedSender<ClaimEvent>,
    outcome_sender: Option<tokio::sync::oneshot::Sender<ClaimOutcome>>,
}

impl Driver {
    async fn drive<R: Runner>(
        mut self,
        mut actions: Vec<ClaimAction>,
        mut event_receiver: mpsc::UnboundedReceiver<ClaimEvent>,
        mut runner: R,
        deadline: Timestamp,
    ) {
        loop {
            let dispatch = self.perform(actions);
            if self.outcome_sender.is_none() && !dispatch {
                return;
            }
            if dispatch {
                let result = self.run(&mut runner, deadline).await;
                actions = self.coordinator.handle(ClaimEvent::DispatchEnded(result), self.state.clock.now());
                continue;
            }
            let Some(event) = event_receiver.recv().await else { return };
            actions = self.coordinator.handle(event, self.state.clock.now());
        }
    }

    /// Runs the request until the deadline; a run that exceeds it has an unknown outcome.
    async fn run<R: Runner>(&self, runner: &mut R, deadline: Timestamp) -> RunResult {
        let remaining = deadline.saturating_since(self.state.clock.now());
        match tokio::time::timeout(remaining, runner.run()).await {
            Ok(result) => result,
            Err(_) => RunResult::Unknown { message: "the deadline passed while the service ran it".into() },
        }
    }

    /// Performs all actions except a dispatch; returns whether one is due.
    fn perform(&mut self, actions: Vec<ClaimAction>) -> bool {
        let mut dispatch = false;
        for action in actions {
            match action {
                ClaimAction::Send { to, message } => self.send(to, message),
                ClaimAction::WakeAt(at) => self.wake_at(at),
                ClaimAction::Dispatch => dispatch = true,
                ClaimAction::End(outcome) => {
                    if let Some(sender) = self.outcome_sender.take() {
                        // The caller may have disconnected.
                        let _ = sender.send(outcome);
                    }
                }
            }
        }
        dispatch
    }

    fn wake_at(&self, at: Timestamp) {
        let events = self.events.clone();
        let delay = at.saturating_since(self.state.clock.now());
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            // The coordinator may have ended.
            let _ = events.send(ClaimEvent::Tick);
        });
    }

    fn send(&self, to: NodeId, message: ClaimMessage) {
        let (state, events) = (Arc::clone(&self.state), self.events.clone());
        tokio::spawn(async move {
            let is_claim = matches!(message, ClaimMessage::Claim { .. });
            let event = match call_replica(&state, &to, &message).await {
                Some(reply) if is_claim => ClaimEvent::Replied { replica: to, reply },
                Some(_) => ClaimEvent::Acknowledged { replica: to },
                None => ClaimEvent::Unreachable { replica: to },
            };
            // The coordinator may have ended.
            let _ = events.send(event);
        });
    }
}

/// Sends a message to a replica, which may be this node.
async fn call_replica(state: &NodeState, to: &NodeId, message: &ClaimMessage) -> Option<ClaimReply> {
    if *to == state.settings.node {
        return Some(answer(state, message));
    }
    let address = address_of(state, to)?;
    let timeout: Duration = state.claims.settings.reply_timeout;
    match transport::call(state, address, PATH, message, timeout).await {
        Ok(reply) => Some(reply),
        Err(error) => {
            log::debug!("cannot call claim replica {to}: {error}");
            None
        }
    }
}

fn address_of(state: &NodeState, node: &NodeId) -> Option<SocketAddr> {
    let member = state.peers.inspect(|peers, _| peers.members().get(node).map(|record| record.address));
    member.or_else(|| {
        let nodes = state.directory.nodes();
        nodes.into_iter().find(|(name, _, _)| name == node).map(|(_, address, _)| address)
    })
}
