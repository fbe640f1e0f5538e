//! Follows the metadata store with consecutive long-poll watches, and lists it where history is lost.
//!
//! A watch returns changes at once. Its answer also proves that nothing else has changed since it was sent.
//!
//! Listing a large store takes many calls, and all nodes would make them at the same moment when all start or
//! when history is lost. So a node other than the root lists only the first few pages by itself: they contain
//! the operator's document, the leader and some back ends, which is enough to start serving. The rest comes
//! as a snapshot from its parent ([`crate::peers`]). If no node provides one, the listing continues where it
//! stopped.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::Response;
use paddlemount_protocol::{identity::Revision, time::Timestamp};

use crate::{
    calls::CallError,
    journal::Event,
    metrics::{Counter, Distribution},
    node::Node,
    ports::{Fact, InvalidAnswer, StoreAnswer, StoreCall},
};

/// How long an answer may take beyond the requested wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The pause after a failed call, times the number of consecutive failures.
const RETRY_STEP: Duration = Duration::from_millis(100);
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// The minimum interval between watches of the leader, whose orders depend on changes.
const LEADER_WATCH_INTERVAL: Duration = Duration::from_millis(200);

/// The interval of checks whether other nodes still relay the store.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The interval of reads of the leader while none is known.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// A small machine delays its first read of the leader by this and by a random part of the jitter. A stronger
/// machine usually leads by then, so hundreds of small ones need one read each.
const SMALL_NODE_DELAY: Duration = Duration::from_millis(700);
const SMALL_NODE_JITTER: Duration = Duration::from_millis(600);
/// Pages that a node lists before it waits for a snapshot. A store with a hundred back ends has one or two
/// pages, one with ten thousand has fifty.
const PAGES_BEFORE_SNAPSHOT: u32 = 2;
/// How long an incomplete listing is continued. The changes since its first page are requested at the end,
/// and the store keeps 20 s of history.
const LISTING_TTL: Duration = Duration::from_secs(8);

/// Why a call to the store failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("invalid answer: {0}")]
    InvalidAnswer(#[from] InvalidAnswer),
    /// The store refused the call; nothing was done.
    #[error("refused with status {0}")]
    Refused(http::StatusCode),
    /// The answer predates the latest restore of the store.
    #[error("an answer from before the store was restored")]
    OlderEra,
    /// An answer of another type than the call expects.
    #[error("an answer of an unexpected type")]
    Unexpected,
}

/// Makes a call to the store.
pub async fn call_store(node: &Node, call: &StoreCall, timeout: Duration) -> Result<StoreAnswer, StoreError> {
    let began = node.now();
    let answer: Result<Response<Bytes>, CallError> =
        node.store.call(node.platform.store_request(call), timeout).await;
    node.metrics.observe(Distribution::StoreCall, node.now().saturating_since(began));
    let result = answer.map_err(StoreError::from).and_then(|answer| {
        node.observe_era(node.platform.store_era(&answer));
        match node.platform.store_answer(call, &answer)? {
            StoreAnswer::Refused(status) => Err(StoreError::Refused(status)),
            other => Ok(other),
        }
    });
    let outcome = match &result {
        Ok(_) => "answered",
        Err(StoreError::Call(_)) => "unclear",
        Err(StoreError::InvalidAnswer(_) | StoreError::Unexpected | StoreError::OlderEra) => "misread",
        Err(StoreError::Refused(_)) => "refused",
    };
    node.metrics.count(Counter::StoreCalls { purpose: call.purpose(), outcome });
    match &result {
        Ok(_) => node.store_answered(),
        Err(_) => node.store_failed(),
    }
    result
}

/// Reads the leader. The answer may be outdated, and the call is cheap.
pub async fn find_leader(node: &Node) -> Result<(), StoreError> {
    match call_store(node, &StoreCall::FindLeader, CALL_TIMEOUT).await? {
        StoreAnswer::Facts { facts, .. } => {
            node.apply_leader(facts);
            Ok(())
        }
        _ => Err(StoreError::Unexpected),
    }
}

/// Follows the store for the lifetime of the process.
pub async fn run(node: Rc<Node>) {
    let started_at = node.now();
    let mut feed = Feed {
        node,
        started_at,
        failures: 0,
        failing_since: None,
        listing: None,
        snapshot_awaited_until: None,
        relay_awaited_until: None,
    };
    loop {
        let result = feed.step().await;
        feed.record_result(result).await;
    }
}

/// The pages of an incomplete listing. They are not a consistent snapshot, so the watch starts at the
/// revision of the first page.
struct Listing {
    sent_at: Timestamp,
    revision: Option<Revision>,
    facts: Vec<Fact>,
    pages: u32,
    after: Option<String>,
}

