//! A node's copy of the document, read from the store or from peers and never replaced by an older one.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use paddlemount_protocol::{
    configuration::{Configuration, DOCUMENT_KEY, RevisedConfiguration, StoredDocument},
    identity::Revision,
    peer::{
        configuration::{ConfigurationAnswer, ConfigurationGossip, ConfigurationRequest},
        membership::MemberRecord,
    },
    platform::StoreWatch,
    time::Timestamp,
};

use super::{
    apply::{digest, replay},
    change::StoreFailure,
    freshness::{Freshness, STALE_AFTER},
};
use crate::membership::MemberTable;

/// Number of nodes per zone that watch the store.
pub const WATCHERS_PER_ZONE: usize = 2;

/// How long one watch of the store waits for a change.
pub const WATCH_WAIT: Duration = Duration::from_secs(2);

/// The rendezvous hashing subject for choosing watchers.
const WATCH_SUBJECT: &str = "configuration-watcher";

/// Delay before a starting node reads the store, in which peers may send the document.
const START_DELAY: Duration = Duration::from_millis(700);

/// Interval between store reads of a node that is no watcher but lacks confirmation.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// Age of the last confirmation at which a node that is no watcher reads the store.
const READ_AT_AGE: Duration = Duration::from_secs(6);

/// First and maximum delay after a failed store call.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(4));

/// An output of the replica.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaAction {
    /// Watch the store; [`Replica::handle_store_reply`] must follow.
    Watch(StoreWatch),
    /// Pull from a peer; [`Replica::handle_pull_answer`] must follow.
    Pull {
        address: SocketAddr,
        request: ConfigurationRequest,
    },
    Installed(Arc<RevisedConfiguration>),
}

/// A node's document and its freshness.
#[derive(Clone, Debug)]
pub struct Replica {
    current: Option<Arc<RevisedConfiguration>>,
    freshness: Freshness,
    store_requested_at: Option<Timestamp>,
    store_next_at: Timestamp,
    failures: u32,
    pulling: bool,
    /// A newer revision that a peer applies, and when a read of the store confirmed it.
    peer_confirmation: Option<(Revision, Timestamp)>,
    jitter: Duration,
}

impl Replica {
    /// Creates a replica without a document at a node that starts at `now`. Its store reads are shifted by
    /// `jitter`, so that nodes that start together do not read together; one without seeds reads at once.
    pub fn new(now: Timestamp, jitter: Duration, has_seeds: bool) -> Self {
        let delay = if has_seeds { START_DELAY + jitter } else { Duration::ZERO };
        Self {
            current: None,
            freshness: Freshness::default(),
            store_requested_at: None,
            store_next_at: now + delay,
            failures: 0,
            pulling: false,
            peer_confirmation: None,
            jitter,
        }
    }

    /// Returns the document in force at this node.
    pub const fn current(&self) -> Option<&Arc<RevisedConfiguration>> {
        self.current.as_ref()
    }

    /// Returns the revision in force at this node; 0 without a document.
    pub fn revision(&self) -> Revision {
        self.current.as_ref().map_or(Revision(0), |current| current.revision)
    }

    /// Returns the latest time at which nothing newer is known to have been accepted.
    pub fn confirmed_at(&self, table: &MemberTable, base: usize, now: Timestamp) -> Option<Timestamp> {
        self.current.as_ref()?;
        self.freshness.confirmed_at(table, base, now)
    }

    /// Whether this node may accept new work: it has a recently confirmed document.
    pub fn may_serve(&self, table: &MemberTable, base: usize, now: Timestamp) -> bool {
        let confirmed_at = self.confirmed_at(table, base, now);
        confirmed_at.is_some_and(|at| now.saturating_since(at) < STALE_AFTER)
    }

    /// Whether this node watches the store for its zone.
    pub fn is_watcher(table: &MemberTable) -> bool {
        let own = table.own();
        let chosen = table.chosen_in_zone(&own.zone, WATCH_SUBJECT, WATCHERS_PER_ZONE);
        chosen.iter().any(|record| record.node == own.node)
    }

