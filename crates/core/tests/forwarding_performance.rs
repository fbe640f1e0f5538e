//! What nodes learn of engines from each other, without a network: trees of nodes exchange reports.

use std::time::Duration;

use paddlemount_core::forwarding::{
    choice::{Candidate, Chooser, Placement},
    performance::Performances,
    prompt::{Prompt, Segment, SegmentId},
};
use paddlemount_protocol::{
    fleet::{BackendProcess, EngineCondition},
    identity::{EngineId, ModelId, NodeId, WeightsVersion, ZoneId},
    time::Timestamp,
};

const ROUND: Duration = Duration::from_millis(200);
const START: Timestamp = Timestamp::from_millis(3_600_000);
const TYPICAL: Duration = Duration::from_millis(100);

fn engine(number: usize) -> BackendProcess {
    BackendProcess { id: EngineId::from(format!("engine-{number:03}").as_str()), started_at: Some(7) }
}

/// Nodes in a tree: the parent of node `i` is node `(i - 1) / fan_in`.
struct Tree {
    nodes: Vec<Performances>,
    fan_in: usize,
    /// Children whose next report is the first of its link.
    is_new: Vec<bool>,
    now: Timestamp,
    /// Bytes of all entries, and entries, in both directions.
    bytes: usize,
}

impl Tree {
    fn new(count: usize, fan_in: usize) -> Self {
        let mut nodes = vec![Performances::default(); count];
        nodes.iter_mut().for_each(|node| node.tick(count as u32, START));
        Self { nodes, fan_in, is_new: vec![true; count], now: START, bytes: 0 }
    }

    fn name(node: usize) -> NodeId {
        NodeId::from(format!("node-{node}").as_str())
    }

    /// One round: all nodes except those cut off report, and again at once if a condition has changed.
    /// Digests need a round for each level.
    fn round_without(&mut self, cut_off: &[usize]) {
        self.now = self.now + ROUND;
        for child in (1..self.nodes.len()).rev().filter(|child| !cut_off.contains(child)) {
            self.exchange(child);
            let mut node = child;
            while node > 0 && self.nodes[node].take_urgent(self.now) {
                self.exchange(node);
                node = (node - 1) / self.fan_in;
            }
        }
        let (count, now) = (self.nodes.len() as u32, self.now);
        self.nodes.iter_mut().for_each(|node| node.tick(count, now));
    }

    fn exchange(&mut self, child: usize) {
        let (parent, name) = ((child - 1) / self.fan_in, Self::name(child));
        let report = self.nodes[child].report(self.now);
        self.nodes[parent].receive_report(&name, self.is_new[child], &report, self.now);
        let digest = self.nodes[parent].digest_for(&name, self.now);
        self.is_new[child] = false;
        self.bytes += serde_json::to_vec(&report).expect("JSON").len();
        self.bytes += serde_json::to_vec(&digest).expect("JSON").len();
        self.nodes[child].receive_digest(&digest, self.now, self.now);
    }

    fn rounds(&mut self, count: usize) {
        (0..count).for_each(|_| self.round_without(&[]));
    }

    /// The number of nodes that may send to an engine, with evenly spread draws.
    fn senders(&self, engine: &BackendProcess) -> usize {
        let draw = |node: usize| (node as f64 + 0.5) / self.nodes.len() as f64;
        let nodes = self.nodes.iter().enumerate();
        nodes.filter(|(number, node)| node.may_send(engine, draw(*number), self.now)).count()
    }

    fn condition(&self, node: usize, engine: &BackendProcess) -> EngineCondition {
        self.nodes[node].profile(engine, self.now).condition
    }

    fn measure(&mut self, node: usize, engine: &BackendProcess, ratio: f64) {
        self.nodes[node].record_first_event(engine, TYPICAL, TYPICAL.mul_f64(ratio), self.now);
    }
}

#[test]
fn every_node_learns_the_speed_of_an_engine_and_counts_each_measurement_once() {
    let mut tree = Tree::new(40, 3);
    for node in 0..40 {
        tree.measure(node, &engine(1), 1.6);
    }
    tree.rounds(100);
    let expected = tree.nodes[0].profile(&engine(1), tree.now);
    // Forty measurements, less what twenty seconds of decay have taken.
    assert!((14.0..15.5).contains(&expected.samples), "{expected:?}");
    assert!((1.5..1.6).contains(&expected.slowness), "{expected:?}");
    for node in &tree.nodes {
        let profile = node.profile(&engine(1), tree.now);
        assert!((profile.samples / expected.samples - 1.0).abs() < 0.1, "{profile:?} and {expected:?}");
        assert!((profile.slowness - expected.slowness).abs() < 0.05, "{profile:?}");
    }
}

