//! Answers other nodes' messages on streams, and exchanges what all nodes know of each other.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode, Uri};
use paddlemount_core::forwarding::membership::Membership;
use paddlemount_protocol::{
    fleet::{FindStream, FoundStream, MEMBERS_PATH, Member, SoftwareHistoryMessage, StreamRecords},
    time::Timestamp,
};

use crate::{calls::Client, node::Node};

/// How long the list of all nodes may take.
const MEMBERS_TIMEOUT: Duration = Duration::from_millis(1_000);

impl Node {
    /// Remembers streams that another node relays.
    pub(crate) fn remember_streams(&self, message: StreamRecords) {
        let (now, lifetime) = (self.now(), self.stream_lifetime());
        let mut state = self.state.borrow_mut();
        for record in message.records {
            state.stream_records.put(record.key, record.origin, lifetime, now);
        }
    }

    /// What this node remembers of a stream.
    pub(crate) fn answer_find(&self, message: FindStream) -> FoundStream {
        self.state.borrow().stream_records.find(message.key, self.now())
    }

    /// The nodes that this one lists.
    pub(crate) fn listed_members(&self) -> Vec<Member> {
        let Some(peers) = &self.peers else { return Vec::new() };
        peers.borrow().fleet.members().listed().members().to_vec()
    }

    /// Fetches the list of all nodes from the parent.
    pub(crate) async fn fetch_members(&self, parent: &Client) {
        let mut request = Request::new(Bytes::new());
        *request.uri_mut() = Uri::from_static(MEMBERS_PATH);
        let Ok(answer) = parent.call(request, MEMBERS_TIMEOUT).await else { return };
        if answer.status() != StatusCode::OK {
            return;
        }
        let members: Result<Vec<Member>, _> = serde_json::from_slice(answer.body());
        let (Ok(members), Some(peers)) = (members, &self.peers) else { return };
        let addresses: BTreeSet<SocketAddr> = members.iter().map(|member| member.address).collect();
        peers.borrow_mut().fleet.set_listed(Membership::new(members), self.now());
        self.streams.borrow_mut().replication.retain_clients(&addresses);
        self.origins_untold.notify_one();
    }

    /// Whether this node lacks the history of software versions that a proof needs.
    pub(crate) fn wants_software_history(&self) -> bool {
        !self.state.borrow().software.is_complete(self.stream_lifetime(), self.now())
    }

    /// The history for a neighbour that lacks it, if this node has it.
    pub(crate) fn software_history_for(&self, is_wanted: bool) -> Option<SoftwareHistoryMessage> {
        let has_history = is_wanted && !self.wants_software_history();
        let now = self.now();
        let state = self.state.borrow();
        let age = state.freshness.age(now).filter(|_| has_history)?;
        Some(state.software.message(age, now))
    }

    /// Takes over a neighbour's history, written at `written_from` at the earliest.
    pub(crate) fn merge_software_history(
        &self,
        message: Option<&SoftwareHistoryMessage>,
        written_from: Timestamp,
    ) {
        if let Some(message) = message {
            let covered_until = written_from - Duration::from_millis(message.view_age_ms);
            self.state.borrow_mut().software.merge(message, covered_until, self.now());
        }
    }
}
