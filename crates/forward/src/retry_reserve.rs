//! Asks the store for what this node's reserve of retries begins with, and tells later processes whether the store
//! keeps what is written to it.

use std::{rc::Rc, time::Duration};

use paddlemount_core::forwarding::{
    reserve_grant::{ReserveAnswer, grant_period},
    retry_reserve::Reserve,
    store_witness::WITNESS_TTL,
};
use paddlemount_protocol::era::StoreEra;

use crate::{
    announcements::with_jitter,
    journal::Event,
    metrics::Gauge,
    node::Node,
    node_state::NodeCount,
    ports::{Fact, StoreAnswer, StoreCall, StoreLease},
    store_feed::{StoreError, call_store},
};

const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// The time between two requests, until the store does one of them.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Asks until the store answers, or the process has run for long enough.
pub async fn run(node: Rc<Node>) {
    while node.state.borrow().reserve_grant.is_wanted(node.now()) {
        let answer = request(&node).await.unwrap_or(ReserveAnswer::Refused);
        node.state.borrow_mut().reserve_grant.record(answer);
        node.update_retry_reserve();
        tokio::time::sleep(with_jitter(RETRY_INTERVAL)).await;
    }
}

async fn request(node: &Node) -> Result<ReserveAnswer, StoreError> {
    let needs_witness = node.state.borrow().reserve_grant.needs_witness();
    let witnessed = if needs_witness { find_witness(node).await? } else { None };
    if needs_witness && witnessed.is_none() {
        return Ok(ReserveAnswer::Unwitnessed);
    }
    let settings = node.settings();
    let period = grant_period(Duration::from_millis(settings.bounds.retry_window_ms));
    let lease = grant_lease(node, period.max(Duration::from_millis(settings.store.min_lease_ms))).await?;
    let node_id = settings.node.clone();
    let call = StoreCall::ReserveRetries { node: node_id, first_start: settings.first_start, lease };
    Ok(match call_store(node, &call, CALL_TIMEOUT).await {
        // A store that was restored since may have lost an earlier grant.
        Ok(StoreAnswer::Done { revision }) if witnessed.is_some_and(|era| era != revision.era()) => {
            ReserveAnswer::Unwitnessed
        }
        Ok(StoreAnswer::Done { .. }) => ReserveAnswer::Granted,
        Ok(StoreAnswer::Conflict) => ReserveAnswer::Held,
        Ok(StoreAnswer::NoLease) | Err(StoreError::Refused(_)) => ReserveAnswer::Refused,
        Ok(_) | Err(_) => ReserveAnswer::Unanswered,
    })
}

/// The era of the store, if a record says that it has lost nothing for long enough.
async fn find_witness(node: &Node) -> Result<Option<StoreEra>, StoreError> {
    let answer = call_store(node, &StoreCall::FindWitness, CALL_TIMEOUT).await?;
    let StoreAnswer::Facts { facts, revision, .. } = answer else { return Err(StoreError::Unexpected) };
    let is_of_this_era = |fact: &Fact| *fact == Fact::StoreWitnessed(revision.era());
    Ok(facts.iter().any(is_of_this_era).then_some(revision.era()))
}

async fn grant_lease(node: &Node, ttl: Duration) -> Result<StoreLease, StoreError> {
    match call_store(node, &StoreCall::Grant { ttl }, CALL_TIMEOUT).await? {
        StoreAnswer::Lease { lease, .. } => Ok(lease),
        StoreAnswer::Refused(status) => Err(StoreError::Refused(status)),
        _ => Err(StoreError::Unexpected),
    }
}

/// Records that the store has kept what was written to it, if this node leads and has watched it for long enough.
pub(crate) fn witness_store(node: &Rc<Node>) {
    let (now, is_restored) = (node.now(), node.was_restored_recently());
    let own_token = node.token();
    let due = {
        let mut state = node.state.borrow_mut();
        let era = state.revision.map(|revision| revision.era());
        state.store_witness.observe(era, is_restored, now);
        let token = own_token.or(state.leader.as_ref().map(|leader| leader.token));
        if let Some(token) = token {
            state.store_witness.observe_leader(token, own_token.is_some(), now);
        }
        own_token.and_then(|_| state.store_witness.take_due(now))
    };
    let Some(era) = due else { return };
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        if record_witness(&node, era).await.is_err() {
            node.state.borrow_mut().store_witness.record_failure(node.now());
        }
    });
}

async fn record_witness(node: &Node, era: StoreEra) -> Result<(), StoreError> {
    let lease = grant_lease(node, WITNESS_TTL).await?;
    match call_store(node, &StoreCall::RecordWitness { era, lease }, CALL_TIMEOUT).await? {
        StoreAnswer::Done { .. } => Ok(()),
        _ => Err(StoreError::Unexpected),
    }
}

impl Node {
    /// The retries that this node may make in a window besides the earned ones.
    pub(crate) fn retry_reserve_gauge(&self) -> Gauge {
        let reserve = self.state.borrow().retry_reserve(&self.settings(), self.now());
        Gauge { name: "paddlemount_forward_retry_reserve", value: reserve.retries() }
    }

    /// Derives the reserve of retries from the number of nodes, and logs it if it has changed.
    pub(crate) fn update_retry_reserve(&self) {
        let (nodes, now) = (self.nodes(), self.now());
        let NodeCount { counted, recorded, .. } = nodes;
        let mut state = self.state.borrow_mut();
        state.slack_share.record(counted, recorded, now);
        let reserve = state.retry_reserve(&self.settings(), now);
        let before = state.logged_reserve.replace(reserve);
        if before != Some(reserve) {
            let share = state.slack_share;
            self.journal.log(&Event::RetryReserve {
                reserve: reserve.retries(),
                before: before.map(Reserve::retries),
                nodes: share.nodes(),
                settled: share.is_settled(now),
                grant: grant_label(state.reserve_grant.answer()),
                counted,
                recorded,
            });
        }
    }
}

const fn grant_label(answer: Option<ReserveAnswer>) -> &'static str {
    match answer {
        None => "not_asked",
        Some(ReserveAnswer::Granted) => "granted",
        Some(ReserveAnswer::Held) => "held",
        Some(ReserveAnswer::Unwitnessed) => "unwitnessed",
        Some(ReserveAnswer::Unanswered) => "unanswered",
        Some(ReserveAnswer::Refused) => "refused",
    }
}
