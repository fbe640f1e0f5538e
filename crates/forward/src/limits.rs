//! Limits that back ends name: heard, told to other nodes, and kept to with every request that is sent.

use paddlemount_core::forwarding::{
    announcements::{
        Member,
        rate_limit::{FleetPlace, LimitChange, Stated},
    },
    backends::BackendId,
};
use paddlemount_protocol::{
    fleet::{BackendProcess, LimitGrant, LimitNews},
    time::Timestamp,
};

use crate::{announced::HeardBy, beliefs::Beliefs, journal::Event, node::Node, ports::AdvertisedLimit};

impl Beliefs {
    /// Requests a second that this node has lately sent to a back end like this one: the mean of its service, as one node of many
    /// meets each back end too seldom.
    fn usually_sent(&self, id: &BackendId, now: Timestamp) -> f64 {
        let service = self.backends.get(id).map(|backend| &backend.entry.service);
        let Some(pool) = service.and_then(|service| self.backends.pool(service)) else { return 0.0 };
        let sent: f64 = pool.usable().map(|ranked| self.chooser.load(&ranked.id).sent_per_second(now)).sum();
        sent / pool.len().max(1) as f64
    }
}

impl Node {
    /// Takes in what an answer of `process` says of its limit; nothing where it names none. `sent_at` tells when the request was sent
    /// that it answers.
    pub(crate) fn hear_limit(
        &self,
        process: &BackendProcess,
        says: Option<&AdvertisedLimit>,
        sent_at: Option<Timestamp>,
    ) {
        let now = self.now();
        let stated = match (says, sent_at) {
            (Some(AdvertisedLimit::PerSecond(limit)), _) => Stated { per_second: Some(*limit), at: now },
            (Some(AdvertisedLimit::Unreadable(value)), _) => {
                let backend = process.id.as_str();
                if self.unreadable_limits.is_first(&format!("{backend} {value}")) {
                    self.journal.tell(&Event::LimitUnreadable { backend, value });
                }
                return;
            }
            // What it answered before the limit was heard may have been said before it was named.
            (None, Some(sent_at)) => Stated { per_second: None, at: sent_at },
            (None, None) => return,
        };
        let change = {
            let nodes = self.nodes().most();
            let mut beliefs = self.beliefs.borrow_mut();
            let begins = stated.per_second.is_some() && !beliefs.backends.announcements.is_limited(process);
            let sent_per_second =
                if begins { beliefs.usually_sent(&process.id, now) * f64::from(nodes) } else { 0.0 };
            beliefs.backends.announcements.state_limit(process, stated, sent_per_second, now)
        };
        if let Some(change) = change {
            self.tell_limit_change(process, change, HeardBy::Answer);
            if !matches!(change, LimitChange::Changed(_)) {
                // The others send to it by what they know until they hear.
                self.leader_known.notify_one();
            }
        }
    }

    /// A node below has told what it has heard of limits.
    pub(crate) fn told_of_limits(&self, told: &[LimitNews]) {
        let now = self.now();
        let changes = self.beliefs.borrow_mut().backends.announcements.hear_limits(told, now);
        for (process, change) in &changes {
            self.tell_limit_change(process, *change, HeardBy::Told);
        }
    }

    /// The node above has answered a report that was sent at `sent_at` with what it knows of limits, and this node's part of them.
    pub(crate) fn granted_limits(&self, grants: &[LimitGrant], sent_at: Timestamp) {
        let now = self.now();
        let changes = self.beliefs.borrow_mut().backends.announcements.take_grants(grants, sent_at, now);
        for (process, change) in &changes {
            self.tell_limit_change(process, *change, HeardBy::Told);
        }
    }

    fn tell_limit_change(&self, process: &BackendProcess, change: LimitChange, heard: HeardBy) {
        let (backend, heard) = (process.id.as_str(), heard.name());
        let event = match change {
            LimitChange::Began(per_second) | LimitChange::Changed(per_second) => {
                let own = self.beliefs.borrow().backends.announcements.own_part(process);
                Event::BackendLimited { backend, per_second, own_per_second: own, heard }
            }
            LimitChange::Ended => Event::BackendUnlimited { backend, heard },
        };
        self.journal.tell(&event);
    }

    /// Divides limits anew by this node's place in the tree; to be called several times a second.
    pub(crate) fn divide_limits(&self) {
        let now = self.now();
        let nodes = self.nodes().most();
        let settings = self.settings();
        let mut beliefs = self.beliefs.borrow_mut();
        let asked = beliefs.asked.per_second(now);
        let mut members = vec![Member::new(settings.node.clone(), asked)];
        if let Some(peers) = &self.peers {
            let peers = peers.borrow();
            let below = peers.fleet.children.asked(now);
            members.extend(below.map(|(node, asked)| Member::new(node.clone(), asked)));
        }
        let headed_part = beliefs.quotas.headed_part();
        let place = FleetPlace { node: settings.node.clone(), headed_part, nodes, members };
        beliefs.backends.announcements.divide_limits(place, now);
    }

    /// Requests a second that callers ask of this node and those below it.
    pub(crate) fn asked_per_second(&self) -> f64 {
        let now = self.now();
        let own = self.beliefs.borrow().asked.per_second(now);
        let below = self
            .peers
            .as_ref()
            .map_or(0.0, |peers| peers.borrow().fleet.children.asked(now).map(|(_, asked)| asked).sum());
        own + below
    }

    /// Whether the limit of a back end was used up since it was chosen.
    pub(crate) fn is_limit_used_up(&self, backend: &BackendId) -> bool {
        !self.beliefs.borrow().backends.is_within_limit(backend, self.now())
    }

    /// A request is being sent to a back end.
    pub(crate) fn take_from_limit(&self, backend: &BackendId) {
        let now = self.now();
        self.beliefs.borrow_mut().backends.take_from_limit(backend, now);
    }

    /// A request was not sent to a back end after all.
    pub(crate) fn give_back_to_limit(&self, backend: &BackendId) {
        self.beliefs.borrow_mut().backends.give_back_to_limit(backend);
    }
}
