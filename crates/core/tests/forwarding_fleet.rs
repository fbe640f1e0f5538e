//! What forwarding nodes tell each other: who reports to whom, sums of work, news, and the store's answers.

use std::{net::SocketAddr, time::Duration};

use paddlemount_core::forwarding::{fleet::Fleet, news::NewsLog, readers::followed, relay_log::RelayLog};
use paddlemount_protocol::{
    fleet::{EngineWork, KeptNews, Member, RelayedAnswer},
    identity::{EngineId, NodeId, Revision, ZoneId},
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
    EngineWork { engine: EngineId::from(engine), requests, unread_tokens: u64::from(requests) * 100 }
}

fn all() -> Vec<Member> {
    vec![member("a1", "a"), member("a2", "a"), member("b1", "b"), member("b2", "b")]
}

fn nodes(count: usize) -> Vec<Member> {
    (0..count).map(|number| member(&format!("n{number}"), "z")).collect()
}

fn engines(count: usize) -> Vec<EngineId> {
    (0..count).map(|number| EngineId::from(format!("e{number}").as_str())).collect()
}

fn parent_of(fleet: &Fleet, now: Timestamp) -> Option<String> {
    let parent = fleet.parent(Some((&NodeId::from("a1"), address())), now)?;
    Some(parent.node.as_str().to_owned())
}

fn informed(node: &str, zone: &str) -> Fleet {
    let mut fleet = Fleet::new(member(node, zone));
    fleet.told(Vec::new(), Some(4), Some(all()), at(0));
    fleet
}

#[test]
fn a_node_reports_to_the_first_of_its_zone_and_that_one_to_the_root() {
    assert_eq!(parent_of(&informed("b2", "b"), at(1)).as_deref(), Some("b1"));
    assert_eq!(parent_of(&informed("b1", "b"), at(1)).as_deref(), Some("a1"));
    assert_eq!(parent_of(&informed("a2", "a"), at(1)).as_deref(), Some("a1"));
    assert_eq!(parent_of(&informed("a1", "a"), at(1)), None);
}

#[test]
fn a_node_that_knows_nobody_reports_to_the_root() {
    assert_eq!(parent_of(&Fleet::new(member("b2", "b")), at(1)).as_deref(), Some("a1"));
}

#[test]
fn a_node_that_did_not_answer_is_passed_over_for_a_while() {
    let mut fleet = informed("b2", "b");
    fleet.failed(&NodeId::from("b1"), at(100));
    assert_eq!(parent_of(&fleet, at(200)).as_deref(), Some("a1"));
    fleet.failed(&NodeId::from("a1"), at(200));
    assert_eq!(parent_of(&fleet, at(300)), None);
    assert_eq!(parent_of(&fleet, at(4_000)).as_deref(), Some("b1"));
}

#[test]
fn where_nobody_leads_the_first_of_each_zone_asks_for_its_zone() {
    let parent = |node: &str, zone: &str| informed(node, zone).parent(None, at(1)).map(|parent| parent.node);
    assert_eq!(parent("b2", "b"), Some(NodeId::from("b1")));
    assert_eq!(parent("a2", "a"), Some(NodeId::from("a1")));
    assert_eq!(parent("b1", "b"), None);
    assert_eq!(Fleet::new(member("b2", "b")).parent(None, at(1)), None, "nobody is known");
}

#[test]
fn nodes_of_a_roots_zone_that_it_does_not_answer_report_to_the_next_of_the_zone() {
    let mut members = all();
    members.push(member("a3", "a"));
    let mut fleet = Fleet::new(member("a3", "a"));
    fleet.told(Vec::new(), Some(5), Some(members), at(0));
    fleet.failed(&NodeId::from("a1"), at(100));
    assert_eq!(parent_of(&fleet, at(200)).as_deref(), Some("a2"));
}

#[test]
fn a_root_counts_only_after_it_has_heard_reports_for_a_while_and_remembers_the_greatest_count() {
    let mut root = Fleet::new(member("a1", "a"));
    root.tick(true, at(0));
    assert_eq!(root.count(at(0)), None);
    root.reported(member("b1", "b"), vec![member("b2", "b")], Vec::new(), at(1_900));
    root.tick(true, at(2_000));
    assert_eq!(root.count(at(2_000)), Some(3));
    root.tick(true, at(10_000));
    assert_eq!(root.members().len(), 1, "nodes that say nothing are gone");
    assert_eq!(root.count(at(10_000)), Some(3), "but may still act on the count");
    root.tick(true, at(30_000));
    assert_eq!(root.count(at(30_000)), Some(1));
}

#[test]
fn a_node_that_loses_everyone_does_not_take_itself_for_the_only_one() {
    let mut fleet = informed("b2", "b");
    fleet.tick(false, at(20_000));
    assert_eq!(fleet.count(at(20_000)), None);
    assert_eq!(fleet.members().len(), 4);
}