impl Listing {
    /// Whether a page does not belong to the listing because the store was restored meanwhile.
    fn is_of_another_era(&self, page: Revision) -> bool {
        self.revision.is_some_and(|first| first.era() != page.era())
    }
}

struct Feed {
    node: Rc<Node>,
    started_at: Timestamp,
    failures: u32,
    failing_since: Option<Timestamp>,
    listing: Option<Listing>,
    /// Until when to wait for a snapshot from another node.
    snapshot_awaited_until: Option<Timestamp>,
    /// Until when to wait for relayed changes; `None` until the whole store is known.
    relay_awaited_until: Option<Timestamp>,
}

impl Feed {
    async fn step(&mut self) -> Result<(), StoreError> {
        let known = self.node.state.borrow().revision;
        let Some(known) = known else { return self.initial_sync().await };
        self.start_relay_wait();
        if self.node.history_lost.get() {
            return self.resync().await;
        }
        self.listing = None;
        if self.node.has_recent_relay() {
            return Ok(());
        }
        if self.awaits_relay() {
            return self.await_relay().await;
        }
        self.watch(known).await
    }

    /// Learns the whole store for the first time. On the first start of a fleet no caller waits, so all nodes
    /// but the root wait for a relay.
    async fn initial_sync(&mut self) -> Result<(), StoreError> {
        let settings = self.node.settings();
        let leads = self.node.token().is_some();
        let relay_deadline = self.started_at + settings.bounds.initial_relay_timeout(true);
        if settings.first_start && self.can_use_relay(leads) && self.node.now() < relay_deadline {
            return self.await_first_relay(settings.limits.is_small()).await;
        }
        if !leads && self.awaits_snapshot() {
            let _ = tokio::time::timeout(RELAY_CHECK_INTERVAL, self.node.store_known.notified()).await;
            return Ok(());
        }
        self.list(!leads && self.node.peers.is_some()).await
    }

    /// Learns the whole store again after it dropped the history. A snapshot of the parent saves it a
    /// listing.
    async fn resync(&mut self) -> Result<(), StoreError> {
        let until = self.snapshot_awaited_until.get_or_insert_with(|| snapshot_deadline(&self.node));
        if self.node.has_parent() && self.node.now() < *until {
            let _ = tokio::time::timeout(RELAY_CHECK_INTERVAL, self.node.store_known.notified()).await;
            return Ok(());
        }
        self.list(false).await
    }

    fn can_use_relay(&self, leads: bool) -> bool {
        self.node.peers.is_some() && !leads
    }

    fn awaits_snapshot(&self) -> bool {
        self.listing.is_some() && self.snapshot_awaited_until.is_some_and(|until| self.node.now() < until)
    }

    async fn await_first_relay(&self, is_small: bool) -> Result<(), StoreError> {
        if is_small {
            let first_check = SMALL_NODE_DELAY + SMALL_NODE_JITTER.mul_f64(rand::random::<f64>());
            let delay = (self.started_at + first_check).saturating_since(self.node.now());
            tokio::time::sleep(delay).await;
        }
        if self.node.state.borrow().leader.is_none() {
            find_leader(&self.node).await?;
        }
        let _ = tokio::time::timeout(LEADER_CHECK_INTERVAL, self.node.store_known.notified()).await;
        Ok(())
    }

    /// Starts, once, the time in which other nodes may relay the changes after this node's listing.
    fn start_relay_wait(&mut self) {
        if self.relay_awaited_until.is_none() && self.node.peers.is_some() {
            self.relay_awaited_until =
                Some(self.node.now() + self.node.settings().bounds.initial_relay_timeout(false));
        }
    }

    /// Whether this node has started recently, so that another node may soon relay changes to it.
    fn awaits_relay(&self) -> bool {
        let leads = self.node.token().is_some();
        !leads && self.relay_awaited_until.is_some_and(|until| self.node.now() < until)
    }

    /// Reads the leader if none is known, so that this node can report to it.
    async fn await_relay(&mut self) -> Result<(), StoreError> {
        if self.node.state.borrow().leader.is_none() {
            find_leader(&self.node).await?;
            tokio::time::sleep(LEADER_CHECK_INTERVAL).await;
        }
        Ok(())
    }

    async fn watch(&mut self, after: Revision) -> Result<(), StoreError> {
        let wait = self.watch_wait();
        let sent_at = self.node.now();
        let answer = call_store(&self.node, &StoreCall::Watch { after, wait }, wait + CALL_TIMEOUT).await?;
        match answer {
            // Another node has relayed more meanwhile.
            StoreAnswer::Facts { .. } if self.node.state.borrow().revision != Some(after) => Ok(()),
            StoreAnswer::Facts { facts, revision, .. } => {
                self.node.apply_changes(facts, revision.max(after), sent_at);
                Ok(())
            }
            StoreAnswer::HistoryLost => {
                self.node.history_lost.set(true);
                self.snapshot_awaited_until = None;
                Ok(())
            }
            _ => Err(StoreError::Unexpected),
        }
    }

