//! Lease and fence: once an engine has obeyed a holder, no order of an earlier holder takes effect.
//!
//! Two nodes ask the store for one lease and send orders to one engine. Calls to the store and orders take any
//! time; replies may be lost; a node is paused at any point, which is the same as its messages being
//! late; the engine may restart and forget its fence. The store may come back from an older copy, without the lease and with
//! revisions that it gives out again.

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

/// What is deliberately wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseFault {
    /// Nothing.
    None,
    /// The engine obeys whatever the token is, trusting that only the holder sends orders.
    NoFence,
    /// Orders do not name the engine's life.
    OrdersForAnyLife,
    /// The store's own numbers are the tokens, whatever its era.
    NumbersAlone,
}

/// Bounds of the search, and what is broken.
#[derive(Clone, Copy, Debug)]
pub struct LeaseSpecification {
    /// What is deliberately wrong.
    pub fault: LeaseFault,
    /// The last second of the model's clock.
    pub last_second: u64,
    /// Orders that each node sends at most.
    pub orders: u8,
    /// Restarts of the engine.
    pub restarts: u8,
    /// Returns of the store from an older copy.
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
    /// Who was given each token; known to the judge only.
    granted: BTreeMap<FencingToken, usize>,
    broken: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Store {
    era: StoreEra,
    /// The number of the last change of holder.
    number: u64,
    holder: Option<(usize, u64)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    holder: LeaseHolder,
    call: Option<LeaseRequest>,
    /// The store's answer, and the era that it tells.
    reply: Option<(LeaseResult, StoreEra)>,
    /// The latest era that the node has heard of.
    era: StoreEra,
    /// The engine's life that the node knows of.
    life: Incarnation,
    sent: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Order {
    node: usize,
    token: FencingToken,
    life: Incarnation,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Engine {
    life: Incarnation,
    fence: FencingToken,
    /// The highest token that it obeyed in any life; known to the judge only.
    obeyed: FencingToken,
}

impl LeaseSpecification {
    /// Bounds under which the search takes seconds.
    pub const fn with_fault(fault: LeaseFault) -> Self {
        Self { fault, last_second: 3, orders: 2, restarts: 1, restores: 0 }
    }

    /// Bounds under which the store comes back from a copy once.
    pub const fn with_restore(fault: LeaseFault) -> Self {
        Self { fault, last_second: 2, orders: 1, restarts: 0, restores: 1 }
    }

    /// The store comes back from a copy in which the lease was free and the last number was `number`.
    fn restore(&self, state: &LeaseState, number: u64) -> Step<LeaseState> {
        let mut next = state.clone();
        next.restores += 1;
        let era = if self.fault == LeaseFault::NumbersAlone { 0 } else { state.store.era.0 + 1 };
        next.store = Store { era: StoreEra(era), number, holder: None };
        Step { label: format!("the store comes back from a copy that ends with {number}"), state: next }
    }

    fn obey(&self, state: &LeaseState, order: Order) -> Step<LeaseState> {
        let mut next = state.clone();
        next.orders.remove(&order);
        let engine = &mut next.engine;
        let fenced = self.fault != LeaseFault::NoFence && order.token < engine.fence;
        let other_life = self.fault != LeaseFault::OrdersForAnyLife && order.life != engine.life;
        let label = format!("the order of node {} under token {} arrives", order.node, order.token);
        if fenced {
            next.nodes[order.node].holder.handle(LeaseEvent::Fenced, state.now());
        } else if !other_life {
            next.broken |= order.token < engine.obeyed;
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
                self.broken |= *self.granted.entry(token).or_insert(node) != node;
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
                // What it held is not certain any more.
                next.nodes[node].era = *era;
                next.nodes[node].holder = new_holder(node, self.now());
            }
            next.nodes[node].life = self.engine.life;
            next.nodes[node].holder.handle(LeaseEvent::Answered(reply.clone()), self.now());
            push(format!("node {node} takes the answer"), next);
        }
        let mut asking = self.clone();
        if let Some(request) = asking.nodes[node].holder.handle(LeaseEvent::Tick, self.now()) {
            asking.nodes[node].call = Some(request);
            push(format!("node {node} asks for the lease"), asking);
        }
        if let Some(token) = view.holder.token(self.now()).filter(|_| view.sent < orders) {
            let mut next = self.clone();
            next.nodes[node].sent += 1;
            next.orders.insert(Order { node, token, life: view.life });
            push(format!("node {node} sends an order under token {token}"), next);
        }
        steps
    }

    fn restart_engine(&self) -> Step<Self> {
        let mut next = self.clone();
        next.restarts += 1;
        next.engine.life = self.engine.life.next();
        next.engine.fence = FencingToken(0);
        Step { label: "the engine restarts and forgets its fence".to_owned(), state: next }
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
            life: Incarnation(1),
            sent: 0,
        };
        LeaseState {
            second: 0,
            store: Store { era: StoreEra::default(), number: 0, holder: None },
            nodes: (0..NODES).map(node).collect(),
            orders: BTreeSet::new(),
            engine: Engine { life: Incarnation(1), fence: FencingToken(0), obeyed: FencingToken(0) },
            restarts: 0,
            restores: 0,
            granted: BTreeMap::new(),
            broken: false,
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
        let broken = "no order of an earlier holder takes effect after one of a later holder, and no two holders have one token";
        state.broken.then_some(broken)
    }
}