#[test]
fn a_restarted_engine_is_unknown() {
    let mut tree = Tree::new(4, 3);
    (0..20).for_each(|_| tree.measure(2, &engine(1), 1.6));
    tree.nodes[2].record_silence(&engine(1), tree.now + Duration::from_secs(1));
    tree.rounds(10);
    let restarted = BackendProcess { started_at: Some(8), ..engine(1) };
    let profile = tree.nodes[0].profile(&restarted, tree.now);
    assert_eq!(
        (profile.slowness, profile.samples, profile.condition),
        (1.0, 0.0, EngineCondition::Responsive)
    );
    assert_eq!(tree.senders(&restarted), 4);
}

#[test]
fn a_node_that_is_cut_off_uses_its_own_measurements_and_its_own_are_dropped_elsewhere() {
    let mut tree = Tree::new(4, 3);
    (0..20).for_each(|_| tree.measure(1, &engine(1), 1.6));
    (0..20).for_each(|_| tree.measure(2, &engine(1), 0.6));
    tree.rounds(10);
    tree.nodes[1].reset_parent(tree.now);
    (0..15).for_each(|_| tree.round_without(&[1]));
    assert!(tree.nodes[1].profile(&engine(1), tree.now).slowness > 1.4);
    assert!(tree.nodes[3].profile(&engine(1), tree.now).slowness < 0.7);
    // After its return, all count again, once.
    tree.is_new[1] = true;
    tree.rounds(50);
    let profiles = [1, 3].map(|node| tree.nodes[node].profile(&engine(1), tree.now));
    assert!((profiles[0].samples / profiles[1].samples - 1.0).abs() < 0.1, "{profiles:?}");
    assert!((0.9..1.1).contains(&profiles[0].slowness), "{profiles:?}");
}

#[test]
fn a_silent_engine_is_avoided_by_all_nodes_within_a_second() {
    let mut tree = Tree::new(75, 8);
    (0..75).for_each(|node| tree.measure(node, &engine(1), 1.0));
    tree.rounds(5);
    let suspected_at = tree.now;
    tree.nodes[70].record_silence(&engine(1), tree.now);
    tree.nodes[30].record_silence(&engine(1), tree.now);
    assert!(tree.nodes[70].take_urgent(tree.now), "the report does not wait");
    while tree.now < suspected_at + Duration::from_secs(1) {
        tree.rounds(1);
    }
    for node in 0..75 {
        assert_eq!(tree.condition(node, &engine(1)), EngineCondition::Silent, "node {node}");
    }
    // Three of 75 are expected to probe; ten have a probability below one in a thousand.
    assert!(tree.senders(&engine(1)) < 10, "{} nodes probe", tree.senders(&engine(1)));
}

#[test]
fn the_suspicion_of_one_node_with_a_bad_link_takes_no_engine_from_the_others() {
    let mut tree = Tree::new(75, 8);
    for round in 0..50 {
        // The engine answers some other node in each round; the node with the bad link suspects it again and
        // again.
        tree.measure(1 + round % 60, &engine(1), 1.0);
        tree.nodes[70].record_silence(&engine(1), tree.now);
        tree.rounds(1);
        let avoiding = 75 - tree.senders(&engine(1));
        assert!(avoiding <= 1, "{avoiding} nodes avoid it in round {round}");
    }
}

#[test]
fn a_busy_engine_that_lets_some_nodes_wait_while_it_answers_others_is_not_silent() {
    let mut tree = Tree::new(75, 8);
    for round in 0..50 {
        tree.measure(1 + round % 30, &engine(1), 4.0);
        // Nodes that are new to an engine know of no contact that contradicts a suspicion.
        for waiting in [40, 50, 60, 70].into_iter().filter(|_| round >= 10) {
            tree.nodes[waiting + round % 5].record_silence(&engine(1), tree.now);
        }
        tree.rounds(1);
        let avoiding = 75 - tree.senders(&engine(1));
        assert_eq!(avoiding, 0, "in round {round}");
    }
}

#[test]
fn one_suspicion_without_any_contact_since_is_enough() {
    let mut tree = Tree::new(75, 8);
    tree.measure(3, &engine(1), 1.0);
    tree.rounds(5);
    tree.nodes[70].record_silence(&engine(1), tree.now);
    tree.rounds(5);
    assert_eq!(tree.condition(20, &engine(1)), EngineCondition::Silent);
}

#[test]
fn the_own_suspicion_of_a_node_is_not_reported_back_to_it() {
    let mut tree = Tree::new(75, 8);
    tree.nodes[70].record_silence(&engine(1), tree.now);
    tree.rounds(10);
    let reported = |tree: &Tree, node: usize| tree.nodes[node].reported_silent(tree.now).count();
    assert_eq!((reported(&tree, 70), reported(&tree, 20), reported(&tree, 0)), (0, 1, 1));
    tree.nodes[30].record_silence(&engine(1), tree.now);
    tree.rounds(10);
    assert_eq!((reported(&tree, 70), reported(&tree, 30)), (1, 1));
}

