//! Events and actions of a node among its peers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use paddlemount_protocol::{
    configuration::{ChangeOutcome, ChangeRequest, Configuration, RevisedConfiguration, StoredDocument},
    identity::{NodeId, Revision},
    peer::{
        configuration::{ConfigurationAnswer, ConfigurationRequest},
        membership::{MemberRecord, MembershipAnswer, MembershipRequest, PiggybackItem},
    },
    platform::{MachineList, StorePutResult, StoreWatch},
};

use crate::{configuration::change::StoreFailure, membership::CallId};

/// A request between peers.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerRequest {
    Membership(MembershipRequest),
    Configuration(ConfigurationRequest),
}

/// An answer between peers.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerAnswer {
    Membership(MembershipAnswer),
    Configuration(ConfigurationAnswer),
}

/// A store request for the configuration document.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreRequest {
    Watch(StoreWatch),
    Read,
    /// Replace the document if its revision is `expected`.
    Put {
        expected: Revision,
        configuration: Box<Configuration>,
    },
}

/// A reply of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// Reply to a watch or a read.
    Document(StoredDocument),
    /// Reply to a put.
    Put(StorePutResult),
}

/// An input to [`Peers::handle`](super::Peers::handle).
#[derive(Clone, Debug)]
pub enum PeerEvent<'a> {
    /// The time of [`Peers::next_wakeup`](super::Peers::next_wakeup) has come.
    Tick,
    /// A peer calls this node; the driver numbers the call.
    Request {
        call: CallId,
        request: &'a PeerRequest,
    },
    /// A call made by [`PeerAction::Call`] was answered.
    Answer {
        call: CallId,
        answer: &'a PeerAnswer,
    },
    /// A call made by [`PeerAction::Call`] failed or timed out.
    Failed {
        call: CallId,
    },
    /// A call made by [`PeerAction::Store`] ended.
    Store {
        call: CallId,
        result: Result<StoreReply, StoreFailure>,
    },
    Machines(&'a MachineList),
    /// Piggyback this item on probes from now on, replacing the topic's previous one.
    Offer(PiggybackItem),
    /// An operator requests a change; the driver numbers the call.
    Change {
        call: CallId,
        request: Box<ChangeRequest>,
    },
    /// This node starts a planned stop.
    Stop,
}

/// An output of [`Peers::handle`](super::Peers::handle) for the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerAction {
    /// Call a peer; exactly one `Answer` or `Failed` must follow.
    Call {
        call: CallId,
        address: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
    },
    Answer {
        call: CallId,
        answer: PeerAnswer,
    },
    /// Call the store; exactly one `Store` event must follow.
    Store {
        call: CallId,
        request: StoreRequest,
        timeout: Duration,
    },
    /// Report the outcome of a change to the operator.
    ChangeEnded {
        call: CallId,
        outcome: ChangeOutcome,
    },
    Installed(Arc<RevisedConfiguration>),
    /// A member of this region was added or changed.
    MemberChanged(MemberRecord),
    /// An item arrived from a peer.
    Item {
        from: NodeId,
        item: PiggybackItem,
    },
    /// A later incarnation runs under this node's name; this process must stop.
    Superseded,
}
