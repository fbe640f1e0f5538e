//! Admission by the room of a pool: its division among many nodes that act on old figures, and the order in
//! which requests wait.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use paddlemount_core::{
    admission::{
        Admission, AdmissionAction, AdmissionEvent, AdmissionRequest, AdmissionSettings,
        ranked::FLOOR_INTERVAL,
    },
    forwarding::{
        demand::Demand,
        room::{self, ConnectionUse, Contention, DemandShare, Target, request_slots, retry_after},
    },
};
use paddlemount_protocol::{
    engine::Priority,
    fleet::PoolDemand,
    identity::{NodeId, PoolId, RequestId, ServiceId, TenantId},
    time::Timestamp,
};

const START: Timestamp = Timestamp::from_millis(1_000_000);

fn at(milliseconds: u64) -> Timestamp {
    START + Duration::from_millis(milliseconds)
}

fn pool() -> PoolId {
    PoolId::from("engines")
}

fn service() -> ServiceId {
    ServiceId::from("engines")
}

fn admission(slots: u32) -> Admission {
    let settings =
        AdmissionSettings { reserved_fraction: 0.0, refuse_early: true, ..AdmissionSettings::default() };
    let mut admission = Admission::new(settings);
    admission.apply(AdmissionEvent::Limit { pool: pool(), slots }, START);
    admission
}

fn request(ticket: &str, rank: u8, arrived: Timestamp) -> AdmissionRequest {
    AdmissionRequest {
        ticket: RequestId::from(ticket),
        pool: pool(),
        tenant: TenantId::from("tenant"),
        weight: 1,
        rank,
        priority: Priority::Normal,
        slots: 1,
        cost: 1,
        predicted_start: Duration::from_millis(100),
        deadline: Some(arrived + Duration::from_millis(1_000)),
        due: Some(arrived + Duration::from_secs(5)),
        late: None,
    }
}

fn submit(admission: &mut Admission, request: AdmissionRequest, now: Timestamp) -> Vec<AdmissionAction> {
    admission.apply(AdmissionEvent::Submit(request), now)
}

fn started(actions: &[AdmissionAction]) -> Vec<&str> {
    let run = |action: &AdmissionAction| matches!(action, AdmissionAction::Run { .. });
    assert!(actions.iter().all(run), "{actions:?}");
    actions.iter().filter_map(ticket_of_run).collect()
}

fn ticket_of_run(action: &AdmissionAction) -> Option<&str> {
    match action {
        AdmissionAction::Run { ticket, .. } => Some(ticket.as_str()),
        AdmissionAction::Refuse { .. } => None,
    }
}

/// Nodes before one pool of engines, each with figures of the others that are half a second old.
struct Nodes {
    nodes: Vec<(Admission, Demand, Option<Contention>)>,
    running: BTreeMap<(u64, u64), usize>,
    in_flight: usize,
    last_ticket: u64,
    /// Past figures, the oldest first: the demand of all nodes, and their requests in flight.
    figures: VecDeque<(f64, usize)>,
    arrears: Vec<f64>,
    rejected: usize,
}

const NODES: usize = 75;
/// 45 engines with 32 slots.
const SLOTS: u64 = 1_440;
/// The time that a request occupies a slot.
const SERVICE_MS: u64 = 300;
const STEP_MS: u64 = 20;
/// Reports pass three levels, five times a second each way.
const FIGURES_AGE_STEPS: usize = 25;

impl Nodes {
    fn new() -> Self {
        let node = || (admission(1), Demand::default(), None);
        Self {
            nodes: (0..NODES).map(|_| node()).collect(),
            running: BTreeMap::new(),
            in_flight: 0,
            last_ticket: 0,
            figures: VecDeque::new(),
            arrears: (0..NODES).map(|node| node as f64 / NODES as f64).collect(),
            rejected: 0,
        }
    }

    /// Plays one step with callers that demand `load` times the pool's slots, unevenly over the nodes.
    fn step(&mut self, now: Timestamp, load: f64, is_connected: bool) {
        let known = self.figures.front().copied().filter(|_| is_connected);
        let ended: Vec<(u64, u64)> = self.running.range(..=(now.0, u64::MAX)).map(|(key, _)| *key).collect();
        for key in ended {
            let node = self.running.remove(&key).unwrap();
            self.in_flight -= 1;
            let ticket = RequestId::from(key.1.to_string());
            let actions = self.nodes[node].0.apply(AdmissionEvent::Ended { ticket }, now);
            self.count(node, actions, now);
        }
        let rate = load * SLOTS as f64 / (SERVICE_MS as f64 / 1_000.0) / NODES as f64;
        for node in 0..NODES {
            self.set_limit(node, known, now);
            // A third of the nodes has three times the callers of another third.
            let part = 0.5 + 0.5 * (node % 3) as f64;
            self.arrears[node] += rate * part * STEP_MS as f64 / 1_000.0;
            while self.arrears[node] >= 1.0 {
                self.arrears[node] -= 1.0;
                self.arrive(node, now);
            }
            let actions = self.nodes[node].0.apply(AdmissionEvent::Tick, now);
            self.count(node, actions, now);
        }
        let demand = self.nodes.iter().map(|(_, demand, _)| demand.own_slots(&service(), now)).sum();
        self.figures.push_back((demand, self.in_flight));
        if self.figures.len() > FIGURES_AGE_STEPS {
            self.figures.pop_front();
        }
    }

