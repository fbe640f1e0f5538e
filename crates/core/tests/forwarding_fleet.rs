//! What forwarding nodes exchange: sums of work, counts, gossip, and the shares that follow from them.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use paddlemount_core::forwarding::{
    budget::{WindowBudget, WindowBudgetSettings},
    children::Admission,
    even_share::even_share,
    feed_selection::{followed_feeds, should_follow_feeds},
    fleet::Fleet,
    gossip::GossipLog,
    reserve_grant::Beginning,
    retry_reserve::{Reserve, SlackShare},
};
use paddlemount_protocol::{
    fleet::{AppliedVersions, CachedSegmentUpdate, EngineWork, JoinRequest, Member, Report},
    identity::{EngineId, NodeId, ZoneId},
    quarantine::RunReport,
    time::Timestamp,
};

fn member(node: &str, zone: &str) -> Member {
    Member { node: NodeId::from(node), zone: ZoneId::from(zone), address: address(), capacity: 1 }
}

fn address() -> SocketAddr {
    ([127, 0, 0, 1], 7_340).into()
}

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

fn work(engine: &str, requests: u32) -> EngineWork {
    EngineWork { engine: EngineId::from(engine), requests, pending_prefill_tokens: u64::from(requests) * 100 }
}

fn nodes(count: usize) -> Vec<Member> {
    (0..count).map(|number| member(&format!("n{number}"), "z")).collect()
}

fn engines(count: usize) -> Vec<EngineId> {
    (0..count).map(|number| EngineId::from(format!("e{number}").as_str())).collect()
}

fn fleet_of(node: &str, zone: &str) -> Fleet {
    Fleet::new(member(node, zone), 20)
}

fn fleet_with_count(node: &str, zone: &str) -> Fleet {
    let mut fleet = fleet_of(node, zone);
    fleet.record_update(Vec::new(), Some(4), at(0));
    fleet
}

/// Records a report of `sender`, which has `descendants` other nodes below it.
fn report(fleet: &mut Fleet, sender: Member, descendants: u32, work: Vec<EngineWork>, now: Timestamp) {
    let reporting_nodes = descendants + 1;
    let request =
        JoinRequest { sender: sender.clone(), reporting_nodes, join_capacity: 0, unresponsive: Vec::new() };
    assert_eq!(fleet.children.admit(&request, now), Admission::Accepted);
    let report = Report {
        sender,
        join_capacity: 0,
        work,
        reporting_nodes,
        spending: Vec::new(),
        runs: RunReport::default(),
        leaving: Vec::new(),
        limits: Vec::new(),
        performance: Vec::new(),
        demand: Vec::new(),
        rates: Vec::new(),
        offered_load: 0.0,
        intermediaries: Vec::new(),
        cache_updates: Vec::new(),
        log: 0,
        cursor: 0,
        revision: None,
        applied: AppliedVersions::default(),
        newer_facts: String::new(),
        members_hash: 0,
        members: None,
        software_history: None,
        wants_software_history: false,
    };
    assert!(fleet.children.record_report(&report, now));
}

#[test]
fn a_root_counts_only_after_a_delay_and_uses_the_maximum_recent_count() {
    let mut root = fleet_of("a1", "a");
    root.tick(true, at(0));
    assert_eq!(root.node_count(at(0)), None);
    report(&mut root, member("b1", "b"), 1, Vec::new(), at(1_900));
    root.tick(true, at(2_000));
    assert_eq!(root.node_count(at(2_000)), Some(3));
    root.tick(true, at(10_000));
    assert_eq!(root.children.subtree_size(), 1, "unresponsive nodes are removed");
    assert_eq!(root.node_count(at(10_000)), Some(3), "removed nodes may still act on the count");
    root.tick(true, at(30_000));
    assert_eq!(root.node_count(at(30_000)), Some(1));
}

#[test]
fn a_disconnected_node_does_not_count_itself_as_the_only_one() {
    let mut fleet = fleet_with_count("b2", "b");
    fleet.tick(false, at(20_000));
    assert_eq!(fleet.node_count(at(20_000)), None);
}

