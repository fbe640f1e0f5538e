//! Rate limits advertised by back ends: observed, shared with other nodes, and applied to each request.

use std::rc::Rc;

use paddlemount_core::forwarding::{
    announcements::{
        Member,
        rate_limit::{Advertised, LimitChange, TreePosition},
    },
    backends::BackendId,
};
use paddlemount_protocol::{
    fleet::{BackendProcess, LimitGossip, LimitGrant},
    time::Timestamp,
};

use crate::{
    announcements::AnnouncementSource, journal::Event, node::Node, node_state::NodeState,
    ports::AdvertisedLimit,
};

impl NodeState {
    /// The recent mean rate of this node's requests per back end of the same service. One of many nodes
    /// reaches each single back end too rarely for a rate of its own.
    fn mean_rate_per_backend(&self, id: &BackendId, now: Timestamp) -> f64 {
        let service = self.backends.get(id).map(|backend| &backend.entry.service);
        let Some(pool) = service.and_then(|service| self.backends.pool(service)) else { return 0.0 };
        let sent: f64 = pool.usable().map(|ranked| self.chooser.load(&ranked.id).sent_per_second(now)).sum();
        sent / pool.len().max(1) as f64
    }
}

impl Node {
    /// Applies the limit that an answer of `process` advertises, if any. `sent_at` is when the answered
    /// request was sent.
    pub(crate) fn observe_limit(
        &self,
        process: &BackendProcess,
        parsed: Option<&AdvertisedLimit>,
        sent_at: Option<Timestamp>,
    ) {
        let now = self.now();
        let advertised = match (parsed, sent_at) {
            (Some(AdvertisedLimit::PerSecond(limit)), _) => Advertised { per_second: Some(*limit), at: now },
            (Some(AdvertisedLimit::Unreadable(value)), _) => {
                let backend = process.id.as_str();
                if self.unreadable_limits.is_first(&format!("{backend} {value}")) {
                    self.journal.log(&Event::LimitUnreadable { backend, value });
                }
                return;
            }
            // An answer to a request sent earlier may predate the limit.
            (None, Some(sent_at)) => Advertised { per_second: None, at: sent_at },
            (None, None) => return,
        };
        let change = {
            let nodes = self.nodes().upper_bound();
            let mut state = self.state.borrow_mut();
            let begins = advertised.per_second.is_some() && !state.backends.announcements.is_limited(process);
            let sent_per_second =
                if begins { state.mean_rate_per_backend(&process.id, now) * f64::from(nodes) } else { 0.0 };
            state.backends.announcements.observe_limit(process, advertised, sent_per_second, now)
        };
        if let Some(change) = change {
            self.log_limit_change(process, change, AnnouncementSource::Answer);
            if !matches!(change, LimitChange::Changed(_)) {
                // Other nodes rely on the previous limit until they receive the gossip.
                self.leader_known.notify_one();
            }
        }
    }

    /// Applies limits reported by a child.
    pub(crate) fn merge_limit_gossip(&self, gossip: &[LimitGossip]) {
        let now = self.now();
        let changes = self.state.borrow_mut().backends.announcements.merge_limit_gossip(gossip, now);
        for (process, change) in &changes {
            self.log_limit_change(process, *change, AnnouncementSource::Gossip);
        }
    }

    /// Applies the parent's limits and this node's shares of them, from the answer to a report sent at
    /// `sent_at`.
    pub(crate) fn apply_limit_grants(&self, grants: &[LimitGrant], sent_at: Timestamp) {
        let now = self.now();
        let changes = self.state.borrow_mut().backends.announcements.apply_limit_grants(grants, sent_at, now);
        for (process, change) in &changes {
            self.log_limit_change(process, *change, AnnouncementSource::Gossip);
        }
    }

    fn log_limit_change(&self, process: &BackendProcess, change: LimitChange, source: AnnouncementSource) {
        let (backend, heard) = (process.id.as_str(), source.name());
        let event = match change {
            LimitChange::Began(per_second) | LimitChange::Changed(per_second) => {
                let own = self.state.borrow().backends.announcements.own_rate(process);
                Event::BackendLimited { backend, per_second, own_per_second: own, heard }
            }
            LimitChange::Ended => Event::BackendUnlimited { backend, heard },
        };
        self.journal.log(&event);
    }

    /// Divides limits by this node's position in the tree. Must be called several times a second.
    pub(crate) fn divide_limits(&self) {
        let now = self.now();
        let nodes = self.nodes().upper_bound();
        let settings = self.settings();
        let mut state = self.state.borrow_mut();
        let offered_load = state.offered_load.per_second(now);
        let mut members = vec![Member::new(settings.node.clone(), offered_load)];
        if let Some(peers) = &self.peers {
            let peers = peers.borrow();
            let children = peers.fleet.children.offered_load(now);
            members.extend(children.map(|(node, offered_load)| Member::new(node.clone(), offered_load)));
        }
        let root_share = state.quotas.root_share();
        let position = TreePosition { node: settings.node.clone(), root_share, nodes, members };
        state.backends.announcements.divide_limits(position, now);
    }

    /// The rate of callers' requests to this node and its descendants.
    pub(crate) fn subtree_offered_load(&self) -> f64 {
        let now = self.now();
        let own = self.state.borrow().offered_load.per_second(now);
        let children = self.peers.as_ref().map_or(0.0, |peers| {
            peers.borrow().fleet.children.offered_load(now).map(|(_, offered_load)| offered_load).sum()
        });
        own + children
    }

    /// Whether the limit of a back end was used up since it was chosen.
    pub(crate) fn lacks_permit(&self, backend: &BackendId) -> bool {
        !self.state.borrow().backends.has_permit(backend, self.now())
    }

    /// Takes a permit for a request to a back end, if that is limited.
    pub(crate) fn acquire_permit(self: &Rc<Self>, backend: &BackendId) -> Option<LimitPermit> {
        let process = self.state.borrow_mut().backends.acquire_permit(backend, self.now())?;
        Some(LimitPermit { node: Rc::clone(self), process, is_sent: true })
    }
}

/// A permit of a back end's limit. It is held until the back end has read its request, or never will; until then the
/// request may arrive in any window of the limit.
pub(crate) struct LimitPermit {
    node: Rc<Node>,
    process: BackendProcess,
    is_sent: bool,
}

impl LimitPermit {
    /// Returns the permit of a request of which no byte was sent.
    pub(crate) fn release(mut self) {
        self.is_sent = false;
    }
}

impl Drop for LimitPermit {
    fn drop(&mut self) {
        let now = self.node.now();
        let announcements = &mut self.node.state.borrow_mut().backends.announcements;
        if self.is_sent {
            announcements.record_arrived(&self.process, now);
        } else {
            announcements.release_permit(&self.process);
        }
    }
}