    /// Returns when [`tick`](Self::tick) is due at the latest.
    pub const fn next_wakeup(&self) -> Timestamp {
        self.store_next_at
    }

    /// Starts a store call if one is due.
    pub fn tick(&mut self, table: &MemberTable, base: usize, now: Timestamp) -> Option<ReplicaAction> {
        if self.store_next_at > now {
            return None;
        }
        self.store_next_at = now + READ_INTERVAL + self.jitter;
        if self.store_requested_at.is_some() || !self.should_read_store(table, base, now) {
            return None;
        }
        self.store_requested_at = Some(now);
        let (after, wait) = if self.current.is_none() || !Self::is_watcher(table) {
            (self.revision(), Duration::ZERO)
        } else {
            (self.revision(), WATCH_WAIT)
        };
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        Some(ReplicaAction::Watch(StoreWatch { key: DOCUMENT_KEY.to_owned(), after, wait_ms }))
    }

    fn should_read_store(&self, table: &MemberTable, base: usize, now: Timestamp) -> bool {
        let confirmed_at = self.confirmed_at(table, base, now);
        let is_old = confirmed_at.is_none_or(|at| now.saturating_since(at) >= READ_AT_AGE);
        is_old || Self::is_watcher(table)
    }

    /// Handles the store's reply to the latest [`ReplicaAction::Watch`].
    pub fn handle_store_reply(
        &mut self,
        result: Result<StoredDocument, StoreFailure>,
        now: Timestamp,
    ) -> Option<ReplicaAction> {
        let requested_at = self.store_requested_at.take()?;
        let revision = match &result {
            Ok(StoredDocument::Present(document)) => Some(document.revision),
            Ok(StoredDocument::Unchanged(revision)) => Some(*revision).filter(|_| self.current.is_some()),
            Err(_) => None,
        };
        // A store that lost its latest revisions confirms nothing.
        if revision.is_none_or(|revision| self.current.is_some() && revision < self.revision()) {
            self.back_off(now);
            return None;
        }
        self.failures = 0;
        self.store_next_at = now + self.jitter / 4;
        let action = match result {
            Ok(StoredDocument::Present(document)) => self.install(Arc::new(document)),
            _ => None,
        };
        if revision == Some(self.revision()) {
            self.freshness.confirm_by_store(requested_at);
        }
        action
    }

    fn back_off(&mut self, now: Timestamp) {
        let doubled = BACKOFF.0 * 2_u32.pow(self.failures.min(8));
        self.failures += 1;
        self.store_next_at = now + doubled.min(BACKOFF.1) + self.jitter;
    }

    /// Installs a document that this node wrote to the store.
    pub fn install_stored(
        &mut self,
        revision: Revision,
        configuration: Configuration,
    ) -> Option<ReplicaAction> {
        self.install(Arc::new(RevisedConfiguration { revision, configuration }))
    }

    /// Puts a newer document in force; ignores an older or equal one.
    fn install(&mut self, document: Arc<RevisedConfiguration>) -> Option<ReplicaAction> {
        if self.current.as_ref().is_some_and(|current| current.revision >= document.revision) {
            return None;
        }
        self.current = Some(Arc::clone(&document));
        // Applies the peer's confirmation that came before its document, so that a starting node serves at
        // once.
        let confirmed = self.peer_confirmation.take_if(|(revision, _)| *revision <= document.revision);
        if let Some((_, at)) = confirmed {
            self.freshness.confirm_by_peer_store_read(Duration::ZERO, at);
        }
        Some(ReplicaAction::Installed(document))
    }

    /// Returns the gossip about this node's revision, with confirmations if `is_answer`. The region has at
    /// least `base` members.
    pub fn gossip(
        &self,
        own: &MemberRecord,
        is_answer: bool,
        base: usize,
        now: Timestamp,
    ) -> ConfigurationGossip {
        if self.current.is_none() || !is_answer {
            return ConfigurationGossip { revision: self.revision(), ..ConfigurationGossip::default() };
        }
        let store_age = self.freshness.store_confirmed_at().map(|at| now.saturating_since(at));
        ConfigurationGossip {
            revision: self.revision(),
            store_age_ms: store_age.filter(|age| *age < STALE_AFTER).map(millis_rounded_up),
            confirmations: self.freshness.advertise(&own.node, base, now),
        }
    }

