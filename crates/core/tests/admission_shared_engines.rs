//! Many nodes that share engines: short queues at the engines, even shares, and fairness between tenants.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use paddlemount_core::admission::{
    Admission, AdmissionAction, AdmissionEvent, AdmissionRequest, AdmissionSettings,
};
use paddlemount_protocol::{
    engine::Priority,
    identity::{PoolId, RequestId, TenantId},
    time::Timestamp,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const STEP: Duration = Duration::from_millis(10);

struct Sent {
    node: usize,
    ticket: RequestId,
    tenant: usize,
    priority: Priority,
    arrived: Timestamp,
    sent: Timestamp,
    ends: Timestamp,
}

/// One pool whose engines serve `slots` requests at once and queue the others by priority.
struct World {
    nodes: Vec<Admission>,
    slots: usize,
    queue: VecDeque<Sent>,
    running: Vec<Sent>,
    arrivals: BTreeMap<RequestId, (usize, Timestamp)>,
    random: StdRng,
    now: Timestamp,
    /// Waiting times from arrival to the batch in milliseconds, by tenant.
    waits: Vec<Vec<u64>>,
    completed: usize,
    refused: usize,
    queue_steps: usize,
}

impl World {
    fn new(nodes: usize, slots: usize, tenants: usize) -> Self {
        let now = Timestamp::from_millis(1_000);
        let node = || {
            let mut admission = Admission::new(AdmissionSettings::default());
            let pool = PoolId::from("pool");
            let event = AdmissionEvent::Pool { pool, slots: slots as u32, nodes: nodes as u32 };
            admission.apply(event, now);
            admission
        };
        Self {
            nodes: (0..nodes).map(|_| node()).collect(),
            slots,
            queue: VecDeque::new(),
            running: Vec::new(),
            arrivals: BTreeMap::new(),
            random: StdRng::seed_from_u64(11),
            now,
            waits: vec![Vec::new(); tenants],
            completed: 0,
            refused: 0,
            queue_steps: 0,
        }
    }

    /// Runs for `seconds` with `rates` of requests per second by tenant, each at a random node.
    fn run(&mut self, seconds: u64, rates: &[f64]) {
        for _ in 0..seconds * 100 {
            self.now = self.now + STEP;
            for (tenant, rate) in rates.iter().enumerate() {
                let expected = rate * STEP.as_secs_f64();
                let count = expected as usize + usize::from(self.random.random_bool(expected.fract()));
                (0..count).for_each(|_| self.arrive(tenant));
            }
            self.serve();
            self.queue_steps += self.queue.len();
            for node in 0..self.nodes.len() {
                self.apply(node, AdmissionEvent::Tick);
            }
        }
    }

    fn arrive(&mut self, tenant: usize) {
        let ticket = RequestId::from(format!("{}-{}", self.arrivals.len(), tenant));
        self.arrivals.insert(ticket.clone(), (tenant, self.now));
        let request = AdmissionRequest {
            ticket,
            pool: PoolId::from("pool"),
            tenant: TenantId::from(format!("tenant-{tenant}")),
            weight: 1,
            rank: 0,
            slots: 1,
            priority: Priority::Normal,
            cost: 1_000,
            predicted_start: Duration::ZERO,
            deadline: None,
            due: None,
            late: None,
        };
        let node = self.random.random_range(0..self.nodes.len());
        self.apply(node, AdmissionEvent::Submit(request));
    }

    fn apply(&mut self, node: usize, event: AdmissionEvent) {
        for action in self.nodes[node].apply(event, self.now) {
            match action {
                AdmissionAction::Run { ticket, priority, .. } => {
                    let (tenant, arrived) = self.arrivals[&ticket];
                    let (sent, ends) = (self.now, self.now);
                    self.queue.push_back(Sent { node, ticket, tenant, priority, arrived, sent, ends });
                }
                AdmissionAction::Refuse { .. } => self.refused += 1,
            }
        }
    }

    fn serve(&mut self) {
        let now = self.now;
        let (ended, running) = self.running.drain(..).partition(|sent| sent.ends <= now);
        self.running = running;
        for sent in ended {
            self.completed += 1;
            self.apply(sent.node, AdmissionEvent::Ended { ticket: sent.ticket });
        }
        while self.running.len() < self.slots
            && let Some(first) = self.queue.iter().map(|sent| sent.priority).max()
            && let Some(position) = self.queue.iter().position(|sent| sent.priority == first)
            && let Some(mut sent) = self.queue.remove(position)
        {
            let service = Duration::from_millis(self.random.random_range(500..1_500));
            sent.ends = now + service;
            self.waits[sent.tenant].push(now.saturating_since(sent.arrived).as_millis() as u64);
            let queueing = now.saturating_since(sent.sent);
            self.apply(sent.node, AdmissionEvent::FirstToken { ticket: sent.ticket.clone(), queueing });
            self.running.push(sent);
        }
    }

    fn p99_wait(&mut self, tenant: usize) -> u64 {
        let waits = &mut self.waits[tenant];
        waits.sort_unstable();
        waits[waits.len() * 99 / 100]
    }

    fn limits(&self) -> Vec<f64> {
        let view = |node: &Admission| node.view(&PoolId::from("pool")).expect("the pool is known");
        self.nodes.iter().map(|node| f64::from(view(node).limit)).collect()
    }
}

#[test]
fn queues_at_the_engines_stay_short_and_the_engines_stay_busy_under_overload() {
    for (nodes, slots) in [(3, 192), (16, 192)] {
        let mut world = World::new(nodes, slots, 1);
        let capacity = slots as f64;
        world.run(60, &[capacity * 1.5]);
        let at_engines = world.queue_steps as f64 / 6_000.0;
        let goodput = world.completed as f64 / (capacity * 60.0);
        let limits = world.limits();
        let sum: f64 = limits.iter().sum();
        let jain = sum * sum / (limits.len() as f64 * limits.iter().map(|limit| limit * limit).sum::<f64>());
        println!(
            "{nodes} nodes: {at_engines:.1} queued at engines on average, goodput {goodput:.3}, fairness {jain:.3}"
        );
        assert!(at_engines <= 0.25 * capacity, "{at_engines}");
        assert!(goodput >= 0.95, "{goodput}");
        assert!(jain >= 0.9, "limits {limits:?}");
        assert!(world.refused > 0);
    }
}

#[test]
fn a_tenant_that_offers_ten_times_its_share_does_not_slow_the_others() {
    // Seven tenants use three quarters of an even share each; the eighth offers ten even shares.
    let share = 192.0 / 8.0;
    let small = [0.75 * share; 7];
    let mut calm = World::new(3, 192, 8);
    calm.run(60, &small);
    let mut flooded = World::new(3, 192, 8);
    flooded.run(60, &[&small[..], &[10.0 * share]].concat());
    let (before, after) = (calm.p99_wait(0), flooded.p99_wait(0));
    let goodput = flooded.completed as f64 / (192.0 * 60.0);
    println!(
        "p99 wait of a small tenant: {before} ms alone, {after} ms beside the flood; goodput {goodput:.3}"
    );
    assert!(goodput >= 0.95, "{goodput}");
    assert!(after <= before + 250, "{after} ms, {before} ms alone");
}

#[test]
fn nodes_that_restart_together_do_not_overload_the_engines() {
    let mut world = World::new(16, 192, 1);
    world.run(3, &[1_000.0]);
    let in_flight = world.queue.len() + world.running.len();
    assert!(in_flight <= 2 * 192, "{in_flight} in flight for 192 slots");
}