#[test]
fn each_node_receives_the_work_of_all_others_once() {
    let mut root = fleet_of("a1", "a");
    root.tick(true, at(0));
    report(&mut root, member("a2", "a"), 0, vec![work("e1", 2)], at(0));
    report(&mut root, member("b1", "b"), 1, vec![work("e1", 5), work("e2", 3)], at(0));
    let own = [work("e1", 10)];
    let received = root.work_excluding(&NodeId::from("b1"), &own, at(1));
    assert_eq!(received, vec![work("e1", 12)]);
    let mut inner = fleet_with_count("b1", "b");
    inner.record_update(received, Some(4), at(1));
    report(&mut inner, member("b2", "b"), 0, vec![work("e2", 3)], at(1));
    let received = inner.work_excluding(&NodeId::from("b2"), &[work("e1", 5)], at(2));
    assert_eq!(received, vec![work("e1", 17)]);
    assert_eq!(inner.subtree_work(&[work("e1", 5)], at(2)), vec![work("e1", 5), work("e2", 3)]);
}

#[test]
fn an_update_of_the_parent_expires() {
    let mut fleet = fleet_with_count("b2", "b");
    fleet.record_update(vec![work("e1", 9)], None, at(0));
    assert_eq!(fleet.work_of_others(at(100)), vec![work("e1", 9)]);
    assert!(fleet.work_of_others(at(5_000)).is_empty());
}

#[test]
fn with_many_nodes_each_feed_has_a_few_readers_and_few_feeds_have_none() {
    // Nodes know their number but not their names: their independent selections must add up.
    for count in [30, 300, 985] {
        let (nodes, engines) = (nodes(count), engines(4 * count));
        let mut readers = BTreeMap::new();
        for member in &nodes {
            for engine in followed_feeds(&member.node, Some(count as u32), engines.iter()) {
                *readers.entry(engine.clone()).or_insert(0) += 1;
            }
        }
        let mean = readers.values().sum::<i32>() as f64 / engines.len() as f64;
        let without = engines.len() - readers.len();
        let max_readers = readers.values().max().copied().unwrap_or_default();
        assert!((2.2..=3.3).contains(&mean), "{count} nodes: {mean} readers on average");
        assert!(without <= engines.len() / 8, "{count} nodes: {without} feeds without a reader");
        assert!(max_readers <= 12, "{count} nodes: {max_readers} readers, but an engine serves a dozen");
    }
}

#[test]
fn feeds_of_engines_with_long_retention_are_not_followed() {
    // Twelve engines whose caches turn over in 16 s, and ten thousand in six minutes.
    assert!(should_follow_feeds(80_000.0, 12 * 110_556, false));
    assert!(!should_follow_feeds(2_500_000.0, 9_675 * 88_547, false));
    // Hysteresis in between.
    assert!(should_follow_feeds(5_000_000.0, 9_675 * 88_547, true));
    assert!(!should_follow_feeds(5_000_000.0, 9_675 * 88_547, false));
    // Without prompts the previous result stands.
    assert!(should_follow_feeds(0.0, 1_000_000, true));
    assert!(!should_follow_feeds(0.0, 1_000_000, false));
}

#[test]
fn each_of_few_nodes_follows_all_feeds_of_few_engines() {
    let (members, engines) = (nodes(8), engines(13));
    for member in &members {
        assert_eq!(followed_feeds(&member.node, Some(8), engines.iter()).len(), 13);
    }
}

#[test]
fn a_node_follows_a_bounded_number_of_feeds_whatever_the_node_count() {
    let engines = engines(90);
    for known in [None, Some(1), Some(3), Some(10)] {
        let count = followed_feeds(&NodeId::from("n0"), known, engines.iter()).len();
        assert!((10..=24).contains(&count), "{count} feeds with a node count of {known:?}");
    }
    let ten_thousand: Vec<EngineId> =
        (0..10_000).map(|number| EngineId::from(format!("e{number}"))).collect();
    assert!(followed_feeds(&NodeId::from("n0"), Some(64), ten_thousand.iter()).len() <= 24);
}

