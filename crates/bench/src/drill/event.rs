//! What happens in the simulated cluster.

use paddlemount_core::{
    claims::ClaimOutcome,
    configuration::change::StoreFailure,
    lease::LeaseRequest,
    membership::CallId,
    peers::{PeerAnswer, PeerRequest, StoreReply, StoreRequest},
    request::RequestEvent,
};
use paddlemount_protocol::{
    configuration::ChangeRequest,
    engine::{EngineRefusal, EngineStatus, Order, OrderResult, Precondition},
    identity::{AttemptId, Incarnation, RequestId, Revision},
    peer::claims::{ClaimMessage, ClaimReply},
    platform::LeaseResult,
    time::Timestamp,
};

/// One life of one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodeIncarnation {
    /// The node.
    pub node: usize,
    /// Its life, from 1.
    pub incarnation: u32,
}

/// A try on its way to an engine.
pub struct Dispatch {
    /// Whose try it is.
    pub from: NodeIncarnation,
    /// The request.
    pub request: RequestId,
    /// The try.
    pub attempt: AttemptId,
    /// What must be true of the engine.
    pub precondition: Precondition,
    /// Tokens that the caller already has.
    pub already: u32,
}

/// A call to the configuration store.
#[derive(Clone, Debug)]
pub enum StoreCall {
    /// Of configuration.
    Peers(CallId, StoreRequest),
    /// Of the placement lease.
    Lease(LeaseRequest),
}

/// The store's reply, or its failure.
#[derive(Clone, Debug)]
pub enum StoreAnswer {
    /// Of configuration.
    Peers(CallId, Result<StoreReply, StoreFailure>),
    /// Of the placement lease.
    Lease(Option<LeaseResult>),
}

/// An event of the simulation.
pub enum Event {
    /// A node's membership and configuration have something to do.
    Wake(NodeIncarnation),
    /// A node asks engines, the machine list and the lease.
    PeriodicTick(NodeIncarnation),
    /// A peer's call arrives.
    PeerRequest { to: NodeIncarnation, from: NodeIncarnation, call: CallId, request: PeerRequest },
    /// A peer's answer arrives.
    PeerAnswer { to: NodeIncarnation, call: CallId, answer: PeerAnswer },
    /// A call to a peer has waited long enough.
    PeerTimeout { to: NodeIncarnation, call: CallId },
    /// A call arrives at the store.
    StoreCall { from: NodeIncarnation, call: StoreCall },
    /// The store's answer, or the end of the wait for it.
    StoreAnswer { to: NodeIncarnation, answer: StoreAnswer },
    /// A watch of the store has waited long enough.
    WatchExpires { from: NodeIncarnation, call: CallId, after: Revision },
    /// An engine has something to do.
    EngineStep(usize),
    /// A node asks an engine for its status.
    StatusRequested { engine: usize, from: NodeIncarnation, requested_at: Timestamp },
    /// An engine's status arrives.
    Status { to: NodeIncarnation, status: Box<EngineStatus>, requested_at: Timestamp },
    /// The machine list arrives.
    Machines { to: NodeIncarnation, leaving: Vec<usize> },
    /// A try arrives at an engine.
    Submit { engine: usize, dispatch: Box<Dispatch> },
    /// A node wants the rest of a stream.
    Resume {
        engine: usize,
        from: NodeIncarnation,
        request: RequestId,
        attempt: AttemptId,
        incarnation: Incarnation,
        next: u32,
    },
    /// A node gives a try up.
    Cancel { engine: usize, attempt: AttemptId },
    /// Something arrives for a model request.
    Request { to: NodeIncarnation, request: RequestId, event: Box<RequestEvent> },
    /// A model request's timer.
    RequestTimer { to: NodeIncarnation, request: RequestId },
    /// An order arrives at an engine.
    Order { engine: usize, from: NodeIncarnation, order: Order },
    /// An engine's answer to an order arrives.
    OrderDone {
        to: NodeIncarnation,
        engine: usize,
        order: String,
        result: Result<OrderResult, EngineRefusal>,
    },
    /// A claim message arrives at a replica.
    Claim { to: NodeIncarnation, from: NodeIncarnation, owner: AttemptId, message: ClaimMessage },
    /// A replica's answer arrives.
    ClaimReply { to: NodeIncarnation, replica: usize, owner: AttemptId, is_claim: bool, reply: ClaimReply },
    /// A claimed request's timer.
    ClaimTimer { to: NodeIncarnation, owner: AttemptId },
    /// A booking arrives at its back end.
    Booking { instance: usize, from: NodeIncarnation, owner: AttemptId, number: u32 },
    /// A back end's answer arrives.
    BookingReply { to: NodeIncarnation, owner: AttemptId, answer: Result<String, String> },
    /// A dispatch has waited long enough.
    BookingTimeout { to: NodeIncarnation, owner: AttemptId, number: u32 },
    /// A caller sends a model request.
    SendModelRequest { number: u32, node: Option<usize> },
    /// A caller sends a booking, for the first time or again.
    SendBooking { key: String, attempt: usize },
    /// A caller has its answer, or has waited long enough.
    BookingEnded { key: String, attempt: usize, ending: Option<ClaimOutcome> },
    /// An operator asks for a change.
    SubmitChange { node: usize, request: Box<ChangeRequest> },
    /// Two operators race.
    RaceOperators { fault: usize },
    /// A stopping node ends if nothing runs there.
    EndWhenIdle(usize),
    /// A fault begins.
    FaultBegin(usize),
    /// A fault ends.
    FaultEnd(usize),
    /// A node starts.
    Start(usize),
    /// An engine comes back.
    EngineStart(usize),
    /// The judge looks at all nodes.
    CheckNodes,
}

impl Event {
    /// The node that the event happens at.
    pub const fn target(&self) -> Option<NodeIncarnation> {
        match self {
            Self::Wake(to)
            | Self::PeriodicTick(to)
            | Self::PeerRequest { to, .. }
            | Self::PeerAnswer { to, .. }
            | Self::PeerTimeout { to, .. }
            | Self::StoreAnswer { to, .. }
            | Self::Status { to, .. }
            | Self::Machines { to, .. }
            | Self::Request { to, .. }
            | Self::RequestTimer { to, .. }
            | Self::OrderDone { to, .. }
            | Self::Claim { to, .. }
            | Self::ClaimReply { to, .. }
            | Self::ClaimTimer { to, .. }
            | Self::BookingReply { to, .. }
            | Self::BookingTimeout { to, .. } => Some(*to),
            _ => None,
        }
    }
}