    fn set_limit(&mut self, node: usize, known: Option<(f64, usize)>, now: Timestamp) {
        let (admission, demand, contention) = &mut self.nodes[node];
        let room = room::room(SLOTS);
        let own = demand.own_slots(&service(), now);
        let share = room::share(room, known.map(|(total, _)| DemandShare { own, total }), NODES as u32);
        let contention = known.map(|(_, in_flight)| {
            let measured = in_flight as f64 / room;
            let contention = contention.get_or_insert(Contention::new(measured, now));
            contention.record(measured, now);
            contention.value()
        });
        let slots = room::limit(share, contention);
        let actions = admission.apply(AdmissionEvent::Limit { pool: pool(), slots }, now);
        self.count(node, actions, now);
    }

    fn arrive(&mut self, node: usize, now: Timestamp) {
        self.last_ticket += 1;
        let (admission, demand, _) = &mut self.nodes[node];
        demand.record(&service(), SERVICE_MS as f64 / 1_000.0, 0, now);
        let actions = submit(admission, request(&self.last_ticket.to_string(), 0, now), now);
        self.count(node, actions, now);
    }

    fn count(&mut self, node: usize, actions: Vec<AdmissionAction>, now: Timestamp) {
        for action in actions {
            match ticket_of_run(&action) {
                Some(ticket) => {
                    let ends_at = now + Duration::from_millis(SERVICE_MS);
                    self.running.insert((ends_at.0, ticket.parse().unwrap()), node);
                    self.in_flight += 1;
                }
                None => self.rejected += 1,
            }
        }
    }

    /// Plays from `from` to `to` in milliseconds, and returns the requests in flight after each step relative
    /// to the room.
    fn play(&mut self, from: u64, to: u64, load: f64, is_connected: bool) -> Vec<f64> {
        let steps = (from..to).step_by(STEP_MS as usize);
        let play = |milliseconds| {
            self.step(at(milliseconds), load, is_connected);
            self.in_flight as f64 / room::room(SLOTS)
        };
        steps.map(play).collect()
    }
}

fn range(values: &[f64]) -> (f64, f64) {
    values.iter().fold((f64::MAX, f64::MIN), |(low, high), value| (low.min(*value), high.max(*value)))
}

/// Callers need that engines do not queue what nodes could hold back in order, and that no caller is turned
/// away while engines are free: 1.7 times the usual load comes at once, above the room.
#[test]
fn nodes_with_old_figures_keep_to_the_room_in_a_burst_and_settle() {
    let mut nodes = Nodes::new();
    nodes.play(0, 4_000, 0.7, true);
    assert_eq!(nodes.rejected, 0, "nobody is rejected while a third of the room is free");
    let burst = nodes.play(4_000, 12_000, 1.7 * 0.7, true);
    let (_, highest) = range(&burst);
    println!("burst {highest:.3}, settled {:?}, rejected {}", range(&burst[100..]), nodes.rejected);
    // What engines queue beyond a full batch delays a first event by this part of a service time.
    assert!(highest <= 1.2, "{highest} of the room");
    // After two seconds, four times the age of the figures, the room is used and does not swing.
    let (low, high) = range(&burst[100..]);
    assert!(low >= 0.9 && high <= 1.1, "{low} to {high} of the room");
    assert!(nodes.rejected > 0);
    // The backlog of the burst is served first. Nobody is rejected while a fifth of the room is free, with
    // figures that lag by their age and smoothing.
    for step in (12_000..16_000).step_by(STEP_MS as usize) {
        let before = nodes.rejected;
        let used = nodes.play(step, step + STEP_MS, 0.7, true)[0];
        assert!(nodes.rejected == before || used > 0.8, "rejected at {used} of the room, at {step} ms");
    }
    let after = nodes.rejected;
    nodes.play(16_000, 18_000, 0.7, true);
    assert_eq!(nodes.rejected, after);
}