#[test]
fn nodes_without_a_node_count_follow_different_feeds() {
    let engines = engines(90);
    let first = followed_feeds(&NodeId::from("n0"), None, engines.iter());
    let second = followed_feeds(&NodeId::from("n1"), None, engines.iter());
    assert_ne!(first, second);
}

#[test]
fn a_new_root_retains_the_count_that_it_received() {
    let mut root = fleet_with_count("a2", "a");
    root.tick(true, at(100));
    assert_eq!(root.node_count(at(100)), Some(4), "nobody has reported yet");
    report(&mut root, member("b1", "b"), 0, Vec::new(), at(1_900));
    root.tick(true, at(2_100));
    assert_eq!(root.node_count(at(2_100)), Some(4), "removed nodes may still act on the count");
    report(&mut root, member("b1", "b"), 0, Vec::new(), at(12_500));
    root.tick(true, at(12_500));
    assert_eq!(root.node_count(at(12_500)), Some(2), "all remaining nodes have reported");
}

fn update(segment: u64) -> CachedSegmentUpdate {
    CachedSegmentUpdate { engine: EngineId::from("e"), scope: 1, segment, tokens: 10 }
}

#[test]
fn updates_are_delivered_once_in_order_and_a_reader_of_another_log_starts_at_the_end() {
    let mut log = GossipLog::new(7);
    log.append([update(1), update(2)]);
    let (first, cursor) = log.since(7, 0, 1);
    assert_eq!((first.len(), cursor), (2, 2));
    log.append([update(3)]);
    assert_eq!(log.since(7, cursor, 1), (vec![update(3)], 3));
    assert_eq!(log.since(7, 3, 1), (Vec::new(), 3));
    assert_eq!(log.since(8, 0, 1), (Vec::new(), 3));
    assert_eq!(log.since(7, 99, 1), (Vec::new(), 3));
}

#[test]
fn unacknowledged_updates_are_sent_again() {
    let mut log = GossipLog::new(7);
    log.enqueue(update(1));
    assert_eq!(log.next_batch(), vec![update(1)]);
    log.enqueue(update(2));
    assert_eq!(log.next_batch(), vec![update(1), update(2)], "the first batch was not acknowledged");
    log.acknowledge();
    assert_eq!(log.next_batch(), Vec::new());
    for segment in 0..5_000 {
        log.enqueue(update(segment));
    }
    assert!(log.drain().len() <= 1_024);
}

#[test]
fn updates_about_stores_are_sent_before_earlier_ones_about_engines() {
    let mut log = GossipLog::new(7);
    let store = EngineId::from("store");
    log.set_stores([store.clone()].into());
    let of_store = CachedSegmentUpdate { engine: store, ..update(9) };
    for segment in 0..1_000 {
        log.enqueue(update(segment));
    }
    log.enqueue(of_store.clone());
    assert_eq!(log.next_batch()[0], of_store);
    assert_eq!(log.next_batch().len(), 384);
}

#[test]
fn batches_shrink_with_the_number_of_children() {
    let mut log = GossipLog::new(7);
    log.append((0..2_000).map(update));
    let received = |readers| log.since(7, 0, readers).0.len();
    assert_eq!((received(1), received(26), received(100), received(1_000)), (384, 315, 81, 64));
}

/// The budget of a process that started at 0 and earns nothing.
fn budget_with(reserve: Reserve, draw: f64) -> WindowBudget {
    let (window, started) = (Duration::from_secs(10), Timestamp::ZERO);
    let mut budget = WindowBudget::new(WindowBudgetSettings { share_per_mille: 0, window, started, draw });
    budget.set_reserve(reserve);
    budget
}

#[test]
fn the_retry_reserve_follows_the_number_of_nodes() {
    let mut budget = budget_with(Reserve::share_of(60, 5), 0.0);
    let retries_at = |budget: &mut WindowBudget| (0..).take_while(|_| budget.try_retry(at(60_000))).count();
    assert_eq!(retries_at(&mut budget), 2);
    budget.set_reserve(Reserve::share_of(60, 3));
    assert_eq!(retries_at(&mut budget), 1);
}