#[test]
fn each_node_is_told_the_work_of_all_others_once() {
    let mut root = Fleet::new(member("a1", "a"));
    root.tick(true, at(0));
    root.reported(member("a2", "a"), Vec::new(), vec![work("e1", 2)], at(0));
    root.reported(member("b1", "b"), vec![member("b2", "b")], vec![work("e1", 5), work("e2", 3)], at(0));
    let own = [work("e1", 10)];
    let told = root.work_beside(&NodeId::from("b1"), &own, at(1));
    assert_eq!(told, vec![work("e1", 12)]);
    let mut between = informed("b1", "b");
    between.told(told, Some(4), None, at(1));
    between.reported(member("b2", "b"), Vec::new(), vec![work("e2", 3)], at(1));
    let told = between.work_beside(&NodeId::from("b2"), &[work("e1", 5)], at(2));
    assert_eq!(told, vec![work("e1", 17)]);
    assert_eq!(between.work_below(&[work("e1", 5)], at(2)), vec![work("e1", 5), work("e2", 3)]);
}

#[test]
fn what_was_told_from_above_is_not_used_for_long() {
    let mut fleet = informed("b2", "b");
    fleet.told(vec![work("e1", 9)], None, None, at(0));
    assert_eq!(fleet.work_of_others(at(100)), vec![work("e1", 9)]);
    assert!(fleet.work_of_others(at(5_000)).is_empty());
}

#[test]
fn two_of_many_nodes_follow_a_feed_and_all_agree_which() {
    let members = nodes(30);
    for engine in ["e1", "e2", "e3"] {
        let engine = EngineId::from(engine);
        let follows = |member: &&Member| !followed(&member.node, &members, [&engine].into_iter()).is_empty();
        assert_eq!(members.iter().filter(follows).count(), 2, "{engine}");
    }
}

#[test]
fn each_of_few_nodes_follows_all_feeds_of_few_engines() {
    let (members, engines) = (nodes(8), engines(13));
    for member in &members {
        assert_eq!(followed(&member.node, &members, engines.iter()).len(), 13);
    }
}

#[test]
fn a_node_follows_few_feeds_of_many_engines_however_short_its_list_of_nodes_is() {
    let engines = engines(90);
    for known in [0, 1, 3, 10] {
        let count = followed(&NodeId::from("n0"), &nodes(known), engines.iter()).len();
        assert!((10..=24).contains(&count), "{count} feeds with {known} nodes known");
    }
}

#[test]
fn nodes_that_know_nobody_follow_different_feeds() {
    let engines = engines(90);
    let first = followed(&NodeId::from("n0"), &[], engines.iter());
    let second = followed(&NodeId::from("n1"), &[], engines.iter());
    assert_ne!(first, second);
}

#[test]
fn a_root_that_has_just_begun_keeps_the_list_of_nodes_that_it_knew() {
    let mut root = informed("a2", "a");
    root.tick(true, at(100));
    assert_eq!(root.members().len(), 4, "nobody has reported yet");
    root.reported(member("b1", "b"), Vec::new(), Vec::new(), at(1_900));
    root.tick(true, at(2_100));
    assert_eq!(root.members().len(), 2, "by now all that are left have reported");
}

fn news(part: u64) -> KeptNews {
    KeptNews { engine: EngineId::from("e"), scope: 1, part, tokens: 10 }
}

#[test]
fn news_comes_once_and_in_order_and_a_reader_of_another_log_begins_with_what_comes_next() {
    let mut log = NewsLog::new(7);
    log.log([news(1), news(2)]);
    let (first, cursor) = log.since(7, 0, 1);
    assert_eq!((first.len(), cursor), (2, 2));
    log.log([news(3)]);
    assert_eq!(log.since(7, cursor, 1), (vec![news(3)], 3));
    assert_eq!(log.since(7, 3, 1), (Vec::new(), 3));
    assert_eq!(log.since(8, 0, 1), (Vec::new(), 3));
    assert_eq!(log.since(7, 99, 1), (Vec::new(), 3));
}

#[test]
fn what_the_node_above_has_not_taken_is_told_again() {
    let mut log = NewsLog::new(7);
    log.learned(news(1));
    assert_eq!(log.report(), vec![news(1)]);
    log.learned(news(2));
    assert_eq!(log.report(), vec![news(1), news(2)], "the first report was not answered");
    log.taken();
    assert_eq!(log.report(), Vec::new());
    for part in 0..5_000 {
        log.learned(news(part));
    }
    assert!(log.drain().len() <= 1_024);
}

#[test]
fn news_of_stores_goes_before_news_of_engines_that_came_earlier() {
    let mut log = NewsLog::new(7);
    let store = EngineId::from("store");
    log.set_stores([store.clone()].into());
    let of_store = KeptNews { engine: store, ..news(9) };
    for part in 0..1_000 {
        log.learned(news(part));
    }
    log.learned(of_store.clone());
    assert_eq!(log.report()[0], of_store);
    assert_eq!(log.report().len(), 384);
}