    /// Applies a peer's gossip; `requested_at` is set if it came in an answer.
    pub fn apply_gossip(
        &mut self,
        from: &MemberRecord,
        gossip: &ConfigurationGossip,
        requested_at: Option<Timestamp>,
        table: &MemberTable,
        now: Timestamp,
    ) -> Option<ReplicaAction> {
        let is_first = self.current.is_none() && !gossip.confirmations.is_empty();
        if gossip.revision > self.revision() || is_first {
            if let (Some(requested_at), Some(age_ms)) = (requested_at, gossip.store_age_ms) {
                let at = requested_at - Duration::from_millis(u64::from(age_ms));
                self.peer_confirmation = Some((gossip.revision, at));
            }
            return self.pull(from.address);
        }
        let requested_at = requested_at.filter(|_| self.current.is_some())?;
        if let Some(age_ms) = gossip.store_age_ms {
            self.freshness.confirm_by_peer_store_read(Duration::from_millis(u64::from(age_ms)), requested_at);
        }
        if from.region == table.own().region && !gossip.confirmations.is_empty() {
            self.freshness.confirm_by_peer(&from.node, &gossip.confirmations, requested_at);
            self.freshness.count_self(table);
            self.freshness.forget_old(now);
        }
        None
    }

    /// Requests newer changes from the peer at `address`, unless a pull is pending.
    pub fn pull(&mut self, address: SocketAddr) -> Option<ReplicaAction> {
        if self.pulling {
            return None;
        }
        self.pulling = true;
        let changes = self.current.as_ref().map(|current| &current.configuration.changes);
        let last_change = changes.and_then(|changes| changes.last()).map(|record| record.id.clone());
        let request = ConfigurationRequest::Pull { revision: self.revision(), last_change };
        Some(ReplicaAction::Pull { address, request })
    }

    /// Handles the answer to a pull from `address`; `None` if it failed.
    pub fn handle_pull_answer(
        &mut self,
        address: SocketAddr,
        answer: Option<&ConfigurationAnswer>,
    ) -> Option<ReplicaAction> {
        self.pulling = false;
        match answer? {
            ConfigurationAnswer::Complete { configuration } => {
                self.install(Arc::new((**configuration).clone()))
            }
            ConfigurationAnswer::Changes { revision, digest: expected, changes } => {
                let mut configuration = self.current.as_ref()?.configuration.clone();
                let replayed = changes.iter().try_for_each(|record| replay(&mut configuration, record));
                if replayed.is_ok() && digest(&configuration) == *expected {
                    return self
                        .install(Arc::new(RevisedConfiguration { revision: *revision, configuration }));
                }
                self.pulling = true;
                let request = ConfigurationRequest::Pull { revision: self.revision(), last_change: None };
                Some(ReplicaAction::Pull { address, request })
            }
            _ => None,
        }
    }

    /// Returns the answer to a peer's pull.
    pub fn answer_pull(
        &self,
        revision: Revision,
        last_change: Option<&paddlemount_protocol::identity::ChangeId>,
    ) -> ConfigurationAnswer {
        let is_newer = |current: &&Arc<RevisedConfiguration>| {
            current.revision > revision || (revision == Revision(0) && last_change.is_none())
        };
        let Some(current) = self.current.as_ref().filter(is_newer) else {
            return ConfigurationAnswer::NotNewer { revision: self.revision() };
        };
        let changes = &current.configuration.changes;
        let known = last_change.and_then(|last| changes.iter().position(|record| record.id == *last));
        match known.map(|position| &changes[position + 1..]) {
            Some(later) if later.iter().all(|record| record.change.is_some()) => {
                ConfigurationAnswer::Changes {
                    revision: current.revision,
                    digest: digest(&current.configuration),
                    changes: later.to_vec(),
                }
            }
            _ => ConfigurationAnswer::Complete { configuration: Box::new((**current).clone()) },
        }
    }
}

fn millis_rounded_up(age: Duration) -> u32 {
    u32::try_from(age.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}