    /// Lists page by page. If `can_use_relay`, it stops after the first few pages to wait for a snapshot.
    /// After a failure, it resumes with the failed page.
    async fn list(&mut self, can_use_relay: bool) -> Result<(), StoreError> {
        let now = self.node.now();
        self.listing.take_if(|listing| now.saturating_since(listing.sent_at) >= LISTING_TTL);
        let listing = self.listing.get_or_insert_with(|| Listing {
            sent_at: now,
            revision: None,
            facts: Vec::new(),
            pages: 0,
            after: None,
        });
        loop {
            let call = StoreCall::List { after: listing.after.clone() };
            match call_store(&self.node, &call, CALL_TIMEOUT).await? {
                StoreAnswer::Facts { revision, .. } if listing.is_of_another_era(revision) => {
                    self.listing = None;
                    return Ok(());
                }
                StoreAnswer::Facts { facts, revision, more_after } => {
                    listing.revision.get_or_insert(revision);
                    listing.facts.extend(facts);
                    listing.pages += 1;
                    listing.after = more_after;
                }
                _ => return Err(StoreError::Unexpected),
            }
            if listing.after.is_none() {
                break;
            }
            if can_use_relay && listing.pages == PAGES_BEFORE_SNAPSHOT {
                self.node.apply_partial_listing(
                    listing.facts.clone(),
                    listing.revision.unwrap_or_default(),
                    listing.sent_at,
                );
                self.snapshot_awaited_until = Some(snapshot_deadline(&self.node));
                return Ok(());
            }
        }
        match self.listing.take() {
            Some(listing) => self.finish_listing(listing),
            None => Ok(()),
        }
    }

    fn finish_listing(&self, listing: Listing) -> Result<(), StoreError> {
        let revision = listing.revision.unwrap_or_default();
        let known = self.node.state.borrow().revision;
        if known.is_some_and(|known| known.era() > revision.era()) {
            return Err(StoreError::OlderEra);
        }
        // Another node may have relayed more meanwhile.
        if known.is_none_or(|known| known <= revision) {
            let items = listing.facts.len();
            self.node.apply_listing(listing.facts, revision, listing.sent_at);
            self.node.journal.log(&Event::StoreListed { items, revision: revision.0 });
        }
        Ok(())
    }

    /// The minimum interval between watches, in which changes accumulate, since each answer costs a call.
    fn watch_interval(&self) -> Duration {
        if self.node.state.borrow().revision.is_none() || self.node.history_lost.get() {
            Duration::ZERO
        } else if self.serves_others() {
            LEADER_WATCH_INTERVAL
        } else if self.node.has_recent_relay() || self.awaits_relay() {
            RELAY_CHECK_INTERVAL
        } else {
            self.node.settings().bounds.watch_interval()
        }
    }

    /// Whether this node also watches for others: it leads, or it has children and receives no relay itself.
    fn serves_others(&self) -> bool {
        let Some(peers) = &self.node.peers else { return false };
        self.node.token().is_some()
            || (!self.node.has_recent_relay() && !peers.borrow().fleet.children.is_empty())
    }

    /// How long a watch waits. A leader's answers also serve as proof for other nodes, which receive them a
    /// little later.
    fn watch_wait(&self) -> Duration {
        let bounds = self.node.settings().bounds;
        if self.serves_others() { bounds.leader_watch_wait() } else { bounds.watch_wait() }
    }

    async fn record_result(&mut self, result: Result<(), StoreError>) {
        let now = self.node.now();
        match result {
            Ok(()) => {
                if let Some(since) = self.failing_since.take() {
                    let after_ms = now.saturating_since(since).as_millis() as u64;
                    self.node.journal.log(&Event::StoreRegained { after_ms });
                }
                self.failures = 0;
                tokio::time::sleep(self.watch_interval()).await;
            }
            Err(error) => {
                if self.failing_since.is_none() {
                    self.failing_since = Some(now);
                    let age = self.node.state.borrow().freshness.age(now);
                    self.node.journal.log(&Event::StoreLost {
                        call: if self.listing.is_some() { "list" } else { "watch" },
                        problem: error.to_string(),
                        age_ms: age.map(|age| age.as_millis() as u64),
                    });
                }
                self.failures += 1;
                let pause = RETRY_STEP * self.failures.min(16);
                tokio::time::sleep(pause.min(MAX_RETRY_PAUSE)).await;
            }
        }
    }
}

/// Until when to wait for a snapshot. The random part keeps nodes that get none from listing at the same
/// moment.
fn snapshot_deadline(node: &Node) -> Timestamp {
    let awaited = node.settings().bounds.snapshot_timeout();
    node.now() + awaited.mul_f64(1.0 + rand::random::<f64>())
}
