//! Applies digests from the parent.

use std::time::Duration;

use paddlemount_core::forwarding::change_log::{is_still_applicable, relayed_proof_time};
use paddlemount_protocol::{
    fleet::{Digest, RegistryState, StoreRelay},
    identity::Revision,
    time::Timestamp,
};

use crate::{node::Node, streams::relayed_software::add_software};

/// How long engines that are reported to load weights get no requests without a further report.
const LOADING_TTL: Duration = Duration::from_millis(1_500);

impl Node {
    /// Applies the answer to a report that was sent at `sent_at` and contained `revision`. Loads and quotas
    /// in it count from `sent_at`, because the answer may have been delayed, or this process suspended.
    pub fn apply_digest(&self, digest: Digest, revision: Option<Revision>, sent_at: Timestamp) {
        let now = self.now();
        let Some(peers) = &self.peers else { return };
        {
            let mut state = self.state.borrow_mut();
            for update in &digest.cache_updates {
                state.chooser.apply_gossip(update, now);
            }
            state.chooser.loads.set_others(digest.work.clone(), sent_at);
            state.demand.record_total(digest.demand, sent_at);
            state.shared_rates.record_total(digest.rates, sent_at);
            match &digest.quotas {
                Some(quotas) => state.quotas.report_answered(quotas, sent_at, now),
                None => state.quotas.report_failed(),
            }
            state.backends.set_loading(&digest.loading, sent_at + LOADING_TTL);
        }
        {
            let mut peers = peers.borrow_mut();
            peers.gossip.append(digest.cache_updates);
            peers.fleet.record_update(digest.work, digest.nodes, sent_at);
        }
        self.receive_intermediaries(digest.intermediaries, sent_at);
        self.merge_draining_gossip(&digest.leaving);
        self.apply_limit_grants(&digest.limits, sent_at);
        self.apply_performance(&digest.performance, sent_at);
        self.apply_quarantine_digest(digest.quarantine);
        if let Some(relay) = digest.store {
            self.apply_relay(relay, revision, sent_at);
        }
        self.receive_newer_facts(&digest.newer_facts);
    }

    /// Applies relayed changes of the store. Their proof counts from when the report was sent, less the
    /// proof's age at the other node, so that a delayed answer proves nothing recent.
    fn apply_relay(&self, relay: StoreRelay, revision: Option<Revision>, sent_at: Timestamp) {
        let age = Duration::from_millis(relay.age_ms);
        // The parent may have lost contact to the store itself.
        let is_old = age >= self.settings().bounds.max_relay_age();
        if is_old || !is_still_applicable(revision, self.state.borrow().revision) {
            return;
        }
        let mut facts = match relay.changes.as_str() {
            "" => Vec::new(),
            changes => match self.read_all_facts(changes.as_bytes()) {
                Some(facts) => facts,
                None => return,
            },
        };
        add_software(&mut facts, &relay.software);
        self.follow_registry(relay.registry);
        self.apply_relayed_changes(
            facts,
            relay.revision,
            relayed_proof_time(sent_at, age),
            &relay.recent_targets,
        );
        self.history_lost.set(false);
        if let Some(peers) = &self.peers {
            peers.borrow_mut().relayed_at = Some(sent_at);
        }
    }

    /// Applies another node's state of the registry.
    pub(crate) fn follow_registry(&self, reported: RegistryState) {
        let now = self.now();
        self.state.borrow_mut().backends.registry.follow(reported, now);
    }

    /// Whether another node has recently relayed the store with a recent proof.
    pub fn has_recent_relay(&self) -> bool {
        let within = self.settings().bounds.max_relay_age();
        self.receives_relays() && self.state.borrow().freshness.is_within(within, self.now())
    }

    /// Whether another node has recently relayed the store, however old the proof was.
    pub fn receives_relays(&self) -> bool {
        let timeout = self.settings().bounds.relay_timeout();
        let Some(peers) = &self.peers else { return false };
        let relayed_at = peers.borrow().relayed_at;
        relayed_at.is_some_and(|at| self.now().saturating_since(at) < timeout)
    }
}