/// Nodes that hear nothing of the others keep to even shares, so that the engines are not overrun.
#[test]
fn nodes_that_are_cut_off_stay_within_the_room() {
    let mut nodes = Nodes::new();
    nodes.play(0, 3_000, 0.7, true);
    let cut_off = nodes.play(3_000, 8_000, 1.7 * 0.7, false);
    let (low, high) = range(&cut_off[25..]);
    println!("cut off {low:.3} to {high:.3}");
    // Rounding a share of 21 slots adds at most a fortieth.
    assert!(high <= 1.05 && low >= 0.7, "{low} to {high} of the room");
}

#[test]
fn urgent_requests_go_first_and_the_others_are_not_starved() {
    let mut admission = admission(1);
    submit(&mut admission, request("running", 0, START), START);
    let mut running = "running".to_owned();
    let patient = AdmissionRequest { deadline: None, ..request("patient", 2, START) };
    submit(&mut admission, patient, START);
    let mut starts = 0;
    while running != "patient" {
        assert!(starts <= FLOOR_INTERVAL, "a waiting rank gets one of {FLOOR_INTERVAL} starts");
        let urgent = AdmissionRequest { deadline: None, ..request(&format!("urgent {starts}"), 0, START) };
        submit(&mut admission, urgent, START);
        let ended = AdmissionEvent::Ended { ticket: RequestId::from(running.as_str()) };
        running = started(&admission.apply(ended, at(1)))[0].to_owned();
        starts += 1;
    }
    assert_eq!(starts, FLOOR_INTERVAL + 1, "urgent requests go first until then");
}

#[test]
fn a_caller_that_comes_back_with_less_time_goes_first() {
    let mut admission = admission(1);
    submit(&mut admission, request("running", 0, START), START);
    submit(&mut admission, request("new", 0, START), START);
    let back = AdmissionRequest { due: Some(at(3_000)), ..request("back", 0, START) };
    submit(&mut admission, back, START);
    let ended = AdmissionEvent::Ended { ticket: RequestId::from("running") };
    assert_eq!(started(&admission.apply(ended, at(10))), ["back"]);
}

#[test]
fn a_waiting_request_is_rejected_as_soon_as_it_cannot_begin_in_time() {
    let mut admission = admission(4);
    for ticket in ["a", "b", "c", "d"] {
        submit(&mut admission, request(ticket, 0, START), START);
    }
    let ended = AdmissionEvent::Ended { ticket: RequestId::from("a") };
    admission.apply(ended, at(400));
    submit(&mut admission, request("e", 0, at(400)), at(400));
    assert!(submit(&mut admission, request("waiting", 0, at(400)), at(400)).is_empty());
    // The engines that are left have no room for this node: its turn comes in two seconds, not in a tenth.
    admission.apply(AdmissionEvent::Limit { pool: pool(), slots: 1 }, at(410));
    let actions = admission.apply(AdmissionEvent::Tick, at(420));
    assert!(matches!(&actions[..], [AdmissionAction::Refuse { .. }]), "{actions:?}");
}

#[test]
fn large_requests_hold_the_slots_that_their_cache_takes() {
    // 160,000 tokens of cache for 32 requests: 5,000 each.
    assert_eq!(request_slots(380, 32, 160_000), 1);
    assert_eq!(request_slots(17_000, 32, 160_000), 3);
    assert_eq!(request_slots(1_000_000, 32, 160_000), 32);
    assert_eq!(request_slots(17_000, 32, 0), 1, "the cache is not stated");
    let mut admission = admission(4);
    let large = AdmissionRequest { slots: 3, ..request("large", 0, START) };
    submit(&mut admission, large, START);
    assert_eq!(started(&submit(&mut admission, request("small", 0, START), START)), ["small"]);
    assert!(submit(&mut admission, request("waiting", 0, START), START).is_empty());
    let ended = AdmissionEvent::Ended { ticket: RequestId::from("large") };
    assert_eq!(started(&admission.apply(ended, at(10))), ["waiting"]);
}

/// A configuration may name any number of slots.
#[test]
fn the_slots_of_requests_in_flight_do_not_overflow() {
    assert!(request_slots(u64::MAX, u32::MAX, 1) <= 1 << 16, "no engine runs more at once");
    let mut admission = admission(u32::MAX);
    for ticket in ["first", "second", "third"] {
        let large = AdmissionRequest { slots: 3_000_000_000, ..request(ticket, 0, START) };
        submit(&mut admission, large, START);
    }
    for ticket in ["first", "second", "third"] {
        admission.apply(AdmissionEvent::Ended { ticket: RequestId::from(ticket) }, at(10));
    }
    assert_eq!(started(&submit(&mut admission, request("small", 0, at(20)), at(20))), ["small"]);
}

