//! Tells other nodes which software version began a stream.
//!
//! Nothing waits for the answers: a stream that nobody remembers is not continued, so only its take-up is at stake.
//! Records for one node are gathered while a call to it is under way.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode, Uri, header};
use paddlemount_core::forwarding::membership::REPLICAS;
use paddlemount_protocol::{
    fleet::{Member, RECORD_STREAMS_PATH, StreamRecord, StreamRecords},
    identity::NodeId,
    time::Timestamp,
};
use serde::Serialize;

use crate::{calls::Client, metrics::Counter, node::Node};

/// How long a node may take to take records in.
const RECORD_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a node that did not take records in is left out.
const AVOID_TIME: Duration = Duration::from_secs(2);
/// The maximum number of records in one message, about 100 bytes each.
const MAX_BATCH: usize = 1_024;

/// Records that wait to be sent to one node.
#[derive(Debug, Default)]
struct Outbox {
    records: Vec<StreamRecord>,
    is_sending: bool,
}

/// Records on their way to other nodes.
#[derive(Debug, Default)]
pub(crate) struct Replication {
    outboxes: BTreeMap<NodeId, Outbox>,
    clients: BTreeMap<SocketAddr, Rc<Client>>,
    avoided_until: BTreeMap<NodeId, Timestamp>,
}

impl Replication {
    /// The client for a node's address.
    pub(crate) fn client(&mut self, node: &Node, address: SocketAddr) -> Rc<Client> {
        let client = self.clients.entry(address);
        Rc::clone(client.or_insert_with(|| Rc::new(Client::new(address, node.clock))))
    }

    /// Drops what belongs to nodes that are gone.
    pub(crate) fn sweep(&mut self, now: Timestamp) {
        self.avoided_until.retain(|_, until| now < *until);
        self.outboxes.retain(|_, outbox| outbox.is_sending);
    }

    /// Keeps only the connections to these addresses.
    pub(crate) fn retain_clients(&mut self, addresses: &BTreeSet<SocketAddr>) {
        self.clients.retain(|address, _| addresses.contains(address));
    }

    fn avoided(&self, now: Timestamp) -> BTreeSet<NodeId> {
        self.avoided_until.iter().filter(|(_, until)| now < **until).map(|(node, _)| node.clone()).collect()
    }
}

impl Node {
    /// Tells the nodes that are to remember each stream. Returns whether there are any.
    pub(crate) fn tell_others(self: &Rc<Self>, records: &[StreamRecord]) -> bool {
        let mut targets: BTreeMap<NodeId, (Member, Vec<StreamRecord>)> = BTreeMap::new();
        for record in records {
            for member in self.replicas_of(record) {
                let (_, records) = targets.entry(member.node.clone()).or_insert((member, Vec::new()));
                records.push(record.clone());
            }
        }
        let has_targets = !targets.is_empty();
        for (member, records) in targets.into_values() {
            self.queue_records(member, records);
        }
        has_targets
    }

    fn replicas_of(&self, record: &StreamRecord) -> Vec<Member> {
        let Some(peers) = &self.peers else { return Vec::new() };
        let avoided = self.streams.borrow().replication.avoided(self.now());
        let peers = peers.borrow();
        let local = &peers.fleet.local_member().node;
        let ranked = peers.fleet.members().all().ranked(record.key, local, &avoided);
        ranked.into_iter().take(REPLICAS).cloned().collect()
    }

    fn queue_records(self: &Rc<Self>, member: Member, records: Vec<StreamRecord>) {
        let mut streams = self.streams.borrow_mut();
        let outbox = streams.replication.outboxes.entry(member.node.clone()).or_default();
        outbox.records.extend(records);
        if outbox.is_sending {
            return;
        }
        outbox.is_sending = true;
        drop(streams);
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move { node.send_records(member).await });
    }

    /// Sends the records in the outbox of a node until it is empty.
    async fn send_records(self: Rc<Self>, member: Member) {
        let client = self.streams.borrow_mut().replication.client(&self, member.address);
        while let Some(records) = self.next_batch(&member.node) {
            let message = StreamRecords { records };
            if post(&client, RECORD_STREAMS_PATH, &message, RECORD_TIMEOUT).await.is_some() {
                self.metrics.add(Counter::StreamRecordsSent("taken"), message.records.len() as u64);
                continue;
            }
            self.metrics.add(Counter::StreamRecordsSent("failed"), message.records.len() as u64);
            let until = self.now() + AVOID_TIME;
            self.streams.borrow_mut().replication.avoided_until.insert(member.node.clone(), until);
            // The next node in the order of each stream takes its place.
            self.tell_others(&message.records);
        }
    }

    /// The next records for a node; ends the sending if there are none.
    fn next_batch(&self, node: &NodeId) -> Option<Vec<StreamRecord>> {
        let mut streams = self.streams.borrow_mut();
        let outbox = streams.replication.outboxes.get_mut(node)?;
        if outbox.records.is_empty() {
            outbox.is_sending = false;
            return None;
        }
        let count = outbox.records.len().min(MAX_BATCH);
        Some(outbox.records.drain(..count).collect())
    }
}

/// Posts a message to a node; `None` if it did not take it in.
pub(super) async fn post(
    client: &Client,
    path: &'static str,
    message: &impl Serialize,
    timeout: Duration,
) -> Option<Bytes> {
    let mut request = Request::new(Bytes::from(serde_json::to_vec(message).ok()?));
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = Uri::from_static(path);
    let kind = HeaderValue::from_static("application/json");
    request.headers_mut().insert(header::CONTENT_TYPE, kind);
    let answer = client.call(request, timeout).await.ok()?;
    (answer.status() == StatusCode::OK).then(|| answer.into_body())
}
