//! Lease and fence: once an engine has obeyed a lease holder, no order of an earlier holder takes effect.
//!
//! Two nodes request one lease from the store and send orders to one engine. Calls and orders are delayed,
//! replies are lost, and nodes pause, which equals a delay of their messages. The engine may restart and lose
//! its fence. The store may be restored from an older backup, without the lease, and then reuses revisions.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use paddlemount_core::lease::{LeaseEvent, LeaseHolder, LeaseRequest, LeaseSettings};
use paddlemount_protocol::{
    era::StoreEra,
    identity::{FencingToken, Incarnation, NodeId, Revision},
    platform::LeaseResult,
    time::Timestamp,
};

use crate::search::{Specification, Step};

const NODES: usize = 2;
const TTL_SECONDS: u64 = 2;

/// A deliberate fault that the search must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseFault {
    None,
    /// The engine obeys orders regardless of their token.
    NoFence,
    /// The engine obeys orders for any of its incarnations.
    OrdersForAnyIncarnation,
    /// Tokens are the store's numbers without its era.
    TokensWithoutEra,
}

/// The bounds of the search, and the fault.
#[derive(Clone, Copy, Debug)]
pub struct LeaseSpecification {
    pub fault: LeaseFault,
    /// The last second of the model's clock.
    pub last_second: u64,
    /// The maximum number of orders of each node.
    pub orders: u8,
    /// The maximum number of engine restarts.
    pub restarts: u8,
    /// The maximum number of store restores.
    pub restores: u8,
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseState {
    second: u64,
    store: Store,
    nodes: Vec<Node>,
    orders: BTreeSet<Order>,
    engine: Engine,
    restarts: u8,
    restores: u8,
    /// The node that was granted each token; read only by the invariant.
    granted: BTreeMap<FencingToken, usize>,
    violated: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Store {
    era: StoreEra,
    /// The number of the last grant to a new holder.
    number: u64,
    /// The node that holds the lease, and the second at which the lease expires.
    holder: Option<(usize, u64)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    holder: LeaseHolder,
    call: Option<LeaseRequest>,
    /// The store's answer and its era.
    reply: Option<(LeaseResult, StoreEra)>,
    /// The latest era that the node has observed.
    era: StoreEra,
    /// The engine's incarnation as known to the node.
    incarnation: Incarnation,
    orders_sent: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Order {
    node: usize,
    token: FencingToken,
    incarnation: Incarnation,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Engine {
    incarnation: Incarnation,
    fence: FencingToken,
    /// The highest token obeyed in any incarnation; read only by the invariant.
    obeyed: FencingToken,
}

impl LeaseSpecification {
    /// Bounds with which the search takes seconds.
    pub const fn with_fault(fault: LeaseFault) -> Self {
        Self { fault, last_second: 3, orders: 2, restarts: 1, restores: 0 }
    }

    /// Bounds with which the store is restored once.
    pub const fn with_restore(fault: LeaseFault) -> Self {
        Self { fault, last_second: 2, orders: 1, restarts: 0, restores: 1 }
    }

    /// The store is restored from a backup in which the lease was free and the last number was `number`.
    fn restore(&self, state: &LeaseState, number: u64) -> Step<LeaseState> {
        let mut next = state.clone();
        next.restores += 1;
        let era = if self.fault == LeaseFault::TokensWithoutEra { 0 } else { state.store.era.0 + 1 };
        next.store = Store { era: StoreEra(era), number, holder: None };
        Step { label: format!("the store is restored from a backup that ends with {number}"), state: next }
    }

    fn obey(&self, state: &LeaseState, order: Order) -> Step<LeaseState> {
        let mut next = state.clone();
        next.orders.remove(&order);
        let engine = &mut next.engine;
        let fenced = self.fault != LeaseFault::NoFence && order.token < engine.fence;
        let other_incarnation =
            self.fault != LeaseFault::OrdersForAnyIncarnation && order.incarnation != engine.incarnation;
        let label = format!("the order of node {} under token {} arrives", order.node, order.token);
        if fenced {
            next.nodes[order.node].holder.handle(LeaseEvent::Fenced, state.now());
        } else if !other_incarnation {
            next.violated |= order.token < engine.obeyed;
            engine.fence = engine.fence.max(order.token);
            engine.obeyed = engine.obeyed.max(order.token);
        }
        Step { label, state: next }
    }
}

impl LeaseState {
    fn now(&self) -> Timestamp {
        Timestamp::from_millis(1_000 * self.second)
    }

    fn serve(&mut self, node: usize, request: &LeaseRequest) -> LeaseResult {
        let (second, store) = (self.second, &mut self.store);
        let holder = store.holder.filter(|(_, until)| *until > second);
        let until = second + TTL_SECONDS;
        let held = |token| LeaseResult::Held { token, ttl_ms: 1_000 * TTL_SECONDS };
        match (request, holder) {
            (LeaseRequest::Acquire(_), Some((other, until))) if other != node => LeaseResult::HeldByOther {
                holder: NodeId::from(other.to_string()),
                remaining_ms: 1_000 * (until - second),
            },
            (LeaseRequest::Acquire(_), held_before) => {
                store.number += u64::from(held_before.is_none());
                store.holder = Some((node, until));
                let token = store.token();
                self.violated |= *self.granted.entry(token).or_insert(node) != node;
                held(token)
            }
            (LeaseRequest::Renew(renew), Some((other, _)))
                if other == node && renew.token == store.token() =>
            {
                store.holder = Some((node, until));
                held(store.token())
            }
            _ => LeaseResult::NotHeld,
        }
    }

    fn node_steps(&self, node: usize, orders: u8) -> Vec<Step<Self>> {
        let mut steps = Vec::new();
        let mut push = |label: String, state: Self| steps.push(Step { label, state });
        let view = &self.nodes[node];
        if let Some(request) = &view.call {
            let mut answered = self.clone();
            let reply = answered.serve(node, request);
            answered.nodes[node].call = None;
            let mut lost = answered.clone();
            answered.nodes[node].reply = Some((reply.clone(), self.store.era));
            push(format!("the store answers node {node}: {reply:?}"), answered);
            lost.nodes[node].holder.handle(LeaseEvent::Failed, self.now());
            push(format!("the store's answer to node {node} is lost"), lost);
        }
        if let Some((reply, era)) = &view.reply {
            let mut next = self.clone();
            next.nodes[node].reply = None;
            if view.era < *era {
                // A lease of an earlier era may no longer exist.
                next.nodes[node].era = *era;
                next.nodes[node].holder = new_holder(node, self.now());
            }
            next.nodes[node].incarnation = self.engine.incarnation;
            next.nodes[node].holder.handle(LeaseEvent::Answered(reply.clone()), self.now());
            push(format!("node {node} receives the answer"), next);
        }
        let mut requesting = self.clone();
        if let Some(request) = requesting.nodes[node].holder.handle(LeaseEvent::Tick, self.now()) {
            requesting.nodes[node].call = Some(request);
            push(format!("node {node} requests the lease"), requesting);
        }
        if let Some(token) = view.holder.token(self.now()).filter(|_| view.orders_sent < orders) {
            let mut next = self.clone();
            next.nodes[node].orders_sent += 1;
            next.orders.insert(Order { node, token, incarnation: view.incarnation });
            push(format!("node {node} sends an order under token {token}"), next);
        }
        steps
    }

    fn restart_engine(&self) -> Step<Self> {
        let mut next = self.clone();
        next.restarts += 1;
        next.engine.incarnation = self.engine.incarnation.next();
        next.engine.fence = FencingToken(0);
        Step { label: "the engine restarts and loses its fence".to_owned(), state: next }
    }
}

impl Store {
    const fn token(&self) -> FencingToken {
        FencingToken(Revision::in_era(self.era, self.number).0)
    }
}

fn new_holder(node: usize, now: Timestamp) -> LeaseHolder {
    let settings = LeaseSettings {
        name: "placement".to_owned(),
        holder: NodeId::from(node.to_string()),
        ttl: Duration::from_secs(TTL_SECONDS),
    };
    LeaseHolder::new(settings, now)
}

impl Specification for LeaseSpecification {
    type State = LeaseState;

    fn initial(&self) -> LeaseState {
        let node = |number: usize| Node {
            holder: new_holder(number, Timestamp::ZERO),
            call: None,
            reply: None,
            era: StoreEra::default(),
            incarnation: Incarnation(1),
            orders_sent: 0,
        };
        LeaseState {
            second: 0,
            store: Store { era: StoreEra::default(), number: 0, holder: None },
            nodes: (0..NODES).map(node).collect(),
            orders: BTreeSet::new(),
            engine: Engine { incarnation: Incarnation(1), fence: FencingToken(0), obeyed: FencingToken(0) },
            restarts: 0,
            restores: 0,
            granted: BTreeMap::new(),
            violated: false,
        }
    }

    fn steps(&self, state: &LeaseState) -> Vec<Step<LeaseState>> {
        let mut steps: Vec<_> = (0..NODES).flat_map(|node| state.node_steps(node, self.orders)).collect();
        steps.extend(state.orders.iter().map(|order| self.obey(state, *order)));
        if state.restarts < self.restarts {
            steps.push(state.restart_engine());
        }
        if state.restores < self.restores {
            steps.extend((0..state.store.number).map(|number| self.restore(state, number)));
        }
        if state.second < self.last_second {
            let mut next = state.clone();
            next.second += 1;
            steps.push(Step { label: "a second passes".to_owned(), state: next });
        }
        steps
    }

    fn violation(&self, state: &LeaseState) -> Option<&'static str> {
        let violation = "no order of an earlier holder takes effect after one of a later holder, and no two holders have one token";
        state.violated.then_some(violation)
    }
}