#[test]
fn rejected_callers_come_back_spread_and_while_they_can_be_served() {
    let (turn, left) = (Duration::from_millis(800), Duration::from_secs(9));
    let draws = [0.0, 0.5, 1.0].map(|draw| retry_after(turn, left, draw));
    assert!(draws.is_sorted() && draws[0] >= turn && draws[2] > draws[0], "{draws:?}");
    // A turn that is later than a caller waits: it comes at a time that it heeds, and not with all others.
    let draws = [0.0, 0.5, 1.0].map(|draw| retry_after(turn, Duration::from_millis(1_500), draw));
    assert!(draws.iter().all(|after| *after <= Duration::from_millis(500)), "{draws:?}");
    assert!(draws[0] > draws[1] && draws[1] > draws[2]);
}

#[test]
fn a_request_that_is_late_anyway_starts_if_there_is_room_and_does_not_wait() {
    let target = Target {
        arrived: START,
        latency: Duration::from_millis(800),
        deadline: at(10_000),
        has_returned: false,
    };
    let by = |expected: u64, now| target.first_event_by(Duration::from_millis(expected), now);
    assert_eq!(by(300, START), at(800), "in time");
    assert_eq!(by(800, START), at(800), "just in time without a wait");
    assert_eq!(by(800, at(100)), at(900), "late in any case: now or not at all");
    assert_eq!(by(800, at(9_900)), at(10_000), "never past its deadline");
    assert_eq!(target.bounded(Duration::from_secs(20), at(9_900)), Duration::from_millis(100));
}

fn demand(slots: f64) -> Vec<PoolDemand> {
    vec![PoolDemand { service: service(), slots, long_prompt_tokens: 0.0 }]
}

#[test]
fn demands_are_summed_up_the_tree_and_expire_with_lost_reports() {
    let mut root = Demand::default();
    root.tick(true, START);
    root.record(&service(), 2.0, 0, at(2_500));
    root.record_report(NodeId::from("child"), demand(40.0), at(2_500));
    assert_eq!(root.total(&service(), at(1_500)), None, "a new root has too few reports");
    root.tick(true, at(2_500));
    let total = root.total(&service(), at(2_500)).unwrap();
    assert!((total.slots - 42.0).abs() < 1e-6, "{total:?}");
    root.tick(true, at(4_100));
    let total = root.total(&service(), at(4_100)).unwrap();
    assert!(total.slots < 2.0, "the child has not reported for 1.6 s: {total:?}");
    let mut child = Demand::default();
    child.record_total(demand(42.0), START);
    assert_eq!(child.total(&service(), at(1_000)).map(|total| total.slots), Some(42.0));
    assert_eq!(child.total(&service(), at(1_600)), None);
    let broken = PoolDemand { slots: f64::NAN, ..demand(0.0).remove(0) };
    root.record_report(NodeId::from("child"), vec![broken], at(4_100));
    assert!(root.total(&service(), at(4_100)).unwrap().slots.is_finite());
}

/// Nodes that have just started have heard of no other: engines stand idle, and nobody may be held back.
#[test]
fn a_node_is_limited_only_once_it_knows_of_the_fleet() {
    assert!(!room::knows_fleet(None, None));
    assert!(room::knows_fleet(None, Some(75)), "a node that is cut off keeps to its even share");
    assert!(room::knows_fleet(Some(DemandShare { own: 1.0, total: 75.0 }), None));
}

#[test]
fn a_share_of_the_demand_counts_as_settled_once_it_has_lasted() {
    let mut node = Demand::default();
    node.record(&service(), 30.0, 0, START);
    for tick in 0..=15_u64 {
        let now = at(tick * 200);
        node.record(&service(), 6.0, 0, now);
        node.record_total(demand(40.0), now);
        node.tick(false, now);
        let is_settled = node.settled_share(&service(), now).is_some();
        assert_eq!(is_settled, tick >= 10, "after {} ms", tick * 200);
    }
    let (share, settled) = (node.share(&service()), node.settled_share(&service(), at(3_000)));
    assert!(settled <= share && share <= Some(1.0), "{settled:?} {share:?}");
    node.tick(false, at(9_000));
    assert_eq!(node.share(&service()), None, "the total is not known any more");
}

#[test]
fn a_node_exceeds_its_even_share_of_connections_only_by_what_others_leave() {
    let used = |own, total| ConnectionUse { own, total };
    assert!(room::may_connect(12, 4, used(3, 12), None), "its even share is its own");
    assert!(!room::may_connect(12, 4, used(4, 4), None), "the demand is unknown");
    assert!(room::may_connect(12, 4, used(4, 4), Some(0.9)));
    assert!(!room::may_connect(12, 4, used(4, 9), Some(0.9)), "others use them");
    assert!(!room::may_connect(12, 4, used(4, 4), Some(0.4)), "its callers need no more");
    assert_eq!(room::kept_connections(12, 0.0), 1);
    assert_eq!(room::kept_connections(12, 0.3), 4);
}