#[test]
fn probes_of_a_silent_engine_get_rarer_and_go_on_while_they_fail() {
    let mut tree = Tree::new(75, 8);
    tree.nodes[70].record_silence(&engine(1), tree.now);
    let mut probes = Vec::new();
    for round in 0..300 {
        for node in 0..75 {
            let draw = (node as f64 + 0.5) / 75.0;
            let is_avoided = tree.condition(node, &engine(1)) == EngineCondition::Silent;
            if is_avoided && tree.nodes[node].may_send(&engine(1), draw, tree.now) {
                tree.nodes[node].record_sent(&engine(1), tree.now);
                tree.nodes[node].record_silence(&engine(1), tree.now + ROUND);
                probes.push(round);
            }
        }
        tree.rounds(1);
    }
    // About three probes each four seconds, so that a caller rarely meets the engine and a return shows soon.
    let late = probes.iter().filter(|round| **round >= 100).count();
    assert!((10..80).contains(&late), "{late} probes in 40 s");
    let longest = probes.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(longest < Some(80), "{longest:?} rounds without a probe");
}

#[test]
fn nodes_return_one_after_another_to_an_engine_that_answers_again() {
    let mut tree = Tree::new(75, 8);
    tree.nodes[70].record_silence(&engine(1), tree.now);
    tree.rounds(10);
    tree.nodes[33].record_contact(&engine(1), tree.now);
    let mut senders = Vec::new();
    for _ in 0..13 {
        tree.rounds(1);
        senders.push(tree.senders(&engine(1)));
    }
    // An engine that comes up cold takes a part of its share first; all have returned within two seconds and
    // the time that the report takes.
    assert!(senders[1] < 40, "{senders:?}");
    assert_eq!(senders.last(), Some(&75), "{senders:?}");
    assert!(senders.windows(2).skip(2).all(|pair| pair[0] <= pair[1]), "{senders:?}");
}

#[test]
fn a_full_engine_is_avoided_for_less_than_a_second_and_by_fewer_and_fewer_nodes() {
    let mut tree = Tree::new(75, 8);
    tree.nodes[70].record_refusal(&engine(1), tree.now);
    let mut senders = Vec::new();
    for _ in 0..5 {
        tree.rounds(1);
        senders.push(tree.senders(&engine(1)));
    }
    assert!(senders[1] > 20 && senders[1] < 70, "{senders:?}");
    assert_eq!(senders.last(), Some(&75), "{senders:?}");
}

#[test]
fn messages_stay_small() {
    let (nodes, engines) = (75, 72);
    let mut tree = Tree::new(nodes, 8);
    let seconds = 20;
    for round in 0..seconds * 5 {
        for node in 0..nodes {
            let ratio = 0.6 + ((round * 31 + node * 17) % 100) as f64 / 100.0;
            tree.measure(node, &engine((node * 7 + round) % engines), ratio);
        }
        tree.rounds(1);
    }
    let per_link = tree.bytes / seconds / (nodes - 1);
    println!("{per_link} bytes a second and link, both directions");
    // Less than the 8 KB a second that a node may use for control traffic.
    assert!(per_link < 6_000, "{per_link} bytes a second and link");
}

#[test]
fn nodes_that_act_on_the_same_profiles_do_not_move_all_load_to_one_engine() {
    let zone = ZoneId::from("z");
    let ids: Vec<EngineId> = (0..72).map(|number| engine(number).id).collect();
    let mut shared = Performances::default();
    for number in 0..72 {
        let ratio = if number == 0 { 0.6 } else { 1.0 };
        let measured = TYPICAL.mul_f64(ratio);
        (0..50).for_each(|_| shared.record_first_event(&engine(number), TYPICAL, measured, START));
    }
    let candidates: Vec<Candidate<'_>> = ids
        .iter()
        .enumerate()
        .map(|(number, id)| Candidate {
            software: None,
            id,
            address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
            zone: &zone,
            weights: Some(WeightsVersion(1)),
            slots: 8,
            eligible: true,
            outdated: false,
            profile: Some(shared.profile(&engine(number), START)),
        })
        .collect();
    let chooser = Chooser::default();
    let mut counts = vec![0; 72];
    for seed in 0..3_000 {
        let prompt = Prompt {
            model: ModelId::from("m"),
            prompt_tokens: 500,
            output_tokens: 10,
            segments: vec![Segment { id: SegmentId(seed), tokens: 100 }],
        };
        let placement = Placement {
            prompt: Some(&prompt),
            isolated: None,
            zone: &zone,
            seed,
            store: None,
            sample_size: Some(6),
            replicate: false,
            now: START,
            timing: None,
            transfers: None,
        };
        let choice = chooser.choose(placement, &candidates).expect("a choice");
        let number = ids.iter().position(|id| *id == choice.backend).expect("an engine");
        counts[number] += 1;
    }
    // Without any load, the fastest engine wins each sample that it is in: six in 72.
    assert!(counts[0] > 60 && counts[0] < 3_000 * 6 / 72 * 5 / 4, "{}", counts[0]);
}
