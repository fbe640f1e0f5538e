//! Events of the simulated cluster.

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

/// One incarnation of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodeIncarnation {
    pub node: usize,
    /// Starts at 1.
    pub incarnation: u32,
}

/// An attempt in flight to an engine.
pub struct Dispatch {
    /// The node that sent it.
    pub from: NodeIncarnation,
    pub request: RequestId,
    pub attempt: AttemptId,
    pub precondition: Precondition,
    /// Tokens that the caller has received already.
    pub answer_prefix_tokens: u32,
}

/// A call to the configuration store.
#[derive(Clone, Debug)]
pub enum StoreCall {
    Peers(CallId, StoreRequest),
    Lease(LeaseRequest),
}

/// A reply of the store, or the failure of the call.
#[derive(Clone, Debug)]
pub enum StoreAnswer {
    Peers(CallId, Result<StoreReply, StoreFailure>),
    Lease(Option<LeaseResult>),
}

/// An event of the simulation.
pub enum Event {
    /// A timer of a node's membership and configuration fires.
    Wake(NodeIncarnation),
    /// Once a second, a node polls engines, the machine list and the lease.
    PeriodicTick(NodeIncarnation),
    /// A peer's call arrives.
    PeerRequest {
        to: NodeIncarnation,
        from: NodeIncarnation,
        call: CallId,
        request: PeerRequest,
    },
    /// A peer's answer arrives.
    PeerAnswer {
        to: NodeIncarnation,
        call: CallId,
        answer: PeerAnswer,
    },
    /// A call to a peer times out.
    PeerTimeout {
        to: NodeIncarnation,
        call: CallId,
    },
    /// A call arrives at the store.
    StoreCall {
        from: NodeIncarnation,
        call: StoreCall,
    },
    /// The store's answer arrives, or the call times out.
    StoreAnswer {
        to: NodeIncarnation,
        answer: StoreAnswer,
    },
    /// A watch ends without a change.
    WatchExpires {
        from: NodeIncarnation,
        call: CallId,
        after: Revision,
    },
    /// A step of an engine is due.
    EngineStep(usize),
    /// A status request arrives at an engine.
    StatusRequested {
        engine: usize,
        from: NodeIncarnation,
        requested_at: Timestamp,
    },
    /// An engine's status arrives.
    Status {
        to: NodeIncarnation,
        status: Box<EngineStatus>,
        requested_at: Timestamp,
    },
    /// The machine list arrives.
    Machines {
        to: NodeIncarnation,
        draining: Vec<usize>,
    },
    /// An attempt arrives at an engine.
    Submit {
        engine: usize,
        dispatch: Box<Dispatch>,
    },
    /// A request to resume a stream arrives at an engine.
    Resume {
        engine: usize,
        from: NodeIncarnation,
        request: RequestId,
        attempt: AttemptId,
        incarnation: Incarnation,
        next: u32,
    },
    /// A cancellation arrives at an engine.
    Cancel {
        engine: usize,
        attempt: AttemptId,
    },
    /// An event of a model request arrives at its node.
    Request {
        to: NodeIncarnation,
        request: RequestId,
        event: Box<RequestEvent>,
    },
    /// A timer of a model request fires.
    RequestTimer {
        to: NodeIncarnation,
        request: RequestId,
    },
    /// An order arrives at an engine.
    Order {
        engine: usize,
        from: NodeIncarnation,
        order: Order,
    },
    /// An engine's answer to an order arrives.
    OrderDone {
        to: NodeIncarnation,
        engine: usize,
        order: String,
        result: Result<OrderResult, EngineRefusal>,
    },
    /// A claim message arrives at a replica.
    Claim {
        to: NodeIncarnation,
        from: NodeIncarnation,
        owner: AttemptId,
        message: ClaimMessage,
    },
    /// A replica's answer arrives.
    ClaimReply {
        to: NodeIncarnation,
        replica: usize,
        owner: AttemptId,
        is_claim: bool,
        reply: ClaimReply,
    },
    /// A timer of a claimed request fires.
    ClaimTimer {
        to: NodeIncarnation,
        owner: AttemptId,
    },
    /// A booking arrives at a booking instance.
    Booking {
        instance: usize,
        from: NodeIncarnation,
        owner: AttemptId,
        number: u32,
    },
    /// The reply of a booking instance arrives.
    BookingReply {
        to: NodeIncarnation,
        owner: AttemptId,
        answer: Result<String, String>,
    },
    /// A dispatch of a booking times out.
    BookingTimeout {
        to: NodeIncarnation,
        owner: AttemptId,
        number: u32,
    },
    /// A caller sends a model request.
    SendModelRequest {
        number: u32,
        node: Option<usize>,
    },
    /// A caller sends a booking for the first time, or retries it.
    SendBooking {
        key: String,
        attempt: usize,
    },
    /// A booking attempt ends or times out at its caller.
    BookingEnded {
        key: String,
        attempt: usize,
        ending: Option<ClaimOutcome>,
    },
    /// An operator submits a change.
    SubmitChange {
        node: usize,
        request: Box<ChangeRequest>,
    },
    /// Two operators submit conflicting changes.
    RaceOperators {
        fault: usize,
    },
    /// A stopping node ends if it has no requests left.
    EndWhenIdle(usize),
    FaultBegin(usize),
    FaultEnd(usize),
    Start(usize),
    /// A crashed engine restarts.
    EngineStart(usize),
    /// The invariants of all nodes are checked.
    CheckNodes,
}

impl Event {
    /// The node incarnation that handles the event.
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