#[test]
fn a_root_that_receives_no_more_reports_considers_itself_partitioned() {
    let mut root = fleet_of("a1", "a");
    root.tick(true, at(0));
    assert!(!root.is_partitioned(at(9_000)), "it may be the only node");
    report(&mut root, member("b1", "b"), 0, Vec::new(), at(9_000));
    assert!(!root.is_partitioned(at(11_000)));
    assert!(root.is_partitioned(at(11_600)));
    root.tick(false, at(11_700));
    assert!(!root.is_partitioned(at(12_000)));
}

#[test]
fn only_the_busiest_engines_are_advertised() {
    let mut root = fleet_of("a1", "a");
    root.tick(true, at(0));
    let many = (0..400).map(|number| work(&format!("e{number:03}"), number)).collect();
    report(&mut root, member("a2", "a"), 0, many, at(0));
    let received = root.work_of_others(at(1));
    assert_eq!(received.len(), 128, "the maximum");
    assert_eq!(received[0], work("e399", 399));
    assert_eq!(received[127], work("e272", 272));
}

/// The retries of a process that has just started, in a fleet of so many nodes as recorded in the store.
fn retries_at_start(slack: u32, nodes: Option<u32>, beginning: Beginning, draw: f64) -> u64 {
    let mut share = SlackShare::default();
    share.record(None, nodes, at(0));
    budget_with(share.reserve(slack, beginning, at(0)), draw).remaining(at(0))
}

#[test]
fn a_node_that_has_just_started_may_leave_two_unresponsive_back_ends() {
    let granted = |slack, nodes| retries_at_start(slack, nodes, Beginning::Granted, 0.0);
    assert_eq!(granted(56, None), 2);
    assert_eq!(granted(198, None), 2, "no more than a large fleet has for each node");
    assert_eq!(granted(0, None), 0);
    assert_eq!((granted(54, Some(7)), granted(198, Some(79)), granted(178, Some(69))), (1, 1, 1));
    let of_unknown_number = |beginning| retries_at_start(56, None, beginning, 0.0);
    assert_eq!((of_unknown_number(Beginning::First), of_unknown_number(Beginning::Empty)), (1, 0));
}

#[test]
fn a_node_takes_a_small_share_until_it_has_been_counted_for_a_while() {
    let share = |counted_at: Option<u64>, now| {
        let mut share = SlackShare::default();
        share.record(None, Some(2), at(0));
        if let Some(counted_at) = counted_at {
            share.record(Some(4), None, at(counted_at));
        }
        share.reserve(56, Beginning::Empty, at(now)).retries()
    };
    assert_eq!((share(None, 0), share(None, 60_000)), (2.0, 2.0), "a record may be of a smaller fleet");
    assert_eq!((share(Some(500), 3_499), share(Some(500), 3_500)), (2.0, 14.0));
}

/// A root that has just begun has counted few of the nodes.
#[test]
fn a_smaller_count_does_not_raise_a_nodes_share_of_the_slack() {
    let mut share = SlackShare::default();
    share.record(Some(40), None, at(0));
    share.record(Some(3), Some(2), at(5_000));
    assert_eq!(share.reserve(80, Beginning::Empty, at(9_000)).retries(), 2.0);
}

/// Guards against a minimum share for each node, which exceeds the total in a large fleet.
#[test]
fn even_shares_of_all_nodes_add_up_to_no_more_than_the_total() {
    for (total, nodes) in [(300, 69), (1_900, 985), (100, 985), (360, 7), (7, 7), (0, 3)] {
        let draws = (0..nodes).map(|number| (f64::from(number) + 0.5) / f64::from(nodes));
        let sum: u32 = draws.map(|draw| even_share(total, nodes, draw)).sum();
        assert!(sum <= total + 1, "{sum} of {total} at {nodes} nodes");
        assert!(sum * 2 > total || total == 0, "{sum} of {total} at {nodes} nodes");
    }
}