#[test]
fn the_more_nodes_report_the_less_each_is_told_at_once() {
    let mut log = NewsLog::new(7);
    log.log((0..2_000).map(news));
    let told = |readers| log.since(7, 0, readers).0.len();
    assert_eq!((told(1), told(26), told(100), told(1_000)), (384, 315, 81, 64));
}

fn answer(after: u64, upto: u64, bytes: usize) -> RelayedAnswer {
    RelayedAnswer { after: Revision(after), upto: Revision(upto), body: "x".repeat(bytes) }
}

#[test]
fn answers_are_passed_on_only_where_none_is_missing() {
    let mut relay = RelayLog::default();
    relay.push(answer(5, 8, 10));
    relay.push(answer(8, 9, 10));
    let upto = |known, newest| relay.since(Revision(known), Revision(newest)).map(|answers| answers.len());
    assert_eq!(upto(9, 9), Some(0));
    assert_eq!(upto(8, 9), Some(1));
    assert_eq!(upto(6, 9), Some(2));
    assert_eq!(upto(4, 9), None, "what came before is not remembered");
    assert_eq!(upto(8, 10), None, "the newest is not remembered");
    assert_eq!(upto(10, 9), None, "the reader knows more");
}

#[test]
fn a_gap_begins_the_log_anew_and_large_answers_are_not_kept() {
    let mut relay = RelayLog::default();
    relay.push(answer(5, 8, 10));
    relay.push(answer(11, 12, 10));
    assert_eq!(relay.since(Revision(5), Revision(12)), None);
    relay.push(answer(12, 13, 300 << 10));
    assert_eq!(relay.since(Revision(12), Revision(13)), None);
    assert_eq!(relay.since(Revision(13), Revision(13)), Some(Vec::new()));
    relay.push(answer(13, 14, 130 << 10));
    assert_eq!(relay.since(Revision(13), Revision(14)), None, "too much for a small link");
    relay.push(answer(14, 15, 50 << 10));
    let passed_on = relay.since(Revision(14), Revision(15)).map(|answers| answers.len());
    assert_eq!(passed_on, Some(1), "a document of some hundred tenants");
}

#[test]
fn numbers_of_repeats_follow_the_number_of_nodes() {
    use paddlemount_core::forwarding::budget::{WindowBudget, WindowBudgetSettings};
    let settings = WindowBudgetSettings { share_per_mille: 0, reserve: 2, window: Duration::from_secs(10) };
    let mut budget = WindowBudget::new(settings);
    assert!(budget.repeat(at(1)) && budget.repeat(at(1)) && !budget.repeat(at(1)));
    budget.set_reserve(3);
    assert!(budget.repeat(at(2)) && !budget.repeat(at(2)));
}

#[test]
fn the_strongest_node_of_a_zone_stands_between() {
    let mut members = all();
    members.push(Member { capacity: 9, ..member("b9", "b") });
    let mut fleet = Fleet::new(member("b2", "b"));
    fleet.told(Vec::new(), Some(5), Some(members), at(0));
    assert_eq!(parent_of(&fleet, at(1)).as_deref(), Some("b9"));
}

#[test]
fn a_root_that_hears_nobody_any_more_knows_that_it_may_be_cut_off() {
    let mut root = Fleet::new(member("a1", "a"));
    root.tick(true, at(0));
    assert!(!root.is_deserted(at(9_000)), "it may be the only node");
    root.reported(member("b1", "b"), Vec::new(), Vec::new(), at(9_000));
    assert!(!root.is_deserted(at(11_000)));
    assert!(root.is_deserted(at(11_600)));
    root.tick(false, at(11_700));
    assert!(!root.is_deserted(at(12_000)));
}

#[test]
fn others_hear_of_the_busiest_engines_only() {
    let mut root = Fleet::new(member("a1", "a"));
    root.tick(true, at(0));
    let many = (0..400).map(|number| work(&format!("e{number:03}"), number)).collect();
    root.reported(member("a2", "a"), Vec::new(), many, at(0));
    let told = root.work_of_others(at(1));
    assert_eq!(told.len(), 128, "enough for all engines of a pool of ninety");
    assert_eq!(told[0], work("e399", 399));
    assert_eq!(told[127], work("e272", 272));
}

#[test]
fn a_node_that_has_just_started_may_leave_two_silent_back_ends() {
    use paddlemount_core::forwarding::budget::reserve_of;
    assert_eq!(reserve_of(56, None, 64), 2);
    assert_eq!(reserve_of(198, None, 64), 3);
    assert_eq!(reserve_of(54, Some(7), 64), 3);
    assert_eq!(reserve_of(198, Some(79), 64), 1);
    assert_eq!(reserve_of(0, Some(0), 0), 1);
}
